package picker

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// newZoneHarness returns a harness with n servers in each of the zones a, b and c; server i is in zone i modulo 3.
func newZoneHarness(n int, p Policy) (h *harness, zones *[]string) {
	h, zones = newHarness(3*n, p), &[]string{}
	h.change(func(i int, s *registrar.Server) { s.AvailabilityZone = string(rune('a' + i%3)) })
	h.cfg.EvacuatedZones = func() []string { return *zones }
	return h, zones
}

// Guards against attempts and probes of any kind that reach servers of an evacuated zone, and against a zone that gets no calls when it returns.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	ejectAll := func(h *harness) {
		for _, s := range h.group(service).announced() {
			s.eject(h.now)
		}
		h.now = h.now.Add(2 * maxEjectionTime)
	}
	tests := map[string]struct {
		// prepare runs before the evacuation, after some calls to all servers.
		prepare func(*harness)
		request Request
	}{
		"a call":                          {nil, Request{}},
		"a retry or hedge":                {nil, Request{Exclude: []registrar.Key{{Service: service, InstanceID: "1"}, {Service: service, InstanceID: "2"}}}},
		"a deferrable call":               {nil, Request{Deferrable: true}},
		"a late call":                     {nil, Request{Late: true}},
		"an urgent call":                  {nil, Request{Rank: -1}},
		"a call that wants a fast server": {nil, Request{FastOnly: true}},
		"a call that allows faulty ones":  {nil, Request{AllowFaulty: true}},
		"a call that is no trial":         {ejectAll, Request{NoTrial: true}},
		"a trial call":                    {ejectAll, Request{}},
		"a call with candidates probed before the evacuation": {nil, Request{Candidates: []registrar.Key{
			{Service: service, InstanceID: "0"}, {Service: service, InstanceID: "3"},
		}}},
		"a call with one such candidate": {nil, Request{Candidates: []registrar.Key{
			{Service: service, InstanceID: "0"}, {Service: service, InstanceID: "1"},
		}}},
		"servers that nobody could reach": {func(h *harness) {
			for _, s := range h.servers {
				h.MarkUnreachable(&s)
			}
			h.now = h.now.Add(2 * maxEjectionTime)
		}, Request{}},
	}
	for name, tt := range tests {
		for _, policy := range Policies() {
			t.Run(name+"/"+string(policy), func(t *testing.T) {
				h, zones := newZoneHarness(4, policy)
				h.run(t, 200, ok)
				if tt.prepare != nil {
					tt.prepare(h)
				}
				*zones = []string{"a"}
				r := tt.request
				r.Service = service
				for range 300 {
					stale, all := h.Candidates(r, 4, 0)
					for _, s := range stale {
						if s.AvailabilityZone == "a" {
							t.Fatalf("server %s is probed", s.InstanceID)
						}
					}
					for _, k := range all {
						if s := h.servers[slices.IndexFunc(h.servers, func(s registrar.Server) bool { return s.InstanceID == k.InstanceID })]; s.AvailabilityZone == "a" {
							t.Fatalf("server %s is a candidate", k.InstanceID)
						}
					}
					c, err := h.Pick(r)
					if err != nil {
						t.Fatalf("a call is refused although two zones remain: %v", err)
					}
					if c.Server.AvailabilityZone == "a" {
						t.Fatalf("server %s is picked", c.Server.InstanceID)
					}
					h.now = h.now.Add(10 * time.Millisecond)
					c.Done(Result{Status: http.StatusOK, Latency: 10 * time.Millisecond})
				}
				*zones = nil
				h.now = h.now.Add(maxFaultyTime)
				got := 0
				for id, n := range h.run(t, 600, ok) {
					if i := slices.IndexFunc(h.servers, func(s registrar.Server) bool { return s.InstanceID == id }); h.servers[i].AvailabilityZone == "a" {
						got += n
					}
				}
				// Servers that nobody could reach need a probe first.
				if got == 0 && name != "servers that nobody could reach" {
					t.Error("the zone gets no calls after the evacuation has ended")
				}
			})
		}
	}
}

