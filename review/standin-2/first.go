package main

import (
	"context"
	"syscall"
	"time"
)

func init() { cases["first-start"] = firstStart }

// firstStart starts the system for the first time. All processes of the core are killed at the same moment soon after they have started, and
// are back within a second with their disks. The rule Fault is checked: that requests are served.
func firstStart(w *world) bool {
	const (
		// spread is the time within which all machines start, killAfter when the core is killed after the first start.
		spread, killAfter = 250 * time.Millisecond, 300 * time.Millisecond
		// down is how long the core is away.
		down = 700 * time.Millisecond
		// traffic is when clients begin, and observed how long they go on.
		traffic, observed = 8 * time.Second, 30 * time.Second
	)
	begin := time.Now()
	f := startFleet(w.root, w.rec, fleetConfig{control: 5, entries: 3, spread: spread})
	w.defer_(f.stop)
	w.rec.log("all machines were started within %v", time.Since(begin).Round(time.Millisecond))
	if w.trouble {
		time.Sleep(time.Until(begin.Add(killAfter)))
		for _, m := range f.control {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range f.control {
			m.kill()
		}
		w.rec.log("all processes of the core were killed, %v after the first start", time.Since(begin).Round(time.Millisecond))
		time.Sleep(down)
		for _, m := range f.control {
			// The system doesn't start for the first time any more, and the disks are not empty.
			f.writeSettings(m, false)
			m.start(w.root)
		}
		w.rec.log("all processes of the core are back")
	}
	f.addBackends(w, "stock", 6, 60*time.Millisecond)
	op := &operator{f, w.rec}
	acked := make(chan bool, 1)
	go func() {
		_, ok := op.order("the first config", "/config/put", config("00000007", "stock"), 0, traffic+observed-2*time.Second)
		acked <- ok
	}()
	time.Sleep(time.Until(begin.Add(traffic)))
	c := newCaller(f, w.rec)
	ctx, cancel := context.WithCancel(context.Background())
	go c.lookUps(ctx, "/stock/", 60)
	time.Sleep(observed)
	cancel()
	w.rec.log("the first config was acknowledged: %t; %d requests were answered with success and %d were not", <-acked, c.ok.Load(), c.failed.Load())
	for _, m := range f.control {
		lines := f.grep(m, "cluster founded")
		w.rec.log("%s log: %d lines of a cluster that was founded", m.name, len(lines))
	}
	return c.ok.Load() == 0
}
