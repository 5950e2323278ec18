// Package keeper implements a replica of the Paxos registers that record the claims of at-most-once calls, one register per
// idempotency key. A replica holds its registers in memory and syncs every change to a log on disk before it replies.
package keeper
