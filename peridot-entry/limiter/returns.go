package limiter

import (
	"math"
	"sync"
	"time"
)

const (
	// servedHalfLife is the half-life of the count of served calls, from which the rate of a service is derived.
	servedHalfLife = 2 * time.Second
	// returnShare is the share of the rate at which calls are served that is set aside for callers that return. First sends take the rest.
	returnShare = 0.5
	// maxReturnDelay is the longest delay until a refused caller returns.
	maxReturnDelay = 3 * time.Second
)

// Returns decides when refused callers are to send their calls again. Load condition: calls were refused for lack of capacity, and their
// callers would all return together. Each refused caller is given the next place in a schedule at the rate that can be served. Each entry
// decides by the calls that it sees itself. Returns is safe for concurrent use.
type Returns struct {
	mu       sync.Mutex
	services map[string]*returnSchedule
}

// returnSchedule is the schedule for one service.
type returnSchedule struct {
	// served is a decayed count of the calls that were served, as of servedAt.
	served   float64
	servedAt time.Time
	// nextAt is when the last caller that was refused is expected to be served.
	nextAt time.Time
}

// ReturnRequest asks for the delay until a refused caller returns.
type ReturnRequest struct {
	Service string
	// Least is the shortest delay, before which no capacity is expected.
	Least time.Duration
	// Most is how long the caller can wait and still be served.
	Most time.Duration
	// Beyond is true for a call beyond the fair share of its account. It gets no place in the schedule and returns late.
	Beyond bool
	// Draw is a random number from 0 to 1.
	Draw float64
}

const (
	// leastReturnShare is the share of its objective that a refused caller is asked to wait at least. That is about half of a service time:
	// before it, too few of the calls in flight end. Two thirds of the objective remain for the call.
	leastReturnShare = 0.2
	// refusedAfterShare is the least share of its objective after which a call is refused that has waited for a slot twice.
	refusedAfterShare = 1.0 / 9
)

// LeastReturnDelay returns the least delay until a refused caller with the given latency objective returns.
func LeastReturnDelay(objective time.Duration) time.Duration {
	return time.Duration(leastReturnShare * float64(objective))
}

// IsEarlyReturn reports whether a call whose caller has waited for the given time since its first send, 0 for a first send, has returned before
// any refusal would have asked it to. While capacity is short, such a call uses only the capacity that others leave: otherwise callers that
// return at once would have more attempts than others in the same time.
func IsEarlyReturn(waited, objective time.Duration) bool {
	return waited > 0 && waited < LeastReturnDelay(objective)+time.Duration(refusedAfterShare*float64(objective))
}

// NewReturns returns a Returns that has seen no calls.
func NewReturns() *Returns { return &Returns{services: make(map[string]*returnSchedule)} }

// RecordServed records that a call was served.
func (r *Returns) RecordServed(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.schedule(service)
	s.decay(now)
	s.served++
}

// Delay returns the delay until a refused caller returns.
func (r *Returns) Delay(q ReturnRequest, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := min(q.Most, maxReturnDelay)
	last := time.Duration((1 + q.Draw) / 2 * float64(most))
	if q.Beyond {
		return last
	}
	s := r.schedule(q.Service)
	s.decay(now)
	interval := float64(servedHalfLife) / math.Ln2 / (returnShare * s.served)
	if s.nextAt.Before(now) {
		s.nextAt = now
	}
	wait := float64(s.nextAt.Sub(now)) + interval
	if wait > float64(most) {
		// The schedule is full for as long as this caller can wait.
		return last
	}
	s.nextAt = now.Add(time.Duration(wait))
	wait = max(wait*(0.5+q.Draw), float64(q.Least)*(1+q.Draw))
	return time.Duration(min(wait, float64(last)))
}

func (r *Returns) schedule(service string) *returnSchedule {
	s := r.services[service]
	if s == nil {
		s = &returnSchedule{}
		r.services[service] = s
	}
	return s
}

func (s *returnSchedule) decay(now time.Time) {
	s.served *= math.Exp2(-float64(now.Sub(s.servedAt)) / float64(servedHalfLife))
	s.servedAt = now
}
