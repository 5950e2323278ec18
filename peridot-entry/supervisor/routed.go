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

	"peridotswitch.example/common/admitter"
	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/accountant"
	"peridotswitch.example/peridot-entry/allocatorpb"
	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/follower"
	"peridotswitch.example/peridot-entry/informer"
	"peridotswitch.example/peridot-entry/limiter"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/quarantiner"
	"peridotswitch.example/peridot-entry/receiver"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/scout"
	"peridotswitch.example/peridot-entry/sender"
	"peridotswitch.example/peridot-entry/tracer"
)

// RoutedConfig configures an entry that gets its routes and backend servers from control.
type RoutedConfig struct {
	InstanceID       string
	AvailabilityZone string
	// Listen is the address for callers and OperatorListen that for operators, both as ip:port.
	Listen         string
	OperatorListen string
	// Control returns the current seed addresses of control members; these are their peer addresses.
	Control func() []string
	// LameDuck is how long a stopping entry goes on taking calls, because callers may still use a cached address list that
	// names it. For half that time after it, the entry refuses calls, so that the remaining callers go to another entry.
	LameDuck time.Duration
	// RetrySlack is how many extra attempts (retries and hedges) a service may get per window, from all entries together, in
	// addition to the allowed share of its calls.
	RetrySlack float64
	// ProbesPerServer is how many probes a second each backend server may get from all entries together; 0 for no limit.
	ProbesPerServer float64
	// AllowanceSlack is how many calls more than its rate limit an account may make per window, through all entries together.
	AllowanceSlack float64
	// EntryLease is how long after an entry's last request control lists it at least.
	EntryLease time.Duration
	Dialect    *receiver.Dialect
	// ParseHeaders parses a backend server's response headers, and SetHeaders sets the headers of a request to one.
	ParseHeaders func(status int, h http.Header) sender.HeaderInfo
	SetHeaders   func(h http.Header, m dispatcher.AttemptInfo)
	ParseRouting parser.RoutingParser
	// Admitter limits the connections of this process; nil for one with the process's own limits.
	Admitter *admitter.Admitter
	Log      zerolog.Logger
}

// Routed is a running entry that gets its routes and backend servers from control.
type Routed struct {
	cfg         RoutedConfig
	incarnation uint64
	startedAt   time.Time
	follower    *follower.Follower
	registrar   *registrar.Registrar
	sender      *sender.Sender
	scout       *scout.Scout
	quarantiner *quarantiner.Quarantiner
	// reported holds what the last watch request reported of requests that crash servers. Only the goroutine that watches uses it.
	reported []*quarantiner.CrashReport
	picker   *picker.Picker
	// allowances takes and grants tokens of account rate limits.
	allowances *allowances
	// evacuations is set once before the follower starts.
	evacuations evacuations
	receiver    *receiver.Receiver
	informer    *informer.Informer
	stats       *callStats
	log         *callLog
	stopping    atomic.Bool
	refusing    atomic.Bool
	stopTime    stopTime
	// endCalls ends the calls that have no response yet.
	endCalls func()
	// followerSet is closed once the fields follower and stats are set.
	followerSet chan struct{}
	// synchronised is set once control has sent the table of backend servers. initialized is closed once routes are known as well.
	synchronised   atomic.Bool
	initialized    chan struct{}
	initializeOnce sync.Once
}

// NewRouted starts an entry that gets its routes and backend servers from control.
func NewRouted(cfg RoutedConfig) (s *Routed, err error) {
	defer func() { err = errors.WithMessage(err, "start entry") }()
	cfg.Admitter = admitter.OrDefault(cfg.Admitter, cfg.Log)
	callers, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	operators, err := net.Listen("tcp", cfg.OperatorListen)
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	s = &Routed{cfg: cfg, incarnation: rand.Uint64(), startedAt: time.Now(), log: newCallLog(cfg.Log), initialized: make(chan struct{})}
	s.registrar = registrar.New(registrar.Config{})
	s.evacuations = evacuations{zones: s.evacuatedZones, find: s.registrar.Find}
	s.sender = s.newSender()
	s.picker = s.newPicker()
	s.followerSet = make(chan struct{})
	s.allowances = newAllowances(s)
	s.startQuarantiner()
	s.follow()
	if s.stats, err = newCallStats(cfg.Log, s.follower.Current, cfg.Admitter); err == nil {
		s.stats.meter.SetEvacuatedZones(0)
		s.stats.meter.SetWatchStuck(false)
	}
	close(s.followerSet)
	if err != nil {
		s.follower.Close()
		s.quarantiner.Close()
		_ = callers.Close()
		_ = operators.Close()
		return nil, err
	}
	s.scout = s.newScout()
	limits := limiter.New(limiter.Config{})
	d := dispatcher.New(dispatcher.Config{
		Acquire:         limits.Acquire,
		TryAcquire:      limits.TryAcquire,
		Probe:           s.scout.Probe,
		Pick:            s.picker.Pick,
		SlotWaits:       func(service string) int { return s.picker.Search(service).Waits },
		ScheduleReturns: func(service string) bool { return s.picker.Search(service).ScheduleReturns },
		Admit:           s.admit,
		Send:            s.quarantiner.Send,
		SetHeaders:      cfg.SetHeaders,
		BudgetBurst:     s.budgetBurst,
		StopAt:          s.stopTime.get,
		ReplaceLost:     true,
		OnLost:          s.newLostRecorder(),
	})
	s.endCalls = func() {
		s.receiver.EndBodies()
		d.Stop()
	}
	s.serve(callers, operators, d)
	cfg.Log.Info().Str("listen", cfg.Listen).Str("operator-listen", cfg.OperatorListen).Msg("entry started")
	return s, nil
}

