package scout

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// Guards against a load report, pause, limit, draining, warm-up or reachability of a server by the response of another one at its address.
func TestOnlyTheServersOwnResponseCounts(t *testing.T) {
	allButDraining := []string{"limit", "pause", "warm-up", "reachable", "load"}
	all := []string{"limit", "pause", "draining", "warm-up", "reachable", "load"}
	tests := map[string]struct {
		server string
		wrong  bool
		want   []string
	}{
		"its own":                     {"a", false, all},
		"without a name":              {"", false, allButDraining},
		"another server's":            {"z", false, []string{"unreachable"}},
		"another server's refusal":    {"z", true, []string{"unreachable"}},
		"a refusal without a name":    {"", true, []string{"unreachable"}},
		"a refusal by its own name":   {"a", true, nil},
		"a server with a longer name": {"ab", false, []string{"unreachable"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			add := func(what string) { got = append(got, what) }
			body := &trackedBody{Reader: strings.NewReader("body")}
			s := New(Config{
				Send: func(context.Context, *sender.Request) (*sender.Response, error) {
					left := time.Second
					return &sender.Response{
						Status: 200, Load: &sender.Load{Slots: 6}, RateLimit: sender.RateLimit{PerSecond: 1, Named: true}, RetryAfter: time.Second,
						Draining: true, WarmUp: &left, Server: tt.server, WrongServer: tt.wrong, Body: body,
					}, nil
				},
				OnRateLimit:   func(*registrar.Server, sender.RateLimit) { add("limit") },
				OnPause:       func(*registrar.Server, time.Duration) { add("pause") },
				OnDraining:    func(*registrar.Server) { add("draining") },
				OnWarmUp:      func(*registrar.Server, time.Duration) { add("warm-up") },
				OnReachable:   func(*registrar.Server) { add("reachable") },
				OnUnreachable: func(*registrar.Server) { add("unreachable") },
				OnUnanswered:  func(*registrar.Server) { add("unanswered") },
				Observe:       func(*registrar.Server, sender.Load) { add("load") },
			})
			ok := s.probeServer(context.Background(), &registrar.Server{Service: "s", InstanceID: "a"}, "/h")
			if !slices.Equal(got, tt.want) {
				t.Errorf("recorded %v, want %v", got, tt.want)
			}
			if want := slices.Contains(tt.want, "load"); ok != want {
				t.Errorf("answered is %t, want %t", ok, want)
			}
			if !body.ended || !body.closed {
				t.Errorf("body read to its end %t, closed %t: the connection can't be used again", body.ended, body.closed)
			}
		})
	}
}

// trackedBody records whether it was read to its end and closed. It has no WriteTo, which needs no io.EOF.
type trackedBody struct {
	io.Reader
	ended, closed bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

func (b *trackedBody) Close() error {
	b.closed = true
	return nil
}

// Guards against a service that is not probed any more because a server of another one, which reports no load, has an address of it.
func TestAnotherServersResponseWithoutLoadDoesNotStopProbes(t *testing.T) {
	b := []registrar.Server{{Service: "s", InstanceID: "a"}, {Service: "s", InstanceID: "b"}}
	var probed atomic.Int32
	s := New(Config{
		Candidates: func(picker.Request, int, time.Duration) ([]registrar.Server, []registrar.Key) {
			return b, []registrar.Key{b[0].Key(), b[1].Key()}
		},
		HealthPath: func(string) string { return "/h" },
		Send: func(_ context.Context, r *sender.Request) (*sender.Response, error) {
			probed.Add(1)
			res := &sender.Response{Status: 200, Server: "b", Load: &sender.Load{Slots: 6}, Body: io.NopCloser(strings.NewReader(""))}
			if r.Server.InstanceID == "a" {
				res.Server, res.Load = "z", nil
			}
			return res, nil
		},
		Observe: func(*registrar.Server, sender.Load) {},
	})
	for range 5 {
		s.Probe(context.Background(), picker.Request{Service: "s"})
	}
	if n := probed.Load(); n != 10 {
		t.Errorf("%d probes, want 10", n)
	}
}

// Guards against calls to a server that has ended after another one with its address responded to the probe of it, or none to that one.
func TestEndedServerWhoseAddressIsTakenOverGetsNoCalls(t *testing.T) {
	for name, marked := range map[string]bool{"known as unreachable": true, "first seen by the probe": false} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var list []registrar.Server
			for id, address := range map[string]string{"old": "a:1", "new": "a:1", "b": "b:1", "c": "c:1"} {
				list = append(list, registrar.Server{Service: "s", InstanceID: id, Address: address, Slots: 6, Connections: 100, State: registrar.Ready})
			}
			old := slices.IndexFunc(list, func(s registrar.Server) bool { return s.InstanceID == "old" })
			p := picker.New(picker.Config{Policy: picker.Expected, Now: func() time.Time { return now }, Servers: func(string) []registrar.Server { return list }})
			ended := make(chan bool, len(list))
			s := New(Config{
				Candidates: func(r picker.Request, _ int, maxAge time.Duration) ([]registrar.Server, []registrar.Key) {
					return p.Candidates(r, len(list), maxAge)
				},
				HealthPath: func(string) string { return "/h" }, Observe: p.ObserveProbe, OnUnreachable: p.MarkUnreachable, OnReachable: p.MarkReachable,
				OnProbe: func(_ string, answered bool) { ended <- answered },
				Send: func(_ context.Context, r *sender.Request) (*sender.Response, error) {
					server := r.Server.InstanceID
					if r.Address == "a:1" {
						server = "new"
					}
					return &sender.Response{Status: 200, Load: &sender.Load{Slots: 6}, Server: server, Body: io.NopCloser(strings.NewReader(""))}, nil
				},
			})
			p.Candidates(picker.Request{Service: "s"}, 2, 0)
			if marked {
				p.MarkUnreachable(&list[old])
				now = now.Add(1500 * time.Millisecond)
			}
			s.Probe(context.Background(), picker.Request{Service: "s"})
			answered := 0
			for range list {
				if <-ended {
					answered++
				}
			}
			if answered != len(list)-1 {
				t.Errorf("%d of %d probes were answered, want all but one", answered, len(list))
			}
			picks := make(map[string]int)
			for range 60 {
				c, err := p.Pick(picker.Request{Service: "s"})
				if err != nil {
					t.Fatal(err)
				}
				picks[c.Server.InstanceID]++
				c.Done(picker.Result{Canceled: true})
			}
			if picks["old"] > 0 || picks["new"] == 0 {
				t.Errorf("picks %v, want none of the ended server and some of the new one", picks)
			}
		})
	}
}
