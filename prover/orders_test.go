package prover

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// minRanShare is the smallest share of orders that must end as ran when faults are injected one at a time.
const minRanShare = 0.99

// fault is one kind of failure; inject starts it and returns a function that ends it.
type fault struct {
	name   string
	inject func(f *claimFleet, n int) func()
}

func orderFaults() []fault {
	kill := func(p *process) func() {
		p.kill()
		return p.restart
	}
	pause := func(p *process) func() {
		p.pause()
		return p.resume
	}
	return []fault{
		{"kill a replica", func(f *claimFleet, n int) func() { return kill(f.control[n%len(f.control)]) }},
		{"pause a replica", func(f *claimFleet, n int) func() { return pause(f.control[n%len(f.control)]) }},
		{"blackhole a replica's connections", func(f *claimFleet, n int) func() {
			p := f.controlProxies[n%len(f.control)]
			p.blackhole()
			return p.heal
		}},
		{"reset and refuse a replica's connections", func(f *claimFleet, n int) func() {
			p := f.controlProxies[n%len(f.control)]
			p.refuseNew(true)
			p.reset()
			return p.heal
		}},
		{"lose a replica's disk", func(f *claimFleet, n int) func() {
			f.loseDisk(n % len(f.control))
			return func() {}
		}},
		{"kill an entry", func(f *claimFleet, n int) func() { return kill(f.entries[n%len(f.entries)].process) }},
		{"pause an entry", func(f *claimFleet, n int) func() { return pause(f.entries[n%len(f.entries)].process) }},
		{"kill a backend server", func(f *claimFleet, n int) func() { return kill(f.fakes[n%len(f.fakes)]) }},
		{"pause a backend server", func(f *claimFleet, n int) func() { return pause(f.fakes[n%len(f.fakes)]) }},
		{"blackhole a backend server's connections", func(f *claimFleet, n int) func() {
			p := f.fakeProxies[n%len(f.fakes)]
			p.blackhole()
			return p.heal
		}},
	}
}

// How long each fault lasts, and how long the pause before the next is.
const (
	faultDuration = 900 * time.Millisecond
	faultPause    = 900 * time.Millisecond
)

// runWithFaults runs the workload while faults are injected, width at a time, and returns what the callers saw.
func (f *claimFleet) runWithFaults(seed uint64, callers, width, rounds int) *history {
	var entries []string
	for _, e := range f.entries {
		entries = append(entries, e.address)
	}
	done := make(chan struct{})
	result := make(chan *history, 1)
	go func() {
		defer GinkgoRecover()
		result <- workload{seed: seed, callers: callers, entries: entries, keyPrefix: fmt.Sprintf("order-%d", seed)}.run(done)
	}()
	rnd := rand.New(rand.NewPCG(seed, seed))
	faults := orderFaults()
	for i := range rounds {
		time.Sleep(faultPause)
		var ends []func()
		for k := range width {
			// Consecutive numbers select different processes of the same kind.
			selected := faults[i%len(faults)]
			if k > 0 {
				selected = faults[rnd.IntN(len(faults))]
			}
			n := i + k
			GinkgoWriter.Printf("round %d: %s (%d)\n", i, selected.name, n)
			ends = append(ends, selected.inject(f, n))
		}
		time.Sleep(faultDuration)
		for _, end := range ends {
			end()
		}
	}
	time.Sleep(faultPause)
	close(done)
	var h *history
	Eventually(result, "60s").Should(Receive(&h))
	return h
}