func (s *Routed) newPicker() *picker.Picker {
	return picker.New(picker.Config{
		InstanceID:       s.cfg.InstanceID,
		AvailabilityZone: s.cfg.AvailabilityZone,
		Servers:          s.registrar.Servers,
		Policy:           picker.Expected,
		MaxInFlight:      s.connectionCap,
		EvacuatedZones:   s.evacuatedZones,
		Entries:          s.budgetEntries,
		Members:          s.servingIDs,
		OnFaulty:         s.recordFaulty,
		OnDraining:       s.recordDraining,
		OnPaused:         s.recordPaused,
		OnRateLimit:      s.recordRateLimit,
		WarmUpRate:       s.warmUpRate,
	})
}

func (s *Routed) newSender() *sender.Sender {
	return sender.New(sender.Config{
		MaxOpen:             s.cfg.Admitter.Limits().Outgoing(),
		ParseHeaders:        s.cfg.ParseHeaders,
		AllowCloseDelimited: true,
		NamesRequests:       true,
		MarkerPath:          s.healthPath,
		MayMark:             s.mayMark,
		OnStray:             recordStrays(s.cfg.Log, func() *accountant.Meter { return s.stats.meter }),
	})
}

// healthPath returns the path at which a service's servers report their load; empty when there is none.
func (s *Routed) healthPath(service string) string {
	cfg := s.follower.Current()
	if cfg == nil || cfg.Routing == nil || cfg.Routing.Service(service) == nil {
		return ""
	}
	return cfg.Routing.Service(service).HealthPath
}

// warmUpRate returns how many calls per second a cold server of a service takes from all entries; 0 for any number.
func (s *Routed) warmUpRate(service string) float64 {
	<-s.followerSet
	cfg := s.follower.Current()
	if cfg == nil || cfg.Routing == nil || cfg.Routing.Service(service) == nil {
		return 0
	}
	return cfg.Routing.Service(service).WarmUpRate
}

// mayMark reports whether a marker may be sent to a server, and counts it as a probe if so.
func (s *Routed) mayMark(k registrar.Key) bool {
	ok := !s.evacuations.has(k) && s.scout.TakeProbe(k.Service)
	s.stats.meter.RecordMarker(k.Service, ok)
	return ok
}

func (s *Routed) newScout() *scout.Scout {
	return scout.New(scout.Config{
		Candidates:    s.picker.Candidates,
		HealthPath:    s.healthPath,
		Send:          s.evacuations.guard(s.sender.Do),
		Observe:       s.picker.ObserveProbe,
		OnRateLimit:   s.picker.ObserveRateLimit,
		OnDraining:    s.picker.MarkDraining,
		OnPause:       s.picker.Pause,
		Budget:        s.probeBudget,
		ExtraPerCall:  func(service string) float64 { return s.picker.Search(service).ExtraProbes },
		HasSuitable:   s.picker.HasSuitable,
		OnUnreachable: s.picker.MarkUnreachable,
		OnWarmUp:      s.picker.ObserveWarmUp,
		OnReachable:   s.picker.MarkReachable,
		OnUnanswered:  s.picker.MarkUnanswered,
		OnProbe:       s.stats.meter.RecordProbe,
	})
}

