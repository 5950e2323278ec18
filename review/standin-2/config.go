package main

import (
	"context"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["config-limits"] = configLimits }

// configLimits moves a route to another service while all backend servers name in their answers how many requests they take, and one control
// member that doesn't lead stands still. The rule CONFIG is checked. TROUBLE=need and TROUBLE=freeze leave out the other disruption.
func configLimits(w *world) bool {
	const (
		servers   = 12
		perSecond = 300
		work      = 60 * time.Millisecond
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
	frozen := f.only(leader)
	if w.trouble && os.Getenv("TROUBLE") != "freeze" {
		for _, b := range append(old, next...) {
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

// only returns the number of a member that is the only one of its zone beside the leader, or else of any that doesn't lead.
func (f *fleet) only(leader *machine) int {
	any := -1
	for i, m := range f.control {
		if m == leader {
			continue
		}
		any = i
		alone := true
		for _, o := range f.control {
			alone = alone && (o == m || o == leader || o.zone != m.zone)
		}
		if alone {
			return i
		}
	}
	return any
}
