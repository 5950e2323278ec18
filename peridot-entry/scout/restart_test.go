package scout

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// Guards against a server that gets no calls, or counts as faulty, by the result of a probe that went to its earlier incarnation.
func TestProbeUnderWayAtRestartDoesNotMarkTheNextIncarnation(t *testing.T) {
	response := func(change func(*sender.Response)) func(context.Context) (*sender.Response, error) {
		return func(context.Context) (*sender.Response, error) {
			res := &sender.Response{Status: 503, Server: "a", Body: io.NopCloser(strings.NewReader(""))}
			change(res)
			return res, nil
		}
	}
	tests := map[string]func(context.Context) (*sender.Response, error){
		"drains":  response(func(res *sender.Response) { res.Draining = true }),
		"pauses":  response(func(res *sender.Response) { res.RetryAfter = time.Minute }),
		"limited": response(func(res *sender.Response) { res.RateLimit = sender.RateLimit{Named: true} }),
		"unreachable": func(context.Context) (*sender.Response, error) {
			return nil, &sender.Error{Phase: sender.Connecting, Unreachable: true, Err: errors.New("refused")}
		},
		"taken over": response(func(res *sender.Response) { res.Server = "z" }),
		"unanswered": func(ctx context.Context) (*sender.Response, error) {
			<-ctx.Done()
			return nil, &sender.Error{Phase: sender.Waiting, Err: ctx.Err()}
		},
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			list := func(incarnation uint64) *[]registrar.Server {
				return &[]registrar.Server{{Service: "s", InstanceID: "a", Incarnation: incarnation, Slots: 6, Connections: 100, State: registrar.Ready}}
			}
			var servers atomic.Pointer[[]registrar.Server]
			servers.Store(list(1))
			p := picker.New(picker.Config{Policy: picker.Expected, Now: func() time.Time { return now }, Servers: func(string) []registrar.Server { return *servers.Load() }})
			// Faults count only after the picker's first seconds.
			now = now.Add(time.Minute)
			stale, _ := p.Candidates(picker.Request{Service: "s"}, 2, 0)
			s := New(Config{
				Send: func(ctx context.Context, _ *sender.Request) (*sender.Response, error) {
					servers.Store(list(2))
					p.Candidates(picker.Request{Service: "s"}, 2, 0)
					return send(ctx)
				},
				OnRateLimit: p.ObserveRateLimit, OnDraining: p.MarkDraining, OnPause: p.Pause, OnWarmUp: p.ObserveWarmUp,
				OnUnreachable: p.MarkUnreachable, OnReachable: p.MarkReachable, OnUnanswered: p.MarkUnanswered,
			})
			s.probeServer(context.Background(), &stale[0], "/h")
			now = now.Add(10 * time.Millisecond)
			if c, err := p.Pick(picker.Request{Service: "s"}); err != nil {
				t.Errorf("incarnation 2 gets no calls: %v", err)
			} else {
				c.Done(picker.Result{Canceled: true})
			}
			if slices.ContainsFunc(p.TakeReports(), func(r picker.ServerReport) bool { return r.Incarnation == 2 }) {
				t.Error("the fault or limit of incarnation 1 is reported of incarnation 2")
			}
		})
	}
}
