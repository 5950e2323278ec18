package prover

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Directions of a link.
const (
	upstream = iota
	downstream
)

// linkFault is what a link does to the bytes of one direction, on the given share of its connections.
type linkFault struct {
	share float64
	// delay is the longest time for which bytes are delayed. hold keeps them until the fault is removed; drop discards them.
	delay      time.Duration
	hold, drop bool
}

// link is a TCP proxy in front of a machine. Unlike proxy it delivers bytes that it has held, also if their sender has closed the connection
// meanwhile, and passes on resets as such.
type link struct {
	address, target string
	mu              sync.Mutex
	listener        net.Listener
	rand            *rand.Rand
	faults          [2]linkFault
	conns           map[*linkConn]bool
}

// linkConn is a connection through a link; luck decides which faults it has.
type linkConn struct {
	link           *link
	client, server *net.TCPConn
	luck           float64
	dropping       [2]bool
}

func openLink(address, target string, rnd *rand.Rand) *link {
	l := &link{address: address, target: target, rand: rnd, conns: make(map[*linkConn]bool)}
	l.listen()
	return l
}

// listen accepts connections until unlisten.
func (l *link) listen() {
	listener, err := net.Listen("tcp", l.address)
	Expect(err).NotTo(HaveOccurred())
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.connect(c.(*net.TCPConn))
		}
	}()
}

// unlisten makes connection attempts fail.
func (l *link) unlisten() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
}

func (l *link) connect(client *net.TCPConn) {
	defer client.Close()
	c, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	defer c.Close()
	l.mu.Lock()
	lc := &linkConn{link: l, client: client, server: c.(*net.TCPConn), luck: l.rand.Float64()}
	l.conns[lc] = true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { lc.copy(lc.server, client, upstream) })
	wg.Go(func() { lc.copy(client, lc.server, downstream) })
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, lc)
}

// copy forwards one direction and its end. It reads on when the receiver is gone, so that the other direction isn't cut.
func (c *linkConn) copy(to, from *net.TCPConn, direction int) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		pass := c.pass(direction)
		if n > 0 && pass {
			_, _ = to.Write(buf[:n])
		}
		switch {
		case err == nil:
			continue
		case !pass:
		case err == io.EOF:
			_ = to.CloseWrite()
		default:
			_ = to.SetLinger(0)
			_ = to.Close()
		}
		return
	}
}

// pass waits as the link's fault says and reports whether the bytes are delivered.
func (c *linkConn) pass(direction int) bool {
	for {
		c.link.mu.Lock()
		f := c.link.faults[direction]
		if c.luck >= f.share {
			f = linkFault{}
		}
		c.dropping[direction] = c.dropping[direction] || f.drop
		drop := c.dropping[direction]
		delay := time.Duration(c.link.rand.Int64N(int64(f.delay) + 1))
		c.link.mu.Unlock()
		switch {
		case drop:
			return false
		case f.hold:
			time.Sleep(2 * time.Millisecond)
			continue
		}
		time.Sleep(delay)
		return true
	}
}

func (l *link) set(direction int, f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[direction] = f
}

func (l *link) heal() {
	l.set(upstream, linkFault{})
	l.set(downstream, linkFault{})
}

// each calls do for a share of the open connections.
func (l *link) each(share float64, do func(client, server *net.TCPConn)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if l.rand.Float64() < share {
			do(c.client, c.server)
		}
	}
}

func (l *link) stop() {
	l.unlisten()
	l.each(1, func(client, server *net.TCPConn) {
		_ = client.Close()
		_ = server.Close()
	})
}

// linkFor returns a fault of one direction of a random machine's link.
func linkFor(direction int, f linkFault) refusalFault {
	return func(r *refusalRun, rnd *rand.Rand, d time.Duration) {
		l := r.randomMachine(rnd).link
		f.share = 0.1 + 0.9*rnd.Float64()
		l.set(direction, f)
		time.Sleep(d)
		l.set(direction, linkFault{})
	}
}

