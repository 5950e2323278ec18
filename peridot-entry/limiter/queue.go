package limiter

import (
	"context"
	"slices"
	"time"

	"peridotswitch.example/common/parser"
)

// waiter is a call in a queue. Its channel done is closed once the call has got its permit or has been shed; shedErr is set in the latter case.
type waiter struct {
	priority parser.Priority
	account  string
	queuedAt time.Time
	maxWait  time.Duration
	done     chan struct{}
	shedErr  *ShedError
}

// admit starts a call and returns nil, or adds it to its queue and returns the waiter.
func (s *serviceLimiter) admit(r *Request, c Capacity) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setCapacity(c)
	queue := s.queue(r.Priority)
	if len(*queue) == 0 && s.mayStart(r.Priority) {
		s.start(r.Priority)
		return nil, nil
	}
	now := s.now()
	maxWait := r.Deadline.Sub(now) - time.Duration(s.latency)
	if maxWait <= 0 {
		return nil, &ShedError{Reason: "the queue leaves no time before the deadline", RetryAfter: interactiveRetryAfter}
	}
	if r.Priority != parser.Deferrable && s.hasStandingQueue(now) {
		maxWait = min(maxWait, s.maxStandingWait())
	}
	if err := s.makeRoom(r, queue); err != nil {
		return nil, err
	}
	if r.Priority != parser.Deferrable && s.queuedSince.IsZero() {
		s.queuedSince = now
	}
	w := &waiter{priority: r.Priority, account: r.Account, queuedAt: now, maxWait: maxWait, done: make(chan struct{})}
	*queue = append(*queue, w)
	s.dispatch()
	return w, nil
}

// makeRoom bounds the length of a queue. When it is full, a new interactive call replaces the oldest one of the account with the most waiting
// calls, which has the least time left, and a new deferrable call is refused.
func (s *serviceLimiter) makeRoom(r *Request, queue *[]*waiter) error {
	if len(*queue) < max(int(queueLatencies*s.limit), minQueueLength) {
		return nil
	}
	if r.Priority == parser.Deferrable {
		return &ShedError{Reason: "the queue of deferrable calls is full", RetryAfter: deferrableRetryAfter}
	}
	s.shed(s.fair.victim(*queue, r.Account), &ShedError{Reason: "the queue is full", RetryAfter: interactiveRetryAfter})
	return nil
}

func (s *serviceLimiter) queue(p parser.Priority) *[]*waiter {
	if p == parser.Deferrable {
		return &s.deferrable
	}
	return &s.interactive
}

// hasStandingQueue reports whether the interactive queue has been non-empty for longer than standingQueueTime.
func (s *serviceLimiter) hasStandingQueue(now time.Time) bool {
	return !s.queuedSince.IsZero() && now.Sub(s.queuedSince) > standingQueueTime
}

// maxStandingWait returns how long an interactive call may wait in a standing queue.
func (s *serviceLimiter) maxStandingWait() time.Duration {
	return max(time.Duration(standingWaitLatencies*s.latency), standingWaitFloor)
}

// shed removes w from its queue and ends its wait with err.
func (s *serviceLimiter) shed(w *waiter, err *ShedError) {
	s.remove(w)
	w.shedErr = err
	close(w.done)
}

// remove takes w out of its queue and reports whether it was there.
func (s *serviceLimiter) remove(w *waiter) bool {
	queue := s.queue(w.priority)
	i := slices.Index(*queue, w)
	if i < 0 {
		return false
	}
	*queue = slices.Delete(*queue, i, i+1)
	if len(s.interactive) == 0 {
		s.queuedSince = time.Time{}
		s.fair.reset()
	}
	return true
}

// wait waits for the permit of w; after an error w has none.
func (s *serviceLimiter) wait(ctx context.Context, w *waiter) error {
	t := time.NewTimer(w.maxWait)
	defer t.Stop()
	var err error
	select {
	case <-w.done:
		return w.result()
	case <-t.C:
		err = &ShedError{Reason: "no slot came free in time", RetryAfter: interactiveRetryAfter}
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remove(w) {
		return err
	}
	return w.result()
}

func (w *waiter) result() error {
	if w.shedErr != nil {
		return w.shedErr
	}
	return nil
}

// dispatch starts queued calls as the limits allow, interactive ones before deferrable ones. It takes the oldest first, but the
// newest interactive call while that queue is standing. Interactive calls are taken from all accounts alike.
func (s *serviceLimiter) dispatch() {
	now := s.now()
	s.shedStale(now)
	for len(s.interactive) > 0 && s.mayStart(parser.Interactive) {
		next := s.fair.next(s.interactive, s.hasStandingQueue(now))
		s.fair.recordGrant(next.account)
		s.grant(next)
	}
	for len(s.deferrable) > 0 && s.mayStart(parser.Deferrable) {
		s.grant(s.deferrable[0])
	}
	s.scheduleDispatch(now)
}

func (s *serviceLimiter) grant(w *waiter) {
	s.remove(w)
	s.start(w.priority)
	close(w.done)
}

// shedStale sheds the interactive calls that have waited too long in a standing queue.
func (s *serviceLimiter) shedStale(now time.Time) {
	if !s.hasStandingQueue(now) {
		return
	}
	maxWait := s.maxStandingWait()
	for len(s.interactive) > 0 && now.Sub(s.interactive[0].queuedAt) > maxWait {
		s.shed(s.interactive[0], &ShedError{Reason: "overload: no slot came free in time", RetryAfter: interactiveRetryAfter})
	}
}

// scheduleDispatch runs dispatch after the pause between deferrable calls. There may be no call in flight
// whose end would run it.
func (s *serviceLimiter) scheduleDispatch(now time.Time) {
	if s.dispatchScheduled || len(s.deferrable) == 0 || s.deferrableInFlight > 0 {
		return
	}
	s.dispatchScheduled = true
	time.AfterFunc(max(s.deferrableAfter.Sub(now), standingWaitFloor), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dispatchScheduled = false
		s.dispatch()
	})
}
