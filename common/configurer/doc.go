// Package configurer reads and validates a program's settings from flags and PERIDOT_ environment variables.
package configurer
