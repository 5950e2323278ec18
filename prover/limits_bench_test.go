package prover

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"
)

// limitServiceTime is longer than loadServiceTime, so that the machine can generate three times the capacity.
const (
	limitServiceTime = 80 * time.Millisecond
	limitCapacity    = loadServers * loadSlots * float64(time.Second) / float64(limitServiceTime)
	limitWarmUp      = 2 * time.Second
	limitDuration    = 6 * time.Second
	mixedDuration    = 12 * time.Second
)

// BenchmarkOverload prints goodput at loads from below capacity to three times it, with shedding and with an unbounded queue.
func BenchmarkOverload(b *testing.B) {
	var table strings.Builder
	table.WriteString("\n| servers | load % | goodput % of capacity | p50 ms | p99 ms | shed % | failed % | shed p50 ms | shed p99 ms | extra % | generator lag p99 ms |\n" +
		"| --- | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: |\n")
	for name, queue := range map[string]int{"shed": loadQueue, "queue without bound": 1_000_000} {
		b.Run(name, func(b *testing.B) {
			setUpBenchmark(b)
			f := newLoadFleet(b, "corrected", fmt.Sprintf(`{"distribution":"exponential","service-time":%q,"queue":%d}`, limitServiceTime, queue))
			for _, load := range []float64{0.8, 1, 1.5, 2, 3} {
				s := f.entryStream("/item", load*limitCapacity)
				f.run(s, limitWarmUp)
				r := f.run(s, limitDuration)
				goodput := float64(r.answeredLatency.TotalCount()) / limitDuration.Seconds() / limitCapacity
				fmt.Fprintf(&table, "| %s | %.0f | %.1f | %s | %s | %s | %s | %s | %s | %s | %s |\n", name, 100*load, 100*goodput,
					ms(r.percentile(50)), ms(r.percentile(99)), percent(r.shed, r.sent), percent(r.failed, r.sent),
					ms(percentile(r.refusedLatency, 50)), ms(percentile(r.refusedLatency, 99)), percent(r.counters.Extra, r.sent), ms(percentile(r.sendLag, 99)))
			}
		})
	}
	fmt.Println(table.String())
}

// BenchmarkDeferrable prints how deferrable calls at three times the capacity affect interactive ones.
func BenchmarkDeferrable(b *testing.B) {
	setUpBenchmark(b)
	f := newLoadFleet(b, "corrected", fmt.Sprintf(`{"distribution":"exponential","service-time":%q}`, limitServiceTime))
	var table strings.Builder
	table.WriteString("\n| interactive load % | deferrable load % | interactive p50 ms | p99 ms | p99.9 ms | interactive shed % | deferrable answered % of capacity | p99 relative to interactive only | generator lag p99 ms |\n" +
		"| --: | --: | --: | --: | --: | --: | --: | --: | --: |\n")
	for _, load := range []float64{0.3, 0.5, 0.7} {
		var baseline time.Duration
		for _, deferrable := range []float64{0, 3} {
			r, answered := f.runMixed(load, deferrable)
			if deferrable == 0 {
				baseline = r.percentile(99)
			}
			fmt.Fprintf(&table, "| %.0f | %.0f | %s | %s | %s | %s | %.1f | %.2f | %s |\n", 100*load, 100*deferrable,
				ms(r.percentile(50)), ms(r.percentile(99)), ms(r.percentile(99.9)), percent(r.shed, r.sent),
				100*max(answered, 0)/limitCapacity, float64(r.percentile(99))/float64(baseline), ms(percentile(r.sendLag, 99)))
		}
	}
	fmt.Println(table.String())
}

// runMixed runs interactive and deferrable calls at the same time, at rates given as shares of capacity. answered is the number of
// deferrable calls answered per second.
func (f *loadFleet) runMixed(interactive, deferrable float64) (r *loadResult, answered float64) {
	var wg sync.WaitGroup
	if deferrable > 0 {
		wg.Go(func() { f.run(f.entryStream("/sync", deferrable*limitCapacity), limitWarmUp+mixedDuration) })
	}
	s := f.entryStream("/item", interactive*limitCapacity)
	f.run(s, limitWarmUp)
	r = f.run(s, mixedDuration)
	wg.Wait()
	return r, float64(r.counters.Finished-r.answeredLatency.TotalCount()) / mixedDuration.Seconds()
}

