package picker

import (
	"time"

	"peridotswitch.example/peridot-entry/registrar"
)

const (
	// coldRateShare is the share of a service's warm-up rate that all entries together may use. The permits of all entries come like a
	// Poisson process, so that chance must fit below the bound of 1.5 x rate + 8 calls in any second.
	coldRateShare = 0.75
	// permitTime is how long a permit for a call to a cold server is valid. Unused permits of many entries would otherwise add up to a burst.
	permitTime = 350 * time.Millisecond
	// minStartEntries is the least number of entries that are assumed to share a cold server until settleTime after the start, before this
	// entry knows how many there are: after a loss of power, entries and servers start at the same time.
	minStartEntries = 128
	// coldAgain is by how much a server's warm-up must last longer than known to begin anew.
	coldAgain = 500 * time.Millisecond
)

// isCold reports whether the server still warms up.
func (s *server) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// updateWarmUp takes over the end of the warm-up from a new announcement of the server. A server may become cold again at any time.
func (s *server) updateWarmUp(next *registrar.Server, now time.Time) {
	if next.WarmUp <= 0 {
		return
	}
	if !next.ReadySince.Equal(s.announced.ReadySince) || s.announced.Incarnation != next.Incarnation {
		s.coldUntil = next.ReadySince.Add(next.WarmUp)
		return
	}
	if next.Sequence > s.announced.Sequence {
		s.extendWarmUp(next.WarmUp, now)
	}
}

// extendWarmUp makes the server cold for d more if that is considerably longer than known.
func (s *server) extendWarmUp(d time.Duration, now time.Time) {
	if until := now.Add(d); until.Sub(s.coldUntil) > coldAgain {
		s.coldUntil = until
	}
}

// ObserveWarmUp records how long a server will still be cold, as its response to a probe says; 0 ends its warm-up.
func (p *Picker) ObserveWarmUp(probed *registrar.Server, left time.Duration) {
	p.updateProbed(probed, func(_ *group, s *server, now time.Time) {
		if left <= 0 && s.isCold(now) {
			s.coldUntil = now
		}
		s.extendWarmUp(left, now)
	})
}

// limitsCold reports whether the calls per second at a cold server of the service are limited.
func (g *group) limitsCold(s *server, now time.Time) bool { return g.warmUpRate > 0 && s.isCold(now) }

// isPermitted reports whether this entry may send a call to the server now: it is not cold, or a permit is valid.
func (g *group) isPermitted(s *server, now time.Time) bool {
	if !g.limitsCold(s, now) {
		return true
	}
	if s.permitAt.IsZero() || now.Sub(s.permitAt) > maxPermitAge {
		// A permit of a moment ago would be valid still.
		s.permitAt = now.Add(g.permitGap(now) - permitTime)
	}
	for now.Sub(s.permitAt) > permitTime {
		s.permitAt = s.permitAt.Add(g.permitGap(now))
	}
	return !now.Before(s.permitAt)
}

// maxPermitAge is the age from which a permit is of an earlier warm-up. The gaps between permits have no memory, so that a new one may begin at
// any time.
const maxPermitAge = 10 * time.Second

// usePermit uses up the valid permit for a cold server.
func (g *group) usePermit(s *server, now time.Time) {
	if g.limitsCold(s, now) {
		s.permitAt = s.permitAt.Add(g.permitGap(now))
	}
}

// permitGap returns the time between two permits of this entry. It is exponentially distributed, so that the permits of all entries together are
// independent of each other, whenever each entry learns that the server is cold.
func (g *group) permitGap(now time.Time) time.Duration {
	n := max(g.entries(), 1)
	if now.Sub(g.startedAt) < settleTime {
		n = max(n, minStartEntries)
	}
	return time.Duration(g.random.ExpFloat64() * float64(n) / (coldRateShare * g.warmUpRate) * float64(time.Second))
}

// bestCold returns the cold server with the least expected time for which this entry has a permit, in its subset or not: an entry has few
// permits, and those for other servers would leave them idle.
func (g *group) bestCold(r *Request, now time.Time) *server {
	if g.warmUpRate <= 0 {
		return nil
	}
	var cold []*server
	for _, s := range g.servers {
		if s.isCold(now) && g.isPermitted(s, now) && mayTake(s, r, now) && !s.isEjected() && !s.isBusy(now) && !g.isUncertain(s, r, now) &&
			(r.AllowFaulty || !g.isAvoided(s, now)) && g.isWithinLimit(s, r, now) && (!r.Deferrable || g.hasReservedSlots(s, now)) {
			cold = append(cold, s)
		}
	}
	return g.best(r, cold, now)
}
