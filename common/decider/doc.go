// Package decider implements the Fast Paxos rules for the register of one key, without I/O: when a replica may promise and accept a ballot,
// which value a quorum's replies show as possibly decided, and which states of a claim may follow each other.
package decider
