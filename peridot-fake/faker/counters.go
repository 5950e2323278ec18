package faker

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
)

// counters counts events since the backend server's start.
type counters struct {
	calls           atomic.Int64
	extraAttempts   atomic.Int64
	shed            atomic.Int64
	failed          atomic.Int64
	canceled        atomic.Int64
	finished        atomic.Int64
	probes          atomic.Int64
	connections     atomic.Int64
	peakConnections atomic.Int64
	// lastDeadlineMS is the remaining time, in milliseconds, that the latest call's Peridot-Deadline-Ms gave.
	lastDeadlineMS atomic.Int64
}

type countersResponse struct {
	// Calls counts all calls received; ExtraAttempts counts those that were retries or hedges.
	Calls           int64 `json:"calls"`
	ExtraAttempts   int64 `json:"extra"`
	Shed            int64 `json:"shed"`
	Failed          int64 `json:"failed"`
	Canceled        int64 `json:"canceled"`
	Finished        int64 `json:"finished"`
	Probes          int64 `json:"probes"`
	PeakConnections int64 `json:"most-connections"`
	// LastDeadlineMS is the remaining time that the latest call's Peridot-Deadline-Ms gave.
	LastDeadlineMS int64 `json:"deadline-ms"`
}

func (c *counters) recordCall(r *http.Request) {
	c.calls.Add(1)
	if remaining, err := strconv.ParseInt(r.Header.Get("Peridot-Deadline-Ms"), 10, 64); err == nil {
		c.lastDeadlineMS.Store(remaining)
	}
	if n, err := strconv.Atoi(r.Header.Get("Peridot-Attempt")); err == nil && n > 1 {
		c.extraAttempts.Add(1)
	}
}

func (c *counters) trackConn(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		n := c.connections.Add(1)
		for peak := c.peakConnections.Load(); n > peak && !c.peakConnections.CompareAndSwap(peak, n); peak = c.peakConnections.Load() {
		}
	case http.StateClosed, http.StateHijacked:
		c.connections.Add(-1)
	}
}

func (f *Faker) serveCounters(w http.ResponseWriter, _ *http.Request) {
	c := &f.counters
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(countersResponse{
		Calls:           c.calls.Load(),
		ExtraAttempts:   c.extraAttempts.Load(),
		Shed:            c.shed.Load(),
		Failed:          c.failed.Load(),
		Canceled:        c.canceled.Load(),
		Finished:        c.finished.Load(),
		Probes:          c.probes.Load(),
		PeakConnections: c.peakConnections.Load(),
		LastDeadlineMS:  c.lastDeadlineMS.Load(),
	})
}
