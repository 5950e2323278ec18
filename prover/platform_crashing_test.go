package prover

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// crashRestart is how long a crashed backend server is down.
	crashRestart = time.Second
	// crashNotice is the time within which all entries must know that a request has crashed three servers, and crashRetries how many more
	// times the request may be sent to servers after that.
	crashNotice  = 3 * time.Second
	crashRetries = 3
)

// crashes records the times at which a request has crashed backend servers.
type crashes struct {
	mu    sync.Mutex
	times []time.Time
}

func (c *crashes) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, time.Now())
}

func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.times)
}

// sinceThird returns how many crashes came later than crashNotice after the third one.
func (c *crashes) sinceThird() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := 3; i < len(c.times); i++ {
		if c.times[i].Sub(c.times[2]) > crashNotice {
			n++
		}
	}
	return n
}

var _ = Describe("on the simulated platform, a request that crashes its backend servers", Label("platform"), func() {
	const poison = "/s/poison"
	newCrashingFleet := func() (*platformFleet, *crashes) {
		f, c := newPlatformFleet(3, 3), &crashes{}
		Expect(f.putConfig(configJSON(7))).To(Equal(http.StatusOK))
		for range 10 {
			f.addCrashingServer(poison, crashRestart, c.add)
		}
		f.waitServing()
		return f, c
	}
	// sendPoison sends the request again and again, through one entry after the other, until the time is over.
	sendPoison := func(f *platformFleet, method, path string, d time.Duration) {
		for i, begin := 0, time.Now(); time.Since(begin) < d; i++ {
			f.entries[i%len(f.entries)].send(method, path, fmt.Sprintf("p-%d", time.Now().UnixNano()))
			time.Sleep(50 * time.Millisecond)
		}
	}

	// Guards against entries that send a request on although it has crashed three servers elsewhere.
	It("reaches at most three more servers once three have crashed, whichever entry gets it, and refuses no other call", func() {
		f, c := newCrashingFleet()
		sendPoison(f, http.MethodGet, poison, 3*crashNotice)
		Expect(c.count()).To(BeNumerically(">=", 2), "the request has crashed servers")
		Expect(c.sinceThird()).To(BeNumerically("<=", crashRetries))
		for i := range 30 {
			status, _ := f.entries[i%3].send(http.MethodGet, fmt.Sprintf("/s/item-%d", i), fmt.Sprintf("other-%d", i))
			Expect(status).To(Equal(http.StatusOK))
		}
	})

	// Guards against a quarantine that ends with the process that counted the crashes.
	It("stays refused after all control members have been killed and one entry has restarted", func() {
		f, c := newCrashingFleet()
		sendPoison(f, http.MethodGet, poison, 2*crashNotice)
		Expect(c.count()).To(BeNumerically(">=", 2))
		for _, m := range f.control {
			m.kill()
		}
		f.entries[0].kill()
		for i, m := range f.control {
			f.writeSettings(m, fmt.Sprintf("core-%d", i), false)
			m.start()
		}
		f.writeSettings(f.entries[0], "front-0", false)
		f.entries[0].start()
		f.waitServing()
		time.Sleep(crashNotice)
		before := c.count()
		sendPoison(f, http.MethodGet, poison, crashNotice)
		Expect(c.count() - before).To(BeNumerically("<=", crashRetries))
	})
})
