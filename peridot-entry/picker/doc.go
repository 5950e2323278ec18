// Package picker chooses the backend server for each attempt of a call.
package picker
