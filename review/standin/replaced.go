package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { scenarios["replaced-core"] = replacedCore }

// replacedCore replaces one of three control members by an empty machine at a new address. Once the successor has had its catch-up time,
// another member loses its disk. No two losses overlap, and two of the three disks are whole. With CORES=5 three of five members are
// replaced, each after its successor has had that time, and four of the five disks are whole.
func replacedCore(f *fleet, trouble bool) (broken []string) {
	const catchUp = 4 * time.Second
	cores, replaced := 3, 1
	if os.Getenv("CORES") == "5" {
		cores, replaced = 5, 3
	}
	f.start(cores, 1, false)
	routes := []route{{"/stock/", "safe", "stock", 1500}}
	if !f.putConfig(0x7, routes, 20*time.Second) {
		panic("no first config")
	}
	f.addBackend("stock", "", 50*time.Millisecond, nil)
	if !f.waitReady("/stock/warm", 20*time.Second) {
		panic("the entry isn't ready")
	}
	time.Sleep(4 * time.Second)

	// The planned work. With three members, which leave no spare machine, the successor starts a second after its predecessor has gone.
	if cores == 3 {
		f.remove(0)
		time.Sleep(time.Second)
	}
	var successors []*machine
	for i := range replaced {
		s := &machine{name: fmt.Sprintf("core-%d", cores+1+i), ip: f.newIP(), role: "control"}
		s.data = filepath.Join(f.dir, s.name+"-data")
		must(os.Mkdir(s.data, 0o700))
		f.startMachine(s, false)
		successors = append(successors, s)
	}
	time.Sleep(catchUp + 500*time.Millisecond)
	for i, s := range successors {
		if cores > 3 {
			f.remove(i)
		}
		f.controls[i] = s
	}
	if !f.putConfig(0x9, routes, 4*time.Second) {
		panic("no ack of the second config, though all machines run")
	}
	if trouble {
		f.loseDisk(f.controls[replaced])
	}
	f.rec.log("all machines are back")
	return f.checkRead(0x9, routes)
}

// remove stops a control member, which doesn't come back.
func (f *fleet) remove(i int) {
	m := f.controls[i]
	f.rec.log("%s is removed for good", m.name)
	m.signal(syscall.SIGTERM)
	<-m.done
}
