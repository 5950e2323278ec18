// Package deliverer serves the accepted configuration and the table of backend servers to entries, keeps the entries' membership
// leases, and serves the operator API.
package deliverer
