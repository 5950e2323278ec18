// Package server runs an HTTP server on an open listener.
package server
