package prover

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Flags of the soak test; for example: go test . -ginkgo.label-filter=soak -soak-seeds=1-50.
var (
	soakSeeds      = flag.String("soak-seeds", "1", "seeds of the soak test, such as 1-50 or 3,7,9")
	soakFor        = flag.Duration("soak-for", 8*time.Second, "how long faults are injected for each seed")
	soakStrays     = flag.Float64("soak-strays", 0, "share of successful calls after which servers write one more response, of a kind that the seed chooses for each")
	soakFaultNames = flag.String("soak-faults", "", "comma-separated names of the faults to inject; all when empty")
)

// soakRegressions maps seeds that once failed to the cause. They run in addition to those of -soak-seeds.
var soakRegressions = map[uint64]string{
	2:   "a SIGHUP right after the start terminated the entry, which handled the signal only once it had read its settings",
	117: "after a kill of all control members and an entry, the entry got an older configuration from a restarted member without a majority",
}

var _ = Describe("the system under random faults", Label("soak"), func() {
	It("keeps every documented guarantee", func() {
		var failed []string
		seeds, err := parseSeeds(*soakSeeds)
		Expect(err).NotTo(HaveOccurred())
		for seed := range soakRegressions {
			seeds = append(seeds, seed)
		}
		for _, seed := range seeds {
			s := newSoak(seed)
			s.run(*soakFor)
			fmt.Fprintf(GinkgoWriter, "seed %d: %d calls, %d orders, %d answered, %d changes acknowledged, %d faults, %d violations\n",
				seed, s.sent, s.orders, s.answered, s.acknowledged, s.faults, len(s.violations))
			if len(s.violations) > 0 {
				failed = append(failed, s.report())
			}
		}
		Expect(failed).To(BeEmpty(), "%s", strings.Join(failed, "\n"))
	})
})

func parseSeeds(text string) (seeds []uint64, err error) {
	for part := range strings.SplitSeq(text, ",") {
		first, last, isRange := strings.Cut(part, "-")
		from, err := strconv.ParseUint(first, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("seeds %q: %w", text, err)
		}
		to := from
		if isRange {
			if to, err = strconv.ParseUint(last, 10, 64); err != nil {
				return nil, fmt.Errorf("seeds %q: %w", text, err)
			}
		}
		for ; from <= to; from++ {
			seeds = append(seeds, from)
		}
	}
	return seeds, nil
}

// Numbers of processes, servers, callers and faults.
const (
	soakControl = 3
	soakEntries = 3
	soakServers = 4
	soakCallers = 6
	// soakConcurrentFaults is the highest number of faults that are active at once.
	soakConcurrentFaults = 3
)

// Bounds of the platform's documentation, with an allowance for a loaded machine and the race detector.
const (
	soakRecovery = 15 * time.Second
	soakAck      = 4 * time.Second
	soakDrain    = 2 * time.Second
	// soakReconnect is the time after the end of a disruptive fault within which every entry receives updates from control again.
	soakReconnect  = 4 * time.Second
	soakRetryShare = 0.2
	soakRetrySlack = 60
)

// soak is one run under random faults that a seed determines.
type soak struct {
	seed    uint64
	dir     string
	began   time.Time
	control []*soakNode
	entries []*soakNode
	done    chan struct{}

	mu         sync.Mutex
	timeline   []string
	violations []string
	servers    []*soakServer
	// runs counts how often each call was executed, arrivals how often it reached a server; outcomes holds what its caller
	// was told.
	runs     map[string]int
	arrivals map[string]int
	outcomes map[string]string
	// lastVersion is the highest configuration version sent, highestAcked the highest one acknowledged.
	lastVersion, highestAcked int
	// lastDisruption is when the last disruptive fault began or ended.
	lastDisruption    time.Time
	activeDisruptions int
	diskWiped         bool

	sent, orders, answered, acknowledged, faults int
}

// soakNode is a control member or an entry, behind a proxy for each of its ports.
type soakNode struct {
	*platformProcess
	id      string
	bind    string
	proxies map[int]*proxy
	// faultMu is held while a fault stops, starts, pauses or reloads the process.
	faultMu sync.Mutex
	started time.Time
}

