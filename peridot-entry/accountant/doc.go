// Package accountant counts the calls of each service that miss its objective and computes error budgets and burn rates.
package accountant
