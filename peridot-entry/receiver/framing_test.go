package receiver

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotswitch.example/peridot-entry/dispatcher"
)

// Guards against calls that the dispatcher gets of a request whose end is in doubt, and against bodies that aren't the caller's.
var _ = Describe("the body of a routed call", func() {
	const chunks, length = "Transfer-Encoding: chunked\r\n", "Content-Length: 3\r\n"
	two := uploadHead + length + "\r\nabc" + strings.Replace(uploadHead, "first", "second", 1) + chunks + "\r\n3\r\nabc\r\n0\r\n\r\n"
	for name, c := range map[string]struct {
		send string
		want []string
		ids  []string
	}{
		"with both a length and chunks":          {uploadHead + length + chunks + "\r\n3\r\nabc\r\n0\r\n\r\n" + embedded, []string{"200 OK", "Connection: close"}, []string{"first"}},
		"with both the other way round":          {uploadHead + chunks + "content-length:3\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + embedded, []string{"200 OK", "Connection: close"}, []string{"first"}},
		"with both, behind another call":         {uploadHead + length + "\r\nabc" + uploadHead + length + chunks + "\r\n3\r\nabc\r\n0\r\n\r\n" + embedded, []string{"200 OK", "Connection: close"}, []string{"first", "first"}},
		"with chunks behind one with a length":   {two, []string{"200 OK"}, []string{"first", "second"}},
		"with several transfer encodings":        {uploadHead + chunks + chunks + "\r\n3\r\nabc\r\n0\r\n\r\n" + embedded, []string{"501 Not Implemented"}, nil},
		"with a folded transfer encoding":        {uploadHead + "Transfer-Encoding: x,\r\n chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + embedded, []string{"501 Not Implemented"}, nil},
		"with a folded length":                   {uploadHead + "Content-Length: 3\r\n 0\r\n\r\nabc" + embedded, []string{"400 Bad Request"}, nil},
		"with two lengths":                       {uploadHead + length + "Content-Length: 4\r\n\r\nabc" + embedded, []string{"400 Bad Request"}, nil},
		"with chunk extensions and a trailer":    {uploadHead + chunks + "\r\n3;a=b\r\nabc\r\n0;c\r\nD: e\r\n\r\n", []string{"200 OK"}, []string{"first"}},
		"with an endless chunk extension":        {uploadHead + chunks + "\r\n3;" + strings.Repeat("a", 1<<16) + "\r\nabc\r\n0\r\n\r\n" + embedded, []string{"400 Bad Request"}, nil},
		"with a malformed trailer":               {uploadHead + chunks + "\r\n3\r\nabc\r\n0\r\nD\r\n\r\n" + embedded, []string{"400 Bad Request"}, nil},
		"with a chunk longer than its size":      {uploadHead + chunks + "\r\n3\r\nabcd\r\n0\r\n\r\n" + embedded, []string{"400 Bad Request"}, nil},
		"longer than its length":                 {uploadHead + length + "\r\nabc=" + embedded, []string{"200 OK", "400 Bad Request"}, []string{"first"}},
		"with an unknown expectation":            {uploadHead + "Expect: tea\r\n" + length + "\r\nabc" + embedded, []string{"417 Expectation Failed"}, nil},
		"of an unknown version":                  {strings.Replace(uploadHead, "1.1", "3.0", 1) + length + "\r\nabc" + embedded, []string{"505 HTTP Version Not Supported"}, nil},
		"that an unknown expectation holds back": {uploadHead + "Expect: tea\r\n" + length + "\r\n", []string{"417 Expectation Failed", "Connection: close"}, nil},
		"that is not in by the call's deadline":  {uploadHead + "Remaining: 50ms\r\n" + length + "\r\nab", []string{"408 Request Timeout", "Connection: close"}, nil},
	} {
		It(name, func() {
			tr := newRoutedTestReceiver()
			tr.do = respondWith(200)
			got := tr.sendRaw(c.send, promptly)
			for _, want := range c.want {
				Expect(got).To(ContainSubstring(want))
			}
			Expect(tr.ids()).To(Equal(c.ids))
			for _, call := range tr.receivedCalls() {
				Expect(string(call.Body)).To(Equal("abc"))
			}
		})
	}

	// Guards against both that are not noticed when net/http has read a part of the request with the one before, and against connections that are
	// closed for the length of the call before.
	It("with both a length and chunks is told from one with chunks behind another call, wherever a read ends", func() {
		tr := newRoutedTestReceiver()
		tr.do = respondWith(200)
		both := uploadHead + "A: b\r\n" + length + "A: " + strings.Repeat("a", 500) + "\r\n" + chunks + "\r\n3\r\nabc\r\n0\r\n\r\n"
		one := uploadHead + "A: " + strings.Repeat("a", 500) + "\r\n" + chunks + "\r\n3\r\nabc\r\n0\r\n\r\n"
		begin := uploadHead + length + "\r\nabc"
		var wg sync.WaitGroup
		for n := range len(uploadHead) + 40 {
			for second, closes := range map[string]bool{both: true, one: false} {
				conn, r := dialRouted(tr)
				wg.Go(func() {
					defer GinkgoRecover()
					_, err := io.WriteString(conn, begin+second[:n])
					Expect(err).NotTo(HaveOccurred())
					Expect(expectResponse(conn, r, time.Second).Close).To(BeFalse())
					_, err = io.WriteString(conn, second[n:])
					Expect(err).NotTo(HaveOccurred())
					res := expectResponse(conn, r, time.Second)
					Expect(res.StatusCode).To(Equal(200))
					// With more of the request in net/http's buffer, the connection may be closed for the length of the call before.
					if closes || n < 4 {
						Expect(res.Close).To(Equal(closes), "%d bytes", n)
					}
				})
			}
		}
		wg.Wait()
		Expect(tr.ids()).To(HaveLen(2*2*(len(uploadHead)+40)), "no call is handled twice")
	})

	It("that comes byte by byte behind another call is handled once, and whole", func() {
		tr := newRoutedTestReceiver()
		tr.do = respondWith(200)
		conn, r := dialRouted(tr)
		for _, body := range []string{length + "\r\nabc", chunks + "\r\n1;a\r\na\r\n2\r\nbc\r\n0\r\nD: e\r\n\r\n"} {
			for _, b := range []byte(uploadHead + body) {
				_, err := conn.Write([]byte{b})
				Expect(err).NotTo(HaveOccurred())
				time.Sleep(100 * time.Microsecond)
			}
			Expect(expectResponse(conn, r, time.Second).StatusCode).To(Equal(200))
		}
		Expect(tr.ids()).To(Equal([]string{"first", "first"}))
		for _, call := range tr.receivedCalls() {
			Expect(string(call.Body)).To(Equal("abc"))
		}
	})

	for name, part := range map[string]string{
		"at a length":            length + "\r\nab",
		"before its chunks":      chunks + "\r\n",
		"inside a chunk":         chunks + "\r\n3\r\nab",
		"before the last chunk":  chunks + "\r\n3\r\nabc\r\n",
		"inside the last chunk":  chunks + "\r\n3\r\nabc\r\n0\r\n",
		"inside the trailer":     chunks + "\r\n3\r\nabc\r\n0\r\nA: b\r\nC",
		"while the call is late": "Remaining: 20ms\r\n" + chunks + "\r\n3\r\n",
	} {
		It("that is cut "+name+" doesn't reach the dispatcher", func() {
			tr := newRoutedTestReceiver()
			tr.do = respondWith(200)
			conn, r := dialRouted(tr)
			_, err := io.WriteString(conn, uploadHead+part)
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.(interface{ CloseWrite() error }).CloseWrite()).To(Succeed())
			res := expectResponse(conn, r, time.Second)
			Expect(res.StatusCode).To(Equal(400))
			Expect(res.Close).To(BeTrue())
			Expect(tr.ids()).To(BeEmpty())
		})
	}
})

// Guards against a promise that a call has not run where a server ran it, for each status and method.
var _ = Describe("a status that promises that a call has not run", func() {
	for _, method := range []string{"GET", "HEAD", "PUT"} {
		for name, body := range map[string]string{"short": "x", "streamed": strings.Repeat("x", 1<<20)} {
			It("is not passed on from a server: "+method+", "+name, func() {
				tr := newRoutedTestReceiver()
				closed := make(chan struct{})
				tr.do = func(context.Context, *dispatcher.Call) (*dispatcher.Response, error) {
					return &dispatcher.Response{Outcome: dispatcher.Ran, Status: 503, Header: http.Header{"Retry-After": {"1"}, "Sign": {"x"}, "Content-Length": {"7"}}, Body: &closingBody{bytes.NewReader([]byte(body)), closed}}, nil
				}
				got := tr.sendRaw(method+" /p/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n", promptly)
				Expect(got).To(HavePrefix("HTTP/1.1 502 Bad Gateway"))
				Expect(got).NotTo(Or(ContainSubstring("Retry-After"), ContainSubstring("Sign"), ContainSubstring("xx")))
				Expect(closed).To(BeClosed())
			})
		}
	}

	It("is passed on at the product's own interface with the outcome ran", func() {
		tr := newTestReceiver()
		tr.respond = &dispatcher.Response{Outcome: dispatcher.Ran, Status: 503, Header: http.Header{"Retry-After": {"1"}}, Body: io.NopCloser(strings.NewReader("x"))}
		Expect(tr.sendRaw("PUT /call/s/x"+head+"Content-Length: 0\r\n\r\n", promptly)).To(And(HavePrefix("HTTP/1.1 503 "), ContainSubstring("Peridot-Outcome: ran\r\n")))
	})

	It("is not given to a call whose handler fails after the call was sent", func() {
		tr := newRoutedTestReceiver()
		tr.do = func(context.Context, *dispatcher.Call) (*dispatcher.Response, error) { panic(http.ErrAbortHandler) }
		Expect(tr.sendRaw(uploadHead+"Content-Length: 3\r\n\r\nabc"+embedded, promptly)).To(BeEmpty())
		Expect(tr.ids()).To(Equal([]string{"first"}))
	})
})

// closingBody is a body that tells when it is closed.
type closingBody struct {
	io.Reader
	closed chan struct{}
}

func (b *closingBody) Close() error {
	close(b.closed)
	return nil
}
