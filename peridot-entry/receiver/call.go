package receiver

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/tracer"
)

const callPrefix = "/call/"

// badRequest is a fault of the caller.
type badRequest struct {
	status int
	text   string
}

func (e *badRequest) Error() string { return e.text }

func (r *Receiver) call(w http.ResponseWriter, req *http.Request) {
	begin := time.Now()
	if len(req.TransferEncoding) > 0 {
		// The library drops a Content-Length beside a Transfer-Encoding; no second request may follow such a one (RFC 9112, 6.3).
		w.Header().Set("Connection", "close")
	}
	c, err := r.parseCall(w, req, begin)
	if err != nil {
		var bad *badRequest
		if !errors.As(err, &bad) {
			bad = &badRequest{http.StatusBadRequest, err.Error()}
		}
		w.Header().Set("Peridot-Outcome", string(dispatcher.NotRun))
		writeError(w, req, bad.status, bad.text)
		return
	}
	c.Trace.Receive = time.Since(begin)
	a, err := r.cfg.Do(req.Context(), c)
	c.Trace.Total = time.Since(begin)
	defer func() {
		c.Trace.Total = time.Since(begin)
		c.Trace.CallerLeft = req.Context().Err() != nil
		r.cfg.Finished(c.Trace)
	}()
	boundWrite(w, time.Now())
	w.Header().Set("Peridot-Request-Id", c.RequestID)
	if err != nil {
		r.writeFailure(w, req, c, err)
		return
	}
	r.writeAnswer(w, c, a)
}

func (r *Receiver) parseCall(w http.ResponseWriter, req *http.Request, begin time.Time) (*dispatcher.Call, error) {
	cfg := r.cfg.Configuration()
	if cfg == nil {
		return nil, &badRequest{http.StatusServiceUnavailable, "this entry has no configuration yet"}
	}
	if !r.cfg.Serving() {
		return nil, &badRequest{http.StatusServiceUnavailable, "this entry can't tell whether its configuration is the newest"}
	}
	service, rest, _ := strings.Cut(strings.TrimPrefix(req.URL.EscapedPath(), callPrefix), "/")
	if cfg.Inventory.Service(service) == nil {
		return nil, &badRequest{http.StatusNotFound, "no service " + strconv.Quote(service)}
	}
	path := "/" + rest
	c := &dispatcher.Call{
		RequestID:      req.Header.Get("Peridot-Request-Id"),
		Service:        service,
		Method:         req.Method,
		Path:           path,
		Rule:           cfg.Rules.Match(service, req.Method, strings.TrimPrefix(req.URL.Path, callPrefix+service)),
		IdempotencyKey: req.Header.Get("Idempotency-Key"),
	}
	if c.RequestID == "" {
		c.RequestID = uuid.NewString()
	}
	if c.Rule.Repeat == parser.AtMostOnce && c.IdempotencyKey == "" {
		return nil, &badRequest{http.StatusBadRequest, "an at-most-once call needs an Idempotency-Key"}
	}
	if req.URL.RawQuery != "" {
		c.Path += "?" + req.URL.RawQuery
	}
	if err := parseCallHeader(c, req.Header, begin); err != nil {
		return nil, err
	}
	c.Header = endToEnd(req.Header)
	var err error
	if c.Body, err = readBody(w, req, c.Deadline, maxBodyBytes); err != nil {
		return nil, err
	}
	c.Trace = &tracer.Trace{RequestID: c.RequestID, Service: service, Method: c.Method, Path: path, Begin: begin}
	return c, nil
}

// readBody reads a call's body whole, until the call's deadline.
func readBody(w http.ResponseWriter, req *http.Request, deadline time.Time, most int64) ([]byte, error) {
	if req.Body == http.NoBody {
		return nil, nil
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(deadline); err != nil {
		return nil, errors.WithMessage(err, "bound the time to read the body")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, most))
	if err != nil {
		// What is left of the body must not pass for another request.
		w.Header().Set("Connection", "close")
	}
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return body, errors.WithMessage(rc.SetReadDeadline(time.Time{}), "read the body")
	case errors.As(err, &large):
		return nil, &badRequest{http.StatusRequestEntityTooLarge, "the body is over " + strconv.FormatInt(most, 10) + " bytes"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &badRequest{http.StatusRequestTimeout, "the body was not in by the call's deadline"}
	}
	return nil, errors.WithMessage(err, "read the body")
}

func parseCallHeader(c *dispatcher.Call, h http.Header, begin time.Time) error {
	c.Deadline = begin.Add(c.Rule.Deadline.Std())
	left, err := number(h, "Peridot-Deadline-Ms")
	if err != nil {
		return err
	}
	if left > 0 {
		if d := begin.Add(time.Duration(left) * time.Millisecond); d.Before(c.Deadline) {
			c.Deadline = d
		}
	}
	issued, err := number(h, "Peridot-Issued-At")
	if err != nil {
		return err
	}
	if issued > 0 {
		c.IssuedAt = time.UnixMilli(issued)
	}
	depth, err := number(h, "Peridot-Depth")
	if err != nil {
		return err
	}
	attempt, err := number(h, "Peridot-Attempt")
	if err != nil {
		return err
	}
	c.Depth = int(depth)
	c.Retry = attempt > 1
	return nil
}

// maxHeaderNumber keeps a number of milliseconds within time.Duration.
const maxHeaderNumber = 1 << 43

func number(h http.Header, name string) (int64, error) {
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

func (r *Receiver) writeAnswer(w http.ResponseWriter, c *dispatcher.Call, a *dispatcher.Response) {
	h := w.Header()
	for name, values := range endToEnd(a.Header) {
		h[name] = values
	}
	// Only the answer to HEAD says a length that its body doesn't show.
	if v := a.Header["Content-Length"]; c.Method == http.MethodHead && len(v) == 1 {
		h["Content-Length"] = v
	}
	c.Trace.Outcome, c.Trace.Status = string(a.Outcome), a.Status
	h.Set("Peridot-Request-Id", c.RequestID)
	h.Set("Peridot-Outcome", string(a.Outcome))
	h.Set("Peridot-Attempts", strconv.Itoa(a.Attempts))
	h.Set("Server-Timing", c.Trace.ServerTiming())
	w.WriteHeader(a.Status)
	if a.Body == nil {
		return
	}
	defer a.Body.Close()
	start := time.Now()
	_, err := io.Copy(w, a.Body)
	c.Trace.Write = time.Since(start)
	if err != nil {
		c.Trace.Notes = append(c.Trace.Notes, "the answer broke off: "+err.Error())
		// Only a broken connection tells the caller that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	if a.Trailer == nil || len(a.Trailer()) == 0 {
		return
	}
	// Before the flush a short answer would get a length, and no chunks for the trailer to follow.
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
		for name, values := range endToEnd(a.Trailer()) {
			h[http.TrailerPrefix+name] = values
		}
	}
}

func (r *Receiver) writeFailure(w http.ResponseWriter, req *http.Request, c *dispatcher.Call, err error) {
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
		h.Set("Retry-After", strconv.Itoa(int((e.RetryAfter+time.Second-1)/time.Second)))
	}
	writeError(w, req, e.Status, e.Error())
}
