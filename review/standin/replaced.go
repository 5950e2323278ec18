package main

import (
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { scenarios["replaced-core"] = replacedCore }

// replacedCore replaces one of three control members by an empty machine at a new address. Once the successor has had its catch-up time,
// another member loses its disk. No two losses overlap, and two of the three disks are whole.
func replacedCore(f *fleet, trouble bool) (broken []string) {
	const catchUp = 4 * time.Second
	f.start(3, 1, false)
	routes := []route{{"/stock/", "safe", "stock", 1500}}
	if !f.putConfig(0x7, routes, 20*time.Second) {
		panic("no first config")
	}
	f.addBackend("stock", "", 50*time.Millisecond, nil)
	if !f.waitReady("/stock/warm", 20*time.Second) {
		panic("the entry isn't ready")
	}
	time.Sleep(4 * time.Second)

	// The planned work: the successor starts a second after its predecessor has gone.
	a, b := f.controls[0], f.controls[1]
	f.rec.log("%s is removed for good", a.name)
	a.signal(syscall.SIGTERM)
	<-a.done
	time.Sleep(time.Second)
	successor := &machine{name: "core-4", ip: f.newIP(), role: "control", data: filepath.Join(f.dir, "core-4-data")}
	must(os.Mkdir(successor.data, 0o700))
	f.startMachine(successor, false)
	f.controls[0] = successor
	time.Sleep(catchUp + 500*time.Millisecond)
	if !f.putConfig(0x9, routes, 4*time.Second) {
		panic("no ack of the second config, though all three machines run")
	}
	if trouble {
		f.loseDisk(b)
	}
	f.rec.log("all machines are back")
	return f.checkRead(0x9, routes)
}
