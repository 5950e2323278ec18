package dispatcher

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/limiter"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/tracer"
)

const (
	// resultsCapacity exceeds the number of attempts that a call has in flight at once, so that deliver never blocks.
	resultsCapacity = 8
	// minUnrunAttempts is the number of attempts that a call may make while no backend server has run it, even if its rule allows
	// fewer.
	minUnrunAttempts = 3
	// deferrableRetryInterval is the mean time after which a deferrable call looks for free slots again.
	deferrableRetryInterval = 10 * time.Millisecond
	// defaultSlotWaits is the default of Config.SlotWaits.
	defaultSlotWaits = 2
	// serviceTimeShare is the share of its objective that a call is assumed to need once it has a slot. The rest is headroom:
	// operators set objectives well above the service time.
	serviceTimeShare = 0.4
	// slotWaitDivisor gives the shortest wait for a slot: the objective divided by it.
	slotWaitDivisor = 18
)

// execution is the state of one call while its attempts are made. Only the goroutine in run uses it, except in deliver.
type execution struct {
	d       *Dispatcher
	call    *Call
	service *serviceState
	results chan *attempt

	// permit is set only between two attempts; during an attempt, the attempt holds it.
	permit       *limiter.Permit
	tried        []registrar.Key
	pending      []*attempt
	attemptCount int
	shedCount    int
	slotWaits    int
	fallback     *attempt
	outcome      Outcome
	lastErr      error

	// fair counts the call among those of its account; nil for a call without a latency objective and for a deferrable one. draw is its
	// random number from 0 to 1. yielding is whether the last pick left room to other calls.
	fair     *limiter.FairCall
	draw     float64
	yielding yielding

	mu   sync.Mutex
	done bool
}

func (x *execution) run(ctx context.Context) (*Response, error) {
	if err := x.startAttempt(ctx, false); err != nil {
		return nil, x.fail(ctx, err)
	}
	var hedge <-chan time.Time
	if delay, ok := x.hedgeDelay(); ok {
		t := time.NewTimer(delay)
		defer t.Stop()
		hedge = t.C
	}
	lost := x.newLostTimer()
	defer lost.Stop()
	ended := ctx.Done()
	for {
		select {
		case <-ended:
			// An attempt may outlast ctx, but not Stop.
			ended = x.d.stop.Done()
			if x.d.stop.Err() != nil {
				ended = nil
				x.cancelPending()
			}
		case <-hedge:
			x.hedge(ctx)
		case <-lost.C:
			x.replaceLost(ctx)
		case a := <-x.results:
			x.record(a)
			if a.response != nil && !x.mayImprove(ctx, a) {
				return x.finish(a), nil
			}
			if x.ensureAttempt(ctx, a) {
				x.resetLostTimer(lost)
				continue
			}
			if x.fallback != nil {
				return x.finish(x.fallback), nil
			}
			return nil, x.fail(ctx, x.lastErr)
		}
	}
}

// cancelPending ends the attempts in flight, also those that outlast ctx.
func (x *execution) cancelPending() {
	for _, a := range x.pending {
		a.cancel()
	}
}

// startAttempt starts an attempt on a backend server that the call hasn't tried.
func (x *execution) startAttempt(ctx context.Context, hedge bool) error {
	begin := time.Now()
	choice, err := x.pickServer(ctx)
	if err != nil {
		x.call.Trace.Queue += time.Since(begin)
		return err
	}
	x.attemptCount++
	x.tried = append(x.tried, registrar.Key{Service: choice.Server.Service, InstanceID: choice.Server.InstanceID})
	a := &attempt{n: x.attemptCount, begin: time.Now(), choice: choice, permit: x.permit, shedCount: x.shedCount}
	x.permit = nil
	a.trace = tracer.Attempt{
		Server: choice.Server.InstanceID, Address: choice.Server.Address,
		Start:  begin.Sub(x.call.Trace.Begin),
		Queue:  a.begin.Sub(begin),
		Hedge:  hedge,
		Result: tracer.Answered,
	}
	if x.call.Rule.Repeat == parser.OncePerSend {
		// Not canceled when the caller leaves: after a cancellation nobody could tell whether the server ran the call.
		ctx, a.cancel = context.WithDeadline(context.WithoutCancel(ctx), x.call.Deadline)
	} else {
		ctx, a.cancel = context.WithCancel(ctx)
	}
	req := x.d.newRequest(x.call, a.n, &choice.Server)
	x.pending = append(x.pending, a)
	go func() {
		a.send(ctx, x.d, req, x.service)
		x.deliver(a)
	}()
	return nil
}

