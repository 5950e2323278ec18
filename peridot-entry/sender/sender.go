package sender

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/registrar"
)

// Request is one attempt of a call.
type Request struct {
	Address string
	Method  string
	// Path is the path and query of the request to the backend server, without the prefix /call/{service}.
	Path   string
	Header http.Header
	Body   []byte
	// Server and Incarnation identify the backend server that was picked, whose address is Address.
	Server      registrar.Key
	Incarnation uint64
	// Connections is how many connections the backend server accepts from all entries together, as announced; 0 when unknown.
	Connections int
	// Host is the Host header; Address when empty.
	Host string
	// ID is the request id. A response that names another one is dropped.
	ID string
	// Account is the name of the client account that makes the call; empty when there are no accounts.
	Account string
	// Probe is true for a probe, whose response no caller gets: it is accepted even if HeaderInfo.InvalidReason is set.
	Probe bool
	// FreshConnection requires a new connection or one that received a response, such as to a probe, within freshFor. Calls that may run
	// only once need it.
	FreshConnection bool
}

// Load is a backend server's load report, such as in Peridot-Load.
type Load struct {
	// InFlight is the number of calls that run or wait.
	InFlight int
	Slots    int
	// Slowdown is the factor by which work takes longer than usual at the moment; 0 when the server doesn't report it.
	Slowdown float64
}

// RateLimit is the number of requests per second that a backend server takes from all entries together, as a response names it.
type RateLimit struct {
	PerSecond float64
	// Named is true when the response names a limit, Malformed when it names one that can't be read.
	Named, Malformed bool
}

// HeaderInfo is the information in a response's header that the entry itself uses.
type HeaderInfo struct {
	Load *Load
	// Shed is true when the response says that its request was not run, Ran when it says that it was, such as by a signature. Whose response it is
	// and whether it contradicts itself is not known yet; Response.Shed is the result.
	Shed, Ran bool
	// Draining is true when the server says that it drains, Closing when it refuses a call and closes the connection, as servers that stop
	// do and sometimes others.
	Draining, Closing bool
	// Server is the instance id of the server that responded; empty when the header has none.
	Server string
	// WrongServer is true when the response says that a server other than the expected one has the address.
	WrongServer bool
	// RequestID is the id of the request that the response belongs to; empty when the header has none.
	RequestID string
	RateLimit RateLimit
	// RetryAfter is for how long the server asks for no calls; 0 if it doesn't.
	RetryAfter time.Duration
	// WarmUp is how long the server says that it will still be cold; nil if it doesn't say.
	WarmUp *time.Duration
	// InvalidReason is why the response can't be the server's own; empty when it can.
	InvalidReason string
}

// Response is a backend server's response. Body must be closed; reading it fails when it is truncated.
type Response struct {
	Status int
	Header http.Header
	// Trailer returns the trailer once the body has been read to its end.
	Trailer func() http.Header
	Body    io.ReadCloser
	Load    *Load
	// Shed is true when it is certain that the server has not run the request: the response is the request's by Proof, and says so
	// (HeaderInfo.Shed) or has the name of another server than the expected one. A trailer that contradicts it makes reading Body fail.
	Shed bool
	// Refusal is what proves that; empty unless Shed is true.
	Refusal  RefusalKind
	Draining bool
	Closing  bool
	Server   string
	// WrongServer is true when the response says that a server other than the expected one has the address. Unless Shed is true as well, the
	// expected one may have sent it, and may have run the request.
	WrongServer bool
	RateLimit   RateLimit
	RetryAfter  time.Duration
	WarmUp      *time.Duration
	// Proof is why the response belongs to the request.
	Proof Proof
	// Exchange is the number of the request on its connection, from 1, probes included.
	Exchange int
	// LocalPort is the entry's port of the connection.
	LocalPort int
	Timing    Timing
}

// RefusalKind is what makes a response a refusal of the call.
type RefusalKind string

