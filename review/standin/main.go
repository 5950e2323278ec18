package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// scenario plays one case and returns what broke the rule, nothing if it held.
type scenario func(f *fleet, trouble bool) (broken []string)

var scenarios = map[string]scenario{}

func main() {
	// The processes of the system get a signal when the thread that started them ends; this one lasts as long as the program.
	runtime.LockOSThread()
	os.Exit(play())
}

// play runs the scenario of the command line: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
func play() (code int) {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		return 2
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	defer out.Close()
	rec := &record{f: out, start: time.Now()}
	f := newFleet(rec)
	defer f.close()
	defer func() {
		if p := recover(); p != nil {
			rec.log("could not run: %v", p)
			fmt.Println("could not run:", p)
			code = 2
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	broken := scenarios[os.Args[1]](f, trouble)
	for _, b := range broken {
		rec.log("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
	return 0
}
