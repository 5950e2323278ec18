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

// Servers whose answers tell no load are not asked before every call.
func TestMuteServices(t *testing.T) {
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
		s.Ask(context.Background(), picker.Request{Service: "s"})
	}
	if n := probed.Load(); n != 2 {
		t.Errorf("%d probes, want 2", n)
	}
}

func TestAsk(t *testing.T) {
	a, b := registrar.Server{Service: "s", InstanceID: "a"}, registrar.Server{Service: "s", InstanceID: "b"}
	tests := map[string]struct {
		path  string
		stale []registrar.Server
		all   []registrar.Key
		// hang and fail name servers that answer late or not at all.
		hang, fail string
		probed     int
		observed   []string
		returned   int
	}{
		"stale candidates are asked":                      {"/h", []registrar.Server{a, b}, []registrar.Key{a.Key(), b.Key()}, "", "", 2, []string{"a", "b"}, 2},
		"fresh ones are not":                              {"/h", nil, []registrar.Key{a.Key(), b.Key()}, "", "", 0, nil, 2},
		"a single server has no rival":                    {"/h", []registrar.Server{a}, []registrar.Key{a.Key()}, "", "", 0, nil, 1},
		"nobody is asked where nothing is told":           {"", []registrar.Server{a, b}, []registrar.Key{a.Key(), b.Key()}, "", "", 0, nil, 0},
		"a silent server holds nobody up and is left out": {"/h", []registrar.Server{a, b}, []registrar.Key{a.Key(), b.Key()}, "a", "", 2, []string{"b"}, 1},
		"a failing one tells nothing":                     {"/h", []registrar.Server{a, b}, []registrar.Key{a.Key(), b.Key()}, "", "b", 2, []string{"a"}, 1},
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
				Missed: func(k registrar.Key) {
					if k.InstanceID != tt.fail {
						t.Errorf("%s is said to be unreachable", k.InstanceID)
					}
				},
				Observe: func(k registrar.Key, _ sender.Load) {
					mu.Lock()
					defer mu.Unlock()
					observed[k.InstanceID] = true
				},
			})
			began := time.Now()
			got := s.Ask(context.Background(), picker.Request{Service: "s"})
			if took := time.Since(began); took > 10*patience {
				t.Errorf("a call waited %v", took)
			}
			mu.Lock()
			defer mu.Unlock()
			if len(got) != tt.returned || probed != tt.probed || len(observed) != len(tt.observed) {
				t.Errorf("%d candidates, %d probed, observed %v; want %d, %d, %v", len(got), probed, observed, tt.returned, tt.probed, tt.observed)
			}
			for _, id := range tt.observed {
				if !observed[id] {
					t.Errorf("no reading of %s was taken", id)
				}
			}
		})
	}
}

// Load pattern: neighbours slow two in five servers, and those that three questions find are often slow or full together.
func TestOthersAreAsked(t *testing.T) {
	tests := map[string]struct {
		servers int
		// good is the server that suits, late the calls' lateness, calls how many come.
		good, calls int
		late        bool
		// asked are how many servers are asked at least and at most.
		least, most int
	}{
		"the first ones suit":                      {4 * candidates, 0, 1, false, candidates, candidates},
		"one of the last ones does":                {4 * candidates, 4*candidates - 1, 1, false, 4 * candidates, 4 * candidates},
		"none does":                                {4 * candidates, -1, 1, false, 4 * candidates, 4 * candidates},
		"there are no others":                      {candidates, -1, 1, false, candidates, candidates},
		"late calls make do":                       {4 * candidates, -1, 1, true, candidates, candidates},
		"there is a bound over all calls together": {4 * candidates, -1, 100, false, 100 * candidates, 100*candidates + maxExtra + 100*extraShare},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var asked atomic.Int32
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
					asked.Add(1)
					return &sender.Response{Load: &sender.Load{Slots: 6}, Body: io.NopCloser(strings.NewReader(""))}, nil
				},
				Observe: func(registrar.Key, sender.Load) {},
				Suits: func(_ picker.Request, among []registrar.Key) bool {
					return tt.good >= 0 && slices.Contains(among, servers[tt.good].Key())
				},
			})
			// A quiet time saves up for the first call.
			s.extra = maxExtra
			for range tt.calls {
				s.Ask(context.Background(), picker.Request{Service: "s", Late: tt.late})
			}
			if n := int(asked.Load()); n < tt.least || n > tt.most {
				t.Errorf("%d servers were asked, want %d to %d", n, tt.least, tt.most)
			}
		})
	}
}
