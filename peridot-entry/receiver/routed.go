package receiver

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/tracer"
)

// Dialect is how callers of routed calls and their answers name things; every function is needed.
type Dialect struct {
	// ReadCall returns the caller's id of this send and the time that it waits; empty and 0 where it says nothing.
	ReadCall func(h http.Header) (id string, left time.Duration, err error)
	// ClaimsNotRun reports whether a status tells callers that the call has not run and never will.
	ClaimsNotRun func(status int) bool
	// WriteRetryAfter says when the caller may come back.
	WriteRetryAfter func(h http.Header, after time.Duration)
}

const (
	// noTableRetryAfter is about how long an entry takes to get its configuration after a start.
	noTableRetryAfter = 300 * time.Millisecond
	// prepareWait is how long a call waits at most at an entry that has just started: about what an election and the first answer of
	// control take. prepareShare bounds it by the time that the caller has, which leaves enough for another entry.
	prepareWait  = 400 * time.Millisecond
	prepareShare = 1.0 / 3
	// maxPreparing bounds the calls that wait so.
	maxPreparing = 512
	// longestWait stands for the deadline of a caller that names none.
	longestWait = time.Minute
	// maxRoutedBodyBytes bounds a body that is held in memory, whatever larger bound routing sets.
	maxRoutedBodyBytes = 16 << 20
)

// refusal is an answer of this entry's own to a call that it has not sent anywhere.
type refusal struct {
	status int
	// cause is the reason in a word or two, for counters.
	cause      string
	reason     string
	retryAfter time.Duration
}

func (r *Receiver) routed(w http.ResponseWriter, req *http.Request) {
	begin := time.Now()
	if len(req.TransferEncoding) > 0 && req.Header.Get("Content-Length") != "" {
		w.Header().Set("Connection", "close")
	}
	if r.cfg.Refusing != nil && r.cfg.Refusing() {
		r.refuse(w, req, begin, 0, &refusal{http.StatusServiceUnavailable, "stopping", "this entry is stopping", leastRetryAfter})
		return
	}
	r.awaitPrepared(req)
	held := time.Since(begin)
	c, refused := r.parseRouted(w, req, begin)
	if refused != nil {
		r.refuse(w, req, begin, held, refused)
		return
	}
	c.Trace.Queue, c.Trace.Receive = held, time.Since(begin)-held
	a, err := r.cfg.Do(req.Context(), c)
	defer func() {
		c.Trace.Total = time.Since(begin)
		c.Trace.CallerLeft = req.Context().Err() != nil
		r.cfg.Finished(c.Trace)
	}()
	boundWrite(w, time.Now())
	if err == nil && r.cfg.Routed.ClaimsNotRun(a.Status) {
		// The backend server ran the call, but its status would say the contrary.
		_ = a.Body.Close()
		c.Trace.Notes = append(c.Trace.Notes, "status "+strconv.Itoa(a.Status)+" of a call that ran")
		a, err = nil, &dispatcher.Error{Outcome: dispatcher.Unknown, Status: http.StatusBadGateway, Err: errors.New("the backend server failed after it ran the call")}
	}
	if err != nil {
		r.writeRoutedFailure(w, c, err)
		return
	}
	writeRoutedAnswer(w, c, a)
}

// awaitPrepared holds a call at an entry that has just started, because control is likely to answer before the caller would return.
func (r *Receiver) awaitPrepared(req *http.Request) {
	if r.cfg.Prepared == nil {
		return
	}
	select {
	case <-r.cfg.Prepared:
		return
	default:
	}
	if r.preparing.Add(1) > maxPreparing {
		r.preparing.Add(-1)
		return
	}
	defer r.preparing.Add(-1)
	most := prepareWait
	if _, left, err := r.cfg.Routed.ReadCall(req.Header); err == nil && left > 0 {
		most = min(most, time.Duration(prepareShare*float64(left)))
	}
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-r.cfg.Prepared:
	case <-t.C:
	case <-req.Context().Done():
	}
}

