package picker

import (
	"time"

	"peridotswitch.example/peridot-entry/registrar"
)

const (
	// maxPause bounds the pause that a server may ask for.
	maxPause = 10 * time.Minute
	// returnSpread is the time after a pause within which entries begin to send calls again, and during which each sends one at a time.
	returnSpread = time.Second
)

// PausedError is returned when all servers that might take the call have asked for a pause.
type PausedError struct {
	// RetryAfter is the time until the first of them may get calls again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *PausedError) Error() string { return "every backend server has asked for a pause" }

// Pause records that the server has asked in the header of its response for no calls during d. The attempt need not have ended.
func (c *Choice) Pause(d time.Duration) {
	if c.group == nil {
		return
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.group.pause(c.server, d, c.now())
}

// Pause records that a server has asked in its response to a probe for no calls during d.
func (p *Picker) Pause(probed *registrar.Server, d time.Duration) {
	p.updateProbed(probed, func(g *group, s *server, now time.Time) { g.pause(s, d, now) })
}

// pause keeps calls and probes away from a server. A shorter pause doesn't end a longer one.
func (g *group) pause(s *server, d time.Duration, now time.Time) {
	d = min(d, maxPause)
	if d <= 0 {
		return
	}
	wasPaused := s.isPaused(now)
	if until := now.Add(d + g.randomTime(min(d, returnSpread))); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	if !wasPaused && g.onPaused != nil {
		g.onPaused(s.announced.Key(), d)
	}
}

func (s *server) isPaused(now time.Time) bool { return now.Before(s.pausedUntil) }

// isBusy reports whether this entry may not add a call to those that it has in flight at the server, which may have gone silent.
func (s *server) isBusy(now time.Time) bool {
	returning := !s.pausedUntil.IsZero() && now.Sub(s.pausedUntil) < returnSpread
	return s.inFlight >= s.maxInFlight || returning && s.inFlight > 0 || now.Before(s.silentUntil)
}

// pausedError returns the error for a request that only paused servers might take, or nil if there are none.
func (g *group) pausedError(r *Request, now time.Time) error {
	first := time.Duration(0)
	for _, s := range g.servers {
		if left := s.pausedUntil.Sub(now); left > 0 && mayTakeUnpaused(s, r) && (first == 0 || left < first) {
			first = left
		}
	}
	if first == 0 {
		return nil
	}
	return &PausedError{RetryAfter: first}
}
