package prover

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("on the simulated platform, a backend server that says it leaves", Label("platform"), func() {
	// drainTime is the time after which an entry that has passed on such a response must send the server no more calls.
	const drainTime = 2 * time.Second
	var f *platformFleet
	var leaving *platformServer
	BeforeEach(func() {
		f = newPlatformFleet(3, 2)
		Expect(f.putConfig(configJSON(7))).To(Equal(http.StatusOK))
		leaving = f.addServer(10 * time.Millisecond)
		for range 3 {
			f.addServer(10 * time.Millisecond)
		}
		f.waitServing()
		f.waitServersKnown()
	})

	// sendCalls sends unsafe calls to both entries for d and returns how many had no successful response.
	sendCalls := func(d time.Duration) (failed int) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i, begin := 0, time.Now(); time.Since(begin) < d; i++ {
			wg.Go(func() {
				if status, _ := f.entries[i%2].send(http.MethodPost, "/o/x", fmt.Sprintf("l-%d-%d", i, begin.UnixNano())); status != http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					failed++
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		return failed
	}

	// Guards against entries out of touch with control that go on sending calls to a server until it exits.
	It("gets no calls from entries that control can't reach, and its calls go to others", func() {
		for _, c := range f.control {
			c.pause()
		}
		leaving.leaving.Store(true)
		Expect(sendCalls(drainTime)).To(BeZero())
		told := time.Now()
		Expect(sendCalls(2 * time.Second)).To(BeZero())
		Expect(leaving.callsAfter(told)).To(BeZero())
	})

	// Guards against a list of control that still has the server as ready and makes entries forget what it said.
	It("gets no calls while its announcements still say that it is ready and other servers come and go", func() {
		leaving.leaving.Store(true)
		Expect(sendCalls(drainTime)).To(BeZero())
		told := time.Now()
		for range 4 {
			f.addServer(10 * time.Millisecond)
			Expect(sendCalls(500 * time.Millisecond)).To(BeZero())
		}
		Expect(leaving.callsAfter(told)).To(BeZero())
	})
})