// linkOnce returns a fault that does something to a share of the open connections of some machines, several times.
func linkOnce(do func(client, server *net.TCPConn)) refusalFault {
	return func(r *refusalRun, rnd *rand.Rand, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(rnd.IntN(200)) * time.Millisecond) {
			r.randomMachine(rnd).link.each(rnd.Float64(), do)
		}
	}
}

// moodFor returns a fault in which one or all machines have moods, each with a random share of up to most.
func moodFor(most float64, actions ...string) refusalFault {
	return func(r *refusalRun, rnd *rand.Rand, d time.Duration) {
		machines := []*refusalMachine{r.randomMachine(rnd)}
		if rnd.IntN(3) == 0 {
			machines = r.machines
		}
		for _, m := range machines {
			for _, a := range actions {
				m.setMood(a, most*rnd.Float64())
			}
		}
		time.Sleep(d)
		for _, m := range machines {
			for _, a := range actions {
				m.setMood(a, 0)
			}
		}
	}
}

// refusalFault injects a fault for the duration d.
type refusalFault func(r *refusalRun, rnd *rand.Rand, d time.Duration)

// refusalFaults are the faults by name.
var refusalFaults = map[string]refusalFault{
	"control-kill":        func(r *refusalRun, _ *rand.Rand, d time.Duration) { r.restart(r.leader(), d, syscall.SIGKILL) },
	"control-kill-at-ack": (*refusalRun).killAtAck,
	"control-freeze":      func(r *refusalRun, _ *rand.Rand, d time.Duration) { r.freeze(r.leader(), d) },
	"control-cut":         (*refusalRun).cutLeader,
	"entry-kill": func(r *refusalRun, rnd *rand.Rand, d time.Duration) {
		r.restart(r.randomEntry(rnd), d, syscall.SIGKILL)
	},
	"entry-stop": func(r *refusalRun, rnd *rand.Rand, d time.Duration) {
		r.restart(r.randomEntry(rnd), d, syscall.SIGTERM)
	},
	"entry-freeze":                   func(r *refusalRun, rnd *rand.Rand, d time.Duration) { r.freeze(r.randomEntry(rnd), d) },
	"entry-stutter":                  (*refusalRun).stutter,
	"server-leave":                   func(r *refusalRun, rnd *rand.Rand, _ time.Duration) { r.leave(rnd, r.randomMachine(rnd), nil) },
	"server-crash":                   func(r *refusalRun, rnd *rand.Rand, d time.Duration) { r.crash(rnd, r.randomMachine(rnd), d, "", false) },
	"server-crash-herd":              (*refusalRun).crashHerd,
	"server-herd-misdirects":         crashHerdIn("misdirect-named", "misdirect-again", "refuse-late"),
	"server-herd-unnamed-misdirects": crashHerdIn("misdirect-again", "refuse-late"),
	"server-herd-refuses":            crashHerdIn("refuse-unchecked", "refuse-late"),
	"server-crash-same-id": func(r *refusalRun, rnd *rand.Rand, d time.Duration) {
		r.crash(rnd, r.randomMachine(rnd), d, "same", false)
	},
	"server-late-heartbeats": func(r *refusalRun, rnd *rand.Rand, d time.Duration) { r.crash(rnd, r.randomMachine(rnd), d, "", true) },
	"zone-evacuate":          (*refusalRun).evacuateZone,
	"config-change":          func(r *refusalRun, _ *rand.Rand, _ time.Duration) { r.putConfig() },
	"link-delay-up":          linkFor(upstream, linkFault{delay: 150 * time.Millisecond}),
	"link-delay-down":        linkFor(downstream, linkFault{delay: 150 * time.Millisecond}),
	"link-hold-up":           linkFor(upstream, linkFault{hold: true}),
	"link-hold-down":         linkFor(downstream, linkFault{hold: true}),
	"link-drop-up":           linkFor(upstream, linkFault{drop: true}),
	"link-drop-down":         linkFor(downstream, linkFault{drop: true}),
	"link-reset": linkOnce(func(client, server *net.TCPConn) {
		_, _ = client.SetLinger(0), server.SetLinger(0)
		_, _ = client.Close(), server.Close()
	}),
	"link-close":           linkOnce(func(client, server *net.TCPConn) { _, _ = client.Close(), server.Close() }),
	"link-half-close-up":   linkOnce(func(_, server *net.TCPConn) { _ = server.CloseWrite() }),
	"link-half-close-down": linkOnce(func(client, _ *net.TCPConn) { _ = client.CloseWrite() }),
	"refuse-at-head":       moodFor(0.6, "refuse-at-head", "refuse-at-head-and-close"),
	"refuse-after-body":    moodFor(0.6, "refuse-after-body", "refuse-and-close"),
	"refuse-with-pause":    moodFor(0.5, "refuse-with-pause"),
	"refuse-at-deadline":   moodFor(0.4, "refuse-at-deadline"),
	"refuse-again":         moodFor(0.6, "refuse-again", "refuse-429"),
	"succeed-again":        moodFor(0.6, "succeed-again"),
	"misdirect-named":      moodFor(1, "misdirect-named", "misdirect-not-executed"),
	"misdirect-again":      moodFor(1, "misdirect-named", "misdirect-again", "refuse-late"),
	"slow":                 moodFor(1, "slow"),
	"read-late":            moodFor(0.5, "read-late"),
	"respond-early":        moodFor(0.5, "respond-early"),
	"lose":                 moodFor(0.25, "lose-by-close", "lose-by-reset", "lose-silently", "lose-half"),
	"break-at-head":        moodFor(0.3, "reset-at-head", "close-at-head"),
	"fail":                 moodFor(0.2, "fail-500", "fail-503", "fail-429", "fail-408"),
}

