package prover

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// Deadlines of calls.
const (
	refusalMinDeadline = 1500 * time.Millisecond
	refusalMaxDeadline = 5 * time.Second
)

// refusalSent is what a client notes of a call.
type refusalSent struct {
	id, entry, style string
	// nth is the number of the call on its connection.
	nth, size             int
	deadline              time.Duration
	begin, sent, answered time.Time
	// status is 0 without a complete response; failure says why, and wrong what is another call's in a response.
	status         int
	failure, wrong string
	// signed is set if the response has a server's signature.
	signed bool
}

// refusalBody returns the body of a call.
func refusalBody(id string, size int) string {
	return strings.Repeat(id+"|", size/(len(id)+1)+1)[:size]
}

// refusalClient makes calls that may run only once over connections of its own.
type refusalClient struct {
	run   *refusalRun
	n     int
	calls int
	rand  *rand.Rand
}

// refusalConnection is a client's connection to an entry.
type refusalConnection struct {
	*net.TCPConn
	client *refusalClient
	entry  string
	reader *bufio.Reader
	calls  int
}

func (c *refusalClient) loop(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(c.rand.IntN(80)) * time.Millisecond):
		}
		i := c.rand.IntN(len(c.run.fleet.entries))
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", c.run.fleet.entries[i].ip, frontPort), time.Second)
		if err != nil {
			continue
		}
		tc := conn.(*net.TCPConn)
		k := &refusalConnection{TCPConn: tc, client: c, entry: fmt.Sprintf("front-%d", i), reader: bufio.NewReader(tc)}
		for range 1 + c.rand.IntN(6) {
			if !k.use() {
				break
			}
			time.Sleep(time.Duration(c.rand.IntN(40)) * time.Millisecond)
		}
		_ = conn.Close()
	}
}

// newCall notes a call before its first byte is sent.
func (k *refusalConnection) newCall(style string) *refusalSent {
	c := k.client
	c.calls++
	k.calls++
	size := 300 + c.rand.IntN(1500)
	if style == "large" || c.rand.IntN(12) == 0 {
		size = 2000 + c.rand.IntN(100<<10)
	}
	call := &refusalSent{
		id: fmt.Sprintf("r%d-%d-%d", c.run.seed, c.n, c.calls), entry: k.entry, style: style, nth: k.calls, size: size, begin: time.Now(),
		deadline: refusalMinDeadline + time.Duration(c.rand.Int64N(int64(refusalMaxDeadline-refusalMinDeadline))),
	}
	c.run.update(func() { c.run.calls[call.id] = call })
	return call
}

// pieces returns the parts of the request: its header, the chunks of its body and the end.
func (k *refusalConnection) pieces(call *refusalSent) (parts []string) {
	head := fmt.Sprintf("PUT /o/%s/%d HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nX-Entry: %s\r\n",
		call.id, call.size, call.id, call.deadline.Milliseconds(), call.entry)
	body := refusalBody(call.id, call.size)
	if call.style == "length" {
		return []string{fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, call.size), body}
	}
	parts = append(parts, head+"Transfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := min(len(body), 1+k.client.rand.IntN(max(call.size/2, 1)))
		parts = append(parts, fmt.Sprintf("%x\r\n%s\r\n", n, body[:n]))
		body = body[n:]
	}
	return append(parts, "0\r\n\r\n")
}

// send writes parts with a pause after each of up to the given time.
func (k *refusalConnection) send(parts []string, pause time.Duration) bool {
	_ = k.SetWriteDeadline(time.Now().Add(refusalMaxDeadline))
	if pause == 0 {
		parts = []string{strings.Join(parts, "")}
	}
	for _, p := range parts {
		if _, err := k.Write([]byte(p)); err != nil {
			return false
		}
		if pause > 0 {
			time.Sleep(time.Duration(k.client.rand.Int64N(int64(pause))))
		}
	}
	return true
}

// refusalStyles are the ways in which clients make calls, by name, with their weights. Each reports whether the connection can be used again.
var refusalStyles = map[string]struct {
	weight int
	call   func(k *refusalConnection, style string) bool
}{
	"at once":    {40, (*refusalConnection).callOnce},
	"length":     {8, (*refusalConnection).callOnce},
	"large":      {6, (*refusalConnection).callOnce},
	"slow":       {12, (*refusalConnection).callSlowly},
	"pipelined":  {12, (*refusalConnection).callPipelined},
	"half-close": {6, (*refusalConnection).callAndHalfClose},
	"cut":        {4, (*refusalConnection).cut},
	"endless":    {2, (*refusalConnection).callEndless},
	"leave":      {3, (*refusalConnection).callAndLeave},
}

