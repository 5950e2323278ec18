package scout

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// A service whose responses carry no load reports must not be probed before every call.
func TestServiceWithoutLoadReports(t *testing.T) {
	b := []registrar.Server{{Service: "s", InstanceID: "a"}, {Service: "s", InstanceID: "b"}}
	var probed atomic.Int32
	s := New(Config{
		Candidates: func(picker.Request, int, time.Duration) ([]registrar.Server, []registrar.Key) {
			return b, []registrar.Key{b[0].Key(), b[1].Key()}
		},
		HealthPath: func(string) string { return "/h" },
		Send: func(context.Context, *sender.Request) (*sender.Response, error) {
			probed.Add(1)
			return &sender.Response{Status: 200, Body: io.NopCloser(strings.NewReader(""))}, nil
		},
	})
	for range 5 {
		s.Probe(context.Background(), picker.Request{Service: "s"})
	}
	if n := probed.Load(); n != 2 {
		t.Errorf("%d probes, want 2", n)
	}
}

func TestProbe(t *testing.T) {
	a, b := registrar.Server{Service: "s", InstanceID: "a"}, registrar.Server{Service: "s", InstanceID: "b"}
	tests := map[string]struct {
		path  string
		stale []registrar.Server
		all   []registrar.Key
		// hang and fail are the instance ids of servers that don't respond and that are unreachable.
		hang, fail string
		// probed is the number of probes, observed the servers whose load reports are recorded, returned the number of servers returned.
		probed   int
		observed []string
		returned int
	}{
		"stale candidates are probed":                       {"/h", []registrar.Server{a, b}, []registrar.Key{a.Key(), b.Key()}, "", "", 2, []string{"a", "b"}, 2},
		"fresh candidates are not probed":                   {"/h", nil, []registrar.Key{a.Key(), b.Key()}, "", "", 0, nil, 2},
		"a single candidate is not probed":                  {"/h", []registrar.Server{a}, []registrar.Key{a.Key()}, "", "", 0, nil, 1},
		"a service without a health path is not probed":     {"", []registrar.Server{a, b}, []registrar.Key{a.Key(), b.Key()}, "", "", 0, nil, 0},
		"a server that hangs is left out after the timeout": {"/h", []registrar.Server{a, b}, []registrar.Key{a.Key(), b.Key()}, "a", "", 2, []string{"b"}, 1},
		"an unreachable server is left out":                 {"/h", []registrar.Server{a, b}, []registrar.Key{a.Key(), b.Key()}, "", "b", 2, []string{"a"}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			probed, observed := 0, make(map[string]bool)
			s := New(Config{
				Candidates: func(picker.Request, int, time.Duration) ([]registrar.Server, []registrar.Key) {
					return tt.stale, tt.all
				},
				HealthPath: func(string) string { return tt.path },
				Send: func(ctx context.Context, r *sender.Request) (*sender.Response, error) {
					mu.Lock()
					probed++
					mu.Unlock()
					if !r.Probe || r.Path != tt.path {
						t.Errorf("sent %+v", r)
					}
					switch r.Server.InstanceID {
					case tt.hang:
						<-ctx.Done()
						return nil, ctx.Err()
					case tt.fail:
						return nil, &sender.Error{Phase: sender.Connecting, Unreachable: true, Err: errors.New("refused")}
					}
					return &sender.Response{Load: &sender.Load{Slots: 6}, Body: io.NopCloser(strings.NewReader(""))}, nil
				},
				OnUnreachable: func(server *registrar.Server) {
					if server.InstanceID != tt.fail {
						t.Errorf("OnUnreachable called with %s", server.InstanceID)
					}
				},
				Observe: func(server *registrar.Server, _ sender.Load) {
					mu.Lock()
					defer mu.Unlock()
					observed[server.InstanceID] = true
				},
			})
			begin := time.Now()
			got := s.Probe(context.Background(), picker.Request{Service: "s"})
			if took := time.Since(begin); took > 10*waitTimeout {
				t.Errorf("Probe took %v, want at most %v", took, 10*waitTimeout)
			}
			mu.Lock()
			defer mu.Unlock()
			if len(got) != tt.returned || probed != tt.probed || len(observed) != len(tt.observed) {
				t.Errorf("got %d servers, %d probes, load reports of %v; want %d, %d, %v", len(got), probed, observed, tt.returned, tt.probed, tt.observed)
			}
			for _, id := range tt.observed {
				if !observed[id] {
					t.Errorf("no load report of %s was recorded", id)
				}
			}
		})
	}
}

