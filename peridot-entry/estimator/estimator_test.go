package estimator

import (
	"testing"
	"time"
)

// Load pattern: after an outage, callers of one route come back with what is left of their time, among others that call at first.
func TestWaited(t *testing.T) {
	const ms = time.Millisecond
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		// named are the deadlines that callers have named before, in order.
		named []time.Duration
		// later is how long after them the call comes.
		later time.Duration
		left  time.Duration
		want  time.Duration
	}{
		"nothing is known":                  {nil, 0, 900 * ms, 0},
		"a first send":                      {[]time.Duration{1500 * ms, 1500 * ms}, 0, 1500 * ms, 0},
		"a caller that comes back":          {[]time.Duration{1500 * ms, 1500 * ms}, 0, 1100 * ms, 400 * ms},
		"one odd deadline is not usual":     {[]time.Duration{1500 * ms, 900 * ms}, 0, 800 * ms, 0},
		"callers with two usual deadlines":  {[]time.Duration{500 * ms, 500 * ms, 5000 * ms, 5000 * ms}, 0, 500 * ms, 0},
		"the nearest usual deadline counts": {[]time.Duration{500 * ms, 500 * ms, 5000 * ms, 5000 * ms}, 0, 450 * ms, 50 * ms},
		"more time than usual":              {[]time.Duration{500 * ms, 500 * ms}, 0, 700 * ms, 0},
		"the span before still counts":      {[]time.Duration{1500 * ms, 1500 * ms}, memory, 1400 * ms, 100 * ms},
		"older ones don't":                  {[]time.Duration{1500 * ms, 1500 * ms}, 3 * memory, 1400 * ms, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			at := now
			e := Estimator{Now: func() time.Time { return at }}
			for _, d := range tt.named {
				e.Waited("k", d)
			}
			if tt.later > 0 {
				// A span ends when the next call comes.
				at = at.Add(tt.later)
				e.Waited("k", time.Minute)
				if tt.later > memory {
					at = at.Add(memory)
					e.Waited("k", time.Minute)
				}
			}
			if got := e.Waited("k", tt.left); got != tt.want {
				t.Errorf("waited %v, want %v", got, tt.want)
			}
			if got := e.Waited("another", tt.left); got != 0 {
				t.Errorf("another kind: waited %v, want 0", got)
			}
		})
	}
}

// What callers send must not fill the memory.
func TestBounds(t *testing.T) {
	var e Estimator
	for i := range 3 * maxDeadlines {
		e.Waited("k", time.Duration(i)*time.Second)
	}
	if n := len(e.kinds["k"].recent); n > maxDeadlines {
		t.Errorf("%d deadlines are counted, want at most %d", n, maxDeadlines)
	}
	for i := range maxKinds + 10 {
		e.Waited(time.Duration(i).String(), time.Second)
	}
	if n := len(e.kinds); n > maxKinds {
		t.Errorf("%d kinds are counted, want at most %d", n, maxKinds)
	}
}
