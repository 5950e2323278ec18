package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

// powerOff lets machines lose power at the same moment; their disks stay as they are.
func (f *fleet) powerOff(machines ...*machine) {
	for _, m := range machines {
		f.rec.log("%s loses power", m.name)
		m.signal(syscall.SIGKILL)
	}
	for _, m := range machines {
		<-m.done
	}
}

// loseDisk lets a machine lose power and its disk, and starts it again a second later at its old address.
func (f *fleet) loseDisk(m *machine) {
	f.rec.log("%s loses its disk", m.name)
	f.powerOff(m)
	must(os.RemoveAll(m.data))
	must(os.Mkdir(m.data, 0o700))
	time.Sleep(time.Second)
	f.startMachine(m, false)
}

// checkRead reads the config for longer than stable_window_ms, from recover_s after all machines are back, at all members. It returns
// what broke the rule if none gives a config as new as the acknowledged one, or some gives an older one.
func (f *fleet) checkRead(version int, routes []route) (broken []string) {
	const recovery = 15 * time.Second
	time.Sleep(recovery)
	want := []byte(fmt.Sprintf(`"version":"%08x"`, version))
	read := 0
	for end := time.Now().Add(stableWindow + 3*time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, c := range f.controls {
			status, body := get("http://" + c.addr(controlPort) + "/config/get")
			f.rec.log("operator: reads the config at %s: %d, %.80q", c.name, status, body)
			switch {
			case status != http.StatusOK:
			case bytes.Contains(body, want):
				read++
			default:
				broken = append(broken, fmt.Sprintf("CONFIG: %s shows another config than the one that was acknowledged: %.80s", c.name, body))
			}
		}
	}
	if read == 0 {
		broken = append(broken, fmt.Sprintf("CONFIG: no member gives the acknowledged config %08x, read from %v to %v after all machines were back", version, recovery, recovery+stableWindow+3*time.Second))
	}
	f.rec.log("a further config is acknowledged: %t", f.putConfig(version+2, routes, 4*time.Second))
	if read == 0 {
		f.showRestart(f.entries[0], routes[0].prefix)
	}
	return broken
}

// showRestart restarts an entry and records how it answers a call afterwards, which shows what the loss means for callers.
func (f *fleet) showRestart(e *machine, prefix string) {
	f.rec.log("%s is restarted, for the record only", e.name)
	f.powerOff(e)
	f.startMachine(e, false)
	time.Sleep(8 * time.Second)
	ready, _ := get("http://" + e.addr(readyPort) + "/ready")
	a := f.send(e.addr(frontPort), &call{method: "GET", path: prefix + "x", deadline: 1500 * time.Millisecond})
	f.rec.log("%s 8 s later: /ready answers %d, a call is answered with %d", e.name, ready, a.status)
}
