package prover

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Slots and queue of each backend server, and the mean time that a call takes.
const (
	refusalSlots    = 6
	refusalQueue    = 12
	refusalWorkTime = 25 * time.Millisecond
)

// refusalVisit is what a backend server notes of a call that reached it.
type refusalVisit struct {
	id, server, address, entry string
	// conn is the number of the connection at its server, exchange that of the request on the connection.
	conn, exchange     int
	head, began, ended time.Time
	status             int
	action, note       string
	// over is set once the server has no more to do with the call.
	over bool
}

// refusalMachine is an address at which one backend server after the other runs.
type refusalMachine struct {
	run  *refusalRun
	zone string
	link *link
	// changing is held while a fault replaces the server.
	changing sync.Mutex
	server   atomic.Pointer[refusalServer]
	// mood holds the shares of calls with an action other than running them.
	mu   sync.Mutex
	mood map[string]float64
}

// refusalServer is one lifetime of a simulated backend server.
type refusalServer struct {
	machine  *refusalMachine
	id       string
	born     int64
	seq      atomic.Int64
	listener net.Listener
	// draining makes the server say that it leaves, ending that it refuses all calls; ended is closed when it exits.
	draining, ending atomic.Bool
	ended            chan struct{}
	slots            chan struct{}
	waiting          atomic.Int32
	mu               sync.Mutex
	conns            map[*net.TCPConn]bool
	accepted         int
}

var lastRefusalServer atomic.Int64

// startServer starts a lifetime with the given id, or a new one when empty, at the machine's address.
func (m *refusalMachine) startServer(id string) *refusalServer {
	if id == "" {
		id = fmt.Sprintf("i-%08x", lastRefusalServer.Add(1))
	}
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", m.link.target); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		m.run.violate("test harness: listen at %s: %v", m.link.target, err)
		return nil
	}
	s := &refusalServer{
		machine: m, id: id, born: time.Now().UnixMilli(), listener: l, ended: make(chan struct{}),
		slots: make(chan struct{}, refusalSlots), conns: make(map[*net.TCPConn]bool),
	}
	m.server.Store(s)
	go s.serve()
	go s.announce()
	return s
}

