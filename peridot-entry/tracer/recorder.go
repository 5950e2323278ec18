package tracer

import (
	"strings"
	"sync"
	"time"
)

// RecorderConfig configures a Recorder; the zero value selects the defaults.
type RecorderConfig struct {
	// MaxTraces is how many traces are kept at most, and MaxAge for how long.
	MaxTraces int
	MaxAge    time.Duration
	Now       func() time.Time
}

// Defaults of RecorderConfig.
const (
	DefaultMaxTraces = 10_000
	DefaultMaxAge    = time.Hour
)

// Recorder keeps the newest traces, with an index by request id. It is safe for concurrent use.
type Recorder struct {
	cfg  RecorderConfig
	mu   sync.Mutex
	ring []storedTrace
	next int
	byID map[string][]int
}

type storedTrace struct {
	trace      *Trace
	recordedAt time.Time
}

// NewRecorder returns an empty Recorder.
func NewRecorder(cfg RecorderConfig) *Recorder {
	if cfg.MaxTraces == 0 {
		cfg.MaxTraces = DefaultMaxTraces
	}
	if cfg.MaxAge == 0 {
		cfg.MaxAge = DefaultMaxAge
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Recorder{cfg: cfg, byID: make(map[string][]int)}
}

// maxText limits the bytes of a request id and of a path that are kept: callers choose both, and 10,000 heads of 16 KiB would take 160 MB.
const maxText = 512

// limitText returns the first maxText bytes of s, without keeping the rest in memory.
func limitText(s string) string {
	if len(s) <= maxText {
		return s
	}
	return strings.Clone(s[:maxText])
}

// Record adds the trace of a finished call and evicts the oldest trace if there are more than MaxTraces. It keeps maxText bytes of the request
// id and of the path. The caller must not modify the trace afterwards.
func (r *Recorder) Record(t *Trace) {
	if len(t.RequestID) > maxText || len(t.Path) > maxText {
		short := *t
		short.RequestID, short.Path = limitText(t.RequestID), limitText(t.Path)
		t = &short
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < r.cfg.MaxTraces {
		r.ring = append(r.ring, storedTrace{})
	} else {
		r.evict(r.next)
	}
	r.ring[r.next] = storedTrace{t, r.cfg.Now()}
	r.byID[t.RequestID] = append(r.byID[t.RequestID], r.next)
	r.next = (r.next + 1) % r.cfg.MaxTraces
}

// Find returns the traces with this request id, oldest first.
func (r *Recorder) Find(requestID string) (traces []*Trace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.byID[limitText(requestID)] {
		if r.unexpired(i) {
			traces = append(traces, r.ring[i].trace)
		}
	}
	return traces
}

// Recent returns up to n traces, newest first.
func (r *Recorder) Recent(n int) (traces []*Trace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := 1; k <= len(r.ring) && len(traces) < n; k++ {
		i := (r.next - k + r.cfg.MaxTraces) % r.cfg.MaxTraces
		if !r.unexpired(i) {
			break
		}
		traces = append(traces, r.ring[i].trace)
	}
	return traces
}

func (r *Recorder) unexpired(i int) bool {
	return r.cfg.Now().Sub(r.ring[i].recordedAt) <= r.cfg.MaxAge
}

// evict removes slot i, which is about to be reused, from byID. The slot holds the oldest trace of its request id.
func (r *Recorder) evict(i int) {
	id := r.ring[i].trace.RequestID
	remaining := r.byID[id][1:]
	if len(remaining) == 0 {
		delete(r.byID, id)
		return
	}
	r.byID[id] = remaining
}
