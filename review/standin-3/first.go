package main

import (
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	// startSpread is the time within which the machines start, in any order.
	startSpread = 250 * time.Millisecond
	// downTime is how long the killed processes are down: they are back within a second.
	downTime = 700 * time.Millisecond
	// trafficStart is when traffic starts after the machines do.
	trafficStart = 8 * time.Second
)

// hasBegun reports whether a member has begun to write its data directory, and isWritten whether that holds its part in the first start.
func (m *machine) hasBegun() bool { return exists(m.dataDir, "lock") }

func (m *machine) isWritten() bool { return exists(m.dataDir, "initial") }

func exists(dir, name string) bool {
	_, err := os.Lstat(filepath.Join(dir, name))
	return err == nil
}

// killDuringStart starts all machines for the first time: one seed first, all others startSpread later. With trouble set, all processes of the
// core are killed at the same moment, when the seeds that started last have begun to write their disks. They are back after downTime. hit is
// whether a majority of the seeds had not written their part in the first start.
func (p *platform) killDuringStart(trouble bool) (hit bool, err error) {
	control := p.withRole("control")
	if err = control[0].start(); err != nil {
		return false, err
	}
	time.Sleep(startSpread)
	for _, m := range p.machines[1:] {
		if err = m.start(); err != nil {
			return false, err
		}
	}
	if !trouble {
		return false, nil
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end) && !(control[1].hasBegun() && control[2].hasBegun()); {
	}
	var wg sync.WaitGroup
	for _, m := range control {
		wg.Go(func() { m.kill(true) })
	}
	wg.Wait()
	missing := 0
	for _, m := range control {
		m.bootstrap = false
		p.log("platform: %s is killed; it has begun to write its disk: %t; file initial: %t", m.name, m.hasBegun(), m.isWritten())
		if m.hasBegun() && !m.isWritten() {
			missing++
		}
	}
	time.Sleep(downTime)
	for _, m := range control {
		if err = m.start(); err != nil {
			return false, err
		}
	}
	return missing > 1, nil
}

// interruptedStart checks Fault, "no request is served": all processes of the core are killed once while the whole system starts for the first
// time, before two of the three seeds have noted on their disks that they take part in it.
func interruptedStart(p *platform, trouble string) int {
	for try := 1; ; try++ {
		for _, name := range []string{"core-1", "core-2", "core-3"} {
			p.addMachine("control", name, "dolina", 280)
		}
		for _, name := range []string{"front-1", "front-2"} {
			p.addMachine("entry", name, "dolina", 284)
		}
		hit, err := p.killDuringStart(trouble != "0")
		if err != nil {
			p.log("not started: %v", err)
			return unable
		}
		if hit || trouble == "0" {
			break
		}
		if try == 20 {
			return unable
		}
		// The kill came too early or too late: another deployment is tried.
		p.log("the kill did not fall into the time that this case needs; the deployment is given up")
		for _, m := range p.machines {
			m.kill(true)
			_ = os.RemoveAll(m.dataDir)
		}
		p.machines = nil
	}
	for i := range 3 {
		if err := p.startBackend(i); err != nil {
			p.log("not started: %v", err)
			return unable
		}
	}
	acked := make(chan int, 1)
	go func() { acked <- p.putConfig(1, configText(1), 60*time.Second) }()
	time.Sleep(trafficStart)
	c := newClient(p)
	total := counts{}
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end) && total.served == 0; {
		n := c.sendFor(time.Second, 100*time.Millisecond)
		total.sent, total.served = total.sent+n.sent, total.served+n.served
	}
	status := 0
	if total.served > 0 {
		status = <-acked
	} else {
		select {
		case status = <-acked:
		case <-time.After(10 * time.Second):
		}
	}
	for _, m := range p.withRole("control") {
		p.log("result: %s was started %d times and ended by itself %d times", m.name, m.starts, m.ownEnds)
	}
	p.log("result: the first config got status %d; of %d requests from %v after the start on, %d were served", status, total.sent, trafficStart, total.served)
	if total.served == 0 {
		p.log("RULE BROKEN: Fault: no request is served")
		return broken
	}
	return held
}
