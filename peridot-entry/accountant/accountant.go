package accountant

import (
	"sync"
	"time"

	"peridotswitch.example/common/parser"
)

// Sample is one finished call.
type Sample struct {
	Service string
	Latency time.Duration
	// Good is false for a call that failed by the fault of this entry or of a backend server.
	Good bool
	// CallerLeft is true when the caller left before the response. Such a call counts only if it had missed the objective by then.
	CallerLeft bool
}

// Windows are the time windows over which burn rates are computed, the shortest first.
var Windows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// StepWidth is the width of one step of the time series, and Steps the number of steps.
const (
	StepWidth = 5 * time.Minute
	Steps     = int(6 * time.Hour / StepWidth)
)

const (
	bucketWidth = 10 * time.Second
	// One bucket more than six hours take, since the current one is incomplete.
	buckets        = int(6*time.Hour/bucketWidth) + 1
	bucketsPerStep = int(StepWidth / bucketWidth)
)

// Count is the number of finished calls and of those that missed the objective.
type Count struct {
	Total uint64
	Bad   uint64
}

// Add adds o to c.
func (c *Count) Add(o Count) {
	c.Total += o.Total
	c.Bad += o.Bad
}

// ServiceCounts are the calls of one service at one entry, or at several after Add.
type ServiceCounts struct {
	Service string
	Windows [len(Windows)]Count
	// Steps is the time series that ends now, the newest step first.
	Steps [Steps]Count
}

// Add adds the calls that another entry counted.
func (c *ServiceCounts) Add(o ServiceCounts) {
	for i := range c.Windows {
		c.Windows[i].Add(o.Windows[i])
	}
	for i := range c.Steps {
		c.Steps[i].Add(o.Steps[i])
	}
}

// Config configures an Accountant. Objective is required.
type Config struct {
	// Objective returns the objective of a service; ok is false for a service that is not in the inventory.
	Objective func(service string) (o parser.Objective, ok bool)
	Now       func() time.Time
}

// Accountant counts calls, and those that miss the objective of their service, in time buckets of fixed width. It uses the monotonic
// clock and is safe for concurrent use.
type Accountant struct {
	cfg      Config
	start    time.Time
	mu       sync.Mutex
	services map[string]*ring
}

// ring holds the newest buckets of one service; newest is the number of the newest one, counted from the start of the Accountant.
type ring struct {
	newest  int
	buckets [buckets]bucket
}

type bucket struct {
	total uint32
	bad   uint32
}

// New returns an Accountant that starts to count now.
func New(cfg Config) *Accountant {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Accountant{cfg: cfg, start: cfg.Now(), services: make(map[string]*ring)}
}

// Add counts a finished call and reports whether it missed the objective.
func (a *Accountant) Add(s Sample) (missed bool) {
	o, ok := a.cfg.Objective(s.Service)
	if !ok {
		return false
	}
	missed = s.Latency > o.Latency.Std() || !s.Good && !s.CallerLeft
	if s.CallerLeft && !missed {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.services[s.Service]
	if r == nil {
		r = &ring{}
		a.services[s.Service] = r
	}
	n := a.currentBucket()
	r.advance(n)
	b := &r.buckets[n%buckets]
	b.total++
	if missed {
		b.bad++
	}
	return missed
}

// CountedFor returns for how long this Accountant has counted calls.
func (a *Accountant) CountedFor() time.Duration { return a.cfg.Now().Sub(a.start) }

// Counts returns the counts of all services with calls.
func (a *Accountant) Counts() []ServiceCounts {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.currentBucket()
	var out []ServiceCounts
	for name, r := range a.services {
		r.advance(n)
		out = append(out, r.counts(name))
	}
	return out
}

// currentBucket returns the number of the current bucket.
func (a *Accountant) currentBucket() int { return int(a.cfg.Now().Sub(a.start) / bucketWidth) }

// advance makes n the newest bucket and clears the buckets that are reused for it and those before it.
func (r *ring) advance(n int) {
	for i := max(r.newest+1, n-buckets+1); i <= n; i++ {
		r.buckets[i%buckets] = bucket{}
	}
	r.newest = max(r.newest, n)
}

func (r *ring) counts(service string) ServiceCounts {
	c := ServiceCounts{Service: service}
	for age := 0; age < buckets && age <= r.newest; age++ {
		b := r.buckets[(r.newest-age)%buckets]
		count := Count{Total: uint64(b.total), Bad: uint64(b.bad)}
		for i, w := range Windows {
			if age <= int(w/bucketWidth) {
				c.Windows[i].Add(count)
			}
		}
		if step := age / bucketsPerStep; step < Steps {
			c.Steps[step].Add(count)
		}
	}
	return c
}
