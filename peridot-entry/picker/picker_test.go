package picker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

const service = "stock-lookup"

// harness is a Picker with ready servers and a fake clock.
type harness struct {
	*Picker
	now     time.Time
	servers []registrar.Server
	// concurrency is the number of calls that run keeps in flight.
	concurrency int
}

func newHarness(n int, p Policy) *harness {
	h := &harness{now: time.Unix(1000, 0), concurrency: 1}
	for i := range n {
		h.servers = append(h.servers, registrar.Server{
			Service: service, InstanceID: fmt.Sprint(i), Incarnation: 1, AvailabilityZone: "a",
			Slots: 6, Connections: 250, State: registrar.Ready, ReadySince: h.now.Add(-time.Hour),
		})
	}
	h.Picker = New(Config{
		AvailabilityZone: "a",
		Servers:          func(string) []registrar.Server { return h.servers },
		Policy:           p,
		Now:              func() time.Time { return h.now },
	})
	return h
}

// change replaces the list of servers by a changed copy, as the registrar does.
func (h *harness) change(f func(i int, s *registrar.Server)) {
	h.servers = append([]registrar.Server{}, h.servers...)
	for i := range h.servers {
		f(i, &h.servers[i])
	}
}

// run makes n calls, one per millisecond, and returns the number of calls by server.
func (h *harness) run(t *testing.T, n int, respond func(id string) Result) map[string]int {
	t.Helper()
	got := make(map[string]int)
	var inFlight []*Choice
	for range n {
		c, err := h.Pick(Request{Service: service})
		if err != nil {
			t.Fatal(err)
		}
		got[c.Server.InstanceID]++
		h.now = h.now.Add(time.Millisecond)
		if inFlight = append(inFlight, c); len(inFlight) < h.concurrency {
			continue
		}
		c, inFlight = inFlight[0], inFlight[1:]
		r := respond(c.Server.InstanceID)
		if r.Latency == 0 {
			r.Latency = 10 * time.Millisecond
		}
		c.Done(r)
	}
	for _, c := range inFlight {
		c.Done(Result{Canceled: true})
	}
	return got
}

func ok(string) Result { return Result{Status: http.StatusOK} }

func TestDistribution(t *testing.T) {
	const calls = 2000
	failing := func(ids ...string) func(string) Result {
		return func(id string) Result {
			for _, f := range ids {
				if f == id {
					return Result{Status: http.StatusInternalServerError, Latency: 100 * time.Microsecond}
				}
			}
			return ok(id)
		}
	}
	all := []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"}
	tests := map[string]struct {
		prepare func(*harness)
		respond func(string) Result
		// atLeast and atMost bound the number of calls that server 0 gets.
		atLeast, atMost int
	}{
		"equal servers": {respond: ok, atLeast: calls / 20, atMost: calls / 5},
		"fails fast":    {respond: failing("0"), atLeast: 1, atMost: calls / 50},
		"all fail":      {respond: failing(all...), atLeast: calls / 20, atMost: calls / 5},
		"high latency": {respond: func(id string) Result {
			r := ok(id)
			r.Latency = time.Duration(10+100*boolToInt(id == "0")) * time.Millisecond
			return r
		}, atLeast: 1, atMost: calls / 20},
		"reports no load": {respond: func(id string) Result {
			return Result{Status: 200, Load: &sender.Load{InFlight: 5 * boolToInt(id != "0"), Slots: 6}}
		}, atLeast: 1, atMost: calls},
		"reports too much load and still gets calls": {respond: func(id string) Result {
			return Result{Status: 200, Load: &sender.Load{InFlight: 1 + 1000*boolToInt(id == "0"), Slots: 6}}
		}, atLeast: 1, atMost: calls / 10},
		"just ready": {
			prepare: func(h *harness) {
				h.change(func(i int, s *registrar.Server) {
					if i == 0 {
						s.ReadySince = h.now
					}
				})
			},
			respond: ok, atLeast: 0, atMost: calls / 20,
		},
		"all just ready": {
			prepare: func(h *harness) { h.change(func(_ int, s *registrar.Server) { s.ReadySince = h.now }) },
			respond: ok, atLeast: calls / 20, atMost: calls / 5,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(10, Corrected)
			h.concurrency = 30
			if tt.prepare != nil {
				tt.prepare(h)
			}
			if n := h.run(t, calls, tt.respond)["0"]; n < tt.atLeast || n > tt.atMost {
				t.Errorf("server 0 got %d of %d calls, want %d to %d", n, calls, tt.atLeast, tt.atMost)
			}
		})
	}
}

