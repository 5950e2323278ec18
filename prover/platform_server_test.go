package prover

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// platformServer is a simulated backend server that counts how often it executed each call.
type platformServer struct {
	id, address string
	// zone is the availability zone that the server announces; "a" unless it is set before the start.
	zone string
	// contacts counts all requests, probes included.
	contacts  atomic.Int64
	listener  net.Listener
	startedMs int64
	seq       atomic.Int64
	// serviceTime is in nanoseconds.
	serviceTime atomic.Int64
	mu          sync.Mutex
	runCounts   map[string]int
	lastRun     time.Time
	arrivals    []time.Time
	// lastHeader is the header of the latest call that ran.
	lastHeader http.Header
	// dropResponse closes the connection after the call has run; full refuses calls as not executed.
	dropResponse, full atomic.Bool
	// leaving is set while the server says in all its responses that it leaves.
	leaving atomic.Bool
	// slow makes calls take longer than the service's objective latency.
	slow atomic.Bool
	// pause is what the server answers to all calls but probes, without running them; nil to run them. requests are the calls that it got,
	// and pauses those of them that it refused so, by the entry that sent them.
	pause            atomic.Pointer[pauseRequest]
	requests, pauses []entryRequest
	// refuseAgain makes the server refuse a call on each connection, and write the refusal once more when it has read the next call.
	refuseAgain atomic.Bool
	// strays are the responses beyond those that its requests call for; nil for none.
	strays  atomic.Pointer[strays]
	refuses func(share float64) bool
	// rateLimit is the limit that the server names in its responses to calls; nil for none.
	rateLimit atomic.Pointer[string]
	// crash ends the server when it runs a call to the path crashPath; nil for a server that doesn't crash.
	crashPath string
	crash     func()
	stop      func()
	// respond responds to a call in place of the server, or returns false; nil for never. It is set before the server starts.
	respond func(w http.ResponseWriter, req *http.Request) bool
}

var lastServer atomic.Int32

func (f *platformFleet) addServer(serviceTime time.Duration) *platformServer {
	s := f.newServer(loopback+":0", serviceTime)
	f.start(s)
	return s
}

// addCrashingServer adds a server that crashes when it runs a call to path, and starts again with another id after a time.
func (f *platformFleet) addCrashingServer(path string, down time.Duration, onCrash func()) {
	f.startCrashing(f.newServer(loopback+":0", 20*time.Millisecond), path, down, onCrash)
}

func (f *platformFleet) startCrashing(s *platformServer, path string, down time.Duration, onCrash func()) {
	s.crashPath = path
	s.crash = sync.OnceFunc(func() {
		onCrash()
		s.stop()
		time.AfterFunc(down, func() {
			defer GinkgoRecover()
			f.startCrashing(f.newServer(s.address, time.Duration(s.serviceTime.Load())), path, down, onCrash)
		})
	})
	f.start(s)
}

// newServer returns a server that listens at address and is not yet announced.
func (f *platformFleet) newServer(address string, serviceTime time.Duration) *platformServer {
	var l net.Listener
	Eventually(func() (err error) {
		l, err = net.Listen("tcp", address)
		return err
	}, "5s", "50ms").Should(Succeed())
	s := &platformServer{
		id: fmt.Sprintf("i-%d", lastServer.Add(1)), address: l.Addr().String(), listener: l, startedMs: time.Now().UnixMilli(),
		runCounts: make(map[string]int), zone: "a",
	}
	listener := &strayListener{Listener: l, play: s.strays.Load, rand: rand.New(rand.NewPCG(*straySeed, uint64(lastServer.Load())))}
	s.listener, s.refuses = listener, listener.happens
	s.setServiceTime(serviceTime)
	return s
}

func (s *platformServer) setServiceTime(d time.Duration) { s.serviceTime.Store(int64(d)) }

// stopServers stops all servers, and those that are about to start again.
func (f *platformFleet) stopServers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	for _, s := range f.servers {
		s.stop()
	}
}

// start serves and announces a server until it crashes or the spec ends.
func (f *platformFleet) start(s *platformServer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	srv := &http.Server{Handler: s}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = func() {
		cancel()
		_ = srv.Close()
	}
	if f.ended {
		_ = s.listener.Close()
		return
	}
	f.servers = append(f.servers, s)
	go func() { _ = srv.Serve(s.listener) }()
	go func() {
		for ctx.Err() == nil {
			if s.seq.Load() >= 0 {
				f.sendHeartbeat(s, "ready")
			}
			select {
			case <-ctx.Done():
			case <-time.After(300 * time.Millisecond):
			}
		}
	}()
}

