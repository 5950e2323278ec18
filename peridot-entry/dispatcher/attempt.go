package dispatcher

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/limiter"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
	"peridotswitch.example/peridot-entry/tracer"
)

// attempt is one request to one backend server; its goroutine owns it until it has been delivered.
type attempt struct {
	n      int
	sheds  int
	begin  time.Time
	choice *picker.Choice
	ticket *limiter.Ticket
	cancel context.CancelFunc
	trace  tracer.Attempt
	// answer is set when the attempt was answered, with err also when the answer may be improved on.
	answer *Answer
	err    error
	took   time.Duration
}

// send makes the attempt; it leaves answer or err.
func (a *attempt) send(ctx context.Context, d *Dispatcher, req *sender.Request, s *service) {
	res, err := d.cfg.Send(ctx, req)
	if err != nil {
		var se *sender.Error
		if errors.As(err, &se) {
			a.time(se.Timing)
		}
		a.fail(ctx, err, picker.Result{}, s)
		return
	}
	a.time(res.Timing)
	begin := time.Now()
	body, err := readAhead(res.Body)
	a.trace.Read = time.Since(begin)
	if err == nil && res.Shed {
		err = errShed
		body.Close()
	}
	result := picker.Result{Status: res.Status, Shed: res.Shed && !res.Moved, Draining: res.Draining, Unreachable: res.Moved, Load: res.Load}
	if err != nil {
		a.fail(ctx, err, result, s)
		return
	}
	a.took = time.Since(a.begin)
	result.Elapsed = a.took
	a.ticket.Report(a.feedback(res.Load))
	body.finish = sync.OnceFunc(func() {
		a.choice.Done(result)
		a.ticket.Release()
		a.cancel()
	})
	a.answer = &Answer{Outcome: Ran, Status: res.Status, Header: res.Header, Body: body, Trailer: res.Trailer, Attempts: a.n}
}

func (a *attempt) time(t sender.Timing) {
	a.trace.Connect, a.trace.Send, a.trace.Wait = t.Connect, t.Send, t.Wait
}

// fail ends an attempt without an answer; its ticket stays with the flight.
func (a *attempt) fail(ctx context.Context, err error, r picker.Result, s *service) {
	a.err = err
	a.trace.Result = err.Error()
	r.Err, r.Elapsed = err, time.Since(a.begin)
	var se *sender.Error
	r.Unreachable = r.Unreachable || errors.As(err, &se) && se.Phase == sender.Connecting && se.Unreachable
	// A deadline shorter than most answers take says nothing of the server.
	usual, _ := s.latency.read()
	r.Canceled = errors.Is(ctx.Err(), context.Canceled) || ctx.Err() != nil && r.Elapsed < usual || isContained(err)
	a.choice.Done(r)
	a.cancel()
}

func (a *attempt) feedback(load *sender.Load) limiter.Feedback {
	f := limiter.Feedback{Sheds: a.sheds, Took: a.took}
	if load != nil {
		f.InFlight, f.Slots = load.InFlight, load.Slots
	}
	return f
}

// Mark is what a backend server is told of an attempt.
type Mark struct {
	// Left is the time until the call's deadline.
	Left time.Duration
	// Attempt counts from 1, Depth the entries on the way.
	Attempt   int
	Depth     int
	RequestID string
	// Server is the instance id of the backend server that is meant.
	Server string
}

// MarkPeridot sets the product's own headers.
func MarkPeridot(h http.Header, m Mark) {
	h.Set("Peridot-Deadline-Ms", strconv.FormatInt(m.Left.Milliseconds(), 10))
	h.Set("Peridot-Attempt", strconv.Itoa(m.Attempt))
	h.Set("Peridot-Depth", strconv.Itoa(m.Depth))
	h.Set("Peridot-Request-Id", m.RequestID)
}

func (d *Dispatcher) request(c *Call, n int, server *registrar.Server) *sender.Request {
	h := c.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	if c.isRepeat() {
		// The mark of a repeat goes down with every call that it causes.
		n++
	}
	d.cfg.Mark(h, Mark{Left: c.left(), Attempt: n, Depth: c.Depth + 1, RequestID: c.RequestID, Server: server.InstanceID})
	return &sender.Request{
		Address:     server.Address,
		Server:      server.Key(),
		Incarnation: server.Incarnation,
		Connections: server.Connections,
		Method:      c.Method,
		Host:        c.Host,
		ID:          c.RequestID,
		Path:        c.Path,
		Header:      h,
		Body:        c.Body,
		Proven:      c.Rule.IsOnce(),
	}
}
