package scout

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// Config configures a Scout; fields are required unless they say otherwise.
type Config struct {
	// Candidates returns up to n servers that may take the call as all, and as stale those to probe because their last load report is
	// older than maxAge.
	Candidates func(r picker.Request, n int, maxAge time.Duration) (stale []registrar.Server, all []registrar.Key)
	// HealthPath returns the path at which a service's servers report their load; empty when they don't.
	HealthPath func(service string) string
	Send       func(context.Context, *sender.Request) (*sender.Response, error)
	// Observe records a load report. As in the other callbacks, probed is the server as announced when the probe began: the result says nothing
	// about a later incarnation of it.
	Observe func(probed *registrar.Server, load sender.Load)
	// OnRateLimit is called with the limit that a server named in its response to a probe; may be nil.
	OnRateLimit func(probed *registrar.Server, limit sender.RateLimit)
	// OnDraining is called with a server that said in its response to a probe that it drains; may be nil.
	OnDraining func(probed *registrar.Server)
	// OnPause is called with a server that asked in its response to a probe for no calls during d; may be nil.
	OnPause func(probed *registrar.Server, d time.Duration)
	// OnWarmUp is called with how long a server that responded to a probe will still be cold, if it says so; may be nil.
	OnWarmUp func(probed *registrar.Server, left time.Duration)
	// Budget returns how many probes per second this entry may send to the servers of a service, 0 or less for no limit; nil for no limit
	// on any service.
	Budget func(service string) float64
	// ExtraPerCall returns how many servers beyond the first round may be probed for a call to a service on average; 4 when nil.
	ExtraPerCall func(service string) float64
	// HasSuitable reports whether one of the probed servers is suitable for the call, so that no others need be probed; nil for always.
	HasSuitable func(r picker.Request, probed []registrar.Key) bool
	// OnUnreachable is called with a server to which no connection could be opened or whose address another server has; may be nil.
	OnUnreachable func(probed *registrar.Server)
	// OnReachable is called with each server that responded to a probe; may be nil.
	OnReachable func(probed *registrar.Server)
	// OnUnanswered is called with a server that did not respond to a probe within probeTimeout; may be nil.
	OnUnanswered func(probed *registrar.Server)
	// OnProbe is called at the end of each probe with whether it was answered with a load report; may be nil.
	OnProbe func(service string, answered bool)
}

const (
	// probesPerRound is how many servers are probed at once for a call. With more, responses too often go unused; with fewer, it takes longer
	// to find a suitable server.
	probesPerRound = 2
	// defaultExtraPerCall is the default of Config.ExtraPerCall, maxExtraCalls the number of calls whose extra probes may be saved up while
	// calls need none.
	defaultExtraPerCall = 4.0
	maxExtraCalls       = 7.5
	// maxAge is the age up to which a load report is used without a probe; load changes within a few hundred milliseconds.
	maxAge = 20 * time.Millisecond
	// waitTimeout is how long a call waits for the responses to its probes. It covers the round trip between availability zones and the
	// server's processing time.
	waitTimeout = 15 * time.Millisecond
	// probeTimeout is the time after which the response to a probe is of no use.
	probeTimeout = 150 * time.Millisecond
	// noLoadPause is how long a service is not probed after one of its servers responded without a load report.
	noLoadPause = 10 * time.Second
)

// Scout probes backend servers on demand.
type Scout struct {
	cfg Config
	mu  sync.Mutex
	// extra is how many servers may be probed beyond the first round of each call.
	extra float64
	// budgets are the probe budgets of the services.
	budgets map[string]*tokenBucket
	// pausedUntil is until when a service is not probed because its servers' responses carry no load report.
	pausedUntil map[string]time.Time
}

// New returns a Scout.
func New(cfg Config) *Scout {
	if cfg.ExtraPerCall == nil {
		cfg.ExtraPerCall = func(string) float64 { return defaultExtraPerCall }
	}
	return &Scout{cfg: cfg, pausedUntil: make(map[string]time.Time), budgets: make(map[string]*tokenBucket)}
}

