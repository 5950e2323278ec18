package receiver

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/tracer"
)

func TestReceiverSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "receiver")
}

const inventory = `
services:
  - {name: s, objective: {latency: 10ms, share: 0.9}, slots: 1, connections: 1}
`

const rules = `
rules:
  - {service: s, path: /orders, repeat: at-most-once, deadline: 300ms}
  - {service: s, repeat: idempotent, deadline: 300ms}
`

// testReceiver is a receiver with a fake dispatcher that records calls and echoes their bodies.
type testReceiver struct {
	address string
	// respond is the response to all calls; nil for an echo.
	respond *dispatcher.Response
	mu      sync.Mutex
	calls   []*dispatcher.Call
	traces  []*tracer.Trace
	// unconfirmed is whether nobody confirms that the configuration is the newest.
	unconfirmed bool
}

func newTestReceiver() *testReceiver {
	cfg, err := parser.ParseConfiguration(1, []byte(inventory), []byte(rules))
	Expect(err).NotTo(HaveOccurred())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	tr := &testReceiver{address: l.Addr().String()}
	r := New(Config{
		Listener:      l,
		Configuration: func() *parser.Configuration { return cfg },
		Entries:       func() []*delivererpb.EntryMember { return nil },
		CanServe:      func() bool { return !tr.unconfirmed },
		IsStopping:    func() bool { return false },
		Do:            tr.do,
		Announce:      func(registrar.Server) time.Duration { return time.Second },
		Leave:         func(registrar.Key) bool { return true },
		OnFinish:      tr.recordTrace,
	})
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(r.Close(ctx)).To(Succeed())
	})
	return tr
}

func (tr *testReceiver) do(_ context.Context, c *dispatcher.Call) (*dispatcher.Response, error) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.calls = append(tr.calls, c)
	if tr.respond != nil {
		return tr.respond, nil
	}
	return &dispatcher.Response{
		Outcome: dispatcher.Ran,
		Status:  http.StatusOK,
		Header: http.Header{
			"Connection": {"X-Private"}, "X-Private": {"1"}, "Keep-Alive": {"1"}, "Upgrade": {"h2c"}, "Trailer": {"X-Sum"},
			"Proxy-Authenticate": {"1"}, "Peridot-Load": {"in-flight=1"}, "X-Public": {"1"}, "Content-Length": {strconv.Itoa(len("echo ") + len(c.Body))},
		},
		Body: io.NopCloser(bytes.NewReader(append([]byte("echo "), c.Body...))),
	}, nil
}

func (tr *testReceiver) recordTrace(t *tracer.Trace) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.traces = append(tr.traces, t)
}

func (tr *testReceiver) receivedCalls() []*dispatcher.Call {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.calls
}

// sendRaw sends text on a new connection and returns all that it receives until the connection is closed or idle for idleTimeout.
func (tr *testReceiver) sendRaw(text string, idleTimeout time.Duration) string {
	conn, err := net.Dial("tcp", tr.address)
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	go func() { _, _ = io.WriteString(conn, text) }()
	var received bytes.Buffer
	buf := make([]byte, 4096)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		n, err := conn.Read(buf)
		received.Write(buf[:n])
		if err != nil {
			return received.String()
		}
	}
}

const head = " HTTP/1.1\r\nHost: x\r\n"

