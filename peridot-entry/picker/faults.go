package picker

import (
	"math"
	"slices"
	"time"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// ServerReport is what an entry has seen of one incarnation of a backend server.
type ServerReport struct {
	Key         registrar.Key
	Incarnation uint64
	// Faults counts the calls that failed at the server or took much longer than usual.
	Faults int
	// RateLimit is the limit that the server names or has ended; nil if there is nothing to report of it.
	RateLimit *sender.RateLimit
}

// FaultyServer says why a server is avoided: how many of how many recent calls were faults, as known to this entry.
type FaultyServer struct {
	Key    registrar.Key
	Faults float64
	Calls  float64
	For    time.Duration
}

const (
	// faultHalfLife is the time in which a fault loses half its weight.
	faultHalfLife = 2 * time.Second
	// faultyRatio is the share of a server's calls, as estimated from this entry's, whose failure makes the server faulty. It is
	// manyCallsRatio of the calls above fewCalls, where a single fault means little.
	faultyRatio    = 0.12
	manyCallsRatio = 0.3
	fewCalls       = 8
	// A server counts as faulty for a random time between minFaultyTime and maxFaultyTime after its last fault.
	minFaultyTime = 2 * time.Second
	maxFaultyTime = 12 * time.Second
	// maxFaultyShare is the share of a service's servers that are avoided at most.
	maxFaultyShare = 0.7
	// stalledLatencies is the number of median latencies after which a call counts as a fault.
	stalledLatencies = 3
	// maxFaultyServers is the number of servers with new faults above which this entry's own network is the likely cause.
	maxFaultyServers = 8
	// settleTime is how long after its start an entry takes no part in fault reports. When everything has restarted, calls of before still
	// occupy the servers, and an entry with few calls can't tell a slow server from a slow service.
	settleTime = 3 * time.Second
	// recentLatencies is how many latencies of responses a service's median is computed from, minRecentLatencies the least number.
	recentLatencies    = 32
	minRecentLatencies = 8
)

// decayed is a number of events whose weight halves with each faultHalfLife.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) value(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp2(-float64(now.Sub(d.at))/float64(faultHalfLife))
}

func (d *decayed) add(n float64, now time.Time) { d.sum, d.at = d.value(now)+n, now }

// isFaulty reports whether the server is to be avoided because of recent faults.
func (s *server) isFaulty(now time.Time) bool { return now.Before(s.faultyUntil) }

// isAvoided reports whether the server is faulty, and among the worst if too many are.
func (g *group) isAvoided(s *server, now time.Time) bool {
	return s.isFaulty(now) && s.faults.value(now) > g.faultyCutoff
}

// updateFaultyCutoff chooses faultyCutoff so that no more than maxFaultyShare of the servers are avoided.
func (g *group) updateFaultyCutoff(now time.Time) {
	g.faultyCutoff = 0
	limit := int(maxFaultyShare * float64(len(g.servers)))
	if g.faultyCount <= limit {
		return
	}
	var faults []float64
	for _, s := range g.servers {
		if s.isFaulty(now) {
			faults = append(faults, s.faults.value(now))
		}
	}
	slices.Sort(faults)
	g.faultyCutoff = faults[len(faults)-limit-1]
}

// callsPerServer estimates the decayed number of calls that all entries have sent to each server.
func (g *group) callsPerServer(now time.Time) float64 {
	return g.calls.value(now) * float64(g.entries()) / float64(max(len(g.servers), 1))
}

// addFaults adds faults to a server's and decides whether it becomes or stays faulty. The times for which entries avoid it differ, so
// that at first only a few try it again, whose reports keep the others away if it has not recovered.
func (g *group) addFaults(s *server, n int, now time.Time) {
	if now.Sub(g.startedAt) < settleTime {
		return
	}
	s.faults.add(float64(n), now)
	wasFaulty, calls := s.isFaulty(now), g.callsPerServer(now)
	threshold := faultyRatio*min(calls, fewCalls) + manyCallsRatio*max(calls-fewCalls, 0)
	if !wasFaulty && s.faults.value(now) < max(threshold, g.longCalls.usual(calls)) {
		return
	}
	d := minFaultyTime + g.randomTime(maxFaultyTime-minFaultyTime)
	if until := now.Add(d); until.After(s.faultyUntil) {
		s.faultyUntil = until
	}
	if !wasFaulty && s.inSubset && g.onFaulty != nil {
		g.onFaulty(FaultyServer{s.announced.Key(), s.faults.value(now), calls, d})
	}
}

