package estimator

import (
	"sync"
	"time"
)

const (
	// window is how long a deadline is counted. An entry gets several calls of even a rarely used route within it.
	window = 10 * time.Second
	// minCount is how often a deadline must have been sent to count as that of first sends. The time left of a deadline after a wait is
	// hardly ever the same twice.
	minCount = 2
	// maxDeadlines limits the deadlines that are counted for one route.
	maxDeadlines = 64
	// maxRoutes limits the routes.
	maxRoutes = 4096
)

// Estimator learns which deadlines the callers of each route send at first. Its zero value is ready to use.
type Estimator struct {
	// Now returns the current time; nil for time.Now.
	Now func() time.Time

	mu     sync.Mutex
	routes map[string]*deadlineCounts
}

// deadlineCounts counts the deadlines that the callers of one route have sent.
type deadlineCounts struct {
	// since is when the current window began.
	since             time.Time
	current, previous map[time.Duration]int
}

// Waited records that a call of the route was sent with the given time left until its deadline. It returns an estimate of how long the
// caller has waited already: the difference to the next longer deadline that calls of the route are usually sent with, 0 when there is
// none.
func (e *Estimator) Waited(route string, left time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now
	if e.Now != nil {
		now = e.Now
	}
	left = left.Round(time.Millisecond)
	d := e.countsOf(route, now())
	if d == nil {
		return 0
	}
	if d.current[left] > 0 || len(d.current) < maxDeadlines {
		d.current[left]++
	}
	usual := time.Duration(0)
	for _, counts := range []map[time.Duration]int{d.current, d.previous} {
		for deadline, n := range counts {
			if n >= minCount && deadline >= left && (usual == 0 || deadline < usual) {
				usual = deadline
			}
		}
	}
	return max(usual-left, 0)
}

// countsOf returns the deadline counts of a route; nil when there are too many routes.
func (e *Estimator) countsOf(route string, now time.Time) *deadlineCounts {
	d := e.routes[route]
	if d == nil {
		if len(e.routes) >= maxRoutes {
			return nil
		}
		if e.routes == nil {
			e.routes = make(map[string]*deadlineCounts)
		}
		d = &deadlineCounts{since: now, current: make(map[time.Duration]int)}
		e.routes[route] = d
	}
	if now.Sub(d.since) >= window {
		d.previous, d.current, d.since = d.current, make(map[time.Duration]int), now
	}
	return d
}
