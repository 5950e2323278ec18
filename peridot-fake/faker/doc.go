// Package faker implements a fake backend server for tests and the demo. It injects faults on request and can write a ledger of the runs
// that it started.
package faker
