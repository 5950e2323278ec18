package picker

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// ErrNoServer says that no backend server of the service may take the call.
var ErrNoServer = errors.New("no backend server may take the call")

// ErrFull says that every backend server holds as many calls as this one may join.
var ErrFull = errors.New("every backend server is full")

// Request asks for a backend server.
type Request struct {
	Service string
	// Exclude names the backend servers that the call has tried already.
	Exclude []registrar.Key
	// Deferrable keeps the call off backend servers without slots to spare.
	Deferrable bool
	// Certain keeps the call off ejected backend servers, which need trial calls; at-most-once calls set it.
	Certain bool
	// Among names the backend servers to choose from where any of them may take the call.
	Among []registrar.Key
	// Rank is the urgency of the call, 0 the highest; under Expected it decides how full a server the call may join.
	Rank int
	// Late keeps the call off servers that are nearly full, so that calls which can still meet their objective find room there.
	Late bool
	// FastOnly keeps the call off servers that are slowed by neighbours; calls that may look again set it.
	FastOnly bool
}

// Result is how an attempt went.
type Result struct {
	// Err is the attempt's error, nil when an answer came.
	Err error
	// Status is the answer's HTTP status.
	Status int
	// Canceled is true when this side gave up, as for the loser of a hedge.
	Canceled bool
	Shed     bool
	Draining bool
	// Gone is true when nothing listens at the address, or another server does.
	Gone bool
	Load *sender.Load
	Took time.Duration
}

// Policy is a way of choosing a backend server.
type Policy string

// The values of Policy; all but Corrected are baselines to measure against.
const (
	Random        Policy = "random"
	RoundRobin    Policy = "round-robin"
	LeastInFlight Policy = "least-in-flight"
	// TwoChoices takes the lesser reported load of two random backend servers.
	TwoChoices Policy = "two-choices"
	// Corrected is the least expected time by corrected load, slowness, failures and warmth.
	Corrected Policy = "corrected"
	// Expected is the least expected time of a few random backend servers, by the load and pace that they report.
	Expected Policy = "expected"
)

// Policies lists all policies.
func Policies() []Policy {
	return []Policy{Random, RoundRobin, LeastInFlight, TwoChoices, Corrected, Expected}
}

// Config configures a Picker.
type Config struct {
	// InstanceID is this entry's own.
	InstanceID       string
	AvailabilityZone string
	Servers          func(service string) []registrar.Server
	// MaxInFlight is how many calls this entry may have in flight at a backend server with so many connections; nil for no bound.
	MaxInFlight func(connections int) int
	// Policy is Corrected when empty.
	Policy Policy
	Now    func() time.Time
}

// Picker chooses backend servers.
type Picker struct {
	cfg      Config
	mu       sync.RWMutex
	services map[string]*group
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
	return &Picker{cfg: cfg, services: make(map[string]*group)}
}

// Pick chooses a backend server or returns ErrNoServer or ErrFull.
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
	s, err := g.pick(&r, now)
	if err != nil {
		return nil, err
	}
	c := &Choice{Server: s.announced, group: g, server: s, begin: now, now: p.cfg.Now}
	s.add(c)
	return c, nil
}

// Candidates returns n random servers that the call might go to, the near ones first, and of them those whose last reading is older
// than maxAge; unreachable ones are asked again from time to time.
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
	g.refresh(now)
	g.collect(&r, now)
	for _, s := range g.sample(n) {
		all = append(all, s.announced.Key())
		if now.Sub(s.reported) > maxAge {
			stale = append(stale, s.announced)
		}
	}
	for _, s := range g.servers {
		if s.unreachable && !now.Before(s.ejectedUntil) {
			s.eject(now)
			stale = append(stale, s.announced)
		}
	}
	return stale, all
}

// Suits reports whether one of the servers has room for the call and works at about its usual pace.
func (p *Picker) Suits(r Request, among []registrar.Key) bool {
	g := p.group(r.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := p.cfg.Now()
	for _, s := range g.servers {
		if names(among, s) && g.load(s, now)+1 <= g.most(&r, s) && g.paceOf(s, now) < slowPace {
			return true
		}
	}
	return false
}

// Observe takes in a load reading that came by another way than an answer, such as a probe.
func (p *Picker) Observe(k registrar.Key, load sender.Load) {
	g := p.group(k.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.announced.InstanceID == k.InstanceID {
			s.report(load, 0, p.cfg.Now())
			if s.unreachable {
				s.restore()
			}
		}
	}
}

// Missed keeps calls away from a server to which no connection could be opened.
func (p *Picker) Missed(k registrar.Key) {
	g := p.group(k.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.announced.InstanceID == k.InstanceID && !s.unreachable {
			s.unreachable = true
			s.eject(p.cfg.Now())
		}
	}
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
		g = newGroup(p.cfg.Policy)
		p.services[service] = g
	}
	return g
}

// Choice is a backend server picked for one attempt; Done must be called once when the attempt has ended.
type Choice struct {
	Server     registrar.Server
	group      *group
	server     *server
	begin      time.Time
	now        func() time.Time
	trial      bool
	prev, next *Choice
}

// Done gives back the choice with how the attempt went.
func (c *Choice) Done(r Result) {
	if c.group == nil {
		return
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.server.remove(c)
	c.group.learn(c, &r, c.now())
}
