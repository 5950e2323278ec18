// Package receiver serves an entry's HTTP API: calls, announcements of backend servers, entry addresses, and health and readiness checks.
package receiver