// Guards against refusals that name a wrong cause or none, or that wait, when the only servers are in evacuated zones.
func TestPickWithOnlyEvacuatedServers(t *testing.T) {
	tests := map[string]struct {
		zones   []string
		prepare func(*harness)
		request Request
		want    error
	}{
		"one zone remains":             {[]string{"a", "b"}, nil, Request{}, nil},
		"all zones":                    {[]string{"a", "b", "c"}, nil, Request{}, ErrEvacuated},
		"all zones, with candidates":   {[]string{"a", "b", "c"}, nil, Request{Candidates: []registrar.Key{{Service: service, InstanceID: "1"}}}, ErrEvacuated},
		"all zones, a deferrable call": {[]string{"a", "b", "c"}, nil, Request{Deferrable: true}, ErrEvacuated},
		"an unknown zone":              {[]string{"x"}, nil, Request{}, nil},
		"the remaining server drains": {[]string{"a", "b"}, func(h *harness) {
			h.change(func(i int, s *registrar.Server) {
				s.State = []registrar.State{registrar.Ready, registrar.Ready, registrar.Draining}[i]
			})
		}, Request{}, ErrEvacuated},
		"the remaining server is tried":       {[]string{"a", "b"}, nil, Request{Exclude: []registrar.Key{{Service: service, InstanceID: "2"}}}, ErrEvacuated},
		"all servers are tried":               {[]string{"a"}, nil, Request{Exclude: []registrar.Key{{Service: service, InstanceID: "0"}, {Service: service, InstanceID: "1"}, {Service: service, InstanceID: "2"}}}, ErrNoServer},
		"the evacuated servers drain as well": {[]string{"a", "b", "c"}, func(h *harness) { h.change(func(_ int, s *registrar.Server) { s.State = registrar.Draining }) }, Request{}, ErrNoServer},
	}
	for name, tt := range tests {
		for _, policy := range []Policy{Expected, Corrected} {
			t.Run(name+"/"+string(policy), func(t *testing.T) {
				h, zones := newZoneHarness(1, policy)
				h.run(t, 20, ok)
				if tt.prepare != nil {
					tt.prepare(h)
				}
				*zones = tt.zones
				r := tt.request
				r.Service = service
				if _, err := h.Pick(r); !errors.Is(err, tt.want) || (err == nil) != (tt.want == nil) {
					t.Errorf("error is %v, want %v", err, tt.want)
				}
			})
		}
	}
}

// Guards against a change that goes unnoticed because as many zones are evacuated as before.
func TestAnotherZoneIsEvacuated(t *testing.T) {
	h, zones := newZoneHarness(1, Expected)
	for _, list := range [][]string{{"a", "b"}, {"b", "c"}, {"a", "c"}} {
		*zones = list
		c, err := h.Pick(Request{Service: service})
		if err != nil || slices.Contains(list, c.Server.AvailabilityZone) {
			t.Fatalf("picked %+v with the error %v although %v are evacuated", c, err, list)
		}
		c.Done(Result{Status: http.StatusOK})
	}
}

// Guards against results and reports of calls in flight that are lost when their server's zone is evacuated: the server would return with calls
// that never end, or as one that doesn't drain.
func TestCallsInFlightOutlastAnEvacuation(t *testing.T) {
	for _, policy := range []Policy{Expected, Corrected} {
		t.Run(string(policy), func(t *testing.T) {
			h, zones := newZoneHarness(1, policy)
			*zones = []string{"b", "c"}
			inFlight, err := h.Pick(Request{Service: service})
			if err != nil {
				t.Fatal(err)
			}
			*zones = []string{"a"}
			other, err := h.Pick(Request{Service: service})
			if err != nil {
				t.Fatal(err)
			}
			other.Done(Result{Status: http.StatusOK})
			inFlightAt := func() (n int) {
				for _, s := range h.Stats(service) {
					if s.InstanceID == "0" {
						n = s.InFlight
					}
				}
				return n
			}
			if n := inFlightAt(); n != 1 {
				t.Errorf("%d calls in flight at the evacuated server, want 1", n)
			}
			h.Observe(inFlight.Server.Key(), sender.Load{InFlight: 5, Slots: 6})
			h.MarkDraining(&inFlight.Server)
			inFlight.Done(Result{Status: http.StatusOK})
			if n := inFlightAt(); n != 0 {
				t.Errorf("%d calls in flight at the evacuated server after the last has ended", n)
			}
			*zones = []string{"b", "c"}
			if _, err = h.Pick(Request{Service: service}); !errors.Is(err, ErrEvacuated) {
				t.Errorf("a server that drained during the evacuation gets calls after it: error %v", err)
			}
		})
	}
}
