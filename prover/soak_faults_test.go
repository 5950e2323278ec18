package prover

import (
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/gomega"
)

// soakFault injects a fault for the duration d. A disruptive fault can keep an entry from receiving updates from control.
type soakFault struct {
	disruptive bool
	inject     func(s *soak, rnd *rand.Rand, d time.Duration)
}

var soakFaults = map[string]soakFault{
	"entry-kill":         {true, func(s *soak, rnd *rand.Rand, d time.Duration) { s.restart(s.randomEntry(rnd), d, syscall.SIGKILL) }},
	"entry-stop":         {true, func(s *soak, rnd *rand.Rand, d time.Duration) { s.restart(s.randomEntry(rnd), d, syscall.SIGTERM) }},
	"entry-freeze":       {true, func(s *soak, rnd *rand.Rand, d time.Duration) { s.pause(s.randomEntry(rnd), d) }},
	"entry-hang-up":      {false, func(s *soak, rnd *rand.Rand, _ time.Duration) { s.reload(s.randomEntry(rnd)) }},
	"callers-reset":      {false, func(s *soak, rnd *rand.Rand, _ time.Duration) { s.randomEntry(rnd).proxies[frontPort].reset() }},
	"callers-silent":     {false, func(s *soak, rnd *rand.Rand, _ time.Duration) { s.randomEntry(rnd).proxies[frontPort].blackholeOpen() }},
	"callers-slow":       {false, func(s *soak, rnd *rand.Rand, d time.Duration) { s.delayPort(s.randomEntry(rnd), frontPort, d) }},
	"control-kill":       {true, func(s *soak, rnd *rand.Rand, d time.Duration) { s.restart(s.randomControl(rnd), d, syscall.SIGKILL) }},
	"control-stop":       {true, func(s *soak, rnd *rand.Rand, d time.Duration) { s.restart(s.randomControl(rnd), d, syscall.SIGTERM) }},
	"control-freeze":     {true, func(s *soak, rnd *rand.Rand, d time.Duration) { s.pause(s.randomControl(rnd), d) }},
	"control-hang-up":    {false, func(s *soak, rnd *rand.Rand, _ time.Duration) { s.reload(s.randomControl(rnd)) }},
	"control-kill-all":   {true, (*soak).killAllControl},
	"control-wipe":       {true, (*soak).wipe},
	"control-cut":        {true, func(s *soak, rnd *rand.Rand, d time.Duration) { s.blackhole(s.randomControl(rnd), d, true, true) }},
	"control-cut-to":     {true, func(s *soak, rnd *rand.Rand, d time.Duration) { s.blackhole(s.randomControl(rnd), d, true, false) }},
	"control-cut-from":   {true, func(s *soak, rnd *rand.Rand, d time.Duration) { s.blackhole(s.randomControl(rnd), d, false, true) }},
	"control-reset":      {true, func(s *soak, rnd *rand.Rand, _ time.Duration) { s.randomControl(rnd).eachProxy((*proxy).reset) }},
	"control-silent":     {true, func(s *soak, rnd *rand.Rand, _ time.Duration) { s.randomControl(rnd).eachProxy((*proxy).blackholeOpen) }},
	"control-slow":       {true, func(s *soak, rnd *rand.Rand, d time.Duration) { s.delayPort(s.randomControl(rnd), 7620, d) }},
	"seeds-in-new-order": {false, (*soak).changeSeeds},
	"server-leave":       {false, (*soak).replaceServer},
	"server-crash":       {false, (*soak).crashServer},
	"server-slow":        {false, func(s *soak, rnd *rand.Rand, d time.Duration) { v := s.randomServer(rnd); setFor(d, v.slow.Store) }},
	"server-full":        {false, func(s *soak, rnd *rand.Rand, d time.Duration) { v := s.randomServer(rnd); setFor(d, v.full.Store) }},
	"server-lose": {false, func(s *soak, rnd *rand.Rand, d time.Duration) {
		v := s.randomServer(rnd)
		setFor(d, v.dropResponse.Store)
	}},
	"server-reset":       {false, func(s *soak, rnd *rand.Rand, _ time.Duration) { s.randomServer(rnd).proxy.reset() }},
	"server-silent":      {false, func(s *soak, rnd *rand.Rand, _ time.Duration) { s.randomServer(rnd).proxy.blackholeOpen() }},
	"server-half-silent": {false, (*soak).dropResponses},
}

// Durations of faults, and the longest pause in milliseconds between two of them.
const (
	soakMinFault    = 100 * time.Millisecond
	soakFaultSpread = 2500 * time.Millisecond
	soakMaxPauseMs  = 600
)

// injectFaults injects random faults one after the other until the given time.
func (s *soak) injectFaults(rnd *rand.Rand, until time.Time) {
	var names []string
	for name := range soakFaults {
		if *soakFaultNames == "" || slices.Contains(strings.Split(*soakFaultNames, ","), name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	Expect(names).NotTo(BeEmpty(), "-soak-faults names no known fault")
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rnd.IntN(soakMaxPauseMs)) * time.Millisecond)
		name := names[rnd.IntN(len(names))]
		d := soakMinFault + time.Duration(rnd.Int64N(int64(soakFaultSpread)))
		f := soakFaults[name]
		s.logEvent("fault %s for %v", name, d.Round(time.Millisecond))
		s.trackFault(f.disruptive, 1)
		f.inject(s, rnd, d)
		s.trackFault(f.disruptive, -1)
		s.logEvent("fault %s removed", name)
	}
}

func (s *soak) trackFault(disruptive bool, delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if delta > 0 {
		s.faults++
	}
	if disruptive {
		s.activeDisruptions += delta
		s.lastDisruption = time.Now()
	}
}

