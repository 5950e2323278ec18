package receiver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/tracer"
)

var _ = Describe("the trace of a routed call", func() {
	const head = "POST /p/x HTTP/1.1\r\nHost: shop.example\r\nId: 7\r\n"
	var tr *routedTestReceiver
	var conn net.Conn
	var r *bufio.Reader
	BeforeEach(func() {
		tr = newRoutedTestReceiver()
		tr.do = respondWith(200)
		var err error
		conn, err = net.Dial("tcp", tr.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		r = bufio.NewReader(conn)
	})
	send := func(first, rest string, pause time.Duration) (status int) {
		_, err := io.WriteString(conn, first)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(pause)
		_, err = io.WriteString(conn, rest)
		Expect(err).NotTo(HaveOccurred())
		res, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, res.Body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int {
			tr.mu.Lock()
			defer tr.mu.Unlock()
			return len(tr.traces)
		}, "2s").ShouldNot(BeZero())
		return res.StatusCode
	}

	// Guards against a record that can't tell whether a call was refused while its body was still coming.
	for name, c := range map[string]struct {
		first, rest string
		status      int
		chunked     bool
		bytes       int
	}{
		"with a body in chunks":           {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n", "3\r\nmor\r\n0\r\n\r\n", 200, true, 7},
		"with a length":                   {head + "Content-Length: 7\r\n\r\nfour", "mor", 200, false, 7},
		"with chunks over the limit":      {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n", "9\r\nninebytes\r\n0\r\n\r\n", 413, true, 10},
		"whose body breaks off malformed": {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n", "x\r\n", 400, true, 4},
	} {
		It(name+" has the size and time of the body", func() {
			const pause = 30 * time.Millisecond
			Expect(send(c.first, c.rest, pause)).To(Equal(c.status))
			t := tr.lastTrace()
			Expect(t.Chunked).To(Equal(c.chunked))
			Expect(t.BodyBytes).To(Equal(c.bytes))
			Expect(t.Body).To(BeNumerically(">=", pause/2))
			Expect(t.Body).To(BeNumerically("<=", t.Total))
		})
	}

	// Guards against a record in which a request on a kept connection looks like the first.
	It("has the number of the request on its connection", func() {
		const get = "GET /p/x HTTP/1.1\r\nHost: shop.example\r\nId: 7\r\n\r\n"
		for n := 1; n <= 2; n++ {
			send(get, "", 0)
			Eventually(func() int { return tr.lastTrace().CallerRequest }, "2s").Should(Equal(n))
			Expect(tr.lastTrace().Caller).To(Equal(conn.LocalAddr().String()))
		}
		send("GET /q/x HTTP/1.1\r\nHost: shop.example\r\n\r\n", "", 0)
		Eventually(func() int { return tr.lastTrace().CallerRequest }, "2s").Should(Equal(3), "refused without an attempt")
	})

	// Guards against a count of refusals without proof that misses those of earlier attempts, or counts proven ones.
	It("marks the attempts whose status alone says that they were not run", func() {
		tr.do = func(_ context.Context, c *dispatcher.Call) (*dispatcher.Response, error) {
			c.Trace.Attempts = []tracer.Attempt{{Status: 503, Refusal: "named"}, {Status: 503}, {Status: 500}, {}}
			return nil, &dispatcher.Error{Outcome: dispatcher.Unknown, Err: errors.New("reset")}
		}
		Expect(send(head+"Content-Length: 0\r\n\r\n", "", 0)).To(Equal(502))
		var unproven []bool
		for _, a := range tr.lastTrace().Attempts {
			unproven = append(unproven, a.Unproven)
		}
		Expect(unproven).To(Equal([]bool{false, true, false, false}))
	})
})
