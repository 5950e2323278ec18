package prover

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// get sends a GET request to the entry's operator address.
func (e *entryProcess) get(path, accept string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+e.operatorAddress+path, nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Accept", accept)
	res, err := callerClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return res.StatusCode, string(text)
}

type burnReport struct {
	Complete bool `json:"complete"`
	Entries  []struct {
		InstanceID string `json:"instance-id"`
		Answered   bool   `json:"answered"`
	} `json:"entries"`
	Services []struct {
		Service  string `json:"service"`
		FastBurn bool   `json:"fast-burn"`
		Windows  []struct {
			Calls  int `json:"calls"`
			Missed int `json:"missed"`
		} `json:"windows"`
	} `json:"services"`
}

func (e *entryProcess) burn(service string) (calls, missed, answered int) {
	status, text := e.get("/peridot/burn", "application/json")
	Expect(status).To(Equal(http.StatusOK), text)
	var r burnReport
	Expect(json.Unmarshal([]byte(text), &r)).To(Succeed())
	for _, entry := range r.Entries {
		if entry.Answered {
			answered++
		}
	}
	for _, s := range r.Services {
		if s.Service == service {
			return s.Windows[0].Calls, s.Windows[0].Missed, answered
		}
	}
	return 0, 0, answered
}

var _ = Describe("reports on the fleet", Label("product"), func() {
	It("count the calls of every entry and explain a slow one, whichever entry is queried", func() {
		f := newFleet("velario", 3)
		zone := f.inventory.AvailabilityZones[0].Name
		f.startFake("stock-lookup", "slow-1", zone, "--service-time", "120ms")
		f.startFake("payment-collection", "quick-1", zone)
		for i, e := range f.entries {
			lookup := fmt.Sprintf("lookup-%d", i)
			Eventually(func(g Gomega) {
				for service, id := range map[string]string{"stock-lookup": lookup, "payment-collection": "quick"} {
					r, err := call(e.address, http.MethodGet, "/call/"+service+"/x", "", map[string]string{"Peridot-Request-Id": id})
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(r.status).To(Equal(http.StatusOK), r.body)
				}
			}, "20s", "50ms").Should(Succeed())
		}
		for _, queried := range f.entries {
			Eventually(func(g Gomega) {
				calls, missed, answered := queried.burn("stock-lookup")
				g.Expect(answered).To(Equal(3))
				g.Expect(calls).To(BeNumerically(">=", 3))
				g.Expect(missed).To(BeNumerically(">=", 3))
			}, "10s", "50ms").Should(Succeed())
			for i, handler := range f.entries {
				status, text := queried.get(fmt.Sprintf("/peridot/explain/lookup-%d", i), "")
				Expect(status).To(Equal(http.StatusOK), text)
				expectWait(text, handler.id, "lookup-"+fmt.Sprint(i), 120*time.Millisecond)
			}
		}
		status, text := f.entries[0].get("/peridot/burn", "text/html")
		Expect(status).To(Equal(http.StatusOK))
		Expect(text).To(And(ContainSubstring("stock-lookup"), ContainSubstring("<svg"), ContainSubstring("</html>")))
		_, text = f.entries[0].get("/metrics", "")
		Expect(text).To(ContainSubstring(`peridot_entry_calls{outcome="ran",service="payment-collection"}`))

		f.entries[2].kill()
		_, _, answered := f.entries[0].burn("stock-lookup")
		Expect(answered).To(Equal(2), "a killed entry is counted as not answering")
	})
})

type explanation struct {
	Calls []struct {
		RequestID string        `json:"request-id"`
		Entry     string        `json:"entry"`
		TotalNS   time.Duration `json:"total-ns"`
		Status    int           `json:"status"`
		Parts     []struct {
			Part       string  `json:"part"`
			DurationMS float64 `json:"duration-ms"`
		} `json:"parts"`
	} `json:"calls"`
}

// expectWait checks that the answered call spent atLeast or longer waiting for its backend server, and that the parts of each call add
// up to its total within 1 %.
func expectWait(text, entry, requestID string, atLeast time.Duration) {
	var e explanation
	ExpectWithOffset(1, json.Unmarshal([]byte(text), &e)).To(Succeed())
	found := false
	for _, c := range e.Calls {
		ExpectWithOffset(1, c.RequestID).To(Equal(requestID))
		sum, wait := 0.0, 0.0
		for _, p := range c.Parts {
			sum += p.DurationMS
			if p.Part == "wait-1" {
				wait = p.DurationMS
			}
		}
		total := float64(c.TotalNS) / float64(time.Millisecond)
		ExpectWithOffset(1, sum).To(BeNumerically("~", total, total/100))
		found = found || c.Entry == entry && c.Status == http.StatusOK && wait >= float64(atLeast.Milliseconds())
	}
	ExpectWithOffset(1, found).To(BeTrue(), text)
}
