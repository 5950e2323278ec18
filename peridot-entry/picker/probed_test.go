package picker

import (
	"errors"
	"testing"
	"time"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// Guards against the result of a probe that counts for a later incarnation of the server, which began while the probe was under way, and
// against one that doesn't count for the incarnation that was probed.
func TestProbeCountsForTheIncarnationProbed(t *testing.T) {
	const warmUp = 3 * time.Second
	isPicked := func(p *Picker) bool {
		c, err := p.Pick(Request{Service: service})
		if err == nil {
			c.Done(Result{Canceled: true})
		}
		return err == nil
	}
	state := func(p *Picker) *server { return p.group(service).servers[0] }
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		// before is recorded of the incarnation that is listed, result is that of the probe of incarnation 1.
		before, result func(p *Picker, probed *registrar.Server)
		counts         func(p *Picker) bool
	}{
		"draining": {nil, (*Picker).MarkDraining, func(p *Picker) bool { return !isPicked(p) }},
		"paused": {nil, func(p *Picker, s *registrar.Server) { p.Pause(s, time.Minute) }, func(p *Picker) bool {
			var paused *PausedError
			_, err := p.Pick(Request{Service: service})
			return errors.As(err, &paused)
		}},
		"limited": {
			nil, func(p *Picker, s *registrar.Server) {
				p.ObserveRateLimit(s, sender.RateLimit{PerSecond: 1, Named: true})
			}, func(p *Picker) bool { return !isPicked(p) },
		},
		"unreachable": {nil, (*Picker).MarkUnreachable, func(p *Picker) bool { return state(p).unreachable && state(p).unreported == 1 }},
		"unanswered":  {nil, (*Picker).MarkUnanswered, func(p *Picker) bool { return state(p).unreported == 1 }},
		"reachable":   {(*Picker).MarkUnreachable, (*Picker).MarkReachable, func(p *Picker) bool { return !state(p).unreachable }},
		"load": {
			(*Picker).MarkUnreachable, func(p *Picker, s *registrar.Server) { p.ObserveProbe(s, sender.Load{InFlight: 3, Slots: 6}) },
			func(p *Picker) bool { return !state(p).unreachable && state(p).reportedInFlight == 3 },
		},
		"cold": {
			nil, func(p *Picker, s *registrar.Server) { p.ObserveWarmUp(s, warmUp) },
			func(p *Picker) bool { return state(p).isCold(now.Add(warmUp - 1)) },
		},
	}
	for name, tt := range tests {
		for incarnation, want := range map[uint64]bool{1: true, 2: false} {
			t.Run(name+map[bool]string{true: "/the same incarnation", false: "/the next incarnation"}[want], func(t *testing.T) {
				list := func(incarnation uint64) []registrar.Server {
					return []registrar.Server{{Service: service, InstanceID: "a", Incarnation: incarnation, Slots: 6, Connections: 100, State: registrar.Ready}}
				}
				servers := list(1)
				p := New(Config{Policy: Expected, Now: func() time.Time { return now }, Servers: func(string) []registrar.Server { return servers }})
				stale, _ := p.Candidates(Request{Service: service}, 2, 0)
				if len(stale) != 1 {
					t.Fatalf("%d servers to probe, want 1", len(stale))
				}
				servers = list(incarnation)
				if !isPicked(p) {
					t.Fatal("the server gets no calls before the result of the probe")
				}
				if tt.before != nil {
					tt.before(p, &servers[0])
				}
				tt.result(p, &stale[0])
				if got := tt.counts(p); got != want {
					t.Errorf("the result counts: %t, want %t", got, want)
				}
			})
		}
	}
}