// The values of RefusalKind.
const (
	// RefusalStated means that the backend server says that it did not run the call.
	RefusalStated RefusalKind = "stated"
	// RefusalWrongServer means that another server has the address, by its name, and nothing else says that the call was not run.
	RefusalWrongServer RefusalKind = "wrong-server"
)

// Proof is why a response belongs to a request. Responses without a request id all look alike, so that one that is late, or was never asked
// for, passes for the response to the next request on its connection.
type Proof string

// The values of Proof.
const (
	// ProofNamed means that the response has the request's id.
	ProofNamed Proof = "named"
	// ProofFirst means that the request was the first on its connection, so that no other response could be due.
	ProofFirst Proof = "first"
	// ProofMarked means that the response to a marker, sent behind the request, came next.
	ProofMarked Proof = "marked"
	// ProofOrder means that the response was next on a connection that had carried other requests.
	ProofOrder Proof = "order"
)

// Stray is a response that belongs to no request in flight and was dropped.
type Stray struct {
	Server registrar.Key
	// RequestID is the id of the request whose response was awaited; empty for a probe.
	RequestID string
	Status    int
	// NamedID is the request id in the response; empty when it has none.
	NamedID string
	// Exchange is the number of the awaited request on its connection, from 1.
	Exchange int
}

// Timing splits the time of one attempt up to the response's header.
type Timing struct {
	Connect time.Duration
	Send    time.Duration
	Wait    time.Duration
}

// Phase is how far an attempt got.
type Phase string

// The values of Phase.
const (
	Connecting  Phase = "connect"
	Sending     Phase = "send"
	Waiting     Phase = "wait"
	ReadingBody Phase = "read"
)

// Error is a failed attempt.
type Error struct {
	Phase Phase
	// Written is true when any byte of the call may have been sent. Only when it is false is it certain that no backend server ran the
	// call.
	Written bool
	Timing  Timing
	// Exchange is the number of the request on its connection, from 1, probes included; 0 when there was no connection.
	Exchange int
	// LocalPort is the entry's port of the connection; 0 when there was none.
	LocalPort int
	// Status is that of a response that was read and not accepted; 0 when there was none.
	Status int
	// Contradictory is true when that response says both that the server ran the call and that it did not.
	Contradictory bool
	// Answered is true when the header of a refusal of the request was read, or all of a response that may be the request's.
	Answered bool
	// Unreachable is true when dialing failed for a reason other than the end of the call's context.
	Unreachable bool
	Err         error
}

// Error implements error; the text begins with the phase in which the attempt failed.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Phase, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsReused reports whether the connection had carried a request before.
func (e *Error) IsReused() bool { return e.Exchange > 1 }

// IsConnectionLost reports whether the backend server closed or reset the connection after some of the call had been written and before
// it responded.
func (e *Error) IsConnectionLost() bool {
	if !e.Written || e.Answered {
		return false
	}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(e.Err, cause) {
			return true
		}
	}
	return false
}

// Config configures a Sender. The zero value is valid.
type Config struct {
	DialTimeout time.Duration
	// MaxConnections returns how many connections this entry may open to a backend server that accepts the given number from all
	// entries; nil for no limit.
	MaxConnections func(connections int) int
	// MaxOpen limits the connections to all servers together, so that they leave descriptors to callers; 0 for no limit.
	MaxOpen int
	// ParseHeaders parses a response's header; ParsePeridotHeaders when nil.
	ParseHeaders func(status int, h http.Header) HeaderInfo
	// AllowCloseDelimited accepts responses whose body ends when the connection is closed.
	AllowCloseDelimited bool
	// NamesRequests says that responses name their request, but for refusals and responses to probes; the latter name the server.
	NamesRequests bool
	// MarkerPath returns the path of a request that runs nothing at the servers of a service, and whose response names the server; empty
	// for none. It is sent behind a request when a response can't be told to be the request's own. Nil for none.
	MarkerPath func(service string) string
	// MayMark reports whether a marker may be sent to a server now; nil for always.
	MayMark func(registrar.Key) bool
	// OnStray is called with each response that belongs to no request in flight; may be nil.
	OnStray func(Stray)
}

