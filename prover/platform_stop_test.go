package prover

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("on the simulated platform, a planned stop of an entry", Label("platform"), func() {
	// Guards against calls that a stopping entry takes although it cuts them off before they can end.
	It("cuts off no call that takes half of the grace, and refuses those that come too late as not run", func() {
		const (
			serviceTime = 3 * time.Second
			grace       = 6 * time.Second
			interval    = 100 * time.Millisecond
		)
		f := newPlatformFleet(3, 1)
		Expect(f.putConfig(strings.ReplaceAll(configJSON(7), `"timeout_ms":2000`, `"timeout_ms":20000`))).To(Equal(http.StatusOK))
		for range 10 {
			f.addServer(time.Millisecond)
		}
		f.waitServing()
		for _, s := range f.servers {
			s.setServiceTime(serviceTime)
		}
		e := f.entries[0]
		var mu sync.Mutex
		var wg sync.WaitGroup
		statuses := make(map[int]int)
		var cut, untrue []string
		stopAt := time.Now().Add(2 * serviceTime)
		for i, stopped := 0, false; time.Since(stopAt) < grace-interval; i++ {
			if !stopped && time.Now().After(stopAt) {
				stopped = true
				e.signal(syscall.SIGTERM)
			}
			wg.Go(func() {
				method, path := http.MethodGet, "/s/x"
				if i%2 == 0 {
					method, path = http.MethodPost, "/o/x"
				}
				id := fmt.Sprintf("front-0_%d", i)
				status := e.sendPatiently(method, path, id)
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
				switch ran := f.runs(id) > 0; {
				case ran && status == 0:
					cut = append(cut, id)
				case ran && status == http.StatusServiceUnavailable:
					untrue = append(untrue, id)
				}
			})
			time.Sleep(interval)
		}
		wg.Wait()
		Eventually(e.done, "2s", "10ms").Should(BeClosed())
		Expect(cut).To(BeEmpty(), "%v", statuses)
		Expect(untrue).To(BeEmpty(), "%v", statuses)
		Expect(statuses[http.StatusOK]).To(BeNumerically(">", 60), "%v", statuses)
		Expect(statuses[http.StatusServiceUnavailable]).NotTo(BeZero(), "%v", statuses)
	})

	// Guards against callers whose connection ends without a response at the stop, because a server didn't respond to their calls.
	It("ends the calls to servers that don't respond before its time is over", func() {
		f := newPlatformFleet(3, 1)
		Expect(f.putConfig(strings.ReplaceAll(configJSON(7), `"timeout_ms":2000`, `"timeout_ms":20000`))).To(Equal(http.StatusOK))
		end := make(chan struct{})
		DeferCleanup(func() { close(end) })
		for range 4 {
			s := f.newServer("127.0.0.1:0", time.Millisecond)
			s.respond = func(_ http.ResponseWriter, req *http.Request) bool {
				if strings.HasSuffix(req.URL.Path, "/silent") {
					<-end
				}
				return false
			}
			f.start(s)
		}
		f.waitServing()
		f.waitServersKnown()
		e := f.entries[0]
		const calls = 8
		statuses := make([]int, calls)
		var wg sync.WaitGroup
		for i := range calls {
			wg.Go(func() {
				method, path := http.MethodGet, "/s/silent"
				if i%2 == 0 {
					method, path = http.MethodPost, "/o/silent"
				}
				statuses[i] = e.sendPatiently(method, path, fmt.Sprintf("front-0_%d", i))
			})
		}
		time.Sleep(500 * time.Millisecond)
		e.signal(syscall.SIGTERM)
		wg.Wait()
		for _, status := range statuses {
			Expect(status).To(Equal(http.StatusBadGateway), "%v", statuses)
		}
		Eventually(e.done, "2s", "10ms").Should(BeClosed())
	})
})

// patientClient is for calls whose deadline is after the stop of their entry.
var patientClient = &http.Client{Timeout: 20 * time.Second}

// sendPatiently sends a call with a deadline of 15 s and returns the status, 0 without a whole response.
func (p *platformProcess) sendPatiently(method, path, id string) (status int) {
	defer GinkgoRecover()
	req, err := http.NewRequest(method, p.url(frontPort, path), nil)
	Expect(err).NotTo(HaveOccurred())
	req.Host = "shop.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "15000")
	res, err := patientClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err = io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}
