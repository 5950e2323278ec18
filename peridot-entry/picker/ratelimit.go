package picker

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

const (
	// maxTokens is how many calls an entry may save up for a server that limits requests. In any time, all entries together send what the
	// server takes in it, and at most maxTokens more for each entry that sends.
	maxTokens = 2
	// minRateLimit is the rate at which a server that takes less is tried all the same, which shows when its limit ends.
	minRateLimit = 0.1
	// limitHold is how long a limit holds after a response last named it, as far as known here.
	limitHold = 30 * time.Second
	// limitReportInterval is the interval at which an entry reports that a server still limits requests.
	limitReportInterval = 3 * time.Second
)

// RateLimitChange says that a server has begun to limit requests, limits them differently or no longer does.
type RateLimitChange struct {
	Key   registrar.Key
	Limit sender.RateLimit
	// Reported is true if this entry learned it from another one.
	Reported bool
}

// rateLimit is what an entry knows of the limit that a server names, and the tokens for the calls that it may send there.
type rateLimit struct {
	limit sender.RateLimit
	// learnedAt is when the limit was last set or ended, confirmedAt when a response last named it, as far as known here, and seenAt when
	// one to this entry did.
	learnedAt, confirmedAt, seenAt time.Time
	// unreported is set while other entries have to be told that the limit was set or ended, reportedAt is when they last were told.
	unreported bool
	reportedAt time.Time
	// share is the rate at which this entry may send. It was computed for entries, and has to be again unless hasShare is set.
	share    float64
	hasShare bool
	entries  []string
	tokens   float64
	tokensAt time.Time
}

// isLimited reports whether a limit holds.
func (l *rateLimit) isLimited(now time.Time) bool {
	return l.limit.Named && now.Sub(l.confirmedAt) < limitHold
}

// set replaces the limit and reports whether it differs. A server that begins to limit requests has just got some.
func (l *rateLimit) set(limit sender.RateLimit, now time.Time) (changed bool) {
	wasLimited := l.isLimited(now)
	if limit.Named {
		l.confirmedAt = now
	}
	if limit == l.limit && wasLimited == limit.Named {
		return false
	}
	l.limit, l.learnedAt, l.hasShare = limit, now, false
	if !wasLimited {
		l.tokens, l.tokensAt = 0, now
	}
	return true
}

// refill adds the tokens for the time since the last call. entries are the ids of the entries that share the server, self among them;
// when they aren't known, each of n entries gets the same share.
func (l *rateLimit) refill(server, self string, entries []string, n int, now time.Time) {
	if !l.hasShare || !sameList(l.entries, entries) {
		rate := max(l.limit.PerSecond, minRateLimit)
		l.share, l.entries, l.hasShare = rate/float64(max(n, 1)), entries, len(entries) > 0
		if l.hasShare {
			l.share = shareOf(rate, server, self, entries)
		}
	}
	l.tokens = min(l.tokens+l.share*now.Sub(l.tokensAt).Seconds(), maxTokens)
	l.tokensAt = now
}

// sameList reports whether a and b are the same list; lists of entries are replaced when they change.
func sameList(a, b []string) bool { return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) }

// shareOf returns the rate at which an entry may send calls to a server that takes perSecond of them. One entry for each call a second
// sends, those that prefer the server the most; all others send none. If all of hundreds of entries sent, the calls that each may always
// send at once would add up to more than the server takes.
func shareOf(perSecond float64, server, self string, entries []string) float64 {
	senders := min(int(math.Ceil(perSecond)), len(entries))
	own, before, listed := entryHash(self, server), 0, false
	for _, id := range entries {
		listed = listed || id == self
		if h := entryHash(id, server); h < own || h == own && id < self {
			before++
		}
	}
	if !listed || before >= senders {
		return 0
	}
	return perSecond / float64(senders)
}

func entryHash(entry, server string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(entry + "/" + server))
	return mixBits(h.Sum64())
}

// isWithinLimit reports whether the server's limit allows a call of this entry. Calls that miss their objective anyway, and less urgent ones, leave a
// token to the others.
func (g *group) isWithinLimit(s *server, r *Request, now time.Time) bool {
	if !s.rateLimit.isLimited(now) {
		return true
	}
	s.rateLimit.refill(s.announced.InstanceID, g.self, g.members(), g.entries(), now)
	needed := 1.0
	if r.Late || g.hasMoreUrgent(r.Rank, now) {
		needed = maxTokens
	}
	return s.rateLimit.tokens >= needed
}

// isProbeable reports whether this entry may probe a server that limits requests: one of those that send it calls.
func (s *server) isProbeable(now time.Time) bool {
	return !s.rateLimit.isLimited(now) || s.rateLimit.share > 0
}

// recordRateLimit records whether the response to an attempt names a limit. A response to an attempt that began before the limit was
// learned may have been made before the server named it, and one that another server gave or that was not run says nothing about its end.
func (g *group) recordRateLimit(c *Choice, r *Result) {
	s, now := c.server, c.now()
	if r.Err != nil && !r.Shed || r.Unreachable || r.RateLimit.Malformed {
		return
	}
	if !r.RateLimit.Named && (r.Shed || !c.begin.After(s.rateLimit.learnedAt)) {
		return
	}
	g.setRateLimit(s, r.RateLimit, false, now)
}

// hasLimited reports whether a server that may take the request is left out because of its limit.
func (g *group) hasLimited(r *Request, now time.Time) bool {
	return slices.ContainsFunc(g.servers, func(s *server) bool { return mayTake(s, r, now) && !g.isWithinLimit(s, r, now) })
}

func (g *group) setRateLimit(s *server, limit sender.RateLimit, reported bool, now time.Time) {
	changed := s.rateLimit.set(limit, now)
	if !reported && limit.Named {
		s.rateLimit.seenAt = now
	}
	if !changed {
		return
	}
	s.rateLimit.unreported = !reported
	if g.onRateLimit != nil {
		g.onRateLimit(RateLimitChange{s.announced.Key(), limit, reported})
	}
}

// ObserveRateLimit records a limit that a server named in its response to a probe.
func (p *Picker) ObserveRateLimit(probed *registrar.Server, limit sender.RateLimit) {
	if !limit.Named {
		return
	}
	p.updateProbed(probed, func(g *group, s *server, now time.Time) { g.setRateLimit(s, limit, false, now) })
}

// take returns the limit if other entries have to be told of it, and marks it as reported.
func (l *rateLimit) take(now time.Time) (limit sender.RateLimit, report bool) {
	renew := l.isLimited(now) && l.seenAt.After(l.reportedAt) && now.Sub(l.reportedAt) >= limitReportInterval
	if !l.unreported && !renew {
		return limit, false
	}
	l.unreported, l.reportedAt = false, now
	return l.limit, true
}
