package parser

import (
	"cmp"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Routing is a numbered set of routes, with what they need to know of services and callers; the highest number is in force.
type Routing struct {
	Number   uint64          `yaml:"number"`
	Routes   []Route         `yaml:"routes"`
	Services []RoutedService `yaml:"services"`
	Limits   RequestLimits   `yaml:"limits"`

	// byHost maps a host to its routes by prefix.
	byHost  map[string]map[string]*Route
	service map[string]*RoutedService
}

// Route says where the calls to one host and path prefix go and how they may be treated.
type Route struct {
	Name   string `yaml:"name"`
	Host   string `yaml:"host"`
	Prefix string `yaml:"prefix"`
	// Split names the services that share the route's calls; one for a route that is not split.
	Split  []Share `yaml:"split"`
	Repeat Repeat  `yaml:"repeat"`
	// Attempts is how many backend servers may be sent one call.
	Attempts int `yaml:"attempts"`
	// Timeout is how long a call may wait for its answer; 0 for as long as its caller waits.
	Timeout   Duration `yaml:"timeout"`
	Objective Duration `yaml:"objective"`
	// Rank is the urgency of the calls; 0 goes first.
	Rank int `yaml:"rank"`
}

// Share is one part of a split route.
type Share struct {
	Service string  `yaml:"service"`
	Weight  float64 `yaml:"weight"`
}

// RoutedService is what routing says of a service.
type RoutedService struct {
	Name        string `yaml:"name"`
	HealthPath  string `yaml:"health-path"`
	Connections int    `yaml:"connections"`
}

// RequestLimits bounds what a caller may send and how long it may take; 0 leaves a bound to the entry.
type RequestLimits struct {
	HeaderBytes   int      `yaml:"header-bytes"`
	BodyBytes     int64    `yaml:"body-bytes"`
	HeaderTimeout Duration `yaml:"header-timeout"`
	IdleTimeout   Duration `yaml:"idle-timeout"`
}

// MaxRouteTimeout is the longest timeout that a route may have.
const MaxRouteTimeout = 10 * time.Minute

// RoutingParser decodes and checks a routing document.
type RoutingParser func(text []byte) (*Routing, error)

// ParseRouting decodes and checks a routing document in YAML; the error is a *DocumentError with every problem and its line.
func ParseRouting(text []byte) (r *Routing, err error) {
	r = &Routing{}
	if err = decode("routing", text, r); err != nil {
		return nil, err
	}
	c := newChecker("routing", text)
	r.check(c)
	if err = c.err(); err != nil {
		return nil, err
	}
	return r.index(), nil
}

// CheckRouting checks a routing that was decoded from another format and makes it ready for Match.
func CheckRouting(r *Routing) (*Routing, error) {
	c := &checker{document: "routing"}
	r.check(c)
	if err := c.err(); err != nil {
		return nil, err
	}
	return r.index(), nil
}

func (r *Routing) check(c *checker) {
	services := make(map[string]bool, len(r.Services))
	for i, s := range r.Services {
		c.at("services", i)
		c.require(s.Name != "", "service without a name")
		services[s.Name] = true
	}
	for i := range r.Routes {
		c.at("routes", i)
		r.Routes[i].check(c, services)
	}
	c.at("limits", 0)
	l := &r.Limits
	c.require(l.HeaderBytes >= 0 && l.BodyBytes >= 0 && l.HeaderTimeout >= 0 && l.IdleTimeout >= 0, "limits: want 0 or more")
}

func (r *Route) check(c *checker, services map[string]bool) {
	c.require(r.Host != "", "route %q: host is empty", r.Name)
	c.require(strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), "route %q: prefix is %q, want a leading and a trailing /", r.Name, r.Prefix)
	c.require(r.Attempts >= 1, "route %q: attempts is %d, want 1 or more", r.Name, r.Attempts)
	c.require(r.Timeout >= 0 && r.Timeout.Std() <= MaxRouteTimeout, "route %q: timeout is %v, want up to %v", r.Name, r.Timeout.Std(), MaxRouteTimeout)
	c.require(r.Repeat == Idempotent || r.Repeat == OncePerSend, "route %q: repeat is %q, want idempotent or once-per-send", r.Name, r.Repeat)
	c.require(len(r.Split) > 0, "route %q: no service", r.Name)
	for _, s := range r.Split {
		c.require(services[s.Service], "route %q names service %q, which the document lacks", r.Name, s.Service)
		c.require(s.Weight >= 0 && !math.IsInf(s.Weight, 0), "route %q: weight of service %q is %v, want 0 or more", r.Name, s.Service, s.Weight)
	}
}

func (r *Routing) index() *Routing {
	r.byHost = make(map[string]map[string]*Route)
	for i := range r.Routes {
		route := &r.Routes[i]
		host := strings.ToLower(route.Host)
		if r.byHost[host] == nil {
			r.byHost[host] = make(map[string]*Route)
		}
		r.byHost[host][route.Prefix] = route
	}
	r.service = make(map[string]*RoutedService, len(r.Services))
	for i := range r.Services {
		r.service[r.Services[i].Name] = &r.Services[i]
	}
	return r
}

// Match returns the route of the host with the longest prefix of path, or nil; a port behind the host doesn't count.
func (r *Routing) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	routes := r.byHost[strings.ToLower(host)]
	for end := len(path); end > 0 && len(routes) > 0; {
		i := strings.LastIndexByte(path[:end], '/')
		if i < 0 {
			return nil
		}
		if route := routes[path[:i+1]]; route != nil {
			return route
		}
		end = i
	}
	return nil
}

// Service returns what routing says of a service, or nil.
func (r *Routing) Service(name string) *RoutedService { return r.service[name] }

// routedShare is the share of a routed service's calls that should meet their objective; routes name only the latency.
const routedShare = 0.99

// Objective returns the strictest objective of the routes that lead to a service; ok is false when there is none.
func (r *Routing) Objective(service string) (o Objective, ok bool) {
	for i := range r.Routes {
		for _, s := range r.Routes[i].Split {
			if l := r.Routes[i].Objective; s.Service == service && l > 0 && (!ok || l < o.Latency) {
				o, ok = Objective{Latency: l, Share: routedShare}, true
			}
		}
	}
	return o, ok
}

// Choose returns a service of the split, drawn by weight, or "" when no part has any.
func (r *Route) Choose() string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	sum := 0.0
	for _, s := range r.Split {
		sum += s.Weight
	}
	at := rand.Float64() * sum
	for _, s := range r.Split {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}

// routedRetryShare is the share of a routed service's calls that may be repeated, hedges included, where the operator sets no other.
const routedRetryShare = 0.1

// Rule is the treatment of a call of the route that goes to service.
func (r *Route) Rule(service string) Rule {
	return Rule{
		Service:    service,
		Repeat:     r.Repeat,
		Priority:   Interactive,
		Deadline:   cmp.Or(r.Timeout, Duration(MaxRouteTimeout)),
		Attempts:   r.Attempts,
		RetryShare: routedRetryShare,
		Rank:       r.Rank,
		Objective:  r.Objective,
	}
}
