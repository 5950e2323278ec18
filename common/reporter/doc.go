// Package reporter provides a program's logger and metrics.
package reporter
