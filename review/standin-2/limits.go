package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

func init() { cases["evacuation-limits"] = evacuationLimits }

// evacuationLimits evacuates a zone while all servers of a service are in need: for a few seconds they name in their answers how many requests
// they take. The rule EVAC is checked.
func evacuationLimits(w *world) bool {
	const (
		zone    = "zone-c"
		servers = 12
		need    = 9 * time.Second
		work    = 60 * time.Millisecond
		// perSecond is the traffic of a small site in a burst of 1.25 times the usual.
		perSecond = 300
	)
	f := startFleet(w.root, w.rec, fleetConfig{control: 5, entries: 3})
	w.defer_(f.stop)
	var mu sync.Mutex
	var runs []time.Time
	list := f.addBackends(w, "stock", servers, work)
	for _, b := range list {
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
	go c.lookUps(ctx, "/stock/", perSecond)
	time.Sleep(5 * time.Second)
	begin := time.Now()
	setNeedy := func(on bool) {
		for _, b := range list {
			b.needy.Store(on)
		}
	}
	if w.trouble {
		setNeedy(true)
		w.rec.log("%d servers begin to name how many requests they take", servers)
		time.AfterFunc(need, func() {
			setNeedy(false)
			w.rec.log("they no longer do")
		})
	}
	time.Sleep(time.Second)
	acked := op.mustOrder("evacuation start", "/evacuations/"+zone+"/start", nil, 1)
	from := acked.Add(evacBound)
	time.Sleep(time.Until(begin.Add(need + 4*time.Second)))
	mu.Lock()
	defer mu.Unlock()
	late, last := 0, time.Duration(0)
	for _, at := range runs {
		if !at.After(from) {
			continue
		}
		last = max(last, at.Sub(acked))
		if late++; late <= 10 {
			w.rec.log("a request ran in %s %.3f s after its evacuation was acknowledged", zone, at.Sub(acked).Seconds())
		}
	}
	w.rec.log("%d requests ran in %s later than %v after the acknowledgement, the last one %.1f s after; %d answered and %d failed in all", late, zone, evacBound, last.Seconds(), c.ok.Load(), c.failed.Load())
	for _, m := range f.entries {
		for _, line := range f.grep(m, "evacuated availability zones changed") {
			w.rec.log("%s log: %s", m.name, line)
		}
	}
	// EVAC allows none.
	return late > 0
}
