package receiver

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/limiter"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// Guards against a call that is sent after its caller was refused or has left, and against a promise that it has not run after it was sent.
var _ = Describe("a call whose caller leaves", func() {
	const message = uploadHead + "Content-Length: 3\r\n\r\nabc"
	leave := map[string]func(*net.TCPConn) error{
		"half-closes": func(c *net.TCPConn) error { return c.CloseWrite() },
		"closes":      func(c *net.TCPConn) error { return c.Close() },
		"resets": func(c *net.TCPConn) error {
			return c.SetLinger(0)
		},
	}
	for name, c := range map[string]struct {
		repeat parser.Repeat
		queued bool
		// sent is the number of sends, and status the response, which only a caller gets that half-closes.
		sent, status int
	}{
		"while it is queued":                         {parser.OncePerSend, true, 0, 503},
		"while it is queued and may be repeated":     {parser.Idempotent, true, 0, 503},
		"while a server works on it":                 {parser.OncePerSend, false, 1, 200},
		"while a server works on it, to be repeated": {parser.Idempotent, false, 1, 502},
	} {
		for way, end := range leave {
			It(way+" "+name, func() {
				permits, work, sending := make(chan struct{}), make(chan struct{}), make(chan struct{}, 8)
				var sent atomic.Int32
				limits := limiter.New(limiter.Config{Capacity: func(string) limiter.Capacity { return limiter.Capacity{Slots: 6, Entries: 1} }})
				servers := []registrar.Server{
					{Service: "s", InstanceID: "a", Slots: 6, Connections: 9, State: registrar.Ready}, {Service: "s", InstanceID: "b", Slots: 6, Connections: 9, State: registrar.Ready},
				}
				d := dispatcher.New(dispatcher.Config{
					Acquire: func(ctx context.Context, r limiter.Request) (*limiter.Permit, error) {
						sending <- struct{}{}
						select {
						case <-permits:
						case <-ctx.Done():
							return nil, ctx.Err()
						}
						return limits.Acquire(ctx, r)
					},
					Pick: picker.New(picker.Config{Servers: func(string) []registrar.Server { return servers }}).Pick,
					Send: func(ctx context.Context, _ *sender.Request) (*sender.Response, error) {
						sent.Add(1)
						sending <- struct{}{}
						select {
						case <-work:
						case <-ctx.Done():
							return nil, &sender.Error{Phase: sender.Waiting, Written: true, Err: ctx.Err()}
						}
						return &sender.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("x"))}, nil
					},
				})
				tr := newRoutedTestReceiver()
				tr.cfg.Load().Routing.Routes[0].Repeat = c.repeat
				tr.cfg.Load().Routing.Routes[0].Timeout = parser.Duration(2 * time.Second)
				ended := make(chan struct{}, 1)
				tr.do = func(ctx context.Context, call *dispatcher.Call) (*dispatcher.Response, error) {
					defer func() { ended <- struct{}{} }()
					return d.Do(ctx, call)
				}
				conn, r := dialRouted(tr)
				_, err := io.WriteString(conn, message)
				Expect(err).NotTo(HaveOccurred())
				Eventually(sending, "1s").Should(Receive())
				if !c.queued {
					close(permits)
					Eventually(sending, "1s").Should(Receive())
				}
				Expect(end(conn.(*net.TCPConn))).To(Succeed())
				if way == "resets" {
					Expect(conn.Close()).To(Succeed())
				}
				if c.status == http.StatusOK {
					Consistently(ended, "50ms").ShouldNot(Receive())
					close(work)
				}
				if way == "half-closes" {
					Expect(expectResponse(conn, r, time.Second).StatusCode).To(Equal(c.status))
				}
				Eventually(ended, "1s").Should(Receive())
				if c.queued {
					close(permits)
				}
				Consistently(func() int { return int(sent.Load()) }, "50ms").Should(Equal(c.sent))
			})
		}
	}
})
