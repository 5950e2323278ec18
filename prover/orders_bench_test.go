package prover

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotswitch.example/common/claimerpb"
	"peridotswitch.example/common/decider"
	"peridotswitch.example/peridot-control/keeper"
	"peridotswitch.example/peridot-entry/claimer"
)

// benchClaims sets the number of claims: each caller makes benchClaims/64 per row of the table, and a quarter of that with a delay
// between zones.
const (
	benchClaims    = 3000
	crossZoneDelay = 1500 * time.Microsecond
)

// benchReplica is a claim replica in this process, served over HTTP on loopback.
type benchReplica struct {
	address   string
	srv       *http.Server
	syncCount *atomic.Int64
}

func newBenchReplica(b *testing.B, delay time.Duration) *benchReplica {
	l, err := net.Listen("tcp", newAddress())
	Expect(err).NotTo(HaveOccurred())
	r := &benchReplica{address: l.Addr().String(), syncCount: &atomic.Int64{}}
	k, err := keeper.New(keeper.Config{Dir: b.TempDir(), MaxKeys: 10_000_000, Sync: func(f *os.File) error {
		r.syncCount.Add(1)
		return f.Sync()
	}})
	Expect(err).NotTo(HaveOccurred())
	mux := claimerpb.NewClaimerServer(k)
	r.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		time.Sleep(2 * delay)
		mux.ServeHTTP(w, req)
	})}
	go func() { _ = r.srv.Serve(l) }()
	b.Cleanup(func() {
		_ = r.srv.Close()
		_ = k.Close()
	})
	return r
}

// BenchmarkClaims prints the latency of claims and settlements over three replicas, with all up (one round) and with
// one down (two rounds).
//
// go test ./prover -run '^$' -bench Claims -benchtime 1x
func BenchmarkClaims(b *testing.B) {
	RegisterTestingT(b)
	fmt.Println("| replicas | one-way delay between zones | callers | claims/s | claim p50 | claim p99 | settle p50 | fsyncs per order and replica |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, delay := range []time.Duration{0, crossZoneDelay} {
		for _, down := range []int{0, 1} {
			for _, callers := range []int{1, 8, 64} {
				printClaimsRow(b, delay, down, callers)
			}
		}
	}
}

func printClaimsRow(b *testing.B, delay time.Duration, down, callers int) {
	var addresses []string
	var replicas []*benchReplica
	for i := range 3 {
		// The first replica is in the caller's own zone.
		d := delay
		if i == 0 {
			d = 0
		}
		replicas = append(replicas, newBenchReplica(b, d))
		addresses = append(addresses, replicas[i].address)
	}
	c := claimer.New(claimer.Config{Replicas: addresses, InstanceID: "bench", OnError: func(error) {}})
	defer c.Close()
	Eventually(func() error { return claimAndSettle(c, "warm", nil, nil) }, "10s").Should(Succeed())
	for i := range down {
		_ = replicas[2-i].srv.Close()
	}
	before := replicas[0].syncCount.Load()
	n := benchClaims / 64 * min(callers, 16)
	if delay > 0 {
		n /= 4
	}
	var mu sync.Mutex
	var claims, settles []time.Duration
	var wg sync.WaitGroup
	begin := time.Now()
	for caller := range callers {
		wg.Go(func() {
			for i := range n / min(callers, 16) {
				var claimLatency, settleLatency time.Duration
				err := claimAndSettle(c, fmt.Sprintf("%d-%d", caller, i), &claimLatency, &settleLatency)
				mu.Lock()
				if err != nil {
					b.Error(err)
				}
				claims, settles = append(claims, claimLatency), append(settles, settleLatency)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(begin)
	slices.Sort(claims)
	slices.Sort(settles)
	at := func(d []time.Duration, q float64) time.Duration {
		return d[int(float64(len(d)-1)*q)].Round(time.Microsecond)
	}
	fmt.Printf("| %d of 3 up | %v | %d | %.0f | %v | %v | %v | %.2f |\n", 3-down, delay, callers, float64(len(claims))/elapsed.Seconds(),
		at(claims, 0.5), at(claims, 0.99), at(settles, 0.5), float64(replicas[0].syncCount.Load()-before)/float64(len(claims)))
}

// claimAndSettle claims a key and settles it as run; it stores the latencies in claimLatency and settleLatency unless they are nil.
func claimAndSettle(c *claimer.Claimer, key string, claimLatency, settleLatency *time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	begin := time.Now()
	cl, _, err := c.Claim(ctx, claimer.Request{Key: key, RequestID: key, Fingerprint: make([]byte, 32), IssuedAt: begin, Deadline: begin.Add(10 * time.Second)})
	if err != nil || cl == nil {
		return err
	}
	if claimLatency != nil {
		*claimLatency = time.Since(begin)
	}
	begin = time.Now()
	err = cl.Settle(ctx, decider.Ran, []string{"order-1"}, &claimerpb.Answer{Status: http.StatusOK, Body: make([]byte, 200)})
	if settleLatency != nil {
		*settleLatency = time.Since(begin)
	}
	return err
}
