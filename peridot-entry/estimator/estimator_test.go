package estimator

import (
	"testing"
	"time"
)

// After an outage, callers of a route retry with what is left of their deadlines, among others that send their calls for the first time.
func TestWaited(t *testing.T) {
	const ms = time.Millisecond
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		// earlier are the deadlines of earlier calls, in order.
		earlier []time.Duration
		// later is how long after them the call arrives.
		later time.Duration
		left  time.Duration
		want  time.Duration
	}{
		"no earlier calls":                  {nil, 0, 900 * ms, 0},
		"a first send":                      {[]time.Duration{1500 * ms, 1500 * ms}, 0, 1500 * ms, 0},
		"a retry":                           {[]time.Duration{1500 * ms, 1500 * ms}, 0, 1100 * ms, 400 * ms},
		"a deadline sent once is not usual": {[]time.Duration{1500 * ms, 900 * ms}, 0, 800 * ms, 0},
		"two usual deadlines, first send":   {[]time.Duration{500 * ms, 500 * ms, 5000 * ms, 5000 * ms}, 0, 500 * ms, 0},
		"two usual deadlines, retry":        {[]time.Duration{500 * ms, 500 * ms, 5000 * ms, 5000 * ms}, 0, 450 * ms, 50 * ms},
		"longer than any usual deadline":    {[]time.Duration{500 * ms, 500 * ms}, 0, 700 * ms, 0},
		"usual in the previous window":      {[]time.Duration{1500 * ms, 1500 * ms}, window, 1400 * ms, 100 * ms},
		"usual in an older window":          {[]time.Duration{1500 * ms, 1500 * ms}, 3 * window, 1400 * ms, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			at := now
			e := Estimator{Now: func() time.Time { return at }}
			for _, d := range tt.earlier {
				e.Waited("k", d)
			}
			if tt.later > 0 {
				// A window ends with the first call after it.
				at = at.Add(tt.later)
				e.Waited("k", time.Minute)
				if tt.later > window {
					at = at.Add(window)
					e.Waited("k", time.Minute)
				}
			}
			if got := e.Waited("k", tt.left); got != tt.want {
				t.Errorf("waited %v, want %v", got, tt.want)
			}
			if got := e.Waited("another", tt.left); got != 0 {
				t.Errorf("another route: waited %v, want 0", got)
			}
		})
	}
}

// Callers must not be able to exhaust the memory by what they send.
func TestBounds(t *testing.T) {
	var e Estimator
	for i := range 3 * maxDeadlines {
		e.Waited("k", time.Duration(i)*time.Second)
	}
	if n := len(e.routes["k"].current); n > maxDeadlines {
		t.Errorf("%d deadlines counted, want at most %d", n, maxDeadlines)
	}
	for i := range maxRoutes + 10 {
		e.Waited(time.Duration(i).String(), time.Second)
	}
	if n := len(e.routes); n > maxRoutes {
		t.Errorf("%d routes counted, want at most %d", n, maxRoutes)
	}
}