// A server that stops responding reports neither errors nor load. Only the age of its calls in flight shows that it hangs, and it must
// get no more calls.
func TestHangingServer(t *testing.T) {
	h := newHarness(10, Corrected)
	h.run(t, 200, ok)
	hanging := 0
	for range 500 {
		c, err := h.Pick(Request{Service: service})
		if err != nil {
			t.Fatal(err)
		}
		h.now = h.now.Add(5 * time.Millisecond)
		if c.Server.InstanceID == "0" {
			hanging++
			continue
		}
		c.Done(Result{Status: http.StatusOK, Latency: 10 * time.Millisecond})
	}
	if hanging > 3 {
		t.Errorf("%d of 500 calls went to the hanging server, want at most 3", hanging)
	}
}

// No more than maxEjectedShare of the servers are ejected, and an ejected server that has recovered gets calls again.
func TestEjection(t *testing.T) {
	h := newHarness(10, Corrected)
	h.concurrency = 40
	failing := map[string]bool{"0": true, "1": true, "2": true, "3": true, "4": true}
	h.run(t, 2000, func(id string) Result {
		if failing[id] {
			return Result{Err: errors.New("reset")}
		}
		return ok(id)
	})
	ejected := 0
	for _, s := range h.group(service).servers {
		if s.isEjected() {
			ejected++
		}
	}
	if ejected == 0 || ejected > 3 {
		t.Errorf("%d of 10 servers ejected, want 1 to 3", ejected)
	}
	h.now = h.now.Add(30 * time.Second)
	clear(failing)
	got := h.run(t, 2000, ok)
	for id := range 5 {
		if got[fmt.Sprint(id)] < 100 {
			t.Errorf("server %d got %d of 2000 calls after its recovery, want at least 100", id, got[fmt.Sprint(id)])
		}
	}
}

// An at-most-once call must not be a trial of an ejected server that is due for one.
func TestNoTrial(t *testing.T) {
	h := newHarness(3, Corrected)
	h.concurrency = 10
	h.run(t, 500, func(id string) Result {
		if id == "0" {
			return Result{Err: errors.New("reset")}
		}
		return ok(id)
	})
	h.now = h.now.Add(time.Minute)
	for range 50 {
		c, err := h.Pick(Request{Service: service, NoTrial: true})
		if err != nil || c.Server.InstanceID == "0" {
			t.Fatalf("Pick() = %v, %v, want a server that is not ejected", c, err)
		}
		c.Done(Result{Status: http.StatusOK, Latency: time.Millisecond})
	}
}

// A trial call that was canceled because a hedge got its response first must not restore the server: it stays ejected until the next trial.
func TestCanceledTrial(t *testing.T) {
	h := newHarness(3, Corrected)
	h.concurrency = 30
	h.run(t, 500, func(id string) Result {
		if id == "0" {
			return Result{Err: errors.New("reset")}
		}
		return ok(id)
	})
	h.now = h.now.Add(time.Minute)
	trials := 0
	for range 50 {
		c, err := h.Pick(Request{Service: service})
		if err != nil {
			t.Fatal(err)
		}
		h.now = h.now.Add(time.Millisecond)
		r := Result{Status: http.StatusOK, Latency: time.Millisecond}
		if c.Server.InstanceID == "0" {
			trials++
			r = Result{Canceled: true, Latency: time.Second}
		}
		c.Done(r)
	}
	if trials != 1 {
		t.Errorf("%d trial calls in 50 ms, want 1", trials)
	}
}

