// Command standin-3 runs the scripted cases of the third review against the programs of the deploy file: it plays the platform, the operator,
// the backend servers and the clients. It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the case couldn't run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

var cases = map[string]func(p *platform, trouble string) int{
	"interrupted-install": interruptedInstall,
	"late-heartbeat":      lateHeartbeat,
	"interrupted-start":   interruptedStart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(unable)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// timeLimit ends a case before the 120 s that a script may take.
const timeLimit = 115 * time.Second

func run(name, path string) int {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer f.Close()
	record := bufio.NewWriter(f)
	defer record.Flush()
	p, err := newPlatform(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	trouble := os.Getenv("TROUBLE")
	p.log("case %s, TROUBLE=%q", name, trouble)
	done := make(chan int, 1)
	go func() { done <- cases[name](p, trouble) }()
	code := unable
	select {
	case code = <-done:
	case <-time.After(timeLimit):
		p.log("the case has not ended within %v", timeLimit)
	}
	p.stopAll()
	p.log("exit code %d", code)
	return code
}