func (r *Receiver) parseRouted(w http.ResponseWriter, req *http.Request, begin time.Time) (*dispatcher.Call, *refusal) {
	cfg := r.cfg.Configuration()
	if cfg == nil || cfg.Routing == nil {
		return nil, &refusal{http.StatusServiceUnavailable, "no-configuration", "no configuration yet", noTableRetryAfter}
	}
	path := req.URL.EscapedPath()
	route := cfg.Routing.Match(req.Host, path)
	if route == nil {
		return nil, &refusal{http.StatusNotFound, "no-route", "no route for this host and path", 0}
	}
	service := route.Choose()
	if service == "" {
		return nil, &refusal{http.StatusServiceUnavailable, "no-weight", "the route gives no service any weight", noTableRetryAfter}
	}
	id, left, err := r.cfg.Routed.ReadCall(req.Header)
	if err != nil {
		return nil, &refusal{http.StatusBadRequest, "bad-call", err.Error(), 0}
	}
	if id == "" {
		id = uuid.NewString()
	}
	c := &dispatcher.Call{
		RequestID: id,
		Service:   service,
		Method:    req.Method,
		Host:      req.Host,
		Path:      path,
		Rule:      route.Rule(service),
		Header:    endToEnd(req.Header),
		Trace:     &tracer.Trace{RequestID: id, Service: service, Method: req.Method, Path: path, Begin: begin, Revision: cfg.Routing.Number},
	}
	if req.URL.RawQuery != "" {
		c.Path += "?" + req.URL.RawQuery
	}
	c.Deadline = begin.Add(min(c.Rule.Deadline.Std(), longestWait))
	if left > 0 {
		c.Waited = r.waits.Waited(route.Host+route.Prefix, left)
		c.Trace.Waited = c.Waited
		c.Deadline = begin.Add(min(c.Rule.Deadline.Std(), left))
	}
	return c, r.readRoutedBody(w, req, c, cfg.Routing)
}

func (r *Receiver) readRoutedBody(w http.ResponseWriter, req *http.Request, c *dispatcher.Call, routing *parser.Routing) *refusal {
	most := int64(maxRoutedBodyBytes)
	if n := routing.Limits.BodyBytes; n > 0 {
		most = min(most, n)
	}
	var err error
	if c.Body, err = readBody(w, req, c.Deadline, most); err == nil {
		return nil
	}
	var bad *badRequest
	if errors.As(err, &bad) {
		return &refusal{bad.status, "bad-call", bad.text, 0}
	}
	return &refusal{http.StatusBadRequest, "bad-call", err.Error(), 0}
}

// refuse answers a call that was sent nowhere and has been held for a while since it began.
func (r *Receiver) refuse(w http.ResponseWriter, req *http.Request, begin time.Time, held time.Duration, f *refusal) {
	if f.retryAfter > 0 {
		r.cfg.Routed.WriteRetryAfter(w.Header(), f.retryAfter)
	}
	id, _, _ := r.cfg.Routed.ReadCall(req.Header)
	r.cfg.Finished(&tracer.Trace{
		RequestID: id, Method: req.Method, Path: req.URL.Path, Begin: begin, Queue: held, Total: time.Since(begin), Outcome: string(dispatcher.NotRun), Status: f.status, Cause: f.cause, Notes: []string{f.reason},
	})
	writeJSON(w, f.status, errorReply{Error: f.reason, RequestID: id})
}

func writeRoutedAnswer(w http.ResponseWriter, c *dispatcher.Call, a *dispatcher.Response) {
	h := w.Header()
	for name, values := range endToEnd(a.Header) {
		h[name] = values
	}
	switch length, known := a.Length(); {
	case c.Method == http.MethodHead && a.Header.Get("Content-Length") != "":
		h.Set("Content-Length", a.Header.Get("Content-Length"))
	case known:
		h.Set("Content-Length", strconv.Itoa(length))
	}
	c.Trace.Outcome, c.Trace.Status = string(a.Outcome), a.Status
	w.WriteHeader(a.Status)
	defer a.Body.Close()
	start := time.Now()
	_, err := io.Copy(w, a.Body)
	c.Trace.Write = time.Since(start)
	if err != nil {
		c.Trace.Notes = append(c.Trace.Notes, "the answer broke off: "+err.Error())
		// Only a broken connection tells the caller that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
}

// leastRetryAfter keeps refused callers from coming back at once.
const leastRetryAfter = 50 * time.Millisecond

// writeRoutedFailure answers a call that got no answer: it says that the call has not run only when that is certain.
func (r *Receiver) writeRoutedFailure(w http.ResponseWriter, c *dispatcher.Call, err error) {
	e := &dispatcher.Error{Outcome: dispatcher.Unknown, Err: err}
	errors.As(err, &e)
	status := http.StatusBadGateway
	switch {
	case e.Outcome == dispatcher.NotRun:
		status = http.StatusServiceUnavailable
		r.cfg.Routed.WriteRetryAfter(w.Header(), max(e.RetryAfter, leastRetryAfter))
	case errors.Is(err, context.DeadlineExceeded) || c.Expired():
		status = http.StatusGatewayTimeout
	}
	c.Trace.Outcome, c.Trace.Status = string(e.Outcome), status
	c.Trace.Notes = append(c.Trace.Notes, e.Error())
	writeJSON(w, status, errorReply{Error: e.Error(), RequestID: c.RequestID})
}