func (s *Routed) follow() {
	s.follower = follower.New(follower.Config{
		InstanceID:       s.cfg.InstanceID,
		AvailabilityZone: s.cfg.AvailabilityZone,
		Control:          s.cfg.Control(),
		Seeds:            s.cfg.Control,
		NewWatchRequest:  s.watchRequest,
		NewReport:        s.report,
		OnError:          logWatchErrors(s.cfg.Log),
		OnWatchFailure:   s.recordWatchFailure,
		OnStuck:          func(err error) { recordStuck(s.cfg.Log, s.stats.meter, err) },
		OnRejected:       func() { s.dropReports(s.reported) },
		OnServers:        s.applyServers,
		OnServerReports:  s.observeReports,
		OnContained:      s.setContained,
		OnEvacuated:      s.recordEvacuated,
		OnAnswered:       func() { s.quarantiner.Acknowledge(s.reported) },
		OnConfirmed:      s.allowances.confirm,
		OnEntries:        s.allowances.setEntries,
		OnRevision:       s.onRevision,
		ParseRouting:     s.cfg.ParseRouting,
		ServeUnconfirmed: true,
	})
}

func (s *Routed) serve(callers, operators net.Listener, d *dispatcher.Dispatcher) {
	s.receiver = receiver.New(receiver.Config{
		Listener:      callers,
		Configuration: s.follower.Current,
		CanServe:      s.follower.CanServe,
		Confirmed:     s.follower.IsConfirmed,
		Entries:       s.Members,
		IsStopping:    s.stopping.Load,
		IsRefusing:    s.refusing.Load,
		Zone:          s.cfg.AvailabilityZone,
		TakeToken:     s.allowances.take,
		Do:            d.Do,
		OnFinish:      s.recordCall,
		Dialect:       s.cfg.Dialect,
		Initialized:   s.initialized,
		Admitter:      s.cfg.Admitter,
	})
	s.informer = informer.New(informer.Config{
		InstanceID:    s.cfg.InstanceID,
		Listener:      operators,
		CheckReady:    s.Ready,
		Warning:       s.follower.Stuck,
		Metrics:       s.stats.metrics.Handler(),
		Configuration: s.follower.Current,
		Entries:       s.follower.Entries,
		RecentTraces:  s.stats.traces.Recent,
		FindTraces:    s.stats.traces.Find,
		Counts:        s.stats.accountant.Counts,
		CountedFor:    s.stats.accountant.CountedFor,
		Servers:       func() []informer.ServerStatus { return nil },
		Contained:     func() any { return s.quarantiner.List() },
		Admitter:      s.cfg.Admitter,
		RegisterRoutes: func(mux *http.ServeMux) {
			mux.Handle(delivererpb.GreeterPathPrefix, delivererpb.NewGreeterServer(greeted{s.follower}))
			mux.Handle(allocatorpb.AllowancePathPrefix, allocatorpb.NewAllowanceServer(s.allowances))
		},
	})
}

// greeted implements delivererpb.Greeter.
type greeted struct{ follower *follower.Follower }

// Greet implements delivererpb.Greeter.
func (g greeted) Greet(_ context.Context, req *delivererpb.GreetRequest) (*delivererpb.GreetReply, error) {
	g.follower.Learn(req.Control)
	return &delivererpb.GreetReply{}, nil
}

// Close stops the entry. The entry is removed from the address lists given to callers, goes on taking calls for LameDuck, refuses
// them for half as long, and then waits for calls in flight until ctx ends.
func (s *Routed) Close(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "stop entry") }()
	s.stopTime.set(ctx, s.endCalls)
	s.stopping.Store(true)
	s.follower.ReportNow()
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
	for _, stop := range []func() error{func() error { return s.informer.Close(ctx) }, s.stats.close} {
		if stopErr := stop(); err == nil {
			err = stopErr
		}
	}
	s.sender.Close()
	s.allowances.close()
	s.follower.Close()
	s.quarantiner.Close()
	s.cfg.Log.Info().Err(err).Msg("entry stopped")
	return err
}

// Ready returns nil if the entry can take calls, or else the reason why it can't.
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

// Warning returns why the entry can't follow control although it can take calls, or nil if it can.
func (s *Routed) Warning() error { return s.follower.Stuck() }

// Members lists the entries that callers may use, according to control. This entry leaves itself out as soon as it is stopping,
// before control knows.
func (s *Routed) Members() []*delivererpb.EntryMember {
	return slices.DeleteFunc(slices.Clone(s.follower.Entries()), func(m *delivererpb.EntryMember) bool {
		return !m.Synchronised || m.Stopping || m.InstanceId == s.cfg.InstanceID && s.stopping.Load()
	})
}

func (s *Routed) recordFaulty(e picker.FaultyServer) {
	s.stats.meter.RecordFaulty(e.Key.Service)
	s.cfg.Log.Info().Str("server", e.Key.InstanceID).Str("service", e.Key.Service).Float64("faults", e.Faults).Float64("calls", e.Calls).
		Dur("for-ms", e.For).Msg("backend server faulty")
}

func (s *Routed) recordDraining(k registrar.Key) {
	s.cfg.Log.Info().Str("server", k.InstanceID).Str("service", k.Service).Msg("backend server says that it drains")
}

