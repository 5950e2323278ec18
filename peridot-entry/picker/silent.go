package picker

import (
	"math"
	"time"
)

const (
	// certainAge is the age up to which a load report makes certain that a server has a free slot. It covers the wait for the responses to
	// probes.
	certainAge = 50 * time.Millisecond
	// silentTime is how long a server that has not responded to a call counts as full unless it reports its load sooner. Without load
	// reports only calls can find out that it has recovered.
	silentTime = time.Second
	// silentMemory is how long after a call without a response no call joins a queue, and calls that may run only once need a server that
	// certainly has a free slot. Servers of most services refuse calls when they are full.
	silentMemory = 10 * time.Minute
	// joinDeviations is by how many standard deviations the calls that others send to a server may exceed their mean number.
	joinDeviations = 3
)

// hasCertainRoom reports whether the server certainly has a free slot: by a recent load report and this entry's own calls.
func (g *group) hasCertainRoom(s *server, now time.Time) bool {
	return !s.reportedAt.IsZero() && !s.refused && now.Sub(s.reportedAt) <= certainAge && s.hasRoomFor(g.load(s, now), float64(s.announced.Slots))
}

// goesSilent reports whether a server of the service has recently not responded to a call, as servers of some services do when full.
func (g *group) goesSilent(now time.Time) bool {
	return !g.silentAt.IsZero() && now.Sub(g.silentAt) < silentMemory
}

// needsCertainRoom reports whether a call that may run only once needs a server that certainly has a free slot: a server of the service has
// not responded to a call, and the servers report their load, so that certainty can be had.
func (g *group) needsCertainRoom(s *server, now time.Time) bool {
	return g.goesSilent(now) && !s.reportedAt.IsZero()
}

// isUncertain reports whether the server is left out for a request because it may be full and never respond.
func (g *group) isUncertain(s *server, r *Request, now time.Time) bool {
	if !r.NoTrial {
		return false
	}
	return g.needsCertainRoom(s, now) && !g.hasCertainRoom(s, now) || g.isCrowded(now) && !g.hasCertainPlace(s, now)
}

// hasCertainPlace reports whether a recent load report makes certain that a call finds a place in the server's queue, even after the calls
// that other entries may have sent meanwhile. A server without a report is tried.
func (g *group) hasCertainPlace(s *server, now time.Time) bool {
	if s.reportedAt.IsZero() {
		return true
	}
	joins := g.expectedJoins(s, now)
	places := (1 + queuePerSlot) * float64(s.announced.Slots)
	return !s.refused && now.Sub(s.reportedAt) <= certainAge && float64(s.atServer())+s.others+joins+joinDeviations*math.Sqrt(joins)+1 <= places
}

// mayBeFull reports whether the server has no free slot as far as known here, so that a probe may go without a response.
func (g *group) mayBeFull(s *server, now time.Time) bool {
	return now.Before(s.silentUntil) || !s.hasRoomFor(g.load(s, now), float64(s.announced.Slots))
}

// markSilent makes the server of an attempt count as full until its next load report, because it has not responded. A server that has
// reported its load or responded since the attempt began is not silent any more: an attempt that was lost may end seconds later.
func (g *group) markSilent(c *Choice, now time.Time) {
	g.silentAt = now
	s := c.server
	if !s.respondedAt.After(c.begin) {
		s.silentUntil = now.Add(silentTime)
	}
	if s.reportedAt.IsZero() {
		// No load report will say whether the call is still at the server.
		s.markLost(c)
	}
}

// endSilence records that a server has responded to a call or a probe, which ends its silence. Own calls that take much longer than usual and that
// its load report doesn't count are not there any more: their requests or responses were lost.
func (g *group) endSilence(s *server, now time.Time) {
	s.respondedAt, s.silentUntil = now, time.Time{}
	if !s.reportedAt.Equal(now) || s.refused {
		return
	}
	for c := s.first; c != nil && s.atServer() > s.reportedInFlight && g.isStalled(c, now.Sub(c.begin)); c = c.next {
		s.markLost(c)
	}
	g.recordRoom(s, now)
}

// recordSilence records an attempt that ended without a response, and reports whether that is no fault of the server because it may have
// been full. An attempt that was given up earlier than it counts as lost says nothing.
func (g *group) recordSilence(c *Choice, r *Result, now time.Time) (full bool) {
	// Only under Expected are servers probed before calls, which ends this early. Under the other policies a dead connection would make its
	// server full, and calls over new connections would be refused.
	if g.policy != Expected || !r.Silent || r.Canceled && !g.isStalled(c, r.Latency) {
		return false
	}
	g.markSilent(c, now)
	return !c.certain
}

// ExpectedTime returns how long the attempt is expected to take, by the recent latencies of the service and the slowdown and load of the
// server when it was picked; 0 when not known.
func (c *Choice) ExpectedTime() time.Duration {
	if c.group == nil {
		return 0
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return time.Duration(c.group.medianLatency * c.slowdown)
}

// MarkSilent records that the attempt has had no response for much longer than expected: the server counts as full until its next load report.
func (c *Choice) MarkSilent() {
	if c.group == nil {
		return
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.group.markSilent(c, c.now())
}
