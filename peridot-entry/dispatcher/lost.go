package dispatcher

import (
	"context"
	"time"
)

const (
	// lostLatencies is how many times the expected time an attempt may take before it counts as lost.
	lostLatencies = 3
	// lostObjectiveShare is the least share of the call's objective after which it does. Below that a slow response is still in time.
	lostObjectiveShare = 0.5
)

// newLostTimer returns a timer that fires when the first attempt counts as lost.
func (x *execution) newLostTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	x.resetLostTimer(t)
	return t
}

// resetLostTimer sets the timer for the attempt that was started last.
func (x *execution) resetLostTimer(t *time.Timer) {
	t.Stop()
	if delay, ok := x.lostDelay(); ok {
		t.Reset(delay)
	}
}

// lostDelay returns the time after which the attempt that was started last counts as lost: much longer than expected by the recent latencies
// of the service and the load of the server. It returns false if no time would remain for another attempt then.
func (x *execution) lostDelay() (delay time.Duration, ok bool) {
	objective := x.call.Rule.Objective.Std()
	if !x.d.cfg.ReplaceLost || objective <= 0 || len(x.pending) == 0 {
		return 0, false
	}
	expected := x.pending[len(x.pending)-1].choice.ExpectedTime()
	delay = max(lostLatencies*expected, time.Duration(lostObjectiveShare*float64(objective)))
	if expected == 0 {
		expected, delay = objective, objective
	}
	return delay, delay+expected < x.call.remaining()
}

// replaceLost starts a second attempt at another server while the first, which counts as lost, goes on, if the limiter and the budget allow it.
// The first response wins: a slow server runs the call in any case, so that giving up its attempt would only waste the work. Attempts without
// a response are canceled at the end of the call, which closes their connections.
func (x *execution) replaceLost(ctx context.Context) {
	if len(x.pending) != 1 || x.pending[0].answered.Load() {
		return
	}
	x.pending[0].choice.MarkSilent()
	replaced := x.startReplacement(ctx)
	if x.d.cfg.OnLost != nil {
		x.d.cfg.OnLost(x.pending[0].choice.Server.Key(), replaced)
	}
}

// startReplacement starts another attempt while the first is in flight and reports whether it has.
func (x *execution) startReplacement(ctx context.Context) bool {
	if !x.mayRerun() || x.attemptCount >= x.call.Rule.Attempts {
		return false
	}
	return x.startExtra(ctx, false)
}
