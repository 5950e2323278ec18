package limiter

import (
	"sync"
	"time"

	"peridotswitch.example/common/parser"
)

const (
	// limitIncrease divided by the limit is added to it for each response while the limit is in use.
	limitIncrease = 0.2
	// A sign of congestion lowers the limit by minLimitDecrease or by limitDecreaseShare of it, whichever is more.
	minLimitDecrease   = 0.5
	limitDecreaseShare = 0.02
	// atLimitShare is the share of the limit that must be in flight for the limit to count as in use.
	atLimitShare = 0.8
	// congestedShedCount is the number of backend servers that must shed the same call before that counts as congestion; a single
	// one may be chance.
	congestedShedCount = 2
	// congestedLoadRatio is the ratio of reported calls in flight to slots above which a backend server counts as congested.
	congestedLoadRatio = 1.5
	// congestedLatencyRatio is the ratio of the latency to its baseline above which a service counts as congested. It is used where
	// servers report no load.
	congestedLatencyRatio = 3
	// interactiveReserve is the share of all slots that is reserved for interactive calls.
	interactiveReserve = 0.4
	// deferrableIncrease and deferrableDecrease are the steps of the limit of deferrable calls.
	deferrableIncrease = 0.1
	deferrableDecrease = 0.25
	// minDeferrableLimit is the lower bound of the limit of deferrable calls. A limit below 1 means a pause between calls.
	minDeferrableLimit = 0.05
	// latencyWeight is the weight of a new sample in the moving average of the latency.
	latencyWeight = 0.1
	// baselineDrift is the share by which the baseline, the lowest average latency, may rise with each response.
	baselineDrift = 0.001
	// standingQueueTime is how long a queue must have been non-empty to count as standing.
	standingQueueTime = 100 * time.Millisecond
	// standingWaitLatencies is how long an interactive call may wait in a standing queue, in multiples of the latency.
	standingWaitLatencies = 1
	// standingWaitFloor is the lower bound of that wait, and of the delay of a scheduled dispatch.
	standingWaitFloor = 10 * time.Millisecond
	// queueLatencies bounds the length of a queue to the calls that the limit allows in this many latencies.
	queueLatencies = 4
	// minQueueLength is the length that a queue may always have.
	minQueueLength        = 16
	interactiveRetryAfter = time.Second
	deferrableRetryAfter  = 5 * time.Second
)

// serviceLimiter limits the calls of one service.
type serviceLimiter struct {
	now func() time.Time
	mu  sync.Mutex
	// limit bounds the interactive calls in flight and deferrableLimit the deferrable ones. Both adapt to the feedback.
	limit           float64
	deferrableLimit float64
	capacity        Capacity

	interactiveInFlight int
	deferrableInFlight  int
	// deferrableAfter is when the next deferrable call may start while deferrableLimit is below 1.
	deferrableAfter   time.Time
	dispatchScheduled bool

	// latency is a moving average in nanoseconds, and baseline its lowest value, which drifts upwards.
	latency  float64
	baseline float64

	// interactive and deferrable are the queues, the oldest call first. queuedSince is when interactive last became non-empty, and
	// zero while it is empty.
	interactive []*waiter
	deferrable  []*waiter
	queuedSince time.Time
	// fair chooses among the interactive calls.
	fair fairQueue
}

// setCapacity sets the capacity. With the first one, limit starts at all slots and deferrableLimit at this entry's fair share of the
// slots that are not reserved.
func (s *serviceLimiter) setCapacity(c Capacity) {
	if c == s.capacity {
		return
	}
	if s.capacity.Slots == 0 {
		s.limit = float64(c.Slots)
		s.deferrableLimit = max(s.fairShare(c)*(1-interactiveReserve), 1)
	}
	s.capacity = c
	s.clampLimits()
}

// fairShare returns this entry's share of the slots.
func (s *serviceLimiter) fairShare(c Capacity) float64 {
	return float64(c.Slots) / float64(max(c.Entries, 1))
}

