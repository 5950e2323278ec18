// Package launcher runs a daemon: it parses the command line, starts the daemon and stops it on a signal.
package launcher
