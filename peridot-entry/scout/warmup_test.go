package scout

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// A server that says in its response to a probe that it is cold again must count as cold, and one that has taken over its address must not.
func TestWarmUpInResponseToProbe(t *testing.T) {
	const left = 2 * time.Second
	a, b := registrar.Server{Service: "s", InstanceID: "a"}, registrar.Server{Service: "s", InstanceID: "b"}
	tests := map[string]struct {
		server      string
		wrongServer bool
		want        int
	}{
		"the server itself":  {"a", false, 1},
		"without a name":     {"", false, 1},
		"another server":     {"z", false, 0},
		"at a wrong address": {"", true, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			heard := make(chan time.Duration, 2)
			s := New(Config{
				Candidates: func(picker.Request, int, time.Duration) ([]registrar.Server, []registrar.Key) {
					return []registrar.Server{a, b}, []registrar.Key{a.Key(), b.Key()}
				},
				HealthPath: func(string) string { return "/h" },
				Send: func(_ context.Context, r *sender.Request) (*sender.Response, error) {
					res := &sender.Response{Load: &sender.Load{Slots: 6}, Body: io.NopCloser(strings.NewReader(""))}
					if r.Server == a.Key() {
						d := left
						res.WarmUp, res.Server, res.WrongServer = &d, tt.server, tt.wrongServer
					}
					return res, nil
				},
				Observe: func(*registrar.Server, sender.Load) {},
				OnWarmUp: func(server *registrar.Server, d time.Duration) {
					if server.Key() != a.Key() {
						t.Errorf("OnWarmUp was called with %s", server.InstanceID)
					}
					heard <- d
				},
			})
			s.Probe(context.Background(), picker.Request{Service: "s"})
			if len(heard) != tt.want {
				t.Fatalf("OnWarmUp was called %d times, want %d", len(heard), tt.want)
			}
			if tt.want > 0 && <-heard != left {
				t.Errorf("OnWarmUp was called with another time than %v", left)
			}
		})
	}
}
