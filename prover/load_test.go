package prover

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	. "github.com/onsi/gomega"
)

// Size, mean service time and rules of the deployment under load.
const (
	loadEntries     = 16
	loadServers     = 10
	loadSlots       = 6
	loadQueue       = 3
	loadServiceTime = 40 * time.Millisecond
	loadCapacity    = loadServers * loadSlots * float64(time.Second) / float64(loadServiceTime)
	loadRules       = `
defaults: {repeat: idempotent, deadline: 2s, attempts: 3, retry-share: 0.1, hedge-share: 0.05}
rules:
  - {service: stock-lookup, path: /sync, priority: deferrable, deadline: 5s}
`
)

// loadFleet is a fleet with one service under load.
type loadFleet struct {
	*fleet
	servers []*loadServer
	client  *http.Client
	seed    atomic.Uint64
}

type loadServer struct {
	*process
	address string
}

// setUpBenchmark lets the specs' helpers run in a benchmark and builds the programs under test before the first one.
func setUpBenchmark(b *testing.B) {
	b.Helper()
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	deferCleanup, tempDir = b.Cleanup, b.TempDir
	if binDir != "" {
		return
	}
	dir, err := os.MkdirTemp("", "peridot-bench-")
	if err != nil {
		b.Fatal(err)
	}
	if err = build(dir); err != nil {
		b.Fatal(err)
	}
	binDir = dir
}

// newLoadFleet starts entries with the given load-balancing policy and backend servers with the given behaviour.
func newLoadFleet(b *testing.B, policy, behaviour string) *loadFleet {
	b.Helper()
	b.Setenv("PERIDOT_POLICY", policy)
	f := &loadFleet{}
	f.fleet = newFleet("velario", loadEntries-1, func(f *fleet) {
		e := f.inventory.Entries[0]
		e.InstanceID, e.Address, e.PeerAddress = "velario-entry-16", newAddress(), newAddress()
		f.inventory.Entries = append(f.inventory.Entries, e)
		f.startEntry(e)
		f.rules = []byte(loadRules)
	})
	for i := range loadServers {
		zone := f.inventory.AvailabilityZones[i%len(f.inventory.AvailabilityZones)].Name
		initial := fmt.Sprintf(`{"service-time":%q,"queue":%d,"seed":%d}`, loadServiceTime, loadQueue, i+1)
		s := f.startServer("stock-lookup", fmt.Sprintf("server-%d", i), zone, "--slots", strconv.Itoa(loadSlots), "--behaviour", initial)
		f.servers = append(f.servers, s)
		Eventually(func() error { return s.setBehaviour(behaviour) }, "20s", "20ms").Should(Succeed())
	}
	f.client = &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 1000, IdleConnTimeout: time.Minute},
		Timeout:   30 * time.Second,
	}
	b.Cleanup(f.client.CloseIdleConnections)
	for _, e := range f.entries {
		Eventually(func() int { return f.get("http://" + e.address + "/call/stock-lookup/warm") }, "20s", "50ms").Should(Equal(http.StatusOK))
	}
	return f
}

// startServer starts a fake backend server whose behaviour can be changed while it runs.
func (f *fleet) startServer(service, id, zone string, args ...string) *loadServer {
	p := f.startFake(service, id, zone, args...)
	return &loadServer{process: p, address: p.flagValue("--listen")}
}

// flagValue returns the value of a flag that the process was started with.
func (p *process) flagValue(flag string) string {
	for i, a := range p.args[:len(p.args)-1] {
		if a == flag {
			return p.args[i+1]
		}
	}
	return ""
}

// setBehaviour changes the behaviour of a fake backend server.
func (s *loadServer) setBehaviour(behaviour string) error {
	res, err := http.Post("http://"+s.address+"/fake/behaviour", "application/json", strings.NewReader(behaviour))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body)
		return fmt.Errorf("behaviour: %d %s", res.StatusCode, text)
	}
	return nil
}

// fakeCounters are the counters of a fake backend server.
type fakeCounters struct {
	Calls           int64 `json:"calls"`
	Extra           int64 `json:"extra"`
	Shed            int64 `json:"shed"`
	Failed          int64 `json:"failed"`
	Canceled        int64 `json:"canceled"`
	Finished        int64 `json:"finished"`
	Probes          int64 `json:"probes"`
	MostConnections int64 `json:"most-connections"`
	DeadlineMS      int64 `json:"deadline-ms"`
}

