package supervisor

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/follower"
	"peridotswitch.example/peridot-entry/informer"
	"peridotswitch.example/peridot-entry/limiter"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/receiver"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/scout"
	"peridotswitch.example/peridot-entry/sender"
	"peridotswitch.example/peridot-entry/tracer"
)

// RoutedConfig is the settings of an entry whose routes and backend servers come from control.
type RoutedConfig struct {
	InstanceID       string
	AvailabilityZone string
	// Listen takes callers, OperatorListen operators; both ip:port.
	Listen         string
	OperatorListen string
	// Control lists peer addresses of control members to begin with, as they are at the moment of the call.
	Control func() []string
	// LameDuck is how long a stopping entry goes on taking calls, for callers who keep an older address answer; for half as
	// long again it refuses them, so that those still come to another entry.
	LameDuck time.Duration
	// RetrySlack is how many extra calls a service bears in a window besides a share of its calls, over all entries.
	RetrySlack float64
	// ProbesPerServer is how often a second each backend server may be asked for its load, by all entries together; 0 for no bound.
	ProbesPerServer float64
	Dialect         *receiver.Dialect
	// Read and Mark are the dialect towards backend servers.
	Read         func(status int, h http.Header) sender.HeaderInfo
	Mark         func(h http.Header, m dispatcher.AttemptInfo)
	ParseRouting parser.RoutingParser
	Log          zerolog.Logger
}

// Routed is a running entry whose routes and backend servers come from control.
type Routed struct {
	cfg         RoutedConfig
	incarnation uint64
	started     time.Time
	follower    *follower.Follower
	registrar   *registrar.Registrar
	sender      *sender.Sender
	picker      *picker.Picker
	receiver    *receiver.Receiver
	informer    *informer.Informer
	books       *books
	log         *callLog
	stopping    atomic.Bool
	refusing    atomic.Bool
	// wired is closed once follower is set.
	wired chan struct{}
	// synchronised is set once control has said which backend servers there are; prepared is closed once routes are known, too.
	synchronised atomic.Bool
	prepared     chan struct{}
	prepareOnce  sync.Once
}

// NewRouted starts an entry whose routes and backend servers come from control.
func NewRouted(cfg RoutedConfig) (s *Routed, err error) {
	defer func() { err = errors.WithMessage(err, "start entry") }()
	callers, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	operators, err := net.Listen("tcp", cfg.OperatorListen)
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	s = &Routed{cfg: cfg, incarnation: rand.Uint64(), started: time.Now(), log: newCallLog(cfg.Log), prepared: make(chan struct{})}
	s.registrar = registrar.New(registrar.Config{})
	s.sender = sender.New(sender.Config{ParseHeaders: cfg.Read, AllowCloseDelimited: true})
	s.picker = picker.New(picker.Config{
		InstanceID:       cfg.InstanceID,
		AvailabilityZone: cfg.AvailabilityZone,
		Servers:          s.registrar.Servers,
		Policy:           picker.Expected,
		MaxInFlight:      s.connectionCap,
	})
	s.wired = make(chan struct{})
	s.follow()
	close(s.wired)
	if s.books, err = newBooks(cfg.Log, s.follower.Current); err != nil {
		s.follower.Close()
		_ = callers.Close()
		_ = operators.Close()
		return nil, err
	}
	limits := limiter.New(limiter.Config{})
	d := dispatcher.New(dispatcher.Config{
		Acquire:     limits.Acquire,
		TryAcquire:  limits.TryAcquire,
		Probe:       s.newScout().Probe,
		Pick:        s.picker.Pick,
		Send:        s.sender.Do,
		SetHeaders:  cfg.Mark,
		BudgetBurst: s.savedExtras,
	})
	s.serve(callers, operators, d)
	cfg.Log.Info().Str("listen", cfg.Listen).Str("operator-listen", cfg.OperatorListen).Msg("entry started")
	return s, nil
}

