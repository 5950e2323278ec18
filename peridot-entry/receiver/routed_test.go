package receiver

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/limiter"
	"peridotswitch.example/peridot-entry/tracer"
)

const routingDocument = `number: 3
routes:
  - {name: r, host: shop.example, prefix: /p/, repeat: once-per-send, attempts: 1, timeout: 300ms, objective: 100ms, rank: 1, split: [{service: s, weight: 1}]}
  - {name: empty, host: shop.example, prefix: /none/, repeat: idempotent, attempts: 1, split: [{service: s, weight: 0}, {service: t, weight: 0}]}
services:
  - {name: s}
  - {name: t}
limits: {body-bytes: 10}
`

// routedBench is a receiver of routed calls before a dispatcher that answers as do says.
type routedBench struct {
	*bench
	do       func(ctx context.Context, c *dispatcher.Call) (*dispatcher.Response, error)
	refusing bool
	cfg      *parser.Configuration
	receiver *Receiver
}

func newRoutedBench() *routedBench { return startRoutedBench(nil) }

// startRoutedBench lets routed calls wait for prepared, unless that is nil.
func startRoutedBench(prepared chan struct{}) *routedBench {
	routing, err := parser.ParseRouting([]byte(routingDocument))
	Expect(err).NotTo(HaveOccurred())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	b := &routedBench{bench: &bench{address: l.Addr().String()}, cfg: &parser.Configuration{Routing: routing}}
	b.receiver = New(Config{
		Listener:      l,
		Configuration: func() *parser.Configuration { return b.cfg },
		Entries:       func() []*delivererpb.EntryMember { return nil },
		Serving:       func() bool { return true },
		Stopping:      func() bool { return b.refusing },
		Refusing:      func() bool { return b.refusing },
		Do: func(ctx context.Context, c *dispatcher.Call) (*dispatcher.Response, error) {
			b.mu.Lock()
			b.calls = append(b.calls, c)
			b.mu.Unlock()
			return b.do(ctx, c)
		},
		Finished: func(t *tracer.Trace) { b.finished(t) },
		Prepared: prepared,
		Routed: &Dialect{
			ReadCall: func(h http.Header) (string, time.Duration, error) {
				if h.Get("Bad") != "" {
					return "", 0, errors.New("no number")
				}
				return h.Get("Id"), time.Second, nil
			},
			ClaimsNotRun:    func(status int) bool { return status == http.StatusServiceUnavailable },
			WriteRetryAfter: func(h http.Header, after time.Duration) { h.Set("Retry-After", after.String()) },
		},
	})
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(b.receiver.Close(ctx)).To(Succeed())
	})
	return b
}

// last returns the newest trace.
func (b *routedBench) last() *tracer.Trace {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.traces[len(b.traces)-1]
}

func answered(status int) func(context.Context, *dispatcher.Call) (*dispatcher.Response, error) {
	return func(context.Context, *dispatcher.Call) (*dispatcher.Response, error) {
		return &dispatcher.Response{Outcome: dispatcher.Ran, Status: status, Header: http.Header{"Sign": {"x"}}, Body: io.NopCloser(strings.NewReader("whole"))}, nil
	}
}

func failed(outcome dispatcher.Outcome, cause error) func(context.Context, *dispatcher.Call) (*dispatcher.Response, error) {
	return func(context.Context, *dispatcher.Call) (*dispatcher.Response, error) {
		return nil, &dispatcher.Error{Outcome: outcome, Err: cause}
	}
}

