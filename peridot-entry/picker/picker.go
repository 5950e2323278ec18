package picker

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// ErrNoServer is returned when no backend server of the service may take the call.
var ErrNoServer = errors.New("no backend server may take the call")

// ErrFull is returned when every backend server that may take the call already holds too many calls.
var ErrFull = errors.New("every backend server is full")

// ErrOnlyFaulty is the ErrFull of a request that excludes faulty servers, some of which might have room.
var ErrOnlyFaulty = errors.WithMessage(ErrFull, "only faulty servers may have room")

// ErrRateLimited is returned when all servers that might take the call limit requests and have had as many as they take.
var ErrRateLimited = errors.New("every backend server has had as many calls as it takes")

// ErrEvacuated is returned when servers might take the call, but are all in evacuated availability zones.
var ErrEvacuated = errors.New("every backend server is in an evacuated availability zone")

// Request describes an attempt that needs a backend server.
type Request struct {
	Service string
	// Exclude lists the backend servers that earlier attempts of the call went to.
	Exclude []registrar.Key
	// Deferrable limits the call to backend servers with at least reservedSlots free slots.
	Deferrable bool
	// NoTrial excludes ejected backend servers that are due for a trial call, while others may take the call; at-most-once calls set it.
	NoTrial bool
	// Candidates lists the backend servers to choose from under Expected, besides those due for a trial call; empty for all of the service.
	Candidates []registrar.Key
	// Rank is the urgency of the call, 0 the highest. Under Expected it decides how many calls a server may hold for this one to join.
	Rank int
	// Late is true for a call that can hardly meet its objective any more. Under Expected it may join only servers at low utilization,
	// which leaves room on the others for calls that can still meet theirs.
	Late bool
	// FastOnly excludes, under Expected, servers that are slowed down, as by noisy neighbours on their machine. Calls that can wait and
	// pick again set it.
	FastOnly bool
	// PreferZone excludes, under Expected, servers in other availability zones while one in this zone has room and would meet the objective.
	// Calls with large responses set it.
	PreferZone bool
	// Slack is how much longer the call may wait and still meet its objective, with the usual service time set aside.
	Slack time.Duration
	// AllowFaulty includes the servers at which entries have recently seen faults, under Expected.
	AllowFaulty bool
	// forProbes is true while servers to probe are chosen, whose loads are not known yet.
	forProbes bool
	// allowSilent includes servers that have not responded to a call, to probe them.
	allowSilent bool
}

// Result is the outcome of an attempt.
type Result struct {
	// Err is the attempt's error, nil when a response was received.
	Err error
	// Status is the response's HTTP status.
	Status int
	// Canceled is true when this entry gave up the attempt, such as the slower one of a hedged pair.
	Canceled bool
	Shed     bool
	// Closing is true for a refusal with which the server closed the connection.
	Closing bool
	// Silent is true when the attempt was given up before any byte of a response.
	Silent bool
	// Unreachable is true when nothing listens at the server's address, or another server does.
	Unreachable bool
	Load        *sender.Load
	RateLimit   sender.RateLimit
	// Latency is the time from the attempt's start to its response or failure.
	Latency time.Duration
}

// Policy is a load-balancing policy.
type Policy string

// The values of Policy; all but Corrected and Expected are baselines to measure against.
const (
	Random        Policy = "random"
	RoundRobin    Policy = "round-robin"
	LeastInFlight Policy = "least-in-flight"
	// TwoChoices picks the backend server with the lower reported load of two random ones.
	TwoChoices Policy = "two-choices"
	// Corrected picks the backend server with the least cost by load, latency, failure rate and warm-up. The load is the last reported
	// one, corrected by this entry's own calls in flight and by the age of the report.
	Corrected Policy = "corrected"
	// Expected picks, of a few random backend servers, the one with the least expected time by the load and slowdown that they report.
	Expected Policy = "expected"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{Random, RoundRobin, LeastInFlight, TwoChoices, Corrected, Expected}
}

