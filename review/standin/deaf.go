package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["deaf-entry"] = deafEntry }

// deafEntry lets one backend crash while lookups whose query holds a byte that isn't UTF-8 are in work there, and then moves their
// route to another service.
func deafEntry(f *fleet, trouble bool) (broken []string) {
	const work = 120 * time.Millisecond
	f.start(3, 3, false)
	before := []route{{"/stock/", "safe", "old", 1500}}
	after := []route{{"/stock/", "safe", "new", 1500}}
	if !f.putConfig(0x7, before, 20*time.Second) {
		panic("no first config")
	}
	for range 3 {
		f.addBackend("old", "", work, nil)
		f.addBackend("new", "", work, nil)
	}
	if !f.waitReady("/stock/warm", 20*time.Second) {
		panic("the entries aren't ready")
	}
	time.Sleep(4 * time.Second)

	// Shop counters look stock up, through all entries.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	lookup := func(e *machine) answer {
		return f.send(e.addr(frontPort), &call{method: "GET", path: "/stock/velas?ciudad=C\xf3rdoba&n=" + newID(), deadline: 1500 * time.Millisecond})
	}
	for _, e := range f.entries {
		for range 3 {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(rand.N(60 * time.Millisecond)):
						lookup(e)
					}
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		f.mu.Lock()
		b := f.backends[0]
		f.mu.Unlock()
		for b.running.Load() == 0 {
			time.Sleep(5 * time.Millisecond)
		}
		b.crash()
		time.Sleep(3 * time.Second)
		f.addBackend("old", b.address, work, nil)
	} else {
		time.Sleep(3 * time.Second)
	}
	time.Sleep(4 * time.Second)
	if !f.putConfig(0x9, after, 4*time.Second) {
		close(stop)
		wg.Wait()
		panic("no ack of the second config")
	}
	acked := time.Now()
	time.Sleep(configBound + 500*time.Millisecond)
	f.rec.log("from here on every lookup has to be run by the service \"new\"")
	time.Sleep(5 * time.Second)
	for _, e := range f.entries {
		wrong := 0
		for range 10 {
			if a := lookup(e); a.status == 200 && strings.HasPrefix(a.header.Get("Server-Stamp"), "old.") {
				wrong++
			}
		}
		ready, _ := get("http://" + e.addr(readyPort) + "/ready")
		f.rec.log("%s: ready %d, %d of 10 lookups run by the old service %.1f s after the ack", e.name, ready, wrong, time.Since(acked).Seconds())
		if wrong > 0 {
			broken = append(broken, fmt.Sprintf("CONFIG: %s, ready %d, had %d of 10 lookups run by the old service, sent %.1f s after the ack", e.name, ready, wrong, time.Since(acked).Seconds()))
		}
	}
	f.rec.log("the directory answers with %q", f.resolve())
	close(stop)
	wg.Wait()
	return broken
}
