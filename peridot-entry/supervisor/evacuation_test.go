package supervisor

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotswitch.example/common/admitter"
	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/peridot-entry/follower"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/scout"
	"peridotswitch.example/peridot-entry/sender"
)

// newEvacuations returns evacuations with the servers 0 to 5, which are in the zones a and b in turn, and the list of evacuated zones.
func newEvacuations() (e evacuations, reg *registrar.Registrar, zones *atomic.Pointer[[]string]) {
	reg = registrar.New(registrar.Config{})
	for i := range 6 {
		reg.Announce(registrar.Server{
			Service: "s", InstanceID: fmt.Sprint(i), Incarnation: 1, Address: "127.0.0.1:1", AvailabilityZone: string(rune('a' + i%2)),
			Slots: 4, Connections: 100, State: registrar.Ready,
		})
	}
	zones = &atomic.Pointer[[]string]{}
	zones.Store(&[]string{})
	return evacuations{zones: func() []string { return *zones.Load() }, find: reg.Find}, reg, zones
}

func key(id int) registrar.Key { return registrar.Key{Service: "s", InstanceID: fmt.Sprint(id)} }

// Guards against calls that were picked before their server's zone was evacuated and are sent after it, and against a guard that stops others.
func TestGuardStopsWhatWasPickedBefore(t *testing.T) {
	e, _, zones := newEvacuations()
	sent := 0
	send := e.guard(func(context.Context, *sender.Request) (*sender.Response, error) {
		sent++
		return &sender.Response{}, nil
	})
	tests := map[string]struct {
		zones []string
		key   registrar.Key
		want  error
	}{
		"no evacuation":              {nil, key(0), nil},
		"another zone":               {[]string{"b", "c"}, key(0), nil},
		"its zone":                   {[]string{"a"}, key(0), picker.ErrEvacuated},
		"a server that isn't listed": {[]string{"a"}, key(9), nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			zones.Store(&tt.zones)
			before := sent
			_, err := send(context.Background(), &sender.Request{Server: tt.key})
			if !errors.Is(err, tt.want) || (sent > before) != (tt.want == nil) {
				t.Errorf("error is %v after %d sends, want %v", err, sent-before, tt.want)
			}
		})
	}
	zones.Store(&[]string{"a"})
	if left := e.without([]registrar.Server{{AvailabilityZone: "a"}, {AvailabilityZone: "b"}}); len(left) != 1 || left[0].AvailabilityZone != "b" {
		t.Errorf("%v is left of the servers", left)
	}
}

// Guards against probes of servers in an evacuated zone, before calls and of servers that could not be reached, also if the zone is evacuated
// while a probe begins.
func TestScoutProbesNothingInAnEvacuatedZone(t *testing.T) {
	e, reg, zones := newEvacuations()
	p := picker.New(picker.Config{Policy: picker.Expected, Servers: reg.Servers, EvacuatedZones: e.zones})
	var probed, wrong atomic.Int32
	send := e.guard(func(_ context.Context, req *sender.Request) (*sender.Response, error) {
		probed.Add(1)
		if e.has(req.Server) {
			wrong.Add(1)
		}
		return &sender.Response{Status: 200, Load: &sender.Load{Slots: 4}, Body: io.NopCloser(strings.NewReader(""))}, nil
	})
	during := func() {}
	s := scout.New(scout.Config{
		Candidates: func(r picker.Request, n int, _ time.Duration) ([]registrar.Server, []registrar.Key) {
			stale, all := p.Candidates(r, n, -1)
			during()
			return stale, all
		},
		HealthPath: func(string) string { return "/h" }, Send: send, Observe: p.ObserveProbe, HasSuitable: p.HasSuitable,
		OnUnreachable: p.MarkUnreachable, OnUnanswered: p.MarkUnanswered,
	})
	r := picker.Request{Service: "s"}
	s.Probe(context.Background(), r)
	for _, b := range reg.Servers("s") {
		p.MarkUnreachable(&b)
	}
	zones.Store(&[]string{"a"})
	for range 100 {
		s.Probe(context.Background(), r)
	}
	// The zone that was not evacuated yet when the candidates were chosen.
	during = func() { zones.Store(&[]string{"b"}) }
	for range 100 {
		zones.Store(&[]string{"a"})
		s.Probe(context.Background(), r)
	}
	if n := wrong.Load(); n > 0 || probed.Load() == 0 {
		t.Errorf("%d of %d probes went to an evacuated zone", n, probed.Load())
	}
	zones.Store(&[]string{"a", "b"})
	during = func() {}
	before := probed.Load()
	if got := s.Probe(context.Background(), r); len(got) > 0 || probed.Load() > before {
		t.Errorf("the servers %v are candidates although all zones are evacuated, after %d probes", got, probed.Load()-before)
	}
}

// Guards against markers behind requests that are in flight at servers of an evacuated zone, and against a probe budget that the remaining
// servers would have to bear for those that get no probes.
func TestRoutedMarksAndProbesWithoutEvacuatedServers(t *testing.T) {
	e, reg, zones := newEvacuations()
	stats, err := newCallStats(zerolog.Nop(), nil, admitter.OrDefault(nil, zerolog.Nop()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stats.close() }()
	f := follower.New(follower.Config{
		InstanceID: "e1", Control: []string{"127.0.0.1:1"}, ServeUnconfirmed: true, OnError: func(error) {},
		NewWatchRequest: func() *delivererpb.WatchRequest { return &delivererpb.WatchRequest{} },
	})
	defer f.Close()
	s := &Routed{cfg: RoutedConfig{ProbesPerServer: 10}, evacuations: e, registrar: reg, stats: stats, scout: scout.New(scout.Config{}), follower: f}
	all := s.probeBudget("s")
	if !s.mayMark(key(0)) || !s.mayMark(key(1)) {
		t.Error("no markers are sent although nothing is evacuated")
	}
	zones.Store(&[]string{"a"})
	if s.mayMark(key(0)) || !s.mayMark(key(1)) {
		t.Error("a marker goes to the evacuated zone, or none to the other one")
	}
	if got := s.probeBudget("s"); got != all/2 {
		t.Errorf("the probe budget is %v with half of the servers, want %v", got, all/2)
	}
}

// Guards against log lines that grow with the list.
func TestLoggedZonesAreBounded(t *testing.T) {
	var out bytes.Buffer
	var zones []string
	for i := range 100 {
		zones = append(zones, fmt.Sprintf("zone-%d", i))
	}
	logEvacuated(zerolog.New(&out), zones)
	if text := out.String(); strings.Count(text, "zone-") != maxLoggedZones || !strings.Contains(text, `"evacuated":100`) || strings.Count(text, "\n") != 1 {
		t.Errorf("the log has %q", text)
	}
}
