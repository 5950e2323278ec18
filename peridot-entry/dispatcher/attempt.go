package dispatcher

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/limiter"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/quarantiner"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
	"peridotswitch.example/peridot-entry/tracer"
)

// attempt is one request to one backend server. The goroutine that sends it owns it until execution.deliver.
type attempt struct {
	// n is the number of the attempt in its call, from 1.
	n         int
	shedCount int
	begin     time.Time
	choice    *picker.Choice
	permit    *limiter.Permit
	cancel    context.CancelFunc
	trace     tracer.Attempt
	// answered is set once the header of a response has been read.
	answered atomic.Bool
	// Once the attempt has ended, either response or err is set.
	response *Response
	err      error
	latency  time.Duration
}

// send sends the request, unless the call has ended since the server was picked, and sets response or err.
func (a *attempt) send(ctx context.Context, d *Dispatcher, req *sender.Request, s *serviceState) {
	if err := ctx.Err(); err != nil {
		a.fail(ctx, req, &sender.Error{Phase: sender.Connecting, Err: err}, picker.Result{Canceled: true}, s)
		return
	}
	res, err := d.cfg.Send(ctx, req)
	if err != nil {
		var se *sender.Error
		if errors.As(err, &se) {
			a.setTiming(se.Timing)
			a.trace.Exchange, a.trace.LocalPort, a.trace.Status = se.Exchange, se.LocalPort, se.Status
			a.trace.Contradictory = se.Contradictory
		}
		a.fail(ctx, req, err, picker.Result{}, s)
		return
	}
	a.answered.Store(true)
	a.setTiming(res.Timing)
	a.trace.Exchange, a.trace.LocalPort, a.trace.Status = res.Exchange, res.LocalPort, res.Status
	a.trace.Written = true
	if res.Draining {
		a.choice.MarkDraining()
	}
	if res.RetryAfter > 0 {
		a.choice.Pause(res.RetryAfter)
	}
	begin := time.Now()
	body, err := readAhead(res.Body)
	a.trace.Read = time.Since(begin)
	if err == nil && res.Shed {
		err = errShed
		body.Close()
		a.trace.Refusal, a.trace.RefusalKind = string(res.Proof), string(res.Refusal)
	}
	if err == nil && res.WrongServer {
		err = errWrongServer
		body.Close()
	}
	result := picker.Result{
		Status: res.Status, Shed: res.Shed && !res.WrongServer, Closing: res.Closing, Unreachable: res.WrongServer && res.Server != req.Server.InstanceID,
		Load: res.Load, RateLimit: res.RateLimit,
	}
	if err != nil {
		a.fail(ctx, req, err, result, s)
		return
	}
	a.latency = time.Since(a.begin)
	result.Latency = a.latency
	a.permit.Report(a.feedback(res.Load))
	body.onClose = sync.OnceFunc(func() {
		a.choice.Done(result)
		a.permit.Release()
		a.cancel()
	})
	a.response = &Response{Outcome: Ran, Status: res.Status, Header: res.Header, Body: body, Trailer: res.Trailer, Attempts: a.n}
}

func (a *attempt) setTiming(t sender.Timing) {
	a.trace.Connect, a.trace.Send, a.trace.Wait = t.Connect, t.Send, t.Wait
}

// fail ends an attempt that got no usable response. The permit is kept for the next attempt.
func (a *attempt) fail(ctx context.Context, req *sender.Request, err error, r picker.Result, s *serviceState) {
	a.err = err
	a.trace.Result = err.Error()
	r.Err, r.Latency = err, time.Since(a.begin)
	var se *sender.Error
	if errors.As(err, &se) {
		a.trace.Phase = string(se.Phase)
	}
	a.trace.MayHaveRun = !provesNotRun(err)
	a.trace.Written = a.trace.Written || a.trace.MayHaveRun
	if se != nil && se.IsConnectionLost() {
		a.trace.Fingerprint = quarantiner.Fingerprint(req)
	}
	r.Unreachable = r.Unreachable || se != nil && se.Phase == sender.Connecting && se.Unreachable
	// A timeout before the 95th percentile of the latency is no evidence against the server, so that it counts as a cancellation.
	p95, _ := s.latency.value()
	r.Canceled = r.Canceled || errors.Is(ctx.Err(), context.Canceled) || ctx.Err() != nil && r.Latency < p95 || isContained(err) || errors.Is(err, picker.ErrEvacuated)
	r.Silent = ctx.Err() != nil && se != nil && se.Phase == sender.Waiting
	a.choice.Done(r)
	a.cancel()
}

func (a *attempt) feedback(load *sender.Load) limiter.Feedback {
	f := limiter.Feedback{ShedCount: a.shedCount, Latency: a.latency}
	if load != nil {
		f.InFlight, f.Slots = load.InFlight, load.Slots
	}
	return f
}

// AttemptInfo describes an attempt to the backend server that gets it.
type AttemptInfo struct {
	// Remaining is the time until the call's deadline.
	Remaining time.Duration
	// Attempt is the number of the attempt, from 1, and Depth the number of entries that the call has passed
	// including this one.
	Attempt   int
	Depth     int
	RequestID string
	// Server is the instance id of the intended backend server.
	Server string
}

// SetPeridotHeaders sets the Peridot headers.
func SetPeridotHeaders(h http.Header, info AttemptInfo) {
	h.Set("Peridot-Deadline-Ms", strconv.FormatInt(info.Remaining.Milliseconds(), 10))
	h.Set("Peridot-Attempt", strconv.Itoa(info.Attempt))
	h.Set("Peridot-Depth", strconv.Itoa(info.Depth))
	h.Set("Peridot-Request-Id", info.RequestID)
}

func (d *Dispatcher) newRequest(c *Call, n int, server *registrar.Server) *sender.Request {
	h := c.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	if c.isForwardedRetry() {
		// Every call that a retry causes is marked as a retry as well.
		n++
	}
	d.cfg.SetHeaders(h, AttemptInfo{Remaining: c.remaining(), Attempt: n, Depth: c.Depth + 1, RequestID: c.RequestID, Server: server.InstanceID})
	return &sender.Request{
		Address:         server.Address,
		Server:          server.Key(),
		Incarnation:     server.Incarnation,
		Connections:     server.Connections,
		Method:          c.Method,
		Host:            c.Host,
		ID:              c.RequestID,
		Account:         c.Account,
		Path:            c.Path,
		Header:          h,
		Body:            c.Body,
		FreshConnection: c.Rule.IsOnce(),
	}
}
