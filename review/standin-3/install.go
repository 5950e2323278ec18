package main

import (
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// startFleet starts three control members, two entries and three backend servers, and waits until the first config is acknowledged and all
// entries are ready.
func startFleet(p *platform) bool {
	for _, name := range []string{"core-1", "core-2", "core-3"} {
		p.addMachine("control", name, "dolina", 280)
	}
	for _, name := range []string{"front-1", "front-2"} {
		p.addMachine("entry", name, "dolina", 284)
	}
	for _, m := range p.machines {
		if err := m.start(); err != nil {
			p.log("not started: %v", err)
			return false
		}
	}
	for i := range 3 {
		if err := p.startBackend(i); err != nil {
			p.log("not started: %v", err)
			return false
		}
	}
	if p.putConfig(1, configText(1), 15*time.Second) != 200 {
		return false
	}
	for _, m := range p.machines {
		m.bootstrap = false
	}
	for _, e := range p.withRole("entry") {
		if !wait(10*time.Second, e.isReady) {
			p.log("%s is not ready", e.name)
			return false
		}
	}
	return true
}

// inode returns the inode of a file, 0 if it doesn't exist.
func inode(path string) uint64 {
	var st syscall.Stat_t
	if syscall.Stat(path, &st) != nil {
		return 0
	}
	return st.Ino
}

// loseDisk kills a control member, empties its data directory and starts it again, as after the loss of a disk. With kill set, the process is
// killed once more when it has written the snapshot that it gets from the leader and before it has replaced its log. It returns false if the
// kill came too late.
func (m *machine) loseDisk(kill bool) (hit bool) {
	m.p.log("platform: %s is killed and loses its disk", m.name)
	m.kill(true)
	_ = os.RemoveAll(m.dataDir)
	if err := m.start(); err != nil {
		m.p.log("%s not started: %v", m.name, err)
		return false
	}
	if !kill {
		return true
	}
	snapshot, log := filepath.Join(m.dataDir, "snapshot"), filepath.Join(m.dataDir, "log")
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	before := uint64(0)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if inode(snapshot) == 0 {
			before = inode(log)
			continue
		}
		_ = syscall.Kill(pid, syscall.SIGSTOP)
		m.kill(false)
		hit = before != 0 && inode(log) == before
		m.p.log("platform: %s is killed while it catches up; log replaced: %t", m.name, !hit)
		return hit
	}
	m.p.log("%s has got no snapshot", m.name)
	return false
}

// answers reports whether a control member answers a read of the config.
func (m *machine) answers() bool {
	status, _ := m.getConfig()
	return status == 200
}

// interruptedInstall checks LOST and the read at the end of the day: two control members, one after the other, lose their disks and are killed
// once more while they catch up. Later all processes are killed at the same moment. With TROUBLE=2 the second kill is left out.
func interruptedInstall(p *platform, trouble string) int {
	if !startFleet(p) {
		return unable
	}
	c := newClient(p)
	before := c.sendFor(2*time.Second, 20*time.Millisecond)
	control := p.withRole("control")
	for _, m := range control[1:] {
		if trouble != "0" {
			for try := 0; !m.loseDisk(trouble != "2"); try++ {
				if try == 3 {
					return unable
				}
				time.Sleep(catchUp)
			}
			if !wait(10*time.Second, m.answers) {
				p.log("%s does not answer after its return", m.name)
				return unable
			}
		}
		time.Sleep(catchUp + time.Second)
	}
	version := 1
	for range 3 {
		version++
		if status := p.putConfig(version, configText(version), 10*time.Second); status != 200 {
			p.log("version %08x not acknowledged: status %d", version, status)
			return unable
		}
	}
	if trouble != "0" {
		p.log("platform: all processes are killed at the same moment")
		var wg sync.WaitGroup
		for _, m := range p.machines {
			wg.Go(func() { m.kill(false) })
		}
		wg.Wait()
	}
	// The operator reads the config back for longer than recover_s after the machines are back.
	newest := -1
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end) && newest < version; time.Sleep(500 * time.Millisecond) {
		for _, m := range control {
			status, v := m.getConfig()
			p.log("operator: get at %s: status %d, version %d", m.name, status, v)
			newest = max(newest, v)
		}
	}
	after := c.sendFor(2*time.Second, 20*time.Millisecond)
	for _, m := range control {
		p.log("result: %s was started %d times and ended by itself %d times; %s", m.name, m.starts, m.ownEnds, m.lastOutput)
	}
	p.log("result: requests served before %d of %d, at the end %d of %d", before.served, before.sent, after.served, after.sent)
	p.log("result: version %d was acknowledged, the newest that was read back is %d", version, newest)
	if newest < version {
		p.log("RULE BROKEN: LOST: what was acknowledged is gone: the config doesn't come")
		return broken
	}
	return held
}