var _ = Describe("a routed call", func() {
	const route = "GET /p/x?q=1 HTTP/1.1\r\nHost: shop.example\r\nId: 7\r\n"
	for name, c := range map[string]struct {
		send    string
		prepare func(*routedBench)
		do      func(context.Context, *dispatcher.Call) (*dispatcher.Response, error)
		want    []string
		never   string
		calls   int
	}{
		"gets its answer":                            {send: route, do: answered(200), want: []string{"200 OK", "Sign: x", "whole"}, calls: 1},
		"gets a server's failure unchanged":          {send: route, do: answered(500), want: []string{"500 Internal", "Sign: x", "whole"}, calls: 1},
		"that ran is never said not to have":         {send: route, do: answered(503), want: []string{"502 Bad Gateway"}, never: "Sign", calls: 1},
		"that ran nowhere may come back":             {send: route, do: failed(dispatcher.NotRun, &limiter.ShedError{Reason: "full"}), want: []string{"503 Service", "Retry-After: "}, calls: 1},
		"that may have run gets no promise":          {send: route, do: failed(dispatcher.Unknown, errors.New("reset")), want: []string{"502 Bad Gateway"}, never: "Retry-After", calls: 1},
		"past its time gets no promise either":       {send: route, do: failed(dispatcher.Unknown, context.DeadlineExceeded), want: []string{"504 Gateway Timeout"}, never: "Retry-After", calls: 1},
		"past its time that ran nowhere may":         {send: route, do: failed(dispatcher.NotRun, context.DeadlineExceeded), want: []string{"503 Service", "Retry-After: "}, calls: 1},
		"without a route":                            {send: "GET /q/x HTTP/1.1\r\nHost: shop.example\r\n", want: []string{"404 Not Found"}},
		"of another host":                            {send: "GET /p/x HTTP/1.1\r\nHost: other.example\r\n", want: []string{"404 Not Found"}},
		"to services without weight":                 {send: "GET /none/x HTTP/1.1\r\nHost: shop.example\r\n", want: []string{"503 Service", "Retry-After: "}},
		"that can't be understood":                   {send: route + "Bad: 1\r\n", want: []string{"400 Bad Request", "no number"}},
		"with a body over the bound":                 {send: strings.Replace(route, "GET", "POST", 1) + "Content-Length: 11\r\n\r\nelevenbytes", want: []string{"413 Request Entity"}},
		"before the first configuration":             {send: route, prepare: func(b *routedBench) { b.cfg = nil }, want: []string{"503 Service", "Retry-After: "}},
		"to an entry that is about to stop for good": {send: route, prepare: func(b *routedBench) { b.refusing = true }, want: []string{"503 Service", "Retry-After: ", "Connection: close"}},
	} {
		It(name, func() {
			b := newRoutedBench()
			b.do = c.do
			if c.prepare != nil {
				c.prepare(b)
			}
			got := b.exchange(c.send+"\r\n", 300*time.Millisecond)
			for _, want := range c.want {
				Expect(got).To(ContainSubstring(want))
			}
			if c.never != "" {
				Expect(got).NotTo(ContainSubstring(c.never))
			}
			Expect(b.taken()).To(HaveLen(c.calls))
			for _, call := range b.taken() {
				Expect(call.RequestID).To(Equal("7"))
				Expect(call.Host).To(Equal("shop.example"))
				Expect(call.Path).To(Equal("/p/x?q=1"))
				Expect(call.Rule.Repeat).To(Equal(parser.OncePerSend))
				Expect(time.Until(call.Deadline)).To(BeNumerically("<=", 300*time.Millisecond))
			}
		})
	}

	It("whose caller leaves is given up", func() {
		b := newRoutedBench()
		left := make(chan struct{})
		var once sync.Once
		b.do = func(ctx context.Context, _ *dispatcher.Call) (*dispatcher.Response, error) {
			<-ctx.Done()
			once.Do(func() { close(left) })
			return nil, &dispatcher.Error{Outcome: dispatcher.Unknown, Err: ctx.Err()}
		}
		conn, err := net.Dial("tcp", b.address)
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.WriteString(conn, route+"\r\n")
		Eventually(b.taken, "2s").Should(HaveLen(1))
		Expect(conn.Close()).To(Succeed())
		Eventually(left, "500ms").Should(BeClosed())
	})
})

// Load pattern: callers come to entries that have all just restarted; control answers them a little later.
var _ = Describe("a routed call at an entry that has just started", func() {
	const send = "GET /p/x HTTP/1.1\r\nHost: shop.example\r\nId: 7\r\nConnection: close\r\n\r\n"
	var b *routedBench
	var prepared chan struct{}
	var routing *parser.Configuration
	BeforeEach(func() {
		prepared = make(chan struct{})
		b = startRoutedBench(prepared)
		b.do = answered(200)
		routing, b.cfg = b.cfg, nil
	})

	It("waits for the configuration", func() {
		time.AfterFunc(100*time.Millisecond, func() {
			b.cfg = routing
			close(prepared)
		})
		begin := time.Now()
		Expect(b.exchange(send, time.Second)).To(ContainSubstring("200 OK"))
		call := b.taken()[0]
		Expect(call.Deadline.Sub(call.Trace.Begin)).To(BeNumerically("<=", 300*time.Millisecond), "the wait is part of its time")
		Expect(call.Trace.Begin.Sub(begin)).To(BeNumerically("<", 50*time.Millisecond), "its time begins before the wait")
		Expect(b.last().Queue).To(BeNumerically(">=", 50*time.Millisecond), "the trace shows the wait")
		Expect(b.last().Receive).To(BeNumerically("<", 50*time.Millisecond))
	})

	It("is refused when the configuration takes long, with time left for another entry", func() {
		begin := time.Now()
		Expect(b.exchange(send, time.Second)).To(And(ContainSubstring("503 Service"), ContainSubstring("Retry-After: ")))
		Expect(time.Since(begin)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(b.last().Queue).To(BeNumerically(">=", 200*time.Millisecond))
		Expect(b.last().Total).To(BeNumerically(">=", b.last().Queue))
	})

	It("is refused at once while many wait", func() {
		b.receiver.preparing.Store(maxPreparing)
		Expect(b.exchange(send, 100*time.Millisecond)).To(ContainSubstring("503 Service"))
		Expect(b.receiver.preparing.Load()).To(BeEquivalentTo(maxPreparing))
	})
})
