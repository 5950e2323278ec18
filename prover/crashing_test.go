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
				list, _ := fetchText("http://" + e.operatorAddress + "/peridot/servers")
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
	crashedCount := func() (n int) {
		for _, s := range servers {
			select {
			case <-s.done:
				n++
			default:
			}
		}
		return n
	}
	sendPoison := func(e *entryProcess) *response {
		r, err := call(e.address, http.MethodGet, "/call/"+service+"/item", "poison", map[string]string{"Peridot-Deadline-Ms": "500"})
		Expect(err).NotTo(HaveOccurred())
		return r
	}

	It("crashes two servers in total over all entries, and makes no other call fail", func() {
		var wg sync.WaitGroup
		var stopped atomic.Bool
		var failed, answered atomic.Int32
		// Stops the callers also when the spec fails, so that they make no calls during the next one.
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
						failed.Add(1)
						GinkgoWriter.Printf("unrelated call failed: %v %+v\n", err, r)
					} else {
						answered.Add(1)
					}
				}
			})
		}
		Eventually(answered.Load, "10s", "10ms").Should(BeNumerically(">", 60))
		first := sendPoison(f.entries[0])
		Expect(first.header.Get("Peridot-Outcome")).To(Equal("unknown"), first.body)
		for _, e := range f.entries {
			r := sendPoison(e)
			Expect(r.status).To(Equal(http.StatusUnprocessableEntity), r.body)
			Expect(r.header.Get("Peridot-Outcome")).To(Equal("not-run"))
			Expect(r.body).To(ContainSubstring("fingerprint"))
		}
		Eventually(crashedCount, "2s", "5ms").Should(Equal(2))
		time.Sleep(500 * time.Millisecond)
		stopped.Store(true)
		wg.Wait()
		Expect(failed.Load()).To(BeZero())
		for _, e := range f.entries {
			for _, page := range []string{"/peridot/slow", "/peridot/contained"} {
				text, err := fetchText("http://" + e.operatorAddress + page)
				Expect(err).NotTo(HaveOccurred())
				Expect(text).To(ContainSubstring(`"fingerprint"`), page)
			}
		}
	})

	It("has its crashes counted across entries, and is known to an entry after a restart", func() {
		retryHeader := map[string]string{"Peridot-Deadline-Ms": "500", "Peridot-Depth": "1", "Peridot-Attempt": "2"}
		for i := range 2 {
			// A call that is itself a retry isn't retried by the entry.
			r, err := call(f.entries[i].address, http.MethodGet, "/call/"+service+"/item", "poison", retryHeader)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.header.Get("Peridot-Outcome")).To(Equal("unknown"), r.body)
			Eventually(crashedCount, "2s", "5ms").Should(Equal(i + 1))
		}
		restarted := f.entries[2]
		Expect(sendPoison(restarted).status).To(Equal(http.StatusUnprocessableEntity))
		restarted.kill()
		restarted.restart()
		Eventually(func() bool {
			list, err := entryAddresses(f.entries[0].address, service)
			return err == nil && strings.Contains(strings.Join(list, " "), restarted.address) && restarted.status("/peridot/ready") == http.StatusOK
		}, "20s", "20ms").Should(BeTrue())
		Eventually(func() int { return sendPoison(restarted).status }, "5s", "20ms").Should(Equal(http.StatusUnprocessableEntity))
		Eventually(crashedCount, "2s", "5ms").Should(Equal(2))
	})

	It("is shown to operators, who can lift its containment", func() {
		sendPoison(f.entries[0])
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
		sendPoison(f.entries[2])
		Eventually(crashedCount, "2s", "5ms").Should(Equal(4))
		Expect(sendPoison(f.entries[1]).status).To(Equal(http.StatusUnprocessableEntity))
	})
})
