package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["evacuation-freeze"] = evacuationFreeze }

// evacuationFreeze evacuates a zone, takes it back and evacuates it again. One control member stands still meanwhile: it gets the order to take
// the zone back, does not answer in time, and the operator sends the order to another member. The rule EVAC is checked after that.
func evacuationFreeze(w *world) bool {
	const (
		zone = "zone-c"
		// freeze is within the 6.5 s of the site's days.
		freeze = 6 * time.Second
		// observed is how long requests are counted.
		observed = 8 * time.Second
	)
	f := startFleet(w.root, w.rec, fleetConfig{control: 5, entries: 3})
	w.defer_(f.stop)
	var mu sync.Mutex
	var runs []time.Time
	for _, b := range f.addBackends(w, "stock", 6, 20*time.Millisecond) {
		b.setOnRun(func(b *backend, _ *http.Request) {
			if b.zone == zone {
				mu.Lock()
				runs = append(runs, time.Now())
				mu.Unlock()
			}
		})
	}
	op := &operator{f, w.rec}
	op.mustOrder("the first config", "/config/put", config("00000007", "stock"), 0)
	c := newCaller(f, w.rec)
	c.awaitServing("/stock/")
	ctx, cancel := context.WithCancel(context.Background())
	w.defer_(cancel)
	go c.lookUps(ctx, "/stock/", 60)
	time.Sleep(4 * time.Second)
	leader := f.leader()
	if leader == nil {
		fatalf("no leader")
	}
	frozen := 0
	for f.control[frozen] == leader {
		frozen++
	}
	start, end := "/evacuations/"+zone+"/start", "/evacuations/"+zone+"/end"
	op.mustOrder("evacuation start", start, nil, frozen+1)
	time.Sleep(6 * time.Second)
	thawed := make(chan time.Time, 1)
	if w.trouble {
		w.rec.log("%s stands still for %v; the leader is %s", f.control[frozen].name, freeze, leader.name)
		f.control[frozen].signal(syscall.SIGSTOP)
	}
	time.AfterFunc(freeze, func() {
		if w.trouble {
			f.control[frozen].signal(syscall.SIGCONT)
			w.rec.log("%s goes on", f.control[frozen].name)
		}
		thawed <- time.Now()
	})
	time.Sleep(100 * time.Millisecond)
	op.mustOrder("evacuation end", end, nil, frozen)
	time.Sleep(500 * time.Millisecond)
	acked := op.mustOrder("evacuation start again", start, nil, frozen+1)
	// An unstable core may stretch the bound by maxSkew. The core counts as stable stableWindow after the freeze.
	from := acked.Add(evacBound + maxSkew)
	if stable := (<-thawed).Add(stableWindow); stable.After(from) {
		from = stable
	}
	time.Sleep(time.Until(from.Add(observed)))
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range runs {
		if !at.After(from) {
			continue
		}
		if late++; late <= 10 {
			w.rec.log("a request ran in %s %.3f s after its evacuation was acknowledged", zone, at.Sub(acked).Seconds())
		}
	}
	w.rec.log("%d requests ran in %s from %.1f s after the acknowledgement on, in %v; %d answered and %d failed in all", late, zone, from.Sub(acked).Seconds(), observed, c.ok.Load(), c.failed.Load())
	for _, m := range f.control {
		w.rec.log("%s log: %s", m.name, fmt.Sprint(f.grep(m, "evacuation requested")))
	}
	// EVAC allows none.
	return late > 0
}
