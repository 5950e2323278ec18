package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["voters"] = voters }

// voters replaces one of three control members, and restarts another one as planned soon after the first is gone. While that one is down, the third
// loses its disk. The rule CONFIG is checked: that the acknowledged config can be read recoverBound after all machines are back.
func voters(w *world) bool {
	const (
		// catchUp is how long the successor has run when its predecessor is removed; catch_up_s is 4 s.
		catchUp = 5 * time.Second
		// gap is the time between the removal and the SIGTERM, unless GAP says otherwise.
		gap = 200 * time.Millisecond
		// lost is when, after the removal, the disk is lost, and back when the machine that was stopped as planned is back.
		lost, back = 5 * time.Second, 7 * time.Second
		// wipedFor is how long the machine that loses its disk is down.
		wipedFor = time.Second
		// recoverBound is recover_s, and reading how long the config is read after it.
		recoverBound, reading = 15 * time.Second, 6 * time.Second
	)
	pause := gap
	if v := os.Getenv("GAP"); v != "" {
		d, err := time.ParseDuration(v)
		check(err)
		pause = d
	}
	f := startFleet(w.root, w.rec, fleetConfig{control: 3, entries: 1})
	w.defer_(f.stop)
	op := &operator{f, w.rec}
	op.mustOrder("the first config", "/config/put", config("00000007", "stock"), 0)
	time.Sleep(3 * time.Second)
	successor := f.addControl()
	w.rec.log("%s, the successor, starts", successor.name)
	time.Sleep(catchUp)
	version := "00000009"
	op.mustOrder("config "+version, "/config/put", config(version, "stock"), 0)
	leader := f.leader()
	if leader == nil || leader == successor {
		fatalf("no leader, or the successor leads")
	}
	var others []*machine
	for _, m := range f.control {
		if m != leader && m != successor {
			others = append(others, m)
		}
	}
	removed, stopped := others[0], others[1]
	w.rec.log("the leader is %s", leader.name)
	removed.kill()
	gone := time.Now()
	w.rec.log("%s is removed for good", removed.name)
	time.Sleep(pause)
	stopped.signal(syscall.SIGTERM)
	w.rec.log("%s gets SIGTERM", stopped.name)
	eventually(stopped.name+" ends", graceBound, func() bool { return !stopped.running() })
	w.rec.log("%s has ended", stopped.name)
	time.Sleep(time.Until(gone.Add(lost)))
	if w.trouble {
		leader.kill()
		check(os.RemoveAll(leader.data))
		w.rec.log("%s loses its disk", leader.name)
		time.Sleep(wipedFor)
		f.writeSettings(leader, false)
		leader.start(w.root)
		w.rec.log("%s is back with an empty disk", leader.name)
	}
	time.Sleep(time.Until(gone.Add(back)))
	f.writeSettings(stopped, false)
	stopped.start(w.root)
	w.rec.log("%s is back with its disk", stopped.name)
	time.Sleep(recoverBound)
	read := 0
	for end := time.Now().Add(reading); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, m := range f.control {
			if m == removed {
				continue
			}
			status, body := do(http.MethodGet, "http://"+m.at(controlPort)+"/config/get", nil, time.Second)
			var c struct{ Version string }
			_ = json.Unmarshal(body, &c)
			w.rec.log("%s answers a read with status %d, version %q %.60s", m.name, status, c.Version, body)
			if status == http.StatusOK && c.Version == version {
				read++
			}
		}
	}
	w.rec.log("%d reads brought the acknowledged config", read)
	for _, m := range f.control {
		for _, line := range append(f.grep(m, "giving the vote"), f.grep(m, "removing")...) {
			w.rec.log("%s log: %s", m.name, line)
		}
	}
	return read == 0
}

// addControl starts an empty control member at a new address.
func (f *fleet) addControl() *machine {
	n := len(f.control)
	m := &machine{name: fmt.Sprintf("core-%d", n+1), zone: zones[n%3], ip: fmt.Sprintf("%s.1.%d", f.network, n+1), role: "control", core: n}
	m.data = filepath.Join(f.dir, m.name)
	m.settings = filepath.Join(f.dir, m.name+".yaml")
	m.logPath = filepath.Join(f.dir, m.name+".log")
	f.writeSettings(m, false)
	f.control = append(f.control, m)
	m.start(f.root)
	return m
}
