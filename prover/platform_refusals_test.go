package prover

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Flags of the runs that compare what callers were told with what servers ran; for example:
// go test . -ginkgo.label-filter=refusals -refusals-seeds=1-50 -refusals-for=20s -refusals-faults=server-crash,link-hold.
var (
	refusalSeeds      = flag.String("refusals-seeds", "1", "seeds of the runs, such as 1-50 or 3,7,9")
	refusalFor        = flag.Duration("refusals-for", 8*time.Second, "how long faults are injected for each seed")
	refusalFaultNames = flag.String("refusals-faults", "", "comma-separated names of the faults to inject, or each with a minus of those not to inject; all when empty, or none")
	refusalOdd        = flag.Bool("refusals-odd", false, "also have servers that contradict themselves about what they ran")
	refusalKeep       = flag.Bool("refusals-keep", false, "keep the logs of runs that broke no rule")
	refusalClients    = flag.Int("refusals-clients", 60, "number of clients")
)

// refusalCase is a run with a seed and the faults in faults, as in -refusals-faults.
type refusalCase struct {
	seed   uint64
	faults string
}

// refusalRegressions are runs that once failed, by cause. They run in addition to those of -refusals-seeds unless faults are chosen.
var refusalRegressions = map[string]refusalCase{
	"restarted servers refuse calls for their predecessors, and write the refusals once more": {4, "server-herd-misdirects,server-herd-refuses"},
}

// refusalRun is one run under faults that a seed determines. Every verdict comes from what clients and servers noted.
type refusalRun struct {
	seed uint64
	// faultNames are those of the case.
	faultNames string
	dir        string
	began      time.Time
	fleet      *platformFleet
	machines   []*refusalMachine
	locks      map[*platformProcess]*sync.Mutex
	// restarts are those that go on after their fault.
	restarts sync.WaitGroup
	// actions and styles are the names of all actions of servers and of all styles of calls, sorted.
	actions, styles []string

	mu         sync.Mutex
	calls      map[string]*refusalSent
	visits     map[string][]*refusalVisit
	timeline   []string
	violations []string
	version    int
	faults     map[string]int
	// verdict describes a run that broke a rule, once it has ended.
	verdict string
}

// refusalZones are the availability zones of the run.
var refusalZones = []string{"zone-a", "zone-b", "zone-c"}

func newRefusalRun(c refusalCase) *refusalRun {
	seed := c.seed
	dir, err := os.MkdirTemp("", fmt.Sprintf("peridot-refusals-%d-", seed))
	Expect(err).NotTo(HaveOccurred())
	r := &refusalRun{
		seed: seed, faultNames: c.faults, dir: dir, began: time.Now(), calls: make(map[string]*refusalSent), visits: make(map[string][]*refusalVisit),
		locks: make(map[*platformProcess]*sync.Mutex), actions: slices.Sorted(maps.Keys(refusalActions)), styles: slices.Sorted(maps.Keys(refusalStyles)), faults: make(map[string]int),
	}
	if *refusalOdd {
		maps.Copy(refusalActions, oddRefusalActions)
		r.actions = slices.Sorted(maps.Keys(refusalActions))
	}
	rnd := rand.New(rand.NewPCG(seed, 0))
	r.fleet = startFleet(&platformFleet{dir: dir, zones: refusalZones, proxied: true}, "platform", 3+2*rnd.IntN(2), 4+rnd.IntN(5))
	for _, p := range slices.Concat(r.fleet.control, r.fleet.entries) {
		r.locks[p] = new(sync.Mutex)
	}
	for i := range 6 + rnd.IntN(7) {
		m := &refusalMachine{run: r, zone: refusalZones[i%len(refusalZones)], mood: make(map[string]float64)}
		m.link = openLink(newAddress(), newAddress(), rand.New(rand.NewPCG(seed, uint64(1000+i))))
		r.machines = append(r.machines, m)
	}
	return r
}

// update changes what has been noted.
func (r *refusalRun) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *refusalRun) addVisit(v *refusalVisit) {
	r.update(func() { r.visits[v.id] = append(r.visits[v.id], v) })
}

func (r *refusalRun) logEvent(format string, args ...any) {
	r.update(func() {
		r.timeline = append(r.timeline, fmt.Sprintf("%7.3f %s", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)))
	})
}

func (r *refusalRun) violate(format string, args ...any) {
	r.logEvent("VIOLATION "+format, args...)
	r.update(func() { r.violations = append(r.violations, fmt.Sprintf(format, args...)) })
}

