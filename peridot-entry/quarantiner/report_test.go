package quarantiner

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// reporting is an entry that reports to control; its servers respond as respond says.
type reporting struct {
	*Quarantiner
	// seconds is the time.
	seconds atomic.Int64
	// reads counts the times that the entry has read the time.
	reads   atomic.Int64
	respond func(*sender.Request) (*sender.Response, error)
	refused bool
	dials   int
}

func (r *reporting) advance(d time.Duration) { r.seconds.Add(int64(d / time.Second)) }

func newReporting() *reporting {
	r := &reporting{refused: true}
	r.respond = func(*sender.Request) (*sender.Response, error) {
		return nil, &sender.Error{Phase: sender.Waiting, Written: true, Err: io.EOF}
	}
	r.Quarantiner = New(Config{
		Now: func() time.Time {
			r.reads.Add(1)
			return time.Unix(1000+r.seconds.Load(), 0)
		},
		Send: func(_ context.Context, req *sender.Request) (*sender.Response, error) { return r.respond(req) },
		ConnectionRefused: func(string) bool {
			r.dials++
			return r.refused
		},
		Find:     func(registrar.Key) (registrar.Server, bool) { return registrar.Server{Incarnation: 1}, true },
		OnReport: func() {},
		OnChange: func(ContainedRequest, bool) {},
	})
	DeferCleanup(r.Close)
	return r
}

func request(server, service string) *sender.Request {
	return &sender.Request{Address: server, Server: registrar.Key{Service: service, InstanceID: server}, Incarnation: 1, Method: http.MethodGet, Host: "shop", Path: "/item"}
}

// send sends a request and reads its response.
func (r *reporting) send(req *sender.Request) error {
	res, err := r.Send(context.Background(), req)
	if err == nil {
		_, err = io.ReadAll(res.Body)
		res.Body.Close()
	}
	return err
}

func response(shed bool) func(*sender.Request) (*sender.Response, error) {
	return func(*sender.Request) (*sender.Response, error) {
		return &sender.Response{Shed: shed, Body: io.NopCloser(strings.NewReader("whole"))}, nil
	}
}

var _ = Describe("an entry that reports crashes to control", func() {
	It("reports each crash until control has acknowledged it", func() {
		r := newReporting()
		Expect(r.send(request("a", "s"))).NotTo(Succeed())
		first := r.Reports()
		Expect(first).To(HaveLen(1))
		Expect(first[0].Crashes).To(Equal([]Crash{{"a", 1}}))
		Expect(r.send(request("b", "s"))).NotTo(Succeed())
		r.Acknowledge(first)
		Expect(r.Reports()).To(HaveLen(1), "the second crash came after the first report")
		Expect(r.Reports()[0].Crashes).To(ContainElement(Crash{"b", 1}))
		r.Acknowledge(r.Reports())
		Expect(r.Reports()).To(BeEmpty())
	})

	It("refuses what control lists before anything is sent, for as long as control lists it", func() {
		r := newReporting()
		r.respond = response(false)
		listed := []CrashReport{{Fingerprint: Fingerprint(request("a", "s")), Crashes: []Crash{{"x", 1}, {"y", 1}}}}
		r.SetContained(listed)
		Expect(r.Admit(request("a", "s"))).To(HaveOccurred())
		Expect(r.Admit(request("a", "another"))).To(HaveOccurred(), "a split route may choose another service for the same request")
		Expect(r.List()).To(HaveLen(1))
		r.SetContained(nil)
		Expect(r.Admit(request("a", "s"))).To(Succeed())
		r.SetContained(listed)
		r.advance(DefaultExpiry)
		Expect(r.Admit(request("a", "s"))).To(Succeed())
	})

	It("refuses what control lists even if it knows as many suspects as it may", func() {
		r := newReporting()
		r.mu.Lock()
		for i := range maxSuspects {
			req := request("a", "s")
			req.Path = fmt.Sprint("/", i)
			r.addSuspect(Fingerprint(req), "s", req.Method, req.Path)
		}
		r.mu.Unlock()
		r.SetContained([]CrashReport{{Fingerprint: Fingerprint(request("a", "s")), Crashes: []Crash{{"x", 1}, {"y", 1}}}})
		Expect(r.Admit(request("a", "s"))).To(HaveOccurred())
	})

	// Guards against an entry that wakes up all the time although no server has crashed.
	It("checks nothing until a connection is lost", func() {
		r := newReporting()
		time.Sleep(2 * confirmInterval)
		before := r.reads.Load()
		Consistently(r.reads.Load, 4*confirmInterval, confirmInterval/2).Should(Equal(before))
		Expect(r.send(request("a", "s"))).NotTo(Succeed())
		Eventually(r.reads.Load, time.Second, confirmInterval/2).Should(BeNumerically(">", before+4))
	})

	It("refuses by itself what crashes servers again while control still lists it", func() {
		r := newReporting()
		r.SetContained([]CrashReport{{Fingerprint: Fingerprint(request("a", "s"))}})
		r.advance(DefaultExpiry)
		for _, server := range []string{"a", "b"} {
			Expect(r.send(request(server, "s"))).NotTo(Succeed())
		}
		Expect(r.Admit(request("c", "s"))).To(HaveOccurred())
	})

	// Guards against a full server whose refusal makes a request that crashes servers look harmless.
	It("clears a suspect only when a server has run it", func() {
		r := newReporting()
		Expect(r.send(request("a", "s"))).NotTo(Succeed())
		crash := r.respond
		r.respond = response(true)
		Expect(r.send(request("b", "s"))).To(Succeed())
		r.respond = crash
		Expect(r.send(request("c", "s"))).NotTo(Succeed())
		Expect(r.Admit(request("d", "s"))).To(HaveOccurred())

		r = newReporting()
		Expect(r.send(request("a", "s"))).NotTo(Succeed())
		r.respond = response(false)
		Expect(r.send(request("b", "s"))).To(Succeed())
		Expect(r.Reports()).To(HaveLen(1))
		Expect(r.Reports()[0].Cleared).To(BeTrue())
	})

	// Guards against a report that a server has run a request, which is passed on late and clears crashes after that.
	It("names the crashes that a response clears, and reports later ones after them", func() {
		r := newReporting()
		Expect(r.send(request("a", "s"))).NotTo(Succeed())
		r.SetContained([]CrashReport{{Fingerprint: Fingerprint(request("a", "s")), Crashes: []Crash{{"x", 1}}}})
		r.handleResponse(request("b", "s"))
		r.advance(time.Second)
		Expect(r.send(request("c", "s"))).NotTo(Succeed())
		reports := r.Reports()
		Expect(reports).To(HaveLen(2))
		Expect(reports[0].Cleared).To(BeTrue())
		Expect(reports[0].Crashes).To(ConsistOf(Crash{"a", 1}, Crash{"x", 1}))
		Expect(reports[1].Cleared).To(BeFalse())
		Expect(reports[1].Crashes).To(ConsistOf(Crash{"c", 1}))
		r.Acknowledge(reports)
		Expect(r.Reports()).To(BeEmpty())
	})

	// Guards against a reset connection, as full servers cause, that hides a crash of the same server soon after it.
	It("checks again when another connection to the same server is lost later", func() {
		r := newReporting()
		r.refused = false
		Expect(r.send(request("a", "s"))).NotTo(Succeed())
		Expect(r.Reports()).To(BeEmpty())
		r.advance(time.Second)
		r.refused = true
		Expect(r.send(request("a", "s"))).NotTo(Succeed())
		Expect(r.Reports()).To(HaveLen(1))
		Expect(r.dials).To(Equal(2))
	})
})