// use makes calls in a random style.
func (k *refusalConnection) use() (more bool) {
	total := 0
	for _, s := range refusalStyles {
		total += s.weight
	}
	x := k.client.rand.IntN(total)
	for _, name := range k.client.run.styles {
		s := refusalStyles[name]
		if x -= s.weight; x < 0 {
			return s.call(k, name)
		}
	}
	return false
}

func (k *refusalConnection) callOnce(style string) bool {
	call := k.newCall(style)
	k.send(k.pieces(call), 0)
	k.markSent(call)
	return k.receive(call)
}

func (k *refusalConnection) callSlowly(style string) bool {
	call := k.newCall(style)
	k.send(k.pieces(call), 60*time.Millisecond)
	k.markSent(call)
	return k.receive(call)
}

func (k *refusalConnection) callPipelined(style string) bool {
	var calls []*refusalSent
	var parts []string
	for range 2 + k.client.rand.IntN(3) {
		call := k.newCall(style)
		calls = append(calls, call)
		parts = append(parts, k.pieces(call)...)
	}
	k.send(parts, 0)
	k.markSent(calls...)
	for _, call := range calls {
		if !k.receive(call) {
			return false
		}
	}
	return true
}

func (k *refusalConnection) callAndHalfClose(style string) bool {
	call := k.newCall(style)
	k.send(k.pieces(call), 0)
	_ = k.CloseWrite()
	k.markSent(call)
	k.receive(call)
	return false
}

// cut closes or resets the connection inside the body.
func (k *refusalConnection) cut(style string) bool {
	parts := k.pieces(k.newCall(style))
	k.send(parts[:1+k.client.rand.IntN(len(parts)-1)], 20*time.Millisecond)
	if k.client.rand.IntN(2) == 0 {
		_ = k.SetLinger(0)
	}
	return false
}

// callEndless sends no end of the body, and waits for a response.
func (k *refusalConnection) callEndless(style string) bool {
	call := k.newCall(style)
	parts := k.pieces(call)
	k.send(parts[:len(parts)-1], 20*time.Millisecond)
	k.markSent(call)
	k.receive(call)
	return false
}

// callAndLeave closes or resets the connection before the response.
func (k *refusalConnection) callAndLeave(style string) bool {
	k.send(k.pieces(k.newCall(style)), 0)
	time.Sleep(time.Duration(k.client.rand.IntN(60)) * time.Millisecond)
	if k.client.rand.IntN(2) == 0 {
		_ = k.SetLinger(0)
	}
	return false
}

func (k *refusalConnection) markSent(calls ...*refusalSent) {
	k.client.run.update(func() {
		for _, c := range calls {
			c.sent = time.Now()
		}
	})
}

// receive reads the response to the call and reports whether the connection can be used again.
func (k *refusalConnection) receive(call *refusalSent) bool {
	_ = k.SetReadDeadline(time.Now().Add(call.deadline + time.Second))
	res, err := http.ReadResponse(k.reader, &http.Request{Method: http.MethodPut})
	for err == nil && res.StatusCode < http.StatusOK {
		res, err = http.ReadResponse(k.reader, &http.Request{Method: http.MethodPut})
	}
	var body []byte
	if err == nil {
		body, err = io.ReadAll(res.Body)
	}
	status, wrong, failure, signed := 0, "", "", false
	switch {
	case err == nil:
		status = res.StatusCode
		signed = res.Header.Get("Server-Stamp") != ""
		wrong = wrongResponse(call.id, res, string(body))
	case errors.Is(err, os.ErrDeadlineExceeded):
		failure = "no response"
	default:
		failure = err.Error()[strings.LastIndex(err.Error(), ": ")+1:]
		if strings.Contains(err.Error(), "malformed") {
			wrong = err.Error()
		}
	}
	if res != nil && err != nil && meansRefused(res.StatusCode) {
		// The status has reached the client.
		status = res.StatusCode
	}
	k.client.run.update(func() {
		call.answered, call.status, call.wrong, call.failure, call.signed = time.Now(), status, wrong, failure, signed
	})
	return err == nil && !res.Close
}

// wrongResponse returns what isn't the call's own in a response, or an empty string.
func wrongResponse(id string, res *http.Response, body string) string {
	stamp := res.Header.Get("Server-Stamp")
	switch got := res.Header.Get("Request-Id"); {
	case got != "" && got != id:
		return fmt.Sprintf("status %d names request %s", res.StatusCode, got)
	case stamp != "" && stamp != "stamp-"+id:
		return fmt.Sprintf("status %d with signature %s", res.StatusCode, stamp)
	case res.StatusCode/100 == 2 && (stamp == "" || body != "ran "+id):
		return fmt.Sprintf("status %d with signature %q and body %q", res.StatusCode, stamp, body)
	}
	return ""
}
