package limiter

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// useHalfLife is the half-life of the count of an account's recent calls. Each of 92 entries sees a call of a usual account every 10 s
	// or so; an account that sends ten times its usual rate for some seconds must still stand out.
	useHalfLife = 5 * time.Second
	// shortageTime is how long a service counts as short of capacity after a call found all of its servers full.
	shortageTime = time.Second
	// fairTime is how long the fair shares hold after that. Calls are refused in bouts of a second or so with pauses between them: in the
	// simulation of the picker, an account at ten times its rate was served 0.71 to 0.80 of its calls with 1 s, and 0.63 to 0.65 with 6 s.
	fairTime = 5 * time.Second
	// servedGrowth is the ratio of the calls that are within the fair shares to those that found capacity recently. Above 1, so that the
	// shares grow when there is more capacity, and so that chance refusals below 1 in 20 calls limit no account.
	servedGrowth = 1.05
	// leastShare is the least share of an account's calls that count as within its fair share, relative to the share of all calls that find
	// capacity. The requirement is a quarter of the mean share served over the accounts, which is higher than that over all calls where large
	// accounts are refused most: with 0.3, large accounts were served 0.195 of their calls and the mean was 0.824.
	leastShare = 0.4
	// chanceDeviations is by how many standard deviations an account's recent calls may exceed its share: an entry sees less than one call of
	// most accounts in useHalfLife, so that chance alone puts many of them far above a share of their weight.
	chanceDeviations = 1
	// maxAccounts bounds the accounts with counts of their own for a service and rank; the calls of further ones are counted together with
	// those without an account.
	maxAccounts = 4096
	// minUse is the count below which an account is forgotten.
	minUse = 0.01
	// maxScale is the scale of new counts at which all counts are divided by it.
	maxScale = 1 << 20
	// levelInterval is how long a computed level is used.
	levelInterval = 50 * time.Millisecond
)

// FairShares decides which calls of client accounts must leave the capacity of a service to others while it is short of capacity. Load
// condition: calls find all servers full, and some accounts send more than the others. The capacity that recent calls found is divided among
// the accounts of a rank by weighted max-min fairness; calls beyond an account's share are to use only what others leave. Each entry decides by the
// calls that it sees itself. FairShares is safe for concurrent use.
type FairShares struct {
	mu     sync.Mutex
	groups map[fairKey]*fairGroup
}

type fairKey struct {
	service string
	rank    int
}

// fairGroup counts the recent calls of the accounts of one rank for one service. Instead of decaying the old counts, it adds new ones with a
// scale that doubles every useHalfLife.
type fairGroup struct {
	calls   map[string]accountUse
	total   float64
	refused float64
	epoch   time.Time
	// fullAt is when a call last found all servers full.
	fullAt time.Time
	// level is the fair share of an account, in recent calls for each unit of its weight; it was computed at levelAt. meanWeight is the mean
	// of the known weights, for accounts without one.
	level      float64
	meanWeight float64
	levelAt    time.Time
}

// accountUse is the scaled count of an account's calls and its weight, 0 if it has none.
type accountUse struct{ calls, weight float64 }

// NewFairShares returns a FairShares that has seen no calls.
func NewFairShares() *FairShares { return &FairShares{groups: make(map[fairKey]*fairGroup)} }

// FairCall is a call that FairShares has counted.
type FairCall struct {
	shares *FairShares
	group  *fairGroup
	// recent is the number of recent calls of the account before this one, weight its weight.
	recent, weight float64
}

// Begin counts a call; account is empty for a call without one. The weight of an account is its rate limit, so that large accounts have large
// shares; one without a limit, for which it is 0, has the mean weight.
func (f *FairShares) Begin(service string, rank int, account string, weight float64, now time.Time) *FairCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := fairKey{service, rank}
	g := f.groups[key]
	if g == nil {
		g = &fairGroup{calls: make(map[string]accountUse), epoch: now}
		f.groups[key] = g
	}
	scale := g.scale(now)
	if _, known := g.calls[account]; !known && len(g.calls) >= maxAccounts {
		account, weight = "", 0
	}
	use := g.calls[account]
	c := &FairCall{shares: f, group: g, recent: use.calls / scale, weight: weight}
	g.calls[account] = accountUse{use.calls + scale, weight}
	g.total += scale
	return c
}