// readCounters reads the counters of a fake backend server, which are zero when it is stopped.
func readCounters(address string) (c fakeCounters) {
	res, err := http.Get("http://" + address + "/fake/counters")
	if err != nil {
		return c
	}
	defer res.Body.Close()
	_ = json.NewDecoder(res.Body).Decode(&c)
	return c
}

func (f *loadFleet) counters() fakeCounters { return sumCounters(f.servers) }

func sumCounters(servers []*loadServer) (sum fakeCounters) {
	for _, s := range servers {
		c := readCounters(s.address)
		sum.Calls += c.Calls
		sum.Extra += c.Extra
		sum.Shed += c.Shed
		sum.Failed += c.Failed
		sum.Canceled += c.Canceled
		sum.Probes += c.Probes
		sum.Finished += c.Finished
	}
	return sum
}

// get returns the status of a GET, or 0 when no complete response arrived.
func (f *loadFleet) get(url string) int {
	res, err := f.client.Get(url)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err = io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// cpu returns the CPU time that the entries have used.
func (f *loadFleet) cpu() (sum time.Duration) {
	for _, e := range f.entries {
		used, _ := e.usage()
		sum += used
	}
	return sum
}

// stream is an open-loop stream of calls with exponentially distributed gaps.
type stream struct {
	// rate is in calls per second; target returns the URL of the next call.
	rate   float64
	target func(rnd *rand.Rand) string
}

// loadResult is the result of a stream's calls. Latencies count from the intended send time, in microseconds; sendLag is how much
// later than intended the calls were sent.
type loadResult struct {
	answeredLatency *hdrhistogram.Histogram
	refusedLatency  *hdrhistogram.Histogram
	sendLag         *hdrhistogram.Histogram
	sent            int64
	shed            int64
	failed          int64
	duration        time.Duration
	counters        fakeCounters
	cpu             time.Duration
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func newLoadResult(d time.Duration) *loadResult {
	return &loadResult{answeredLatency: newHistogram(), refusedLatency: newHistogram(), sendLag: newHistogram(), duration: d}
}

func (r *loadResult) percentile(q float64) time.Duration { return percentile(r.answeredLatency, q) }

func percentile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// run sends the stream for d and waits for all responses.
func (f *loadFleet) run(s stream, d time.Duration) *loadResult {
	rnd := rand.New(rand.NewPCG(f.seed.Add(1), 11))
	r := newLoadResult(d)
	before, cpu := f.counters(), f.cpu()
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := time.Now()
	for at := begin; at.Sub(begin) < d; at = at.Add(time.Duration(rnd.ExpFloat64() * float64(time.Second) / s.rate)) {
		time.Sleep(time.Until(at))
		_ = r.sendLag.RecordValue(time.Since(at).Microseconds())
		r.sent++
		url := s.target(rnd)
		wg.Go(func() {
			status := f.get(url)
			latency := time.Since(at).Microseconds()
			mu.Lock()
			defer mu.Unlock()
			switch status {
			case http.StatusOK:
				_ = r.answeredLatency.RecordValue(latency)
			case http.StatusServiceUnavailable:
				_ = r.refusedLatency.RecordValue(latency)
			default:
				r.failed++
			}
		})
	}
	wg.Wait()
	r.shed, r.cpu = r.refusedLatency.TotalCount(), f.cpu()-cpu
	after := f.counters()
	r.counters = fakeCounters{
		Calls: after.Calls - before.Calls, Extra: after.Extra - before.Extra, Shed: after.Shed - before.Shed,
		Probes: after.Probes - before.Probes, Finished: after.Finished - before.Finished,
	}
	return r
}

// entryStream returns a stream of calls to path, each through a random entry.
func (f *loadFleet) entryStream(path string, rate float64) stream {
	return stream{rate: rate, target: func(rnd *rand.Rand) string {
		return "http://" + f.entries[rnd.IntN(len(f.entries))].address + "/call/stock-lookup" + path
	}}
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }

func percent(n, of int64) string { return fmt.Sprintf("%.2f", 100*float64(n)/float64(max(of, 1))) }
