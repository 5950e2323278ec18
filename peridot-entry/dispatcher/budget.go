package dispatcher

import (
	"sync"
	"time"
)

const (
	// defaultAdvance is the default of how many retries a service may make before its calls have paid for them.
	defaultAdvance = 3
	// hedgeReserve is the number of tokens that hedges leave to retries of attempts that were shed or failed.
	hedgeReserve = 5
	// defaultBurst is the default capacity of the token buckets.
	defaultBurst = 10
)

// newBudget returns a budget with an advance, which deposits repay before they add tokens.
func newBudget(advance, burst float64) *budget {
	return &budget{total: tokenBucket{tokens: min(advance, burst), debt: advance}}
}

// budget limits the retries and hedges for a service at this entry to a share of its calls.
type budget struct {
	mu sync.Mutex
	// Every retry and hedge takes a token from total; a hedge takes one from hedges too.
	total  tokenBucket
	hedges tokenBucket
}

// tokenBucket is filled by calls rather than by time. Its debt is the part of an advance that is not yet repaid.
type tokenBucket struct {
	tokens float64
	debt   float64
}

func (t *tokenBucket) deposit(share, burst float64) {
	repaid := min(t.debt, share)
	t.debt -= repaid
	t.tokens = min(t.tokens+share-repaid, burst)
}

func (t *tokenBucket) hasToken() bool { return t.tokens >= 1 }

// deposit adds the shares of a call. Retries and hedges together stay within the greater of both shares.
func (b *budget) deposit(retryShare, hedgeShare, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total.deposit(max(retryShare, hedgeShare), burst)
	b.hedges.deposit(hedgeShare, burst)
}

// withdraw takes a token for a retry or hedge and reports whether there was one.
func (b *budget) withdraw(hedge bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.total.hasToken() || hedge && (!b.hedges.hasToken() || b.total.tokens < hedgeReserve) {
		return false
	}
	b.total.tokens--
	if hedge {
		b.hedges.tokens--
	}
	return true
}

const (
	// hedgeQuantile is the latency quantile after which a call hedges.
	hedgeQuantile = 0.95
	// quantileStep is the relative size of the step by which a sample moves the estimate, before weighting by the quantile.
	quantileStep = 0.05
	// minSamples is the number of samples below which there is no estimate.
	minSamples = 100
)

// quantile estimates hedgeQuantile of the recent latencies: each sample moves the estimate by a small step up or down.
type quantile struct {
	mu       sync.Mutex
	estimate float64
	samples  int
}

func (q *quantile) observe(latency time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.samples++
	x := float64(latency)
	if q.samples == 1 {
		q.estimate = x
	}
	if x > q.estimate {
		q.estimate += quantileStep * hedgeQuantile * q.estimate
		return
	}
	q.estimate -= quantileStep * (1 - hedgeQuantile) * q.estimate
}

// value returns the estimate; ok is false until there are enough samples.
func (q *quantile) value() (d time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Duration(q.estimate), q.samples >= minSamples
}

// peakDecay is the share of its distance to a lower latency that a peak loses with each response.
const peakDecay = 0.05

// peak follows the longest of the recent latencies: it rises to a higher one at once.
type peak struct {
	mu      sync.Mutex
	latency time.Duration
}

func (p *peak) observe(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if latency < p.latency {
		latency = p.latency - time.Duration(peakDecay*float64(p.latency-latency))
	}
	p.latency = latency
}

// value returns the peak, or 0 without a response.
func (p *peak) value() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latency
}
