package picker

import (
	"math"
	"net/http"
	"time"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

const (
	// latencyWeight is the weight of one response in a server's mean latency.
	latencyWeight = 0.1
	// failureWeight is the weight of one response in a server's failure rate.
	failureWeight = 0.15
	// statsHalfLife is the time in which a latency excess or failure rate that no response confirms halves.
	statsHalfLife = 10 * time.Second
	// minLatencySamples is how many responses a server's mean latency needs to be used.
	minLatencySamples = 5
	// warmUpTime is how long a server warms up after it has become ready.
	warmUpTime = 10 * time.Second
	// minWarmUpShare is the share of its slots that a server may use when it has just become ready.
	minWarmUpShare = 0.15
	// maxReportedPerSlot is the greatest reported load per slot that is believed.
	maxReportedPerSlot = 4
)

// server is the state of one incarnation of a backend server as this entry knows it.
type server struct {
	announced registrar.Server
	sameZone  bool
	// preferred servers get more of this entry's calls than others. hash orders the servers differently for each entry.
	preferred bool
	// inSubset is true for the servers that this entry sends calls to where a service has many.
	inSubset    bool
	hash        uint64
	maxInFlight int
	// announcedAt is when the registrar's list last changed while the server was on it.
	announcedAt time.Time

	// inFlight is the exact number of this entry's calls in flight; first and last link them, the oldest first.
	inFlight    int
	first, last *Choice

	// others is the load that other entries caused as of reportedAt.
	others           float64
	reportedInFlight int
	reportedAt       time.Time
	// respondedAt is when the server last responded to a call or a probe. lost is the number of own calls in flight that are not at the server
	// any more by its last load report.
	respondedAt time.Time
	lost        int
	// refused is true if others is not from a load report but from a later refusal.
	refused bool
	// slowdown is the server's service time relative to the usual one as it reported last; 0 when it has reported none.
	slowdown float64

	// latency is the mean latency in nanoseconds.
	latency        float64
	latencySamples int
	// failures is the failure rate as of resultAt.
	failures float64
	resultAt time.Time

	// drains is set once the server has said in a response that it drains. closingUntil is set when it has refused a call and closed the
	// connection, as a server that stops does and sometimes others: it gets no calls until then or until the registrar's list changes.
	drains       bool
	closingUntil time.Time
	// pausedUntil is the end of the pause that the server has asked for.
	pausedUntil time.Time

	// coldUntil is the end of the warm-up, permitAt when the next permit for a call during it begins to be valid.
	coldUntil, permitAt time.Time
	// silentUntil is until when the server counts as full because it has not responded to a call; a load report ends that.
	silentUntil time.Time

	ejectedUntil time.Time
	ejections    int
	// unreachable servers get no calls until they have responded to a probe.
	unreachable bool
	// faults is the decayed number of faults that all entries have seen, as far as known here. faultyUntil is until when they make the
	// server faulty.
	faults      decayed
	faultyUntil time.Time
	// unreported is the number of own faults to report to other entries, reported that of those which come back in their reports.
	unreported, reported int
	rateLimit            rateLimit
	// trialDueAt is the time of the first call for which a trial of the ejected server was due; zero if there was none.
	trialDueAt time.Time
	// trials is the number of trial calls in flight, which find out whether an ejected server has recovered.
	trials int
}

func (s *server) add(c *Choice) {
	s.inFlight++
	c.prev = s.last
	if s.last != nil {
		s.last.next = c
	} else {
		s.first = c
	}
	s.last = c
	c.trial = s.isEjected()
	if c.trial {
		s.trials++
	}
}

// atServer is the number of own calls in flight that the server may hold.
func (s *server) atServer() int { return s.inFlight - s.lost }

// markLost stops counting an own call in flight as load of the server.
func (s *server) markLost(c *Choice) {
	if !c.lost && !c.ended {
		c.lost = true
		s.lost++
	}
}

func (s *server) remove(c *Choice) {
	s.inFlight--
	c.ended = true
	if c.lost {
		s.lost--
	}
	if c.trial {
		s.trials--
	}
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		s.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		s.last = c.prev
	}
	c.prev, c.next = nil, nil
}

// oldestAge returns the age of the oldest of this entry's calls in flight.
func (s *server) oldestAge(now time.Time) time.Duration {
	if s.first == nil {
		return 0
	}
	return now.Sub(s.first.begin)
}

// recordLoad records a load report; ended is how many of the calls that it counts are this entry's own and have ended since.
func (s *server) recordLoad(load sender.Load, ended int, now time.Time) {
	s.reportedInFlight = load.InFlight
	if load.Slowdown > 0 {
		s.slowdown = load.Slowdown
	}
	believed := min(load.InFlight, maxReportedPerSlot*s.announced.Slots)
	s.others = max(float64(believed-ended-s.atServer()), 0)
	s.reportedAt, s.refused = now, false
}