// pickServer waits for a permit and picks a backend server, unless this entry stops before the attempt would end. A deferrable call keeps
// trying until a server has free slots.
func (x *execution) pickServer(ctx context.Context) (*picker.Choice, error) {
	deferrable := x.call.Rule.Priority == parser.Deferrable
	allowFaulty := false
	for {
		if err := x.acquirePermit(ctx); err != nil {
			return nil, err
		}
		choice, err := x.probeAndPick(ctx, allowFaulty)
		if err == nil {
			if err = x.checkStillWanted(ctx); err == nil {
				return choice, nil
			}
			choice.Done(picker.Result{Canceled: true})
			x.releasePermit(false)
			return nil, err
		}
		if errors.Is(err, picker.ErrFull) && x.waitForSlot(ctx) {
			continue
		}
		if allowFaulty = errors.Is(err, picker.ErrOnlyFaulty) && !x.isLate(); allowFaulty {
			// Rather than refuse the call, send it to a server that may fail it.
			continue
		}
		x.releasePermit(errors.Is(err, picker.ErrFull))
		if !deferrable || x.attemptCount > 0 || !errors.Is(err, picker.ErrFull) {
			return nil, err
		}
		if err = sleep(ctx, deferrableRetryInterval/2+rand.N(deferrableRetryInterval)); err != nil {
			return nil, &limiter.ShedError{Reason: "no slots to spare before the deadline", RetryAfter: deferrableRetryAfter}
		}
	}
}

// acquirePermit waits for a permit unless the execution has one.
func (x *execution) acquirePermit(ctx context.Context) (err error) {
	if x.d.stop.Err() != nil || x.wouldOutlastStop() {
		x.releasePermit(false)
		return errStopping
	}
	if x.isRevoked() {
		x.releasePermit(false)
		return errRevoked
	}
	if x.permit != nil {
		return nil
	}
	if x.permit, err = x.d.cfg.Acquire(ctx, x.call.limiterRequest()); err == nil && x.isRevoked() {
		x.releasePermit(false)
		return errRevoked
	}
	return err
}

// checkStillWanted returns an error if the call must not be sent any more after a wait.
func (x *execution) checkStillWanted(ctx context.Context) error {
	if x.isRevoked() {
		return errRevoked
	}
	return ctx.Err()
}

// isRevoked reports whether the key of the call has been withdrawn.
func (x *execution) isRevoked() bool { return x.call.IsRevoked != nil && x.call.IsRevoked() }

// stopMargin is how many times the longest of the recent attempts must fit in the time until this entry stops.
const stopMargin = 1.1

// wouldOutlastStop reports whether an attempt that begins now is likely to be cut off by the stop of this entry. Another entry can still run the
// call.
func (x *execution) wouldOutlastStop() bool {
	stop := x.d.cfg.StopAt()
	if stop.IsZero() {
		return false
	}
	longest := cmp.Or(x.service.slowest.value(), x.call.Rule.Objective.Std())
	return time.Until(stop) < min(time.Duration(stopMargin*float64(longest)), x.call.remaining())
}

// probeAndPick picks a server among a few that were probed, once.
func (x *execution) probeAndPick(ctx context.Context, allowFaulty bool) (*picker.Choice, error) {
	x.updateYielding(time.Now())
	req := picker.Request{
		Service:     x.call.Service,
		Exclude:     x.tried,
		Deferrable:  x.call.Rule.Priority == parser.Deferrable,
		NoTrial:     x.call.Rule.IsOnce(),
		Rank:        x.call.Rule.Rank,
		Late:        x.mustYield(),
		FastOnly:    x.wantsFastOnly(),
		AllowFaulty: allowFaulty,
		PreferZone:  x.call.Rule.PreferZone,
		Slack:       x.call.slack(),
	}
	if x.d.cfg.Probe != nil {
		req.Candidates = x.d.cfg.Probe(ctx, req)
	}
	choice, err := x.d.cfg.Pick(req)
	if !req.FastOnly {
		x.recordFull(err)
	}
	return choice, err
}

