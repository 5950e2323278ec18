// Package prober probes backend servers for their load when no call's response has reported it, within a probe budget that all entries
// share.
package prober
