package picker

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleSize is how many random servers are compared for a call. If all entries took the best server of all, they would overload it
	// together.
	sampleSize = 4
	// slowThreshold is the reported slowdown from which a server counts as slowed by noisy neighbours on its machine.
	slowThreshold = 1.5
	// slowdownHalfLife is the time in which a reported slowdown loses half its weight; noisy neighbours come and go within that.
	slowdownHalfLife = 150 * time.Millisecond
	// kneeUtilization is the share of its slots in use above which a server is slowed by its own load.
	kneeUtilization = 0.8
	// aboveKneeFactor is how many times longer a call is expected to take there.
	aboveKneeFactor = 1.5
	// overLimitFactor multiplies the expected time of a call that takes a server over its call limit and so slows all calls there.
	overLimitFactor = 1.5
	// warmUpFactor multiplies the expected time of a call to a server that warms up.
	warmUpFactor = 2
	// crossZoneTime is the cost of a call to another availability zone, as a share of the call's service time.
	crossZoneTime = 0.05
	// urgentPerSlot is how many calls per slot a server may hold for a call to join them when less urgent calls use the service too.
	urgentPerSlot = 1.35
	// latePerSlot is how many calls per slot a server may hold for a call to join them that misses its objective anyway.
	latePerSlot = 1.0 / 3
	// rankTimeout is how long after its last call a rank counts as in use.
	rankTimeout = 5 * time.Second
	// flatRatio is the ratio of the latencies above and below kneeUtilization under which a service counts as one without a knee: its
	// servers are not slowed by their own load.
	flatRatio = 1.2
	// minKneeSamples is how many responses from above kneeUtilization are needed before a service can count as one without a knee,
	// kneeWeight the weight of one response in a mean.
	minKneeSamples = 30
	kneeWeight     = 0.05
)

// pickExpected returns the eligible server that is expected to respond first, or one that is due for a trial call. It returns ErrFull when
// all servers hold too many calls.
func (g *group) pickExpected(r *Request, now time.Time) (*server, error) {
	for _, s := range g.eligible {
		if s.isTrialDue(now) {
			return s, nil
		}
	}
	best := g.bestCandidate(r, now)
	// The load reports of servers that were not probed are older, and by them all entries would choose the same server.
	if best == nil && (len(r.Candidates) == 0 || g.areEvacuated(r.Candidates)) {
		best = g.bestOfSample(r, sampleSize, now)
		if best == nil {
			best = g.bestOfSample(r, len(g.eligible), now)
		}
	}
	return g.pickBeyond(r, best, now)
}

// pickBeyond returns best, the best server of those to choose from, or a better one beyond them: a cold server for which this entry has a
// permit, or, when best is nil, the one that the last pick of a call finds.
func (g *group) pickBeyond(r *Request, best *server, now time.Time) (*server, error) {
	if cold := g.bestCold(r, now); cold != nil && (best == nil || g.expectedTime(cold, g.load(cold, now), now) < g.expectedTime(best, g.load(best, now), now)) {
		best = cold
	}
	if r.Slack > 0 && !r.Late {
		g.contention.recordPick(best == nil, now)
	}
	if best != nil {
		g.wideTokens = min(g.wideTokens+wideShare, maxWideTokens)
		return best, nil
	}
	if best = g.widen(r, now); best != nil {
		return best, nil
	}
	return nil, ErrFull
}

// bestOfSample returns the best of n random eligible servers.
func (g *group) bestOfSample(r *Request, n int, now time.Time) *server {
	return g.best(r, g.sample(n), now)
}

// isSlow reports whether a server is too slow for a call that could wait and pick again. A call that prefers its zone takes a slowed server
// there as long as it meets its objective.
func (g *group) isSlow(r *Request, s *server, now time.Time) bool {
	slowdown := g.currentSlowdown(s, now)
	if r.PreferZone && s.sameZone && g.medianLatency > 0 {
		return time.Duration((slowdown-1)*g.medianLatency) > r.Slack
	}
	return slowdown >= slowThreshold
}