var oddRefusalFaults = map[string]refusalFault{
	"odd-421":          moodFor(0.5, "odd-421"),
	"odd-not-executed": moodFor(0.5, "odd-not-executed"),
}

// chooseFaults returns all faults, and the names of those that the value of -refusals-faults chooses.
func chooseFaults(text string) (all map[string]refusalFault, names []string) {
	all = maps.Clone(refusalFaults)
	if *refusalOdd {
		maps.Copy(all, oddRefusalFaults)
	}
	listed := strings.FieldsFunc(text, func(c rune) bool { return c == ',' })
	chosen := make(map[string]bool)
	for _, name := range listed {
		chosen[strings.TrimPrefix(name, "-")] = true
		if name != "none" {
			Expect(all).To(HaveKey(strings.TrimPrefix(name, "-")), "-refusals-faults")
		}
	}
	exclude := text == "" || strings.HasPrefix(text, "-")
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if chosen[name] != exclude {
			names = append(names, name)
		}
	}
	return all, names
}

// injectFaults injects random faults one after the other until the given time.
func (r *refusalRun) injectFaults(rnd *rand.Rand, until time.Time) {
	all, names := chooseFaults(r.faultNames)
	if len(names) == 0 {
		time.Sleep(time.Until(until))
		return
	}
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
		name := names[rnd.IntN(len(names))]
		d := 100*time.Millisecond + time.Duration(rnd.Int64N(int64(2500*time.Millisecond)))
		r.logEvent("fault %s for %v", name, d.Round(time.Millisecond))
		r.update(func() { r.faults[name]++ })
		all[name](r, rnd, d)
		r.logEvent("fault %s removed", name)
	}
}

func (r *refusalRun) randomMachine(rnd *rand.Rand) *refusalMachine {
	return r.machines[rnd.IntN(len(r.machines))]
}

func (r *refusalRun) randomEntry(rnd *rand.Rand) *platformProcess {
	return r.fleet.entries[rnd.IntN(len(r.fleet.entries))]
}