const (
	// DefaultDialTimeout is the dial timeout when Config.DialTimeout is zero.
	DefaultDialTimeout = 250 * time.Millisecond
	// freshFor is how long a connection counts as fresh after a response.
	freshFor = 100 * time.Millisecond
	// defaultMaxIdle is how long an idle connection is kept if the backend server does not say how long it keeps it. One that does is
	// believed up to maxMaxIdle, and the connection is closed keepAliveMargin earlier, so that no request crosses its end.
	defaultMaxIdle  = 5 * time.Second
	maxMaxIdle      = time.Minute
	keepAliveMargin = time.Second
	// hostRetention is how long the record of a server without connections is kept.
	hostRetention = 5 * time.Second
	reapInterval  = time.Second
	// silentAfter is how long a canceled call must have waited for its connection to count as silent.
	silentAfter = 100 * time.Millisecond
	// maxInformational limits the 1xx responses before the final one.
	maxInformational = 16
	// maxInlineBody is the largest body that is written before the response is read. The socket buffers hold that much, so the write
	// doesn't block.
	maxInlineBody = 8 << 10
	// maxStaleResponses limits the responses to earlier requests before the response to this one.
	maxStaleResponses = 4
	// maxStaleBytes limits the body of such a response.
	maxStaleBytes = 1 << 20
	// closeTimeout is how long the end of a connection may take to come after the response that announces it: servers close at once, and the
	// end takes a round trip or a few between availability zones. A request whose connection has not ended by then may have run.
	closeTimeout = 100 * time.Millisecond
)

// errCloseDelimited is the error for a response whose body ends with the connection: a truncated one can't be told from a complete one.
var errCloseDelimited = errors.New("the answer has neither a length nor chunks: whether it is whole can't be known")

// errReset is the error for a response whose body ends with the connection, if the connection was reset while the request was written.
var errReset = errors.WithMessage(syscall.ECONNRESET, "write the request")

// errSwitching is the error for a 101 response, after which the connection doesn't speak HTTP.
var errSwitching = errors.New("the backend server switched protocols without being asked")

// Sender sends attempts over its own connection pool. It never sends a request again: an attempt writes its request at most once.
type Sender struct {
	cfg  Config
	pool *pool
	stop func()
}

// New returns a Sender, which must be closed.
func New(cfg Config) *Sender {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.ParseHeaders == nil {
		cfg.ParseHeaders = ParsePeridotHeaders
	}
	s := &Sender{cfg: cfg, pool: newPool(cfg)}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(reapInterval):
				s.pool.reap(time.Now(), false)
			}
		}
	})
	s.stop = sync.OnceFunc(func() {
		close(done)
		wg.Wait()
	})
	return s
}

// Close closes the idle connections and stops the background work.
func (s *Sender) Close() {
	s.stop()
	s.pool.reap(time.Now(), true)
}

// Do sends one attempt and returns once the response's header has been read. The error is an *Error.
func (s *Sender) Do(ctx context.Context, req *Request) (*Response, error) {
	e := &exchange{begin: time.Now(), cfg: &s.cfg, server: req.Server, requestID: req.ID, probe: req.Probe}
	hr, err := newRequest(req)
	if err != nil {
		return nil, e.fail(ctx, Connecting, err)
	}
	e.conn, err = s.pool.get(ctx, req)
	e.timing.Connect = time.Since(e.begin)
	if err != nil {
		return nil, e.fail(ctx, Connecting, err)
	}
	e.stop = context.AfterFunc(ctx, e.conn.interrupt)
	if err = e.write(hr, len(req.Body)); err != nil {
		// A backend server may respond before it has read the whole call, and close the connection.
		if ctx.Err() == nil {
			if res, earlyErr := e.readEarly(hr); earlyErr == nil {
				return e.response(ctx, res)
			}
		}
		return nil, e.fail(ctx, Sending, err)
	}
	res, err := e.read(hr)
	if err != nil {
		return nil, e.fail(ctx, Waiting, err)
	}
	return e.response(ctx, res)
}
