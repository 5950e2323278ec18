package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["deaf-entry"] = deafEntry }

// deafEntry lets one request crash each backend that begins to run it, and come again at each entry. Its query has a byte that isn't
// UTF-8. Then the route of all lookups moves to another service.
func deafEntry(f *fleet, trouble bool) (broken []string) {
	const work = 120 * time.Millisecond
	// POISON=ascii sends the byte percent-encoded.
	poison := "/stock/velas?ciudad=C\xf3rdoba"
	if os.Getenv("POISON") == "ascii" {
		poison = "/stock/velas?ciudad=C%F3rdoba"
	}
	f.start(3, 3, false)
	before := []route{{"/stock/", "safe", "old", 1500}}
	after := []route{{"/stock/", "safe", "new", 1500}, {"/prices/", "safe", "new", 1500}}
	if !f.putConfig(0x7, before, 20*time.Second) {
		panic("no first config")
	}
	var addOld func(address string)
	addOld = func(address string) {
		f.addBackend("old", address, work, func(b *backend) {
			b.onRun = func(b *backend, req *http.Request) {
				if !trouble || req.RequestURI != poison {
					return
				}
				b.onRun = nil
				b.crash()
				time.AfterFunc(3*time.Second, func() { addOld(b.address) })
			}
		})
	}
	for range 6 {
		addOld("")
		f.addBackend("new", "", work, nil)
	}
	if !f.waitReady("/stock/warm", 20*time.Second) {
		panic("the entries aren't ready")
	}
	time.Sleep(4 * time.Second)

	// Shop counters look stock up. They find the entries as the directory says.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	lookup := func(address, prefix string) answer {
		return f.send(address, &call{method: "GET", path: prefix + "velas?n=" + newID(), deadline: 1500 * time.Millisecond})
	}
	asked, unanswered := 0, 0
	var counting bool
	for range 6 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(200*time.Millisecond + rand.N(100*time.Millisecond)):
				}
				addresses := f.resolve()
				served := len(addresses) > 0 && lookup(shuffled(addresses)[0], "/stock/").status == http.StatusOK
				mu.Lock()
				if counting {
					asked++
					if !served {
						unanswered++
					}
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	// The request comes again at any machine; its client asks the three in turn.
	for range 2 {
		for _, e := range f.entries {
			f.send(e.addr(frontPort), &call{method: "GET", path: poison, deadline: 1500 * time.Millisecond})
			time.Sleep(1500 * time.Millisecond)
		}
	}
	time.Sleep(6 * time.Second)
	if !f.putConfig(0x9, after, 4*time.Second) {
		close(stop)
		wg.Wait()
		panic("no ack of the second config")
	}
	time.Sleep(configBound + 3*time.Second)
	f.rec.log("from here on every lookup has to be run by the service \"new\"")
	mu.Lock()
	counting = true
	mu.Unlock()
	time.Sleep(5 * time.Second)
	for _, e := range f.entries {
		ready, _ := get("http://" + e.addr(readyPort) + "/ready")
		wrong, missing := 0, 0
		for range 10 {
			if a := lookup(e.addr(frontPort), "/stock/"); a.status == http.StatusOK && strings.HasPrefix(a.header.Get("Server-Stamp"), "old.") {
				wrong++
			}
			if a := lookup(e.addr(frontPort), "/prices/"); a.status == http.StatusNotFound {
				missing++
			}
		}
		if wrong+missing > 0 {
			broken = append(broken, fmt.Sprintf("CONFIG: %s, whose /ready answers %d, had %d of 10 lookups on the moved route run by the old service and answered %d of 10 on the added route with 404, all sent later than 9 s after the ack", e.name, ready, wrong, missing))
		}
	}
	close(stop)
	wg.Wait()
	f.rec.log("the directory answers with the addresses %q", f.resolve())
	f.rec.log("%d of %d lookups of clients that ask the directory weren't served, from 5 s after the ack on", unanswered, asked)
	runs := 0
	for _, r := range f.allRuns() {
		if r.path == poison {
			runs++
		}
	}
	f.rec.log("the request %q reached %d backends", poison, runs)
	return broken
}
