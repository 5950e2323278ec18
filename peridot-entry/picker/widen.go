package picker

import "time"

const (
	// queuePerSlot is how many calls per slot a server is assumed to queue. Servers don't announce the length of their queue, and one whose
	// queue is full may never respond.
	queuePerSlot = 1
	// joinPerSlot is up to how many calls per slot an entry joins to a queue, at least one. Others may join at the same moment: with one call
	// per slot, up to 15 of 3,000 calls exceeded the queues of six in the simulation of a burst.
	joinPerSlot = 0.5
	// Each pick that finds room adds wideShare of a token, up to maxWideTokens, and one that goes beyond the servers that were probed takes
	// one. So calls find the last places while servers are full by chance, and hardly in a lasting overload: without this bound, the
	// simulated goodput at 2.5 times the capacity was 0 to 1 calls a second, against 214 to 221 at 0.8 times, since all entries chose by the
	// same old reports.
	wideShare     = 0.5
	maxWideTokens = 16
)

// mayWiden reports whether the call may go beyond the servers that were probed for it. Calls that can wait and pick again reject slow servers,
// late calls must not take the last slots from others, and where calls compete for slots none may go where it would be late.
func (g *group) mayWiden(r *Request, now time.Time) bool {
	if r.FastOnly || r.Late || r.Deferrable || r.hasObjective() && g.isContended(now) {
		return false
	}
	return g.wideTokens >= 1
}

// widen returns a server for the last pick of a call when none of its candidates has room: the best of the entry's subset, then of all servers,
// and then one whose queue has a place.
func (g *group) widen(r *Request, now time.Time) *server {
	if !g.mayWiden(r, now) {
		return nil
	}
	subset := g.eligible
	defer func() { g.eligible = subset }()
	best := g.best(r, g.eligible, now)
	if best == nil {
		g.eligible = nil
		g.collectFrom(r, now, len(g.servers), r.AllowFaulty)
		best = g.best(r, g.eligible, now)
	}
	if best == nil {
		best = g.shortestQueue(r, now)
	}
	if best != nil {
		g.wideTokens--
	}
	return best
}

// shortestQueue returns the server among the eligible ones with the least expected time whose queue has a place. A call that may run only once
// joins no queue, because it can't be sent again when the server never responds, and none does where servers go silent.
func (g *group) shortestQueue(r *Request, now time.Time) (best *server) {
	if r.NoTrial || g.goesSilent(now) {
		return nil
	}
	least := 0.0
	for _, s := range g.eligible {
		if !s.reportedAt.IsZero() && now.Sub(s.reportedAt) > certainAge {
			// Other entries may have filled the queue since.
			continue
		}
		load := g.load(s, now)
		if !s.hasRoomFor(load, max((1+joinPerSlot)*float64(s.announced.Slots), float64(s.announced.Slots)+1)) {
			continue
		}
		if t := g.expectedTime(s, load, now); best == nil || t < least {
			best, least = s, t
		}
	}
	return best
}