// A server may forget idle connections: a probe on one is then reset, which must not exclude the server.
func TestProbeOnForgottenConnectionIsRepeated(t *testing.T) {
	tests := map[string]struct {
		exchange int
		sends    int
		ok       bool
	}{
		"reset on an idle connection": {2, 2, true},
		"reset on a new connection":   {1, 1, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sends := 0
			s := New(Config{
				Send: func(_ context.Context, r *sender.Request) (*sender.Response, error) {
					sends++
					if !r.FreshConnection {
						return nil, &sender.Error{Phase: sender.Waiting, Exchange: tt.exchange, Err: errors.New("reset")}
					}
					return &sender.Response{Load: &sender.Load{Slots: 6}, Body: io.NopCloser(strings.NewReader(""))}, nil
				},
				Observe: func(*registrar.Server, sender.Load) {},
			})
			if ok := s.probeServer(context.Background(), &registrar.Server{Service: "s", InstanceID: "a"}, "/h"); ok != tt.ok || sends != tt.sends {
				t.Errorf("answered is %t after %d sends, want %t after %d", ok, sends, tt.ok, tt.sends)
			}
		})
	}
}

// With two in five servers slowed down by noisy neighbours, the servers probed first are often all slow or full. Further rounds of probes
// must find others, within the limit on extra probes.
func TestExtraRounds(t *testing.T) {
	tests := map[string]struct {
		servers int
		// suitable is the index of the only suitable server, -1 for none; calls is the number of calls.
		suitable, calls int
		late            bool
		// atLeast and atMost bound the number of probes.
		atLeast, atMost int
	}{
		"a server of the first round is suitable": {4 * probesPerRound, 0, 1, false, probesPerRound, probesPerRound},
		"a server of the last round is suitable":  {4 * probesPerRound, 4*probesPerRound - 1, 1, false, 4 * probesPerRound, 4 * probesPerRound},
		"no server is suitable":                   {4 * probesPerRound, -1, 1, false, 4 * probesPerRound, 4 * probesPerRound},
		"there are no other servers":              {probesPerRound, -1, 1, false, probesPerRound, probesPerRound},
		"a late call gets one round":              {4 * probesPerRound, -1, 1, true, probesPerRound, probesPerRound},
		"extra probes are limited over all calls": {4 * probesPerRound, -1, 100, false, 100 * probesPerRound, 100*probesPerRound + maxExtraCalls*defaultExtraPerCall + 100*defaultExtraPerCall},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var probes atomic.Int32
			var servers []registrar.Server
			for i := range tt.servers {
				servers = append(servers, registrar.Server{Service: "s", InstanceID: string(rune('a' + i))})
			}
			s := New(Config{
				Candidates: func(r picker.Request, n int, _ time.Duration) (stale []registrar.Server, all []registrar.Key) {
					for _, b := range servers {
						if len(stale) < n && !slices.Contains(r.Exclude, b.Key()) {
							stale, all = append(stale, b), append(all, b.Key())
						}
					}
					return stale, all
				},
				HealthPath: func(string) string { return "/h" },
				Send: func(context.Context, *sender.Request) (*sender.Response, error) {
					probes.Add(1)
					return &sender.Response{Load: &sender.Load{Slots: 6}, Body: io.NopCloser(strings.NewReader(""))}, nil
				},
				Observe: func(*registrar.Server, sender.Load) {},
				HasSuitable: func(_ picker.Request, probed []registrar.Key) bool {
					return tt.suitable >= 0 && slices.Contains(probed, servers[tt.suitable].Key())
				},
			})
			// As after a time without extra probes.
			s.extra = maxExtraCalls * defaultExtraPerCall
			for range tt.calls {
				s.Probe(context.Background(), picker.Request{Service: "s", Late: tt.late})
			}
			if n := int(probes.Load()); n < tt.atLeast || n > tt.atMost {
				t.Errorf("%d probes, want %d to %d", n, tt.atLeast, tt.atMost)
			}
		})
	}
}

