package prover

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("on the simulated platform, backend servers that refuse calls with 503 and Retry-After", Label("platform"), func() {
	const (
		pause = 3 * time.Second
		// notice is the time after a refusal from which it binds; no more than allowed requests may reach the server from an entry later.
		notice  = 500 * time.Millisecond
		allowed = 2
	)
	var f *platformFleet
	BeforeEach(func() {
		f = newPlatformFleet(3, 2)
		Expect(f.putConfig(configJSON(7))).To(Equal(http.StatusOK))
		for range 4 {
			f.addServer(10 * time.Millisecond)
		}
		f.waitServing()
		f.waitServersKnown()
	})

	// sendCalls sends calls to both entries for d and returns how many got each status and the longest time that a refusal took.
	sendCalls := func(d time.Duration) (statuses map[int]int, slowestRefusal time.Duration) {
		statuses = make(map[int]int)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i, begin := 0, time.Now(); time.Since(begin) < d; i++ {
			wg.Go(func() {
				sent := time.Now()
				method, path := http.MethodGet, "/s/x"
				if i%4 > 1 {
					method, path = http.MethodPost, "/o/x"
				}
				status, _ := f.entries[i%2].send(method, path, fmt.Sprintf("front-%d_%d-%d", i%2, i, begin.UnixNano()))
				mu.Lock()
				defer mu.Unlock()
				if statuses[status]++; status == http.StatusServiceUnavailable {
					slowestRefusal = max(slowestRefusal, time.Since(sent))
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		return statuses, slowestRefusal
	}

	// Guards against entries that go on sending calls, retries and probes to a server that has asked for none.
	It("get no more for that time, and then calls again", func() {
		s := f.servers[0]
		s.pause.Store(&pauseRequest{retryAfter: pause})
		statuses, _ := sendCalls(6 * time.Second)
		Expect(statuses[http.StatusOK]).To(BeNumerically(">=", 500), "the other servers take the calls: %v", statuses)
		Expect(s.worstPause(notice, pause)).To(BeNumerically("<=", allowed))
		s.pause.Store(nil)
		sendCalls(pause + 2*time.Second)
		begin := time.Now()
		sendCalls(2 * time.Second)
		Expect(s.callsAfter(begin)).To(BeNumerically(">", 10))
	})

	// Guards against calls that wait for a server when all of them have asked for none.
	It("leave calls refused at once with a Retry-After when all of them do", func() {
		for _, s := range f.servers {
			s.pause.Store(&pauseRequest{retryAfter: pause})
		}
		sendCalls(time.Second)
		statuses, slowest := sendCalls(time.Second)
		Expect(statuses[http.StatusServiceUnavailable]).To(BeNumerically(">", 50), "%v", statuses)
		Expect(slowest).To(BeNumerically("<", 300*time.Millisecond))
		_, header := f.entries[0].send(http.MethodPost, "/o/x", "refused")
		Expect(header.Get("Retry-After")).NotTo(BeEmpty())
		for _, s := range f.servers {
			Expect(s.worstPause(notice, pause)).To(BeNumerically("<=", allowed))
		}
	})
})
