package sender

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// parseTestHeaders parses the request id from Id and treats a response without Sign as invalid.
func parseTestHeaders(_ int, h http.Header) HeaderInfo {
	r := HeaderInfo{RequestID: h.Get("Id")}
	if h.Get("Sign") == "" {
		r.InvalidReason = "no signature"
	}
	return r
}

var _ = Describe("responses with a request id", func() {
	const signed = "HTTP/1.1 200 OK\r\nSign: x\r\n"
	own := signed + "Id: now\r\nContent-Length: 3\r\n\r\nown"
	late := signed + "Id: before\r\nContent-Length: 4\r\n\r\nlate"
	for name, c := range map[string]struct {
		response string
		// close closes the connection after the response, reset resets it.
		close, reset bool
		probe        bool
		body, err    string
		reused       bool
	}{
		"to this request":                         {response: own, body: "own", reused: true},
		"a late one to an earlier request first":  {response: late + own, body: "own"},
		"only late ones":                          {response: strings.Repeat(late, maxStaleResponses), err: "other requests"},
		"a late one that is truncated":            {response: signed + "Id: before\r\nContent-Length: 9\r\n\r\nlate", close: true, err: "drop an answer"},
		"one without a request id":                {response: signed + "Content-Length: 3\r\n\r\nown", body: "own", reused: true},
		"one without signature":                   {response: "HTTP/1.1 200 OK\r\nId: now\r\nContent-Length: 3\r\n\r\nown", err: "no signature"},
		"one to a probe without signature":        {response: "HTTP/1.1 200 OK\r\nId: now\r\nContent-Length: 3\r\n\r\nown", probe: true, body: "own", reused: true},
		"one whose end is that of its connection": {response: signed + "Id: now\r\n\r\nown", close: true, body: "own"},
		"one that is reset before its end":        {response: signed + "Id: now\r\n\r\now", reset: true, err: "reset"},
	} {
		It("are matched to their request: "+name, func() {
			s := New(Config{ParseHeaders: parseTestHeaders, AllowCloseDelimited: true})
			DeferCleanup(s.Close)
			srv := newTestServer(func(conn net.Conn, _, _ int) {
				write(conn, c.response)
				if c.reset {
					time.Sleep(20 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				if c.close || c.reset {
					_ = conn.Close()
				}
			})
			do := func() (string, error) {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				res, err := s.Do(ctx, &Request{Address: srv.address, Method: http.MethodGet, Path: "/item", ID: "now", Probe: c.probe})
				if err != nil {
					return "", err
				}
				defer res.Body.Close()
				body, err := io.ReadAll(res.Body)
				return string(body), err
			}
			body, err := do()
			if c.err != "" {
				Expect(err).To(MatchError(ContainSubstring(c.err)))
				var se *Error
				Expect(errors.As(err, &se) && se.Written).To(BeTrue(), "the call may have run")
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(c.body))
			_, _ = do()
			Expect(srv.received()).To(HaveLen(map[bool]int{true: 1, false: 2}[c.reused]))
		})
	}

	It("are requested from the given address, with the Host of the caller", func() {
		s := New(Config{ParseHeaders: parseTestHeaders})
		DeferCleanup(s.Close)
		srv := newTestServer(func(conn net.Conn, _, _ int) { write(conn, own) })
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		res, err := s.Do(ctx, &Request{Address: srv.address, Host: "shop.example", Method: http.MethodGet, Path: "/item", ID: "now"})
		Expect(err).NotTo(HaveOccurred())
		res.Body.Close()
		Expect(srv.received()[0]).To(ContainSubstring("Host: shop.example\r\n"))
	})
})
