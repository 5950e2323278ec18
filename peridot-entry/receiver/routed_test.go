package receiver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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
limits: {body-bytes: 10, header-bytes: 20000, header-timeout: 1s, idle-timeout: 2s}
`

// routedTestReceiver is a receiver of routed calls whose dispatcher is do.
type routedTestReceiver struct {
	*testReceiver
	do       func(ctx context.Context, c *dispatcher.Call) (*dispatcher.Response, error)
	refusing bool
	cfg      atomic.Pointer[parser.Configuration]
	receiver *Receiver
}

func newRoutedTestReceiver() *routedTestReceiver { return startRoutedTestReceiver(nil) }

// startRoutedTestReceiver starts a receiver whose routed calls wait for initialized, unless that is nil.
func startRoutedTestReceiver(initialized chan struct{}) *routedTestReceiver {
	routing, err := parser.ParseRouting([]byte(routingDocument))
	Expect(err).NotTo(HaveOccurred())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	tr := &routedTestReceiver{testReceiver: &testReceiver{address: l.Addr().String()}}
	tr.cfg.Store(&parser.Configuration{Routing: routing})
	tr.receiver = New(Config{
		Listener:      l,
		Configuration: tr.cfg.Load,
		Entries:       func() []*delivererpb.EntryMember { return nil },
		CanServe:      func() bool { return true },
		IsStopping:    func() bool { return tr.refusing },
		IsRefusing:    func() bool { return tr.refusing },
		Do: func(ctx context.Context, c *dispatcher.Call) (*dispatcher.Response, error) {
			tr.mu.Lock()
			tr.calls = append(tr.calls, c)
			tr.mu.Unlock()
			return tr.do(ctx, c)
		},
		OnFinish:    func(t *tracer.Trace) { tr.recordTrace(t) },
		Initialized: initialized,
		Dialect: &Dialect{
			ParseCall: func(h http.Header) (string, time.Duration, error) {
				if h.Get("Bad") != "" {
					return "", 0, errors.New("no number")
				}
				if remaining, err := time.ParseDuration(h.Get("Remaining")); err == nil {
					return h.Get("Id"), remaining, nil
				}
				return h.Get("Id"), time.Second, nil
			},
			MeansNotRun:     func(status int) bool { return status == http.StatusServiceUnavailable },
			WriteRetryAfter: func(h http.Header, after time.Duration) { h.Set("Retry-After", after.String()) },
			ParseKey:        func(h http.Header) string { return h.Get("Key") },
			SetAccount: func(h http.Header, name string) {
				h.Del("Key")
				h.Set("Account", name)
			},
		},
	})
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(tr.receiver.Close(ctx)).To(Succeed())
	})
	return tr
}

// lastTrace returns the newest trace.
func (tr *routedTestReceiver) lastTrace() *tracer.Trace {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.traces[len(tr.traces)-1]
}

func respondWith(status int) func(context.Context, *dispatcher.Call) (*dispatcher.Response, error) {
	return func(context.Context, *dispatcher.Call) (*dispatcher.Response, error) {
		return &dispatcher.Response{Outcome: dispatcher.Ran, Status: status, Header: http.Header{"Sign": {"x"}}, Body: io.NopCloser(strings.NewReader("whole"))}, nil
	}
}

func failWith(outcome dispatcher.Outcome, cause error) func(context.Context, *dispatcher.Call) (*dispatcher.Response, error) {
	return func(context.Context, *dispatcher.Call) (*dispatcher.Response, error) {
		return nil, &dispatcher.Error{Outcome: outcome, Err: cause}
	}
}

var _ = Describe("a routed call", func() {
	const route = "GET /p/x?q=1 HTTP/1.1\r\nHost: shop.example\r\nId: 7\r\n"
	for name, c := range map[string]struct {
		send   string
		setUp  func(*routedTestReceiver)
		do     func(context.Context, *dispatcher.Call) (*dispatcher.Response, error)
		want   []string
		absent string
		calls  int
	}{
		"gets the response":                           {send: route, do: respondWith(200), want: []string{"200 OK", "Sign: x", "whole"}, calls: 1},
		"gets a server error unchanged":               {send: route, do: respondWith(500), want: []string{"500 Internal", "Sign: x", "whole"}, calls: 1},
		"that ran gets no status that denies it":      {send: route, do: respondWith(503), want: []string{"502 Bad Gateway"}, absent: "Sign", calls: 1},
		"that has not run gets a Retry-After":         {send: route, do: failWith(dispatcher.NotRun, &limiter.ShedError{Reason: "full"}), want: []string{"503 Service", "Retry-After: "}, calls: 1},
		"that may have run gets no Retry-After":       {send: route, do: failWith(dispatcher.Unknown, errors.New("reset")), want: []string{"502 Bad Gateway"}, absent: "Retry-After", calls: 1},
		"past its deadline gets no Retry-After":       {send: route, do: failWith(dispatcher.Unknown, context.DeadlineExceeded), want: []string{"504 Gateway Timeout"}, absent: "Retry-After", calls: 1},
		"past its deadline that has not run gets one": {send: route, do: failWith(dispatcher.NotRun, context.DeadlineExceeded), want: []string{"503 Service", "Retry-After: "}, calls: 1},
		"without a route":                             {send: "GET /q/x HTTP/1.1\r\nHost: shop.example\r\n", want: []string{"404 Not Found"}},
		"of another host":                             {send: "GET /p/x HTTP/1.1\r\nHost: other.example\r\n", want: []string{"404 Not Found"}},
		"to services of weight 0":                     {send: "GET /none/x HTTP/1.1\r\nHost: shop.example\r\n", want: []string{"503 Service", "Retry-After: "}},
		"with a header that can't be parsed":          {send: route + "Bad: 1\r\n", want: []string{"400 Bad Request", "no number"}},
		"with a body over the limit":                  {send: strings.Replace(route, "GET", "POST", 1) + "Content-Length: 11\r\n\r\nelevenbytes", want: []string{"413 Request Entity"}},
		"with a header just under the limit":          {send: route + "A: " + strings.Repeat("a", 19_900) + "\r\n", do: respondWith(200), want: []string{"200 OK"}, calls: 1},
		"with a header over the limit":                {send: route + "A: " + strings.Repeat("a", 20_000) + "\r\n", want: []string{"431 Request Header Fields", "Connection: close"}},
		"before the first configuration":              {send: route, setUp: func(tr *routedTestReceiver) { tr.cfg.Store(nil) }, want: []string{"503 Service", "Retry-After: "}},
		"to an entry that refuses new calls":          {send: route, setUp: func(tr *routedTestReceiver) { tr.refusing = true }, want: []string{"503 Service", "Retry-After: ", "Connection: close"}},
	} {
		It(name, func() {
			tr := newRoutedTestReceiver()
			tr.do = c.do
			if c.setUp != nil {
				c.setUp(tr)
			}
			got := tr.sendRaw(c.send+"\r\n", 300*time.Millisecond)
			for _, want := range c.want {
				Expect(got).To(ContainSubstring(want))
			}
			if c.absent != "" {
				Expect(got).NotTo(ContainSubstring(c.absent))
			}
			Expect(tr.receivedCalls()).To(HaveLen(c.calls))
			for _, call := range tr.receivedCalls() {
				Expect(call.RequestID).To(Equal("7"))
				Expect(call.Host).To(Equal("shop.example"))
				Expect(call.Path).To(Equal("/p/x?q=1"))
				Expect(call.Rule.Repeat).To(Equal(parser.OncePerSend))
				Expect(time.Until(call.Deadline)).To(BeNumerically("<=", 300*time.Millisecond))
			}
		})
	}

	// The path is the caller's and may have any bytes; only a request to a proxy has more than a path and a query.
	for name, c := range map[string]struct{ target, want string }{
		"that isn't UTF-8":        {"/p/C\xf3rdoba?ciudad=C\xf3rdoba", "/p/C\xf3rdoba?ciudad=C\xf3rdoba"},
		"with odd characters":     {"/p/a|b{c}?|", "/p/a|b{c}?|"},
		"that is percent-encoded": {"/p/%C3%B3%2f?a=%F3", "/p/%C3%B3%2f?a=%F3"},
		"with an empty query":     {"/p/a?", "/p/a?"},
		"sent as to a proxy":      {"http://shop.example/p/a?b=c", "/p/a?b=c"},
	} {
		It("keeps a target "+name, func() {
			tr := newRoutedTestReceiver()
			tr.do = respondWith(200)
			Expect(tr.sendRaw("GET "+c.target+" HTTP/1.1\r\nHost: shop.example\r\n\r\n", 300*time.Millisecond)).To(ContainSubstring("200 OK"))
			Expect(tr.receivedCalls()).To(HaveLen(1))
			Expect(tr.receivedCalls()[0].Path).To(Equal(c.want))
		})
	}

	It("is canceled when its caller disconnects", func() {
		tr := newRoutedTestReceiver()
		canceled := make(chan struct{})
		var once sync.Once
		tr.do = func(ctx context.Context, _ *dispatcher.Call) (*dispatcher.Response, error) {
			<-ctx.Done()
			once.Do(func() { close(canceled) })
			return nil, &dispatcher.Error{Outcome: dispatcher.Unknown, Err: ctx.Err()}
		}
		conn, err := net.Dial("tcp", tr.address)
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.WriteString(conn, route+"\r\n")
		Eventually(tr.receivedCalls, "2s").Should(HaveLen(1))
		Expect(conn.Close()).To(Succeed())
		Eventually(canceled, "500ms").Should(BeClosed())
	})
})

var _ = Describe("the timeouts of the routing", func() {
	const send = "GET /p/x HTTP/1.1\r\nHost: shop.example\r\nId: 7\r\n\r\n"
	var conn net.Conn
	var r *bufio.Reader
	BeforeEach(func() {
		tr := newRoutedTestReceiver()
		tr.do = respondWith(200)
		var err error
		conn, err = net.Dial("tcp", tr.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		r = bufio.NewReader(conn)
	})
	call := func() error {
		if _, err := io.WriteString(conn, send); err != nil {
			return err
		}
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}

	// Guards against an entry that closes connections earlier than the configuration says, under calls of well-behaved clients.
	It("serve a connection that is used again after four fifths of the idle timeout, and close it after the whole", func() {
		Expect(call()).To(Succeed())
		time.Sleep(1600 * time.Millisecond)
		Expect(call()).To(Succeed())
		_, err := r.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	// Guards against clients that hold a connection by a header that they never complete.
	It("close a connection whose header isn't complete in time", func() {
		begin := time.Now()
		_, err := io.WriteString(conn, send[:20])
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(r)
		Expect(err).NotTo(HaveOccurred(), "the end of the connection")
		Expect(time.Since(begin)).To(BeNumerically("<", readHeaderTimeout-time.Second))
	})
})

// All entries have just restarted, and calls arrive shortly before control first responds.
var _ = Describe("a routed call at an entry that has just started", func() {
	const send = "GET /p/x HTTP/1.1\r\nHost: shop.example\r\nId: 7\r\nConnection: close\r\n\r\n"
	var tr *routedTestReceiver
	var initialized chan struct{}
	var cfg *parser.Configuration
	BeforeEach(func() {
		initialized = make(chan struct{})
		tr = startRoutedTestReceiver(initialized)
		tr.do = respondWith(200)
		cfg = tr.cfg.Swap(nil)
	})

	It("waits for the configuration", func() {
		time.AfterFunc(100*time.Millisecond, func() {
			tr.cfg.Store(cfg)
			close(initialized)
		})
		begin := time.Now()
		Expect(tr.sendRaw(send, time.Second)).To(ContainSubstring("200 OK"))
		call := tr.receivedCalls()[0]
		Expect(call.Deadline.Sub(call.Trace.Begin)).To(BeNumerically("<=", 300*time.Millisecond), "the deadline includes the wait")
		Expect(call.Trace.Begin.Sub(begin)).To(BeNumerically("<", 50*time.Millisecond), "the call begins before the wait")
		Expect(tr.lastTrace().Queue).To(BeNumerically(">=", 50*time.Millisecond), "the trace shows the wait")
		Expect(tr.lastTrace().Receive).To(BeNumerically("<", 50*time.Millisecond))
	})

	It("is refused when there is no configuration for long, with time remaining for another entry", func() {
		begin := time.Now()
		Expect(tr.sendRaw(send, time.Second)).To(And(ContainSubstring("503 Service"), ContainSubstring("Retry-After: ")))
		Expect(time.Since(begin)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(tr.lastTrace().Queue).To(BeNumerically(">=", 200*time.Millisecond))
		Expect(tr.lastTrace().Total).To(BeNumerically(">=", tr.lastTrace().Queue))
	})

	It("is refused at once while many calls wait", func() {
		tr.receiver.initWaiters.Store(maxInitWaiters)
		Expect(tr.sendRaw(send, 100*time.Millisecond)).To(ContainSubstring("503 Service"))
		Expect(tr.receiver.initWaiters.Load()).To(BeEquivalentTo(maxInitWaiters))
	})
})

var _ = Describe("routed calls with large bodies", func() {
	// Guards against callers whose bodies together use up the memory of the entry, and against refusals of small calls beside them.
	It("are refused as not run while the bodies of others use the memory for bodies, and small calls are not", func() {
		tr := newRoutedTestReceiver()
		routing := tr.cfg.Load().Routing
		routing.Limits.BodyBytes = maxRoutedBodyBytes
		// On a busy machine a body of 12 MiB takes longer than the route's 300 ms.
		routing.Routes[0].Timeout = parser.Duration(30 * time.Second)
		const large = 12 << 20
		// Each call that reaches the dispatcher needs a place in inWork.
		inWork, release := make(chan struct{}, 8), make(chan struct{})
		client := &http.Client{Timeout: 30 * time.Second}
		defer client.CloseIdleConnections()
		tr.do = func(context.Context, *dispatcher.Call) (*dispatcher.Response, error) {
			inWork <- struct{}{}
			select {
			case <-release:
			case <-time.After(20 * time.Second):
			}
			return respondWith(http.StatusOK)(context.Background(), nil)
		}
		post := func(size int) *http.Response {
			req, err := http.NewRequest(http.MethodPost, "http://"+tr.address+"/p/x", io.LimitReader(zeros{}, int64(size)))
			Expect(err).NotTo(HaveOccurred())
			req.Host = "shop.example"
			res, err := client.Do(req)
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, res.Body)
			Expect(res.Body.Close()).To(Succeed())
			return res
		}
		var wg sync.WaitGroup
		for range maxBodiesBytes / large {
			wg.Go(func() {
				defer GinkgoRecover()
				Expect(post(large).StatusCode).To(Equal(http.StatusOK))
			})
			Eventually(inWork, "20s").Should(Receive())
		}
		refused := post(large)
		Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(tr.lastTrace().Cause).To(Equal("entry-memory"))
		Expect(tr.lastTrace().Outcome).To(Equal(string(dispatcher.NotRun)))
		wg.Go(func() {
			defer GinkgoRecover()
			Expect(post(1000).StatusCode).To(Equal(http.StatusOK), "a small call")
		})
		<-inWork
		close(release)
		wg.Wait()
		Expect(post(large).StatusCode).To(Equal(http.StatusOK), "once the others have ended")
	})
})

// zeros reads zeros without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
