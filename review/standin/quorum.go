package main

import (
	"os"
	"time"
)

func init() { scenarios["lost-quorum"] = lostQuorum }

// lostQuorum lets three of five control members be down at a time, two of them from the start and one later, and then one of the
// remaining two lose its disk. All machines come back, and four of the five disks are whole.
func lostQuorum(f *fleet, trouble bool) (broken []string) {
	// step is how long after the first two losses the third comes, and after that the disk is lost. OUTAGE sets another.
	step := 11500 * time.Millisecond
	if s := os.Getenv("OUTAGE"); s != "" {
		var err error
		step, err = time.ParseDuration(s)
		must(err)
	}
	f.start(5, 1, false)
	routes := []route{{"/stock/", "safe", "stock", 1500}}
	if !f.putConfig(0x7, routes, 20*time.Second) {
		panic("no first config")
	}
	f.addBackend("stock", "", 50*time.Millisecond, nil)
	if !f.waitReady("/stock/warm", 20*time.Second) {
		panic("the entry isn't ready")
	}
	time.Sleep(6 * time.Second)
	if trouble {
		f.powerOff(f.controls[3], f.controls[4])
	}
	time.Sleep(step)
	if trouble {
		f.powerOff(f.controls[2])
	}
	time.Sleep(step)
	// With three of five machines down this may fail. What isn't acknowledged isn't owed.
	newest := 0x7
	if f.putConfig(0x9, routes, time.Second) {
		newest = 0x9
	}
	if trouble {
		f.loseDisk(f.controls[1])
		for _, m := range f.controls[2:] {
			f.startMachine(m, false)
		}
	}
	f.rec.log("all machines are back")
	return f.checkRead(newest, routes)
}