// Where a part of the servers has gone silent, two probes often go to silent ones only. Others must be probed then rather than a call be
// sent to a server that has not responded.
func TestOtherServersAreProbedWhenNoneResponds(t *testing.T) {
	tests := map[string]struct {
		silent int
		late   bool
		want   []string
	}{
		"the first round is silent":               {2, false, []string{"c", "d"}},
		"the first round is silent for late call": {2, true, []string{"c", "d"}},
		"one of the first round responds":         {1, false, []string{"b"}},
		"all are silent":                          {4, false, []string{"a", "b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ids := []string{"a", "b", "c", "d"}
			silent := ids[:tt.silent]
			s := New(Config{
				Candidates: func(r picker.Request, n int, _ time.Duration) (stale []registrar.Server, all []registrar.Key) {
					for _, id := range ids {
						b := registrar.Server{Service: "s", InstanceID: id}
						if len(all) < n && !slices.Contains(r.Exclude, b.Key()) {
							stale, all = append(stale, b), append(all, b.Key())
						}
					}
					return stale, all
				},
				HealthPath:  func(string) string { return "/h" },
				HasSuitable: func(picker.Request, []registrar.Key) bool { return true },
				Send: func(ctx context.Context, r *sender.Request) (*sender.Response, error) {
					if slices.Contains(silent, r.Server.InstanceID) {
						<-ctx.Done()
						return nil, &sender.Error{Phase: sender.Waiting, Err: ctx.Err()}
					}
					return &sender.Response{Load: &sender.Load{Slots: 6}, Body: io.NopCloser(strings.NewReader(""))}, nil
				},
				Observe: func(*registrar.Server, sender.Load) {},
			})
			var got []string
			for _, k := range s.Probe(context.Background(), picker.Request{Service: "s", Late: tt.late}) {
				got = append(got, k.InstanceID)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// The response to a probe may come from a server that has taken over the address, whose draining says nothing about the one on the list.
func TestDrainingInResponseToProbe(t *testing.T) {
	a, b := registrar.Server{Service: "s", InstanceID: "a"}, registrar.Server{Service: "s", InstanceID: "b"}
	for name, tt := range map[string]struct {
		server string
		want   []registrar.Key
	}{
		"the server itself": {"a", []registrar.Key{a.Key()}},
		"another server":    {"z", nil},
		"nobody's name":     {"", nil},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			var got []registrar.Key
			s := New(Config{
				Candidates: func(picker.Request, int, time.Duration) ([]registrar.Server, []registrar.Key) {
					return []registrar.Server{a, b}, []registrar.Key{a.Key(), b.Key()}
				},
				HealthPath: func(string) string { return "/h" },
				Send: func(_ context.Context, r *sender.Request) (*sender.Response, error) {
					res := &sender.Response{Load: &sender.Load{Slots: 6}, Body: io.NopCloser(strings.NewReader(""))}
					if r.Server == a.Key() {
						res.Draining, res.Server = true, tt.server
					}
					return res, nil
				},
				Observe: func(*registrar.Server, sender.Load) {},
				OnDraining: func(server *registrar.Server) {
					mu.Lock()
					defer mu.Unlock()
					got = append(got, server.Key())
				},
			})
			s.Probe(context.Background(), picker.Request{Service: "s"})
			mu.Lock()
			defer mu.Unlock()
			if !slices.Equal(got, tt.want) {
				t.Errorf("OnDraining was called with %v, want %v", got, tt.want)
			}
		})
	}
}