func TestPickErrors(t *testing.T) {
	h := newHarness(2, Corrected)
	both := []registrar.Key{{Service: service, InstanceID: "0"}, {Service: service, InstanceID: "1"}}
	if _, err := h.Pick(Request{Service: service, Exclude: both}); !errors.Is(err, ErrNoServer) {
		t.Errorf("all servers excluded: got error %v, want %v", err, ErrNoServer)
	}
	h.cfg.MaxInFlight = func(int) int { return 2 }
	h.change(func(int, *registrar.Server) {})
	for range 4 {
		if _, err := h.Pick(Request{Service: service}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := h.Pick(Request{Service: service}); !errors.Is(err, ErrFull) {
		t.Errorf("all servers at MaxInFlight: got error %v, want %v", err, ErrFull)
	}
	h = newHarness(1, Corrected)
	for range 5 {
		if _, err := h.Pick(Request{Service: service}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := h.Pick(Request{Service: service, Deferrable: true}); !errors.Is(err, ErrFull) {
		t.Errorf("deferrable call without free slots: got error %v, want %v", err, ErrFull)
	}
}

// Each of 16 entries prefers a few servers, and nearly every server is preferred by some entry.
func TestPreferredServers(t *testing.T) {
	for name, tt := range map[string]struct{ servers, preferred int }{"10 servers": {10, 3}, "50 servers": {50, 10}, "2 servers": {2, 2}} {
		t.Run(name, func(t *testing.T) {
			preferredBy := make(map[string]int)
			for entry := range 16 {
				h := newHarness(tt.servers, Corrected)
				h.cfg.InstanceID = fmt.Sprint("entry-", entry)
				h.run(t, 1, ok)
				n := 0
				for _, s := range h.group(service).servers {
					if s.preferred {
						n++
						preferredBy[s.announced.InstanceID]++
					}
				}
				if n != tt.preferred {
					t.Errorf("entry %d prefers %d servers, want %d", entry, n, tt.preferred)
				}
			}
			if 10*len(preferredBy) < 9*tt.servers {
				t.Errorf("%d of %d servers are preferred by an entry, want at least 9 in 10", len(preferredBy), tt.servers)
			}
		})
	}
}

// Calls in flight are counted exactly when attempts start and end concurrently with any results.
func TestConcurrentCounts(t *testing.T) {
	for _, p := range Policies() {
		h := newHarness(10, p)
		h.cfg.Now = time.Now
		var wg sync.WaitGroup
		for seed := range uint64(8) {
			wg.Go(func() {
				rnd := rand.New(rand.NewPCG(seed, 7))
				var inFlight []*Choice
				for range 2000 {
					if c, err := h.Pick(Request{Service: service, NoTrial: rnd.IntN(2) == 0}); err == nil {
						inFlight = append(inFlight, c)
					}
					for len(inFlight) > rnd.IntN(6) {
						k := rnd.IntN(len(inFlight))
						inFlight[k].Done(Result{Status: 200 + 300*rnd.IntN(2), Shed: rnd.IntN(9) == 0, Canceled: rnd.IntN(9) == 0, Latency: time.Millisecond})
						inFlight = append(inFlight[:k], inFlight[k+1:]...)
					}
				}
				for _, c := range inFlight {
					c.Done(Result{Canceled: true})
				}
			})
		}
		wg.Wait()
		for _, s := range h.group(service).servers {
			if s.inFlight != 0 || s.first != nil || s.last != nil || s.trials != 0 {
				t.Errorf("%s: server %s has %d calls and %d trials in flight after all ended", p, s.announced.InstanceID, s.inFlight, s.trials)
			}
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 50} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			h := newHarness(n, Corrected)
			h.cfg.Now = time.Now
			b.ReportAllocs()
			for b.Loop() {
				c, err := h.Pick(Request{Service: service})
				if err != nil {
					b.Fatal(err)
				}
				c.Done(Result{Status: http.StatusOK, Latency: time.Millisecond})
			}
		})
	}
}
