// Package claimer claims and settles the idempotency keys of at-most-once calls through a quorum of claim replicas,
// with Fast Paxos per key.
package claimer
