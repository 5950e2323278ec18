package estimator

import (
	"sync"
	"time"
)

const (
	// memory is for how long a deadline that callers have named counts: several calls of a rare kind come to an entry within it.
	memory = 10 * time.Second
	// usualCount is how often callers must have named the same deadline for it to count as one that first sends name; what is left of
	// one after a wait is hardly ever the same twice.
	usualCount = 2
	// maxDeadlines bounds the deadlines that are counted for one kind of call.
	maxDeadlines = 64
	// maxKinds bounds the kinds of calls.
	maxKinds = 4096
)

// Estimator follows which deadlines the callers of each kind of call name at first; the zero value is ready to use.
type Estimator struct {
	// Now is the clock; time.Now when nil.
	Now func() time.Time

	mu    sync.Mutex
	kinds map[string]*deadlines
}

// deadlines counts the deadlines that the callers of one kind have named, in this span of memory and the one before.
type deadlines struct {
	since        time.Time
	recent, past map[time.Duration]int
}

// Waited takes in that a caller of a kind has left of its time and returns for how long it has waited already: what is missing to the
// next greater deadline that callers usually name; 0 when none is known.
func (e *Estimator) Waited(kind string, left time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now
	if e.Now != nil {
		now = e.Now
	}
	left = left.Round(time.Millisecond)
	d := e.kind(kind, now())
	if d == nil {
		return 0
	}
	if d.recent[left] > 0 || len(d.recent) < maxDeadlines {
		d.recent[left]++
	}
	next := time.Duration(0)
	for _, counts := range []map[time.Duration]int{d.recent, d.past} {
		for deadline, n := range counts {
			if n >= usualCount && deadline >= left && (next == 0 || deadline < next) {
				next = deadline
			}
		}
	}
	return max(next-left, 0)
}

// kind returns what is known of a kind of call; nil when there are too many.
func (e *Estimator) kind(name string, now time.Time) *deadlines {
	d := e.kinds[name]
	if d == nil {
		if len(e.kinds) >= maxKinds {
			return nil
		}
		if e.kinds == nil {
			e.kinds = make(map[string]*deadlines)
		}
		d = &deadlines{since: now, recent: make(map[time.Duration]int)}
		e.kinds[name] = d
	}
	if now.Sub(d.since) >= memory {
		d.past, d.recent, d.since = d.recent, make(map[time.Duration]int), now
	}
	return d
}