// run makes calls while it injects faults for the given time, and compares what clients and servers noted once nothing can run any more.
func (r *refusalRun) run(d time.Duration) {
	defer r.stop()
	r.putConfig()
	for _, m := range r.machines {
		m.startServer("")
	}
	r.fleet.waitServing()
	r.waitServersKnown()
	rnd := rand.New(rand.NewPCG(r.seed, 1))
	var clients, injectors sync.WaitGroup
	done := make(chan struct{})
	for i := range *refusalClients {
		clients.Go(func() {
			defer GinkgoRecover()
			c := &refusalClient{run: r, n: i, rand: rand.New(rand.NewPCG(r.seed, uint64(100+i)))}
			c.loop(done)
		})
	}
	until := time.Now().Add(d)
	for range 4 {
		rnd := rand.New(rand.NewPCG(r.seed, rnd.Uint64()))
		injectors.Go(func() {
			defer GinkgoRecover()
			r.injectFaults(rnd, until)
		})
	}
	injectors.Wait()
	r.restarts.Wait()
	r.logEvent("all faults removed")
	time.Sleep(time.Second)
	close(done)
	clients.Wait()
	r.waitQuiet()
	r.judge()
}

// waitServersKnown waits until every entry has all servers on its list.
func (r *refusalRun) waitServersKnown() {
	GinkgoHelper()
	for _, e := range r.fleet.entries {
		for _, m := range r.machines {
			Eventually(e.output.String, "20s", "20ms").Should(ContainSubstring(fmt.Sprintf("%q:%q", "server", m.server.Load().id)))
		}
	}
}

// waitQuiet waits until no call can run any more: what links held has been delivered, and no server has any more to do with a call.
func (r *refusalRun) waitQuiet() {
	for _, m := range r.machines {
		m.link.heal()
	}
	quietSince, limit := time.Now(), time.Now().Add(refusalMaxDeadline+time.Second)
	for time.Now().Before(limit) && time.Since(quietSince) < time.Second {
		time.Sleep(20 * time.Millisecond)
		if r.isBusy(quietSince) {
			quietSince = time.Now()
		}
	}
}

// isBusy reports whether a server has to do with a call, or got one since t.
func (r *refusalRun) isBusy(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, visits := range r.visits {
		for _, v := range visits {
			if !v.over || v.head.After(t) {
				return true
			}
		}
	}
	return false
}

// judge compares what each client was told with what the servers noted.
func (r *refusalRun) judge() {
	r.mu.Lock()
	var found []string
	for id, visits := range r.visits {
		sent := r.calls[id]
		begun := 0
		for _, v := range visits {
			if !v.began.IsZero() {
				begun++
			}
		}
		switch {
		case sent == nil:
			found = append(found, fmt.Sprintf("UNASKED %s: no client sent it", id))
		case begun > 1:
			found = append(found, fmt.Sprintf("TWICE %s: begun %d times", id, begun))
		case begun > 0 && meansRefused(sent.status):
			found = append(found, fmt.Sprintf("REFUSED %s: answered %d and begun", id, sent.status))
		}
	}
	for id, sent := range r.calls {
		switch {
		case sent.wrong != "":
			found = append(found, fmt.Sprintf("MIXED %s: %s", id, sent.wrong))
		case sent.signed && !slices.ContainsFunc(r.visits[id], func(v *refusalVisit) bool { return v.status == sent.status }):
			found = append(found, fmt.Sprintf("MIXED %s: signed, with status %d that no server gave", id, sent.status))
		}
	}
	r.mu.Unlock()
	for _, text := range found {
		r.violate("%s", text)
	}
}

