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

// bench is a receiver with a dispatcher that keeps what it is given.
type bench struct {
	address string
	mu      sync.Mutex
	calls   []*dispatcher.Call
	traces  []*tracer.Trace
}

func newBench() *bench {
	cfg, err := parser.ParseConfiguration(1, []byte(inventory), []byte(rules))
	Expect(err).NotTo(HaveOccurred())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	b := &bench{address: l.Addr().String()}
	r := New(Config{
		Listener:      l,
		Configuration: func() *parser.Configuration { return cfg },
		Entries:       func() []*delivererpb.EntryMember { return nil },
		Serving:       func() bool { return true },
		Stopping:      func() bool { return false },
		Do:            b.do,
		Announce:      func(registrar.Server) time.Duration { return time.Second },
		Leave:         func(registrar.Key) bool { return true },
		Finished:      b.finished,
	})
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(r.Close(ctx)).To(Succeed())
	})
	return b
}

func (b *bench) do(_ context.Context, c *dispatcher.Call) (*dispatcher.Response, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, c)
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

func (b *bench) finished(t *tracer.Trace) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.traces = append(b.traces, t)
}

func (b *bench) taken() []*dispatcher.Call {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls
}

// exchange sends text as it stands and returns all that comes until the connection is closed or quiet.
func (b *bench) exchange(text string, quiet time.Duration) string {
	conn, err := net.Dial("tcp", b.address)
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	go func() { _, _ = io.WriteString(conn, text) }()
	var got bytes.Buffer
	buf := make([]byte, 4096)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(quiet))
		n, err := conn.Read(buf)
		got.Write(buf[:n])
		if err != nil {
			return got.String()
		}
	}
}

const head = " HTTP/1.1\r\nHost: x\r\n"

var _ = Describe("bad input", func() {
	smuggled := "GET /call/s/smuggled" + head + "\r\n"
	for name, c := range map[string]struct {
		send string
		want string
		// calls is how many calls may be made of it.
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
		"an oversized header":                     {"GET /call/s/x" + head + "X-Big: " + strings.Repeat("x", 80<<10) + "\r\n\r\n", "431 Request Header Fields Too Large", 0},
		"a body that stops":                       {"POST /call/s/x" + head + "Content-Length: 10\r\n\r\nabc", "408 Request Timeout", 0},
		"an unknown expectation":                  {"POST /call/s/x" + head + "Expect: tea\r\nContent-Length: 0\r\n\r\n", "417 Expectation Failed", 0},
		"a deadline that is no number":            {"GET /call/s/x" + head + "Peridot-Deadline-Ms: soon\r\n\r\n", `Peridot-Deadline-Ms is \"soon\"`, 0},
		"an unknown service":                      {"GET /call/t/x" + head + "\r\n", `no service \"t\"`, 0},
		"an order behind dots":                    {"POST /call/s/lookup/../orders" + head + "Content-Length: 0\r\n\r\n", "needs an Idempotency-Key", 0},
		"an escaped order":                        {"POST /call/s/%6Frders" + head + "Content-Length: 0\r\n\r\n", "needs an Idempotency-Key", 0},
		"an order behind two slashes":             {"POST /call/s//orders/7" + head + "Content-Length: 0\r\n\r\n", "needs an Idempotency-Key", 0},
		"an announcement with an unknown key":     {"POST /peridot/announce" + head + "Content-Length: 14\r\n\r\n{\"servce\":\"s\"}", "unknown field", 0},
	} {
		It("is answered clearly: "+name, func() {
			b := newBench()
			Expect(b.exchange(c.send, time.Second)).To(ContainSubstring(c.want))
			Expect(b.taken()).To(HaveLen(c.calls))
			for _, call := range b.taken() {
				Expect(call.Path).To(Equal("/x"), "nothing smuggled")
			}
		})
	}

	It("of a sender that never ends its header gets the connection closed", func() {
		b := newBench()
		start := time.Now()
		Expect(b.exchange("GET /call/s/x"+head, 3*readHeaderTimeout)).To(BeEmpty())
		Expect(time.Since(start)).To(BeNumerically("<", 2*readHeaderTimeout))
	})
})

var _ = Describe("a call", func() {
	It("passes end-to-end headers only, both ways, and a body in chunks with its trailer dropped", func() {
		b := newBench()
		got := b.exchange("POST /call/s/x"+head+"Connection: X-Mine\r\nX-Mine: 1\r\nTE: trailers\r\nUpgrade: h2c\r\nProxy-Authorization: a\r\nKeep-Alive: 1\r\n"+
			"Peridot-Load: 1\r\nX-Yours: 1\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwax\r\n0\r\nX-Sum: 1\r\n\r\n", time.Second)
		Expect(got).To(And(ContainSubstring("echo wax"), ContainSubstring("X-Public: 1")))
		Expect(got).NotTo(Or(ContainSubstring("X-Private"), ContainSubstring("Keep-Alive"), ContainSubstring("Upgrade"), ContainSubstring("Trailer"), ContainSubstring("Peridot-Load")))
		Expect(b.taken()).To(HaveLen(1))
		Expect(b.taken()[0].Header).To(Equal(http.Header{"X-Yours": {"1"}}))
		Expect(string(b.taken()[0].Body)).To(Equal("wax"))
	})

	It("has the time that its caller took to send the body named, and parts that add up", func() {
		const late = 100 * time.Millisecond
		b := newBench()
		conn, err := net.Dial("tcp", b.address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, _ = io.WriteString(conn, "POST /call/s/x"+head+"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
		r := bufio.NewReader(conn)
		_, err = http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred(), "the entry waits for the body from here")
		time.Sleep(late)
		_, _ = io.WriteString(conn, "wax")
		res, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Header.Get("Server-Timing")).To(And(HavePrefix("receive;dur="), ContainSubstring("other;dur="), ContainSubstring("total;dur=")))
		Eventually(func() int { b.mu.Lock(); defer b.mu.Unlock(); return len(b.traces) }, "5s").Should(Equal(1))
		sum := time.Duration(0)
		for _, p := range b.traces[0].Parts() {
			sum += p.Duration
		}
		Expect(b.traces[0].Receive).To(BeNumerically(">=", late))
		Expect(sum).To(BeNumerically("~", b.traces[0].Total, b.traces[0].Total/100))
	})

	It("sends 100 Continue before the body when asked", func() {
		b := newBench()
		conn, err := net.Dial("tcp", b.address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, _ = io.WriteString(conn, "POST /call/s/x"+head+"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
		r := bufio.NewReader(conn)
		line, err := r.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(HavePrefix("HTTP/1.1 100"))
		_, _ = io.WriteString(conn, "wax")
		Eventually(b.taken, "5s").Should(HaveLen(1))
	})

	It("of HEAD gets the length but no body, and the connection serves the next call", func() {
		b := newBench()
		got := b.exchange("HEAD /call/s/x"+head+"\r\nGET /call/s/y"+head+"\r\n", time.Second)
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
			t.Fatalf("taken: %+v", a)
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
			t.Fatalf("taken: %+v", c)
		}
	})
}