// clampLimits keeps limit between this entry's fair share and all slots, and deferrableLimit between its lower bound and all slots
// that are not reserved.
func (s *serviceLimiter) clampLimits() {
	maxLimit := float64(s.capacity.Slots)
	s.limit = min(max(s.limit, s.fairShare(s.capacity), 1), max(maxLimit, 1))
	s.deferrableLimit = min(max(s.deferrableLimit, minDeferrableLimit), max(maxLimit*(1-interactiveReserve), 1))
}

func (s *serviceLimiter) mayStart(p parser.Priority) bool {
	if s.capacity.Slots == 0 {
		return true
	}
	if p != parser.Deferrable {
		return float64(s.interactiveInFlight) < s.limit
	}
	if len(s.interactive) > 0 || float64(s.interactiveInFlight) >= s.limit*(1-interactiveReserve) {
		return false
	}
	if s.deferrableLimit < 1 {
		return s.deferrableInFlight == 0 && !s.now().Before(s.deferrableAfter)
	}
	return float64(s.deferrableInFlight+1) <= s.deferrableLimit
}

func (s *serviceLimiter) start(p parser.Priority) {
	if p == parser.Deferrable {
		s.deferrableInFlight++
		return
	}
	s.interactiveInFlight++
}

func (s *serviceLimiter) release(p *Permit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	atLimit := float64(s.interactiveInFlight) >= atLimitShare*s.limit
	if p.priority == parser.Deferrable {
		s.deferrableInFlight--
		atLimit = float64(s.deferrableInFlight+1) >= atLimitShare*s.deferrableLimit
	} else {
		s.interactiveInFlight--
	}
	if p.feedback != nil {
		s.updateLimits(p.priority, p.feedback, atLimit)
	}
	if p.priority == parser.Deferrable && s.deferrableLimit < 1 {
		s.deferrableAfter = s.now().Add(time.Duration(s.latency * (1/s.deferrableLimit - 1)))
	}
	s.dispatch()
}

// updateLimits adapts the limits to the feedback of a call. Both increase and decrease are additive, so that entries with unequal
// load share free slots.
func (s *serviceLimiter) updateLimits(p parser.Priority, f *Feedback, atLimit bool) {
	if f.Latency > 0 {
		s.updateLatency(float64(f.Latency))
	}
	if p == parser.Deferrable {
		s.updateDeferrableLimit(f, atLimit)
		return
	}
	if s.isCongested(f) {
		s.limit -= max(minLimitDecrease, limitDecreaseShare*s.limit)
	} else if atLimit && f.Latency > 0 {
		s.limit += limitIncrease / s.limit
	}
	s.clampLimits()
}

func (s *serviceLimiter) updateLatency(latency float64) {
	if s.latency == 0 {
		s.latency, s.baseline = latency, latency
		return
	}
	s.latency += latencyWeight * (latency - s.latency)
	s.baseline = min(s.baseline*(1+baselineDrift), s.latency)
}

func (s *serviceLimiter) isCongested(f *Feedback) bool {
	if f.ServersFull || f.ShedCount >= congestedShedCount {
		return true
	}
	if f.Slots > 0 {
		return float64(f.InFlight) > congestedLoadRatio*float64(f.Slots)
	}
	return f.Latency > 0 && s.latency > congestedLatencyRatio*s.baseline
}

// updateDeferrableLimit lowers the limit as soon as a backend server has less than the reserve free.
func (s *serviceLimiter) updateDeferrableLimit(f *Feedback, atLimit bool) {
	busy := f.ServersFull || f.ShedCount > 0 || s.isCongested(f)
	if f.Slots > 0 {
		busy = busy || float64(f.InFlight) > float64(f.Slots)*(1-interactiveReserve)
	}
	if busy {
		s.deferrableLimit -= deferrableDecrease * min(s.deferrableLimit, 1)
	} else if atLimit && f.Latency > 0 {
		s.deferrableLimit += deferrableIncrease / max(s.deferrableLimit, 1)
	}
	s.clampLimits()
}
