package sender

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"

	"peridotswitch.example/peridot-entry/registrar"
)

// exchange is one request and its response on one connection.
type exchange struct {
	begin     time.Time
	cfg       *Config
	server    registrar.Key
	requestID string
	probe     bool
	conn      *conn
	// stop prevents the end of the call's context from interrupting conn; it returns false when the context has ended already.
	stop   func() bool
	timing Timing
	// info is parsed from the header of the response that read returned, and proof is why that response belongs to the request.
	info  HeaderInfo
	proof Proof
	// dropped counts the responses that were read before it and not returned.
	dropped int
	// marker is true once a marker has been sent behind the request; early is true when the request couldn't be written completely.
	marker, early bool
	// closeTimer interrupts conn closeTimeout after the response to the marker; nil before.
	closeTimer *time.Timer
	// doubts holds the doubtful responses among those dropped.
	doubts []unnamed
	// status is that of the response to the request; 0 while there is none.
	status int
	// writeResult receives the error of a write that runs while the response is read; nil when the request is written first, with writeErr.
	writeResult chan error
	writeErr    error
}

// write sends the request. A body over maxInlineBody is written in the background, while the response is awaited.
func (e *exchange) write(hr *http.Request, size int) error {
	start := time.Now()
	defer func() { e.timing.Send = time.Since(start) }()
	send := func() error {
		err := hr.Write(e.conn.writer)
		if err == nil {
			err = e.conn.writer.Flush()
		}
		if e.conn.writeErr != nil {
			// net/http hides the cause of an error in the body.
			return e.conn.writeErr
		}
		return err
	}
	if size <= maxInlineBody {
		e.writeErr = send()
		return e.writeErr
	}
	e.writeResult = make(chan error, 1)
	go func() { e.writeResult <- send() }()
	return nil
}

// wasReset reports whether the connection was reset while the request was written. The kernel tells of a reset once: if the write has met it, a
// read finds the end of the connection, as if the server had closed it. A write under way is ended, as it may be about to meet it. Other
// than a reset, EPIPE means that the server had closed the connection before, so that all of its response has come.
func (e *exchange) wasReset() bool {
	err := e.writeErr
	if e.writeResult != nil {
		_ = e.conn.SetWriteDeadline(time.Unix(1, 0))
		err = <-e.writeResult
		e.writeResult <- err
	}
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// parseKeepAlive returns how long an idle connection is to be kept according to a response's Keep-Alive header, which states when the
// server closes it.
func parseKeepAlive(h http.Header) (maxIdle time.Duration, ok bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0, false
		}
		timeout := min(time.Duration(min(seconds, int(maxMaxIdle/time.Second)))*time.Second, maxMaxIdle)
		return timeout - min(keepAliveMargin, timeout/4), true
	}
	return 0, false
}

// readOne waits for the header of a final response and skips informational ones.
func (e *exchange) readOne(hr *http.Request) (*http.Response, error) {
	start := time.Now()
	defer func() { e.timing.Wait += time.Since(start) }()
	for range maxInformational {
		e.conn.limitHeader()
		res, err := http.ReadResponse(e.conn.reader, hr)
		if err != nil {
			return nil, err
		}
		if err = checkNames(res.Header); err != nil {
			return nil, err
		}
		switch {
		case res.StatusCode < http.StatusContinue:
			return nil, errors.Errorf("the answer's status is %03d", res.StatusCode)
		case res.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitching
		}
		if res.StatusCode >= http.StatusOK {
			e.conn.unlimitHeader()
			return res, nil
		}
	}
	return nil, errors.Errorf("more than %d informational answers", maxInformational)
}

// checkNames returns an error if the name of a field isn't a token: net/textproto accepts blanks in it.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("the answer has a field with the invalid name %q", name)
		}
	}
	return nil
}

// Time limits for the response to a request that couldn't be written completely.
const (
	earlyHeaderTimeout = 50 * time.Millisecond
	earlyBodyTimeout   = time.Second
)

