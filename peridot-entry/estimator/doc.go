// Package estimator tells how long callers have waited already from the time that they say they have left.
package estimator
