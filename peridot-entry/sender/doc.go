// Package sender sends one attempt of a call to a backend server and reports how far a failed attempt got.
package sender
