package picker

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// compared is how many random servers are compared: entries that all took the best one would overload it together.
	compared = 4
	// slowPace is the pace from which a server counts as slowed by its neighbours.
	slowPace = 1.5
	// paceFade is after how long a reported pace has lost half its weight; neighbours on a machine come and go within that.
	paceFade = 150 * time.Millisecond
	// busyShare is the share of its slots from which a server counts as slowed by its own load.
	busyShare = 0.8
	// busyFactor is how many times longer work is expected to take there.
	busyFactor = 1.5
	// crossingFactor is how many times more a call counts that slows a whole server.
	crossingFactor = 1.5
	// coldFactor is the same for a server that warms up.
	coldFactor = 2
	// farTime is what being in another availability zone costs, in times of one call's work.
	farTime = 0.05
	// urgentShare is how many calls per slot a server may hold for a call to join them when less urgent ones use the service.
	urgentShare = 1.35
	// lateShare is how many calls per slot a server may hold for a call to join them that misses its objective anyway.
	lateShare = 1.0 / 3
	// rankMemory is for how long a rank counts as in use after its last call.
	rankMemory = 5 * time.Second
	// noKnee is the factor up to which a service's servers count as not slowed by their own load.
	noKnee = 1.2
	// kneeSamples is how many answers of nearly full servers it takes to say so, kneeWeight the weight of each.
	kneeSamples = 30
	kneeWeight  = 0.05
)

// soonest returns the candidate that is expected to answer first; ErrFull when the call would wait too long at all servers.
func (g *group) soonest(r *Request, now time.Time) (*server, error) {
	g.noteRank(r.Rank, now)
	for _, s := range g.eligible {
		if s.isDue(now) {
			return s, nil
		}
	}
	if best := g.soonestAmong(r, now); best != nil {
		return best, nil
	}
	if len(r.Among) > 0 {
		// What is known of others is older, and all entries would think the same of them.
		return nil, ErrFull
	}
	best := g.soonestOf(r, compared, now)
	if best == nil {
		best = g.soonestOf(r, len(g.eligible), now)
	}
	if best == nil {
		return nil, ErrFull
	}
	return best, nil
}

// soonestOf compares n servers from a random one on.
func (g *group) soonestOf(r *Request, n int, now time.Time) *server {
	return g.soonestIn(r, g.sample(n), now)
}

// soonestAmong compares the servers that the request names.
func (g *group) soonestAmong(r *Request, now time.Time) *server {
	var named []*server
	for _, s := range g.eligible {
		if names(r.Among, s) {
			named = append(named, s)
		}
	}
	return g.soonestIn(r, named, now)
}

func (g *group) soonestIn(r *Request, servers []*server, now time.Time) (best *server) {
	least, room := math.Inf(1), false
	for _, s := range servers {
		if r.FastOnly && g.paceOf(s, now) >= slowPace {
			continue
		}
		load := g.load(s, now)
		most := g.most(r, s)
		if load+1 > crossable(r, s, most) {
			continue
		}
		t := g.expected(s, load, now)
		if load+1 > most {
			// It would slow all calls there, which only a server in trouble makes worth while.
			t *= crossingFactor
		} else {
			room = true
		}
		if t < least {
			best, least = s, t
		}
	}
	if !room {
		return nil
	}
	return best
}

// crossable is how many calls a server may hold at all where most of them don't slow each other: late calls slow no others.
func crossable(r *Request, s *server, most float64) float64 {
	if r.Late {
		return most
	}
	return max(most, float64(s.announced.Slots))
}

// most is how many calls a server may hold after the request has joined them. Beyond busyShare of its slots a server slows all its
// calls and answers no more of them, so that only calls that go before others, or go to a service without a knee, join it there.
func (g *group) most(r *Request, s *server) float64 {
	slots := float64(s.announced.Slots)
	if r.Late {
		return max(math.Floor(lateShare*slots), 1)
	}
	if g.isUrgent(r.Rank) {
		return math.Floor(urgentShare * slots)
	}
	if g.knee.isFlat() {
		return slots
	}
	return max(math.Floor(busyShare*slots), 1)
}

// isUrgent reports whether less urgent calls than those of rank have lately used the service.
func (g *group) isUrgent(rank int) bool {
	return rank < g.leastUrgent && g.now.Sub(g.leastUrgentAt) < rankMemory
}

// noteRank follows which is the least urgent rank in use.
func (g *group) noteRank(rank int, now time.Time) {
	g.now = now
	if rank >= g.leastUrgent || now.Sub(g.leastUrgentAt) >= rankMemory {
		g.leastUrgent, g.leastUrgentAt = rank, now
	}
}

// knee follows how much longer nearly full servers take than others.
type knee struct {
	calm, busy  float64
	busyAnswers int
}

// learn takes in how long an answer took at the usual pace, from a server that held so many calls.
func (k *knee) learn(took, load, slots float64) {
	mean := &k.calm
	if load > busyShare*slots {
		if load > slots {
			return
		}
		mean = &k.busy
		k.busyAnswers++
	}
	if *mean == 0 {
		*mean = took
	}
	*mean += kneeWeight * (took - *mean)
}

// isFlat reports whether nearly full servers are known to take no longer.
func (k *knee) isFlat() bool {
	return k.busyAnswers >= kneeSamples && k.calm > 0 && k.busy < noKnee*k.calm
}

// expected is how long one more call at s takes, in times of its work on an idle server.
func (g *group) expected(s *server, load float64, now time.Time) float64 {
	slots := float64(max(s.announced.Slots, 1))
	t := g.paceOf(s, now)
	if load+1 > busyShare*slots {
		t *= busyFactor
	}
	t *= 1 + max(load+1-slots, 0)/slots
	// Among servers with free slots the emptier one goes first.
	t *= 1 + emptier*load/slots
	if s.announced.WarmUp > 0 && now.Sub(s.announced.ReadySince) < s.announced.WarmUp {
		t *= coldFactor
	}
	if !s.near {
		t += farTime
	}
	return t * s.failing(now) * s.stuck(g.typical, now)
}

// emptier is how much a full server counts more than an empty one, all else being equal.
const emptier = 0.2

// paceOf is the server's reported pace, fading into the mean of all as it ages.
func (g *group) paceOf(s *server, now time.Time) float64 {
	if s.pace == 0 {
		return max(g.pace, 1)
	}
	trust := math.Exp2(-float64(now.Sub(s.reported)) / float64(paceFade))
	return trust*s.pace + (1-trust)*max(g.pace, 1)
}

// stuck is how many times slower the age of its oldest call makes a server seem, at least 1.
func (s *server) stuck(typical float64, now time.Time) float64 {
	if typical <= 0 {
		return 1
	}
	return max(float64(s.oldest(now))/(oldestTolerance*typical), 1)
}

// sample moves n random servers to the front of eligible and returns them.
func (g *group) sample(n int) []*server {
	n = min(n, len(g.eligible))
	for i := range n {
		k := i + rand.IntN(len(g.eligible)-i)
		g.eligible[i], g.eligible[k] = g.eligible[k], g.eligible[i]
	}
	return g.eligible[:n]
}
