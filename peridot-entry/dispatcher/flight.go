package dispatcher

import (
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
	// maxInFlight is more than the attempts that a call can have delivered at once.
	maxInFlight = 8
	// leastMoves is how many attempts a call has that no backend server has run, whatever its rule says.
	leastMoves = 3
	// fullPause is the mean wait of a deferrable call before it looks again for spare slots.
	fullPause = 10 * time.Millisecond
	// maxWaits is how often a call looks again for a server with a free slot: what is not free by then is full.
	maxWaits = 2
	// workShare is the share of an objective that a call is taken to need once it has a slot; operators leave some room above the work.
	workShare = 0.4
	// slotPauses is how many of the shortest waits for a slot fit into a call's objective.
	slotPauses = 18
)

// flight is one call on its way; only the goroutine in run touches it but for deliver.
type flight struct {
	d       *Dispatcher
	call    *Call
	service *service
	results chan *attempt

	// ticket is held between two attempts.
	ticket  *limiter.Ticket
	tried   []registrar.Key
	pending []*attempt
	sent    int
	sheds   int
	waits   int
	held    *attempt
	outcome Outcome
	last    error

	mu   sync.Mutex
	done bool
}

func (f *flight) run(ctx context.Context) (*Answer, error) {
	if err := f.launch(ctx, false); err != nil {
		return nil, f.fail(ctx, err)
	}
	var hedge <-chan time.Time
	if after, ok := f.hedgeAfter(); ok {
		t := time.NewTimer(after)
		defer t.Stop()
		hedge = t.C
	}
	for {
		select {
		case <-hedge:
			f.hedge(ctx)
		case a := <-f.results:
			f.take(a)
			if a.answer != nil && !f.improvable(ctx, a) {
				return f.finish(a), nil
			}
			if f.moveOn(ctx, a) {
				continue
			}
			if f.held != nil {
				return f.finish(f.held), nil
			}
			return nil, f.fail(ctx, f.last)
		}
	}
}

// launch starts an attempt at a backend server that the call hasn't tried.
func (f *flight) launch(ctx context.Context, hedge bool) error {
	begin := time.Now()
	choice, err := f.choose(ctx)
	if err != nil {
		f.call.Trace.Queue += time.Since(begin)
		return err
	}
	f.sent++
	f.tried = append(f.tried, registrar.Key{Service: choice.Server.Service, InstanceID: choice.Server.InstanceID})
	a := &attempt{n: f.sent, begin: time.Now(), choice: choice, ticket: f.ticket, sheds: f.sheds}
	f.ticket = nil
	a.trace = tracer.Attempt{
		Server: choice.Server.InstanceID,
		Start:  begin.Sub(f.call.Trace.Begin),
		Queue:  a.begin.Sub(begin),
		Hedge:  hedge,
		Result: tracer.Answered,
	}
	if f.call.Rule.Repeat == parser.OncePerSend {
		// What may run once is left to end when its caller goes: nobody could tell how far it got.
		ctx, a.cancel = context.WithDeadline(context.WithoutCancel(ctx), f.call.Deadline)
	} else {
		ctx, a.cancel = context.WithCancel(ctx)
	}
	req := f.d.request(f.call, a.n, &choice.Server)
	f.pending = append(f.pending, a)
	go func() {
		a.send(ctx, f.d, req, f.service)
		f.deliver(a)
	}()
	return nil
}

// choose waits for a ticket and a backend server; a deferrable call also waits for spare slots.
func (f *flight) choose(ctx context.Context) (*picker.Choice, error) {
	deferrable := f.call.Rule.Priority == parser.Deferrable
	for {
		if f.ticket == nil {
			var err error
			if f.ticket, err = f.d.cfg.Acquire(ctx, f.call.limit()); err != nil {
				return nil, err
			}
		}
		req := picker.Request{
			Service:    f.call.Service,
			Exclude:    f.tried,
			Deferrable: deferrable,
			NoTrial:    f.call.Rule.IsOnce(),
			Rank:       f.call.Rule.Rank,
			Late:       f.isLate(),
			FastOnly:   f.wantsFast(),
		}
		if f.d.cfg.Scout != nil {
			req.Candidates = f.d.cfg.Scout(ctx, req)
		}
		choice, err := f.d.cfg.Pick(req)
		if err == nil {
			return choice, nil
		}
		if errors.Is(err, picker.ErrFull) && f.mayWait(ctx) {
			continue
		}
		f.giveBack(errors.Is(err, picker.ErrFull))
		if !deferrable || f.sent > 0 || !errors.Is(err, picker.ErrFull) {
			return nil, err
		}
		if err = pause(ctx, fullPause/2+rand.N(fullPause)); err != nil {
			return nil, &limiter.ShedError{Reason: "no slots to spare before the deadline", RetryAfter: retryLater}
		}
	}
}

// isLate reports whether the call can hardly meet its objective any more.
func (f *flight) isLate() bool { return f.call.Rule.Objective > 0 && f.call.spare() <= 0 }

// wantsFast reports whether the call rather looks again than goes to a slow server.
func (f *flight) wantsFast() bool {
	return f.call.Rule.Objective > 0 && f.waits < maxWaits && f.sent == 0 && !f.isLate()
}