func meansRefused(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// stop ends all processes and servers, and keeps the logs if a rule was broken.
func (r *refusalRun) stop() {
	for _, p := range slices.Concat(r.fleet.control, r.fleet.entries) {
		p.kill()
	}
	for _, m := range r.machines {
		m.link.stop()
		if s := m.server.Load(); s != nil {
			s.stop(true)
		}
	}
	GinkgoWriter.Println(r.summary())
	GinkgoWriter.Println(strings.Join(r.unanswered(), "\n"))
	if len(r.violations) == 0 && !*refusalKeep {
		_ = os.RemoveAll(r.dir)
		return
	}
	r.verdict = r.report()
	for i, p := range slices.Concat(r.fleet.control, r.fleet.entries) {
		_ = os.WriteFile(filepath.Join(r.dir, fmt.Sprintf("process-%d.log", i)), []byte(p.output.String()), 0o600)
		// The logs are large, and kept in files.
		p.output = &output{}
	}
	_ = os.WriteFile(filepath.Join(r.dir, "report.txt"), []byte(r.verdict), 0o600)
}

// refusalCause finds why an entry refused a call.
var refusalCause = regexp.MustCompile(`"cause":"([a-z-]+)"`)

// unanswered describes the calls whose connections ended without a response although a server had begun to run them.
func (r *refusalRun) unanswered() (lines []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, c := range r.calls {
		i := slices.IndexFunc(r.visits[id], func(v *refusalVisit) bool { return !v.began.IsZero() })
		if c.failure != "" && c.style != "half-close" && i >= 0 {
			lines = append(lines, fmt.Sprintf("no response to %s: %s; %s", id, c.describe(r.began), r.visits[id][i].describe(r.began)))
		}
	}
	slices.Sort(lines)
	return lines
}

// summary returns the figures of the run in one line.
func (r *refusalRun) summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	statuses, failures := make(map[int]int), make(map[string]int)
	refusedVisited, refusedOften, sameAddress := 0, 0, 0
	for id, c := range r.calls {
		statuses[c.status]++
		if c.failure != "" && c.style != "half-close" {
			failures[strings.TrimSpace(c.failure)]++
		}
		visits := r.visits[id]
		if meansRefused(c.status) && len(visits) > 0 {
			refusedVisited++
		}
		if meansRefused(c.status) && len(visits) > 1 {
			refusedOften++
		}
		addresses := make(map[string]bool)
		for _, v := range visits {
			if addresses[v.address] {
				sameAddress++
			}
			addresses[v.address] = true
		}
	}
	counts := make(map[string]int)
	var work, span time.Duration
	for _, v := range r.visits {
		for _, visit := range v {
			counts[visit.action]++
			span = max(span, visit.head.Sub(r.began))
			if !visit.began.IsZero() && !visit.ended.IsZero() {
				work += visit.ended.Sub(visit.began)
			}
		}
	}
	load := work.Seconds() / (span.Seconds() * float64(refusalSlots*len(r.machines)))
	causes := make(map[string]int)
	for _, e := range r.fleet.entries {
		for _, match := range refusalCause.FindAllStringSubmatch(e.output.String(), -1) {
			causes[match[1]]++
		}
	}
	return fmt.Sprintf("seed %d: %d control, %d entries, %d servers, %d calls, %d violations; load %.2f; statuses %v, without %v; refused after a visit %d, after several %d; visited an address again %d; causes %v; visits %v; faults %v",
		r.seed, len(r.fleet.control), len(r.fleet.entries), len(r.machines), len(r.calls), len(r.violations), load, statuses, failures, refusedVisited, refusedOften, sameAddress, causes, counts, r.faults)
}

// report returns the violations, what clients and servers noted of these calls, what the entries logged and the timeline.
func (r *refusalRun) report() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, logs in %s\n", r.seed, r.dir)
	for i, text := range r.violations {
		fmt.Fprintln(&b, text)
		fields := strings.Fields(text)
		if i >= 20 || len(fields) < 2 {
			continue
		}
		id := strings.TrimSuffix(fields[1], ":")
		if c := r.calls[id]; c != nil {
			fmt.Fprintf(&b, "  client: %s\n", c.describe(r.began))
		}
		for _, v := range r.visits[id] {
			fmt.Fprintf(&b, "  server: %s\n", v.describe(r.began))
		}
		for _, e := range r.fleet.entries {
			if line := logLine(e, id); line != "" {
				fmt.Fprintf(&b, "  entry: %s", line)
			}
		}
	}
	fmt.Fprintln(&b, strings.Join(r.timeline, "\n"))
	return b.String()
}

func sinceText(begin, t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.4f", t.Sub(begin).Seconds())
}

func (v *refusalVisit) describe(begin time.Time) string {
	return fmt.Sprintf("%s at %s from %s, connection %d exchange %d: head %s began %s ended %s status %d action %s %s", v.server, v.address, v.entry, v.conn,
		v.exchange, sinceText(begin, v.head), sinceText(begin, v.began), sinceText(begin, v.ended), v.status, v.action, v.note)
}

func (c *refusalSent) describe(begin time.Time) string {
	return fmt.Sprintf("%s, call %d of its connection, %d bytes, %s, deadline %v: sent from %s to %s, answered %s status %d %s", c.entry, c.nth, c.size, c.style, c.deadline,
		sinceText(begin, c.begin), sinceText(begin, c.sent), sinceText(begin, c.answered), c.status, c.failure)
}

var _ = Describe("on the simulated platform, calls that may run only once", Label("platform", "refusals"), func() {
	seeds, err := parseSeeds(*refusalSeeds)
	if err != nil {
		panic(err)
	}
	cases := make(map[string]refusalCase)
	for _, seed := range seeds {
		cases[fmt.Sprintf("seed %d", seed)] = refusalCase{seed, *refusalFaultNames}
	}
	if *refusalFaultNames == "" {
		maps.Copy(cases, refusalRegressions)
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		// Guards against a refusal of a call that a server runs, a second run, and a response that is another call's.
		It("are refused only if no server runs them, and run once: "+name, func() {
			r := newRefusalRun(cases[name])
			r.run(*refusalFor)
			if len(r.violations) > 0 {
				Fail(r.verdict)
			}
			Expect(r.served()).To(BeNumerically(">", 0))
		})
	}
})

func (r *refusalRun) served() (n int) {
	for _, c := range r.calls {
		if c.status == http.StatusOK {
			n++
		}
	}
	return n
}
