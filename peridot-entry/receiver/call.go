package receiver

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"peridotswitch.example/common/bounder"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/tracer"
)

const callPrefix = "/call/"

// statusError is the reason to reject a call before it is forwarded, with the HTTP status of the response.
type statusError struct {
	status  int
	message string
}

func (e *statusError) Error() string { return e.message }

// errEnding refuses a call whose body was not complete when the entry stopped.
var errEnding = &statusError{http.StatusServiceUnavailable, "this entry is stopping"}

// handleCall forwards a call to a backend server of the service that its path names.
func (r *Receiver) handleCall(w http.ResponseWriter, req *http.Request) {
	begin := time.Now()
	c, err := r.parseCall(w, req, begin)
	if err != nil {
		var se *statusError
		if !errors.As(err, &se) {
			se = &statusError{http.StatusBadRequest, err.Error()}
		}
		r.setRefusedOutcome(w.Header(), req)
		if se.status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", formatSeconds(bodyMemoryRetryAfter))
		}
		writeError(w, req, se.status, se.message)
		return
	}
	c.Trace.Receive = time.Since(begin)
	res, err := r.cfg.Do(req.Context(), c)
	c.Trace.Total = time.Since(begin)
	defer func() {
		c.Trace.Total = time.Since(begin)
		c.Trace.CallerLeft = req.Context().Err() != nil
		r.cfg.OnFinish(c.Trace)
	}()
	setWriteDeadline(w, time.Now())
	w.Header().Set("Peridot-Request-Id", c.RequestID)
	if err != nil {
		r.writeCallError(w, req, c, err)
		return
	}
	r.writeResponse(w, c, res)
}

// setRefusedOutcome sets the outcome of a call that is rejected before it is forwarded. An earlier send of an at-most-once call may have run.
func (r *Receiver) setRefusedOutcome(h http.Header, req *http.Request) {
	if req.Header.Get("Idempotency-Key") == "" || !r.mayBeAtMostOnce(req) {
		h.Set("Peridot-Outcome", string(dispatcher.NotRun))
		return
	}
	h.Set("Peridot-Outcome", string(dispatcher.Unknown))
	h.Set("Peridot-Send-Outcome", string(dispatcher.NotRun))
}

// mayBeAtMostOnce reports whether a call is, or may be by a configuration that this entry doesn't have, an at-most-once call.
func (r *Receiver) mayBeAtMostOnce(req *http.Request) bool {
	cfg := r.cfg.Configuration()
	if cfg == nil || !r.cfg.CanServe() {
		return true
	}
	service, _ := splitCallPath(req)
	if cfg.Inventory.Service(service) == nil {
		return true
	}
	return matchRule(cfg, service, req).Repeat == parser.AtMostOnce
}

// splitCallPath returns the service that the path of a call names and the escaped rest of the path.
func splitCallPath(req *http.Request) (service, rest string) {
	service, rest, _ = strings.Cut(strings.TrimPrefix(req.URL.EscapedPath(), callPrefix), "/")
	return service, rest
}

func matchRule(cfg *parser.Configuration, service string, req *http.Request) parser.Rule {
	return cfg.Rules.Match(service, req.Method, strings.TrimPrefix(req.URL.Path, callPrefix+service))
}

func (r *Receiver) parseCall(w http.ResponseWriter, req *http.Request, begin time.Time) (*dispatcher.Call, error) {
	cfg := r.cfg.Configuration()
	if cfg == nil {
		return nil, &statusError{http.StatusServiceUnavailable, "this entry has no configuration yet"}
	}
	if !r.cfg.CanServe() {
		return nil, &statusError{http.StatusServiceUnavailable, "this entry can't tell whether its configuration is the newest"}
	}
	service, rest := splitCallPath(req)
	if cfg.Inventory.Service(service) == nil {
		return nil, &statusError{http.StatusNotFound, "no service " + strconv.Quote(service)}
	}
	path := "/" + rest
	c := &dispatcher.Call{
		RequestID:      req.Header.Get("Peridot-Request-Id"),
		Service:        service,
		Method:         req.Method,
		Path:           path,
		Rule:           matchRule(cfg, service, req),
		IdempotencyKey: req.Header.Get("Idempotency-Key"),
	}
	if c.RequestID == "" {
		c.RequestID = uuid.NewString()
	}
	if c.Rule.Repeat == parser.AtMostOnce && c.IdempotencyKey == "" {
		return nil, &statusError{http.StatusBadRequest, "an at-most-once call needs an Idempotency-Key"}
	}
	if target, ok := strings.CutPrefix(requestTarget(req), callPrefix+service+"/"); ok {
		c.Path = "/" + target
	} else if req.URL.RawQuery != "" {
		c.Path += "?" + req.URL.RawQuery
	}
	if err := parseCallHeader(c, req.Header, begin); err != nil {
		return nil, err
	}
	c.Header = endToEnd(req.Header)
	bodyBegin := time.Now()
	var err error
	if c.Body, err = r.readBody(w, req, c.Deadline, maxBodyBytes); err != nil {
		return nil, err
	}
	c.Trace = &tracer.Trace{
		RequestID: c.RequestID, Service: service, Method: c.Method, Path: path, Begin: begin, Body: time.Since(bodyBegin), BodyBytes: len(c.Body),
	}
	setCallerTrace(c.Trace, req)
	return c, nil
}