var _ = Describe("bad input", func() {
	smuggled := "GET /call/s/smuggled" + head + "\r\n"
	for name, c := range map[string]struct {
		send string
		want string
		// calls is how many calls the dispatcher must get.
		calls int
	}{
		"two Content-Lengths":                     {"POST /call/s/x" + head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400 Bad Request", 0},
		"Content-Length beside Transfer-Encoding": {"POST /call/s/x" + head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, "Connection: close", 1},
		"an unknown transfer encoding":            {"POST /call/s/x" + head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", "501 Not Implemented", 0},
		"two transfer encodings":                  {"POST /call/s/x" + head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n", "501 Not Implemented", 0},
		"a space before a header's colon":         {"POST /call/s/x" + head + "Content-Length : 3\r\n\r\nabc", "400 Bad Request", 0},
		"a folded header":                         {"GET /call/s/x" + head + " folded: 1\r\n\r\n", "400 Bad Request", 0},
		"no host":                                 {"GET /call/s/x HTTP/1.1\r\n\r\n", "400 Bad Request", 0},
		"a negative Content-Length":               {"POST /call/s/x" + head + "Content-Length: -1\r\n\r\n", "400 Bad Request", 0},
		"a broken chunk":                          {"POST /call/s/x" + head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n" + smuggled, "read the body", 0},
		"a body over the limit":                   {"POST /call/s/x" + head + "Content-Length: 1048577\r\n\r\n" + strings.Repeat("x", 1048577), "413 Request Entity Too Large", 0},
		"a chunked body over the limit":           {"POST /call/s/x" + head + "Transfer-Encoding: chunked\r\n\r\n100001\r\n" + strings.Repeat("x", 1048577) + "\r\n0\r\n\r\n", "413 Request Entity Too Large", 0},
		"a header over the limit":                 {"GET /call/s/x" + head + "X-Big: " + strings.Repeat("x", 80<<10) + "\r\n\r\n", "431 Request Header Fields Too Large", 0},
		"a body that is cut off":                  {"POST /call/s/x" + head + "Content-Length: 10\r\n\r\nabc", "408 Request Timeout", 0},
		"an unknown expectation":                  {"POST /call/s/x" + head + "Expect: tea\r\nContent-Length: 0\r\n\r\n", "417 Expectation Failed", 0},
		"a deadline that is no number":            {"GET /call/s/x" + head + "Peridot-Deadline-Ms: soon\r\n\r\n", `Peridot-Deadline-Ms is \"soon\"`, 0},
		"an unknown service":                      {"GET /call/t/x" + head + "\r\n", `no service \"t\"`, 0},
		"an order path behind ..":                 {"POST /call/s/lookup/../orders" + head + "Content-Length: 0\r\n\r\n", "needs an Idempotency-Key", 0},
		"an escaped order path":                   {"POST /call/s/%6Frders" + head + "Content-Length: 0\r\n\r\n", "needs an Idempotency-Key", 0},
		"an order path behind two slashes":        {"POST /call/s//orders/7" + head + "Content-Length: 0\r\n\r\n", "needs an Idempotency-Key", 0},
		"an announcement with an unknown key":     {"POST /peridot/announce" + head + "Content-Length: 14\r\n\r\n{\"servce\":\"s\"}", "unknown field", 0},
	} {
		It("responds clearly to "+name, func() {
			tr := newTestReceiver()
			Expect(tr.sendRaw(c.send, time.Second)).To(ContainSubstring(c.want))
			Expect(tr.receivedCalls()).To(HaveLen(c.calls))
			for _, call := range tr.receivedCalls() {
				Expect(call.Path).To(Equal("/x"), "no smuggled request may reach the dispatcher")
			}
		})
	}

	It("closes the connection of a client that never ends its header", func() {
		tr := newTestReceiver()
		start := time.Now()
		Expect(tr.sendRaw("GET /call/s/x"+head, 3*readHeaderTimeout)).To(BeEmpty())
		Expect(time.Since(start)).To(BeNumerically("<", 2*readHeaderTimeout))
	})
})

// Guards against callers that give up a key, and order once more, because they are told that no send of the order has run, when only the last
// one has not.
var _ = Describe("a call that is rejected", func() {
	for name, c := range map[string]struct {
		send                 string
		unconfirmed          bool
		outcome, sendOutcome string
	}{
		"an order with an unconfirmed configuration":           {"POST /call/s/orders" + head + "Idempotency-Key: k\r\n\r\n", true, "unknown", "not-run"},
		"an order to an unknown service":                       {"POST /call/t/orders" + head + "Idempotency-Key: k\r\n\r\n", false, "unknown", "not-run"},
		"an order with a malformed deadline":                   {"POST /call/s/orders" + head + "Idempotency-Key: k\r\nPeridot-Deadline-Ms: soon\r\n\r\n", false, "unknown", "not-run"},
		"an order whose body is late":                          {"POST /call/s/orders" + head + "Idempotency-Key: k\r\nContent-Length: 10\r\n\r\nabc", false, "unknown", "not-run"},
		"an order whose body is too large":                     {"POST /call/s/orders" + head + "Idempotency-Key: k\r\nContent-Length: 1048577\r\n\r\n" + strings.Repeat("x", 1048577), false, "unknown", "not-run"},
		"an order without a key":                               {"POST /call/s/orders" + head + "\r\n", false, "not-run", ""},
		"another call with a key and a malformed deadline":     {"GET /call/s/x" + head + "Idempotency-Key: k\r\nPeridot-Deadline-Ms: soon\r\n\r\n", false, "not-run", ""},
		"another call without a key, unconfirmed":              {"GET /call/s/x" + head + "\r\n", true, "not-run", ""},
		"another call with a key, by a rule that may be older": {"GET /call/s/x" + head + "Idempotency-Key: k\r\n\r\n", true, "unknown", "not-run"},
	} {
		It("gets the outcome of all its sends: "+name, func() {
			tr := newTestReceiver()
			tr.unconfirmed = c.unconfirmed
			res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(tr.sendRaw(c.send, 600*time.Millisecond))), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(tr.receivedCalls()).To(BeEmpty())
			Expect([]string{res.Header.Get("Peridot-Outcome"), res.Header.Get("Peridot-Send-Outcome")}).To(Equal([]string{c.outcome, c.sendOutcome}))
		})
	}
})

var _ = Describe("a call", func() {
	It("has only end-to-end headers forwarded both ways, and a chunked body without its trailer", func() {
		tr := newTestReceiver()
		got := tr.sendRaw("POST /call/s/x"+head+"Connection: X-Mine\r\nX-Mine: 1\r\nTE: trailers\r\nUpgrade: h2c\r\nProxy-Authorization: a\r\nKeep-Alive: 1\r\n"+
			"Peridot-Load: 1\r\nX-Yours: 1\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwax\r\n0\r\nX-Sum: 1\r\n\r\n", time.Second)
		Expect(got).To(And(ContainSubstring("echo wax"), ContainSubstring("X-Public: 1")))
		Expect(got).NotTo(Or(ContainSubstring("X-Private"), ContainSubstring("Keep-Alive"), ContainSubstring("Upgrade"), ContainSubstring("Trailer"), ContainSubstring("Peridot-Load")))
		Expect(tr.receivedCalls()).To(HaveLen(1))
		Expect(tr.receivedCalls()[0].Header).To(Equal(http.Header{"X-Yours": {"1"}}))
		Expect(string(tr.receivedCalls()[0].Body)).To(Equal("wax"))
	})

	It("is traced with the time that its caller took to send the body, and its parts add up to the total", func() {
		const delay = 100 * time.Millisecond
		tr := newTestReceiver()
		conn, err := net.Dial("tcp", tr.address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, _ = io.WriteString(conn, "POST /call/s/x"+head+"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
		r := bufio.NewReader(conn)
		_, err = http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred(), "the entry waits for the body from now on")
		time.Sleep(delay)
		_, _ = io.WriteString(conn, "wax")
		res, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Header.Get("Server-Timing")).To(And(HavePrefix("receive;dur="), ContainSubstring("other;dur="), ContainSubstring("total;dur=")))
		Eventually(func() int { tr.mu.Lock(); defer tr.mu.Unlock(); return len(tr.traces) }, "5s").Should(Equal(1))
		sum := time.Duration(0)
		for _, p := range tr.traces[0].Parts() {
			sum += p.Duration
		}
		Expect(tr.traces[0].Receive).To(BeNumerically(">=", delay))
		Expect(sum).To(BeNumerically("~", tr.traces[0].Total, tr.traces[0].Total/100))
	})

	It("gets 100 Continue before its body when it asks for it", func() {
		tr := newTestReceiver()
		conn, err := net.Dial("tcp", tr.address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, _ = io.WriteString(conn, "POST /call/s/x"+head+"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
		r := bufio.NewReader(conn)
		line, err := r.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(HavePrefix("HTTP/1.1 100"))
		_, _ = io.WriteString(conn, "wax")
		Eventually(tr.receivedCalls, "5s").Should(HaveLen(1))
	})

	It("of method HEAD gets the length but no body, and its connection serves the next call", func() {
		tr := newTestReceiver()
		got := tr.sendRaw("HEAD /call/s/x"+head+"\r\nGET /call/s/y"+head+"\r\n", time.Second)
		Expect(strings.Count(got, "HTTP/1.1 200 OK")).To(Equal(2))
		Expect(got).To(ContainSubstring("Content-Length: 5"))
		Expect(strings.Count(got, "echo")).To(Equal(1))
	})
})

func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"service":"s","instance-id":"i","incarnation":1,"sequence":1,"address":"127.0.0.1:1","availability-zone":"a","slots":6,"connections":250,"state":"ready"}`))
	f.Add([]byte(`{"service":"s","slots":-1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		a, err := parseAnnouncement(bytes.NewReader(text))
		if err == nil && (a.Service == "" || a.InstanceID == "" || a.Slots < 1 || a.Connections < 1) {
			t.Fatalf("accepted: %+v", a)
		}
	})
}

func FuzzCallHeader(f *testing.F) {
	f.Add("250", "1700000000000", "2", "1")
	f.Add("-1", "x", "", "9999999999999999999")
	f.Fuzz(func(t *testing.T, deadline, issued, depth, attempt string) {
		begin := time.Now()
		c := &dispatcher.Call{Rule: parser.Rule{Deadline: parser.Duration(time.Second)}}
		h := http.Header{"Peridot-Deadline-Ms": {deadline}, "Peridot-Issued-At": {issued}, "Peridot-Depth": {depth}, "Peridot-Attempt": {attempt}}
		if parseCallHeader(c, h, begin) == nil && (c.Deadline.After(begin.Add(time.Second)) || c.Deadline.Before(begin) || c.Depth < 0) {
			t.Fatalf("accepted: %+v", c)
		}
	})
}