// Probe probes a few servers that may take the call and returns them, without those that did not respond in time; when none responded
// in any round, it returns those of the first. It returns no servers when the service is not to be probed.
func (s *Scout) Probe(ctx context.Context, r picker.Request) []registrar.Key {
	path := s.cfg.HealthPath(r.Service)
	if path == "" || s.isPaused(r.Service) {
		return nil
	}
	s.addExtra(s.cfg.ExtraPerCall(r.Service))
	probed, answered := s.probeRound(ctx, r, path)
	tried := probed
	for n := len(probed); n >= probesPerRound && s.needsMore(ctx, r, probed, answered); {
		next := r
		next.Exclude = append(slices.Clone(r.Exclude), tried...)
		more, moreAnswered := s.probeRound(ctx, next, path)
		n = len(more)
		tried = append(slices.Clone(tried), more...)
		switch {
		case answered && moreAnswered:
			probed = append(slices.Clone(probed), more...)
		case moreAnswered && n > 0:
			probed, answered = more, true
		}
	}
	return probed
}

// needsMore reports whether other servers should be probed in another round, and counts that round. answered means that one of those
// probed has responded. A late call gets another round only if none has.
func (s *Scout) needsMore(ctx context.Context, r picker.Request, probed []registrar.Key, answered bool) bool {
	if s.cfg.HasSuitable == nil || ctx.Err() != nil || answered && (r.Late || s.cfg.HasSuitable(r, probed)) {
		return false
	}
	return s.takeExtra()
}

// addExtra adds the extra probes that one call allows.
func (s *Scout) addExtra(perCall float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extra = min(s.extra+perCall, max(s.extra, maxExtraCalls*perCall))
}

// takeExtra takes one round of extra probes and reports whether that many were left.
func (s *Scout) takeExtra() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.extra < probesPerRound {
		return false
	}
	s.extra -= probesPerRound
	return true
}

// probeRound probes a few servers at once and returns those with a fresh load report; all of them, and false, when none has one.
func (s *Scout) probeRound(ctx context.Context, r picker.Request, path string) (probed []registrar.Key, answered bool) {
	stale, all := s.cfg.Candidates(r, probesPerRound, maxAge)
	if len(all) < 2 {
		s.probeUnreachable(ctx, stale, all, path)
		return all, true
	}
	if len(stale) == 0 {
		return all, true
	}
	granted := s.grant(r.Service, len(stale))
	if granted == 0 {
		// Without fresh reports, a choice among all servers is better than one among a few.
		return nil, true
	}
	unanswered := make(map[registrar.Key]bool, len(stale))
	for i := range stale {
		unanswered[stale[i].Key()] = true
	}
	s.probeAll(ctx, stale[:granted], path, unanswered)
	return withoutUnanswered(all, unanswered)
}

// probeUnreachable probes the servers that are not candidates, which no call waits for.
func (s *Scout) probeUnreachable(ctx context.Context, stale []registrar.Server, candidates []registrar.Key, path string) {
	for i := range stale {
		server := stale[i]
		if slices.Contains(candidates, server.Key()) || s.grant(server.Service, 1) == 0 {
			continue
		}
		go s.probeAndReport(ctx, &server, path)
	}
}

// probeAndReport probes one server without the context's end and reports whether it responded with a load report.
func (s *Scout) probeAndReport(ctx context.Context, server *registrar.Server, path string) bool {
	ok := s.probeServer(context.WithoutCancel(ctx), server, path)
	if s.cfg.OnProbe != nil {
		s.cfg.OnProbe(server.Service, ok)
	}
	return ok
}

