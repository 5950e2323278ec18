package quarantiner

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
	"peridotswitch.example/peridot-entry/spreaderpb"
)

func TestQuarantinerSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantiner")
}

// testCluster simulates backend servers that crash on bodies containing "poison", and two entries that share suspects.
type testCluster struct {
	mu          sync.Mutex
	now         time.Time
	crashed     map[string]bool
	incarnation map[string]uint64
	// hideCrashes makes dials to crashed servers succeed, as behind a proxy that accepts connections itself.
	hideCrashes bool
	entries     []*Quarantiner
	executed    int
}

func newTestCluster() *testCluster {
	c := &testCluster{now: time.Now(), crashed: make(map[string]bool), incarnation: make(map[string]uint64)}
	for i := range 2 {
		c.entries = append(c.entries, New(Config{
			Now:  func() time.Time { c.mu.Lock(); defer c.mu.Unlock(); return c.now },
			Send: c.send,
			ConnectionRefused: func(address string) bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return c.crashed[address] && !c.hideCrashes
			},
			Find: func(k registrar.Key) (registrar.Server, bool) {
				c.mu.Lock()
				defer c.mu.Unlock()
				return registrar.Server{Incarnation: 1 + c.incarnation[k.InstanceID]}, true
			},
			Expiry:  time.Minute,
			Isolate: true,
			Share: func(fingerprints []string) {
				for _, f := range fingerprints {
					c.entries[1-i].MergeCase(c.entries[i].Case(f))
				}
			},
			OnChange: func(ContainedRequest, bool) {},
		}))
	}
	DeferCleanup(func() {
		for _, q := range c.entries {
			q.Close()
		}
	})
	return c
}

func (c *testCluster) send(_ context.Context, req *sender.Request) (*sender.Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.crashed[req.Address] {
		return nil, &sender.Error{Phase: sender.Connecting, Err: errors.New("refused")}
	}
	if bytes.Contains(req.Body, []byte("slow")) {
		c.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
		c.mu.Lock()
	}
	c.executed++
	if bytes.Contains(req.Body, []byte("poison")) || c.crashed[req.Address] {
		c.crashed[req.Address] = true
		return nil, &sender.Error{Phase: sender.Waiting, Written: true, Err: io.ErrUnexpectedEOF}
	}
	return &sender.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("whole"))}, nil
}

// call sends body to a backend server through an entry and reads the response; refused reports whether the error is an *Error.
func (c *testCluster) call(entry int, server, body string) (refused bool, err error) {
	res, err := c.entries[entry].Send(context.Background(), &sender.Request{
		Address: server, Server: registrar.Key{Service: "s", InstanceID: server}, Incarnation: 1, Method: http.MethodGet, Path: "/", Body: []byte(body),
	})
	if err == nil {
		_, err = io.ReadAll(res.Body)
		res.Body.Close()
	}
	var refusal *Error
	return errors.As(err, &refusal), err
}

func (c *testCluster) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

var _ = Describe("requests that crash backend servers", func() {
	var c *testCluster
	BeforeEach(func() { c = newTestCluster() })

	It("refuses a request at every entry after two crashes, until the refusal expires or is lifted", func() {
		for i, server := range []string{"a", "b"} {
			refused, err := c.call(i, server, "poison")
			Expect(err).To(MatchError(ContainSubstring("crashed, the request's fingerprint is")))
			Expect(refused).To(BeFalse())
			c.advance(time.Second)
		}
		for i := range c.entries {
			refused, _ := c.call(i, "c", "poison")
			Expect(refused).To(BeTrue())
			Expect(c.entries[i].List()).To(HaveLen(1))
			Expect(c.entries[i].List()[0].Servers).To(Equal([]string{"a", "b"}))
		}
		Expect(c.executed).To(Equal(2))
		Expect(c.entries[0].Lift(c.entries[0].List()[0].Fingerprint)).To(BeTrue())
		Expect(c.entries[1].List()).To(BeEmpty())
		c.advance(time.Second)
		for _, server := range []string{"c", "d"} {
			refused, _ := c.call(1, server, "poison")
			Expect(refused).To(BeFalse())
			c.advance(time.Second)
		}
		Expect(c.entries[0].List()).To(HaveLen(1))
		c.advance(time.Minute)
		Expect(c.entries[0].List()).To(BeEmpty())
	})

	It("refuses only the request that caused both crashes, not others that were in flight in the first", func() {
		var wg sync.WaitGroup
		for _, body := range []string{"slow 1", "slow 2", "slow 3"} {
			wg.Go(func() { _, _ = c.call(0, "a", body) })
		}
		Eventually(func() int {
			c.entries[0].mu.Lock()
			defer c.entries[0].mu.Unlock()
			return len(c.entries[0].inFlight[serverIncarnation{registrar.Key{Service: "s", InstanceID: "a"}, 1}])
		}).Should(Equal(3))
		_, _ = c.call(0, "a", "poison")
		wg.Wait()
		c.advance(time.Second)
		for _, body := range []string{"slow 1", "slow 2", "slow 3", "poison"} {
			wg.Go(func() {
				defer GinkgoRecover()
				if _, err := c.call(0, "b", body); err != nil && body != "poison" {
					_, err = c.call(0, "c", body)
					Expect(err).NotTo(HaveOccurred(), body)
				}
			})
		}
		wg.Wait()
		Expect(c.entries[1].List()).To(HaveLen(1))
		refused, _ := c.call(1, "d", "poison")
		Expect(refused).To(BeTrue())
	})

	It("counts a lost connection as a crash only when the server refuses connections or has a newer incarnation", func() {
		c.hideCrashes = true
		for _, server := range []string{"a", "b", "c"} {
			refused, _ := c.call(0, server, "poison")
			Expect(refused).To(BeFalse())
		}
		Consistently(c.entries[0].List, "200ms").Should(BeEmpty())
		c.mu.Lock()
		c.incarnation["a"], c.incarnation["b"] = 1, 1
		c.mu.Unlock()
		Eventually(c.entries[0].List, "2s").Should(HaveLen(1))
	})

	It("doesn't count crashes from before another entry cleared the request", func() {
		_, _ = c.call(0, "a", "poison")
		for _, q := range c.entries {
			q.MergeCase(&spreaderpb.Case{Fingerprint: c.entries[0].Cases()[0].Fingerprint, Service: "s", Cleared: true})
		}
		c.advance(time.Second)
		_, _ = c.call(0, "b", "poison")
		Expect(c.entries[0].List()).To(BeEmpty())
		Expect(c.entries[1].List()).To(BeEmpty())
	})
})
