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

// decisionRules give calls time enough on a busy machine; GET /sync can wait.
const decisionRules = `
defaults: {repeat: at-most-once, deadline: 20s, attempts: 3, retry-share: 0.1}
rules:
  - {service: stock-lookup, path: /sync, repeat: idempotent, priority: deferrable}
  - {service: stock-lookup, path: /chain, repeat: idempotent, retry-share: 0.5}
  - {service: stock-lookup, method: GET, repeat: idempotent}
`

// decisionFleet is a fleet of one entry with n servers that behave as described.
func decisionFleet(entries, n int, behaviour string, args ...string) (*fleet, []*loadServer) {
	f := newFleet("velario", entries, func(f *fleet) { f.rules = []byte(decisionRules) })
	var servers []*loadServer
	for i := range n {
		args := append([]string{"--behaviour", behaviour}, args...)
		servers = append(servers, f.startServer("stock-lookup", fmt.Sprintf("server-%d", i), f.inventory.AvailabilityZones[0].Name, args...))
	}
	for _, e := range f.entries {
		Eventually(func() int { return announced(e, "stock-lookup") }, "20s", "50ms").Should(Equal(n))
	}
	return f, servers
}

// announced is how many ready backend servers of a service the entry knows.
func announced(e *entryProcess, service string) (n int) {
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

var _ = Describe("decisions under load and faults", Label("decisions"), func() {
	It("moves a shed call at once, also an order", func() {
		f, servers := decisionFleet(1, 2, `{}`)
		Expect(servers[0].behave(`{"shed-share":1}`)).To(Succeed())
		for i := range 20 {
			r, err := call(f.entries[0].address, http.MethodPost, "/call/stock-lookup/order", "wax", map[string]string{"Idempotency-Key": fmt.Sprint("key-", i)})
			Expect(err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(http.StatusOK), r.body)
			Expect(lookup(f, "/item", nil).status).To(Equal(http.StatusOK))
		}
		Expect(fakeCount(servers[0].address).Shed).To(BeNumerically(">", 0), "no call was shed")
		Expect(countAll(servers).Finished).To(BeEquivalentTo(40))
	})

	for name, behaviour := range map[string]string{"fails": `{"fail-share":1}`, "sheds": `{"shed-share":1}`} {
		It("sends at most a tenth of extra calls when every server "+name, func() {
			const calls = 300
			f, servers := decisionFleet(2, 3, behaviour)
			for i := range calls {
				_, err := call(f.entries[i%2].address, http.MethodGet, "/call/stock-lookup/item", "", nil)
				Expect(err).NotTo(HaveOccurred())
			}
			sum := countAll(servers)
			Expect(sum.Calls).To(BeNumerically("<=", calls*11/10))
			Expect(sum.Extra).To(BeNumerically(">=", calls/20), "extra calls are not in use")
		})
	}

	It("serves on when all servers are suspects, and at once when they have recovered", func() {
		f, servers := decisionFleet(1, 3, `{"fail-share":1}`)
		for range 60 {
			r := lookup(f, "/item", nil)
			Expect(r.status).To(Equal(http.StatusInternalServerError), r.body)
			Expect(r.header.Get("Peridot-Outcome")).To(Equal("ran"))
		}
		_, text := f.entries[0].get("/peridot/servers", "application/json")
		Expect(text).To(ContainSubstring(`"reported"`))
		for _, s := range servers {
			Expect(s.behave(`{"fail-share":0}`)).To(Succeed())
		}
		for range 20 {
			Expect(lookup(f, "/item", nil).status).To(Equal(http.StatusOK))
		}
	})

	It("answers every interactive call beside a flood of deferrable ones", func() {
		f, servers := decisionFleet(1, 2, `{"queue":0,"service-time":"5ms"}`)
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
		Expect(countAll(servers).Shed).To(BeNumerically("<", countAll(servers).Calls/10), "deferrable calls were sent to full servers")
	})

	It("does not multiply repeats down a chain of 8 calls", func() {
		f, servers := decisionFleet(1, 10, `{}`)
		// At 3 the budget alone would let through more than twice as many, at 8 it bounds them too.
		for _, depth := range []int{3, 8} {
			for range 200 {
				Expect(lookup(f, "/chainless", nil).status).To(Equal(http.StatusOK))
			}
			before := countAll(servers).Failed
			Expect(lookup(f, fmt.Sprintf("/chain/%d", depth), nil).status).To(Equal(http.StatusInternalServerError))
			ends := countAll(servers).Failed - before
			Expect(ends).To(BeNumerically(">", 3), "nothing was repeated above the end")
			Expect(ends).To(BeNumerically("<=", 3+2*depth), "repeats of repeats")
		}
	})

	It("passes the deadline on and cancels what nobody waits for", func() {
		f, servers := decisionFleet(1, 1, `{"service-time":"1h"}`)
		r := lookup(f, "/item", map[string]string{"Peridot-Deadline-Ms": "1000"})
		Expect(r.status).To(Equal(http.StatusGatewayTimeout), r.body)
		Expect(r.header.Get("Peridot-Outcome")).To(Equal("unknown"))
		Expect(fakeCount(servers[0].address).DeadlineMS).To(And(BeNumerically(">", 0), BeNumerically("<=", 1000)))
		Eventually(func() int64 { return fakeCount(servers[0].address).Canceled }, "10s", "20ms").Should(BeNumerically("==", 1))
	})

	It("sends no order twice once a byte of it is out", func() {
		ledger := filepath.Join(GinkgoT().TempDir(), "ledger")
		f, servers := decisionFleet(1, 3, `{}`, "--ledger", ledger)
		for range 150 {
			Expect(lookup(f, "/item", nil).status).To(Equal(http.StatusOK))
		}
		Expect(servers[0].behave(`{"fail-share":1}`)).To(Succeed())
		Expect(servers[1].behave(`{"service-time":"1h"}`)).To(Succeed())
		Expect(servers[2].behave(`{"shed-share":0.5}`)).To(Succeed())
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

// ledgerKeys counts the runs of each idempotency key.
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