// sendHeartbeat sends a heartbeat to the members in turn until one accepts it.
func (f *platformFleet) sendHeartbeat(s *platformServer, state string) bool {
	for _, c := range f.control {
		body := fmt.Sprintf(`{"address":"%s","born":%d,"info":{"service":"s","version":"v1","zone":"%s","concurrency":6},"status":{"state":"%s","seq":%d,"warmup_left_ms":0}}`,
			s.address, s.startedMs, s.zone, state, s.seq.Add(1))
		if postJSON(c.url(controlPort, "/instances/"+s.id+"/heartbeat"), body) == http.StatusOK {
			return true
		}
	}
	return false
}

// ServeHTTP implements http.Handler.
func (s *platformServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	s.contacts.Add(1)
	h := w.Header()
	h.Set("Backend-Load", "1,0,6,100")
	if s.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if req.URL.Path == "/health" {
		h.Set("Instance-Id", s.id)
		return
	}
	if expected := req.Header.Get("Expect-Instance"); expected != s.id {
		h.Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.recordPause(w, req) {
		return
	}
	if s.refuseAgain.Load() {
		s.serveRefusedAgain(w)
		return
	}
	if kind := s.strays.Load(); s.full.Load() || kind != nil && s.refuses(kind.refuse) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := req.Header.Get("Request-Id")
	s.mu.Lock()
	s.runCounts[id]++
	s.lastRun, s.lastHeader = time.Now(), req.Header
	s.arrivals = append(s.arrivals, s.lastRun)
	s.mu.Unlock()
	if limit := s.rateLimit.Load(); limit != nil {
		h.Set("Server-Limit", *limit)
	}
	time.Sleep(time.Duration(s.serviceTime.Load()))
	if s.crash != nil && req.URL.Path == s.crashPath {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	if s.slow.Load() {
		time.Sleep(400 * time.Millisecond)
	}
	if s.respond != nil && s.respond(w, req) {
		return
	}
	if s.dropResponse.Load() {
		panic(http.ErrAbortHandler)
	}
	h.Set("Request-Id", id)
	h.Set("Server-Stamp", "stamp-"+id)
	_ = json.NewEncoder(w).Encode(id)
}

// serveRefusedAgain refuses the current call, and serves the next ones on its connection, the first of them after a copy of the refusal.
func (s *platformServer) serveRefusedAgain(w http.ResponseWriter) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	write := func(text string) {
		_, _ = rw.WriteString(text)
		_ = rw.Flush()
	}
	write(refusal)
	for first := true; ; first = false {
		req, err := http.ReadRequest(rw.Reader)
		if err != nil {
			return
		}
		if first {
			write(refusal)
		}
		id := req.Header.Get("Request-Id")
		s.mu.Lock()
		s.runCounts[id]++
		s.mu.Unlock()
		time.Sleep(time.Duration(s.serviceTime.Load()))
		write(fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp-%s\r\nContent-Length: 2\r\n\r\nok", id, id))
	}
}

// pauseRequest is a refusal that asks for no calls for a time.
type pauseRequest struct{ retryAfter time.Duration }

// entryRequest is a call that reached a server, with its id and the name of the entry that sent it.
type entryRequest struct {
	id, entry string
	at        time.Time
}

// recordPause records a call, whose id begins with the name of the entry that it was sent to, and refuses it if the server asks for a pause.
func (s *platformServer) recordPause(w http.ResponseWriter, req *http.Request) (refused bool) {
	id := req.Header.Get("Request-Id")
	entry, _, _ := strings.Cut(id, "_")
	s.mu.Lock()
	defer s.mu.Unlock()
	r := entryRequest{id, entry, time.Now()}
	s.requests = append(s.requests, r)
	p := s.pause.Load()
	if p == nil {
		return false
	}
	s.pauses = append(s.pauses, r)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", fmt.Sprint(p.retryAfter.Seconds()))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// repeats returns the times at which a call reached a server that had reached one before.
func (f *platformFleet) repeats() (repeats []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := make(map[string]time.Time)
	var all []entryRequest
	for _, s := range f.servers {
		s.mu.Lock()
		all = append(all, s.requests...)
		s.mu.Unlock()
	}
	for _, r := range all {
		if t, seen := first[r.id]; !seen || r.at.Before(t) {
			first[r.id] = r.at
		}
	}
	for _, r := range all {
		if r.at.After(first[r.id]) {
			repeats = append(repeats, r.at)
		}
	}
	return repeats
}

// worstPause returns the most calls that one entry sent between notice after a refusal and the end of the pause that it asked for.
func (s *platformServer) worstPause(notice, pause time.Duration) (worst int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pauses {
		n := 0
		for _, r := range s.requests {
			if r.entry == p.entry && r.at.After(p.at.Add(notice)) && r.at.Before(p.at.Add(pause)) {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst
}

func (s *platformServer) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[id]
}

// runs returns how often all servers together executed a call.
func (f *platformFleet) runs(id string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		n += s.runs(id)
	}
	return n
}
