package scout

import "time"

const (
	// budgetSpan is for how long a quiet time saves up questions: bursts last some seconds.
	budgetSpan = 10 * time.Second
	// startSpan is how much of that an entry has at its start, since its life before may have spent the rest: what a restart takes.
	startSpan = 500 * time.Millisecond
)

// allowance is a bucket of questions that fills with time.
type allowance struct {
	tokens float64
	filled time.Time
}

// take takes up to n tokens from a bucket that fills at rate a second.
func (a *allowance) take(n int, rate float64, now time.Time) int {
	if !a.filled.IsZero() {
		a.tokens = min(a.tokens+rate*now.Sub(a.filled).Seconds(), max(rate*budgetSpan.Seconds(), candidates))
	}
	a.filled = now
	n = min(n, int(a.tokens))
	a.tokens -= float64(n)
	return n
}

// grant returns how many of n servers of a service may be asked now.
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
	a := s.budgets[service]
	if a == nil {
		a = &allowance{tokens: rate * startSpan.Seconds()}
		s.budgets[service] = a
	}
	return a.take(n, rate, time.Now())
}
