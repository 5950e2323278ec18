package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// call is one client attempt.
type call struct {
	method, path string
	body         []byte
	deadline     time.Duration
	id           string
}

// answer is what a client got; status 0 stands for no complete answer.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	err        error
	sentAt, at time.Time
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), lastID.Add(1)) }

// send sends one client attempt on a new connection and waits for the answer until its time budget has passed.
func (f *fleet) send(address string, c *call) (a answer) {
	if c.id == "" {
		c.id = newID()
	}
	a.sentAt = time.Now()
	defer func() {
		a.at = time.Now()
		f.rec.log("client: %s %s %q to %s: answered %d stamp %q after %d ms (%v)", c.id, c.method, c.path, address, a.status, a.header.Get("Server-Stamp"), a.at.Sub(a.sentAt).Milliseconds(), a.err)
	}()
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer nc.Close()
	_ = nc.SetDeadline(a.sentAt.Add(c.deadline + 500*time.Millisecond))
	f.rec.log("client: %s %s %q sent to %s", c.id, c.method, c.path, address)
	var req bytes.Buffer
	fmt.Fprintf(&req, "%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", c.method, c.path, c.id, c.deadline.Milliseconds())
	if len(c.body) > 0 || c.method != "GET" {
		fmt.Fprintf(&req, "Content-Length: %d\r\n", len(c.body))
	}
	req.WriteString("\r\n")
	req.Write(c.body)
	if _, a.err = nc.Write(req.Bytes()); a.err != nil {
		return a
	}
	res, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: c.method})
	if err != nil {
		a.err = err
		return a
	}
	defer res.Body.Close()
	if a.body, a.err = io.ReadAll(res.Body); a.err == nil {
		a.status, a.header = res.StatusCode, res.Header
	}
	return a
}

func shuffled[T any](list []T) []T {
	out := append([]T{}, list...)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
