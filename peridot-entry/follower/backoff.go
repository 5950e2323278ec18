package follower

import "time"

// A failed watch is repeated at once at another member, and then after pauses that grow by half each, so that all members have been tried
// within 0.4 s when there are eleven. The longest pause bounds how late an entry notices that an outage has ended: with five members that
// still fail, 1.25 s.
const (
	firstPause  = 5 * time.Millisecond
	maxPause    = 250 * time.Millisecond
	pauseGrowth = 1.5
)

// backoff determines the pauses between failed watches; it is not safe for concurrent use.
type backoff struct {
	// random returns a number from 0 up to 1. The pauses are spread by it, because an outage fails the watches of all entries together.
	random   func() float64
	failures int
	pause    time.Duration
}

// next returns the pause after another failure: none after the first one, then from half of a growing time up to all of it.
func (b *backoff) next() time.Duration {
	b.failures++
	switch b.failures {
	case 1:
		return 0
	case 2:
		b.pause = firstPause
	default:
		b.pause = min(time.Duration(float64(b.pause)*pauseGrowth), maxPause)
	}
	return time.Duration(float64(b.pause) * (1 + b.random()) / 2)
}

// reset makes the next failure the first one.
func (b *backoff) reset() { b.failures = 0 }
