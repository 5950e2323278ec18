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

// The soak's flags; by hand: go test . -ginkgo.label-filter=soak -soak-seeds=1-50.
var (
	soakSeeds = flag.String("soak-seeds", "1", "seeds of the fault soak, as 1-50 or 3,7,9")
	soakFor   = flag.Duration("soak-for", 8*time.Second, "how long each seed's faults go on")
	soakOnly  = flag.String("soak-faults", "", "names of the faults to draw from, comma-separated; all when empty")
)

// soakRegressions are seeds that once failed, with the cause.
var soakRegressions = map[uint64]string{
	2:   "a SIGHUP right after the start ended the entry, which asked for the signal only once its settings were read",
	117: "an entry that was killed together with all of control was told an older configuration by a member that was still alone",
}

var _ = Describe("a fault soak", Label("soak"), func() {
	It("keeps every promise under faults drawn from a seed", func() {
		var failed []string
		seeds, err := parseSeeds(*soakSeeds)
		Expect(err).NotTo(HaveOccurred())
		for seed := range soakRegressions {
			seeds = append(seeds, seed)
		}
		for _, seed := range seeds {
			s := newSoak(seed)
			s.run(*soakFor)
			fmt.Fprintf(GinkgoWriter, "seed %d: %d calls, %d orders, %d answered, %d changes acknowledged, %d faults, %d broken promises\n",
				seed, s.sent, s.orders, s.answered, s.acknowledged, s.faults, len(s.broken))
			if len(s.broken) > 0 {
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

// Sizes of a soak.
const (
	soakControl = 3
	soakEntries = 3
	soakServers = 4
	soakCallers = 6
	// soakLanes is how many faults overlap at most.
	soakLanes = 3
)

// What the platform's pages promise, with what a loaded machine with the race detector adds.
const (
	soakRecovery = 15 * time.Second
	soakAck      = 4 * time.Second
	soakDrain    = 2 * time.Second
	// soakTouch is how long after a disturbance of control or an entry all entries are in touch with control again.
	soakTouch    = 4 * time.Second
	soakExtra    = 0.2
	soakMoreRuns = 60
)

// soak is one run under faults drawn from a seed.
type soak struct {
	seed    uint64
	dir     string
	began   time.Time
	control []*soakNode
	entries []*soakNode
	done    chan struct{}

	mu       sync.Mutex
	timeline []string
	broken   []string
	servers  []*soakServer
	// runs counts how often each call ran, arrivals how often it came to a server; outcome says what its caller was told.
	runs     map[string]int
	arrivals map[string]int
	outcome  map[string]string
	// version is the newest configuration sent, acked the highest acknowledged.
	version, acked int
	// disturbed is when the last fault began or ended that keeps an entry from hearing control.
	disturbed time.Time
	disturbs  int
	wiped     bool

	sent, orders, answered, acknowledged, faults int
}

// soakNode is a process behind a proxy for each of its ports.
type soakNode struct {
	*platformProcess
	id      string
	bind    string
	proxies map[int]*proxy
	// busy is held by the fault that has hold of the process.
	busy    sync.Mutex
	started time.Time
}

func newSoak(seed uint64) *soak {
	dir, err := os.MkdirTemp("", fmt.Sprintf("peridot-soak-%d-", seed))
	Expect(err).NotTo(HaveOccurred())
	s := &soak{
		seed: seed, dir: dir, began: time.Now(), done: make(chan struct{}),
		runs: make(map[string]int), arrivals: make(map[string]int), outcome: make(map[string]string),
	}
	for i := range soakControl {
		s.control = append(s.control, s.newNode(fmt.Sprintf("core-%d", i), 7620, controlPort, directory))
	}
	for i := range soakEntries {
		s.entries = append(s.entries, s.newNode(fmt.Sprintf("front-%d", i), frontPort, readyPort))
	}
	for i, n := range s.control {
		n.data = filepath.Join(dir, fmt.Sprintf("data-%d", i))
		s.write(n, true, s.control)
		n.process = &process{program: "platform", args: []string{"control", "--settings", n.settings}, output: &output{}}
		s.begin(n)
	}
	for _, n := range s.entries {
		s.write(n, true, s.control)
		n.process = &process{program: "platform", args: []string{"entry", "--settings", n.settings}, output: &output{}}
		s.begin(n)
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

// write renders a process's settings.
func (s *soak) write(n *soakNode, found bool, seeds []*soakNode) {
	var list []string
	for _, c := range seeds {
		list = append(list, fmt.Sprintf("%s:%d", c.ip, controlPort))
	}
	n.settings = filepath.Join(s.dir, n.id+".yaml")
	text := fmt.Sprintf("instance-id: %s\navailability-zone: a\nip: %s\nbind: %s\nseeds: %s\npeer-ports: \"7620,7635\"\nfound: %t\nmemory-mb: 280\ngrace-s: 6\nretry-slack: %d\n",
		n.id, n.ip, n.bind, strings.Join(list, ","), found, soakMoreRuns)
	if n.data != "" {
		text += fmt.Sprintf("data: %s\ncontrol: %s:%d\ndirectory: %s:%d\n", n.data, n.bind, controlPort, n.bind, directory)
	} else {
		text += fmt.Sprintf("front: %s:%d\nready: %s:%d\n", n.bind, frontPort, n.bind, readyPort)
	}
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		s.breaks("the soak itself: %v", err)
	}
}

// note adds a line to the timeline.
func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeline = append(s.timeline, fmt.Sprintf("%7.3f %s", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...)))
}

// breaks records a broken promise.
func (s *soak) breaks(format string, args ...any) {
	s.note("BROKEN "+format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// run plays the seed: faults for a while, then none, when everything has to recover.
func (s *soak) run(faulty time.Duration) {
	defer s.end()
	draw := rand.New(rand.NewPCG(s.seed, 0))
	s.put(1)
	for range soakServers {
		s.addServer(time.Duration(2+draw.IntN(20)) * time.Millisecond)
	}
	if !s.recovers("start") {
		return
	}
	var callers, lanes sync.WaitGroup
	for i := range soakCallers {
		callers.Go(func() { s.call(i, rand.New(rand.NewPCG(s.seed, uint64(100+i)))) })
	}
	callers.Go(func() { s.operate(rand.New(rand.NewPCG(s.seed, 200))) })
	callers.Go(func() { s.read(rand.New(rand.NewPCG(s.seed, 201))) })
	for _, e := range s.entries {
		callers.Go(func() { s.watchConfiguration(e) })
	}
	until := time.Now().Add(faulty)
	for i := range soakLanes {
		lanes.Go(func() {
			defer GinkgoRecover()
			s.disturb(rand.New(rand.NewPCG(s.seed, uint64(300+i))), until)
		})
	}
	lanes.Wait()
	s.note("no more faults")
	for _, n := range append(append([]*soakNode{}, s.entries...), s.control...) {
		select {
		case <-n.done:
			s.breaks("%s ended by itself", n.id)
		default:
		}
	}
	if s.recovers("end") {
		s.calm(draw)
	}
	close(s.done)
	callers.Wait()
	s.settle()
}

// calm lets a server leave once every entry has been in touch with control for long enough, and looks for calls that it still gets.
func (s *soak) calm(draw *rand.Rand) {
	s.mu.Lock()
	rest := time.Until(s.disturbed.Add(soakTouch))
	s.mu.Unlock()
	time.Sleep(rest)
	s.replaceServer(draw, 0)
	time.Sleep(soakDrain + time.Second)
}

// recovers waits until every entry serves, and a change is acknowledged and in force everywhere.
func (s *soak) recovers(when string) bool {
	limit := time.Now().Add(soakRecovery)
	within := func(d time.Duration, what string, ok func() bool) bool {
		end := time.Now().Add(d)
		for !ok() {
			if time.Now().After(end) {
				s.breaks("%s: %s not within %v", when, what, d)
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
		return true
	}
	for _, e := range s.entries {
		if !within(time.Until(limit), e.id+" serves", func() bool {
			status, _ := getText(e.url(readyPort, "/ready"))
			id := fmt.Sprintf("warm-%d", time.Now().UnixNano())
			return status == http.StatusOK && s.send(e, platformClient, http.MethodGet, "/s/"+id, id).status == http.StatusOK
		}) {
			return false
		}
	}
	version := s.nextVersion()
	if !within(soakAck, "a change acknowledged", func() bool { return s.putOnce(s.control[version%soakControl], version) == http.StatusOK }) {
		return false
	}
	s.acknowledge(version)
	for _, e := range s.entries {
		if !within(soakAck, fmt.Sprintf("change %d in force at %s", version, e.id), func() bool { return s.hasMarker(e, version) == http.StatusOK }) {
			return false
		}
	}
	for _, c := range s.control {
		if !within(soakAck, fmt.Sprintf("change %d read at %s", version, c.id), func() bool { return s.readVersion(c) >= version }) {
			return false
		}
	}
	return true
}

// settle checks what can only be said when nothing is under way any more.
func (s *soak) settle() {
	s.mu.Lock()
	var found []string
	extra := 0
	for id, n := range s.arrivals {
		extra += max(n-1, 0)
		switch isOrder := strings.HasPrefix(id, "order-"); {
		case isOrder && s.runs[id] > 1:
			found = append(found, fmt.Sprintf("order %s ran %d times", id, s.runs[id]))
		case s.outcome[id] == "not-run" && s.runs[id] > 0:
			found = append(found, fmt.Sprintf("call %s was said not to have run, and ran", id))
		}
	}
	for id, told := range s.outcome {
		if told == "answered" && s.runs[id] == 0 {
			found = append(found, fmt.Sprintf("call %s was answered and ran nowhere", id))
		}
	}
	if most := int(soakExtra*float64(s.sent)) + soakMoreRuns; extra > most {
		found = append(found, fmt.Sprintf("%d extra calls reached servers, %d calls allow %d", extra, s.sent, most))
	}
	if s.sent > 0 && s.answered == 0 {
		found = append(found, "no call was answered")
	}
	s.mu.Unlock()
	for _, f := range found {
		s.breaks("%s", f)
	}
}

// end stops what the soak has started.
func (s *soak) end() {
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
	if len(s.broken) == 0 {
		_ = os.RemoveAll(s.dir)
	}
}

// report is what is needed to find the cause: the seed, what happened when, and where the logs are.
func (s *soak) report() string {
	return fmt.Sprintf("seed %d, logs in %s:\n%s", s.seed, s.dir, strings.Join(s.timeline, "\n"))
}
