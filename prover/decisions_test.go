package prover

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// decisionRules has deadlines long enough for a loaded machine; GET /sync is deferrable.
const decisionRules = `
defaults: {repeat: at-most-once, deadline: 20s, attempts: 3, retry-share: 0.1}
rules:
  - {service: stock-lookup, path: /sync, repeat: idempotent, priority: deferrable}
  - {service: stock-lookup, path: /chain, repeat: idempotent, retry-share: 0.5}
  - {service: stock-lookup, method: GET, repeat: idempotent}
`

// newDecisionFleet starts a fleet with the given number of entries and n backend servers with the given behaviour.
func newDecisionFleet(entries, n int, behaviour string, args ...string) (*fleet, []*loadServer) {
	f := newFleet("velario", entries, func(f *fleet) { f.rules = []byte(decisionRules) })
	var servers []*loadServer
	for i := range n {
		args := append([]string{"--behaviour", behaviour}, args...)
		servers = append(servers, f.startServer("stock-lookup", fmt.Sprintf("server-%d", i), f.inventory.AvailabilityZones[0].Name, args...))
	}
	for _, e := range f.entries {
		Eventually(func() int { return readyServers(e, "stock-lookup") }, "20s", "50ms").Should(Equal(n))
	}
	return f, servers
}

// readyServers returns the number of ready backend servers of a service that the entry lists.
func readyServers(e *entryProcess, service string) (n int) {
	_, text := e.get("/peridot/servers", "application/json")
	var r struct {
		Servers []struct{ Service, State string }
	}
	Expect(json.Unmarshal([]byte(text), &r)).To(Succeed())
	for _, s := range r.Servers {
		if s.Service == service && s.State == "ready" {
			n++
		}
	}
	return n
}

func lookup(f *fleet, path string, header map[string]string) *response {
	r, err := call(f.entries[0].address, http.MethodGet, "/call/stock-lookup"+path, "", header)
	Expect(err).NotTo(HaveOccurred())
	return r
}

