package parser

import (
	"path"
	"strings"
	"time"
)

// Repeat says whether a call may run more than once.
type Repeat string

// The values of Repeat.
const (
	// Idempotent calls may run any number of times.
	Idempotent Repeat = "idempotent"
	// AtMostOnce calls run at most once for each idempotency key, over all sends of the caller.
	AtMostOnce Repeat = "at-most-once"
	// OncePerSend calls run at most once for each send. The caller gives every send an id of its own, so no claim is needed.
	OncePerSend Repeat = "once-per-send"
)

// Priority says which calls are served first when slots are scarce.
type Priority string

// The values of Priority.
const (
	Interactive Priority = "interactive"
	Deferrable  Priority = "deferrable"
)

// Rules defines how calls are handled. The first rule that matches a call applies, else the defaults.
type Rules struct {
	Defaults Rule   `yaml:"defaults"`
	Rules    []Rule `yaml:"rules"`
}

// Rule defines how calls to its service, method and path (or a path below it) are handled. An empty field matches all calls.
type Rule struct {
	Service    string   `yaml:"service"`
	Method     string   `yaml:"method"`
	Path       string   `yaml:"path"`
	Repeat     Repeat   `yaml:"repeat"`
	Priority   Priority `yaml:"priority"`
	Deadline   Duration `yaml:"deadline"`
	Attempts   int      `yaml:"attempts"`
	HedgeShare float64  `yaml:"hedge-share"`
	RetryShare float64  `yaml:"retry-share"`

	// Rank, Objective and PreferZone are set only in a rule made from a route. PreferZone keeps calls in the entry's availability zone while
	// its servers have room.
	Rank       int      `yaml:"-"`
	Objective  Duration `yaml:"-"`
	PreferZone bool     `yaml:"-"`
}

// IsOnce reports whether a call must not be sent again once it may have run.
func (r *Rule) IsOnce() bool { return r.Repeat != Idempotent }

// Upper bounds of the values in rules.
const (
	MaxAttempts = 5
	MaxDeadline = 5 * time.Minute
	MaxShare    = 0.5
)

// ParseRules decodes and validates rules. Unless inv is nil, it must contain every service that a rule names.
func ParseRules(text []byte, inv *Inventory) (r *Rules, err error) {
	r = &Rules{Defaults: defaultRule()}
	if err = decode("rules", text, r); err != nil {
		return nil, err
	}
	// Empty fields in the defaults get the built-in defaults, except the shares, for which 0 is a valid setting.
	shares := r.Defaults
	d := defaultRule()
	r.Defaults.inherit(&d)
	r.Defaults.HedgeShare, r.Defaults.RetryShare = shares.HedgeShare, shares.RetryShare
	c := newChecker("rules", text)
	r.check(c, inv)
	return r, c.err()
}

// defaultRule returns the built-in defaults. They don't allow a call to run twice: one without a rule may be an order.
func defaultRule() Rule {
	return Rule{
		Repeat:     AtMostOnce,
		Priority:   Interactive,
		Deadline:   Duration(2 * time.Second),
		Attempts:   3,
		HedgeShare: 0,
		RetryShare: 0.1,
	}
}

// check validates the fields of each rule, fills in the defaults, and validates the result for contradictions.
func (r *Rules) check(c *checker, inv *Inventory) {
	c.setItem("defaults", 0)
	c.require(r.Defaults.Service == "" && r.Defaults.Method == "" && r.Defaults.Path == "", "defaults are for every call and name no service, method or path")
	r.Defaults.check(c, "defaults")
	r.Defaults.checkConsistent(c, "defaults")
	for i := range r.Rules {
		rule := &r.Rules[i]
		name := rule.name()
		c.setItem("rules", i)
		c.require(rule.Path == "" || isCleanPath(rule.Path),
			"rule %q: path is %q, want a leading / and no empty, . or .. segments", name, rule.Path)
		rule.check(c, name)
		rule.inherit(&r.Defaults)
		rule.checkConsistent(c, name)
		r.checkReachable(c, i)
		rule.checkService(c, inv)
	}
}

// isCleanPath reports whether p is unchanged by the normalization in Match.
func isCleanPath(p string) bool {
	return p == "/" || p != "//" && strings.HasPrefix(p, "/") && path.Clean(p) == strings.TrimSuffix(p, "/")
}

func (r *Rule) name() string {
	return strings.Join(strings.Fields(r.Service+" "+r.Method+" "+r.Path), " ")
}