// readBody reads the whole body of a call of up to limit bytes. It fails at the call's deadline and when EndBodies is
// called, and then returns what it has read.
func (r *Receiver) readBody(w http.ResponseWriter, req *http.Request, deadline time.Time, limit int64) ([]byte, error) {
	if req.Body == http.NoBody {
		return nil, nil
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(deadline); err != nil {
		return nil, errors.WithMessage(err, "bound the time to read the body")
	}
	goOn := context.AfterFunc(r.ending, func() { _ = rc.SetReadDeadline(time.Now()) })
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, limit))
	if !goOn() {
		err = errEnding
	}
	if err != nil {
		// The unread part of the body must not be parsed as another request.
		w.Header().Set("Connection", "close")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, errors.WithMessage(rc.SetReadDeadline(time.Time{}), "read the body")
	case errors.Is(err, errEnding):
		return body, errEnding
	case errors.As(err, &tooLarge):
		return body, &statusError{http.StatusRequestEntityTooLarge, "the body is over " + strconv.FormatInt(limit, 10) + " bytes"}
	case errors.Is(err, bounder.ErrFull):
		return body, &statusError{http.StatusServiceUnavailable, "the bodies of other calls use all the memory set aside for bodies"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return body, &statusError{http.StatusRequestTimeout, "the body was not in by the call's deadline"}
	}
	return body, errors.WithMessage(err, "read the body")
}

// parseCallHeader sets the deadline, issue time, depth and retry flag of a call from its Peridot-* headers. A caller can only shorten
// the deadline of the rule.
func parseCallHeader(c *dispatcher.Call, h http.Header, begin time.Time) error {
	c.Deadline = begin.Add(c.Rule.Deadline.Std())
	remaining, err := parseNumber(h, "Peridot-Deadline-Ms")
	if err != nil {
		return err
	}
	if remaining > 0 {
		if d := begin.Add(time.Duration(remaining) * time.Millisecond); d.Before(c.Deadline) {
			c.Deadline = d
		}
	}
	issued, err := parseNumber(h, "Peridot-Issued-At")
	if err != nil {
		return err
	}
	if issued > 0 {
		c.IssuedAt = time.UnixMilli(issued)
	}
	depth, err := parseNumber(h, "Peridot-Depth")
	if err != nil {
		return err
	}
	attempt, err := parseNumber(h, "Peridot-Attempt")
	if err != nil {
		return err
	}
	c.Depth = int(depth)
	c.Retry = attempt > 1
	return nil
}

// maxHeaderNumber limits numbers in headers so that a number of milliseconds fits in a time.Duration.
const maxHeaderNumber = 1 << 43

// parseNumber returns the number in a header, 0 when the header is absent.
func parseNumber(h http.Header, name string) (int64, error) {
	v := h.Get(name)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 0 || n > maxHeaderNumber {
		return 0, errors.Errorf("%s is %q, want a whole number", name, v)
	}
	return n, nil
}

func (r *Receiver) writeResponse(w http.ResponseWriter, c *dispatcher.Call, res *dispatcher.Response) {
	h := w.Header()
	for name, values := range endToEnd(res.Header) {
		h[name] = values
	}
	// Only the response to HEAD has a Content-Length other than that of its body.
	if v := res.Header["Content-Length"]; c.Method == http.MethodHead && len(v) == 1 {
		h["Content-Length"] = v
	}
	c.Trace.Outcome, c.Trace.Status = string(res.Outcome), res.Status
	h.Set("Peridot-Request-Id", c.RequestID)
	h.Set("Peridot-Outcome", string(res.Outcome))
	h.Set("Peridot-Attempts", strconv.Itoa(res.Attempts))
	h.Set("Server-Timing", c.Trace.ServerTiming())
	w.WriteHeader(res.Status)
	if res.Body == nil {
		return
	}
	defer res.Body.Close()
	start := time.Now()
	_, err := io.Copy(w, res.Body)
	c.Trace.Write = time.Since(start)
	if err != nil {
		c.Trace.Notes = append(c.Trace.Notes, "the answer broke off: "+err.Error())
		// The header has been sent already: closing the connection is the only way to tell the caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	if res.Trailer == nil || len(res.Trailer()) == 0 {
		return
	}
	// Without the flush, net/http sends a short response with a Content-Length, after which no trailer can follow.
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
		for name, values := range endToEnd(res.Trailer()) {
			h[http.TrailerPrefix+name] = values
		}
	}
}

func (r *Receiver) writeCallError(w http.ResponseWriter, req *http.Request, c *dispatcher.Call, err error) {
	e := &dispatcher.Error{Outcome: dispatcher.Unknown, Status: http.StatusInternalServerError, Err: err}
	errors.As(err, &e)
	c.Trace.Outcome, c.Trace.Status = string(e.Outcome), e.Status
	h := w.Header()
	h.Set("Peridot-Outcome", string(e.Outcome))
	if e.SendOutcome != "" {
		h.Set("Peridot-Send-Outcome", string(e.SendOutcome))
	}
	h.Set("Peridot-Attempts", strconv.Itoa(len(c.Trace.Attempts)))
	h.Set("Server-Timing", c.Trace.ServerTiming())
	if e.RetryAfter > 0 {
		h.Set("Retry-After", formatSeconds(e.RetryAfter))
	}
	writeError(w, req, e.Status, e.Error())
}

// formatSeconds returns d in whole seconds, rounded up.
func formatSeconds(d time.Duration) string {
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}
