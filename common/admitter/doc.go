// Package admitter limits the connections of a process and the memory of the requests that clients have begun to send on them.
package admitter
