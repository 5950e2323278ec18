package parser

import (
	"cmp"
	"math"
	"math/rand/v2"
	"strings"
	"time"
	"unicode"
)

// Routing is a numbered set of routes with the services they lead to and the limits of requests. The highest number is in force.
type Routing struct {
	Number   uint64          `yaml:"number"`
	Routes   []Route         `yaml:"routes"`
	Services []RoutedService `yaml:"services"`
	Limits   RequestLimits   `yaml:"limits"`
	// Accounts are the client accounts. If there are any, a call needs the key of one, except on a public route.
	Accounts []Account `yaml:"accounts"`

	// byHost maps a host to its routes by prefix.
	byHost map[string]map[string]*Route
	// byService maps a service's name to its settings.
	byService map[string]*RoutedService
	// byKey maps a key to its account.
	byKey map[string]*Account
}

// Route defines the services for calls to a host and path prefix, and how these calls are handled.
type Route struct {
	Name   string `yaml:"name"`
	Host   string `yaml:"host"`
	Prefix string `yaml:"prefix"`
	// Split lists the services among which the route's calls are divided; a route that is not split has a single one.
	Split  []WeightedService `yaml:"split"`
	Repeat Repeat            `yaml:"repeat"`
	// Attempts is the maximum number of attempts of a call.
	Attempts int `yaml:"attempts"`
	// Timeout bounds the time until the response to a call; 0 for as long as the caller waits.
	Timeout   Duration `yaml:"timeout"`
	Objective Duration `yaml:"objective"`
	// Rank orders calls by urgency; 0 is the most urgent.
	Rank int `yaml:"rank"`
	// LargeResponses says that responses are so large that calls should stay in the entry's availability zone while it has room.
	LargeResponses bool `yaml:"large-responses"`
	// Public routes take calls without a key.
	Public bool `yaml:"public"`
}

// Account is a client account. Its keys are secrets: they must not be logged, or sent to backend servers.
type Account struct {
	Name string   `yaml:"name"`
	Keys []string `yaml:"keys"`
	// Rank takes precedence over the rank of the route; nil keeps that of the route.
	Rank *int `yaml:"rank"`
	// Rate is the number of calls per second that the account may make, and Burst the number by which it may exceed that for a moment; a
	// Rate of 0 means no limit.
	Rate  float64 `yaml:"rate"`
	Burst float64 `yaml:"burst"`
}

// WeightedService is a service of a split route; it gets calls in proportion to its weight.
type WeightedService struct {
	Service string  `yaml:"service"`
	Weight  float64 `yaml:"weight"`
}

// RoutedService holds the settings of a service in a routing document.
type RoutedService struct {
	Name        string `yaml:"name"`
	HealthPath  string `yaml:"health-path"`
	Connections int    `yaml:"connections"`
	// WarmUp is how long a server is cold after its start, and WarmUpRate how many calls per second a cold server takes; 0 for any number.
	WarmUp     Duration `yaml:"warm-up"`
	WarmUpRate float64  `yaml:"warm-up-rate"`
}

// RequestLimits bounds the size of requests and the time to receive them; 0 selects the entry's own limit.
type RequestLimits struct {
	HeaderBytes   int      `yaml:"header-bytes"`
	BodyBytes     int64    `yaml:"body-bytes"`
	HeaderTimeout Duration `yaml:"header-timeout"`
	IdleTimeout   Duration `yaml:"idle-timeout"`
}

// MaxRouteTimeout is the maximum timeout of a route.
const MaxRouteTimeout = 10 * time.Minute

// RoutingParser decodes and validates a routing document.
type RoutingParser func(text []byte) (*Routing, error)

// ParseRouting decodes and validates a routing document in YAML. The error is a *DocumentError that lists all problems with their
// lines.
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
	return r.buildIndex(), nil
}

// CheckRouting validates a routing that was decoded from another format and builds the index that Match needs.
func CheckRouting(r *Routing) (*Routing, error) {
	c := &checker{document: "routing"}
	r.check(c)
	if err := c.err(); err != nil {
		return nil, err
	}
	return r.buildIndex(), nil
}

