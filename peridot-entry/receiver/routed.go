package receiver

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"peridotswitch.example/common/admitter"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/tracer"
)

// Dialect reads and writes the headers of routed calls. Every function is required.
type Dialect struct {
	// ParseCall returns the id that the caller gave this send and the time remaining until its deadline; empty and 0 when the header
	// has none.
	ParseCall func(h http.Header) (id string, remaining time.Duration, err error)
	// MeansNotRun reports whether a status tells callers that the call has not run and never will.
	MeansNotRun func(status int) bool
	// WriteRetryAfter sets the header that says when the caller may send the call again.
	WriteRetryAfter func(h http.Header, after time.Duration)
	// ParseKey returns the key of the client account that makes the call; empty when the header has none.
	ParseKey func(h http.Header) string
	// SetAccount removes keys and account names from the headers of a call, and sets the name of its account unless that is empty.
	SetAccount func(h http.Header, name string)
}

const (
	// bodyMemoryRetryAfter is about how long a call takes, after which the memory of its body is free.
	bodyMemoryRetryAfter = 500 * time.Millisecond
	// noConfigurationRetryAfter is about how long an entry takes to get its configuration after a start.
	noConfigurationRetryAfter = 300 * time.Millisecond
	// maxInitWait limits how long a call waits at an entry that has just started: about the time that an election and the first
	// response of control take. The wait is also limited to initWaitShare of the caller's remaining time, so that there is time for a retry
	// at another entry.
	maxInitWait   = 400 * time.Millisecond
	initWaitShare = 1.0 / 3
	// maxInitWaiters limits the calls that wait for initialization.
	maxInitWaiters = 512
	// defaultTimeRemaining limits the deadline of a call whose caller sends none.
	defaultTimeRemaining = time.Minute
	// maxRoutedBodyBytes limits a call's body, which is held in memory, even if routing sets a larger limit.
	maxRoutedBodyBytes = 16 << 20
)

// refusal is this entry's own response to a call that it has not sent to any backend server.
type refusal struct {
	status int
	// cause labels the reason in metrics.
	cause      string
	reason     string
	retryAfter time.Duration
}

// Causes of refusals that depend on the caller alone.
const (
	// CauseAccountLimit is the cause of calls that are refused because their account exceeds its rate limit.
	CauseAccountLimit = "account-limit"
	// CauseUnknownKey is the cause of calls that are refused because no account has their key.
	CauseUnknownKey = "unknown-key"
	// CauseUnconfirmedKey is the same while control doesn't confirm that the entry's configuration is the newest.
	CauseUnconfirmedKey = "unconfirmed-key"
)

// handleRoutedCall forwards a call to a backend server of the service that the route for its host and path selects.
func (r *Receiver) handleRoutedCall(w http.ResponseWriter, req *http.Request) {
	begin := time.Now()
	if r.cfg.IsRefusing != nil && r.cfg.IsRefusing() {
		r.refuse(w, req, nil, begin, 0, &refusal{http.StatusServiceUnavailable, "stopping", "this entry is stopping", minRetryAfter})
		return
	}
	r.awaitInitialized(req)
	initWait := time.Since(begin)
	c, refused := r.parseRoutedCall(w, req, begin)
	giveBack := func() {}
	if refused == nil {
		giveBack, refused = r.takeToken(req.Context(), c)
	}
	if refused != nil {
		r.refuse(w, req, c, begin, initWait, refused)
		return
	}
	c.Trace.Queue, c.Trace.Receive = initWait, time.Since(begin)-initWait
	res, err := r.cfg.Do(req.Context(), c)
	r.markUnproven(c.Trace.Attempts)
	if isNotRun(err) {
		giveBack()
	}
	defer func() {
		c.Trace.Total = time.Since(begin)
		c.Trace.CallerLeft = req.Context().Err() != nil
		r.cfg.OnFinish(c.Trace)
	}()
	setWriteDeadline(w, time.Now())
	if err == nil && r.cfg.Dialect.MeansNotRun(res.Status) {
		// The backend server ran the call, but its status would tell the caller that it didn't.
		_ = res.Body.Close()
		c.Trace.Notes = append(c.Trace.Notes, "status "+strconv.Itoa(res.Status)+" of a call that ran")
		res, err = nil, &dispatcher.Error{Outcome: dispatcher.Unknown, Status: http.StatusBadGateway, Err: errors.New("the backend server failed after it ran the call")}
	}
	if err != nil {
		r.writeRoutedCallError(w, c, err)
		return
	}
	writeRoutedResponse(w, c, res)
}

// takeToken takes a token of the rate limit of the account that makes a call.
func (r *Receiver) takeToken(ctx context.Context, c *dispatcher.Call) (giveBack func(), refused *refusal) {
	if r.cfg.TakeToken == nil || c.LimitedBy == nil {
		return func() {}, nil
	}
	giveBack, after, ok := r.cfg.TakeToken(ctx, c.LimitedBy, c.Trace.Revision)
	if !ok {
		return nil, &refusal{http.StatusTooManyRequests, CauseAccountLimit, "account " + strconv.Quote(c.Account) + " exceeds its rate limit", max(after, minRetryAfter)}
	}
	return giveBack, nil
}

