package picker

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/registrar"
)

// A server that asks for a pause must get nothing until its end, neither calls nor probes.
func TestPausedServerGetsNothing(t *testing.T) {
	tests := map[string]struct {
		// pauses are the pauses that the server asks for, one second apart.
		pauses []time.Duration
		// end is the time after the first request at which the last pause ends.
		end time.Duration
	}{
		"one":                           {[]time.Duration{3 * time.Second}, 3 * time.Second},
		"a fraction of a second":        {[]time.Duration{300 * time.Millisecond}, 300 * time.Millisecond},
		"a longer and then a shorter":   {[]time.Duration{5 * time.Second, time.Second}, 5 * time.Second},
		"a shorter and then a longer":   {[]time.Duration{2 * time.Second, 5 * time.Second}, 6 * time.Second},
		"far too long":                  {[]time.Duration{maxPause * 9}, maxPause},
		"in the response to a late one": {[]time.Duration{time.Second, time.Second}, 2 * time.Second},
	}
	for name, tt := range tests {
		for _, policy := range []Policy{Expected, Corrected} {
			t.Run(fmt.Sprintf("%s/%s", name, policy), func(t *testing.T) {
				begin := time.Unix(1000, 0)
				now, servers := begin, []registrar.Server{{Service: "s", InstanceID: "a", Slots: 6, Connections: 100, State: registrar.Ready}}
				p := New(Config{Policy: policy, Now: func() time.Time { return now }, Servers: func(string) []registrar.Server { return servers }})
				c, err := p.Pick(Request{Service: "s"})
				if err != nil {
					t.Fatal(err)
				}
				for i, d := range tt.pauses {
					now = begin.Add(time.Duration(i) * time.Second)
					c.Pause(d)
				}
				c.Done(Result{Status: 503})
				latest := tt.end + min(tt.end, returnSpread)
				for ; now.Sub(begin) < latest+returnSpread; now = now.Add(latest / 50) {
					if now.Sub(begin) < tt.end {
						// A change of the list must not end the pause.
						servers = []registrar.Server{servers[0]}
					}
					c, err := p.Pick(Request{Service: "s"})
					stale, all := p.Candidates(Request{Service: "s"}, 2, time.Millisecond)
					var paused *PausedError
					isPaused := errors.As(err, &paused)
					if now.Sub(begin) < tt.end && (!isPaused || len(stale)+len(all) > 0) {
						t.Fatalf("after %v of %v: the error is %v, %d candidates", now.Sub(begin), tt.end, err, len(all))
					}
					if isPaused && (paused.RetryAfter <= 0 || paused.RetryAfter > latest) {
						t.Errorf("RetryAfter is %v", paused.RetryAfter)
					}
					if now.Sub(begin) >= latest && err != nil {
						t.Errorf("after %v: %v", now.Sub(begin), err)
					}
					if err == nil {
						c.Done(Result{Status: 200})
					}
				}
			})
		}
	}
}

// When a pause ends, an entry must not send the server all waiting calls at once.
func TestCallsReturnOneByOneAfterPause(t *testing.T) {
	now := time.Unix(1000, 0)
	servers := []registrar.Server{{Service: "s", InstanceID: "a", Slots: 6, Connections: 100, State: registrar.Ready}}
	p := New(Config{Policy: Expected, Now: func() time.Time { return now }, Servers: func(string) []registrar.Server { return servers }})
	c, err := p.Pick(Request{Service: "s"})
	if err != nil {
		t.Fatal(err)
	}
	c.Pause(2 * time.Second)
	c.Done(Result{Status: 503})
	for err = errors.New("paused"); err != nil; _, err = p.Pick(Request{Service: "s"}) {
		if now = now.Add(50 * time.Millisecond); now.Sub(time.Unix(1000, 0)) > 2*time.Second+returnSpread {
			t.Fatal(err)
		}
	}
	if _, err = p.Pick(Request{Service: "s"}); !errors.Is(err, ErrFull) {
		t.Errorf("the error of a second call right after the pause is %v, want ErrFull", err)
	}
	now = now.Add(returnSpread)
	if _, err = p.Pick(Request{Service: "s"}); err != nil {
		t.Errorf("the error of a second call later is %v", err)
	}
}
