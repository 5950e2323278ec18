package scout

import "time"

const (
	// burstPeriod is the period whose unused probes a budget saves up; bursts last some seconds.
	burstPeriod = 10 * time.Second
	// initialPeriod is the period whose probes a budget starts with. It is as long as a restart takes, because the process before the restart
	// may have used up the rest.
	initialPeriod = 500 * time.Millisecond
)

// tokenBucket limits the rate of probes; each takes one token.
type tokenBucket struct {
	tokens   float64
	filledAt time.Time
}

// take takes up to n tokens from the bucket, which fills at the given rate per second, and returns how many it took.
func (b *tokenBucket) take(n int, rate float64, now time.Time) int {
	if !b.filledAt.IsZero() {
		b.tokens = min(b.tokens+rate*now.Sub(b.filledAt).Seconds(), max(rate*burstPeriod.Seconds(), probesPerRound))
	}
	b.filledAt = now
	n = min(n, int(b.tokens))
	b.tokens -= float64(n)
	return n
}

// TakeProbe reports whether the probe budget of a service allows a request that isn't sent by the Scout, and counts it.
func (s *Scout) TakeProbe(service string) bool { return s.grant(service, 1) == 1 }

// grant returns how many of n probes of a service its budget allows now.
func (s *Scout) grant(service string, n int) int {
	if s.cfg.Budget == nil {
		return n
	}
	rate := s.cfg.Budget(service)
	if rate <= 0 {
		return n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[service]
	if b == nil {
		b = &tokenBucket{tokens: rate * initialPeriod.Seconds()}
		s.budgets[service] = b
	}
	return b.take(n, rate, time.Now())
}
