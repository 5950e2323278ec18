package scout

import (
	"testing"
	"time"
)

// Load pattern: servers are full for many seconds and every call looks for a free slot; questions stay within what was agreed.
func TestBudget(t *testing.T) {
	const rate = 40
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		// quiet is for how long nothing was asked, wanted how many are wanted each 100 ms for ten seconds after it.
		quiet  time.Duration
		wanted int
		want   float64
	}{
		"fewer are wanted than agreed":       {time.Second, 2, 200},
		"no quiet time, more than agreed":    {0, 50, 10 * rate},
		"a quiet second before more":         {time.Second, 50, 11 * rate},
		"what was saved runs out by itself":  {time.Hour, 50, 20 * rate},
		"a rate that stands for hours of it": {time.Hour, 4, 400},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := &allowance{}
			at := now
			a.take(0, rate, at)
			at = at.Add(tt.quiet)
			got := 0
			for range 100 {
				got += a.take(tt.wanted, rate, at)
				at = at.Add(100 * time.Millisecond)
			}
			if d := float64(got) - tt.want; d > 1 || d < -rate*0.1-1 {
				t.Errorf("%d questions in ten seconds, want %.0f", got, tt.want)
			}
		})
	}
}

// An entry's share is granted by service, and a service without a bound has none.
func TestGrant(t *testing.T) {
	s := New(Config{Budget: func(service string) float64 { return map[string]float64{"a": 8, "b": 2}[service] }})
	tests := map[string]struct {
		service string
		want    int
	}{
		"half a second of eight":      {"a", 4},
		"half a second of two":        {"b", 1},
		"one that nobody has bounded": {"c", 100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := s.grant(tt.service, 100); got != tt.want {
				t.Errorf("%d of 100 are granted, want %d", got, tt.want)
			}
		})
	}
}
