package arbiter

import "slices"

// Crash is the crash of one incarnation of a backend server.
type Crash struct {
	InstanceID  string `json:"instance-id"`
	Incarnation uint64 `json:"incarnation"`
}

// ContainedRequest is a request that entries refuse because backend servers crashed while they ran it.
type ContainedRequest struct {
	Fingerprint string  `json:"fingerprint"`
	Service     string  `json:"service"`
	Method      string  `json:"method"`
	Path        string  `json:"path"`
	Crashes     []Crash `json:"crashes"`
}

// QuarantineChange contains requests, and releases others by their fingerprints.
type QuarantineChange struct {
	Contained []ContainedRequest `json:"contained,omitempty"`
	Released  []string           `json:"released,omitempty"`
}

// maxContained limits the contained requests; the ones contained first are released beyond it.
const maxContained = 256

// Quarantine lists the contained requests, in the order in which they were contained.
type Quarantine struct {
	// Version increases with each change of the list.
	Version  uint64             `json:"version"`
	Requests []ContainedRequest `json:"requests,omitempty"`
}

// Contains reports whether a request is contained.
func (q *Quarantine) Contains(fingerprint string) bool {
	return slices.ContainsFunc(q.Requests, func(r ContainedRequest) bool { return r.Fingerprint == fingerprint })
}

// apply replaces Requests rather than change it, because readers may hold it.
func (q *Quarantine) apply(c *QuarantineChange) {
	next := make([]ContainedRequest, 0, len(q.Requests)+len(c.Contained))
	for _, r := range q.Requests {
		if !slices.Contains(c.Released, r.Fingerprint) {
			next = append(next, r)
		}
	}
	changed := len(next) != len(q.Requests)
	for _, r := range c.Contained {
		if !q.Contains(r.Fingerprint) || slices.Contains(c.Released, r.Fingerprint) {
			next = append(next, r)
			changed = true
		}
	}
	if !changed {
		return
	}
	q.Version++
	q.Requests = next[max(len(next)-maxContained, 0):]
}
