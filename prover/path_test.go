package prover

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the path from caller to backend server", Label("path"), func() {
	type deployment struct{ lookup, order string }
	for example, d := range map[string]deployment{
		"velario":    {lookup: "stock-lookup", order: "order-taking"},
		"wrzosowska": {lookup: "hive-records", order: "swarm-intake"},
	} {
		It("answers lookups and orders of "+example, func() {
			f := newFleet(example, 3)
			zone := f.inventory.AvailabilityZones[0].Name
			for i := range 2 {
				f.startFake(d.lookup, fmt.Sprintf("lookup-%d", i), zone)
				f.startFake(d.order, fmt.Sprintf("order-%d", i), zone)
			}
			var entries []string
			Eventually(func(g Gomega) {
				var err error
				entries, err = entryAddresses(f.entries[0].address, d.lookup)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(entries).To(HaveLen(3))
			}, "20s", "50ms").Should(Succeed())
			for i, address := range entries {
				Eventually(func(g Gomega) {
					r, err := call(address, http.MethodGet, "/call/"+d.lookup+"/item?id=7", "", map[string]string{"Peridot-Request-Id": "lookup-id"})
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(r.status).To(Equal(http.StatusOK), r.body)
					g.Expect(r.body).To(ContainSubstring("GET /item?id=7"))
					g.Expect(r.header.Get("Peridot-Outcome")).To(Equal("ran"))
					g.Expect(r.header.Get("Peridot-Request-Id")).To(Equal("lookup-id"))
					g.Expect(r.header.Get("Server-Timing")).To(ContainSubstring("wait-1"))
				}, "20s", "50ms").Should(Succeed())
				key := fmt.Sprintf("key-%d", i)
				Eventually(func(g Gomega) {
					r, err := call(address, http.MethodPost, "/call/"+d.order+"/orders", "wax", map[string]string{"Idempotency-Key": key})
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(r.status).To(Equal(http.StatusOK), r.body)
					g.Expect(r.body).To(HaveSuffix("wax"))
					g.Expect(r.header.Get("Peridot-Outcome")).To(Equal("ran"))
				}, "20s", "50ms").Should(Succeed())
			}
			r, err := call(entries[0], http.MethodPost, "/call/"+d.order+"/orders", "wax", nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(http.StatusBadRequest), "an order without a key")
			Expect(r.header.Get("Peridot-Outcome")).To(Equal("not-run"))
		})
	}
})
