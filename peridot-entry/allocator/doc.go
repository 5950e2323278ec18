// Package allocator divides the rate limits of client accounts among entries: it decides which entry grants a call its token. It has
// neither a network nor a clock of its own.
package allocator