// bestCandidate returns the best of the request's candidates that may take the call. Candidates of later rounds of probes may be outside the
// entry's subset.
func (g *group) bestCandidate(r *Request, now time.Time) *server {
	var candidates []*server
	for _, s := range g.servers {
		if contains(r.Candidates, s) && mayTake(s, r, now) && !s.isBusy(now) && !g.isUncertain(s, r, now) && g.isPermitted(s, now) && g.isWithinLimit(s, r, now) {
			candidates = append(candidates, s)
		}
	}
	if r.PreferZone {
		// The servers of this zone come first.
		local := slices.IndexFunc(candidates, func(s *server) bool { return !s.sameZone })
		if local > 0 {
			if best := g.best(r, candidates[:local], now); best != nil {
				return best
			}
		}
	}
	return g.best(r, candidates, now)
}

// best returns the server with the least expected time; nil when none is within its call limit.
func (g *group) best(r *Request, servers []*server, now time.Time) (best *server) {
	least, hasRoom := math.Inf(1), false
	for _, s := range servers {
		if r.FastOnly && g.isSlow(r, s, now) {
			continue
		}
		load := g.load(s, now)
		limit := g.callLimit(r, s)
		if !s.hasRoomFor(load, hardLimit(r, s, limit)) || g.yields(r, s, load, now) || !g.claims(s, load, hardLimit(r, s, limit), now) {
			continue
		}
		t := g.expectedTime(s, load, now)
		if !s.hasRoomFor(load, limit) {
			// The call would slow all calls at this server, which is worth it only when the servers with room are much slower.
			t *= overLimitFactor
		} else {
			hasRoom = true
		}
		if t < least {
			best, least = s, t
		}
	}
	if !hasRoom {
		return nil
	}
	return best
}

// hasRoomFor reports whether one more call may join the server, which holds load calls by estimate. With few slots the estimate is rounded to
// whole calls, as the limit is: otherwise a trace of a decayed report would fill a server whose limit is a single call.
func (s *server) hasRoomFor(load, limit float64) bool {
	if s.announced.Slots <= fewSlots {
		load = math.Round(load)
	}
	return load+1 <= limit
}

// hardLimit is how many calls a server may hold at most after the request has joined them, given the call limit. A late call must not
// slow others, so it never exceeds the call limit.
func hardLimit(r *Request, s *server, callLimit float64) float64 {
	if r.Late {
		return callLimit
	}
	return max(callLimit, float64(s.announced.Slots))
}

// callLimit is how many calls a server should hold at most after the request has joined them. Above kneeUtilization a server slows all
// its calls without completing more of them, so that only urgent calls and those to a service without a knee join it there.
func (g *group) callLimit(r *Request, s *server) float64 {
	slots := float64(s.announced.Slots)
	if r.Late {
		return max(math.Floor(latePerSlot*slots), 1)
	}
	if g.isUrgent(r.Rank) {
		return math.Floor(urgentPerSlot * slots)
	}
	if g.knee.isFlat() {
		return slots
	}
	return mostEfficientLoad(slots)
}

// mostEfficientLoad is the number of calls at which a server with a knee completes most of them: the greatest below the knee, unless so few
// that all slots together complete more, although each call there takes aboveKneeFactor times as long.
func mostEfficientLoad(slots float64) float64 {
	below := max(math.Floor(kneeUtilization*slots), 1)
	if slots/aboveKneeFactor > below {
		return slots
	}
	return below
}

// isUrgent reports whether calls less urgent than those of rank have recently used the service.
func (g *group) isUrgent(rank int) bool {
	return rank < g.leastUrgent && g.now.Sub(g.leastUrgentAt) < rankTimeout
}

// hasMoreUrgent reports whether calls more urgent than those of rank have recently used the service.
func (g *group) hasMoreUrgent(rank int, now time.Time) bool {
	return rank > g.mostUrgent && now.Sub(g.mostUrgentAt) < rankTimeout
}

