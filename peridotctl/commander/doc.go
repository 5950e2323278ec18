// Package commander implements the operator commands of peridotctl, which query and change control members and entries.
package commander
