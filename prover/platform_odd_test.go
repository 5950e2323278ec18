package prover

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("on the simulated platform, an announcement that no backend server would send", Label("platform"), func() {
	// Guards against one odd record that ends control members and entries, or makes them stop following the table of servers.
	It("is refused, and neither ends a process nor keeps entries from following later changes", func() {
		const serviceTime = 50 * time.Millisecond
		f := newPlatformFleet(3, 2)
		Expect(f.putConfig(configJSON(7))).To(Equal(http.StatusOK))
		f.addServer(serviceTime)
		f.waitServing()
		body := func(address, info, status string) string {
			return fmt.Sprintf(`{"address":%s,"born":1,"info":{"service":"s","version":"v1","zone":"a","concurrency":%s},"status":{"state":"ready","seq":1,"warmup_left_ms":%s}}`, address, info, status)
		}
		const address = `"127.0.0.1:9"`
		deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
		for name, odd := range map[string]struct{ id, body string }{
			"deeply nested":             {"odd", `{"address":` + address + `,"more":` + deep + `}`},
			"a number too large":        {"odd", body(address, "1e400", "0")},
			"a number with a fraction":  {"odd", body(address, "1.5", "0")},
			"more slots than fit":       {"odd", body(address, "4294967297", "0")},
			"a negative number":         {"odd", body(address, "-6", "0")},
			"a long time to warm up":    {"odd-warm", body(`"127.0.0.1:0"`, "6", "1e300")},
			"a port out of range":       {"odd", body(`"127.0.0.1:70000"`, "6", "0")},
			"port 0":                    {"odd", body(`"127.0.0.1:0"`, "6", "0")},
			"no address at all":         {"odd", body(`"0.0.0.0:80"`, "6", "0")},
			"a group of addresses":      {"odd", body(`"224.0.0.1:80"`, "6", "0")},
			"a host name":               {"odd", body(`"shop.example:80"`, "6", "0")},
			"an id that isn't text":     {"%ff%fe", body(address, "6", "0")},
			"an id with a line break":   {"a%0ab", body(address, "6", "0")},
			"a very long id":            {strings.Repeat("x", 3000), body(address, "6", "0")},
			"a very long service":       {"odd", strings.Replace(body(address, "6", "0"), `"service":"s"`, `"service":"`+strings.Repeat("s", 40_000)+`"`, 1)},
			"a service that isn't text": {"odd", strings.Replace(body(address, "6", "0"), `"service":"s"`, `"service":5`, 1)},
		} {
			for _, c := range f.control {
				Expect(postJSON(c.url(controlPort, "/instances/"+odd.id+"/heartbeat"), odd.body)).To(Equal(http.StatusBadRequest), name)
			}
		}
		for _, id := range []string{"%ff%fe", strings.Repeat("x", 3000)} {
			Expect(postJSON(f.control[0].url(controlPort, "/instances/"+id+"/leave"), "")).To(Equal(http.StatusBadRequest))
		}
		later := f.addServer(serviceTime)
		for _, e := range f.entries {
			Eventually(e.output.String, "10s", "50ms").Should(ContainSubstring(fmt.Sprintf("%q:%q", "server", later.id)), "entries follow the table")
			// Calls one after the other may all go to one server, as both report the same load.
			before := later.callsAfter(time.Time{})
			var wg sync.WaitGroup
			for i := range 12 {
				wg.Go(func() { e.send(http.MethodGet, "/s/x", fmt.Sprintf("later-%s-%d", e.ip, i)) })
			}
			wg.Wait()
			Expect(later.callsAfter(time.Time{})-before).NotTo(BeZero(), "entries send calls to the later server")
		}
		Expect(f.putConfig(configJSON(9))).To(Equal(http.StatusOK))
		for _, p := range append(f.control, f.entries...) {
			Consistently(p.done, "100ms").ShouldNot(BeClosed())
			Expect(p.output.String()).NotTo(ContainSubstring("panic"))
		}
	})
})