func newSoak(seed uint64) *soak {
	dir, err := os.MkdirTemp("", fmt.Sprintf("peridot-soak-%d-", seed))
	Expect(err).NotTo(HaveOccurred())
	s := &soak{
		seed: seed, dir: dir, began: time.Now(), done: make(chan struct{}),
		runs: make(map[string]int), arrivals: make(map[string]int), outcomes: make(map[string]string),
	}
	for i := range soakControl {
		s.control = append(s.control, s.newNode(fmt.Sprintf("core-%d", i), 7620, controlPort, directoryPort))
	}
	for i := range soakEntries {
		s.entries = append(s.entries, s.newNode(fmt.Sprintf("front-%d", i), frontPort, readyPort))
	}
	for i, n := range s.control {
		n.data = filepath.Join(dir, fmt.Sprintf("data-%d", i))
		s.writeSettings(n, true, s.control)
		n.process = &process{program: "platform", args: []string{"control", "--settings", n.settings}, output: &output{}}
		s.startNode(n)
	}
	for _, n := range s.entries {
		s.writeSettings(n, true, s.control)
		n.process = &process{program: "platform", args: []string{"entry", "--settings", n.settings}, output: &output{}}
		s.startNode(n)
	}
	return s
}

func (s *soak) newNode(id string, ports ...int) *soakNode {
	n := &soakNode{platformProcess: &platformProcess{ip: newIP()}, id: id, bind: newIP(), proxies: make(map[int]*proxy)}
	for _, port := range ports {
		p, stop := openProxyAt(fmt.Sprintf("%s:%d", n.ip, port), fmt.Sprintf("%s:%d", n.bind, port))
		DeferCleanup(stop)
		n.proxies[port] = p
	}
	return n
}

// writeSettings writes the settings file of a process.
func (s *soak) writeSettings(n *soakNode, found bool, seeds []*soakNode) {
	var list []string
	for _, c := range seeds {
		list = append(list, fmt.Sprintf("%s:%d", c.ip, controlPort))
	}
	n.settings = filepath.Join(s.dir, n.id+".yaml")
	text := fmt.Sprintf("instance-id: %s\navailability-zone: a\nip: %s\nbind: %s\nseeds: %s\npeer-ports: \"7620,7635\"\nfound: %t\nmemory-mb: 280\ngrace-s: 6\nretry-slack: %d\n",
		n.id, n.ip, n.bind, strings.Join(list, ","), found, soakRetrySlack)
	if n.data != "" {
		text += fmt.Sprintf("data: %s\ncontrol: %s:%d\ndirectory: %s:%d\n", n.data, n.bind, controlPort, n.bind, directoryPort)
	} else {
		text += fmt.Sprintf("front: %s:%d\nready: %s:%d\n", n.bind, frontPort, n.bind, readyPort)
	}
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		s.recordViolation("test harness: write settings of %s: %v", n.id, err)
	}
}

// logEvent adds a line to the timeline.
func (s *soak) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeline = append(s.timeline, fmt.Sprintf("%7.3f %s", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...)))
}

