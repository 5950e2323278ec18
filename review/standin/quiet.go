package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["asked-for-quiet"] = askedForQuiet }

// askedForQuiet lets one backend of four turn requests away with 503 and Retry-After for a while.
func askedForQuiet(f *fleet, trouble bool) (broken []string) {
	const (
		work       = 160 * time.Millisecond
		retryAfter = 3 * time.Second
		busyFor    = 8 * time.Second
		grace      = 500 * time.Millisecond
	)
	f.start(3, 2, false)
	if !f.putConfig(0x7, []route{{"/orders/", "unsafe", "orders", 2000}}, 20*time.Second) {
		panic("no first config")
	}
	var mu sync.Mutex
	sentTo := make(map[string]string)
	type arrival struct {
		entry string
		at    time.Time
	}
	var arrivals, refusals []arrival
	busy := false
	for i := range 4 {
		f.addBackend("orders", "", work, func(b *backend) {
			if i > 0 {
				return
			}
			b.handle = func(b *backend, w http.ResponseWriter, req *http.Request) bool {
				mu.Lock()
				defer mu.Unlock()
				a := arrival{sentTo[req.Header.Get("Request-Id")], time.Now()}
				arrivals = append(arrivals, a)
				if !busy {
					return false
				}
				refusals = append(refusals, a)
				f.rec.log("backend %s turns %s away, sent by %s: 503, Retry-After %v", b.instance, req.Header.Get("Request-Id"), a.entry, retryAfter)
				w.Header().Set("Not-Executed", "1")
				w.Header().Set("Retry-After", fmt.Sprint(retryAfter.Seconds()))
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			}
		})
	}
	if !f.waitReady("/orders/warm", 20*time.Second) {
		panic("the entries aren't ready")
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, e := range f.entries {
		for range 4 {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(rand.N(100 * time.Millisecond)):
					}
					c := &call{method: "POST", path: "/orders/new", body: []byte("cirio pascual"), deadline: 2 * time.Second, id: newID()}
					mu.Lock()
					sentTo[c.id] = e.name
					mu.Unlock()
					f.send(e.addr(frontPort), c)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	busy = trouble
	mu.Unlock()
	time.Sleep(busyFor)
	mu.Lock()
	busy = false
	mu.Unlock()
	time.Sleep(retryAfter + time.Second)
	close(stop)
	wg.Wait()
	for _, e := range f.entries {
		// The first refusal to this machine, and every later one, asks for quiet from half a second on to its end.
		worst := 0
		for _, r := range refusals {
			n := 0
			for _, a := range arrivals {
				if r.entry == e.name && a.entry == e.name && a.at.After(r.at.Add(grace)) && a.at.Before(r.at.Add(retryAfter)) {
					n++
				}
			}
			worst = max(worst, n)
		}
		f.rec.log("%s: at most %d requests between %v after a refusal and the end of its Retry-After", e.name, worst, grace)
		if worst > 2 {
			broken = append(broken, fmt.Sprintf("BUDGET: %s sent %d requests to a backend between %v after its 503 with Retry-After %v and the end of that time", e.name, worst, grace, retryAfter))
		}
	}
	return broken
}
