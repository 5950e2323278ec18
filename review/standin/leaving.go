package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["server-leaving"] = serverLeaving }

// serverLeaving lets a backend leave as planned while one entry is cut off from control: the backend reports that it drains, says so in
// all its answers, serves for longer than drain_ms, and exits.
func serverLeaving(f *fleet, trouble bool) (broken []string) {
	const work = 160 * time.Millisecond
	f.start(3, 3, true)
	if !f.putConfig(0x7, []route{{"/orders/", "unsafe", "orders", 2000}}, 20*time.Second) {
		panic("no first config")
	}
	for range 4 {
		f.addBackend("orders", "", work, nil)
	}
	if !f.waitReady("/orders/warm", 20*time.Second) {
		panic("the entries aren't ready")
	}
	time.Sleep(4 * time.Second)

	type order struct {
		answer
		id string
		e  *machine
	}
	var mu sync.Mutex
	var orders []order
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, e := range f.entries {
		for range 3 {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(rand.N(100 * time.Millisecond)):
					}
					c := &call{method: "POST", path: "/orders/new", body: []byte("cirio pascual"), deadline: 2 * time.Second, id: newID()}
					a := f.send(e.addr(frontPort), c)
					mu.Lock()
					orders = append(orders, order{a, c.id, e})
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		f.rec.log("%s is cut off from control for 10 s", f.entries[0].name)
		for _, p := range f.proxies {
			p.setCut(f.entries[0].name)
		}
		time.AfterFunc(10*time.Second, func() {
			f.rec.log("the cut heals")
			for _, p := range f.proxies {
				p.setCut("")
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	f.mu.Lock()
	b := f.backends[0]
	f.mu.Unlock()
	b.sayLeaving.Store(true)
	if !b.drain() {
		close(stop)
		wg.Wait()
		panic("no ack of the drain")
	}
	time.Sleep(drainBound + 4*time.Second)
	b.tell("leave", nil)
	f.rec.log("backend %s exits", b.instance)
	b.shut()
	time.Sleep(6 * time.Second)
	close(stop)
	wg.Wait()

	// An entry has passed on that b leaves once a client has got such an answer through it.
	ranAt := make(map[string]bool)
	for _, r := range f.allRuns() {
		if r.instance == b.instance {
			ranAt[r.id] = true
		}
	}
	for _, e := range f.entries {
		var told time.Time
		for _, o := range orders {
			if o.e == e && o.status != 0 && o.header.Get("Server-Leaving") != "" && strings.Contains(o.header.Get("Server-Stamp"), b.instance) && (told.IsZero() || o.at.Before(told)) {
				told = o.at
			}
		}
		late, lost := 0, 0
		for _, o := range orders {
			if o.e == e && !told.IsZero() && o.sentAt.After(told.Add(drainBound)) && ranAt[o.id] {
				if late++; o.status != http.StatusOK {
					lost++
					f.rec.log("order %s reached %s late, and its client got status %d (%v)", o.id, b.instance, o.status, o.err)
				}
			}
		}
		f.rec.log("%s: %d orders that clients sent later than drain_ms after it had passed on Server-Leaving reached %s; %d of them were lost", e.name, late, b.instance, lost)
		if late > 0 {
			broken = append(broken, fmt.Sprintf("DRAIN: %s sent %s %d orders that clients sent later than drain_ms after it had passed on Server-Leaving; %d of them were lost at its exit", e.name, b.instance, late, lost))
		}
	}
	return broken
}