// isNotRun reports whether err is the refusal of a call that no backend server ran.
func isNotRun(err error) bool {
	var e *dispatcher.Error
	return errors.As(err, &e) && e.Outcome == dispatcher.NotRun
}

// awaitInitialized delays a call at an entry that has just started: control is likely to respond before a refused caller would retry.
func (r *Receiver) awaitInitialized(req *http.Request) {
	if r.cfg.Initialized == nil {
		return
	}
	select {
	case <-r.cfg.Initialized:
		return
	default:
	}
	if r.initWaiters.Add(1) > maxInitWaiters {
		r.initWaiters.Add(-1)
		return
	}
	defer r.initWaiters.Add(-1)
	timeout := maxInitWait
	if _, remaining, err := r.cfg.Dialect.ParseCall(req.Header); err == nil && remaining > 0 {
		timeout = min(timeout, time.Duration(initWaitShare*float64(remaining)))
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-r.cfg.Initialized:
	case <-t.C:
	case <-req.Context().Done():
	}
}

func (r *Receiver) parseRoutedCall(w http.ResponseWriter, req *http.Request, begin time.Time) (*dispatcher.Call, *refusal) {
	cfg := r.cfg.Configuration()
	if cfg == nil || cfg.Routing == nil {
		return nil, &refusal{http.StatusServiceUnavailable, "no-configuration", "no configuration yet", noConfigurationRetryAfter}
	}
	if n := cfg.Routing.Limits.HeaderBytes; n > 0 && headerBytes(req) > n {
		w.Header().Set("Connection", "close")
		return nil, &refusal{http.StatusRequestHeaderFieldsTooLarge, "bad-call", "the header is larger than the routing allows", 0}
	}
	path := req.URL.EscapedPath()
	route := cfg.Routing.Match(req.Host, path)
	if route == nil {
		return nil, &refusal{http.StatusNotFound, "no-route", "no route for this host and path", 0}
	}
	account, refused := r.authenticate(req, cfg.Routing, route)
	if refused != nil {
		return nil, refused
	}
	service := route.Choose()
	if service == "" {
		return nil, &refusal{http.StatusServiceUnavailable, "no-weight", "the route gives no service any weight", noConfigurationRetryAfter}
	}
	id, remaining, err := r.cfg.Dialect.ParseCall(req.Header)
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
		Path:      requestTarget(req),
		Rule:      route.Rule(service),
		Header:    endToEnd(req.Header),
		Trace:     &tracer.Trace{RequestID: id, Service: service, Method: req.Method, Path: path, Begin: begin, Revision: cfg.Routing.Number},
	}
	if len(cfg.Routing.Accounts) > 0 {
		r.setAccount(c, account, r.cfg.Dialect.ParseKey(req.Header))
	}
	c.Deadline = begin.Add(min(c.Rule.Deadline.Std(), defaultTimeRemaining))
	if remaining > 0 {
		c.Waited = r.waitEstimator.Waited(route.Host+route.Prefix, remaining)
		c.Trace.Waited = c.Waited
		c.Deadline = begin.Add(min(c.Rule.Deadline.Std(), remaining))
	}
	return c, r.readRoutedBody(w, req, c, cfg.Routing)
}

// authenticate returns the account that makes a call, or nil if the routing has no accounts or the route is public and the key unknown.
func (r *Receiver) authenticate(req *http.Request, routing *parser.Routing, route *parser.Route) (*parser.Account, *refusal) {
	if len(routing.Accounts) == 0 {
		return nil, nil
	}
	account := routing.Account(r.cfg.Dialect.ParseKey(req.Header))
	switch {
	case account != nil || route.Public:
		return account, nil
	case r.cfg.Confirmed != nil && !r.cfg.Confirmed():
		// The key may be part of a newer configuration, which this entry can't get at the moment.
		return nil, &refusal{http.StatusServiceUnavailable, CauseUnconfirmedKey, "the key is unknown here, and control doesn't confirm the configuration", noConfigurationRetryAfter}
	}
	return nil, &refusal{http.StatusUnauthorized, CauseUnknownKey, "the key is unknown", 0}
}

// setAccount sets the fields of a call that depend on its account, which is nil for a call without a known key on a public route.
func (r *Receiver) setAccount(c *dispatcher.Call, account *parser.Account, key string) {
	if account == nil {
		r.cfg.Dialect.SetAccount(c.Header, "")
		return
	}
	r.cfg.Dialect.SetAccount(c.Header, account.Name)
	c.Account, c.Trace.Account = account.Name, account.Name
	if account.Rate > 0 {
		c.LimitedBy = account
	}
	if account.Rank != nil {
		c.Rule.Rank = *account.Rank
	}
	c.IsRevoked = func() bool {
		cfg := r.cfg.Configuration()
		if cfg == nil || cfg.Routing == nil || len(cfg.Routing.Accounts) == 0 {
			return false
		}
		a := cfg.Routing.Account(key)
		return a == nil || a.Name != account.Name
	}
}

