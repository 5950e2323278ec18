package limiter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"peridotswitch.example/common/parser"
)

// Request asks for a permit to send a call.
type Request struct {
	Service  string
	Priority parser.Priority
	Deadline time.Time
	// Account is the client account that makes the call; empty for none.
	Account string
}

// Feedback is what an ended call reports about the load of its service.
type Feedback struct {
	// ShedCount is the number of backend servers that shed the call.
	ShedCount int
	// ServersFull is true when no backend server had a free slot for the call.
	ServersFull bool
	// InFlight and Slots are the load that the responding backend server reported; Slots is 0 when it reported none.
	InFlight int
	Slots    int
	// Latency is the latency of the attempt that got a response, 0 when none did.
	Latency time.Duration
}

// Permit permits one call in flight; Release must be called exactly once.
type Permit struct {
	limiter  *serviceLimiter
	priority parser.Priority
	feedback *Feedback
}

// Report sets the feedback that Release gives to the limiter.
func (p *Permit) Report(f Feedback) { p.feedback = &f }

// Release returns the permit and adapts the limits to the feedback, if any.
func (p *Permit) Release() {
	if p.limiter != nil {
		p.limiter.release(p)
	}
}

// ShedError reports a call that was refused before any backend server ran it.
type ShedError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error returns the reason with a prefix that says that the call was shed.
func (e *ShedError) Error() string { return fmt.Sprintf("shed: %s", e.Reason) }

// Capacity is the capacity of a service that all entries share.
type Capacity struct {
	// Slots is the sum over the service's ready backend servers; 0 when none is known.
	Slots int
	// Entries is the number of entries.
	Entries int
}

// Config configures a Limiter. With a nil Capacity nothing is limited.
type Config struct {
	Capacity func(service string) Capacity
	Now      func() time.Time
}

// Limiter limits the calls in flight for each service; it is safe for concurrent use.
type Limiter struct {
	cfg      Config
	mu       sync.RWMutex
	services map[string]*serviceLimiter
}

// New returns a Limiter that has granted no permits.
func New(cfg Config) *Limiter {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Capacity == nil {
		cfg.Capacity = func(string) Capacity { return Capacity{} }
	}
	return &Limiter{cfg: cfg, services: make(map[string]*serviceLimiter)}
}

// Acquire waits for a permit. The error is a *ShedError, or that of ctx when it ended first.
func (l *Limiter) Acquire(ctx context.Context, r Request) (*Permit, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	s := l.forService(r.Service)
	w, err := s.admit(&r, l.cfg.Capacity(r.Service))
	if err != nil {
		return nil, err
	}
	if w != nil {
		if err = s.wait(ctx, w); err != nil {
			return nil, err
		}
	}
	return &Permit{limiter: s, priority: r.Priority}, nil
}

// TryAcquire grants a permit only if the call can start without waiting; hedges use it.
func (l *Limiter) TryAcquire(r Request) (*Permit, bool) {
	s := l.forService(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setCapacity(l.cfg.Capacity(r.Service))
	if len(s.interactive)+len(s.deferrable) > 0 || !s.mayStart(r.Priority) {
		return nil, false
	}
	s.start(r.Priority)
	return &Permit{limiter: s, priority: r.Priority}, true
}

// forService returns the limiter of a service and creates it for the first call.
func (l *Limiter) forService(service string) *serviceLimiter {
	l.mu.RLock()
	s := l.services[service]
	l.mu.RUnlock()
	if s != nil {
		return s
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s = l.services[service]; s == nil {
		s = &serviceLimiter{now: l.cfg.Now}
		l.services[service] = s
	}
	return s
}

// maxSurgeShare is the share of extra entries that may run while old entries are being replaced.
const maxSurgeShare = 0.25

// ConnectionCap returns how many connections one entry may hold to a backend server that accepts the given number of connections
// from all entries together.
func ConnectionCap(connections, entries int) int {
	maxEntries := float64(max(entries, 1)) * (1 + maxSurgeShare)
	return max(int(float64(connections)/maxEntries), 1)
}
