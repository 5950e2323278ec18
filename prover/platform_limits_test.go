package prover

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// limitWindow is the time over which the calls to a server that limits them are counted. It may get one and a half times its limit in it,
// and five more.
const limitWindow = 4 * time.Second

// limit makes the server name a limit, or none if perSecond is 0.
func (s *platformServer) limit(perSecond float64) {
	if perSecond == 0 {
		s.rateLimit.Store(nil)
		return
	}
	text := strconv.FormatFloat(perSecond, 'f', -1, 64)
	s.rateLimit.Store(&text)
}

// worstWindow returns the most calls that reached the server in limitWindow, of those after begin.
func (s *platformServer) worstWindow(begin time.Time) (worst int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for first, last := 0, 0; last < len(s.arrivals); last++ {
		for s.arrivals[first].Before(begin) && first < last || s.arrivals[last].Sub(s.arrivals[first]) > limitWindow {
			first++
		}
		worst = max(worst, last-first+1)
	}
	return worst
}

func (s *platformServer) callsAfter(t time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.After(t) {
			n++
		}
	}
	return n
}

var _ = Describe("on the simulated platform, backend servers that limit requests", Label("platform"), func() {
	const perSecond = 2.0
	// learned is the time in which every entry has had a response of every server.
	const learned = time.Second
	var f *platformFleet
	// sendCalls sends calls at about 100 a second for d, and returns how many got each status, and the longest time that a refusal took.
	sendCalls := func(d time.Duration) (statuses map[int]int, slowestRefusal time.Duration) {
		statuses = make(map[int]int)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i, begin := 0, time.Now(); time.Since(begin) < d; i++ {
			wg.Go(func() {
				sent := time.Now()
				status, header := f.entries[i%len(f.entries)].send(http.MethodGet, "/s/x", fmt.Sprintf("c-%d-%d", i, begin.UnixNano()))
				mu.Lock()
				defer mu.Unlock()
				if statuses[status]++; status == http.StatusServiceUnavailable {
					slowestRefusal = max(slowestRefusal, time.Since(sent))
					if header.Get("Retry-After") == "" {
						statuses[0]++
					}
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		return statuses, slowestRefusal
	}
	BeforeEach(func() {
		f = newPlatformFleet(3, 4)
		Expect(f.putConfig(configJSON(7))).To(Equal(http.StatusOK))
		for range 5 {
			f.addServer(10 * time.Millisecond)
		}
		f.waitServing()
	})

	// Guards against entries that send a server more requests than it takes from all of them together.
	It("get no more than that from all entries together, and calls again once they name no limit", func() {
		f.servers[0].limit(perSecond)
		begin := time.Now()
		statuses, _ := sendCalls(9 * time.Second)
		Expect(f.servers[0].worstWindow(begin.Add(learned))).To(BeNumerically("<=", 1.5*perSecond*limitWindow.Seconds()+5))
		Expect(f.servers[0].callsAfter(begin.Add(learned))).NotTo(BeZero(), "the server takes some")
		Expect(statuses[http.StatusOK]).To(BeNumerically(">=", 600), "the other servers take the rest: %v", statuses)
		f.servers[0].limit(0)
		sendCalls(3 * time.Second)
		ended := time.Now()
		sendCalls(2 * time.Second)
		Expect(f.servers[0].callsAfter(ended)).To(BeNumerically(">", 2*perSecond*2))
	})

	// Guards against calls that wait for a server that may not take them, instead of being refused at once.
	It("are all within their limits, and what they can't take is refused at once with Retry-After", func() {
		for _, s := range f.servers {
			s.limit(perSecond)
		}
		begin := time.Now()
		sendCalls(learned)
		statuses, slowest := sendCalls(8 * time.Second)
		for _, s := range f.servers {
			Expect(s.worstWindow(begin.Add(learned))).To(BeNumerically("<=", 1.5*perSecond*limitWindow.Seconds()+5))
		}
		Expect(statuses[0]).To(BeZero(), "%v", statuses)
		Expect(statuses[http.StatusOK]).To(BeNumerically(">=", 5*perSecond*8/2), "%v", statuses)
		Expect(slowest).To(BeNumerically("<", 200*time.Millisecond))
	})
})
