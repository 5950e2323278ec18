package receiver

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/common/server"
	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/estimator"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/tracer"
)

// Config configures a Receiver; every function is needed.
type Config struct {
	Listener      net.Listener
	Configuration func() *parser.Configuration
	// Serving reports whether the configuration is known to be the newest.
	Serving func() bool
	Entries func() []*delivererpb.EntryMember
	// Stopping reports whether this entry is about to stop: it is not ready and asks callers to close their connections.
	Stopping func() bool
	// Refusing reports whether a stopping entry takes no more calls, since they might not end in time; nil for never.
	Refusing func() bool
	// Zone is the availability zone of this entry.
	Zone     string
	Do       func(context.Context, *dispatcher.Call) (*dispatcher.Response, error)
	Announce func(registrar.Server) (lease time.Duration)
	// Leave takes a backend server out; false when it isn't known here.
	Leave func(registrar.Key) bool
	// Finished is told of every call that has ended.
	Finished func(*tracer.Trace)
	// Routed is how routed calls are spoken; nil where callers name the service, as in /call/{service}.
	Routed *Dialect
	// Prepared is closed once routes and backend servers are known; routed calls that come before wait a little. Nil for no wait.
	Prepared <-chan struct{}
}

// Limits of what a peer may send or how long it may take.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	maxBodyBytes      = 1 << 20
	// writeTimeout is what a caller has to take its answer.
	writeTimeout = time.Minute
)

// Receiver is the HTTP side of an entry.
type Receiver struct {
	cfg Config
	srv *server.Server
	// preparing counts the calls that wait for Config.Prepared.
	preparing atomic.Int32
	// waits tells how long callers have waited before they sent a routed call.
	waits estimator.Estimator
}

// New starts serving on cfg.Listener; Close stops it.
func New(cfg Config) *Receiver {
	r := &Receiver{cfg: cfg}
	r.srv = server.New(server.Config{
		Listener: cfg.Listener, Handler: http.HandlerFunc(r.route),
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
	return r
}

// Close stops taking connections and waits for the calls in flight until ctx ends.
func (r *Receiver) Close(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "stop receiver") }()
	return r.srv.Close(ctx)
}

func (r *Receiver) route(w http.ResponseWriter, req *http.Request) {
	path := req.URL.Path
	boundWrite(w, time.Now())
	if r.cfg.Stopping() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case r.cfg.Routed != nil:
		r.routed(w, req)
	case strings.HasPrefix(path, callPrefix):
		r.call(w, req)
	case path == "/peridot/addresses":
		r.addresses(w, req)
	case path == "/peridot/announce" || strings.HasPrefix(path, "/peridot/announce/"):
		r.announce(w, req)
	case path == "/peridot/health":
		w.WriteHeader(http.StatusOK)
	case path == "/peridot/ready":
		r.ready(w, req)
	default:
		writeError(w, req, http.StatusNotFound, "no such path")
	}
}

// boundWrite keeps a peer that doesn't take its answer from holding it for good.
func boundWrite(w http.ResponseWriter, now time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(now.Add(writeTimeout))
}

func (r *Receiver) ready(w http.ResponseWriter, req *http.Request) {
	switch {
	case r.cfg.Stopping():
		writeError(w, req, http.StatusServiceUnavailable, "stopping")
		return
	case r.cfg.Configuration() == nil:
		writeError(w, req, http.StatusServiceUnavailable, "no configuration yet")
		return
	}
	if !r.cfg.Serving() {
		writeError(w, req, http.StatusServiceUnavailable, "neither control nor a majority of entries confirms the configuration")
		return
	}
	w.WriteHeader(http.StatusOK)
}
