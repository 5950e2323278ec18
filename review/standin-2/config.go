package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["config-limits"] = configLimits }

// configLimits moves a route to another service while all backend servers name in their answers how many requests they take, and one control
// member that doesn't lead and that an entry watches stands still. The rule CONFIG is checked. TROUBLE=need and TROUBLE=freeze leave out the other disruption.
func configLimits(w *world) bool {
	const (
		servers = 12
		work    = 60 * time.Millisecond
		// perSecond gives each entry as many requests as in a small site.
		perSecond = 45
		// limitEvery is how often a server decides anew how many requests it takes.
		limitEvery = time.Second
		// freeze is within the 6.5 s of the site's days.
		freeze = 6400 * time.Millisecond
		// lead is how long before the freeze the servers begin to name limits.
		lead = time.Second
	)
	f := startFleet(w.root, w.rec, fleetConfig{control: 5, entries: 3})
	w.defer_(f.stop)
	old := f.addBackends(w, "old", servers, work)
	next := f.addBackends(w, "next", servers, work)
	type run struct {
		id string
		at time.Time
	}
	var mu sync.Mutex
	var runs []run
	for _, b := range old {
		b.setOnRun(func(_ *backend, r *http.Request) {
			mu.Lock()
			runs = append(runs, run{r.Header.Get("Request-Id"), time.Now()})
			mu.Unlock()
		})
	}
	op := &operator{f, w.rec}
	cfg := func(version, service string) object {
		c := config(version, "old", "next")
		c["resources"].([]any)[0].(object)["spec"].(object)["service"] = service
		return c
	}
	op.mustOrder("the first config", "/config/put", cfg("00000007", "old"), 0)
	c := newCaller(f, w.rec)
	c.awaitServing("/old/")
	ctx, cancel := context.WithCancel(context.Background())
	w.defer_(cancel)
	go c.lookUps(ctx, "/old/", perSecond)
	time.Sleep(5 * time.Second)
	leader := f.leader()
	if leader == nil {
		fatalf("no leader")
	}
	frozen := 0
	eventually("an entry watches a member that doesn't lead", 5*time.Second, func() (ok bool) {
		frozen, ok = f.watched(leader)
		return ok
	})
	if w.trouble && os.Getenv("TROUBLE") != "freeze" {
		for _, b := range append(old, next...) {
			b.limitEvery = limitEvery
			b.needy.Store(true)
		}
		w.rec.log("all servers name how many requests they take")
	}
	time.Sleep(lead)
	began := time.Now()
	if w.trouble && os.Getenv("TROUBLE") != "need" {
		w.rec.log("%s stands still for %v; the leader is %s", f.control[frozen].name, freeze, leader.name)
		f.control[frozen].signal(syscall.SIGSTOP)
		time.AfterFunc(freeze, func() {
			f.control[frozen].signal(syscall.SIGCONT)
			w.rec.log("%s goes on", f.control[frozen].name)
		})
	}
	// From here on the core is stable again, and the entries are in touch.
	time.Sleep(time.Until(began.Add(stableWindow + 200*time.Millisecond)))
	acked := op.mustOrder("the config that moves the route", "/config/put", cfg("00000009", "next"), frozen+1)
	time.Sleep(time.Until(began.Add(freeze)))
	until := time.Now()
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	perEntry := make(map[string]int)
	for _, r := range runs {
		s, ok := c.sentAt(r.id)
		if !ok || !s.at.After(acked.Add(configBound)) || s.at.After(until) {
			continue
		}
		perEntry[s.entry]++
		if late++; late <= 10 {
			w.rec.log("request %s, sent to %s %.3f s after the ack, was run by the old service", r.id, s.entry, s.at.Sub(acked).Seconds())
		}
	}
	w.rec.log("%d requests that were sent later than %v after the ack were run by the old service, by entry %v; %d answered and %d failed in all", late, configBound, perEntry, c.ok.Load(), c.failed.Load())
	for _, m := range f.entries {
		for _, line := range f.grep(m, "configuration in force") {
			w.rec.log("%s log: %s", m.name, line)
		}
	}
	// CONFIG allows none.
	return late > 0
}

// watched returns the number of a member that doesn't lead and to which an entry has a connection: the one that the entry watches.
func (f *fleet) watched(leader *machine) (int, bool) {
	for _, e := range f.entries {
		for i, m := range f.control {
			if m != leader && e.isConnectedTo(m.at(peerPort)) {
				return i, true
			}
		}
	}
	return 0, false
}

// isConnectedTo reports whether the process has a connection to an IPv4 address that is open at both ends.
func (m *machine) isConnectedTo(address string) bool {
	a, err := netip.ParseAddrPort(address)
	check(err)
	ip := a.Addr().As4()
	remote := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())
	sockets := make(map[string]bool)
	folder := fmt.Sprintf("/proc/%d", m.pid())
	files, _ := os.ReadDir(folder + "/fd")
	for _, file := range files {
		target, _ := os.Readlink(folder + "/fd/" + file.Name())
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	const established = "01"
	table, _ := os.ReadFile(folder + "/net/tcp")
	for line := range strings.Lines(string(table)) {
		if fields := strings.Fields(line); len(fields) > 9 && fields[2] == remote && fields[3] == established && sockets[fields[9]] {
			return true
		}
	}
	return false
}
