// Package greeter tells entries, after a restart of control, at which addresses its members are.
//
// Entries keep nothing across a restart and know only the seeds, which may be the last members to come back. Each control member stores
// the entries of its availability zone and calls them when it starts.
package greeter