func (r *Rule) check(c *checker, name string) {
	c.require(r.Repeat == "" || r.Repeat == Idempotent || r.Repeat == AtMostOnce, "rule %q: repeat is %q, want idempotent or at-most-once", name, r.Repeat)
	c.require(r.Priority == "" || r.Priority == Interactive || r.Priority == Deferrable, "rule %q: priority is %q, want interactive or deferrable", name, r.Priority)
	c.require(r.Deadline >= 0 && r.Deadline.Std() <= MaxDeadline, "rule %q: deadline is %v, want up to %v", name, r.Deadline.Std(), MaxDeadline)
	c.require(r.Attempts >= 0 && r.Attempts <= MaxAttempts, "rule %q: attempts is %d, want up to %d", name, r.Attempts, MaxAttempts)
	c.require(r.HedgeShare >= 0 && r.HedgeShare <= MaxShare, "rule %q: hedge-share is %v, want 0 to %v", name, r.HedgeShare, MaxShare)
	c.require(r.RetryShare >= 0 && r.RetryShare <= MaxShare, "rule %q: retry-share is %v, want 0 to %v", name, r.RetryShare, MaxShare)
}

// checkConsistent checks a rule for contradictions after the defaults have been filled in.
func (r *Rule) checkConsistent(c *checker, name string) {
	c.require(r.Repeat != AtMostOnce || r.HedgeShare == 0, "rule %q: at-most-once calls can't hedge: hedge-share is %v", name, r.HedgeShare)
	c.require(r.Attempts != 1 || r.HedgeShare == 0, "rule %q: a hedge is a second attempt: hedge-share is %v, but attempts is 1", name, r.HedgeShare)
}

// checkReachable rejects rule i if an earlier rule matches all its calls.
func (r *Rules) checkReachable(c *checker, i int) {
	for k := range i {
		if r.Rules[k].covers(&r.Rules[i]) {
			c.require(false, "rule %q can never match: rule %q before it matches all its calls", r.Rules[i].name(), r.Rules[k].name())
			return
		}
	}
}

func (r *Rule) covers(o *Rule) bool {
	return (r.Service == "" || r.Service == o.Service) && (r.Method == "" || r.Method == o.Method) && hasPathPrefix(o.Path, r.Path)
}

func (r *Rule) checkService(c *checker, inv *Inventory) {
	if inv == nil || r.Service == "" {
		return
	}
	s := inv.Service(r.Service)
	c.require(s != nil, "rule %q names service %q, which the inventory lacks", r.name(), r.Service)
	if s != nil {
		c.require(r.Deadline >= s.Objective.Latency, "rule %q: deadline %v is shorter than the objective latency %v of service %q",
			r.name(), r.Deadline.Std(), s.Objective.Latency.Std(), r.Service)
	}
}

// inherit fills empty fields from the defaults d. Only idempotent calls inherit a hedge share.
func (r *Rule) inherit(d *Rule) {
	if r.Repeat == "" {
		r.Repeat = d.Repeat
	}
	if r.Priority == "" {
		r.Priority = d.Priority
	}
	if r.Deadline == 0 {
		r.Deadline = d.Deadline
	}
	if r.Attempts == 0 {
		r.Attempts = d.Attempts
	}
	if r.HedgeShare == 0 && r.Repeat == Idempotent {
		r.HedgeShare = d.HedgeShare
	}
	if r.RetryShare == 0 {
		r.RetryShare = d.RetryShare
	}
}

// Match returns the rule for a call; callPath is unescaped.
//
// The path is normalized as a backend server would do it, so that /lookup/../orders matches a rule for /orders.
func (r *Rules) Match(service, method, callPath string) Rule {
	clean := path.Clean("/" + callPath)
	if strings.HasSuffix(callPath, "/") && clean != "/" {
		clean += "/"
	}
	for i := range r.Rules {
		if r.Rules[i].matches(service, method, clean) {
			return r.Rules[i]
		}
	}
	return r.Defaults
}

func (r *Rule) matches(service, method, callPath string) bool {
	return (r.Service == "" || r.Service == service) &&
		(r.Method == "" || r.Method == method) &&
		hasPathPrefix(callPath, r.Path)
}

// hasPathPrefix reports whether p equals prefix or is below it, comparing whole segments. Every path is below an empty prefix.
func hasPathPrefix(p, prefix string) bool {
	rest, ok := strings.CutPrefix(p, prefix)
	return ok && (rest == "" || prefix == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}
