package informer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/admitter"
	"peridotswitch.example/common/bounder"
	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/common/server"
	"peridotswitch.example/peridot-entry/accountant"
	"peridotswitch.example/peridot-entry/tracer"
)

// Config configures an Informer; every field without a default is required.
type Config struct {
	InstanceID string
	// Listener accepts operators' connections.
	Listener net.Listener
	// CheckReady returns nil if the entry can take calls, or else the reason why it can't.
	CheckReady func() error
	// Warning returns why the entry can't follow control although it can take calls, or nil if it can.
	Warning       func() error
	Metrics       http.Handler
	Configuration func() *parser.Configuration
	// Entries returns the entries that hold a membership lease.
	Entries func() []*delivererpb.EntryMember
	// RecentTraces returns up to n slow or failed calls of this entry, newest first, and FindTraces those with a request id.
	RecentTraces func(n int) []*tracer.Trace
	FindTraces   func(requestID string) []*tracer.Trace
	// Counts returns the counts of this entry's own calls, and CountedFor for how long it has been counting.
	Counts     func() []accountant.ServiceCounts
	CountedFor func() time.Duration
	Servers    func() []ServerStatus
	// Contained returns the requests that are refused because they crash backend servers. RegisterRoutes adds the HTTP routes of
	// other packages.
	Contained      func() any
	RegisterRoutes func(*http.ServeMux)
	// Admitter limits operators' and peers' connections; nil for the process's own limits.
	Admitter *admitter.Admitter
}

// Limits of operators' requests.
const (
	readTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second
	maxHeaderBytes = 16 << 10
	// maxBodyBytes holds the longest list of control members that one of them sends.
	maxBodyBytes = 1 << 20
	// idleTimeout is how long a connection to another entry is kept.
	idleTimeout = time.Minute
)

// Informer is the HTTP server of an entry for operators.
type Informer struct {
	cfg    Config
	srv    *server.Server
	client *http.Client
}

// New starts an Informer on cfg.Listener; Close stops it.
func New(cfg Config) *Informer {
	n := &Informer{cfg: cfg, client: bounder.NewClient(&http.Transport{IdleConnTimeout: idleTimeout}, peerTimeout)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peridot/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /peridot/ready", n.serveReady)
	mux.Handle("GET /metrics", cfg.Metrics)
	mux.HandleFunc("GET /peridot/slow", n.serveSlow)
	mux.HandleFunc("GET /peridot/explain/{id}", n.serveExplain)
	mux.HandleFunc("GET /peridot/burn", n.serveBurn)
	mux.HandleFunc("GET /peridot/servers", n.serveServers)
	cfg.RegisterRoutes(mux)
	n.srv = server.New(server.Config{
		Listener: cfg.Listener, Handler: mux, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes,
		MaxBodyBytes: maxBodyBytes, Admitter: cfg.Admitter, Port: admitter.Operators,
	})
	return n
}

// Close stops accepting connections and waits for requests in flight until ctx ends.
func (n *Informer) Close(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "stop informer") }()
	return n.srv.Close(ctx)
}

type errorReply struct {
	Error string `json:"error"`
}

type warningReply struct {
	Warning string `json:"warning"`
}

func (n *Informer) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := n.cfg.CheckReady(); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, errorReply{err.Error()})
		return
	}
	if err := n.cfg.Warning(); err != nil {
		writeJSON(w, http.StatusOK, warningReply{err.Error()})
		return
	}
	w.WriteHeader(http.StatusOK)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}
