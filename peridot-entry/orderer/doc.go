// Package orderer runs each at-most-once call at most once: it claims the call's idempotency key before any byte is sent to a backend server,
// and stores the first response to answer resends with.
package orderer
