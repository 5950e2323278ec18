package picker

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"peridotswitch.example/peridot-entry/registrar"
)

const (
	// preferredShare is the share of a service's servers that an entry prefers, minPreferred their least number.
	preferredShare = 0.2
	minPreferred   = 3
	// subsetSize is how many servers of a service an entry sends calls to under Expected when there are more than subsetThreshold:
	// enough to choose from, and few enough that the entry's connections to them stay in use.
	subsetSize      = 8
	subsetThreshold = 32
	// minChoice is the number of servers below which the subset is enlarged: a round of probes compares that many.
	minChoice = 2
	// subsetCoverage is in how many entries' subsets a server is on average, at least: a few entries need subsets larger than subsetSize to
	// use all servers.
	subsetCoverage = 1.5
	// reservedSlots is how many slots of a server must be free for a deferrable call to join it, so that interactive calls find some.
	reservedSlots = 2
)

// choosePreferred chooses this entry's preferred servers and its subset, those in its availability zone first and otherwise in an order
// that differs from entry to entry. An entry has the freshest load reports from the servers that it sends the most calls to.
func (g *group) choosePreferred(entry string) {
	ranked := g.servers
	for _, s := range ranked {
		if s.hash == 0 {
			h := fnv.New64a()
			_, _ = h.Write([]byte(entry + "/" + s.announced.InstanceID))
			s.hash = mixBits(h.Sum64()) | 1
		}
	}
	slices.SortFunc(ranked, func(a, b *server) int {
		if a.sameZone != b.sameZone {
			return cmp.Compare(boolToInt(b.sameZone), boolToInt(a.sameZone))
		}
		return cmp.Compare(a.hash, b.hash)
	})
	preferred := max(int(math.Ceil(preferredShare*float64(len(ranked)))), minPreferred)
	for i, s := range ranked {
		s.preferred = i < preferred
		s.inSubset = i < g.subsetLimit()
	}
}

// mixBits makes every bit of a hash depend on all of them. In the order of plain FNV-1a hashes, servers whose ids differ only at the end
// are next to each other, so that many entries would choose the same ones.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// collectEligible fills eligible; full reports whether a server was left out for its load alone.
func (g *group) collectEligible(r *Request, now time.Time) (full bool) {
	if g.policy != Expected {
		return g.collectFrom(r, now, len(g.servers), true)
	}
	if !r.AllowFaulty {
		if full = g.collectSubset(r, now, false); len(g.eligible) >= sampleSize {
			g.preferZone(r)
			return full
		}
	}
	full = g.collectSubset(r, now, true)
	g.preferZone(r)
	return full
}

// collectSubset fills eligible from this entry's subset of the servers, and from a larger one when that leaves too few to choose from.
// Connections to the servers of the subset are open already.
func (g *group) collectSubset(r *Request, now time.Time, faulty bool) (full bool) {
	for limit := g.subsetLimit(); ; limit *= 2 {
		if full = g.collectFrom(r, now, limit, faulty); len(g.eligible) >= minChoice || limit >= len(g.servers) {
			return full
		}
	}
}

// preferZone removes the servers of other availability zones from eligible if the request prefers this one's and there is one.
func (g *group) preferZone(r *Request) {
	if !r.PreferZone {
		return
	}
	// The servers of this zone come first.
	if n := slices.IndexFunc(g.eligible, func(s *server) bool { return !s.sameZone }); n > 0 {
		g.eligible = g.eligible[:n]
	}
}

// subsetLimit returns how many servers of the service this entry sends calls to at a time.
func (g *group) subsetLimit() int {
	if len(g.servers) <= subsetThreshold {
		return len(g.servers)
	}
	return max(subsetSize, int(math.Ceil(subsetCoverage*float64(len(g.servers))/float64(max(g.entries(), 1)))))
}

// collectFrom fills eligible with the first servers, up to limit, that may take the call, with or without faulty ones.
func (g *group) collectFrom(r *Request, now time.Time, limit int, faulty bool) (full bool) {
	g.eligible = g.eligible[:0]
	n := 0
	for _, s := range g.servers {
		if n == limit {
			break
		}
		if contains(r.Exclude, s) && !s.isEjected() {
			// It is one of the subset, although this request doesn't need it any more.
			n++
			continue
		}
		if !mayTake(s, r, now) || !faulty && g.isAvoided(s, now) || !g.isWithinLimit(s, r, now) {
			continue
		}
		if !g.hasRoom(s, r, now) {
			full = true
			continue
		}
		g.eligible = append(g.eligible, s)
		if !s.isEjected() {
			n++
		}
	}
	if g.policy == Corrected || g.policy == Expected {
		g.dropEjected(r, now)
	}
	return full
}

// hasRoom reports whether a server that may take the request has room for it, as far as known here.
func (g *group) hasRoom(s *server, r *Request, now time.Time) bool {
	switch {
	case s.isBusy(now) && (!r.allowSilent || s.inFlight >= s.maxInFlight) || !g.isPermitted(s, now):
		return false
	case !r.forProbes && g.isUncertain(s, r, now):
		return false
	}
	return !r.Deferrable || g.hasReservedSlots(s, now)
}

// hasReservedSlots reports whether enough slots of a server are free for a deferrable call. Where a server has hardly more slots than that, all
// must be free.
func (g *group) hasReservedSlots(s *server, now time.Time) bool {
	load := g.load(s, now)
	return load < 0.5 || load <= float64(s.announced.Slots)-reservedSlots
}

// dropEjected removes the ejected servers from eligible, except those due for a trial call that the request may be.
func (g *group) dropEjected(r *Request, now time.Time) {
	kept := 0
	for _, s := range g.eligible {
		if !s.isEjected() || !r.NoTrial && !s.unreachable && s.isTrialDue(now) {
			g.eligible[kept] = s
			kept++
		}
	}
	// When all eligible servers are ejected, the call goes to one of them rather than fail.
	if kept > 0 {
		g.eligible = g.eligible[:kept]
	}
}

// mayTake reports whether a server is ready, as far as known here, neither paused nor closing, and not excluded by the request.
func mayTake(s *server, r *Request, now time.Time) bool {
	return !s.isPaused(now) && !now.Before(s.closingUntil) && mayTakeUnpaused(s, r)
}

// mayTakeUnpaused is mayTake for a server whose pause has ended.
func mayTakeUnpaused(s *server, r *Request) bool {
	return s.announced.State == registrar.Ready && !s.drains && !contains(r.Exclude, s)
}

// contains reports whether one of the keys has the instance id of s.
func contains(keys []registrar.Key, s *server) bool {
	for i := range keys {
		if keys[i].InstanceID == s.announced.InstanceID {
			return true
		}
	}
	return false
}
