package prover

import (
	"bytes"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a request that crashes its backend servers", Label("crashing"), func() {
	const service = "stock-lookup"
	var f *fleet
	var servers []*process
	BeforeEach(func() {
		f = newFleet("velario", 3, func(f *fleet) {
			f.rules = bytes.ReplaceAll(f.rules, []byte("hedge-share: 0.05"), []byte("hedge-share: 0\n    retry-share: 0.5"))
		})
		servers = nil
		for i := range 5 {
			servers = append(servers, f.startFake(service, fmt.Sprintf("b-%d", i), f.inventory.AvailabilityZones[i%3].Name, "--crash-on", "poison", "--service-time", "20ms"))
		}
		for _, e := range f.entries {
			Eventually(func() int {
				list, _ := httpText("http://" + e.operatorAddress + "/peridot/servers")
				return strings.Count(list, `"state": "ready"`)
			}, "20s", "20ms").Should(Equal(5))
			Eventually(func() int {
				r, err := call(e.address, http.MethodGet, "/call/"+service+"/known", "", nil)
				if err != nil {
					return 0
				}
				return r.status
			}, "20s", "20ms").Should(Equal(http.StatusOK))
		}
	})
	crashed := func() (n int) {
		for _, s := range servers {
			select {
			case <-s.done:
				n++
			default:
			}
		}
		return n
	}
	poison := func(e *entryProcess) *response {
		r, err := call(e.address, http.MethodGet, "/call/"+service+"/item", "poison", map[string]string{"Peridot-Deadline-Ms": "500"})
		Expect(err).NotTo(HaveOccurred())
		return r
	}

	It("costs two of them over all entries, and no other call", func() {
		var wg sync.WaitGroup
		var stopped atomic.Bool
		var lost, answered atomic.Int32
		// A failed spec mustn't leave callers behind for the next one.
		DeferCleanup(func() {
			stopped.Store(true)
			wg.Wait()
		})
		entries := f.entries
		for worker := range 6 {
			wg.Go(func() {
				for i := 0; !stopped.Load(); i++ {
					r, err := call(entries[worker%3].address, http.MethodGet, fmt.Sprintf("/call/%s/item-%d-%d", service, worker, i), "", nil)
					if err != nil || r.status != http.StatusOK {
						lost.Add(1)
						GinkgoWriter.Printf("innocent call: %v %+v\n", err, r)
					} else {
						answered.Add(1)
					}
				}
			})
		}
		Eventually(answered.Load, "10s", "10ms").Should(BeNumerically(">", 60))
		first := poison(f.entries[0])
		Expect(first.header.Get("Peridot-Outcome")).To(Equal("unknown"), first.body)
		for _, e := range f.entries {
			r := poison(e)
			Expect(r.status).To(Equal(http.StatusUnprocessableEntity), r.body)
			Expect(r.header.Get("Peridot-Outcome")).To(Equal("not-run"))
			Expect(r.body).To(ContainSubstring("fingerprint"))
		}
		Eventually(crashed, "2s", "5ms").Should(Equal(2))
		time.Sleep(500 * time.Millisecond)
		stopped.Store(true)
		wg.Wait()
		Expect(lost.Load()).To(BeZero())
		for _, e := range f.entries {
			for _, page := range []string{"/peridot/slow", "/peridot/contained"} {
				text, err := httpText("http://" + e.operatorAddress + page)
				Expect(err).NotTo(HaveOccurred())
				Expect(text).To(ContainSubstring(`"fingerprint"`), page)
			}
		}
	})

	It("counts crashes at different entries together, and is known to an entry that restarts", func() {
		one := map[string]string{"Peridot-Deadline-Ms": "500", "Peridot-Depth": "1", "Peridot-Attempt": "2"}
		for i := range 2 {
			// A call that is itself a retry isn't retried by the entry.
			r, err := call(f.entries[i].address, http.MethodGet, "/call/"+service+"/item", "poison", one)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.header.Get("Peridot-Outcome")).To(Equal("unknown"), r.body)
			Eventually(crashed, "2s", "5ms").Should(Equal(i + 1))
		}
		last := f.entries[2]
		Expect(poison(last).status).To(Equal(http.StatusUnprocessableEntity))
		last.kill()
		last.restart()
		Eventually(func() bool {
			list, err := entryAddresses(f.entries[0].address, service)
			return err == nil && strings.Contains(strings.Join(list, " "), last.address) && last.status("/peridot/ready") == http.StatusOK
		}, "20s", "20ms").Should(BeTrue())
		Eventually(func() int { return poison(last).status }, "5s", "20ms").Should(Equal(http.StatusUnprocessableEntity))
		Eventually(crashed, "2s", "5ms").Should(Equal(2))
	})

	It("is shown to operators, who may let it pass", func() {
		poison(f.entries[0])
		peridotctl := func(args ...string) string {
			args = append(args, "--entries", f.entries[1].operatorAddress)
			out, err := exec.Command(filepath.Join(binDir, "peridotctl"), args...).CombinedOutput()
			Expect(err).NotTo(HaveOccurred(), "%s", out)
			return string(out)
		}
		status := peridotctl("status", "--control", strings.Join(f.controlAddresses, ","))
		Expect(status).To(ContainSubstring("REFUSED FINGERPRINT"))
		fingerprint := strings.Fields(status[strings.Index(status, "UNTIL"):])[1]
		peridotctl("lift", fingerprint, "--operator-token", operatorToken)
		poison(f.entries[2])
		Eventually(crashed, "2s", "5ms").Should(Equal(4))
		Expect(poison(f.entries[1]).status).To(Equal(http.StatusUnprocessableEntity))
	})
})
