package dispatcher

import (
	"io"
	"net/http"
	"time"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/tracer"
)

// Outcome tells the caller whether its call was run.
type Outcome string

// The values of Outcome.
const (
	// Ran means that a backend server responded.
	Ran Outcome = "ran"
	// NotRun means that no backend server ran the call and none will.
	NotRun Outcome = "not-run"
	// Unknown means that a backend server may have run the call.
	Unknown Outcome = "unknown"
)

// Call is one call of a caller, with its body read completely.
type Call struct {
	RequestID string
	Service   string
	Method    string
	// Host is the requested host name when the call was routed by host; empty otherwise.
	Host string
	// Path is the path and query after /call/{service}.
	Path           string
	Header         http.Header
	Body           []byte
	Rule           parser.Rule
	Deadline       time.Time
	IdempotencyKey string
	// Account is the name of the client account that makes the call; empty when there are no accounts.
	Account string
	// LimitedBy is that account if it has a rate limit; nil otherwise.
	LimitedBy *parser.Account
	// IsRevoked reports whether the key of the call has been withdrawn since the call arrived; nil for a call without a key.
	IsRevoked func() bool
	// IssuedAt is the time of the first send by the caller's clock; zero when the caller didn't send it.
	IssuedAt time.Time
	// Waited is how long the caller had already waited before this send, for example after a refusal with Retry-After; 0 when not
	// known.
	Waited time.Duration
	// Depth is the number of entries that the call has passed before this one.
	Depth int
	// Retry is true when this send is a retry or hedge, by the caller or by an entry earlier in the call chain.
	Retry bool
	Trace *tracer.Trace
}

// Response is the response to the caller. Body is nil for errors that the entry itself reports; otherwise it must be closed.
type Response struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	// Trailer returns the trailer fields once the body has been read to its end; nil when there are none.
	Trailer  func() http.Header
	Attempts int
}

// Length returns the length of the body; known is false unless the whole body is in memory.
func (r *Response) Length() (n int, known bool) {
	c, ok := r.Body.(*cancelingBody)
	if !ok {
		return 0, false
	}
	b, ok := c.ReadCloser.(*responseBody)
	if !ok || !b.complete {
		return 0, false
	}
	return b.size, true
}

// IsExpired reports whether the call's deadline has passed.
func (c *Call) IsExpired() bool { return !time.Now().Before(c.Deadline) }

// slack returns how much longer the call may wait and still meet its objective; it is negative when the call is late.
func (c *Call) slack() time.Duration {
	return time.Duration((1-serviceTimeShare)*float64(c.Rule.Objective)) - c.Waited - time.Since(c.Trace.Begin)
}

// Error reports a call that got no response from a backend server.
type Error struct {
	// Outcome covers all sends of the call; SendOutcome covers only this one and is empty unless more is
	// known about it.
	Outcome     Outcome
	SendOutcome Outcome
	Status      int
	RetryAfter  time.Duration
	Err         error
}

// Error returns the message of the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
