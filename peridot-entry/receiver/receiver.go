package receiver

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/admitter"
	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/common/server"
	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/estimator"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/tracer"
)

// Config configures a Receiver. Every function is required unless its comment says otherwise.
type Config struct {
	Listener      net.Listener
	Configuration func() *parser.Configuration
	// CanServe reports whether this entry may take new calls: its configuration is confirmed as the newest, or need not be.
	CanServe func() bool
	// Confirmed reports whether control has recently confirmed that this entry's configuration is the newest; nil for always.
	Confirmed func() bool
	Entries   func() []*delivererpb.EntryMember
	// IsStopping reports whether this entry is about to stop: it is not ready, and its responses ask callers to close their connections.
	IsStopping func() bool
	// IsRefusing reports whether a stopping entry refuses new routed calls, since they might not end before it stops; nil for never.
	IsRefusing func() bool
	// Zone is the availability zone of this entry.
	Zone string
	// TakeToken takes a token of the rate limit of an account by the routing with the given number. If there is none, ok is false, and
	// after is when there will be one. giveBack returns the token of a call that has not run. TakeToken is nil for no limits.
	TakeToken func(ctx context.Context, account *parser.Account, number uint64) (giveBack func(), after time.Duration, ok bool)
	Do        func(context.Context, *dispatcher.Call) (*dispatcher.Response, error)
	Announce  func(registrar.Server) (lease time.Duration)
	// Leave removes a backend server. It returns false when this entry doesn't know the backend server.
	Leave func(registrar.Key) bool
	// OnFinish is called with the trace of each call that has ended.
	OnFinish func(*tracer.Trace)
	// Dialect reads and writes the headers of routed calls, whose service depends on their host and path. When it is nil, calls name
	// their service in the path: /call/{service}.
	Dialect *Dialect
	// Admitter limits callers' connections; nil for the process's own limits.
	Admitter *admitter.Admitter
	// Initialized is closed once routes and backend servers are known. Routed calls that arrive earlier wait for it up to maxInitWait;
	// nil for no wait.
	Initialized <-chan struct{}
}

// Limits on what a client may send and how long it may take.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	maxBodyBytes      = 1 << 20
	// maxBodiesBytes limits the bodies of all calls that are in memory: together with the buffers that they are read with, less than half
	// of the smallest instance's memory.
	maxBodiesBytes = 32 << 20
	// maxRoutedTimeout limits the timeouts that the routing sets.
	maxRoutedTimeout = 10 * time.Minute
	// writeTimeout limits how long a client may take to read a response.
	writeTimeout = time.Minute
)

// Receiver is an entry's HTTP server for callers and backend servers.
type Receiver struct {
	cfg Config
	srv *server.Server
	// initWaiters counts the calls that wait for Config.Initialized.
	initWaiters atomic.Int32
	// waitEstimator estimates how long callers had waited before they sent a routed call.
	waitEstimator estimator.Estimator
	// ending is canceled by EndBodies.
	ending    context.Context
	endBodies context.CancelFunc
}

// New starts serving on cfg.Listener; Close stops it.
func New(cfg Config) *Receiver {
	r := &Receiver{cfg: cfg}
	r.ending, r.endBodies = context.WithCancel(context.Background())
	r.srv = server.New(server.Config{
		Listener: cfg.Listener, Handler: http.HandlerFunc(r.serveHTTP),
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		MaxBodyBytes: maxBodiesBytes, Admitter: cfg.Admitter, Port: admitter.Callers, Timeouts: r.timeouts,
	})
	return r
}

// timeouts returns the timeouts that the routing sets, up to maxRoutedTimeout.
func (r *Receiver) timeouts() (t admitter.Timeouts) {
	cfg := r.cfg.Configuration()
	if cfg == nil || cfg.Routing == nil {
		return t
	}
	l := &cfg.Routing.Limits
	return admitter.Timeouts{Header: min(l.HeaderTimeout.Std(), maxRoutedTimeout), Idle: min(l.IdleTimeout.Std(), maxRoutedTimeout)}
}

// EndBodies refuses all calls whose body isn't complete, also those that arrive later, so that their callers get a response before the entry
// closes their connections.
func (r *Receiver) EndBodies() { r.endBodies() }

// Close stops accepting connections and waits for the calls in flight until ctx ends.
func (r *Receiver) Close(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "stop receiver") }()
	return r.srv.Close(ctx)
}

func (r *Receiver) serveHTTP(w http.ResponseWriter, req *http.Request) {
	path := req.URL.Path
	setWriteDeadline(w, time.Now())
	if r.cfg.IsStopping() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case r.cfg.Dialect != nil:
		r.handleRoutedCall(w, req)
	case strings.HasPrefix(path, callPrefix):
		r.handleCall(w, req)
	case path == "/peridot/addresses":
		r.handleAddresses(w, req)
	case path == "/peridot/announce" || strings.HasPrefix(path, "/peridot/announce/"):
		r.handleAnnounce(w, req)
	case path == "/peridot/health":
		w.WriteHeader(http.StatusOK)
	case path == "/peridot/ready":
		r.handleReady(w, req)
	default:
		writeError(w, req, http.StatusNotFound, "no such path")
	}
}

// setWriteDeadline limits the time to write a response, so that a client that doesn't read it can't hold the connection forever.
func setWriteDeadline(w http.ResponseWriter, now time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(now.Add(writeTimeout))
}

func (r *Receiver) handleReady(w http.ResponseWriter, req *http.Request) {
	switch {
	case r.cfg.IsStopping():
		writeError(w, req, http.StatusServiceUnavailable, "stopping")
		return
	case r.cfg.Configuration() == nil:
		writeError(w, req, http.StatusServiceUnavailable, "no configuration yet")
		return
	}
	if !r.cfg.CanServe() {
		writeError(w, req, http.StatusServiceUnavailable, "neither control nor a majority of entries confirms the configuration")
		return
	}
	w.WriteHeader(http.StatusOK)
}
