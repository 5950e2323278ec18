// Package arbiter is the replicated state machine of the configuration and of the table of backend servers. Every control member
// applies the same commands in the same order.
package arbiter