// IsBeyond reports whether the call is beyond the fair share of its account and must use only the capacity that others leave. draw is a
// random number from 0 to 1 that belongs to the call. Without a recent shortage, or with calls of a single account, no call is.
func (c *FairCall) IsBeyond(draw float64, now time.Time) bool {
	c.shares.mu.Lock()
	defer c.shares.mu.Unlock()
	g := c.group
	if len(g.calls) < 2 || !g.isShort(now, fairTime) {
		return false
	}
	if now.Sub(g.levelAt) >= levelInterval {
		g.updateLevel(now)
	}
	share := g.level * cmp.Or(c.weight, g.meanWeight)
	return draw > max((share+chanceDeviations*math.Sqrt(share))/c.recent, leastShare*(1-g.refused/g.total))
}

// IsShort reports whether the service is short of capacity for calls of this rank.
func (c *FairCall) IsShort(now time.Time) bool {
	c.shares.mu.Lock()
	defer c.shares.mu.Unlock()
	return c.group.isShort(now, shortageTime)
}

// isShort reports whether a call has found all servers full within the given time.
func (g *fairGroup) isShort(now time.Time, within time.Duration) bool {
	return !g.fullAt.IsZero() && now.Sub(g.fullAt) <= within
}

// RecordFull records that the call found all servers full. Calls beyond their fair share don't count, because they don't try all servers.
func (c *FairCall) RecordFull(now time.Time) {
	c.shares.mu.Lock()
	defer c.shares.mu.Unlock()
	c.group.fullAt = now
}

// RecordRefused records that the call was refused for lack of capacity.
func (c *FairCall) RecordRefused(now time.Time) {
	c.shares.mu.Lock()
	defer c.shares.mu.Unlock()
	c.group.refused += c.group.scale(now)
}

// scale returns the scale of new counts, after it has divided all of them by a scale that has become too large.
func (g *fairGroup) scale(now time.Time) float64 {
	scale := math.Exp2(float64(now.Sub(g.epoch)) / float64(useHalfLife))
	if scale < maxScale {
		return scale
	}
	g.total, g.refused, g.epoch = 0, g.refused/scale, now
	for account, use := range g.calls {
		use.calls /= scale
		if use.calls < minUse {
			delete(g.calls, account)
			continue
		}
		g.calls[account] = use
		g.total += use.calls
	}
	return 1
}

// updateLevel computes the greatest number of calls for each unit of weight that an account may have so that the sum over all accounts, each
// with its calls up to that number, is what found capacity recently, times servedGrowth.
func (g *fairGroup) updateLevel(now time.Time) {
	scale := g.scale(now)
	sum, n := 0.0, 0
	for _, use := range g.calls {
		if use.weight > 0 {
			sum += use.weight
			n++
		}
	}
	g.levelAt, g.meanWeight = now, 1
	if n > 0 {
		g.meanWeight = sum / float64(n)
	}
	uses := make([]accountUse, 0, len(g.calls))
	for _, use := range g.calls {
		uses = append(uses, accountUse{use.calls, cmp.Or(use.weight, g.meanWeight)})
	}
	g.level = waterLevel(uses, servedGrowth*(g.total-g.refused)) / scale
}

// waterLevel returns the level at which the calls, each capped at the level times its weight, add up to sum; infinite when all of them
// together don't exceed it.
func waterLevel(uses []accountUse, sum float64) float64 {
	slices.SortFunc(uses, func(a, b accountUse) int { return cmp.Compare(a.calls*b.weight, b.calls*a.weight) })
	rest, weights := max(sum, 0), 0.0
	for _, use := range uses {
		weights += use.weight
	}
	for _, use := range uses {
		if level := rest / weights; use.calls > level*use.weight {
			return level
		}
		rest -= use.calls
		weights -= use.weight
	}
	return math.Inf(1)
}