// leader returns the control member that leads, or else one of them.
func (r *refusalRun) leader() *platformProcess {
	for _, c := range r.fleet.control {
		if _, page := get(fmt.Sprintf("http://%s:%d/metrics", cmp.Or(c.bind, c.ip), operatorPort)); strings.Contains(page, "peridot_control_leads 1") {
			return c
		}
	}
	return r.fleet.control[0]
}

// name returns the instance id of a process.
func (r *refusalRun) name(p *platformProcess) string {
	if i := slices.Index(r.fleet.control, p); i >= 0 {
		return fmt.Sprintf("core-%d", i)
	}
	return fmt.Sprintf("front-%d", slices.Index(r.fleet.entries, p))
}

// restart ends a process and starts it again after d, unless another fault has it.
func (r *refusalRun) restart(p *platformProcess, d time.Duration, sig syscall.Signal) {
	if !r.locks[p].TryLock() {
		return
	}
	defer r.locks[p].Unlock()
	r.logEvent("%v to %s", sig, r.name(p))
	p.signal(sig)
	select {
	case <-p.done:
	case <-time.After(10 * time.Second):
		r.violate("%s did not exit within 10 s after %v", r.name(p), sig)
		p.kill()
	}
	time.Sleep(d)
	r.fleet.writeSettings(p, r.name(p), false)
	p.start()
}

func (r *refusalRun) freeze(p *platformProcess, d time.Duration) {
	if !r.locks[p].TryLock() {
		return
	}
	defer r.locks[p].Unlock()
	r.logEvent("%s freezes", r.name(p))
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.resume()
}

// stutter freezes an entry for a few milliseconds many times, so that what one of its threads does is interrupted.
func (r *refusalRun) stutter(rnd *rand.Rand, d time.Duration) {
	p := r.randomEntry(rnd)
	if !r.locks[p].TryLock() {
		return
	}
	defer r.locks[p].Unlock()
	r.logEvent("%s stutters", r.name(p))
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond) {
		p.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
		p.resume()
	}
}

func (r *refusalRun) cutLeader(rnd *rand.Rand, d time.Duration) {
	p := r.leader()
	if !r.locks[p].TryLock() {
		return
	}
	defer r.locks[p].Unlock()
	how := rnd.IntN(3)
	r.logEvent("cut %s, kind %d", r.name(p), how)
	for _, x := range p.proxies {
		x.set(faults{drop: how != 1}, faults{drop: how != 0})
	}
	time.Sleep(d)
	for _, x := range p.proxies {
		x.heal()
		x.reset()
	}
}

// killAtAck kills the leader at the moment at which it acknowledges that a server drains, or shortly before.
func (r *refusalRun) killAtAck(rnd *rand.Rand, d time.Duration) {
	leader := r.leader()
	if !r.locks[leader].TryLock() {
		return
	}
	r.locks[leader].Unlock()
	r.leave(rnd, r.randomMachine(rnd), func(s *refusalServer) {
		acknowledged := make(chan int, 1)
		go func() {
			acknowledged <- postJSON(leader.url(controlPort, "/instances/"+s.id+"/heartbeat"),
				fmt.Sprintf(`{"address":"%s","born":%d,"info":{"service":"s","version":"v1","zone":"%s","concurrency":%d},"status":{"state":"draining","seq":%d,"warmup_left_ms":0}}`,
					s.machine.link.address, s.born, s.machine.zone, refusalSlots, s.seq.Add(1)))
		}()
		if rnd.IntN(3) == 0 {
			time.Sleep(time.Duration(rnd.IntN(8)) * time.Millisecond)
		} else {
			r.logEvent("drain of %s acknowledged with %d by %s", s.id, <-acknowledged, r.name(leader))
		}
		r.restarts.Go(func() { r.restart(leader, d, syscall.SIGKILL) })
	})
}

