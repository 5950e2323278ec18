package prover

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	loadWarmUp   = 1000 * time.Millisecond
	loadDuration = 2500 * time.Millisecond
)

// loadFault is a fault that is present during a measurement; start injects it before each load level and returns a function that
// ends it.
type loadFault struct {
	name  string
	start func(f *loadFleet) (end func())
}

func withBehaviour(behaviour string, servers ...int) func(*loadFleet) func() {
	return func(f *loadFleet) func() {
		for _, i := range servers {
			Expect(f.servers[i].setBehaviour(behaviour)).To(Succeed())
		}
		return func() {}
	}
}

func loadFaults() []loadFault {
	return []loadFault{
		{"none", withBehaviour(`{}`)},
		{"straggler", withBehaviour(`{"straggle":10}`, 0)},
		{"fast-failer", withBehaviour(`{"fail-share":1}`, 0)},
		{"rolling-restart", (*loadFleet).restartAll},
		{"half-cold", (*loadFleet).restartHalfCold},
		{"lying-reports", func(f *loadFleet) func() {
			withBehaviour(`{"report-every":"200ms"}`, 3, 4, 5, 6, 7, 8, 9)(f)
			withBehaviour(`{"report-in-flight":0}`, 0, 1)(f)
			return withBehaviour(`{"report-in-flight":6}`, 2)(f)
		}},
		{"noisy-neighbour", withBehaviour(`{"steal":4,"steal-share":0.5}`, 0, 1, 2)},
	}
}

// restartAll restarts the servers one after the other until the returned function is called.
func (f *loadFleet) restartAll() func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
			s := f.servers[i%len(f.servers)]
			s.signal(syscall.SIGTERM)
			s.restart()
		}
	})
	return func() {
		close(stop)
		wg.Wait()
	}
}

// restartHalfCold restarts half of the servers, which then answer slowly for a while, as with cold caches.
func (f *loadFleet) restartHalfCold() func() {
	for i := range len(f.servers) / 2 {
		s := f.servers[i]
		s.signal(syscall.SIGTERM)
		s.restart()
		Eventually(func() error { return s.setBehaviour(`{"distribution":"exponential","cold-for":"4s","cold-factor":5}`) }, "20s", "20ms").Should(Succeed())
	}
	return func() {}
}

// BenchmarkChoosing compares the load-balancing policies, with one table for each fault and service-time distribution.
func BenchmarkChoosing(b *testing.B) {
	for _, distribution := range []string{"exponential", "heavy-tailed"} {
		for _, ft := range loadFaults() {
			b.Run(distribution+"/"+ft.name, func(b *testing.B) {
				var table strings.Builder
				fmt.Fprintf(&table, "\n### %s, %s\n\n%s\n", ft.name, distribution, policyTableHeader)
				for _, policy := range []string{"random", "round-robin", "least-in-flight", "two-choices", "corrected"} {
					b.Run(policy, func(b *testing.B) { measurePolicy(b, &table, policy, distribution, ft) })
				}
				fmt.Println(table.String())
			})
		}
	}
}

const policyTableHeader = "| policy | load % | calls | p50 ms | p99 ms | p99.9 ms | shed % | failed % | extra % | probes/server/s | entry CPU µs/call | generator lag p99 ms |\n" +
	"| --- | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: |"

func measurePolicy(b *testing.B, table *strings.Builder, policy, distribution string, ft loadFault) {
	setUpBenchmark(b)
	f := newLoadFleet(b, policy, fmt.Sprintf(`{"distribution":%q}`, distribution))
	for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
		end := ft.start(f)
		s := f.entryStream("/item", load*loadCapacity)
		f.run(s, loadWarmUp)
		r := f.run(s, loadDuration)
		end()
		fmt.Fprintf(table, "| %s | %.0f | %s |\n", policy, 100*load, r.policyRow())
	}
}

func (r *loadResult) policyRow() string {
	return fmt.Sprintf("%d | %s | %s | %s | %s | %s | %s | %.2f | %d | %s",
		r.sent, ms(r.percentile(50)), ms(r.percentile(99)), ms(r.percentile(99.9)),
		percent(r.shed, r.sent), percent(r.failed, r.sent), percent(r.counters.Extra, r.sent),
		float64(r.counters.Probes)/loadServers/r.duration.Seconds(),
		(r.cpu / time.Duration(max(r.sent, 1))).Microseconds(),
		ms(percentile(r.sendLag, 99)))
}
