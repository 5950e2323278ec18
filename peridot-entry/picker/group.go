package picker

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"peridotswitch.example/peridot-entry/registrar"
)

const (
	// crossZonePenalty is added to the load of a server in another availability zone, nonPreferredPenalty to that of one which is not
	// preferred; both in calls in flight.
	crossZonePenalty    = 0.5
	nonPreferredPenalty = 1
	// reportHalfLifeLatencies is the number of median latencies after which a load report has lost half its weight.
	reportHalfLifeLatencies = 1
	minReportHalfLife       = 5 * time.Millisecond
	// ejectionThreshold is the failure rate above which a server is ejected.
	ejectionThreshold = 0.5
	// maxEjectedShare is the greatest share of a service's servers that is ejected at the same time.
	maxEjectedShare      = 0.3
	baseEjectionTime     = time.Second
	maxEjectionTime      = 8 * time.Second
	maxEjectionDoublings = 3
	// retention is how long the record of a server that is no longer announced is kept.
	retention = time.Minute
	// meansInterval is the least time between two recomputations of the means over a service's servers.
	meansInterval = 20 * time.Millisecond
	// minInFlightLimit is the least limit of calls in flight at a server, however few connections it announces.
	minInFlightLimit = 1
)

// group is the state of one service's backend servers as this entry knows it.
type group struct {
	mu       sync.Mutex
	policy   Policy
	entries  func() int
	onFaulty func(FaultyServer)
	// onDraining, onPaused and onRateLimit are the fields of Config.
	onDraining  func(registrar.Key)
	onPaused    func(registrar.Key, time.Duration)
	onRateLimit func(RateLimitChange)
	// self is this entry's id, and members is Config.Members.
	self    string
	members func() []string
	random  *rand.Rand
	// startedAt is when this entry started.
	startedAt time.Time
	// view is the registrar's list that servers was made from.
	view []registrar.Server
	// servers are in the order in which this entry prefers them, without those in evacuated availability zones, which are in evacuated.
	servers   []*server
	evacuated []*server
	// evacuatedZones is the list of zones that servers was made with.
	evacuatedZones []string
	// known holds the servers, evacuated ones included, and, for the retention time, those that are no longer announced.
	known map[identity]*server
	// turn counts the picks under RoundRobin.
	turn    int
	scratch []float64
	// medianLatency is the median of the servers' mean latencies, in nanoseconds.
	medianLatency float64
	// meanOthers is the mean load per server that other entries cause.
	meanOthers float64
	// meanSlowdown is the mean of the slowdowns that the servers report.
	meanSlowdown float64
	// meansAt is when medianLatency, meanOthers and meanSlowdown were computed.
	meansAt time.Time
	knee    knee
	// warmUpRate is how many calls per second a cold server takes from all entries; 0 for any number.
	warmUpRate float64
	contention contention
	// fewSlots is true when no server of the service has more than fewSlots slots.
	fewSlots bool
	// meanLoad is the mean number of calls that the servers reported last.
	meanLoad float64
	// silentAt is when a server last did not respond to a call.
	silentAt time.Time
	// wideTokens is how many calls may go beyond the servers that were probed for them.
	wideTokens float64
	// leastUrgent is the least urgent rank among the calls that use the service, as of leastUrgentAt.
	leastUrgent   int
	leastUrgentAt time.Time
	// mostUrgent is the most urgent rank among them, as of mostUrgentAt.
	mostUrgent   int
	mostUrgentAt time.Time
	// recent holds the latest latencies of responses, divided by the expected slowdown, in a ring; recentCount counts all of them.
	recent      [recentLatencies]float64
	recentCount int
	// calls is the decayed number of this entry's calls.
	calls     decayed
	longCalls longCalls
	// faultyCount is the number of faulty servers. While there are more than maxFaultyShare, only those whose faults exceed faultyCutoff
	// are avoided.
	faultyCount  int
	faultyCutoff float64
	// now is the time of the last pick under Expected.
	now      time.Time
	eligible []*server
}

// identity identifies one incarnation of a backend server.
type identity struct {
	instanceID  string
	incarnation uint64
}

func newGroup(cfg Config, startedAt time.Time) *group {
	if cfg.Random == nil {
		cfg.Random = globalSource{}
	}
	random := rand.New(cfg.Random)
	return &group{policy: cfg.Policy, startedAt: startedAt, entries: cfg.Entries, onFaulty: cfg.OnFaulty, onDraining: cfg.OnDraining, onPaused: cfg.OnPaused, onRateLimit: cfg.OnRateLimit, self: cfg.InstanceID, members: cfg.Members, known: make(map[identity]*server), turn: random.IntN(math.MaxInt32), random: random, wideTokens: maxWideTokens / 2, contention: contention{room: 1}}
}

