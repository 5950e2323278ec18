package dispatcher

import (
	"io"
	"net/http"
	"time"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/tracer"
)

// Outcome is what the caller is told of its call.
type Outcome string

// The values of Outcome.
const (
	// Ran says that a backend server answered.
	Ran Outcome = "ran"
	// NotRun says that no backend server ran the call and none will.
	NotRun Outcome = "not-run"
	// Unknown says that it may have run.
	Unknown Outcome = "unknown"
)

// Call is one call of a caller, its body read whole.
type Call struct {
	RequestID string
	Service   string
	Method    string
	// Host is what the caller asked for where a route was chosen by it; empty else.
	Host string
	// Path is the path and query behind /call/{service}.
	Path           string
	Header         http.Header
	Body           []byte
	Rule           parser.Rule
	Deadline       time.Time
	IdempotencyKey string
	// IssuedAt is the caller's clock at the first send; zero when it was not said.
	IssuedAt time.Time
	// Waited is how long the caller has waited before this send, as with an answer that it should come back; 0 when not known.
	Waited time.Duration
	// Depth counts the entries that the call has passed on its way.
	Depth int
	// Retry is true when the call is itself a retry or hedge of an entry nearer to the caller.
	Retry bool
	Trace *tracer.Trace
}

// Answer is what goes back to the caller; Body is nil for errors of our own and must be closed else.
type Answer struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	// Trailer returns what stood behind the body, once that has been read to its end; nil for none.
	Trailer  func() http.Header
	Attempts int
}

// Length returns the length of the body when all of it is in memory.
func (a *Answer) Length() (n int, known bool) {
	c, ok := a.Body.(*cancelingBody)
	if !ok {
		return 0, false
	}
	b, ok := c.ReadCloser.(*answerBody)
	if !ok || !b.whole {
		return 0, false
	}
	return b.size, true
}

// Expired reports whether the call's deadline has passed.
func (c *Call) Expired() bool { return !time.Now().Before(c.Deadline) }

// spare is how long the call may still be held up and yet meet its objective.
func (c *Call) spare() time.Duration {
	return time.Duration((1-workShare)*float64(c.Rule.Objective)) - c.Waited - time.Since(c.Trace.Begin)
}

// Error is a call that got no answer from a backend server.
type Error struct {
	// Outcome is of all sends of the call, ThisSend of this one where more is known of it.
	Outcome    Outcome
	ThisSend   Outcome
	Status     int
	RetryAfter time.Duration
	Err        error
}

// Error gives the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