// Config configures a Picker.
type Config struct {
	// InstanceID is this entry's own instance id.
	InstanceID       string
	AvailabilityZone string
	// Servers returns the live backend servers of a service.
	Servers func(service string) []registrar.Server
	// EvacuatedZones returns the evacuated availability zones, whose servers get nothing, in a list that is replaced when it changes; nil for
	// none.
	EvacuatedZones func() []string
	// MaxInFlight returns how many calls this entry may have in flight at a backend server that accepts the given number of
	// connections; nil for one call per connection.
	MaxInFlight func(connections int) int
	// Entries returns how many entries share the servers, this one included; nil for 1.
	Entries func() int
	// Members returns the instance ids of the entries that share the servers, in a list that is replaced when it changes; empty while they
	// are not known. nil for this entry alone.
	Members func() []string
	// OnFaulty is called when one of the servers that this entry sends calls to becomes faulty; it must not block; nil for no call.
	OnFaulty func(FaultyServer)
	// OnDraining is called when a server has first said in a response that it drains; it must not block; nil for no call.
	OnDraining func(registrar.Key)
	// OnPaused is called when a server that had not asked for a pause asks for one; it must not block; nil for no call.
	OnPaused func(k registrar.Key, d time.Duration)
	// OnRateLimit is called when this entry learns that a server has begun to limit requests, limits them differently or no longer does; it
	// must not block; nil for no call.
	OnRateLimit func(RateLimitChange)
	// WarmUpRate returns how many calls per second a cold server of a service takes from all entries, 0 for any number; nil for any number.
	// It is kept under Expected.
	WarmUpRate func(service string) float64
	// Policy defaults to Corrected.
	Policy Policy
	Now    func() time.Time
	// Random is the source of random choices, which calls use concurrently; nil for that of math/rand.
	Random rand.Source
}

// Picker chooses backend servers.
type Picker struct {
	cfg       Config
	startedAt time.Time
	mu        sync.RWMutex
	services  map[string]*group
}

// New returns a Picker.
func New(cfg Config) *Picker {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Policy == "" {
		cfg.Policy = Corrected
	}
	if cfg.MaxInFlight == nil {
		cfg.MaxInFlight = func(connections int) int { return connections }
	}
	if cfg.Members == nil {
		alone := []string{cfg.InstanceID}
		cfg.Members = func() []string { return alone }
	}
	if cfg.WarmUpRate == nil || cfg.Policy != Expected {
		cfg.WarmUpRate = func(string) float64 { return 0 }
	}
	if cfg.Entries == nil {
		cfg.Entries = func() int { return 1 }
	}
	return &Picker{cfg: cfg, startedAt: cfg.Now(), services: make(map[string]*group)}
}

