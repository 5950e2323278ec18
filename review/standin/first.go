package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { scenarios["first-start"] = firstStart }

// firstStart lets one of the five core machines lose power for good as the whole system starts for the first time: a seed. Another machine is
// added in its place.
func firstStart(f *fleet, trouble bool) (broken []string) {
	const patience = 30 * time.Second
	f.place(5, 2, false)
	lost := f.controls[1]
	f.startMachine(lost, true)
	if trouble {
		time.Sleep(100 * time.Millisecond)
		f.powerOff(lost)
	}
	for _, m := range f.machines() {
		if m != lost {
			f.startMachine(m, true)
		}
	}
	start := time.Now()
	for range 3 {
		f.addBackend("stock", "", 50*time.Millisecond, nil)
	}
	if trouble {
		time.Sleep(2 * time.Second)
		successor := &machine{name: "core-6", ip: f.newIP(), role: "control", data: filepath.Join(f.dir, "core-6-data")}
		must(os.Mkdir(successor.data, 0o700))
		f.controls[1] = successor
		// From here on the settings of all machines name seeds that run.
		f.controls[1], f.controls[3] = f.controls[3], f.controls[1]
		f.startMachine(successor, false)
		for _, m := range f.machines() {
			if m != successor {
				f.writeSettings(m, true)
				m.signal(syscall.SIGHUP)
			}
		}
	}
	routes := []route{{"/stock/", "safe", "stock", 1500}}
	acked := f.putConfig(0x7, routes, patience)
	f.rec.log("the first config is acknowledged: %t, %.1f s after the start", acked, time.Since(start).Seconds())
	time.Sleep(3 * time.Second)
	served := 0
	for range 10 {
		for _, e := range f.entries {
			if f.send(e.addr(frontPort), &call{method: "GET", path: "/stock/x", deadline: 1500 * time.Millisecond}).status == http.StatusOK {
				served++
			}
		}
	}
	if !acked && served == 0 {
		broken = append(broken, fmt.Sprintf("Fault: no request is served, and no member has acknowledged the first config %.0f s after the start", time.Since(start).Seconds()))
	}
	return broken
}
