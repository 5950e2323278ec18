package prover

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("on the simulated platform, retries of all entries together", Label("platform"), func() {
	// In any window, a service may get slack attempts beyond the first of each call, and a share of its calls more.
	const (
		window  = 10 * time.Second
		share   = 0.2
		slack   = 60
		entries = 16
	)

	// Guards against entries whose starts each add to what the fleet may retry.
	It("stay within their budget when servers refuse all calls and all entries restart several times", func() {
		f := newPlatformFleet(3, entries)
		Expect(f.putConfig(configJSON(7))).To(Equal(http.StatusOK))
		for range 4 {
			f.addServer(time.Millisecond)
		}
		f.waitServing()
		for _, s := range f.servers {
			s.full.Store(true)
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		var sent []time.Time
		for life := range 3 {
			if life > 0 {
				for _, e := range f.entries {
					e.kill()
				}
				for _, e := range f.entries {
					e.start()
				}
				for _, e := range f.entries {
					Eventually(func() int { status, _ := get(e.url(readyPort, "/ready")); return status }, "20s", "20ms").Should(Equal(http.StatusOK))
				}
			}
			for i := range 6 * entries {
				wg.Go(func() {
					mu.Lock()
					sent = append(sent, time.Now())
					mu.Unlock()
					f.entries[i%entries].send(http.MethodPost, "/o/x", fmt.Sprintf("front-%d_%d-%d", i%entries, life, i))
				})
				time.Sleep(10 * time.Millisecond)
			}
			wg.Wait()
		}
		repeats := f.repeats()
		for _, end := range repeats {
			extra, calls := countWithin(repeats, end, window), countWithin(sent, end, window)
			Expect(float64(extra)).To(BeNumerically("<=", share*float64(calls)+slack), "%d retries and %d calls in %v", extra, calls, window)
		}
	})
})

// countWithin returns how many of the times are in the window that ends at end.
func countWithin(times []time.Time, end time.Time, window time.Duration) (n int) {
	for _, t := range times {
		if !t.After(end) && end.Sub(t) < window {
			n++
		}
	}
	return n
}