// probeAll probes servers at once and removes from unanswered those that respond within waitTimeout.
func (s *Scout) probeAll(ctx context.Context, servers []registrar.Server, path string, unanswered map[registrar.Key]bool) {
	results := make(chan probeResult, len(servers))
	for i := range servers {
		server := servers[i]
		go func() {
			results <- probeResult{server.Key(), s.probeAndReport(ctx, &server, path)}
		}()
	}
	t := time.NewTimer(waitTimeout)
	defer t.Stop()
	for range servers {
		select {
		case r := <-results:
			unanswered[r.key] = !r.ok
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// probeResult is the outcome of one probe; ok means that it was answered with a load report.
type probeResult struct {
	key registrar.Key
	ok  bool
}

// withoutUnanswered returns all without the unanswered servers, whose last load reports are out of date; all, and false, when none
// responded.
func withoutUnanswered(all []registrar.Key, unanswered map[registrar.Key]bool) (out []registrar.Key, answered bool) {
	for _, k := range all {
		if !unanswered[k] {
			out = append(out, k)
		}
	}
	if len(out) == 0 {
		return all, false
	}
	return out, true
}

// probeServer probes one server and reports whether it responded with a load report.
func (s *Scout) probeServer(ctx context.Context, server *registrar.Server, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req := &sender.Request{
		Address: server.Address, Server: server.Key(), Connections: server.Connections, Method: http.MethodGet, Path: path, Header: make(http.Header), Probe: true,
	}
	res, err := s.cfg.Send(ctx, req)
	var se *sender.Error
	if errors.As(err, &se) && se.IsReused() && ctx.Err() == nil {
		// The server had closed or forgotten the idle connection, which says nothing about the server.
		req.FreshConnection = true
		res, err = s.cfg.Send(ctx, req)
	}
	if err != nil {
		if errors.As(err, &se) && se.Unreachable {
			s.recordUnreachable(server)
		}
		if s.cfg.OnUnanswered != nil && ctx.Err() != nil {
			s.cfg.OnUnanswered(server)
		}
		return false
	}
	defer res.Body.Close()
	own := isOwn(server, res)
	if own {
		s.recordHeader(server, res)
	} else if res.Server != server.InstanceID {
		s.recordUnreachable(server)
	}
	// The connection can be reused only after the body has been read to its end.
	if _, err = io.Copy(io.Discard, res.Body); err != nil || !own {
		return false
	}
	if res.Load == nil {
		s.recordNoLoad(server.Service, res.Status)
		return false
	}
	s.cfg.Observe(server, *res.Load)
	return true
}

// isOwn reports whether the server itself sent the response to a probe. Another one may have taken over its address; not all services' servers
// name themselves.
func isOwn(server *registrar.Server, res *sender.Response) bool {
	return !res.WrongServer && (res.Server == "" || res.Server == server.InstanceID)
}

func (s *Scout) recordUnreachable(server *registrar.Server) {
	if s.cfg.OnUnreachable != nil {
		s.cfg.OnUnreachable(server)
	}
}

// recordHeader passes on what the header of a server's own response to a probe says, apart from the load.
func (s *Scout) recordHeader(server *registrar.Server, res *sender.Response) {
	if s.cfg.OnRateLimit != nil && res.RateLimit.Named {
		s.cfg.OnRateLimit(server, res.RateLimit)
	}
	if s.cfg.OnPause != nil && res.RetryAfter > 0 {
		s.cfg.OnPause(server, res.RetryAfter)
	}
	// Only an announcement takes back that a server drains, so the response has to name the server.
	if s.cfg.OnDraining != nil && res.Draining && res.Server == server.InstanceID {
		s.cfg.OnDraining(server)
	}
	if s.cfg.OnWarmUp != nil && res.WarmUp != nil {
		s.cfg.OnWarmUp(server, *res.WarmUp)
	}
	if s.cfg.OnReachable != nil {
		s.cfg.OnReachable(server)
	}
}

func (s *Scout) isPaused(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.pausedUntil[service])
}

// recordNoLoad pauses the probes of a service after a response without a load report. Responses with an error status don't count, as they say
// nothing about the other servers of the service.
func (s *Scout) recordNoLoad(service string, status int) {
	if status != http.StatusOK {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil[service] = time.Now().Add(noLoadPause)
}
