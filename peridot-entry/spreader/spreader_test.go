package spreader

import (
	"fmt"
	"math"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
	"peridotswitch.example/peridot-entry/spreaderpb"
)

func TestSpreaderSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "spreader")
}

// node is one entry's table and spreader.
type node struct {
	*registrar.Registrar
	*Spreader
	srv *httptest.Server
}

// newNodes starts n entries that list each other as peers.
func newNodes(n int) []*node {
	nodes := make([]*node, n)
	var peers atomic.Pointer[[]Peer]
	for i := range nodes {
		nodes[i] = newNode(i, &peers)
	}
	var list []Peer
	for i, n := range nodes {
		list = append(list, Peer{fmt.Sprintf("entry-%d", i), n.srv.Listener.Addr().String()})
	}
	peers.Store(&list)
	return nodes
}

func newNode(i int, peers *atomic.Pointer[[]Peer]) *node {
	n := &node{}
	n.Registrar = registrar.New(registrar.Config{OnChange: func() { n.ExchangeNow() }})
	n.Spreader = New(Config{
		InstanceID: fmt.Sprintf("entry-%d", i), Incarnation: uint64(i + 1), Now: time.Now,
		Lease: registrar.DefaultLease, Interval: DefaultInterval,
		Peers: func() ([]Peer, bool) {
			if p := peers.Load(); p != nil {
				return *p, true
			}
			return nil, false
		},
		Records: n.Records, DirectRecords: n.DirectRecords, ApplyRelayed: n.ApplyRelayed, OnChange: func(Peer, error) {},
		Case:      func(string) *spreaderpb.Case { return nil },
		Cases:     func() []*spreaderpb.Case { return nil },
		MergeCase: func(*spreaderpb.Case) {},

		Observe: func(registrar.Key, sender.Load) {},
	})
	n.srv = httptest.NewServer(spreaderpb.NewSpreaderServer(n.Spreader))
	return n
}

func (n *node) stop() {
	n.Close()
	n.srv.CloseClientConnections()
	n.srv.Close()
}

func server(i int, sequence uint64) registrar.Server {
	return registrar.Server{
		Service: fmt.Sprintf("service-%02d", i%24), InstanceID: fmt.Sprintf("server-%03d", i), Incarnation: 1, Sequence: sequence,
		Address: fmt.Sprintf("10.1.2.3:%d", 10000+i), AvailabilityZone: "zone-a", Slots: 6, Connections: 250, State: registrar.Ready,
	}
}

var _ = Describe("the exchange between entries", func() {
	var nodes []*node
	BeforeEach(func() {
		nodes = newNodes(3)
		DeferCleanup(func() {
			for _, n := range nodes {
				n.stop()
			}
		})
	})
	at := func(n *node) func() int { return func() int { return len(n.Servers("service-00")) } }

	It("relays an announcement to every entry for as long as it is renewed at one", func() {
		for sequence := range uint64(8) {
			nodes[0].Announce(server(0, sequence+1))
			for _, n := range nodes {
				Eventually(at(n), "2s", "5ms").Should(Equal(1))
			}
			time.Sleep(registrar.DefaultLease / 4)
		}
		Eventually(at(nodes[2]), "3s", "5ms").Should(Equal(0))
	})
	It("removes a server from every entry for good when it leaves at one", func() {
		nodes[0].Announce(server(0, 1))
		nodes[1].Announce(server(0, 2))
		Eventually(at(nodes[2]), "2s", "5ms").Should(Equal(1))
		nodes[0].Leave(registrar.Key{Service: "service-00", InstanceID: "server-000"})
		for _, n := range nodes {
			Eventually(at(n), "2s", "5ms").Should(Equal(0))
			Consistently(at(n), "300ms", "5ms").Should(Equal(0))
		}
	})
	It("bounds a batch's age by the stamp that it echoes", func() {
		nodes[0].Announce(server(0, 1))
		n, now := nodes[1], time.Now()
		for name, c := range map[string]struct {
			req  *spreaderpb.ExchangeRequest
			want time.Duration
		}{
			"no stamp":            {&spreaderpb.ExchangeRequest{}, math.MaxInt64},
			"another incarnation": {&spreaderpb.ExchangeRequest{EchoIncarnation: 9, EchoStampMs: 1}, math.MaxInt64},
			"received at once":    {&spreaderpb.ExchangeRequest{EchoIncarnation: 2, EchoStampMs: n.stamp(now) - 500, HeldMs: 500}, time.Millisecond},
			"delayed":             {&spreaderpb.ExchangeRequest{EchoIncarnation: 2, EchoStampMs: n.stamp(now) - 500, HeldMs: 100}, 401 * time.Millisecond},
		} {
			Expect(n.maxAge(c.req, now)).To(Equal(c.want), name)
		}
	})
	It("is synchronised by a peer's table, or after the time of a lease without one", func() {
		for _, n := range nodes {
			Eventually(n.IsSynchronised, "5s", "10ms").Should(BeTrue())
		}
		nodes[0].Announce(server(0, 1))
		list := []Peer{{"entry-0", nodes[0].srv.Listener.Addr().String()}}
		var peers atomic.Pointer[[]Peer]
		newcomer := newNode(3, &peers)
		nodes = append(nodes, newcomer)
		Expect(newcomer.IsSynchronised()).To(BeFalse())
		peers.Store(&list)
		begin := time.Now()
		Eventually(newcomer.IsSynchronised, "5s", "1ms").Should(BeTrue())
		Expect(time.Since(begin)).To(BeNumerically("<", registrar.DefaultLease))
		Expect(at(newcomer)()).To(Equal(1))
	})
})