// recordViolation records that a guarantee was violated.
func (s *soak) recordViolation(format string, args ...any) {
	s.logEvent("VIOLATION "+format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// run injects faults for the given time, then checks that the system recovers without faults and that every guarantee held.
func (s *soak) run(faultTime time.Duration) {
	defer s.cleanup()
	rnd := rand.New(rand.NewPCG(s.seed, 0))
	s.putFirst(1)
	for range soakServers {
		s.addServer(time.Duration(2+rnd.IntN(20)) * time.Millisecond)
	}
	if !s.waitRecovered("start") {
		return
	}
	var clients, injectors sync.WaitGroup
	for i := range soakCallers {
		clients.Go(func() { s.runCaller(i, rand.New(rand.NewPCG(s.seed, uint64(100+i)))) })
	}
	clients.Go(func() { s.runOperator(rand.New(rand.NewPCG(s.seed, 200))) })
	clients.Go(func() { s.runReader(rand.New(rand.NewPCG(s.seed, 201))) })
	for _, e := range s.entries {
		clients.Go(func() { s.watchConfiguration(e) })
	}
	until := time.Now().Add(faultTime)
	for i := range soakConcurrentFaults {
		injectors.Go(func() {
			defer GinkgoRecover()
			s.injectFaults(rand.New(rand.NewPCG(s.seed, uint64(300+i))), until)
		})
	}
	injectors.Wait()
	s.logEvent("all faults removed")
	for _, n := range append(append([]*soakNode{}, s.entries...), s.control...) {
		select {
		case <-n.done:
			s.recordViolation("%s exited unexpectedly", n.id)
		default:
		}
	}
	if s.waitRecovered("end") {
		s.checkLeave(rnd)
	}
	close(s.done)
	clients.Wait()
	s.checkRuns()
}

// checkLeave lets a server leave once every entry receives updates from control again, and waits for late calls, which checkDrained
// reports.
func (s *soak) checkLeave(rnd *rand.Rand) {
	s.mu.Lock()
	wait := time.Until(s.lastDisruption.Add(soakReconnect))
	s.mu.Unlock()
	time.Sleep(wait)
	s.replaceServer(rnd, 0)
	time.Sleep(soakDrain + time.Second)
}

// waitRecovered waits until every entry serves, and until a change is acknowledged, in force at every entry and readable at
// every member.
func (s *soak) waitRecovered(phase string) bool {
	limit := time.Now().Add(soakRecovery)
	waitFor := func(d time.Duration, what string, ok func() bool) bool {
		end := time.Now().Add(d)
		for !ok() {
			if time.Now().After(end) {
				s.recordViolation("%s: %s: timed out after %v", phase, what, d)
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
		return true
	}
	for _, e := range s.entries {
		if !waitFor(time.Until(limit), e.id+" serves", func() bool {
			status, _ := get(e.url(readyPort, "/ready"))
			id := fmt.Sprintf("warm-%d", time.Now().UnixNano())
			return status == http.StatusOK && s.send(e, platformClient, http.MethodGet, "/s/"+id, id).status == http.StatusOK
		}) {
			return false
		}
	}
	version := s.nextVersion()
	if !waitFor(soakAck, "acknowledgement of a change", func() bool { return s.putOnce(s.control[version%soakControl], version) == http.StatusOK }) {
		return false
	}
	s.acknowledge(version)
	for _, e := range s.entries {
		if !waitFor(soakAck, fmt.Sprintf("change %d in force at %s", version, e.id), func() bool { return s.markerStatus(e, version) == http.StatusOK }) {
			return false
		}
	}
	for _, c := range s.control {
		if !waitFor(soakAck, fmt.Sprintf("change %d read at %s", version, c.id), func() bool { return s.readVersion(c) >= version }) {
			return false
		}
	}
	return true
}

// checkRuns compares how often each call was executed with what its caller was told. It is called when no call is in flight.
func (s *soak) checkRuns() {
	s.mu.Lock()
	var violations []string
	extra := 0
	for id, n := range s.arrivals {
		extra += max(n-1, 0)
		switch isOrder := strings.HasPrefix(id, "order-"); {
		case isOrder && s.runs[id] > 1:
			violations = append(violations, fmt.Sprintf("order %s was executed %d times", id, s.runs[id]))
		case s.outcomes[id] == "not-run" && s.runs[id] > 0:
			violations = append(violations, fmt.Sprintf("call %s was reported as not-run but was executed", id))
		}
	}
	for id, outcome := range s.outcomes {
		if outcome == "answered" && s.runs[id] == 0 {
			violations = append(violations, fmt.Sprintf("call %s was answered but no server executed it", id))
		}
	}
	if limit := int(soakRetryShare*float64(s.sent)) + soakRetrySlack; extra > limit {
		violations = append(violations, fmt.Sprintf("%d additional attempts reached servers; %d calls allow %d", extra, s.sent, limit))
	}
	if s.sent > 0 && s.answered == 0 {
		violations = append(violations, "no call succeeded")
	}
	s.mu.Unlock()
	for _, v := range violations {
		s.recordViolation("%s", v)
	}
}

// cleanup stops all processes and servers, and keeps the logs if a guarantee was violated.
func (s *soak) cleanup() {
	for _, n := range append(append([]*soakNode{}, s.entries...), s.control...) {
		n.kill()
		_ = os.WriteFile(filepath.Join(s.dir, n.id+".log"), []byte(n.output.String()), 0o600)
	}
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	for _, v := range servers {
		v.stop()
	}
	if len(s.violations) == 0 {
		_ = os.RemoveAll(s.dir)
	}
}

// report returns the seed, the place of the logs and the timeline.
func (s *soak) report() string {
	return fmt.Sprintf("seed %d, logs in %s:\n%s", s.seed, s.dir, strings.Join(s.timeline, "\n"))
}