func (r *Receiver) readRoutedBody(w http.ResponseWriter, req *http.Request, c *dispatcher.Call, routing *parser.Routing) *refusal {
	limit := int64(maxRoutedBodyBytes)
	if n := routing.Limits.BodyBytes; n > 0 {
		limit = min(limit, n)
	}
	setCallerTrace(c.Trace, req)
	begin := time.Now()
	var err error
	c.Body, err = r.readBody(w, req, c.Deadline, limit)
	c.Trace.Body, c.Trace.BodyBytes = time.Since(begin), len(c.Body)
	if err == nil {
		return nil
	}
	if errors.Is(err, errEnding) {
		return &refusal{errEnding.status, "stopping", errEnding.message, minRetryAfter}
	}
	var se *statusError
	if errors.As(err, &se) && se.status == http.StatusServiceUnavailable {
		return &refusal{se.status, "entry-memory", se.message, bodyMemoryRetryAfter}
	}
	if se != nil {
		return &refusal{se.status, "bad-call", se.message, 0}
	}
	return &refusal{http.StatusBadRequest, "bad-call", err.Error(), 0}
}

// markUnproven marks the attempts whose status alone says that the call was not run.
func (r *Receiver) markUnproven(attempts []tracer.Attempt) {
	for i := range attempts {
		a := &attempts[i]
		a.Unproven = a.Status != 0 && a.Refusal == "" && r.cfg.Dialect.MeansNotRun(a.Status)
	}
}

// setCallerTrace records how the request came in.
func setCallerTrace(t *tracer.Trace, req *http.Request) {
	t.Caller, t.CallerRequest = req.RemoteAddr, admitter.RequestNumber(req.Context())
	t.Chunked = req.ContentLength < 0
}

// refuse responds to a call that was not sent to any backend server; c is nil if it was not read, and initWait is the time that it waited for
// initialization.
func (r *Receiver) refuse(w http.ResponseWriter, req *http.Request, c *dispatcher.Call, begin time.Time, initWait time.Duration, f *refusal) {
	if f.retryAfter > 0 {
		r.cfg.Dialect.WriteRetryAfter(w.Header(), f.retryAfter)
	}
	id, _, _ := r.cfg.Dialect.ParseCall(req.Header)
	t := &tracer.Trace{
		RequestID: id, Method: req.Method, Path: req.URL.Path, Begin: begin, Queue: initWait, Total: time.Since(begin), Outcome: string(dispatcher.NotRun), Status: f.status, Cause: f.cause, Notes: []string{f.reason},
	}
	setCallerTrace(t, req)
	if c != nil {
		t.Body, t.BodyBytes = c.Trace.Body, c.Trace.BodyBytes
	}
	r.cfg.OnFinish(t)
	writeJSON(w, f.status, errorResponse{Error: f.reason, RequestID: id})
}

func writeRoutedResponse(w http.ResponseWriter, c *dispatcher.Call, res *dispatcher.Response) {
	h := w.Header()
	for name, values := range endToEnd(res.Header) {
		h[name] = values
	}
	switch length, known := res.Length(); {
	case c.Method == http.MethodHead && res.Header.Get("Content-Length") != "":
		h.Set("Content-Length", res.Header.Get("Content-Length"))
	case known:
		h.Set("Content-Length", strconv.Itoa(length))
	}
	c.Trace.Outcome, c.Trace.Status = string(res.Outcome), res.Status
	w.WriteHeader(res.Status)
	defer res.Body.Close()
	start := time.Now()
	_, err := io.Copy(w, res.Body)
	c.Trace.Write = time.Since(start)
	if err != nil {
		c.Trace.Notes = append(c.Trace.Notes, "the answer broke off: "+err.Error())
		// The header has been sent already: closing the connection is the only way to tell the caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// minRetryAfter is the shortest delay that refused callers are asked for, so that they don't retry at once.
const minRetryAfter = 50 * time.Millisecond

// writeRoutedCallError responds to a call that failed. Only when it is certain that the call has not run does the status say so.
func (r *Receiver) writeRoutedCallError(w http.ResponseWriter, c *dispatcher.Call, err error) {
	e := &dispatcher.Error{Outcome: dispatcher.Unknown, Err: err}
	errors.As(err, &e)
	status := http.StatusBadGateway
	switch {
	case e.Outcome == dispatcher.NotRun:
		status = http.StatusServiceUnavailable
		r.cfg.Dialect.WriteRetryAfter(w.Header(), max(e.RetryAfter, minRetryAfter))
	case errors.Is(err, context.DeadlineExceeded) || c.IsExpired():
		status = http.StatusGatewayTimeout
	}
	c.Trace.Outcome, c.Trace.Status = string(e.Outcome), status
	c.Trace.Notes = append(c.Trace.Notes, e.Error())
	writeJSON(w, status, errorResponse{Error: e.Error(), RequestID: c.RequestID})
}
