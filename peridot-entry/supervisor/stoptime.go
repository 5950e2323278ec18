package supervisor

import (
	"context"
	"sync/atomic"
	"time"
)

// responseTime is how long before its stop an entry ends the calls that have no response yet, so that their callers still get one.
const responseTime = 100 * time.Millisecond

// stopTime is the time at which a stopping entry cuts off the calls that are still in flight.
type stopTime struct{ at atomic.Pointer[time.Time] }

// set takes the time from the context of Close. It calls endCalls once responseTime is left.
func (s *stopTime) set(ctx context.Context, endCalls func()) {
	if at, ok := ctx.Deadline(); ok {
		s.at.Store(&at)
		time.AfterFunc(time.Until(at)-responseTime, endCalls)
	}
}

// get returns the time, or zero while no stop has begun.
func (s *stopTime) get() time.Time {
	if at := s.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
