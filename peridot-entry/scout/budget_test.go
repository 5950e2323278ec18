package scout

import (
	"testing"
	"time"
)

// When all servers are full for many seconds, every call probes for a free slot. The number of probes must stay within the budget.
func TestBudget(t *testing.T) {
	const rate = 40
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		// idle is the time without probes, wanted the number of probes that are wanted each 100 ms in the ten seconds after it.
		idle   time.Duration
		wanted int
		want   float64
	}{
		"fewer probes wanted than the budget":                        {time.Second, 2, 200},
		"more wanted than the budget, not idle before":               {0, 50, 10 * rate},
		"more wanted, idle for a second before":                      {time.Second, 50, 11 * rate},
		"more wanted, idle for longer than burstPeriod before":       {time.Hour, 50, 20 * rate},
		"the budget wanted, idle for longer than burstPeriod before": {time.Hour, 4, 400},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := &tokenBucket{}
			at := now
			b.take(0, rate, at)
			at = at.Add(tt.idle)
			got := 0
			for range 100 {
				got += b.take(tt.wanted, rate, at)
				at = at.Add(100 * time.Millisecond)
			}
			if d := float64(got) - tt.want; d > 1 || d < -rate*0.1-1 {
				t.Errorf("%d probes in ten seconds, want %.0f", got, tt.want)
			}
		})
	}
}

// Each service has a budget of its own, and a service without one has no limit.
func TestGrant(t *testing.T) {
	s := New(Config{Budget: func(service string) float64 { return map[string]float64{"a": 8, "b": 2}[service] }})
	tests := map[string]struct {
		service string
		want    int
	}{
		"half a second at 8 per second": {"a", 4},
		"half a second at 2 per second": {"b", 1},
		"no budget":                     {"c", 100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := s.grant(tt.service, 100); got != tt.want {
				t.Errorf("%d of 100 probes granted, want %d", got, tt.want)
			}
		})
	}
}
