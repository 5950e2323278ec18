// Package replicator implements the Raft consensus protocol among control members: leader election with pre-votes, log
// replication, snapshots, linearizable reads and single-member membership changes.
package replicator
