package receiver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/dispatcher"
)

const (
	uploadHead = "PUT /p/x HTTP/1.1\r\nHost: shop.example\r\nId: first\r\n"
	// embedded is a whole request. Where it stands in a body, no server may get it.
	embedded = "PUT /p/y HTTP/1.1\r\nHost: shop.example\r\nId: embedded\r\nContent-Length: 0\r\n\r\n"
	// promptly is well over the time of a refusal on a busy machine and below every time limit of an entry.
	promptly = 250 * time.Millisecond
)

// chunked returns body in one chunk, without the last one.
func chunked(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }

// dialRouted opens a connection that ends with the test.
func dialRouted(tr *routedTestReceiver) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", tr.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return conn, bufio.NewReader(conn)
}

// expectResponse reads a response and its body within the given time.
func expectResponse(conn net.Conn, r *bufio.Reader, within time.Duration, description ...any) *http.Response {
	GinkgoHelper()
	Expect(conn.SetReadDeadline(time.Now().Add(within))).To(Succeed())
	res, err := http.ReadResponse(r, nil)
	Expect(err).NotTo(HaveOccurred(), description...)
	_, err = io.Copy(io.Discard, res.Body)
	Expect(err).NotTo(HaveOccurred(), description...)
	Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return res
}

// ids returns the ids of the calls that the dispatcher got.
func (tr *routedTestReceiver) ids() (ids []string) {
	for _, c := range tr.receivedCalls() {
		ids = append(ids, c.RequestID)
	}
	return ids
}

// refusals are the ways to refuse a call by its header.
var refusals = map[string]struct {
	setUp  func(*routedTestReceiver)
	header string
	status int
}{
	"while the entry stops":        {func(tr *routedTestReceiver) { tr.refusing = true }, "", 503},
	"before a configuration":       {func(tr *routedTestReceiver) { tr.cfg.Store(nil) }, "", 503},
	"with a header over the limit": {nil, "A: " + strings.Repeat("a", 20_000) + "\r\n", 431},
	"with a bad header":            {nil, "Bad: 1\r\n", 400},
	"with a body over the limit":   {func(tr *routedTestReceiver) { tr.cfg.Load().Routing.Limits.BodyBytes = 1 }, "", 413},
}

