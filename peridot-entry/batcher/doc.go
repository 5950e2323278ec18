// Package batcher combines the concurrent requests of an entry for tokens of one share into one message to its holder.
package batcher