func (s *Routed) recordPaused(k registrar.Key, d time.Duration) {
	s.cfg.Log.Info().Str("server", k.InstanceID).Str("service", k.Service).Dur("for-ms", d).Msg("backend server asks for a pause")
}

// recordRateLimit logs that a server's limit has changed, and has it reported at once if this entry learned it from the server.
func (s *Routed) recordRateLimit(c picker.RateLimitChange) {
	event := s.cfg.Log.Info().Str("server", c.Key.InstanceID).Str("service", c.Key.Service)
	if c.Limit.Named {
		<-s.followerSet
		s.stats.meter.RecordLimited(c.Key.Service)
		event = event.Float64("per-second", c.Limit.PerSecond)
	}
	event.Bool("limited", c.Limit.Named).Bool("reported", c.Reported).Msg("backend server limits requests")
	if !c.Reported {
		<-s.followerSet
		s.follower.ReportNow()
	}
}

// servingIDs returns the instance ids of the entries that send calls, or none until control has listed them all.
func (s *Routed) servingIDs() []string {
	if time.Since(s.startedAt) < memberListDelay {
		return nil
	}
	return s.follower.ServingIDs()
}

// applyServers applies a change to control's table of backend servers, or the full table if full is set.
func (s *Routed) applyServers(changed []*delivererpb.BackendServer, full bool) {
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
			Uint64("sequence", b.Sequence).Int64("started", b.StartedMs).Bool("whole", full).Msg("backend server changed")
	}
	s.registrar.ApplyControlChanges(servers, full)
	s.synchronised.Store(true)
	s.closeInitialized()
}

// closeInitialized closes initialized once routes and backend servers are known, so that waiting calls proceed.
func (s *Routed) closeInitialized() {
	cfg := s.follower.Current()
	if s.synchronised.Load() && cfg != nil && cfg.Routing != nil {
		s.initializeOnce.Do(func() { close(s.initialized) })
	}
}

// evacuatedZones returns the availability zones to whose servers nothing may be sent.
func (s *Routed) evacuatedZones() []string { return s.follower.EvacuatedZones() }

// recordEvacuated records a change of the list of evacuated zones.
func (s *Routed) recordEvacuated(zones []string) {
	<-s.followerSet
	s.stats.meter.SetEvacuatedZones(len(zones))
	logEvacuated(s.cfg.Log, zones)
}

func (s *Routed) onRevision(cfg *parser.Configuration) {
	event := s.cfg.Log.Info().Uint64("revision", cfg.Revision)
	if cfg.Routing != nil {
		event = event.Uint64("number", cfg.Routing.Number).Int("routes", len(cfg.Routing.Routes))
	}
	event.Msg("configuration in force")
	s.allowances.setRouting(cfg.Routing)
	s.closeInitialized()
}

// defaultConnections is how many connections a backend server is assumed to accept if the routing doesn't state a number.
const defaultConnections = 100

func (s *Routed) connections(service string) int {
	if cfg := s.follower.Current(); cfg != nil && cfg.Routing != nil {
		if rs := cfg.Routing.Service(service); rs != nil && rs.Connections > 0 {
			return rs.Connections
		}
	}
	return defaultConnections
}

// connectionCap returns this entry's share of a backend server's connections.
func (s *Routed) connectionCap(connections int) int {
	return limiter.ConnectionCap(connections, len(s.follower.Entries()))
}

// probeBudget returns how many probes a second this entry may send to a service's backend servers.
func (s *Routed) probeBudget(service string) float64 {
	return s.cfg.ProbesPerServer * float64(len(s.evacuations.without(s.registrar.Servers(service)))) / float64(s.budgetEntries())
}

const (
	// assumedEntries is the smallest number of entries assumed to share a budget until control has listed them all. Deployments
	// start with this many.
	assumedEntries = 16
	// memberListDelay is the time until control lists every entry: an election, a watch, and a lease renewal by each entry.
	memberListDelay = 2 * time.Second
)

// budgetEntries returns the number of entries that share a budget, including this one.
func (s *Routed) budgetEntries() int {
	n := len(s.follower.Entries())
	if n == 0 || time.Since(s.startedAt) < memberListDelay {
		return max(n, assumedEntries)
	}
	return n
}

// budgetBurst returns this entry's share of RetrySlack, but at least one attempt.
func (s *Routed) budgetBurst() float64 {
	return max(s.cfg.RetrySlack/float64(s.budgetEntries()), 1)
}

// recordCall records a finished call in the statistics and the log.
func (s *Routed) recordCall(t *tracer.Trace) {
	s.log.write(t, s.stats.record(t))
}
