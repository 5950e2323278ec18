// Package scout probes a few backend servers for their load just before a call goes to one of them.
package scout
