package supervisor

import (
	"context"
	"sync/atomic"
	"time"
)

// stopTime is the time at which a stopping entry cuts off the calls that are still in flight.
type stopTime struct{ at atomic.Pointer[time.Time] }

// set takes the time from the context of Close.
func (s *stopTime) set(ctx context.Context) {
	if at, ok := ctx.Deadline(); ok {
		s.at.Store(&at)
	}
}

// get returns the time, or zero while no stop has begun.
func (s *stopTime) get() time.Time {
	if at := s.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
