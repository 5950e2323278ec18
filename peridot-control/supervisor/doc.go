// Package supervisor starts the components of a control member in dependency order and stops them in reverse.
package supervisor
