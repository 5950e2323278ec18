package picker

import (
	"math/rand/v2"
	"time"
)

// globalSource is the source of the functions of math/rand, which may be used concurrently.
type globalSource struct{}

func (globalSource) Uint64() uint64 { return rand.Uint64() }

// randomTime returns a random time below d.
func (g *group) randomTime(d time.Duration) time.Duration {
	return time.Duration(g.random.Int64N(int64(d)))
}