// readEarly reads the response to a request that couldn't be written completely.
func (e *exchange) readEarly(hr *http.Request) (*http.Response, error) {
	e.conn.broken, e.early = true, true
	if err := e.conn.SetReadDeadline(time.Now().Add(earlyHeaderTimeout)); err != nil {
		return nil, err
	}
	res, err := e.read(hr)
	if err == nil {
		err = e.conn.SetReadDeadline(time.Now().Add(earlyBodyTimeout))
	}
	return res, err
}

// response returns the response; its connection can be reused once the body has been read to its end.
func (e *exchange) response(ctx context.Context, res *http.Response) (*Response, error) {
	e.status = res.StatusCode
	closeDelimited := res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Request.Method != http.MethodHead
	if closeDelimited && !e.cfg.AllowCloseDelimited {
		return nil, e.fail(ctx, ReadingBody, errCloseDelimited)
	}
	info := &e.info
	if info.InvalidReason != "" && !e.probe {
		return nil, e.fail(ctx, ReadingBody, errors.New(info.InvalidReason))
	}
	if isContradictory(res.StatusCode, info) && !e.probe {
		return nil, e.fail(ctx, ReadingBody, errContradictory)
	}
	if closeDelimited || e.invitesDoubt() || res.Close || !res.ProtoAtLeast(1, 1) {
		e.conn.broken = true
	}
	b := &body{exchange: e, ctx: ctx, res: res, closeDelimited: closeDelimited}
	return &Response{
		Status:      res.StatusCode,
		Header:      res.Header,
		Trailer:     func() http.Header { return res.Trailer },
		Body:        b,
		Load:        info.Load,
		Shed:        info.isRefusal() && e.isProofOfNotRun(info),
		Refusal:     e.refusalKind(info),
		Draining:    info.Draining && !info.WrongServer,
		Closing:     info.Closing,
		Server:      info.Server,
		WrongServer: info.WrongServer,
		RateLimit:   info.RateLimit,
		RetryAfter:  info.RetryAfter,
		WarmUp:      info.WarmUp,
		Proof:       e.proof,
		Exchange:    e.conn.exchanges,
		LocalPort:   e.conn.localPort(),
		Timing:      e.timing,
	}, nil
}

// fail ends the exchange and closes its connection; the Error it returns says how far the attempt got.
func (e *exchange) fail(ctx context.Context, phase Phase, err error) *Error {
	if cause := ctx.Err(); cause != nil {
		err = cause
	}
	out := &Error{Phase: phase, Timing: e.timing, Err: err}
	if e.conn == nil {
		out.Unreachable = ctx.Err() == nil && !errors.Is(err, errNoConnection)
		return out
	}
	if e.stop != nil {
		e.stop()
	}
	out.Written = e.conn.endSending()
	out.Exchange, out.LocalPort, out.Status = e.conn.exchanges, e.conn.localPort(), e.status
	out.Contradictory = errors.Is(err, errContradictory)
	out.Answered = len(e.doubts) > 0 || e.status != 0 && e.info.isRefusal()
	if out.Status == 0 && len(e.doubts) > 0 {
		out.Status = e.doubts[0].res.StatusCode
	}
	if e.isSilent(ctx) {
		e.conn.host.markSuspect(e.begin)
	}
	e.conn.discard()
	return out
}

// isSilent reports whether the call was canceled after silentAfter or more, before any byte of a response was received.
func (e *exchange) isSilent(ctx context.Context) bool {
	if ctx.Err() == nil || e.conn.received {
		return false
	}
	return time.Since(e.begin) >= silentAfter
}

// finish releases the connection after the body was read to its end, or closes it when it can't be reused.
func (e *exchange) finish() {
	uninterrupted := e.stop()
	written := true
	if e.writeResult != nil {
		select {
		case err := <-e.writeResult:
			written = err == nil
		default:
			written = false
		}
	}
	if !uninterrupted || !written || e.conn.broken {
		e.conn.discard()
		return
	}
	e.conn.release()
}

