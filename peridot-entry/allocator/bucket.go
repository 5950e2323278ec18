package allocator

import (
	"math"
	"time"
)

// Limit is the rate limit of an account.
type Limit struct {
	// Rate is in calls per second.
	Rate, Burst float64
	// Number is that of the routing that contains the limit.
	Number uint64
}

// isValid reports whether l can be the limit of a bucket; messages of other entries may contain anything.
func (l Limit) isValid() bool {
	return l.Rate > 0 && l.Burst >= 0 && !math.IsInf(l.Rate, 0) && !math.IsInf(l.Burst, 0)
}

// bucket holds tokens.
type bucket struct {
	// limit is the limit of the account of which the bucket is a share.
	limit  Limit
	tokens float64
	// since is when the entry became the holder, and filledAt when tokens was computed.
	since, filledAt time.Duration
}

// fill adds the tokens of the time since the last call, at rate per second up to capacity.
func (b *bucket) fill(now time.Duration, rate, capacity float64) {
	if now > b.filledAt {
		b.tokens += (now - b.filledAt).Seconds() * rate
		b.filledAt = now
	}
	b.tokens = min(b.tokens, capacity)
}

// take takes up to n tokens and returns how many it took.
func (b *bucket) take(n int) int {
	n = min(n, int(b.tokens))
	b.tokens -= float64(n)
	return n
}

// waitForOne returns the time until the bucket has a token, if it is filled at rate per second.
func (b *bucket) waitForOne(rate float64) time.Duration {
	seconds := min(max(1-b.tokens, 0)/rate, maxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
