// Package estimator estimates how long the caller of a call has already waited, as on a retry, from the deadline that it sends.
package estimator