func (r *Routing) check(c *checker) {
	services := make(map[string]bool, len(r.Services))
	for i, s := range r.Services {
		c.setItem("services", i)
		c.require(s.Name != "", "service without a name")
		c.require(s.WarmUp >= 0 && isRate(s.WarmUpRate), "service %q: want a warm-up and a warm-up-rate of 0 or more", s.Name)
		services[s.Name] = true
	}
	for i := range r.Routes {
		c.setItem("routes", i)
		r.Routes[i].check(c, services)
	}
	r.checkAccounts(c)
	c.setItem("limits", 0)
	l := &r.Limits
	c.require(l.HeaderBytes >= 0 && l.BodyBytes >= 0 && l.HeaderTimeout >= 0 && l.IdleTimeout >= 0, "limits: want 0 or more")
}

// isRate reports whether n is a number of calls, per second or in a burst.
func isRate(n float64) bool { return n >= 0 && !math.IsInf(n, 0) }

func (r *Routing) checkAccounts(c *checker) {
	holders := make(map[string]string)
	names := make(map[string]bool)
	for i := range r.Accounts {
		a := &r.Accounts[i]
		c.setItem("accounts", i)
		c.require(a.Name != "", "account without a name")
		// Backend servers get the name in a header.
		c.require(!strings.ContainsFunc(a.Name, unicode.IsControl), "account %q: the name has a control character", a.Name)
		// Limits are kept by name.
		c.require(!names[a.Name], "two accounts have the name %q", a.Name)
		names[a.Name] = true
		c.require(isRate(a.Rate) && isRate(a.Burst), "account %q: want a rate and a burst of 0 or more", a.Name)
		for _, key := range a.Keys {
			c.require(key != "", "account %q: a key is empty", a.Name)
			if holder, ok := holders[key]; ok && holder != a.Name {
				c.require(false, "accounts %q and %q have the same key", holder, a.Name)
			}
			holders[key] = a.Name
		}
	}
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

// buildIndex fills byHost and byService and returns r.
func (r *Routing) buildIndex() *Routing {
	r.byHost = make(map[string]map[string]*Route)
	for i := range r.Routes {
		route := &r.Routes[i]
		host := strings.ToLower(route.Host)
		if r.byHost[host] == nil {
			r.byHost[host] = make(map[string]*Route)
		}
		r.byHost[host][route.Prefix] = route
	}
	r.byService = make(map[string]*RoutedService, len(r.Services))
	for i := range r.Services {
		r.byService[r.Services[i].Name] = &r.Services[i]
	}
	r.byKey = make(map[string]*Account)
	for i := range r.Accounts {
		for _, key := range r.Accounts[i].Keys {
			r.byKey[key] = &r.Accounts[i]
		}
	}
	return r
}

// Account returns the account that holds a key, or nil if none does.
func (r *Routing) Account(key string) *Account { return r.byKey[key] }

// Match returns the route for the host with the longest prefix of path, or nil if there is none. A port in host is ignored.
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

// Service returns the settings of a service, or nil if the routing document doesn't contain it.
func (r *Routing) Service(name string) *RoutedService { return r.byService[name] }

// defaultObjectiveShare is the share of a routed service's calls that should meet the latency objective: a route specifies only the
// latency.
const defaultObjectiveShare = 0.99

// Objective returns the objective with the lowest latency among the routes to a service; ok is false if there is none.
func (r *Routing) Objective(service string) (o Objective, ok bool) {
	for i := range r.Routes {
		for _, s := range r.Routes[i].Split {
			if l := r.Routes[i].Objective; s.Service == service && l > 0 && (!ok || l < o.Latency) {
				o, ok = Objective{Latency: l, Share: defaultObjectiveShare}, true
			}
		}
	}
	return o, ok
}

// Choose returns a service of the split, selected at random in proportion to the weights, or "" if all weights are 0.
func (r *Route) Choose() string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	point := rand.Float64() * total
	for _, s := range r.Split {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return ""
}

// defaultRetryShare is the maximum share of retries and hedges relative to a routed service's calls, unless the operator sets another.
const defaultRetryShare = 0.1

// Rule returns the rule for calls of the route that go to service.
func (r *Route) Rule(service string) Rule {
	return Rule{
		Service:    service,
		Repeat:     r.Repeat,
		Priority:   Interactive,
		Deadline:   cmp.Or(r.Timeout, Duration(MaxRouteTimeout)),
		Attempts:   r.Attempts,
		RetryShare: defaultRetryShare,
		Rank:       r.Rank,
		Objective:  r.Objective,
		PreferZone: r.LargeResponses,
	}
}
