// Package demonstrator runs a demo fleet in one process: a control member, two entries and a few fake backend servers.
package demonstrator
