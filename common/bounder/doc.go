// Package bounder limits the memory that the messages of other processes take while they are read.
package bounder