func (s *soak) randomEntry(rnd *rand.Rand) *soakNode   { return s.entries[rnd.IntN(len(s.entries))] }
func (s *soak) randomControl(rnd *rand.Rand) *soakNode { return s.control[rnd.IntN(len(s.control))] }

// randomServer returns a server that has neither left nor crashed.
func (s *soak) randomServer(rnd *rand.Rand) *soakServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []*soakServer
	for _, v := range s.servers {
		if v.announcing.Load() {
			live = append(live, v)
		}
	}
	return live[rnd.IntN(len(live))]
}

func (n *soakNode) eachProxy(do func(*proxy)) {
	for _, p := range n.proxies {
		do(p)
	}
}

// restart ends a process with sig, SIGKILL or SIGTERM, and starts it again after d.
func (s *soak) restart(n *soakNode, d time.Duration, sig syscall.Signal) {
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	n.signal(sig)
	select {
	case <-n.done:
	case <-time.After(soakRecovery):
		s.recordViolation("%s did not exit within %v", n.id, soakRecovery)
		n.kill()
	}
	time.Sleep(d)
	s.writeSettings(n, false, s.control)
	s.startNode(n)
}

func (s *soak) pause(n *soakNode, d time.Duration) {
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	n.pause()
	time.Sleep(d)
	n.resume()
}

func (s *soak) reload(n *soakNode) {
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	s.reloadLocked(n)
}

// soakStartupTime is how long a new process may take until it handles SIGHUP. Before that the signal terminates it, and the platform
// starts it again.
const soakStartupTime = 100 * time.Millisecond

// reloadLocked sends SIGHUP, on which a process reads its settings again; the caller holds faultMu.
func (s *soak) reloadLocked(n *soakNode) {
	starting := time.Since(n.started) < soakStartupTime
	n.signal(syscall.SIGHUP)
	time.Sleep(soakStartupTime)
	select {
	case <-n.done:
	default:
		return
	}
	if !starting {
		s.recordViolation("SIGHUP terminated %s", n.id)
	}
	s.logEvent("%s exited on SIGHUP; restarting", n.id)
	s.startNode(n)
}

// startNode starts a process. The caller holds faultMu, except before faults are injected.
func (s *soak) startNode(n *soakNode) {
	n.started = time.Now()
	n.start()
}

// killAllControl kills all members at once and restarts them with their data directories.
func (s *soak) killAllControl(_ *rand.Rand, d time.Duration) {
	for _, c := range s.control {
		c.faultMu.Lock()
	}
	for _, c := range s.control {
		c.kill()
	}
	time.Sleep(d / 2)
	for _, c := range s.control {
		s.writeSettings(c, false, s.control)
		s.startNode(c)
		c.faultMu.Unlock()
	}
}

// wipe deletes the data directory of one member, once in a run, because the system isn't required to tolerate more than one lost disk.
func (s *soak) wipe(rnd *rand.Rand, d time.Duration) {
	s.mu.Lock()
	wiped := s.diskWiped
	s.diskWiped = true
	s.mu.Unlock()
	if wiped {
		return
	}
	c := s.randomControl(rnd)
	c.faultMu.Lock()
	defer c.faultMu.Unlock()
	c.kill()
	if err := os.RemoveAll(c.data); err != nil {
		s.recordViolation("test harness: delete data directory of %s: %v", c.id, err)
	}
	time.Sleep(d / 2)
	s.writeSettings(c, false, s.control)
	s.startNode(c)
}

// blackhole drops everything on the connections to a process, towards it, from it or both.
func (s *soak) blackhole(n *soakNode, d time.Duration, to, from bool) {
	n.eachProxy(func(p *proxy) { p.set(faults{drop: to}, faults{drop: from}) })
	time.Sleep(d)
	n.eachProxy((*proxy).heal)
}

func (s *soak) delayPort(n *soakNode, port int, d time.Duration) {
	const delay = 40 * time.Millisecond
	n.proxies[port].set(faults{delay: delay}, faults{delay: delay})
	time.Sleep(d)
	n.proxies[port].heal()
}

// changeSeeds changes the seeds in the settings file of a process, and in half of the cases makes it reload the file.
func (s *soak) changeSeeds(rnd *rand.Rand, _ time.Duration) {
	n := s.randomEntry(rnd)
	if rnd.IntN(2) == 0 {
		n = s.randomControl(rnd)
	}
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	first := rnd.IntN(len(s.control))
	s.writeSettings(n, false, []*soakNode{s.control[first], s.control[(first+1)%len(s.control)]})
	if rnd.IntN(2) == 0 {
		s.reloadLocked(n)
	}
}

func (s *soak) replaceServer(rnd *rand.Rand, d time.Duration) {
	s.addServer(time.Duration(2+rnd.IntN(20)) * time.Millisecond)
	v := s.randomServer(rnd)
	time.Sleep(d / 4)
	v.leave(s.control)
	s.logEvent("leave of server %s acknowledged", v.id)
}

// crashServer makes a server unreachable for good and adds another one later.
func (s *soak) crashServer(rnd *rand.Rand, d time.Duration) {
	v := s.randomServer(rnd)
	v.announcing.Store(false)
	v.proxy.refuseNew(true)
	v.proxy.reset()
	time.Sleep(d / 2)
	s.addServer(time.Duration(2+rnd.IntN(20)) * time.Millisecond)
}

// dropResponses forwards calls to a server and drops its responses.
func (s *soak) dropResponses(rnd *rand.Rand, d time.Duration) {
	v := s.randomServer(rnd)
	v.proxy.set(faults{}, faults{drop: true})
	time.Sleep(d)
	v.proxy.heal()
	v.proxy.reset()
}

func setFor(d time.Duration, set func(bool)) {
	set(true)
	time.Sleep(d)
	set(false)
}
