// Package supervisor starts the components of an entry in order and stops them in reverse.
package supervisor
