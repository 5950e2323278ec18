// Package dispatcher forwards calls to backend servers, with retries and hedges as far as the rule of a call and the budget of its
// service allow.
package dispatcher