// body is a response's body. Reading it fails when it is truncated.
type body struct {
	exchange *exchange
	ctx      context.Context
	res      *http.Response
	err      error
	// closeDelimited is set if the body ends with the connection.
	closeDelimited bool
}

// Read implements io.Reader; an error other than io.EOF is an *Error.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.res.Body.Read(p)
	if err == io.EOF && b.closeDelimited && b.exchange.wasReset() {
		err = errReset
	}
	if err == io.EOF {
		err = cmp.Or(checkNames(b.res.Trailer), b.checkRefusal(), err)
	}
	if err == io.EOF {
		b.err = err
		b.exchange.finish()
	} else if err != nil {
		b.err = b.exchange.fail(b.ctx, ReadingBody, err)
	}
	return n, b.err
}

// checkRefusal returns an error if the trailer of a refusal says that the request was run.
func (b *body) checkRefusal() error {
	e := b.exchange
	if len(b.res.Trailer) > 0 && e.info.isRefusal() && !e.probe && e.cfg.ParseHeaders(b.res.StatusCode, b.res.Trailer).Ran {
		return errContradictory
	}
	return nil
}

// Close closes the connection unless the body has been read to its end.
func (b *body) Close() error {
	if b.err == nil {
		b.err = errors.New("read after close")
		b.exchange.stop()
		b.exchange.conn.discard()
	}
	return nil
}

func newRequest(req *Request) (*http.Request, error) {
	u, err := url.ParseRequestURI(req.Path)
	if err != nil {
		return nil, err
	}
	if u.RequestURI() != req.Path && !strings.HasPrefix(req.Path, "//") {
		// net/url would encode the bytes that a path should not have.
		path, query, hasQuery := strings.Cut(req.Path, "?")
		u = &url.URL{Opaque: path, RawQuery: query, ForceQuery: hasQuery}
	}
	u.Scheme, u.Host = "http", req.Address
	hr := &http.Request{
		Method:        req.Method,
		URL:           u,
		Host:          cmp.Or(req.Host, req.Address),
		Header:        req.Header,
		ContentLength: int64(len(req.Body)),
	}
	if hr.Header == nil {
		hr.Header = make(http.Header)
	}
	if len(hr.Header["User-Agent"]) == 0 {
		// Without this, net/http would send its own User-Agent in place of the caller's.
		hr.Header["User-Agent"] = nil
	}
	if len(req.Body) > 0 {
		hr.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	return hr, nil
}

// ParseRetryAfter returns for how long a response asks for no more requests: the number of seconds, decimals included, in Retry-After of a
// status that means it. It returns 0 for any other response, such as one with a date or a number that is not positive.
func ParseRetryAfter(status int, h http.Header) time.Duration {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(h.Get("Retry-After")), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// maxRetryAfter bounds the result of ParseRetryAfter.
const maxRetryAfter = time.Hour

// ParsePeridotHeaders parses the Peridot-* headers and Retry-After of a response.
func ParsePeridotHeaders(status int, h http.Header) HeaderInfo {
	info := HeaderInfo{
		RetryAfter: ParseRetryAfter(status, h),
		Load:       parseLoad(h.Get("Peridot-Load")),
		Shed:       h.Get("Peridot-Shed") == "true",
		Draining:   h.Get("Peridot-Draining") == "true",
	}
	if info.Shed {
		// Other responses may carry the id of a call that the server made itself.
		info.RequestID = h.Get("Peridot-Request-Id")
	}
	return info
}

func parseLoad(v string) *Load {
	if v == "" {
		return nil
	}
	var l Load
	for part := range strings.SplitSeq(v, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		n, err := strconv.Atoi(number)
		if err != nil || n < 0 {
			return nil
		}
		switch name {
		case "in-flight":
			l.InFlight = n
		case "slots":
			l.Slots = n
		}
	}
	return &l
}