// leave lets the machine's server drain and exit, and starts another one at its address. announce, unless nil, tells control of it first.
func (r *refusalRun) leave(rnd *rand.Rand, m *refusalMachine, announce func(*refusalServer)) {
	if !m.changing.TryLock() {
		return
	}
	defer m.changing.Unlock()
	s := m.server.Load()
	s.draining.Store(true)
	if announce != nil {
		announce(s)
	}
	limit := time.Now().Add(5 * time.Second)
	for r.sendHeartbeat(s, "draining", s.seq.Add(1)) == nil && time.Now().Before(limit) {
		time.Sleep(20 * time.Millisecond)
	}
	r.logEvent("%s drains", s.id)
	time.Sleep(2*time.Second + time.Duration(rnd.IntN(500))*time.Millisecond)
	s.ending.Store(true)
	time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
	r.postToAny("/instances/"+s.id+"/leave", fmt.Sprintf(`{"born":%d}`, s.born))
	s.stop(false)
	r.logEvent("%s has left", s.id)
	m.startServer("")
}

// crash ends a server without notice. Another one, or the same, starts at the address at once or after a time.
func (r *refusalRun) crash(rnd *rand.Rand, m *refusalMachine, d time.Duration, id string, late bool) {
	if !m.changing.TryLock() {
		return
	}
	defer m.changing.Unlock()
	s := m.server.Load()
	if id != "" {
		id = s.id
	}
	m.link.unlisten()
	s.stop(true)
	if rnd.IntN(2) == 0 {
		time.Sleep(time.Duration(rnd.Int64N(int64(d))))
	}
	next := m.startServer(id)
	m.link.listen()
	if next == nil {
		return
	}
	r.logEvent("%s crashed and %s started at %s", s.id, next.id, m.link.address)
	for i := 0; late && i < 4; i++ {
		time.Sleep(time.Duration(rnd.IntN(500)) * time.Millisecond)
		r.sendHeartbeat(s, "ready", s.seq.Add(1))
	}
}

// crashHerd crashes most servers at about the same time.
func (r *refusalRun) crashHerd(rnd *rand.Rand, _ time.Duration) {
	var wg sync.WaitGroup
	for _, m := range r.machines {
		rnd := rand.New(rand.NewPCG(r.seed, rnd.Uint64()))
		if rnd.IntN(5) == 0 {
			continue
		}
		wg.Go(func() {
			defer GinkgoRecover()
			r.crash(rnd, m, 100*time.Millisecond, "", rnd.IntN(3) == 0)
		})
	}
	wg.Wait()
}

// crashHerdIn returns a fault that crashes most servers. Those that follow have the given moods for a time.
func crashHerdIn(moods ...string) refusalFault {
	return func(r *refusalRun, rnd *rand.Rand, d time.Duration) {
		setMoods := func(share float64) {
			for _, m := range r.machines {
				for _, name := range moods {
					m.setMood(name, share)
				}
			}
		}
		setMoods(1)
		r.crashHerd(rnd, d)
		time.Sleep(500 * time.Millisecond)
		setMoods(0)
	}
}

// evacuateZone evacuates an availability zone for d.
func (r *refusalRun) evacuateZone(rnd *rand.Rand, d time.Duration) {
	zone := refusalZones[rnd.IntN(len(refusalZones))]
	r.postToAny("/evacuations/"+zone+"/start", "")
	time.Sleep(d)
	for r.postToAny("/evacuations/"+zone+"/end", "") == nil {
		time.Sleep(50 * time.Millisecond)
	}
}

// putConfig puts a configuration whose timeouts differ from those of the last.
func (r *refusalRun) putConfig() {
	r.mu.Lock()
	r.version++
	version := r.version
	r.mu.Unlock()
	text := strings.Replace(configJSON(version), `"kind":"unsafe","timeout_ms":2000`, fmt.Sprintf(`"kind":"unsafe","timeout_ms":%d`, 1500+version%4*1100), 1)
	Expect(r.fleet.putConfig(text)).To(Equal(http.StatusOK))
}