func (s *Routed) newScout() *scout.Scout {
	return scout.New(scout.Config{
		Candidates: s.picker.Candidates,
		HealthPath: func(service string) string {
			cfg := s.follower.Current()
			if cfg == nil || cfg.Routing == nil || cfg.Routing.Service(service) == nil {
				return ""
			}
			return cfg.Routing.Service(service).HealthPath
		},
		Send:          s.sender.Do,
		Observe:       s.picker.Observe,
		Budget:        s.probeBudget,
		HasSuitable:   s.picker.HasSuitable,
		OnUnreachable: s.picker.MarkUnreachable,
		OnProbe:       s.books.meter.RecordProbe,
	})
}

func (s *Routed) follow() {
	s.follower = follower.New(follower.Config{
		InstanceID:       s.cfg.InstanceID,
		Control:          s.cfg.Control(),
		Seeds:            s.cfg.Control,
		Self:             s.self,
		OnError:          func(err error) { s.cfg.Log.Warn().Err(err).Msg("control not reached") },
		OnServers:        s.takeServers,
		OnRevision:       s.noteRevision,
		ParseRouting:     s.cfg.ParseRouting,
		ServeUnconfirmed: true,
	})
}

func (s *Routed) serve(callers, operators net.Listener, d *dispatcher.Dispatcher) {
	s.receiver = receiver.New(receiver.Config{
		Listener:               callers,
		Configuration:          s.follower.Current,
		IsConfigurationCurrent: s.follower.Serving,
		Entries:                s.Members,
		IsStopping:             s.stopping.Load,
		IsRefusing:             s.refusing.Load,
		Zone:                   s.cfg.AvailabilityZone,
		Do:                     d.Do,
		OnFinish:               s.finished,
		Dialect:                s.cfg.Dialect,
		Initialized:            s.prepared,
	})
	s.informer = informer.New(informer.Config{
		InstanceID:    s.cfg.InstanceID,
		Listener:      operators,
		Ready:         s.Ready,
		Metrics:       s.books.metrics.Handler(),
		Configuration: s.follower.Current,
		Entries:       s.follower.Entries,
		Slow:          s.books.slow.Recent,
		Find:          s.books.slow.Find,
		Counts:        s.books.accountant.Counts,
		Counted:       s.books.accountant.CountedFor,
		Servers:       func() []informer.ServerStatus { return nil },
		Contained:     func() any { return nil },
		Mount:         func(*http.ServeMux) {},
	})
}

// Close stops the entry: it leaves address answers, goes on taking calls for LameDuck, and then waits for those in flight until
// ctx ends.
func (s *Routed) Close(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "stop entry") }()
	s.stopping.Store(true)
	s.follower.Tell()
	s.cfg.Log.Info().Dur("lame-duck-ms", s.cfg.LameDuck).Msg("entry stopping")
	select {
	case <-ctx.Done():
	case <-time.After(s.cfg.LameDuck):
	}
	s.refusing.Store(true)
	s.cfg.Log.Info().Msg("entry takes no more calls")
	select {
	case <-ctx.Done():
	case <-time.After(s.cfg.LameDuck / 2):
	}
	err = s.receiver.Close(ctx)
	for _, stop := range []func() error{func() error { return s.informer.Close(ctx) }, s.books.close} {
		if stopErr := stop(); err == nil {
			err = stopErr
		}
	}
	s.sender.Close()
	s.follower.Close()
	s.cfg.Log.Info().Err(err).Msg("entry stopped")
	return err
}

// Ready says why the entry can't take calls, or nil.
func (s *Routed) Ready() error {
	switch cfg := s.follower.Current(); {
	case s.stopping.Load():
		return errors.New("stopping")
	case cfg == nil || cfg.Routing == nil:
		return errors.New("no configuration yet")
	case !s.synchronised.Load():
		return errors.New("backend servers not known yet")
	}
	return nil
}

// Members lists the entries that callers may use, as control knows them; this one knows first when it is stopping.
func (s *Routed) Members() []*delivererpb.EntryMember {
	return slices.DeleteFunc(slices.Clone(s.follower.Entries()), func(m *delivererpb.EntryMember) bool {
		return !m.Synchronised || m.Stopping || m.InstanceId == s.cfg.InstanceID && s.stopping.Load()
	})
}