// isLate reports whether the call is unlikely to meet its objective.
func (x *execution) isLate() bool { return x.call.Rule.Objective > 0 && x.call.slack() <= 0 }

// wantsFastOnly reports whether the call rejects slow servers, since it has time to wait for a faster one.
func (x *execution) wantsFastOnly() bool {
	return x.call.Rule.Objective > 0 && x.slotWaits < x.d.cfg.SlotWaits(x.call.Service) && x.attemptCount == 0 && !x.mustYield()
}

// waitForSlot sleeps for a short random time if the objective of the call allows it, and reports whether to pick again.
func (x *execution) waitForSlot(ctx context.Context) bool {
	objective := x.call.Rule.Objective.Std()
	if objective <= 0 || x.attemptCount > 0 || x.slotWaits >= x.d.cfg.SlotWaits(x.call.Service) || ctx.Err() != nil || x.mustYield() {
		return false
	}
	x.slotWaits++
	minWait := objective / slotWaitDivisor
	return sleep(ctx, minWait+rand.N(minWait)) == nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// releasePermit releases the permit if no attempt holds it; full means that no server had a free slot.
func (x *execution) releasePermit(full bool) {
	if x.permit == nil {
		return
	}
	x.permit.Report(limiter.Feedback{ShedCount: x.shedCount, ServersFull: full})
	x.permit.Release()
	x.permit = nil
}

// deliver passes an ended attempt to run, or discards it when the call has already ended.
func (x *execution) deliver(a *attempt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.done {
		a.discard()
		return
	}
	x.results <- a
}

// record updates the state of the call with an ended attempt.
func (x *execution) record(a *attempt) {
	x.pending = slices.DeleteFunc(x.pending, func(p *attempt) bool { return p == a })
	x.call.Trace.Attempts = append(x.call.Trace.Attempts, a.trace)
	if a.response != nil {
		x.service.latency.observe(a.latency)
		x.service.slowest.observe(a.latency)
		x.d.returns.RecordServed(x.call.Service, time.Now())
		return
	}
	x.lastErr = a.err
	if errors.Is(a.err, errShed) {
		x.shedCount++
		x.recordFull(a.err)
	}
	if !provesNotRun(a.err) {
		x.outcome = Unknown
	}
	if x.permit == nil {
		x.permit = a.permit
		return
	}
	a.permit.Release()
}

// mayImprove reports whether a returned a server error and another attempt may do better. A response that isn't completely buffered
// can't be kept as a fallback, so it is returned as it is.
func (x *execution) mayImprove(ctx context.Context, a *attempt) bool {
	body, _ := a.response.Body.(*responseBody)
	if a.response.Status < http.StatusInternalServerError || a.response.Status == http.StatusNotImplemented || !body.complete {
		return false
	}
	return x.mayRerun() && (len(x.pending) > 0 || x.attemptCount < x.call.Rule.Attempts && ctx.Err() == nil)
}

// mayRerun reports whether the call may be sent again after a backend server may have run it.
func (x *execution) mayRerun() bool {
	return x.call.Rule.Repeat == parser.Idempotent && !x.call.isForwardedRetry()
}

// ensureAttempt starts another attempt after a has failed, unless one is still in flight. It reports whether there is one.
func (x *execution) ensureAttempt(ctx context.Context, a *attempt) bool {
	if a.response != nil {
		x.setFallback(a)
	}
	if len(x.pending) > 0 {
		return true
	}
	x.call.Trace.NoRetry = x.retry(ctx, a)
	return x.call.Trace.NoRetry == ""
}

// retry starts another attempt after a has failed. If it doesn't, it returns why, as the log names it.
func (x *execution) retry(ctx context.Context, a *attempt) (cause string) {
	if ctx.Err() != nil {
		return x.refusalCause(ctx, ctx.Err())
	}
	if isContained(a.err) {
		return "crashes-servers"
	}
	if cause = x.retryObstacle(a); cause != "" {
		if x.call.IsExpired() {
			// The attempt's context has the same deadline and may end before ctx.
			return "deadline"
		}
		return cause
	}
	if err := x.startAttempt(ctx, false); err != nil {
		return x.refusalCause(ctx, err)
	}
	return ""
}

// setFallback keeps a server error, to be returned if no other attempt does better. The body is completely buffered and stays
// readable after Close.
func (x *execution) setFallback(a *attempt) {
	_ = a.response.Body.Close()
	x.fallback = a
}

// retryObstacle returns why the call may not be sent to another server after a has failed; empty if it may. A retry takes a token from the
// budget unless nothing of the attempt was written to a server.
func (x *execution) retryObstacle(a *attempt) string {
	notRun := a.response == nil && provesNotRun(a.err)
	switch {
	case (!notRun || x.outcome == Unknown) && !x.mayRerun():
		return "may-have-run"
	case !notRun && x.attemptCount >= x.call.Rule.Attempts, x.attemptCount >= max(x.call.Rule.Attempts, minUnrunAttempts):
		return "attempts"
	case notRun && !errors.Is(a.err, errShed), x.service.budget.withdraw(false):
		return ""
	}
	return "budget"
}

// hedgeDelay returns how long to wait before a hedge: the estimated 95th percentile of the service's latency. It returns false if
// the call must not hedge or would reach its deadline first.
func (x *execution) hedgeDelay() (delay time.Duration, ok bool) {
	if x.call.Rule.HedgeShare == 0 || x.call.Rule.Attempts < 2 || !x.mayRerun() {
		return 0, false
	}
	delay, ok = x.service.latency.value()
	return delay, ok && delay < x.call.remaining()
}

// hedge starts a second attempt while the first is in flight, if the limiter and the budget allow it at once.
func (x *execution) hedge(ctx context.Context) {
	if len(x.pending) != 1 || x.attemptCount >= x.call.Rule.Attempts {
		return
	}
	x.startExtra(ctx, true)
}

// startExtra starts another attempt while one is in flight, if the limiter and the budget allow it at once, and reports whether it has. The
// attempt takes the permit of one that has failed, if there is one. hedge is whether the budget of hedges counts, too.
func (x *execution) startExtra(ctx context.Context, hedge bool) bool {
	if ctx.Err() != nil {
		return false
	}
	if x.permit == nil {
		permit, ok := x.d.cfg.TryAcquire(x.call.limiterRequest())
		if !ok {
			return false
		}
		x.permit = permit
	}
	if x.service.budget.withdraw(hedge) && x.startAttempt(ctx, true) == nil {
		return true
	}
	x.releasePermit(false)
	return false
}

// finish returns the response of a and cancels the other attempts.
func (x *execution) finish(a *attempt) *Response {
	x.discardResults()
	for _, p := range x.pending {
		p.cancel()
		x.service.latency.observe(time.Since(p.begin))
		// The goroutine of the canceled attempt still owns p, so that its timing can't be read here.
		x.call.Trace.Attempts = append(x.call.Trace.Attempts, tracer.Attempt{
			Server: p.choice.Server.InstanceID,
			Start:  p.begin.Sub(x.call.Trace.Begin),
			Hedge:  p.n > 1,
			Result: tracer.Canceled,
		})
	}
	x.releasePermit(false)
	a.response.Attempts = x.attemptCount
	return a.response
}

// discardResults discards delivered attempts and makes deliver discard later ones.
func (x *execution) discardResults() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.done = true
	for {
		select {
		case a := <-x.results:
			a.discard()
		default:
			return
		}
	}
}

// discard frees what an ended attempt holds when its result is not used.
func (a *attempt) discard() {
	if a.response != nil {
		_ = a.response.Body.Close()
		return
	}
	a.permit.Release()
}