var _ = Describe("orders", Label("orders"), func() {
	It("run at most once, and at least 99 % of them run, when faults occur one at a time", func() {
		f := newClaimFleet(3, 3, 4)
		h := f.runWithFaults(1, 8, 1, len(orderFaults()))
		GinkgoWriter.Println(h)
		Expect(h.check(f)).To(BeNumerically(">=", minRanShare), h.String())
		Expect(h.checkLinearizability()).To(Equal(porcupine.Ok))
	})

	It("run at most once when faults occur in pairs, also at two of five replicas", func() {
		f := newClaimFleet(5, 3, 4)
		h := f.runWithFaults(2, 8, 2, len(orderFaults()))
		GinkgoWriter.Println(h)
		h.check(f)
		Expect(h.checkLinearizability()).To(Equal(porcupine.Ok))
	})

	It("fail the linearizability check when they run twice or are reported as not-run after a run", func() {
		operation := func(outcome, run string, at int64) porcupine.Operation {
			return porcupine.Operation{Input: "k", Output: send{key: "k", outcome: outcome, runID: run}, Call: at, Return: at + 1}
		}
		for name, ops := range map[string][]porcupine.Operation{
			"two runs":            {operation("ran", "a-1", 1), operation("ran", "b-1", 3)},
			"not-run after a run": {operation("ran", "a-1", 1), operation("not-run", "", 3)},
		} {
			Expect((&history{ops: ops}).checkLinearizability()).To(Equal(porcupine.Illegal), name)
		}
	})

	It("get the first response again when they are resent, through any entry", func() {
		f := newClaimFleet(3, 2, 2, "--service-time", "300ms")
		one, two := f.entries[0].address, f.entries[1].address
		issued := func(ago time.Duration) map[string]string {
			return map[string]string{"Peridot-Issued-At": strconv.FormatInt(time.Now().Add(-ago).UnixMilli(), 10)}
		}
		responses := make(chan *response, 2)
		for _, entry := range []string{one, two} {
			go func() {
				defer GinkgoRecover()
				r, err := order(entry, "both", "wax", nil)
				Expect(err).NotTo(HaveOccurred())
				responses <- r
			}()
		}
		first := <-responses
		Expect(first.status).To(Equal(http.StatusOK), first.body)
		Expect((<-responses).header.Get("X-Run")).To(Equal(first.header.Get("X-Run")), "an order sent twice at the same time")

		big := strings.Repeat("wax", 50_000)
		_, err := order(one, "big", big, nil)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, err = callContext(ctx, one, http.MethodPost, "/call/"+orderService+"/orders", "wax", map[string]string{"Idempotency-Key": "left"})
		cancel()
		Expect(err).To(HaveOccurred(), "the caller disconnects")
		for _, c := range []struct {
			name, key, path, body string
			header                map[string]string
			status                int
			outcome, sendOutcome  string
		}{
			{"in progress", "left", "/orders", "wax", map[string]string{"Peridot-Deadline-Ms": "60"}, 409, "unknown", "not-run"},
			{"after the caller disconnected", "left", "/orders", "wax", nil, 200, "ran", ""},
			{"resent", "both", "/orders", "wax", nil, 200, "ran", ""},
			{"other body", "both", "/orders", "honey", nil, 422, "not-run", ""},
			{"other path", "both", "/charges", "wax", nil, 422, "not-run", ""},
			{"response too large to store", "big", "/orders", big, nil, 410, "unknown", "not-run"},
			{"issued too long ago", "old", "/orders", "wax", issued(25 * time.Hour), 410, "unknown", "not-run"},
			{"issued in the future", "new", "/orders", "wax", issued(-time.Hour), 400, "unknown", "not-run"},
			{"clock 10 minutes ahead", "ahead", "/orders", "wax", issued(-10 * time.Minute), 200, "ran", ""},
		} {
			c.header = maps.Clone(c.header)
			if c.header == nil {
				c.header = make(map[string]string)
			}
			c.header["Idempotency-Key"] = c.key
			r, err := call(two, http.MethodPost, "/call/"+orderService+c.path, c.body, c.header)
			Expect(err).NotTo(HaveOccurred())
			Expect([]any{r.status, r.header.Get("Peridot-Outcome"), r.header.Get("Peridot-Send-Outcome")}).To(Equal([]any{c.status, c.outcome, c.sendOutcome}), "%s: %s", c.name, r.body)
		}
		runs := f.runs()
		for key, n := range map[string]int{"both": 1, "left": 1, "big": 1, "ahead": 1, "old": 0, "new": 0} {
			Expect(runs[key]).To(HaveLen(n), key)
		}
	})

	It("are sent only once, also when the server closes the connection without a response", func() {
		f := newClaimFleet(3, 2, 0)
		var seen atomic.Int64
		address := closingServer(&seen)
		for _, e := range f.entries {
			announceOrders(e.address, address)
		}
		for _, key := range []string{"closed-1", "closed-2"} {
			for _, e := range f.entries {
				r, err := order(e.address, key, "wax", nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(r.header.Get("Peridot-Outcome")).To(Equal("unknown"), r.body)
			}
		}
		Expect(seen.Load()).To(BeEquivalentTo(2), "requests received for two orders")
	})
})

// closingServer reads one request from each connection and closes the connection without a response, like a server that closes a
// keep-alive connection while a request arrives. It counts the POST requests in seen.
func closingServer(seen *atomic.Int64) string {
	l, err := net.Listen("tcp", newAddress())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil && req.Method == http.MethodPost {
					seen.Add(1)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// announceOrders announces a backend server for orders at address to one entry.
func announceOrders(entry, address string) {
	text := fmt.Sprintf(`{"service":%q,"instance-id":"closing","incarnation":1,"sequence":1,"address":%q,"availability-zone":"a","slots":6,"connections":100,"state":"ready"}`, orderService, address)
	res, err := http.Post("http://"+entry+"/peridot/announce", "application/json", bytes.NewReader([]byte(text)))
	Expect(err).NotTo(HaveOccurred())
	res.Body.Close()
	Expect(res.StatusCode).To(Equal(http.StatusOK))
}
