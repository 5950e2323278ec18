// Program standin-2 plays the cases of the second review: it starts the system's processes, with stand-ins for clients, backend servers, the
// operator and the platform, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun is the panic value of a case that could not run.
type errNotRun struct{ text string }

func fatalf(format string, args ...any) { panic(errNotRun{fmt.Sprintf(format, args...)}) }

func check(err error) {
	if err != nil {
		_, file, line, _ := runtime.Caller(1)
		fatalf("%s:%d: %v", filepath.Base(file), line, err)
	}
}

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	begin time.Time
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// world is what a case works with.
type world struct {
	root    string
	rec     *recorder
	trouble bool

	mu      sync.Mutex
	cleanup []func()
}

func (w *world) defer_(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cleanup = append(w.cleanup, f)
}

// close ends what the case has started, once.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer func() { w.cleanup = nil }()
	for i := len(w.cleanup) - 1; i >= 0; i-- {
		w.cleanup[i]()
	}
}

// cases maps names to functions that report whether the rule was broken.
var cases = map[string]func(*world) bool{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(play func(*world) bool, root, record string) (code int) {
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	w := &world{root: root, rec: &recorder{f: file, begin: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	w.rec.log("trouble %t", w.trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.close()
		os.Exit(exitNotRun)
	}()
	defer func() {
		if v := recover(); v != nil {
			w.rec.log("the case could not run: %v", v)
			fmt.Fprintln(os.Stderr, "the case could not run:", v)
			code = exitNotRun
		}
		w.close()
	}()
	if play(w) {
		w.rec.log("RULE BROKEN")
		fmt.Println("rule broken")
		return exitBroken
	}
	w.rec.log("rule held")
	fmt.Println("rule held")
	return exitHeld
}

// eventually waits until f returns true.
func eventually(what string, timeout time.Duration, f func() bool) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	fatalf("%s: not within %v", what, timeout)
}
