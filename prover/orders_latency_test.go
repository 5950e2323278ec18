package prover

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"go.yaml.in/yaml/v3"

	control "peridotswitch.example/peridot-control/supervisor"
	entry "peridotswitch.example/peridot-entry/supervisor"
	"peridotswitch.example/peridot-fake/faker"
)

const (
	benchCalls   = 1500
	benchCallers = 4
	// blackholeInterval is how often all open connections to the backend servers stop passing data.
	blackholeInterval = 150 * time.Millisecond
)

// benchFleet consists of three control members, an entry and backend servers behind proxies, all in this process.
type benchFleet struct {
	*fleet
	entry   string
	proxies []*proxy
}

func newBenchFleet(b *testing.B) *benchFleet {
	f := &benchFleet{fleet: &fleet{}}
	f.load("velario", 1)
	var members []string
	for i := range 3 {
		f.controlAddresses = append(f.controlAddresses, newAddress())
		members = append(members, fmt.Sprintf("control-%d=%s@%s", i, f.controlAddresses[i], f.controlZone(i)))
	}
	closeOnCleanup := func(f func(context.Context) error) {
		b.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_ = f(ctx)
		})
	}
	for i, address := range f.controlAddresses {
		cfg := control.Config{
			InstanceID: fmt.Sprintf("control-%d", i), AvailabilityZone: f.controlZone(i), Listen: address, DataDir: b.TempDir(),
			Heartbeat: control.DefaultHeartbeat, Election: control.DefaultElection, ReplaceAfter: control.DefaultReplaceAfter,
			OperatorToken: operatorToken, Log: zerolog.Nop(), OnFailure: func(err error) { b.Error(err) },
		}
		Expect(control.InitialMembers(&cfg.InitialMembers)(strings.Join(members, ","))).To(Succeed())
		c, err := control.New(cfg)
		Expect(err).NotTo(HaveOccurred())
		closeOnCleanup(c.Close)
	}
	e := f.inventory.Entries[0]
	s, err := entry.New(entry.Config{
		InstanceID: e.InstanceID, AvailabilityZone: e.AvailabilityZone, Listen: e.Address, PeerListen: e.PeerAddress,
		OperatorListen: newAddress(), Control: f.controlAddresses, OperatorToken: operatorToken, Log: zerolog.Nop(),
	})
	Expect(err).NotTo(HaveOccurred())
	closeOnCleanup(s.Close)
	f.entry = e.Address
	text, err := yaml.Marshal(f.inventory)
	Expect(err).NotTo(HaveOccurred())
	f.apply("first", 0, text, f.rules)
	for i := range 4 {
		f.startServer(closeOnCleanup, []string{"stock-lookup", orderService}[i%2], i)
	}
	Eventually(func(g Gomega) {
		for _, c := range []string{"lookup", "order"} {
			g.Expect(f.call(c, "warm-"+c)).To(Equal("ran"))
		}
	}, "20s", "50ms").Should(Succeed())
	return f
}

func (f *benchFleet) startServer(closeOnCleanup func(func(context.Context) error), service string, i int) {
	listen := newAddress()
	p, closeProxy := openProxy(listen)
	f.proxies = append(f.proxies, p)
	s, err := faker.New(faker.Config{
		Service: service, InstanceID: fmt.Sprintf("server-%d", i), AvailabilityZone: f.inventory.Entries[0].AvailabilityZone,
		Listen: listen, AnnounceAddress: p.address, Entries: []string{f.entry}, Slots: 6, Connections: 250, Behaviour: faker.DefaultBehaviour(),
	})
	Expect(err).NotTo(HaveOccurred())
	closeOnCleanup(func(ctx context.Context) error {
		closeProxy()
		return s.Close(ctx)
	})
}

// call makes one lookup or order and returns its outcome.
func (f *benchFleet) call(kind, key string) string {
	r, err := order(f.entry, key, "wax", map[string]string{"Peridot-Deadline-Ms": "1000"})
	if kind == "lookup" {
		r, err = call(f.entry, http.MethodGet, "/call/stock-lookup/item", "", nil)
	}
	if err != nil {
		return err.Error()
	}
	return r.header.Get("Peridot-Outcome")
}

// BenchmarkOrders prints the latency of orders and lookups, and how many orders end as unknown when connections stop passing data.
//
// go test ./prover -run '^$' -bench Orders -benchtime 1x
func BenchmarkOrders(b *testing.B) {
	RegisterTestingT(b)
	f := newBenchFleet(b)
	fmt.Println("| calls | connections | p50 | p99 | outcomes |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, kind := range []string{"lookup", "order"} {
		f.printRow(kind, "healthy")
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(blackholeInterval):
				for _, p := range f.proxies {
					p.blackholeOpen()
				}
			}
		}
	})
	f.printRow("order", "all open ones blackholed every "+blackholeInterval.String())
	close(done)
	wg.Wait()
}

func (f *benchFleet) printRow(kind, connections string) {
	var mu sync.Mutex
	var latencies []time.Duration
	outcomes := make(map[string]int)
	var wg sync.WaitGroup
	for caller := range benchCallers {
		wg.Go(func() {
			for i := range benchCalls / benchCallers {
				begin := time.Now()
				outcome := f.call(kind, fmt.Sprintf("%s-%s-%d-%d", kind, connections, caller, i))
				mu.Lock()
				latencies = append(latencies, time.Since(begin))
				outcomes[outcome]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.Sort(latencies)
	at := func(q float64) time.Duration {
		return latencies[int(float64(len(latencies)-1)*q)].Round(10 * time.Microsecond)
	}
	fmt.Printf("| %d %ss | %s | %v | %v | %v |\n", len(latencies), kind, connections, at(0.5), at(0.99), outcomes)
}
