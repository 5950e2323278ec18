// Package prober probes backend servers for their load when no call's answer has reported it, within a probe budget that all entries
// share.
package prober