// longCalls is the share of a service's calls that take much longer than usual at any of its servers.
type longCalls struct {
	share float64
	calls int
}

const (
	// longCallSamples is the number of recent calls over which the share is averaged.
	longCallSamples = 200
	// maxLongCallShare bounds the share, so that a failure of many servers doesn't pass for the usual state of the service.
	maxLongCallShare = 0.05
	// longCallDeviations is by how many standard deviations a server may exceed the mean number of long calls by chance.
	longCallDeviations = 2.5
)

// record counts a call that has ended.
func (l *longCalls) record(long bool) {
	l.calls = min(l.calls+1, longCallSamples)
	x := 0.0
	if long {
		x = 1
	}
	// The average starts at 0 with half of the samples, so that a single long call after a start means little.
	l.share += (x - l.share) / max(float64(l.calls), longCallSamples/2)
}

// usual returns how many of a number of calls at one server may be long although nothing is wrong with it.
func (l *longCalls) usual(calls float64) float64 {
	mean := min(l.share, maxLongCallShare) * calls
	return mean + longCallDeviations*math.Sqrt(mean)
}

// isStalled reports whether an attempt takes much longer than usual for the service.
func (g *group) isStalled(c *Choice, age time.Duration) bool {
	return g.medianLatency > 0 && float64(age) > stalledLatencies*g.medianLatency*c.slowdown
}

// recordFault counts an attempt as a fault of its server, once.
func (g *group) recordFault(c *Choice, now time.Time) {
	if c.counted {
		return
	}
	c.counted = true
	c.server.unreported++
	g.addFaults(c.server, 1, now)
}

// TakeReports returns what this entry has seen of servers since the last call: faults, which count attempts in flight too, and limits.
func (p *Picker) TakeReports() (reports []ServerReport) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	now := p.cfg.Now()
	for _, g := range p.services {
		reports = append(reports, g.takeReports(now)...)
	}
	faulty := 0
	for i := range reports {
		if reports[i].Faults > 0 {
			faulty++
		}
	}
	if faulty <= maxFaultyServers && now.Sub(p.startedAt) >= settleTime {
		return reports
	}
	kept := reports[:0]
	for _, r := range reports {
		if r.Faults = 0; r.RateLimit != nil {
			kept = append(kept, r)
		}
	}
	return kept
}

func (g *group) takeReports(now time.Time) (reports []ServerReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.announced() {
		for c := s.first; c != nil && g.isStalled(c, now.Sub(c.begin)); c = c.next {
			if c.certain {
				g.recordFault(c, now)
			}
		}
		r := ServerReport{Key: s.announced.Key(), Incarnation: s.announced.Incarnation, Faults: s.unreported}
		s.reported += s.unreported
		s.unreported = 0
		if limit, ok := s.rateLimit.take(now); ok {
			r.RateLimit = &limit
		}
		if r.Faults > 0 || r.RateLimit != nil {
			reports = append(reports, r)
		}
	}
	return reports
}

// ObserveReports records what all entries have reported, this one included.
func (p *Picker) ObserveReports(reports []ServerReport) {
	for _, r := range reports {
		g := p.group(r.Key.Service)
		g.mu.Lock()
		for _, s := range g.announced() {
			if s.announced.InstanceID != r.Key.InstanceID || s.announced.Incarnation != r.Incarnation {
				continue
			}
			own := min(s.reported, r.Faults)
			s.reported -= own
			if r.Faults > own {
				g.addFaults(s, r.Faults-own, p.cfg.Now())
			}
			if r.RateLimit != nil {
				g.setRateLimit(s, *r.RateLimit, true, p.cfg.Now())
			}
		}
		g.mu.Unlock()
	}
}
