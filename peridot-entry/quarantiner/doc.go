// Package quarantiner detects requests that crash backend servers and refuses a request once it was in flight in two crashes.
package quarantiner
