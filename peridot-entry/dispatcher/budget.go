package dispatcher

import (
	"sync"
	"time"
)

const (
	// loan is how many extra calls a service may make before its calls have earned them; calls repay it first.
	loan = 3
	// hedgeFloor is how many tokens hedges leave to calls that were shed or lost.
	hedgeFloor = 5
	// maxSaved bounds the extra calls that a quiet time saves up.
	maxSaved = 10
)

// budget bounds a service's extra calls at an entry to shares of its calls.
type budget struct {
	mu      sync.Mutex
	started bool
	// total is spent by every extra call, hedges by hedges besides.
	total  allowance
	hedges allowance
}

// allowance is a token bucket that starts with a loan.
type allowance struct {
	tokens float64
	debt   float64
}

func (a *allowance) earn(share, most float64) {
	repaid := min(a.debt, share)
	a.debt -= repaid
	a.tokens = min(a.tokens+share-repaid, most)
}

func (a *allowance) has() bool { return a.tokens >= 1 }

// earn counts one call of a caller; all extra calls together stay within the greater of the shares.
func (b *budget) earn(retryShare, hedgeShare, saved float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.started {
		b.started = true
		b.total = allowance{tokens: min(loan, saved), debt: loan}
	}
	b.total.earn(max(retryShare, hedgeShare), saved)
	b.hedges.earn(hedgeShare, saved)
}

// spend takes a token for an extra call.
func (b *budget) spend(hedge bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.total.has() || hedge && (!b.hedges.has() || b.total.tokens < hedgeFloor) {
		return false
	}
	b.total.tokens--
	if hedge {
		b.hedges.tokens--
	}
	return true
}

const (
	// hedgeQuantile is the share of answers that come before a call hedges.
	hedgeQuantile = 0.95
	// quantileStep is how much of the estimate one answer moves it.
	quantileStep = 0.05
	// minSamples is how many answers an estimate needs.
	minSamples = 100
)

// quantile follows a quantile of recent latencies by small steps up and down.
type quantile struct {
	mu       sync.Mutex
	estimate float64
	samples  int
}

func (q *quantile) add(took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.samples++
	x := float64(took)
	if q.samples == 1 {
		q.estimate = x
	}
	if x > q.estimate {
		q.estimate += quantileStep * hedgeQuantile * q.estimate
		return
	}
	q.estimate -= quantileStep * (1 - hedgeQuantile) * q.estimate
}

// read returns the estimate; ok is false before there are enough samples.
func (q *quantile) read() (d time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Duration(q.estimate), q.samples >= minSamples
}