// Pick chooses a backend server for an attempt. It returns ErrNoServer, ErrEvacuated, ErrFull, ErrRateLimited or a *PausedError when
// there is none.
func (p *Picker) Pick(r Request) (*Choice, error) {
	servers := p.cfg.Servers(r.Service)
	if len(servers) == 0 {
		return nil, ErrNoServer
	}
	g := p.group(r.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := p.cfg.Now()
	g.update(servers, p.cfg, now)
	g.warmUpRate = p.cfg.WarmUpRate(r.Service)
	s, err := g.pick(&r, now)
	if errors.Is(err, ErrFull) && !r.AllowFaulty && g.faultyCount > 0 {
		err = ErrOnlyFaulty
	}
	if err != nil {
		return nil, err
	}
	c := &Choice{Server: s.announced, group: g, server: s, begin: now, slowdown: g.expectedSlowdown(s, now), certain: g.hasCertainRoom(s, now), now: p.cfg.Now}
	s.add(c)
	if s.rateLimit.isLimited(now) {
		s.rateLimit.tokens--
	}
	g.usePermit(s, now)
	g.calls.add(1, now)
	return c, nil
}

// Candidates returns up to n random servers that may take the call, and as stale those of them whose last load report is older than
// maxAge. A server that limits requests is not probed for its load. Unreachable servers whose ejection time has passed are added to stale,
// so that they are probed again.
func (p *Picker) Candidates(r Request, n int, maxAge time.Duration) (stale []registrar.Server, all []registrar.Key) {
	servers := p.cfg.Servers(r.Service)
	if len(servers) == 0 {
		return nil, nil
	}
	g := p.group(r.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := p.cfg.Now()
	g.update(servers, p.cfg, now)
	g.warmUpRate = p.cfg.WarmUpRate(r.Service)
	g.updateMeans(now)
	r.forProbes = true
	if g.collectEligible(&r, now); len(g.eligible) < minChoice {
		// Nothing but a probe ends the silence of all servers early.
		r.allowSilent = true
		g.collectEligible(&r, now)
	}
	for _, s := range g.sample(n) {
		all = append(all, s.announced.Key())
		if now.Sub(s.reportedAt) > maxAge && !s.rateLimit.isLimited(now) {
			stale = append(stale, s.announced)
		}
	}
	for _, s := range g.servers {
		if s.unreachable && !now.Before(s.ejectedUntil) && s.isProbeable(now) && !s.isPaused(now) {
			s.eject(now)
			stale = append(stale, s.announced)
		}
	}
	return stale, all
}

// HasSuitable reports whether one of the candidates has room for the call and is not slowed down.
func (p *Picker) HasSuitable(r Request, candidates []registrar.Key) bool {
	g := p.group(r.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := p.cfg.Now()
	for _, s := range g.servers {
		if contains(candidates, s) && mayTake(s, &r, now) && s.hasRoomFor(g.load(s, now), g.suitableLimit(&r, s)) && !g.isSlow(&r, s, now) {
			return true
		}
	}
	return false
}

// Observe records a load report that another entry has relayed, which names no incarnation.
func (p *Picker) Observe(k registrar.Key, load sender.Load) {
	g := p.group(k.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.announced() {
		if s.announced.InstanceID == k.InstanceID {
			g.observe(s, load, p.cfg.Now())
		}
	}
}

// MarkUnreachable ejects a server that a probe could not reach, which counts as a fault.
func (p *Picker) MarkUnreachable(probed *registrar.Server) {
	p.recordProbeFault(probed, func(_ *group, s *server, now time.Time) bool {
		if !s.unreachable {
			s.unreachable = true
			s.eject(now)
		}
		return true
	})
}

// MarkUnanswered counts a probe that a server did not answer as a fault, unless the server may be full.
func (p *Picker) MarkUnanswered(probed *registrar.Server) {
	p.recordProbeFault(probed, func(g *group, s *server, now time.Time) bool { return !g.mayBeFull(s, now) })
}

// recordProbeFault counts a fault of a server if isFault returns true.
func (p *Picker) recordProbeFault(probed *registrar.Server, isFault func(g *group, s *server, now time.Time) bool) {
	p.updateProbed(probed, func(g *group, s *server, now time.Time) {
		if isFault(g, s, now) {
			s.unreported++
			g.addFaults(s, 1, now)
		}
	})
}

func (p *Picker) group(service string) *group {
	p.mu.RLock()
	g := p.services[service]
	p.mu.RUnlock()
	if g != nil {
		return g
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if g = p.services[service]; g == nil {
		g = newGroup(p.cfg, p.startedAt)
		p.services[service] = g
	}
	return g
}

// Choice is the backend server picked for one attempt. Done must be called once, when the attempt has ended.
type Choice struct {
	Server registrar.Server
	group  *group
	server *server
	begin  time.Time
	// slowdown is how many times longer than usual the attempt was expected to take when the server was picked.
	slowdown float64
	// certain is true when the server certainly had a free slot then, so that a missing response is a fault of it.
	certain bool
	// counted is set once the attempt has counted as a fault of the server.
	counted bool
	// lost is set once a load report of the server doesn't count the attempt any more.
	lost bool
	// ended is set once the attempt has ended.
	ended bool
	now   func() time.Time
	// trial is true for an attempt at an ejected server.
	trial bool
	// prev and next link the calls in flight at the server.
	prev, next *Choice
}

// Done ends the attempt and records its result.
func (c *Choice) Done(r Result) {
	if c.group == nil {
		return
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.server.remove(c)
	c.group.recordResult(c, &r, c.now())
}