func (s *refusalServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		conn := c.(*net.TCPConn)
		s.mu.Lock()
		s.conns[conn] = true
		s.accepted++
		n := s.accepted
		s.mu.Unlock()
		go func() {
			sc := &refusalConn{
				TCPConn: conn, server: s, n: n, reader: bufio.NewReader(conn),
				rand: rand.New(rand.NewPCG(s.machine.run.seed, uint64(s.born)<<16+uint64(n))),
			}
			for sc.serveOne() {
			}
			_ = conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

// announce sends heartbeats until the server ends.
func (s *refusalServer) announce() {
	for {
		state := "ready"
		if s.draining.Load() {
			state = "draining"
		}
		s.machine.run.sendHeartbeat(s, state, s.seq.Add(1))
		select {
		case <-s.ended:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// stop ends the server; its connections are reset, or closed if it leaves as planned.
func (s *refusalServer) stop(reset bool) {
	select {
	case <-s.ended:
		return
	default:
	}
	close(s.ended)
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if reset {
			_ = c.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (s *refusalServer) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// setMood sets the share of calls with an action, 0 for none.
func (m *refusalMachine) setMood(action string, share float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if share == 0 {
		delete(m.mood, action)
		return
	}
	m.mood[action] = share
}

// draw returns the action for a call.
func (m *refusalMachine) draw(rnd *rand.Rand, actions []string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := rnd.Float64()
	for _, name := range actions {
		if x -= m.mood[name]; x < 0 {
			return name
		}
	}
	return "run"
}

func (m *refusalMachine) happens(rnd *rand.Rand, action string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return rnd.Float64() < m.mood[action]
}

// refusalConn is a connection to a backend server.
type refusalConn struct {
	*net.TCPConn
	server    *refusalServer
	n         int
	exchanges int
	reader    *bufio.Reader
	rand      *rand.Rand
	writeMu   sync.Mutex
}

// refusalCall is a call at a backend server.
type refusalCall struct {
	id       string
	req      *http.Request
	visit    *refusalVisit
	deadline time.Time
}

func (c *refusalConn) write(text string) bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, err := c.Write([]byte(text))
	return err == nil
}

// writeLater writes a response once more, also when the server is at work on another call of the connection.
func (c *refusalConn) writeLater(text string) {
	delay := time.Duration(c.rand.IntN(30)) * time.Millisecond
	if c.rand.IntN(3) == 0 {
		delay = 0
	}
	time.AfterFunc(delay, func() { c.write(text) })
}

func (c *refusalConn) serveOne() (more bool) {
	req, err := http.ReadRequest(c.reader)
	if err != nil {
		return false
	}
	c.exchanges++
	s := c.server
	id := req.Header.Get("Request-Id")
	switch {
	case req.URL.Path == "/health":
		return c.serveProbe(req)
	case strings.HasPrefix(req.URL.Path, "/s/"):
		return c.write(s.response(http.StatusOK, id, "Server-Stamp: stamp-"+id+"\r\n", "ran "+id))
	}
	ms, _ := strconv.Atoi(req.Header.Get("Deadline-Ms"))
	now := time.Now()
	call := &refusalCall{id: id, req: req, deadline: now.Add(time.Duration(ms) * time.Millisecond), visit: &refusalVisit{
		id: id, server: s.id, address: s.machine.link.address, entry: req.Header.Get("X-Entry"), conn: c.n, exchange: c.exchanges, head: now,
	}}
	s.machine.run.addVisit(call.visit)
	defer func() { s.machine.run.update(func() { call.visit.over = true }) }()
	misdirected := req.Header.Get("Expect-Instance") != s.id
	name := s.machine.draw(c.rand, s.machine.run.actions)
	switch {
	case misdirected && s.machine.happens(c.rand, "refuse-unchecked"):
		name = "refuse-again"
	case misdirected:
		return c.misdirect(call)
	case s.ending.Load():
		name = "refuse-and-close"
	}
	call.visit.action = name
	return refusalActions[name](c, call)
}

func (c *refusalConn) serveProbe(req *http.Request) bool {
	s, status, extra := c.server, http.StatusOK, ""
	if s.draining.Load() {
		status = http.StatusServiceUnavailable
	}
	if req.Close {
		extra = "Connection: close\r\n"
	}
	return c.write(s.response(status, "", "Instance-Id: "+s.id+"\r\n"+extra, "")) && !req.Close
}

// response returns a response with the given id and further header lines.
func (s *refusalServer) response(status int, id, header, body string) string {
	if id != "" {
		header += "Request-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sBackend-Load: %d,%d,%d,100\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), header, len(s.slots), s.waiting.Load(), refusalSlots, len(body), body)
}

// misdirect refuses a call for another instance. What the response names besides the instance depends on the server.
func (c *refusalConn) misdirect(call *refusalCall) bool {
	m := c.server.machine
	call.visit.action = "misdirect"
	header, id := "Instance-Id: "+c.server.id+"\r\n", ""
	if m.happens(c.rand, "misdirect-named") {
		id = call.id
		call.visit.action = "misdirect-named"
	}
	if m.happens(c.rand, "misdirect-not-executed") {
		header += "Not-Executed: 1\r\n"
	}
	if !c.readBody(call) {
		return false
	}
	if m.happens(c.rand, "refuse-late") {
		time.Sleep(time.Duration(c.rand.IntN(400)) * time.Millisecond)
	}
	c.end(call, http.StatusMisdirectedRequest)
	text := c.server.response(http.StatusMisdirectedRequest, id, header, "")
	if !c.write(text) {
		return false
	}
	if m.happens(c.rand, "misdirect-again") {
		call.visit.note = "written again"
		c.writeLater(text)
	}
	return true
}

func (c *refusalConn) end(call *refusalCall, status int) {
	c.server.machine.run.update(func() { call.visit.ended, call.visit.status = time.Now(), status })
}

func (c *refusalConn) note(call *refusalCall, text string) {
	c.server.machine.run.update(func() { call.visit.note = text })
}

// readBody reads the body of a call, and notes whether it or the method isn't what the caller sends.
func (c *refusalConn) readBody(call *refusalCall) bool {
	body, err := io.ReadAll(call.req.Body)
	if err != nil {
		c.note(call, "body: "+err.Error())
		return false
	}
	size, _ := strconv.Atoi(call.req.URL.Path[strings.LastIndexByte(call.req.URL.Path, '/')+1:])
	if call.req.Method != http.MethodPut || string(body) != refusalBody(call.id, size) || !strings.HasPrefix(call.req.URL.Path, "/o/"+call.id+"/") {
		c.server.machine.run.violate("CHANGED %s: %s %s with %d bytes at %s", call.id, call.req.Method, call.req.URL.Path, len(body), c.server.id)
	}
	return true
}

const notExecutedLine = "Not-Executed: 1\r\n"

// refuse refuses a call that isn't begun.
func (c *refusalConn) refuse(call *refusalCall, status int, header string) (text string, ok bool) {
	text = c.server.response(status, call.id, notExecutedLine+header, "")
	c.end(call, status)
	return text, c.write(text)
}

// execute waits for a slot and runs the call. It refuses the call and returns false if the queue is full or the deadline passes in it.
func (c *refusalConn) execute(call *refusalCall) (ran, more bool) {
	s := c.server
	if !c.readBody(call) {
		return false, false
	}
	if s.waiting.Add(1) > refusalQueue {
		s.waiting.Add(-1)
		_, more = c.refuse(call, http.StatusServiceUnavailable, "")
		return false, more
	}
	select {
	case s.slots <- struct{}{}:
		s.waiting.Add(-1)
	case <-time.After(time.Until(call.deadline)):
		s.waiting.Add(-1)
		_, more = c.refuse(call, http.StatusServiceUnavailable, "")
		return false, more
	case <-s.ended:
		s.waiting.Add(-1)
		return false, false
	}
	defer func() { <-s.slots }()
	if s.hasEnded() {
		return false, false
	}
	s.machine.run.update(func() { call.visit.began = time.Now() })
	work := time.Duration(float64(refusalWorkTime) * c.rand.ExpFloat64())
	if s.machine.happens(c.rand, "slow") {
		work *= 10
	}
	time.Sleep(min(work, time.Until(call.deadline)))
	return true, true
}

// run runs the call and returns the response that says so.
func (c *refusalConn) run(call *refusalCall, status int) (text string, more bool) {
	ran, more := c.execute(call)
	if !ran {
		return "", more
	}
	c.end(call, status)
	return c.server.response(status, call.id, "Server-Stamp: stamp-"+call.id+"\r\n", "ran "+call.id), true
}

// respondAfterRun returns an action that runs a call and then passes the response to do.
func respondAfterRun(status int, do func(c *refusalConn, call *refusalCall, text string) bool) func(*refusalConn, *refusalCall) bool {
	return func(c *refusalConn, call *refusalCall) bool {
		text, more := c.run(call, status)
		if text == "" {
			return more
		}
		return do(c, call, text)
	}
}

func writeResponse(c *refusalConn, _ *refusalCall, text string) bool { return c.write(text) }

// refuseAfterBody returns an action that refuses calls whose bodies have been read.
func refuseAfterBody(status int, header func(*rand.Rand) string, again bool) func(*refusalConn, *refusalCall) bool {
	return func(c *refusalConn, call *refusalCall) bool {
		if !c.readBody(call) {
			return false
		}
		if c.server.machine.happens(c.rand, "refuse-late") {
			time.Sleep(time.Duration(c.rand.IntN(400)) * time.Millisecond)
		}
		text, ok := c.refuse(call, status, header(c.rand))
		if ok && again {
			c.note(call, "written again")
			c.writeLater(text)
		}
		return ok
	}
}

func noHeader(*rand.Rand) string { return "" }

// refusalActions are what a backend server does with a call, by name. All of them are truthful.
var refusalActions = map[string]func(*refusalConn, *refusalCall) bool{
	"run": respondAfterRun(http.StatusOK, writeResponse),
	"refuse-at-head": func(c *refusalConn, call *refusalCall) bool {
		_, ok := c.refuse(call, http.StatusServiceUnavailable, "")
		return ok && c.readBody(call)
	},
	"refuse-at-head-and-close": func(c *refusalConn, call *refusalCall) bool {
		c.refuse(call, http.StatusServiceUnavailable, "Connection: close\r\n")
		return false
	},
	"refuse-after-body": refuseAfterBody(http.StatusServiceUnavailable, noHeader, false),
	"refuse-again":      refuseAfterBody(http.StatusServiceUnavailable, noHeader, true),
	"refuse-429":        refuseAfterBody(http.StatusTooManyRequests, noHeader, true),
	"refuse-with-pause": refuseAfterBody(http.StatusServiceUnavailable, func(rnd *rand.Rand) string {
		return fmt.Sprintf("Retry-After: %.2f\r\n", 0.05+0.4*rnd.Float64())
	}, false),
	"refuse-and-close": func(c *refusalConn, call *refusalCall) bool {
		if c.readBody(call) {
			c.refuse(call, http.StatusServiceUnavailable, "Connection: close\r\n")
		}
		return false
	},
	"refuse-at-deadline": func(c *refusalConn, call *refusalCall) bool {
		if !c.readBody(call) {
			return false
		}
		time.Sleep(time.Until(call.deadline) + time.Duration(c.rand.IntN(60)-40)*time.Millisecond)
		_, ok := c.refuse(call, http.StatusServiceUnavailable, "")
		return ok
	},
	"succeed-again": respondAfterRun(http.StatusOK, func(c *refusalConn, _ *refusalCall, text string) bool {
		ok := c.write(text)
		c.writeLater(text)
		return ok
	}),
	"lose-by-close": respondAfterRun(http.StatusOK, func(*refusalConn, *refusalCall, string) bool { return false }),
	"lose-by-reset": respondAfterRun(http.StatusOK, func(c *refusalConn, _ *refusalCall, _ string) bool {
		_ = c.SetLinger(0)
		return false
	}),
	"lose-silently": respondAfterRun(http.StatusOK, func(_ *refusalConn, call *refusalCall, _ string) bool {
		time.Sleep(time.Until(call.deadline) + time.Second)
		return false
	}),
	"lose-half": respondAfterRun(http.StatusOK, func(c *refusalConn, _ *refusalCall, text string) bool {
		c.write(text[:c.rand.IntN(len(text))])
		return false
	}),
	"respond-early": func(c *refusalConn, call *refusalCall) bool {
		c.server.machine.run.update(func() { call.visit.began = time.Now() })
		c.end(call, http.StatusOK)
		ok := c.write(c.server.response(http.StatusOK, call.id, "Server-Stamp: stamp-"+call.id+"\r\n", "ran "+call.id))
		return ok && c.readBody(call)
	},
	"reset-at-head": func(c *refusalConn, _ *refusalCall) bool {
		_ = c.SetLinger(0)
		return false
	},
	"close-at-head": func(*refusalConn, *refusalCall) bool { return false },
	"read-late": func(c *refusalConn, call *refusalCall) bool {
		time.Sleep(time.Duration(c.rand.IntN(400)) * time.Millisecond)
		text, more := c.run(call, http.StatusOK)
		return text == "" && more || text != "" && c.write(text)
	},
	"fail-500": respondAfterRun(http.StatusInternalServerError, writeResponse),
	"fail-503": respondAfterRun(http.StatusServiceUnavailable, writeResponse),
	"fail-429": respondAfterRun(http.StatusTooManyRequests, writeResponse),
	"fail-408": respondAfterRun(http.StatusRequestTimeout, writeResponse),
}

// oddRefusalActions are those of servers that contradict themselves; the documentation of the platform doesn't allow them.
var oddRefusalActions = map[string]func(*refusalConn, *refusalCall) bool{
	"odd-421": respondAfterRun(http.StatusMisdirectedRequest, writeResponse),
	"odd-not-executed": respondAfterRun(http.StatusServiceUnavailable, func(c *refusalConn, _ *refusalCall, text string) bool {
		return c.write(strings.Replace(text, "\r\n", "\r\n"+notExecutedLine, 1))
	}),
}

// sendHeartbeat sends a heartbeat to the members in a random order until one accepts it, and returns that member.
func (r *refusalRun) sendHeartbeat(s *refusalServer, state string, seq int64) *platformProcess {
	return r.postToAny(fmt.Sprintf("/instances/%s/heartbeat", s.id),
		fmt.Sprintf(`{"address":"%s","born":%d,"info":{"service":"s","version":"v1","zone":"%s","concurrency":%d},"status":{"state":"%s","seq":%d,"warmup_left_ms":0}}`,
			s.machine.link.address, s.born, s.machine.zone, refusalSlots, state, seq))
}

func (r *refusalRun) postToAny(path, body string) *platformProcess {
	for _, i := range rand.Perm(len(r.fleet.control)) {
		c := r.fleet.control[i]
		if postJSON(c.url(controlPort, path), body) == http.StatusOK {
			return c
		}
	}
	return nil
}