// mayWait waits a moment for a slot where the call's objective leaves time for it, and reports whether to look again.
func (f *flight) mayWait(ctx context.Context) bool {
	objective := f.call.Rule.Objective.Std()
	if objective <= 0 || f.sent > 0 || f.waits >= maxWaits || ctx.Err() != nil || f.isLate() {
		return false
	}
	f.waits++
	least := objective / slotPauses
	return pause(ctx, least+rand.N(least)) == nil
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// giveBack releases the ticket between attempts.
func (f *flight) giveBack(full bool) {
	if f.ticket == nil {
		return
	}
	f.ticket.Report(limiter.Feedback{Sheds: f.sheds, Full: full})
	f.ticket.Release()
	f.ticket = nil
}

// deliver hands an ended attempt to run, or ends it for good when another one has won.
func (f *flight) deliver(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.done {
		a.discard()
		return
	}
	f.results <- a
}

// take notes an ended attempt.
func (f *flight) take(a *attempt) {
	f.pending = slices.DeleteFunc(f.pending, func(p *attempt) bool { return p == a })
	f.call.Trace.Attempts = append(f.call.Trace.Attempts, a.trace)
	if a.answer != nil {
		f.service.latency.add(a.took)
		return
	}
	f.last = a.err
	if errors.Is(a.err, errShed) {
		f.sheds++
	}
	if !notRun(a.err) {
		f.outcome = Unknown
	}
	if f.ticket == nil {
		f.ticket = a.ticket
		return
	}
	a.ticket.Release()
}

// improvable reports whether an answer says that its server failed and another may do better.
func (f *flight) improvable(ctx context.Context, a *attempt) bool {
	body, _ := a.answer.Body.(*answerBody)
	if a.answer.Status < http.StatusInternalServerError || a.answer.Status == http.StatusNotImplemented || !body.whole {
		return false
	}
	return f.mayRepeat() && (len(f.pending) > 0 || f.sent < f.call.Rule.Attempts && ctx.Err() == nil)
}

// mayRepeat reports whether an attempt that may have run may be made again.
func (f *flight) mayRepeat() bool {
	return f.call.Rule.Repeat == parser.Idempotent && !f.call.isRepeat()
}

// moveOn reports whether another attempt is in flight after a has failed, and starts one if none is.
func (f *flight) moveOn(ctx context.Context, a *attempt) bool {
	if a.answer != nil {
		f.hold(a)
	}
	if len(f.pending) > 0 {
		return true
	}
	if ctx.Err() != nil || isContained(a.err) || !f.mayMove(a) {
		return false
	}
	return f.launch(ctx, false) == nil
}

// hold keeps a failed answer, which is in memory, in case that no other attempt gets a better one.
func (f *flight) hold(a *attempt) {
	_ = a.answer.Body.Close()
	f.held = a
}

// mayMove reports whether the call may go to another server; what cost a server anything takes a token.
func (f *flight) mayMove(a *attempt) bool {
	proven := a.answer == nil && notRun(a.err)
	if !proven && (!f.mayRepeat() || f.sent >= f.call.Rule.Attempts) {
		return false
	}
	if f.sent >= max(f.call.Rule.Attempts, leastMoves) || f.outcome == Unknown && !f.mayRepeat() {
		return false
	}
	if proven && !errors.Is(a.err, errShed) {
		return true
	}
	return f.service.extras.spend(false)
}

// hedgeAfter is when the call has taken longer than most; ok is false when it must not hedge.
func (f *flight) hedgeAfter() (after time.Duration, ok bool) {
	if f.call.Rule.HedgeShare == 0 || f.call.Rule.Attempts < 2 || !f.mayRepeat() {
		return 0, false
	}
	after, ok = f.service.latency.read()
	return after, ok && after < f.call.left()
}

// hedge starts a second attempt beside the first when there is room for it.
func (f *flight) hedge(ctx context.Context) {
	if len(f.pending) != 1 || f.sent >= f.call.Rule.Attempts {
		return
	}
	t, ok := f.d.cfg.TryAcquire(f.call.limit())
	if !ok {
		return
	}
	f.ticket = t
	if f.service.extras.spend(true) && f.launch(ctx, true) == nil {
		return
	}
	f.giveBack(false)
}

// finish makes a the answer and cancels the others.
func (f *flight) finish(a *attempt) *Answer {
	f.settle()
	for _, p := range f.pending {
		p.cancel()
		f.service.latency.add(time.Since(p.begin))
		// The loser's goroutine still owns p, so its times are not known here.
		f.call.Trace.Attempts = append(f.call.Trace.Attempts, tracer.Attempt{
			Server: p.choice.Server.InstanceID,
			Start:  p.begin.Sub(f.call.Trace.Begin),
			Hedge:  p.n > 1,
			Result: tracer.Canceled,
		})
	}
	f.giveBack(false)
	a.answer.Attempts = f.sent
	return a.answer
}

func (f *flight) settle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.done = true
	for {
		select {
		case a := <-f.results:
			a.discard()
		default:
			return
		}
	}
}

// discard ends an attempt that nobody waits for.
func (a *attempt) discard() {
	if a.answer != nil {
		_ = a.answer.Body.Close()
		return
	}
	a.ticket.Release()
}