// BenchmarkAddedLatency compares calls through an entry with direct ones at the same rates, on servers with a practically unbounded
// queue.
func BenchmarkAddedLatency(b *testing.B) {
	setUpBenchmark(b)
	f := newLoadFleet(b, "corrected", `{"queue":1000000,"service-time":"20ms"}`)
	direct := func(rnd *rand.Rand) string {
		return "http://" + f.servers[rnd.IntN(len(f.servers))].address + "/item"
	}
	var table strings.Builder
	table.WriteString("\n| load % | calls | direct p50 ms | p99 ms | through an entry p50 ms | p99 ms | added p50 ms | added p99 ms | entry CPU µs/call | generator lag p99 ms |\n" +
		"| --: | --: | --: | --: | --: | --: | --: | --: | --: | --: |\n")
	const rounds = 3
	for _, load := range []float64{0.2, 0.5, 0.8} {
		rate := load * loadCapacity
		d, e := newLoadResult(0), newLoadResult(0)
		// Opens the connections of both paths before the measurement.
		f.run(stream{rate: rate, target: direct}, limitWarmUp)
		f.run(f.entryStream("/item", rate), limitWarmUp)
		// Alternates the two paths, so that other load on the machine affects both alike.
		for range rounds {
			d.merge(f.run(stream{rate: rate, target: direct}, limitWarmUp))
			e.merge(f.run(f.entryStream("/item", rate), limitWarmUp))
		}
		fmt.Fprintf(&table, "| %.0f | %d | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %d | %s |\n", 100*load, e.sent,
			milliseconds(d.percentile(50)), milliseconds(d.percentile(99)), milliseconds(e.percentile(50)), milliseconds(e.percentile(99)),
			milliseconds(e.percentile(50)-d.percentile(50)), milliseconds(e.percentile(99)-d.percentile(99)),
			(e.cpu / time.Duration(max(e.sent, 1))).Microseconds(), ms(percentile(e.sendLag, 99)))
	}
	fmt.Println(table.String())
}

// BenchmarkEntryCost prints the CPU time and memory of one entry at several call rates.
func BenchmarkEntryCost(b *testing.B) {
	setUpBenchmark(b)
	f := newLoadFleet(b, "corrected", `{"queue":1000000,"service-time":"2ms"}`)
	entry := f.entries[0]
	var table strings.Builder
	table.WriteString("\n| calls a second | entry CPU % of a core | entry CPU µs/call | memory MB | p50 ms | p99 ms | generator lag p99 ms |\n" +
		"| --: | --: | --: | --: | --: | --: | --: |\n")
	for _, rate := range []float64{1, 500, 1000, 2000, 4000} {
		s := stream{rate: rate, target: func(*rand.Rand) string { return "http://" + entry.address + "/call/stock-lookup/item" }}
		f.run(s, limitWarmUp)
		before, _ := entry.usage()
		r := f.run(s, limitDuration)
		after, memory := entry.usage()
		fmt.Fprintf(&table, "| %.0f | %.1f | %d | %d | %.2f | %.2f | %s |\n", rate, 100*(after-before).Seconds()/limitDuration.Seconds(),
			((after - before) / time.Duration(max(r.sent, 1))).Microseconds(), memory>>20, milliseconds(r.percentile(50)), milliseconds(r.percentile(99)), ms(percentile(r.sendLag, 99)))
	}
	fmt.Println(table.String())
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// merge adds the latencies, number of calls and CPU time of p to r.
func (r *loadResult) merge(p *loadResult) {
	r.answeredLatency.Merge(p.answeredLatency)
	r.refusedLatency.Merge(p.refusedLatency)
	r.sendLag.Merge(p.sendLag)
	r.sent += p.sent
	r.cpu += p.cpu
}
