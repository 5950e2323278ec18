package picker

import (
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// After all servers of a service without load reports had refused calls for 5 s, entries refused every call with servers-full, although the
// servers were idle: each entry took the refusals of all servers for the load of all servers.
func TestServiceRecoversFromRefusals(t *testing.T) {
	const (
		callers = 40
		outage  = 5 * time.Second
		// capacity is what the servers complete in a second with 0.8 of their slots in use.
		capacity = 6 * 4 / 0.120
	)
	shed := Result{Status: http.StatusServiceUnavailable, Shed: true, Err: errors.New("shed")}
	closing := shed
	closing.Closing = true
	tests := map[string]struct {
		refuse func(s *sim) (Result, time.Duration, bool)
		// within is the time after the outage within which calls are served as before.
		within time.Duration
	}{
		"a fifth of the calls": {func(s *sim) (Result, time.Duration, bool) { return shed, 0, s.rnd.IntN(5) == 0 }, time.Second},
		"all calls":            {func(*sim) (Result, time.Duration, bool) { return shed, 0, true }, time.Second},
		"all calls, with a Retry-After of 2 s": {
			func(*sim) (Result, time.Duration, bool) { return shed, 2 * time.Second, true }, 2*time.Second + 2*returnSpread,
		},
		"all calls, closing the connection": {func(*sim) (Result, time.Duration, bool) { return closing, 0, true }, 5 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimOf(1, Expected, 3, 6)
			s.probes, s.noReports = false, true
			for _, srv := range s.servers {
				srv.refuse = func(now time.Time) (r Result, pause time.Duration, ok bool) {
					if now.Sub(s.begin) >= outage {
						return r, 0, false
					}
					return tt.refuse(s)
				}
			}
			served := 0
			for i := range callers {
				var call func()
				call = func() {
					s.attempt(&simCall{entry: s.entries[i%3], arrived: s.now, second: int(s.now.Sub(s.begin) / time.Second), ended: func(ok bool) {
						if ok && s.now.Sub(s.begin) >= outage+tt.within {
							served++
						}
						s.after(10*time.Millisecond, call)
					}})
				}
				call()
			}
			const measured = 4 * time.Second
			s.run(outage + tt.within + measured)
			if perSecond := float64(served) / measured.Seconds(); perSecond < 0.7*capacity {
				t.Errorf("%.0f calls a second are served, want at least 0.7 of %.0f", perSecond, capacity)
			}
		})
	}
}

// Each estimate that keeps calls away and that only calls or probes could correct must end by itself, or a service stays without traffic
// after its servers have recovered.
func TestEstimatesEndWithoutTraffic(t *testing.T) {
	each := func(f func(h *harness, s *registrar.Server)) func(t *testing.T, h *harness) {
		return func(_ *testing.T, h *harness) {
			for i := range h.servers {
				f(h, &h.servers[i])
			}
		}
	}
	results := func(r Result) func(*testing.T, *harness) {
		return func(t *testing.T, h *harness) {
			for range h.servers {
				c, err := h.Pick(Request{Service: service, AllowFaulty: true})
				if err != nil {
					t.Fatal(err)
				}
				c.Done(r)
			}
		}
	}
	tests := map[string]struct {
		impair func(*testing.T, *harness)
		within time.Duration
	}{
		"full by refusals":      {results(Result{Shed: true, Err: errors.New("shed")}), time.Second},
		"full by load reports":  {each(func(h *harness, s *registrar.Server) { h.Observe(s.Key(), sender.Load{InFlight: 20, Slots: 6}) }), 8 * time.Second},
		"closing":               {results(Result{Shed: true, Closing: true, Err: errors.New("shed")}), 5 * time.Second},
		"paused":                {each(func(h *harness, s *registrar.Server) { h.Pause(s, 2*time.Second) }), 4 * time.Second},
		"failing":               {results(Result{Status: http.StatusInternalServerError}), 20 * time.Second},
		"unreachable by calls":  {results(Result{Unreachable: true, Err: errors.New("refused")}), 20 * time.Second},
		"unreachable by probes": {each(func(h *harness, s *registrar.Server) { h.MarkUnreachable(s) }), 20 * time.Second},
		"unanswered probes":     {each(func(h *harness, s *registrar.Server) { h.MarkUnanswered(s) }), 20 * time.Second},
		"a rate limit of 0": {each(func(h *harness, s *registrar.Server) {
			h.ObserveRateLimit(s, sender.RateLimit{Named: true})
		}), limitHold},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(6, Expected)
			h.now = h.now.Add(2 * settleTime)
			h.run(t, 60, ok)
			h.now = h.now.Add(time.Second)
			tt.impair(t, h)
			// Only calls that may run only once come, which are no trials.
			for end := h.now.Add(tt.within); h.now.Before(end); h.now = h.now.Add(100 * time.Millisecond) {
				if c, err := h.Pick(Request{Service: service, NoTrial: true}); err == nil {
					c.Done(Result{Canceled: true})
				}
			}
			// Each of the servers must be in use again.
			got := make(map[string]bool)
			for range 200 {
				c, err := h.Pick(Request{Service: service, NoTrial: true})
				if err != nil {
					t.Fatal(err)
				}
				got[c.Server.InstanceID] = true
				h.now = h.now.Add(time.Millisecond)
				c.Done(Result{Status: http.StatusOK, Latency: 10 * time.Millisecond})
			}
			if len(got) < len(h.servers) {
				t.Errorf("%d of %d servers get calls", len(got), len(h.servers))
			}
		})
	}
}

// One server that was ejected or unreachable got no more calls for good where no probe and no call that may run twice could find out
// that it had recovered: in services without load reports and with at-most-once calls only.
func TestEjectionEndsWithoutTrials(t *testing.T) {
	tests := map[string]func(s *server){
		"failing":     func(s *server) { s.failures = 2 * ejectionThreshold },
		"unreachable": func(s *server) { s.unreachable = true },
	}
	for name, impair := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(6, Expected)
			h.run(t, 200, ok)
			for _, s := range h.group(service).servers {
				if s.announced.InstanceID == "3" {
					impair(s)
					s.eject(h.now)
				}
			}
			calls := 0
			for range 30 {
				h.now = h.now.Add(time.Second)
				for range 12 {
					c, err := h.Pick(Request{Service: service, NoTrial: true})
					if err != nil {
						t.Fatal(err)
					}
					if c.Server.InstanceID == "3" {
						calls++
					}
					h.now = h.now.Add(time.Millisecond)
					c.Done(Result{Status: http.StatusOK, Latency: 10 * time.Millisecond})
				}
			}
			if calls == 0 {
				t.Error("the server got no call in 30 s")
			}
		})
	}
}