var _ = Describe("a refused upload", func() {
	bodies := map[string]struct{ head, begin, rest string }{
		"of known length that doesn't come":   {"Content-Length: 300\r\n\r\n", "", strings.Repeat("a", 300)},
		"of known length that is cut":         {"Content-Length: 300\r\n\r\n", "abc", strings.Repeat("a", 297)},
		"in chunks that don't come":           {"Transfer-Encoding: chunked\r\n\r\n", "", chunked("abc") + "0\r\n\r\n"},
		"cut inside a chunk":                  {"Transfer-Encoding: chunked\r\n\r\n", "12c\r\nabc", strings.Repeat("a", 297) + "\r\n0\r\n\r\n"},
		"cut before the last chunk":           {"Transfer-Encoding: chunked\r\n\r\n", chunked("abc"), "0\r\n\r\n"},
		"cut inside the trailer":              {"Transfer-Encoding: chunked\r\n\r\n", chunked("abc") + "0\r\nA: b\r\nC", ": d\r\n\r\n"},
		"that waits for 100 Continue":         {"Expect: 100-continue\r\nContent-Length: 300\r\n\r\n", "", strings.Repeat("a", 300)},
		"in chunks that wait for it":          {"Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n", "", chunked("abc") + "0\r\n\r\n"},
		"with a request for the rest of it":   {"Content-Length: " + strconv.Itoa(len(embedded)) + "\r\n\r\n", "", embedded},
		"with a request for one of its parts": {"Transfer-Encoding: chunked\r\n\r\n", "", chunked(embedded) + "0\r\n\r\n"},
	}
	for cause, refusal := range refusals {
		// Guards against refusals that wait for the rest of a body, and against bodies that are handled as requests.
		It(cause+" gets its response at once, and nothing of it is sent", func() {
			tr := newRoutedTestReceiver()
			tr.do = respondWith(200)
			if refusal.setUp != nil {
				refusal.setUp(tr)
			}
			var wg sync.WaitGroup
			for name, body := range bodies {
				if refusal.status == http.StatusRequestEntityTooLarge && !strings.Contains(body.begin, "abc") {
					continue // There is no body that could be too large.
				}
				conn, r := dialRouted(tr)
				wg.Go(func() {
					defer GinkgoRecover()
					_, err := io.WriteString(conn, uploadHead+refusal.header+body.head+body.begin)
					Expect(err).NotTo(HaveOccurred(), name)
					res := expectResponse(conn, r, promptly, name)
					Expect(res.StatusCode).To(Equal(refusal.status), name)
					Expect(res.Close).To(BeTrue(), name)
					if res.StatusCode == http.StatusServiceUnavailable {
						Expect(res.Header.Get("Retry-After")).NotTo(BeEmpty(), name)
					}
					// What follows is not handled, and doesn't reset the connection.
					_, err = io.WriteString(conn, body.rest+embedded)
					Expect(err).NotTo(HaveOccurred(), name)
					after, err := io.ReadAll(r)
					Expect(after).To(BeEmpty(), name)
					Expect(err).NotTo(HaveOccurred(), name)
				})
			}
			wg.Wait()
			Expect(tr.ids()).To(BeEmpty())
		})
	}

	// Guards against unread bodies that are handled as requests, and against resets in place of responses, on either side of the size up to which
	// net/http reads them.
	It("with requests for a body, all sent at once, gets its response, and none of them is handled", func() {
		tr := newRoutedTestReceiver()
		tr.do = respondWith(200)
		var wg sync.WaitGroup
		for cause, refusal := range refusals {
			if refusal.header == "" {
				continue
			}
			for _, size := range []int{2, 30, 256<<10 - 1, 256 << 10, 256<<10 + 1, 512<<10 + 1, 1 << 20} {
				body := strings.Repeat(embedded, size/len(embedded)+1)[:size]
				for name, message := range map[string]string{
					"length": "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n" + body,
					"chunks": "Transfer-Encoding: chunked\r\n\r\n" + chunked(body[:size/2]) + chunked(body[size/2:]) + "0\r\n\r\n",
				} {
					name = fmt.Sprintf("%s, %s, %d bytes", cause, name, size)
					conn, r := dialRouted(tr)
					wg.Go(func() {
						defer GinkgoRecover()
						go func() { _, _ = io.WriteString(conn, uploadHead+refusal.header+message) }()
						Expect(expectResponse(conn, r, 5*time.Second, name).StatusCode).To(Equal(refusal.status), name)
						_ = conn.SetReadDeadline(time.Now().Add(2 * promptly))
						after, _ := io.ReadAll(r)
						Expect(after).To(BeEmpty(), name)
					})
				}
			}
		}
		wg.Wait()
		Expect(tr.ids()).To(BeEmpty())
	})

	// Guards against callers without a response at the stop of an entry, because their bodies are late.
	It("whose body isn't complete when the entry ends its calls gets its response at once", func() {
		tr := newRoutedTestReceiver()
		tr.cfg.Load().Routing.Routes[0].Timeout = parser.Duration(10 * time.Second)
		tr.do = respondWith(200)
		conns, readers := make([]net.Conn, 2), make([]*bufio.Reader, 2)
		for i, begin := range []string{"Content-Length: 3\r\n\r\nab", "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n"} {
			conns[i], readers[i] = dialRouted(tr)
			_, err := io.WriteString(conns[i], uploadHead+"Remaining: 10s\r\n"+begin)
			Expect(err).NotTo(HaveOccurred())
		}
		// Both bodies are being read once the second caller is asked for its own.
		Expect(readers[1].ReadString('\n')).To(HavePrefix("HTTP/1.1 100 "))
		Expect(readers[1].ReadString('\n')).To(Equal("\r\n"))
		tr.receiver.EndBodies()
		for i, conn := range conns {
			res := expectResponse(conn, readers[i], promptly)
			Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(res.Close).To(BeTrue())
			Expect(res.Header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(tr.lastTrace().Cause).To(Equal("stopping"))
		Expect(tr.ids()).To(BeEmpty())
	})

	It("whose body has arrived leaves its connection to the calls that follow", func() {
		tr := newRoutedTestReceiver()
		tr.do = respondWith(200)
		for _, body := range []string{"Content-Length: 3\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n" + chunked("abc") + "0\r\nA: b\r\n\r\n"} {
			conn, r := dialRouted(tr)
			_, err := io.WriteString(conn, uploadHead+"Bad: 1\r\n"+body+strings.Replace(uploadHead, "first", "second", 1)+body)
			Expect(err).NotTo(HaveOccurred())
			Expect(expectResponse(conn, r, time.Second).StatusCode).To(Equal(400))
			Expect(expectResponse(conn, r, time.Second).StatusCode).To(Equal(200))
		}
		Expect(tr.ids()).To(Equal([]string{"second", "second"}))
	})
})

var _ = Describe("a call whose deadline has passed when its body is read", func() {
	// Guards against a read deadline that ends the context of a connection, and with it all later calls on it.
	It("doesn't cancel the calls that follow on its connection", func() {
		tr := newRoutedTestReceiver()
		tr.do = func(ctx context.Context, c *dispatcher.Call) (*dispatcher.Response, error) {
			select {
			case <-ctx.Done():
				return nil, &dispatcher.Error{Outcome: dispatcher.NotRun, Err: ctx.Err()}
			case <-time.After(5 * time.Millisecond):
				return respondWith(200)(ctx, c)
			}
		}
		for _, body := range []string{"Content-Length: 3\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n" + chunked("abc") + "0\r\n\r\n"} {
			conn, r := dialRouted(tr)
			for range 3 {
				_, err := io.WriteString(conn, uploadHead+"Remaining: 1ns\r\n"+body)
				Expect(err).NotTo(HaveOccurred())
				Expect(expectResponse(conn, r, time.Second).StatusCode).To(Equal(200))
			}
		}
	})
})