// update takes over the registrar's list of servers and the list of evacuated zones. A new list is made on each change, so one at the same
// address is the same list.
func (g *group) update(view []registrar.Server, cfg Config, now time.Time) {
	zones := cfg.evacuatedZones()
	if len(view) == len(g.view) && &view[0] == &g.view[0] && isSameList(zones, g.evacuatedZones) {
		return
	}
	g.view, g.evacuatedZones = view, zones
	g.servers, g.evacuated = g.servers[:0], g.evacuated[:0]
	for i := range view {
		id := identity{view[i].InstanceID, view[i].Incarnation}
		s := g.known[id]
		if s == nil {
			s = &server{resultAt: now}
			g.known[id] = s
		}
		s.drains, s.closingUntil = s.drains && !s.endsDraining(&view[i]), time.Time{}
		s.updateWarmUp(&view[i], now)
		s.announced, s.announcedAt = view[i], now
		s.sameZone = view[i].AvailabilityZone == cfg.AvailabilityZone
		s.maxInFlight = max(cfg.MaxInFlight(view[i].Connections), minInFlightLimit)
		if slices.Contains(zones, view[i].AvailabilityZone) {
			s.preferred, s.inSubset = false, false
			g.evacuated = append(g.evacuated, s)
			continue
		}
		g.servers = append(g.servers, s)
	}
	g.choosePreferred(cfg.InstanceID)
	g.fewSlots = g.hasFewSlots()
	for id, s := range g.known {
		if s.inFlight == 0 && now.Sub(s.announcedAt) > retention {
			delete(g.known, id)
		}
	}
}

// pick chooses one of the servers that may take the call.
func (g *group) pick(r *Request, now time.Time) (*server, error) {
	g.updateMeans(now)
	if g.policy == Expected {
		g.recordRank(r.Rank, now)
	}
	full := g.collectEligible(r, now)
	switch {
	case len(g.eligible) > 0:
	case full && g.policy == Expected:
		return g.pickBeyond(r, nil, now)
	case full:
		return nil, ErrFull
	case g.hasLimited(r, now):
		return nil, ErrRateLimited
	default:
		if err := g.pausedError(r, now); err != nil {
			return nil, err
		}
		if slices.ContainsFunc(g.evacuated, func(s *server) bool { return mayTakeUnpaused(s, r) }) {
			return nil, ErrEvacuated
		}
		return nil, ErrNoServer
	}
	switch g.policy {
	case Random:
		return g.randomServer(), nil
	case RoundRobin:
		g.turn++
		return g.eligible[g.turn%len(g.eligible)], nil
	case LeastInFlight:
		return g.minCost(func(s *server) float64 { return float64(s.inFlight) }), nil
	case Expected:
		s, err := g.pickExpected(r, now)
		if err != nil && r.PreferZone {
			anywhere := *r
			anywhere.PreferZone = false
			g.collectEligible(&anywhere, now)
			return g.pickExpected(&anywhere, now)
		}
		return s, err
	case TwoChoices:
		a, b := g.randomServer(), g.randomServer()
		if b.reportedInFlight < a.reportedInFlight {
			return b, nil
		}
		return a, nil
	}
	return g.pickCorrected(now), nil
}

func (g *group) randomServer() *server { return g.eligible[g.random.IntN(len(g.eligible))] }

// minCost returns the eligible server with the lowest cost, a random one of several with the same.
func (g *group) minCost(cost func(*server) float64) *server {
	var best *server
	least, equal := math.Inf(1), 0
	for _, s := range g.eligible {
		c := cost(s)
		switch {
		case c < least:
			best, least, equal = s, c, 1
		case c == least:
			equal++
			if g.random.IntN(equal) == 0 {
				best = s
			}
		}
	}
	return best
}

// pickCorrected returns the eligible server with the lowest cost, or one that is due for a trial call.
func (g *group) pickCorrected(now time.Time) *server {
	maxWarmUp := 0.0
	for _, s := range g.eligible {
		if s.isTrialDue(now) {
			return s
		}
		maxWarmUp = max(maxWarmUp, s.warmUpShare(now))
	}
	return g.minCost(func(s *server) float64 { return g.cost(s, maxWarmUp, now) })
}

// cost is the expected time of one more call at s, in a unit that is the same for all servers of the service.
func (g *group) cost(s *server, maxWarmUp float64, now time.Time) float64 {
	load := g.load(s, now) + 1
	if !s.sameZone {
		load += crossZonePenalty
	}
	if !s.preferred {
		load += nonPreferredPenalty
	}
	slots := float64(s.announced.Slots) * s.warmUpShare(now) / maxWarmUp
	return load / slots * s.latencyFactor(g.medianLatency, now) * s.failureFactor(now)
}

