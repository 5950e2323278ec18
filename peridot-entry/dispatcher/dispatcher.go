package dispatcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/limiter"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// Config configures a Dispatcher. Acquire, Pick and Send are required.
type Config struct {
	Acquire func(context.Context, limiter.Request) (*limiter.Permit, error)
	// TryAcquire returns a permit for a hedge; nil turns hedging off.
	TryAcquire func(limiter.Request) (*limiter.Permit, bool)
	// Probe refreshes the load reports of some candidate servers and returns the servers to choose among; nil to choose by the
	// reports at hand.
	Probe func(context.Context, picker.Request) []registrar.Key
	Pick  func(picker.Request) (*picker.Choice, error)
	// SlotWaits returns how many times a call to a service may wait for a server with a free slot before it is refused; 2 when nil.
	SlotWaits func(service string) int
	// ScheduleReturns reports whether callers that are refused for lack of a service's capacity are asked to return at the rate that can be
	// served, and whether those that return earlier leave room to others; never when nil.
	ScheduleReturns func(service string) bool
	// Admit returns an error for a call that is refused before it waits for anything; nil to admit all.
	Admit func(*Call) error
	Send  func(context.Context, *sender.Request) (*sender.Response, error)
	// SetHeaders sets the request headers that describe an attempt to the backend server; SetPeridotHeaders when nil.
	SetHeaders func(h http.Header, info AttemptInfo)
	// BudgetBurst returns how many tokens for retries and hedges a service may accumulate; 10 when nil. With a BudgetBurst, which is a share of
	// what all entries may spend, a service starts without tokens: an earlier process of this entry may have spent its share just now.
	BudgetBurst func() float64
	// StopAt returns the time by which all calls must have ended because this entry stops then; zero, as when nil, while it doesn't.
	StopAt func() time.Time
	// ReplaceLost says that a second attempt is made while the first has had no response for much longer than expected.
	ReplaceLost bool
	// OnLost is called with the server of such an attempt and whether a second one was made; it must not block; nil for no call.
	OnLost func(server registrar.Key, replaced bool)
	// RunAtMostOnce runs an at-most-once call under its claim. It calls run, which makes the attempts, at most once. It is required
	// only for calls whose rule is at-most-once.
	RunAtMostOnce func(ctx context.Context, c *Call, run func(context.Context) (*Response, error)) (*Response, error)
}

// Dispatcher forwards calls to backend servers; it is safe for concurrent use.
type Dispatcher struct {
	cfg Config
	// advance is the number of tokens with which a service starts.
	advance float64
	shares  *limiter.FairShares
	returns *limiter.Returns
	// stop is canceled by Stop.
	stop     context.Context
	endCalls context.CancelFunc
	// draw returns a random number from 0 to 1.
	draw     func() float64
	mu       sync.RWMutex
	services map[string]*serviceState
}

// New returns a Dispatcher and sets the defaults of cfg.
func New(cfg Config) *Dispatcher {
	if cfg.TryAcquire == nil {
		cfg.TryAcquire = func(limiter.Request) (*limiter.Permit, bool) { return nil, false }
	}
	if cfg.SetHeaders == nil {
		cfg.SetHeaders = SetPeridotHeaders
	}
	if cfg.SlotWaits == nil {
		cfg.SlotWaits = func(string) int { return defaultSlotWaits }
	}
	if cfg.ScheduleReturns == nil {
		cfg.ScheduleReturns = func(string) bool { return false }
	}
	if cfg.StopAt == nil {
		cfg.StopAt = func() time.Time { return time.Time{} }
	}
	advance := 0.0
	if cfg.BudgetBurst == nil {
		advance, cfg.BudgetBurst = defaultAdvance, func() float64 { return defaultBurst }
	}
	stop, endCalls := context.WithCancel(context.Background())
	return &Dispatcher{
		cfg: cfg, advance: advance, services: make(map[string]*serviceState), stop: stop, endCalls: endCalls,
		shares: limiter.NewFairShares(), returns: limiter.NewReturns(), draw: rand.Float64,
	}
}

// Stop ends all calls that have no response yet, also those that begin later, so that they fail before the entry closes their connections.
func (d *Dispatcher) Stop() { d.endCalls() }

// endAtStop returns a context that Stop cancels until release is called.
func (d *Dispatcher) endAtStop(parent context.Context) (ctx context.Context, release func() bool) {
	ctx, cancel := context.WithCancelCause(parent)
	return ctx, context.AfterFunc(d.stop, func() { cancel(errStopping) })
}

// Do runs one call and returns the response to it. The error is an *Error.
func (d *Dispatcher) Do(ctx context.Context, c *Call) (*Response, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	ctx, release := d.endAtStop(ctx)
	defer release()
	var res *Response
	var err error
	if c.Rule.Repeat == parser.AtMostOnce {
		res, err = d.cfg.RunAtMostOnce(ctx, c, func(ctx context.Context) (*Response, error) {
			// The context of a claimed call doesn't end with the caller's.
			ctx, release := d.endAtStop(ctx)
			defer release()
			return d.run(ctx, c)
		})
	} else {
		res, err = d.run(ctx, c)
	}
	if err != nil || res.Body == nil {
		cancel()
		return res, err
	}
	res.Body = &cancelingBody{ReadCloser: res.Body, cancel: cancel}
	return res, nil
}

// run makes attempts until one returns a response that is not retried, or until no further attempt is allowed.
func (d *Dispatcher) run(ctx context.Context, c *Call) (*Response, error) {
	x := &execution{
		d:       d,
		call:    c,
		service: d.service(c.Service),
		results: make(chan *attempt, resultsCapacity),
		outcome: NotRun,
	}
	if d.cfg.Admit != nil {
		if err := d.cfg.Admit(c); err != nil {
			return nil, x.fail(ctx, err)
		}
	}
	x.countFairShare()
	x.service.budget.deposit(c.Rule.RetryShare, c.Rule.HedgeShare, d.cfg.BudgetBurst())
	return x.run(ctx)
}

// serviceState is the state that this entry keeps for a service across calls.
type serviceState struct {
	budget  *budget
	latency quantile
	slowest peak
}

func (d *Dispatcher) service(name string) *serviceState {
	d.mu.RLock()
	s := d.services[name]
	d.mu.RUnlock()
	if s != nil {
		return s
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if s = d.services[name]; s == nil {
		s = &serviceState{budget: newBudget(d.advance, d.cfg.BudgetBurst())}
		d.services[name] = s
	}
	return s
}

// limiterRequest returns the limiter's view of the call.
func (c *Call) limiterRequest() limiter.Request {
	return limiter.Request{Service: c.Service, Priority: c.Rule.Priority, Deadline: c.Deadline, Account: c.Account}
}

// isForwardedRetry reports whether the call is a retry or hedge of an entry earlier in the call chain. Retrying it here too would
// multiply the number of attempts with every entry on the way.
func (c *Call) isForwardedRetry() bool { return c.Retry && c.Depth > 0 }

// remaining returns the time until the deadline, 0 after it.
func (c *Call) remaining() time.Duration { return max(time.Until(c.Deadline), 0) }
