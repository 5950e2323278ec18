package prover

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("connections to backend servers", Label("connections"), func() {
	const lookups, orders = "stock-lookup", "order-taking"
	var f *fleet
	var zone string
	BeforeEach(func() {
		f = newFleet("velario", 2)
		zone = f.inventory.AvailabilityZones[0].Name
	})
	// startServers starts n backend servers of a service, each behind a proxy, and waits until every entry lists them.
	startServers := func(service string, n int, handler http.HandlerFunc) (proxies []*proxy, backends []*backend) {
		for i := range n {
			b := newBackend(service, fmt.Sprintf("%s-%d", service, i), zone)
			b.handler = handler
			p := newProxy(b.address)
			b.address = p.address
			b.announce(f.entries[0].address)
			proxies, backends = append(proxies, p), append(backends, b)
		}
		for _, e := range f.entries {
			Eventually(func() int {
				r, err := call(e.address, http.MethodGet, "/call/"+service+"/known", "", nil)
				if err != nil {
					return 0
				}
				return r.status
			}, "20s", "20ms").Should(BeNumerically(">=", http.StatusOK))
			Eventually(func() (seen int) {
				list, _ := fetchText("http://" + e.operatorAddress + "/peridot/servers")
				return strings.Count(list, `"service": "`+service+`"`)
			}, "20s", "20ms").Should(Equal(n))
		}
		return proxies, backends
	}

	It("forwards complete responses, however they are framed, and reports truncated ones as broken", func() {
		big := strings.Repeat("wax", 300_000)
		startServers(lookups, 1, func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/chunks":
				w.Header().Set("Trailer", "Sum")
				for i := range 3 {
					fmt.Fprint(w, i)
					w.(http.Flusher).Flush()
				}
				w.Header().Set("Sum", "7")
			case "/hints":
				w.Header().Set("Link", "x")
				w.WriteHeader(http.StatusEarlyHints)
				fmt.Fprint(w, "hinted")
			case "/echo":
				_, _ = io.Copy(w, r.Body)
			case "/early":
				w.WriteHeader(http.StatusForbidden)
				fmt.Fprint(w, "no")
			case "/big":
				fmt.Fprint(w, big)
			case "/none":
				w.WriteHeader(http.StatusNoContent)
			case "/truncated", "/truncated-length":
				if r.URL.Path == "/truncated-length" {
					w.Header().Set("Content-Length", "900000")
				}
				fmt.Fprint(w, big[:600_000])
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
		})
		address := f.entries[1].address
		for name, c := range map[string]struct {
			method, path, body string
			header             map[string]string
			status             int
			want               string
		}{
			"chunks":                       {http.MethodGet, "/chunks", "", nil, 200, "012"},
			"early hints":                  {http.MethodGet, "/hints", "", nil, 200, "hinted"},
			"continue":                     {http.MethodPost, "/echo", big, map[string]string{"Expect": "100-continue"}, 200, big},
			"early":                        {http.MethodPost, "/early", big, nil, 403, "no"},
			"big":                          {http.MethodGet, "/big", "", nil, 200, big},
			"head":                         {http.MethodHead, "/big", "", nil, 200, ""},
			"no content":                   {http.MethodGet, "/none", "", nil, 204, ""},
			"truncated chunks":             {http.MethodGet, "/truncated", "", nil, 0, ""},
			"truncated by length":          {http.MethodGet, "/truncated-length", "", nil, 0, ""},
			"after a truncated response":   {http.MethodGet, "/chunks", "", nil, 200, "012"},
			"HEAD of a truncated response": {http.MethodHead, "/truncated-length", "", nil, 200, ""},
			"chunks by HEAD":               {http.MethodHead, "/chunks", "", nil, 200, ""},
		} {
			r, err := call(address, c.method, "/call/"+lookups+c.path, c.body, c.header)
			if c.status == 0 {
				Expect(err).To(HaveOccurred(), "%s: a truncated response looked complete", name)
				continue
			}
			Expect(err).NotTo(HaveOccurred(), name)
			Expect(r.status).To(Equal(c.status), "%s: %s", name, r.body)
			Expect(r.body == c.want).To(BeTrue(), name)
		}
		res, err := http.Get("http://" + address + "/call/" + lookups + "/chunks")
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		_, _ = io.ReadAll(res.Body)
		Expect(res.Trailer.Get("Sum")).To(Equal("7"))
		head, err := call(address, http.MethodHead, "/call/"+lookups+"/truncated-length", "", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(head.header.Get("Content-Length")).To(Equal("900000"))
	})

	It("opens new connections when the open ones stop answering, and runs no order twice", func() {
		var mu sync.Mutex
		runs := make(map[string]int)
		handler := func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			runs[r.Header.Get("Idempotency-Key")]++
			mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			fmt.Fprint(w, r.URL.Path)
		}
		lookupProxies, _ := startServers(lookups, 2, handler)
		orderProxies, _ := startServers(orders, 2, handler)
		address := f.entries[1].address
		n := 0
		makeCalls := func() (failed, unknown int) {
			var wg sync.WaitGroup
			var failedLookups, unknownOrders atomic.Int32
			for range 8 {
				n++
				path := fmt.Sprintf("/item-%d", n)
				wg.Go(func() {
					r, err := call(address, http.MethodGet, "/call/"+lookups+path, "", nil)
					if err != nil || r.status != http.StatusOK || r.body != path {
						failedLookups.Add(1)
					}
				})
				wg.Go(func() {
					r, err := call(address, http.MethodPost, "/call/"+orders+path, "", map[string]string{"Idempotency-Key": path})
					Expect(err).NotTo(HaveOccurred())
					if r.status != http.StatusOK {
						Expect(r.header.Get("Peridot-Outcome")).To(Equal("unknown"), "%d %s", r.status, r.body)
						unknownOrders.Add(1)
					}
				})
			}
			wg.Wait()
			return int(failedLookups.Load()), int(unknownOrders.Load())
		}
		for range 3 {
			failed, unknown := makeCalls()
			Expect(failed + unknown).To(BeZero())
		}
		for _, p := range append(lookupProxies, orderProxies...) {
			p.blackholeOpen()
		}
		time.Sleep(200 * time.Millisecond)
		_, unknown := makeCalls()
		Expect(unknown).To(BeZero(), "an order is sent over a newly opened connection")
		for range 3 {
			failed, unknown := makeCalls()
			Expect(failed+unknown).To(BeZero(), "later calls use new connections")
		}
		mu.Lock()
		defer mu.Unlock()
		for key, count := range runs {
			if key != "" {
				Expect(count).To(Equal(1), key)
			}
		}
	})

	It("gives each caller its own response when responses are late, out of order or duplicated", func() {
		proxies, _ := startServers(lookups, 2, func(w http.ResponseWriter, r *http.Request) {
			var n int
			_, _ = fmt.Sscanf(r.URL.Path, "/item-%d", &n)
			// Some responses come after the caller's deadline of 40 ms.
			time.Sleep(time.Duration(n*37%60) * time.Millisecond)
			fmt.Fprint(w, r.URL.Path)
		})
		var wg sync.WaitGroup
		var wrong, right atomic.Int32
		for worker := range 8 {
			wg.Go(func() {
				for i := range 60 {
					path := fmt.Sprintf("/item-%d", worker*1000+i)
					if worker == 0 && i%20 == 10 {
						proxies[i/20%2].reset()
					}
					r, err := call(f.entries[i%2].address, http.MethodGet, "/call/"+lookups+path, "", map[string]string{"Peridot-Deadline-Ms": "40"})
					if err != nil || r.status != http.StatusOK {
						continue
					}
					if r.body == path {
						right.Add(1)
					} else {
						wrong.Add(1)
					}
				}
			})
		}
		wg.Wait()
		Expect(wrong.Load()).To(BeZero())
		Expect(right.Load()).To(BeNumerically(">", 50))
	})

	It("forwards no response that could belong to another call: unexpected bytes after a response close its connection", func() {
		l, err := net.Listen("tcp", newAddress())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go serveDuplicates(l)
		b := &backend{service: lookups, id: "twice", zone: zone, address: l.Addr().String(), incarnation: 1}
		b.announce(f.entries[0].address)
		for i := range 40 {
			path := fmt.Sprintf("/item-%d", i)
			Eventually(func(g Gomega) {
				r, err := call(f.entries[i%2].address, http.MethodGet, "/call/"+lookups+path, "", nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(r.status).To(Equal(http.StatusOK), r.body)
				Expect(r.body).To(Equal(path))
			}, "20s", "20ms").Should(Succeed())
		}
	})
})

// serveDuplicates answers each request with two copies of one response in a single write.
func serveDuplicates(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			in := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
				_, _ = io.WriteString(c, text+text)
			}
		}()
	}
}

// fetchText returns the body of a page.
func fetchText(url string) (string, error) {
	res, err := callerClient.Get(url)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return string(text), err
}