func (g *group) load(s *server, now time.Time) float64 {
	mean := g.meanOthers
	if g.limitsCold(s, now) {
		// The few calls that cold servers get say nothing about the load of the others, nor the reverse.
		mean = 0
	}
	return s.correctedLoad(mean, g.reportHalfLife(), now)
}

func (g *group) reportHalfLife() time.Duration {
	return max(time.Duration(reportHalfLifeLatencies*g.medianLatency), minReportHalfLife)
}

// updateMeans recomputes the typical latency and the mean load and slowdown. The typical latency is a median, which a single slow
// server can't move.
func (g *group) updateMeans(now time.Time) {
	if now.Sub(g.meansAt) < meansInterval {
		return
	}
	g.meansAt = now
	g.scratch = g.scratch[:0]
	sum, n := 0.0, 0
	reported := 0.0
	slowdown, reporting := 0.0, 0
	g.faultyCount = 0
	for _, s := range g.servers {
		s.endLapsedEjection(now)
		if s.isFaulty(now) {
			g.faultyCount++
		}
		if s.latencySamples >= minLatencySamples {
			g.scratch = append(g.scratch, s.latency)
		}
		if !s.reportedAt.IsZero() && !s.refused {
			sum += s.others * s.meanWeight(now)
			reported += float64(s.reportedInFlight)
			n++
		}
		if s.slowdown > 0 {
			slowdown += s.slowdown
			reporting++
		}
	}
	g.updateFaultyCutoff(now)
	if len(g.scratch) == 0 && g.recentCount >= minRecentLatencies {
		// Where an entry has few calls for many servers, hardly any server has a mean latency of its own.
		g.scratch = append(g.scratch, g.recent[:min(g.recentCount, recentLatencies)]...)
	}
	g.medianLatency, g.meanOthers, g.meanSlowdown = 0, 0, 1
	if reporting > 0 {
		g.meanSlowdown = slowdown / float64(reporting)
	}
	if len(g.scratch) > 0 {
		slices.Sort(g.scratch)
		g.medianLatency = g.scratch[len(g.scratch)/2]
	}
	if n > 0 {
		g.meanOthers, g.meanLoad = sum/float64(n), reported/float64(n)
	}
}

// recordResult records the result of an attempt, and ejects or restores its server accordingly.
func (g *group) recordResult(c *Choice, r *Result, now time.Time) {
	s := c.server
	full := g.recordSilence(c, r, now)
	r.Canceled = r.Canceled || full
	s.recordResult(r, now)
	g.recordResponse(s, r, now)
	g.recordRateLimit(c, r)
	if r.Err == nil && !r.Shed && !r.Canceled && !isFailure(r) {
		g.recent[g.recentCount%recentLatencies] = float64(r.Latency) / c.slowdown
		g.recentCount++
	}
	if !r.Shed && !r.Canceled && !full {
		g.longCalls.record(g.isStalled(c, r.Latency))
	}
	if !r.Shed && isFailure(r) || !full && g.isStalled(c, r.Latency) {
		g.recordFault(c, now)
	}
	if r.Load != nil && r.Err == nil && !r.Shed && !isFailure(r) && r.Load.Slowdown > 0 {
		g.knee.record(float64(r.Latency)/r.Load.Slowdown, float64(r.Load.InFlight+1), float64(s.announced.Slots))
	}
	if r.Unreachable {
		s.unreachable = true
		s.eject(now)
		return
	}
	switch {
	case c.trial && (r.Shed || r.Canceled && float64(r.Latency) < s.latency):
	case c.trial && !isFailure(r) && !r.Canceled:
		s.restore()
		s.failures = min(s.failures, ejectionThreshold/2)
	case c.trial || !s.isEjected() && s.failures > ejectionThreshold && g.mayEject():
		s.eject(now)
	}
}

// recordResponse records that the server has responded, if it has, and whether it closes the connection.
func (g *group) recordResponse(s *server, r *Result, now time.Time) {
	if r.Load != nil || r.Err == nil && !r.Canceled {
		g.endSilence(s, now)
	}
	if r.Closing {
		s.closingUntil = now.Add(closingTime + g.randomTime(closingSpread))
	}
}

// mayEject reports whether another server may be ejected. At most maxEjectedShare of the servers are, or one where the share is less
// than one server, and no further one is while more than half of the servers are failing.
func (g *group) mayEject() bool {
	ejected, failing := 0, 0
	for _, s := range g.servers {
		if s.isEjected() {
			ejected++
		}
		if s.failures > ejectionThreshold/2 {
			failing++
		}
	}
	maxEjected := max(int(maxEjectedShare*float64(len(g.servers))), 1)
	return ejected < maxEjected && 2*failing <= len(g.servers)
}
