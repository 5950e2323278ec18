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
			do := func(id string) (string, error) {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				res, err := s.Do(ctx, &Request{Address: srv.address, Method: http.MethodGet, Path: "/item", ID: id, Probe: c.probe})
				if err != nil {
					return "", err
				}
				defer res.Body.Close()
				body, err := io.ReadAll(res.Body)
				return string(body), err
			}
			body, err := do("now")
			if c.err != "" {
				Expect(err).To(MatchError(ContainSubstring(c.err)))
				var se *Error
				Expect(errors.As(err, &se) && se.Written).To(BeTrue(), "the call may have run")
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(c.body))
			// A connection isn't used for the same id again in any case.
			_, _ = do("")
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

var _ = Describe("an earlier refusal that is written once more", func() {
	// Guards against a repeated refusal that is taken for the response to a later request, which the server runs.
	for name, c := range map[string]struct {
		refusal string
		probe   bool
	}{
		"of a call, without a request id": {refusal: "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		"of a call, with its request id":  {refusal: "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: first\r\nContent-Length: 0\r\n\r\n"},
		"of a probe":                      {refusal: "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", probe: true},
		"of another server's call":        {refusal: "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"},
	} {
		It("does not refuse a later request: "+name, func() {
			s := New(Config{ParseHeaders: func(status int, h http.Header) HeaderInfo {
				r := parseTestHeaders(status, h)
				r.Shed = h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest
				if r.Shed {
					r.InvalidReason = ""
				}
				return r
			}})
			DeferCleanup(s.Close)
			srv := newTestServer(func(conn net.Conn, n, r int) {
				if n == 0 && r == 0 {
					write(conn, c.refusal)
					return
				}
				if n == 0 {
					// The copy comes first, when the connection is in use again.
					write(conn, c.refusal)
				}
				write(conn, "HTTP/1.1 200 OK\r\nSign: x\r\nId: second\r\nContent-Length: 3\r\n\r\nown")
			})
			do := func(id string, probe bool) (*Response, error) {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				res, err := s.Do(ctx, &Request{Address: srv.address, Method: http.MethodGet, Path: "/item", ID: id, Probe: probe})
				if err != nil {
					return nil, err
				}
				defer res.Body.Close()
				_, err = io.ReadAll(res.Body)
				return res, err
			}
			id := "first"
			if c.probe {
				id = ""
			}
			_, err := do(id, c.probe)
			Expect(err).NotTo(HaveOccurred())
			res, err := do("second", false)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Shed).To(BeFalse(), "the server runs the second request")
			Expect(res.Status).To(Equal(http.StatusOK))
		})
	}
})

var _ = Describe("a response whose head breaks off", func() {
	// Guards against a part of a head that is taken for a whole response without a body.
	It("is an error wherever it breaks off, after which the call may have run", func() {
		const head = "HTTP/1.1 200 OK\r\nSign: x\r\nId: now\r\nContent-Length: 3\r\nBackend-Load: 1,0,6\r\n\r\n"
		for n := range len(head) {
			s := New(Config{ParseHeaders: parseTestHeaders, AllowCloseDelimited: true})
			srv := newTestServer(func(conn net.Conn, _, _ int) {
				write(conn, head[:n])
				_ = conn.Close()
			})
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			res, err := s.Do(ctx, &Request{Address: srv.address, Method: http.MethodGet, Path: "/item", ID: "now"})
			if err == nil {
				_, err = io.ReadAll(res.Body)
				res.Body.Close()
			}
			cancel()
			s.Close()
			var se *Error
			Expect(errors.As(err, &se)).To(BeTrue(), "broken off after %q: %v", head[:n], err)
			Expect(se.Written).To(BeTrue())
		}
	})
})