var _ = Describe("retries, hedging and priorities under load and faults", Label("decisions"), func() {
	It("sends a shed call to another server at once, even an order", func() {
		f, servers := newDecisionFleet(1, 2, `{}`)
		Expect(servers[0].setBehaviour(`{"shed-share":1}`)).To(Succeed())
		for i := range 20 {
			r, err := call(f.entries[0].address, http.MethodPost, "/call/stock-lookup/order", "wax", map[string]string{"Idempotency-Key": fmt.Sprint("key-", i)})
			Expect(err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(http.StatusOK), r.body)
			Expect(lookup(f, "/item", nil).status).To(Equal(http.StatusOK))
		}
		Expect(readCounters(servers[0].address).Shed).To(BeNumerically(">", 0), "no call was shed")
		Expect(sumCounters(servers).Finished).To(BeEquivalentTo(40))
	})

	for name, behaviour := range map[string]string{"fails": `{"fail-share":1}`, "sheds": `{"shed-share":1}`} {
		It("sends at most 10 % extra attempts when every server "+name, func() {
			const calls = 300
			f, servers := newDecisionFleet(2, 3, behaviour)
			for i := range calls {
				_, err := call(f.entries[i%2].address, http.MethodGet, "/call/stock-lookup/item", "", nil)
				Expect(err).NotTo(HaveOccurred())
			}
			sum := sumCounters(servers)
			Expect(sum.Calls).To(BeNumerically("<=", calls*11/10))
			Expect(sum.Extra).To(BeNumerically(">=", calls/20), "too few extra attempts: the budget is not used")
		})
	}

	It("keeps sending calls when all servers fail, and succeeds as soon as they have recovered", func() {
		f, servers := newDecisionFleet(1, 3, `{"fail-share":1}`)
		for range 60 {
			r := lookup(f, "/item", nil)
			Expect(r.status).To(Equal(http.StatusInternalServerError), r.body)
			Expect(r.header.Get("Peridot-Outcome")).To(Equal("ran"))
		}
		_, text := f.entries[0].get("/peridot/servers", "application/json")
		Expect(text).To(ContainSubstring(`"reported"`))
		for _, s := range servers {
			Expect(s.setBehaviour(`{"fail-share":0}`)).To(Succeed())
		}
		for range 20 {
			Expect(lookup(f, "/item", nil).status).To(Equal(http.StatusOK))
		}
	})

	It("answers every interactive call during an overload of deferrable ones", func() {
		f, servers := newDecisionFleet(1, 2, `{"queue":0,"service-time":"5ms"}`)
		var answered, stop atomic.Int64
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() {
				for stop.Load() == 0 {
					r, err := call(f.entries[0].address, http.MethodGet, "/call/stock-lookup/sync", "", nil)
					if err == nil && r.status == http.StatusOK {
						answered.Add(1)
					}
				}
			})
		}
		Eventually(answered.Load, "20s", "10ms").Should(BeNumerically(">", 20))
		for range 200 {
			r := lookup(f, "/item", nil)
			Expect(r.status).To(Equal(http.StatusOK), r.body)
		}
		stop.Store(1)
		wg.Wait()
		Expect(sumCounters(servers).Shed).To(BeNumerically("<", sumCounters(servers).Calls/10), "deferrable calls were sent to full servers")
	})

	It("does not multiply retries along a chain of 8 nested calls", func() {
		f, servers := newDecisionFleet(1, 10, `{}`)
		// At depth 3 the retry budget alone would allow more than twice as many attempts; at depth 8 it bounds them too.
		for _, depth := range []int{3, 8} {
			for range 200 {
				Expect(lookup(f, "/chainless", nil).status).To(Equal(http.StatusOK))
			}
			before := sumCounters(servers).Failed
			Expect(lookup(f, fmt.Sprintf("/chain/%d", depth), nil).status).To(Equal(http.StatusInternalServerError))
			lastAttempts := sumCounters(servers).Failed - before
			Expect(lastAttempts).To(BeNumerically(">", 3), "no call above the last one was retried")
			Expect(lastAttempts).To(BeNumerically("<=", 3+2*depth), "retries were themselves retried")
		}
	})

	It("forwards the deadline and cancels calls that nobody waits for", func() {
		f, servers := newDecisionFleet(1, 1, `{"service-time":"1h"}`)
		r := lookup(f, "/item", map[string]string{"Peridot-Deadline-Ms": "1000"})
		Expect(r.status).To(Equal(http.StatusGatewayTimeout), r.body)
		Expect(r.header.Get("Peridot-Outcome")).To(Equal("unknown"))
		Expect(readCounters(servers[0].address).DeadlineMS).To(And(BeNumerically(">", 0), BeNumerically("<=", 1000)))
		Eventually(func() int64 { return readCounters(servers[0].address).Canceled }, "10s", "20ms").Should(BeNumerically("==", 1))
	})

	It("never resends an order after a byte of it was sent", func() {
		ledger := filepath.Join(GinkgoT().TempDir(), "ledger")
		f, servers := newDecisionFleet(1, 3, `{}`, "--ledger", ledger)
		for range 150 {
			Expect(lookup(f, "/item", nil).status).To(Equal(http.StatusOK))
		}
		Expect(servers[0].setBehaviour(`{"fail-share":1}`)).To(Succeed())
		Expect(servers[1].setBehaviour(`{"service-time":"1h"}`)).To(Succeed())
		Expect(servers[2].setBehaviour(`{"shed-share":0.5}`)).To(Succeed())
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				defer GinkgoRecover()
				header := map[string]string{"Idempotency-Key": fmt.Sprint("key-", i), "Peridot-Deadline-Ms": "2000"}
				_, err := call(f.entries[0].address, http.MethodPost, "/call/stock-lookup/order", "wax", header)
				Expect(err).NotTo(HaveOccurred())
			})
		}
		wg.Wait()
		runs := ledgerKeys(ledger)
		Expect(len(runs)).To(BeNumerically(">", 20))
		for key, n := range runs {
			Expect(n).To(Equal(1), key)
		}
	})
})

// ledgerKeys returns how often each idempotency key ran, according to a ledger.
func ledgerKeys(path string) map[string]int {
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	runs := make(map[string]int)
	for line := range strings.Lines(string(text)) {
		var l struct{ Key string }
		Expect(json.Unmarshal([]byte(line), &l)).To(Succeed())
		if l.Key != "" {
			runs[l.Key]++
		}
	}
	return runs
}
