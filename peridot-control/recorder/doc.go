// Package recorder stores a Raft member's identity, vote, log entries and snapshot in a directory. Every write is synced before the
// call returns.
package recorder
