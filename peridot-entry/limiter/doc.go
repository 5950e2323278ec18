// Package limiter bounds the calls that an entry has in flight for each service and queues the rest by priority for as long as their
// deadlines allow. It also decides which calls of client accounts leave room to others, and when refused callers return.
package limiter