// recordRank keeps track of the least and the most urgent rank in use.
func (g *group) recordRank(rank int, now time.Time) {
	g.now = now
	if rank <= g.mostUrgent || now.Sub(g.mostUrgentAt) >= rankTimeout {
		g.mostUrgent, g.mostUrgentAt = rank, now
	}
	if rank >= g.leastUrgent || now.Sub(g.leastUrgentAt) >= rankTimeout {
		g.leastUrgent, g.leastUrgentAt = rank, now
	}
}

// knee compares the mean latencies of a service's servers above and below kneeUtilization, to find out whether the service has a knee:
// a utilization above which latency rises.
type knee struct {
	below, above float64
	aboveSamples int
}

// record records the latency of a response, divided by the server's slowdown, from a server that held load calls. Servers with more calls
// than slots don't count, because their calls also waited in a queue.
func (k *knee) record(latency, load, slots float64) {
	mean := &k.below
	if load > kneeUtilization*slots {
		if load > slots {
			return
		}
		mean = &k.above
		k.aboveSamples++
	}
	if *mean == 0 {
		*mean = latency
	}
	*mean += kneeWeight * (latency - *mean)
}

// isFlat reports whether enough responses show that the service has no knee.
func (k *knee) isFlat() bool {
	return k.aboveSamples >= minKneeSamples && k.below > 0 && k.above < flatRatio*k.below
}

// expectedTime is how long one more call at s is expected to take, as a multiple of its service time on an idle server.
func (g *group) expectedTime(s *server, load float64, now time.Time) float64 {
	slots := float64(max(s.announced.Slots, 1))
	t := g.currentSlowdown(s, now)
	if load+1 > kneeUtilization*slots {
		t *= aboveKneeFactor
	}
	t *= 1 + max(load+1-slots, 0)/slots
	// Of servers with free slots the one with more of them is preferred.
	t *= 1 + utilizationWeight*load/slots
	if s.isCold(now) {
		t *= warmUpFactor
	}
	if !s.sameZone {
		t += crossZoneTime
	}
	return t * s.failureFactor(now) * s.stallFactor(g.medianLatency, now)
}

// utilizationWeight is the share by which the expected time at a full server exceeds that at an empty one, all else being equal.
const utilizationWeight = 0.2

// currentSlowdown is the slowdown that the server reported last. As the report ages, the mean over all servers replaces it.
func (g *group) currentSlowdown(s *server, now time.Time) float64 {
	if s.slowdown == 0 {
		return max(g.meanSlowdown, 1)
	}
	weight := math.Exp2(-float64(now.Sub(s.reportedAt)) / float64(slowdownHalfLife))
	return weight*s.slowdown + (1-weight)*max(g.meanSlowdown, 1)
}

// expectedSlowdown is how many times longer than usual one more call at s is expected to take, because of noisy neighbours or the server's
// own load.
func (g *group) expectedSlowdown(s *server, now time.Time) float64 {
	slowdown := max(g.currentSlowdown(s, now), 1)
	if g.load(s, now)+1 > kneeUtilization*float64(max(s.announced.Slots, 1)) {
		slowdown *= aboveKneeFactor
	}
	return slowdown
}

// stallFactor is the factor, at least 1, by which the age of the oldest call in flight raises the server's expected time.
func (s *server) stallFactor(median float64, now time.Time) float64 {
	if median <= 0 {
		return 1
	}
	return max(float64(s.oldestAge(now))/(stallTolerance*median), 1)
}

// sample moves n random servers to the front of eligible and returns them.
func (g *group) sample(n int) []*server {
	n = min(n, len(g.eligible))
	for i := range n {
		k := i + g.random.IntN(len(g.eligible)-i)
		g.eligible[i], g.eligible[k] = g.eligible[k], g.eligible[i]
	}
	return g.eligible[:n]
}
