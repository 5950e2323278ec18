package prover

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"peridotswitch.example/common/parser"
)

// maxInWindow returns the largest number of timestamps in any window of the given length that starts at one of them and not
// earlier than from.
func maxInWindow(times []time.Time, from time.Time, window time.Duration) (most int) {
	for i, t := range times {
		n := 0
		for _, u := range times[i:] {
			if !t.Before(from) && u.Sub(t) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (b *backend) probeTimes() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.probes)
}

var _ = Describe("probing backend servers", Label("measuring"), func() {
	const service = "stock-lookup"
	It("stays within each server's budget while entries are killed, paused, partitioned and replaced, and when the budget is lowered", func() {
		var proxies []*proxy
		f := newFleet("velario", 3, proxyPeers(&proxies))
		zone := f.inventory.AvailabilityZones[0].Name
		var servers []*backend
		for i := range 6 {
			b := newBackend(service, fmt.Sprintf("b-%d", i), zone)
			b.announce(f.entries[i%3].address, f.entries[(i+1)%3].address)
			servers = append(servers, b)
		}
		probeCount := func(b *backend) func() int { return func() int { return len(b.probeTimes()) } }
		for _, b := range servers {
			Eventually(probeCount(b), "20s", "20ms").Should(BeNumerically(">", 1))
		}
		budget := 2
		applyInventory := func(id string, base uint64) {
			text, err := yaml.Marshal(f.inventory)
			Expect(err).NotTo(HaveOccurred())
			f.apply(id, base, text, f.rules)
		}
		killed := f.entries[0]
		killed.kill()
		killed.restart()
		for _, p := range proxies {
			p.blackhole()
		}
		time.Sleep(time.Second)
		f.entries[1].pause()
		time.Sleep(time.Second)
		// Replaces the paused entry: the remaining entries then probe the servers that it probed.
		f.inventory.Entries = []parser.Entry{f.inventory.Entries[0], f.inventory.Entries[2]}
		applyInventory("replaced", 1)
		time.Sleep(2 * time.Second)
		f.entries[1].resume()
		for _, p := range proxies {
			p.heal()
		}
		healedAt := time.Now()
		for _, b := range servers {
			Eventually(func() bool {
				probes := b.probeTimes()
				return len(probes) > 0 && probes[len(probes)-1].After(healedAt.Add(time.Second))
			}, "20s", "20ms").Should(BeTrue(), "every server is probed by an owner again")
		}
		for i := range f.inventory.Services {
			f.inventory.Services[i].ProbeBudget.PerSecond = 0.5
		}
		applyInventory("lowered", 2)
		enforcedFrom := time.Now().Add(4 * time.Second)
		time.Sleep(9 * time.Second)
		for _, b := range servers {
			probes := b.probeTimes()
			Expect(maxInWindow(probes, time.Time{}, time.Second)).To(BeNumerically("<=", budget), "%s: %v", b.id, probes)
			Expect(maxInWindow(probes, enforcedFrom, 2*time.Second)).To(BeNumerically("<=", 1), "%s: %v", b.id, probes)
			Expect(probes[len(probes)-1].After(enforcedFrom)).To(BeTrue(), "probing continues at the lowered budget")
		}
	})

	It("sends no probes while responses to calls carry load reports", func() {
		f := newFleet("velario", 2)
		b := newBackend(service, "b", f.inventory.AvailabilityZones[0].Name)
		b.announce(f.entries[0].address)
		callContinuously(service, f.entries...)
		Eventually(func() int { return b.callsAfter(time.Time{}) }, "20s", "10ms").Should(BeNumerically(">", 10))
		begin := time.Now()
		Eventually(func() bool { return time.Since(begin) > 6*time.Second }, "9s", "100ms").Should(BeTrue())
		Expect(b.probeTimes()).To(BeEmpty())
		Expect(b.callsAfter(begin)).NotTo(BeZero())
		r, err := call(f.entries[0].address, http.MethodGet, "/call/"+service+"/item", "", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Contains([]byte(r.body), []byte("b /item"))).To(BeTrue())
	})
})
