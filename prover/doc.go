// Package prover holds integration tests that run the real programs behind fault-injecting proxies. It consists of test files only.
package prover