func (s *Routed) self() *delivererpb.WatchRequest {
	<-s.wired
	return &delivererpb.WatchRequest{
		InstanceId:       s.cfg.InstanceID,
		Address:          s.cfg.Listen,
		PeerAddress:      s.cfg.OperatorListen,
		AvailabilityZone: s.cfg.AvailabilityZone,
		Incarnation:      s.incarnation,
		Synchronised:     s.synchronised.Load() && s.follower.Serving(),
		Stopping:         s.stopping.Load(),
	}
}

// takeServers follows control's table of backend servers.
func (s *Routed) takeServers(changed []*delivererpb.BackendServer, whole bool) {
	servers := make([]registrar.Server, 0, len(changed))
	for _, b := range changed {
		state := registrar.State(b.State)
		if state != registrar.Ready && state != registrar.Draining {
			state = registrar.Left
		}
		servers = append(servers, registrar.Server{
			Service:          b.Service,
			InstanceID:       b.InstanceId,
			Incarnation:      uint64(b.StartedMs),
			Sequence:         b.Sequence,
			Address:          b.Address,
			AvailabilityZone: b.AvailabilityZone,
			Slots:            int(b.Slots),
			Connections:      s.connections(b.Service),
			State:            state,
			WarmUp:           time.Duration(b.WarmUpMs) * time.Millisecond,
		})
		s.cfg.Log.Info().Str("server", b.InstanceId).Str("service", b.Service).Str("address", b.Address).Str("state", b.State).
			Uint64("sequence", b.Sequence).Int64("started", b.StartedMs).Bool("whole", whole).Msg("backend server changed")
	}
	s.registrar.ApplyControlChanges(servers, whole)
	s.synchronised.Store(true)
	s.notePrepared()
}

// notePrepared lets calls in once routes and backend servers are known.
func (s *Routed) notePrepared() {
	cfg := s.follower.Current()
	if s.synchronised.Load() && cfg != nil && cfg.Routing != nil {
		s.prepareOnce.Do(func() { close(s.prepared) })
	}
}

func (s *Routed) noteRevision(cfg *parser.Configuration) {
	event := s.cfg.Log.Info().Uint64("revision", cfg.Revision)
	if cfg.Routing != nil {
		event = event.Uint64("number", cfg.Routing.Number).Int("routes", len(cfg.Routing.Routes))
	}
	event.Msg("configuration in force")
	s.notePrepared()
}

// defaultConnections is how many connections a backend server is taken to accept where routing doesn't say.
const defaultConnections = 100

func (s *Routed) connections(service string) int {
	if cfg := s.follower.Current(); cfg != nil && cfg.Routing != nil {
		if rs := cfg.Routing.Service(service); rs != nil && rs.Connections > 0 {
			return rs.Connections
		}
	}
	return defaultConnections
}

// connectionCap is this entry's share of a backend server's connections.
func (s *Routed) connectionCap(connections int) int {
	return limiter.ConnectionCap(connections, len(s.follower.Entries()))
}

// probeBudget is this entry's share of the questions that a service's servers answer a second.
func (s *Routed) probeBudget(service string) float64 {
	return s.cfg.ProbesPerServer * float64(len(s.registrar.Servers(service))) / float64(s.sharers())
}

const (
	// assumedEntries is how many entries share a budget at least before control has listed them all: as many as deployments begin with.
	assumedEntries = 16
	// listingTime is how long that takes: an election, a watch and a renewal of each.
	listingTime = 2 * time.Second
)

// sharers is how many entries share a budget, this one included.
func (s *Routed) sharers() int {
	n := max(len(s.follower.Entries()), 1)
	if time.Since(s.started) < listingTime {
		return max(n, assumedEntries)
	}
	return n
}

// savedExtras is this entry's share of the extra calls that a service bears besides a share of its calls.
func (s *Routed) savedExtras() float64 {
	return max(s.cfg.RetrySlack/float64(s.sharers()), 1)
}

// finished counts an ended call, keeps its trace when it missed its objective, and logs it.
func (s *Routed) finished(t *tracer.Trace) {
	s.log.write(t, s.books.finished(t))
}