// correctedLoad is the exact number of this entry's own calls plus the load that others caused at the last report. As the report ages,
// the latter is replaced by meanOthers, the mean over all servers, by half in each halfLife.
func (s *server) correctedLoad(meanOthers float64, halfLife time.Duration, now time.Time) float64 {
	if s.reportedAt.IsZero() {
		return float64(s.atServer()) + meanOthers
	}
	weight := math.Exp2(-float64(now.Sub(s.reportedAt)) / float64(halfLife))
	return float64(s.atServer()) + weight*s.others + (1-weight)*meanOthers
}

// latencyFactor is the server's latency relative to the median of the service's servers, at least 1. The age of the oldest call in
// flight counts too.
func (s *server) latencyFactor(median float64, now time.Time) float64 {
	if median <= 0 {
		return 1
	}
	ratio := float64(s.oldestAge(now)) / (stallTolerance * median)
	if s.latencySamples >= minLatencySamples {
		ratio = max(ratio, s.latency/median)
	}
	if ratio < latencyTolerance {
		return 1
	}
	return ignoreSmall(1 + (ratio-1)*s.statsWeight(now))
}

// failureFactor is the factor, at least 1, by which the server's failure rate raises its expected time.
func (s *server) failureFactor(now time.Time) float64 {
	return ignoreSmall(1 + failurePenalty*s.failures*s.statsWeight(now))
}

// ignoreSmall returns 1 for a factor that has decayed to nearly 1. Otherwise a service with few calls would never try the server again.
func ignoreSmall(factor float64) float64 {
	if factor < ignoredBelow {
		return 1
	}
	return factor
}

const (
	// stallTolerance is how many median latencies a call may be in flight before its server counts as slow.
	stallTolerance = 4
	// latencyTolerance is how many times the median a server's latency may be by chance.
	latencyTolerance = 2
	// failurePenalty is how much a failure rate of 1 adds to the failure factor.
	failurePenalty = 4
	// ignoredBelow is the factor below which a latency or failure factor counts as 1.
	ignoredBelow = 1.5
)

// statsWeight is the weight of the latency and failure rate, which halves with each statsHalfLife without a response.
func (s *server) statsWeight(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(s.resultAt)) / float64(statsHalfLife))
}

// warmUpShare is the share of its slots that the server may use by the time since it became ready.
func (s *server) warmUpShare(now time.Time) float64 {
	return min(max(float64(now.Sub(s.announced.ReadySince))/float64(warmUpTime), minWarmUpShare), 1)
}

func (s *server) isEjected() bool { return !s.ejectedUntil.IsZero() }

// eject keeps calls away from the server for a time that doubles with each ejection in a row, up to maxEjectionTime.
func (s *server) eject(now time.Time) {
	s.ejectedUntil = now.Add(min(baseEjectionTime<<min(s.ejections, maxEjectionDoublings), maxEjectionTime))
	s.ejections++
	s.trialDueAt = time.Time{}
}

// restore ends the ejection.
func (s *server) restore() {
	s.ejectedUntil, s.ejections, s.unreachable = time.Time{}, 0, false
}

// isTrialDue reports whether the ejected server should get a trial call.
func (s *server) isTrialDue(now time.Time) bool {
	return s.isEjected() && s.trials == 0 && !now.Before(s.ejectedUntil)
}

// recordResult records the result of an attempt.
func (s *server) recordResult(r *Result, now time.Time) {
	if r.Load != nil {
		s.recordLoad(*r.Load, 1, now)
	}
	if r.Shed {
		// The server is full, whatever its last report says.
		s.others = max(s.others, float64(s.announced.Slots-s.inFlight))
		s.reportedAt, s.refused = now, true
	}
	if r.Shed || r.Canceled {
		// A canceled call would have taken at least as long.
		if !r.Shed && float64(r.Latency) > s.latency {
			s.recordLatency(float64(r.Latency))
		}
		return
	}
	failed := isFailure(r)
	if !failed || float64(r.Latency) > s.latency {
		s.recordLatency(float64(r.Latency))
	}
	rate := 0.0
	if failed {
		rate = 1
	}
	s.failures = s.failures*s.statsWeight(now)*(1-failureWeight) + rate*failureWeight
	s.resultAt = now
}

func (s *server) recordLatency(latency float64) {
	s.latencySamples++
	weight := max(latencyWeight, 1/float64(s.latencySamples))
	s.latency += weight * (latency - s.latency)
}

// isFailure reports whether the attempt failed and the server, rather than the call or its caller, is the likely cause.
func isFailure(r *Result) bool {
	if r.Canceled {
		return false
	}
	return r.Err != nil || r.Status >= http.StatusInternalServerError && r.Status != http.StatusNotImplemented
}
