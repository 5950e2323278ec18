package picker

import (
	"math"
	"time"
)

const (
	// missWeight is the weight of one pick in the share of picks that find no server. A call picks several times while it waits.
	missWeight = 0.05
	// contendedMisses is the share from which the servers count as contended: most picks of calls that could be in time find nothing, so
	// that more than one call wants each slot that becomes free.
	contendedMisses = 0.5
	// roomWeight is the weight of one load report in the share of servers with room, minRoomShare the least share that is assumed.
	roomWeight   = 0.02
	minRoomShare = 0.01
	// crowdedRoom is the share of load reports with room below which most servers count as full.
	crowdedRoom = 0.5
	// contentionTimeout is how long both shares hold without another pick or report.
	contentionTimeout = time.Second
	// claimDelay is the time between the pick of a call and the first load report that counts it: a round trip.
	claimDelay = 2 * time.Millisecond
	// minFreeProbability is the probability that a slot is still free from which a call goes there: more likely than not.
	minFreeProbability = 0.5
)

// contention is how much the calls of all entries compete for the slots of a service, as this entry sees it.
type contention struct {
	// misses is the share of recent picks of calls that can be in time which found no server with room, as of pickedAt.
	misses   float64
	pickedAt time.Time
	// room is the share of recent load reports that showed room, as of reportedAt.
	room       float64
	reportedAt time.Time
}

// recordPick counts a pick of a call that can be in time.
func (c *contention) recordPick(missed bool, now time.Time) {
	if now.Sub(c.pickedAt) >= contentionTimeout {
		c.misses = 0
	}
	c.misses += missWeight * (float64(boolToInt(missed)) - c.misses)
	c.pickedAt = now
}

// recordReport counts a load report.
func (c *contention) recordReport(hasRoom bool, now time.Time) {
	if now.Sub(c.reportedAt) >= contentionTimeout {
		c.room = 1
	}
	c.room += roomWeight * (float64(boolToInt(hasRoom)) - c.room)
	c.reportedAt = now
}

// recordRoom counts a load report that the server has just made.
func (g *group) recordRoom(s *server, now time.Time) {
	load := float64(s.atServer()) + s.others
	hasRoom := s.hasRoomFor(load, mostEfficientLoad(float64(s.announced.Slots))) && g.currentSlowdown(s, now) < slowThreshold
	g.contention.recordReport(hasRoom, now)
}

// isContended reports whether more calls that can be in time look for servers than there are slots. It is never true where servers have more than
// fewSlots slots, one of which hardly matters.
func (g *group) isContended(now time.Time) bool {
	return g.policy == Expected && g.contention.misses > contendedMisses && now.Sub(g.contention.pickedAt) < contentionTimeout && g.fewSlots
}

// isCrowded reports whether most servers of few slots have no room by their load reports, so that a call may arrive at a server together with
// many others that were sent by the same report.
func (g *group) isCrowded(now time.Time) bool {
	return g.policy == Expected && g.contention.room < crowdedRoom && now.Sub(g.contention.reportedAt) < contentionTimeout && g.fewSlots
}

// joinRate is how many calls per second of all entries join a server that has room. In a lasting overload as many calls join the servers as
// complete at them, and all of them join those with room.
func (g *group) joinRate() float64 {
	if g.medianLatency <= 0 {
		return 0
	}
	completions := max(g.meanLoad, 1) / (g.medianLatency / float64(time.Second))
	return completions / max(g.contention.room, minRoomShare)
}

// expectedJoins is how many calls of other entries are expected to join the server between its last report and the arrival of a call that is
// picked now.
func (g *group) expectedJoins(s *server, now time.Time) float64 {
	if s.reportedAt.IsZero() {
		return 0
	}
	return g.joinRate() * (now.Sub(s.reportedAt) + claimDelay).Seconds()
}

// claims decides whether this entry sends a call to a server that has free places by its last report, where calls compete for them. It does so
// with the probability that fewer calls than that have joined the server since, and only if that is likely: all entries that see the same free
// slot would send a call to it otherwise.
func (g *group) claims(s *server, load, limit float64, now time.Time) bool {
	if !g.isContended(now) {
		return true
	}
	joins := g.expectedJoins(s, now)
	probability, term := 0.0, math.Exp(-joins)
	for i := range int(limit - math.Round(load)) {
		probability += term
		term *= joins / float64(i+1)
	}
	return probability >= minFreeProbability && g.random.Float64() < probability
}

// yields reports whether the request must leave the server to calls that can be in time, because there are more of them than slots.
func (g *group) yields(r *Request, s *server, load float64, now time.Time) bool {
	return r.hasObjective() && g.isContended(now) && (r.Late || !g.isInTime(r, s, load, now))
}

// isInTime reports whether a call that joins the server is expected to meet its objective: whether the time beyond its usual service time fits
// in its slack.
func (g *group) isInTime(r *Request, s *server, load float64, now time.Time) bool {
	slots := float64(max(s.announced.Slots, 1))
	t := max(g.currentSlowdown(s, now), 1) * (1 + max(load+1-slots, 0)/slots)
	if load+1 > kneeUtilization*slots {
		t *= aboveKneeFactor
	}
	return time.Duration((t-1)*g.medianLatency) <= r.Slack
}

// hasObjective reports whether the call has a latency objective: late calls have missed theirs, and others have slack.
func (r *Request) hasObjective() bool { return r.Late || r.Slack > 0 }
