// Package limiter bounds the calls that an entry has in flight for each service and queues the rest by priority for as long as their
// deadlines allow.
package limiter
