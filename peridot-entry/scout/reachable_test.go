package scout

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// An unreachable server gets no calls until it has responded to a probe. It stayed without calls for good when its responses had no load
// report, or when the service had one other server, because a single candidate is not probed.
func TestUnreachableServersAreProbed(t *testing.T) {
	gone := registrar.Server{Service: "s", InstanceID: "gone"}
	a, b := registrar.Server{Service: "s", InstanceID: "a"}, registrar.Server{Service: "s", InstanceID: "b"}
	tests := map[string]struct {
		others []registrar.Server
		load   *sender.Load
		server string
		want   bool
	}{
		"with a load report":                   {[]registrar.Server{a, b}, &sender.Load{Slots: 6}, "", true},
		"without a load report":                {[]registrar.Server{a, b}, nil, "", true},
		"with one other server":                {[]registrar.Server{a}, nil, "", true},
		"without another server":               {nil, nil, "", true},
		"another server responds in its place": {[]registrar.Server{a, b}, nil, "other", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			reached := make(chan registrar.Key, 4)
			var probed []string
			s := New(Config{
				Candidates: func(picker.Request, int, time.Duration) (stale []registrar.Server, all []registrar.Key) {
					for _, o := range tt.others {
						all = append(all, o.Key())
					}
					return append(slices.Clone(tt.others), gone), all
				},
				HealthPath: func(string) string { return "/h" },
				Send: func(_ context.Context, r *sender.Request) (*sender.Response, error) {
					mu.Lock()
					defer mu.Unlock()
					probed = append(probed, r.Server.InstanceID)
					return &sender.Response{Status: 200, Load: tt.load, Server: tt.server, WrongServer: tt.server != "", Body: io.NopCloser(strings.NewReader(""))}, nil
				},
				Observe: func(*registrar.Server, sender.Load) {},
				OnReachable: func(server *registrar.Server) {
					if server.Key() == gone.Key() {
						reached <- server.Key()
					}
				},
			})
			s.Probe(context.Background(), picker.Request{Service: "s"})
			got := false
			select {
			case <-reached:
				got = true
			case <-time.After(100 * time.Millisecond):
			}
			if got != tt.want {
				t.Errorf("OnReachable was called: %t, want %t", got, tt.want)
			}
			mu.Lock()
			defer mu.Unlock()
			if len(tt.others) == 1 && slices.Contains(probed, "a") {
				t.Error("the only candidate was probed")
			}
		})
	}
}
