package sender

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/registrar"
)

// faultyServer reads the requests of a connection one after the other and tells the truth in its responses to them, but also writes responses
// that belong to no request, though none before the first request of a connection has one, says things that contradict each other, and closes connections.
type faultyServer struct {
	mu   sync.Mutex
	rand *rand.Rand
	// ran holds the sends that the server ran.
	ran map[string]bool
}

func (s *faultyServer) happens(share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64() < share
}

func (s *faultyServer) choose(texts ...string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return texts[s.rand.IntN(len(texts))]
}

// faultyConn is one connection of a faultyServer; mu keeps responses whole. written holds what was written on it.
type faultyConn struct {
	net.Conn
	mu      sync.Mutex
	written []string
}

func (c *faultyConn) write(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = append(c.written, text)
	_, _ = io.WriteString(c.Conn, text)
}

// stray returns a response that belongs to no request: one without an id, or a copy of one on this connection.
func (s *faultyServer) stray(c *faultyConn) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.choose(append([]string{
		"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 Other\r\nServer: other\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	}, c.written...)...)
}

func (s *faultyServer) serve(nc net.Conn) {
	c := &faultyConn{Conn: nc}
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/health" {
			c.write("HTTP/1.1 200 OK\r\nServer: i\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			return
		}
		if _, err = io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if n > 0 && s.happens(0.2) {
			c.write(s.stray(c))
		}
		text := s.handle(req)
		if text == "" {
			return
		}
		c.write(text)
		if s.happens(0.2) {
			stray := s.stray(c)
			time.AfterFunc(time.Duration(len(stray)%5)*time.Millisecond, func() { c.write(stray) })
		}
	}
}

// handle refuses or runs a request, and returns the response; empty to close the connection.
func (s *faultyServer) handle(req *http.Request) string {
	id := "Id: " + req.Header.Get("Id") + "\r\n"
	if s.happens(0.5) {
		return s.choose(
			"HTTP/1.1 503 Full\r\nNot-Run: 1\r\n"+id+"Content-Length: 0\r\n\r\n",
			"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 421 Other\r\nServer: other\r\n"+id+"Content-Length: 0\r\n\r\n",
			"HTTP/1.1 421 Other\r\nServer: other\r\nContent-Length: 0\r\n\r\n",
		)
	}
	s.mu.Lock()
	s.ran[req.Header.Get("Send")] = true
	delay := time.Duration(s.rand.IntN(3)) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(delay)
	success := "HTTP/1.1 200 OK\r\nStamp: 1\r\n" + id + "Content-Length: 3\r\n\r\nown"
	return s.choose(success, success, success,
		"HTTP/1.1 503 Failed\r\n"+id+"Content-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Failed\r\nStamp: 1\r\nNot-Run: 1\r\n"+id+"Content-Length: 0\r\n\r\n",
		"HTTP/1.1 421 Own\r\nServer: i\r\n"+id+"Content-Length: 0\r\n\r\n",
		"HTTP/1.1 421 Own\r\n"+id+"Content-Length: 0\r\n\r\n",
		"")
}

// Guards against an attempt that counts as not run although its server ran it, in any order of true responses and others.
func TestNothingProvesThatARunRequestWasNotRun(t *testing.T) {
	const callers, calls, attempts = 8, 60, 3
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			srv := &faultyServer{rand: rand.New(rand.NewPCG(seed, 0)), ran: make(map[string]bool)}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go srv.serve(c)
				}
			}()
			s := New(Config{ParseHeaders: parseMatchHeaders, NamesRequests: true, MarkerPath: func(string) string { return "/health" }})
			defer s.Close()
			var mu sync.Mutex
			proofs := make(map[string]string)
			var wg sync.WaitGroup
			for caller := range callers {
				wg.Go(func() {
					for n := range calls * attempts {
						id := fmt.Sprintf("%d-%d", caller, n/attempts)
						send := fmt.Sprintf("%s-%d", id, n%attempts)
						size := (n % 3) * maxInlineBody
						if proof := proveNotRun(s, l.Addr().String(), id, send, size); proof != "" {
							mu.Lock()
							proofs[send] = proof
							mu.Unlock()
						}
					}
				})
			}
			wg.Wait()
			srv.mu.Lock()
			defer srv.mu.Unlock()
			for send, proof := range proofs {
				if srv.ran[send] {
					t.Errorf("send %s was run and counts as not run: %s", send, proof)
				}
			}
			if len(proofs) < callers*calls*attempts/5 {
				t.Errorf("%d of %d sends count as not run, want at least a fifth: the server refuses half", len(proofs), callers*calls*attempts)
			}
		})
	}
}

// proveNotRun sends a request and returns why it counts as not run; empty if it doesn't.
func proveNotRun(s *Sender, address, id, send string, size int) (proof string) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	res, err := s.Do(ctx, &Request{
		Address: address, Server: registrar.Key{Service: "s", InstanceID: "i"}, Method: http.MethodPost, Path: "/item", ID: id,
		Header: http.Header{"Id": {id}, "Send": {send}}, Body: []byte(strings.Repeat("x", size)),
	})
	if err == nil {
		defer res.Body.Close()
		_, err = io.Copy(io.Discard, res.Body)
	}
	var se *Error
	switch {
	case errors.As(err, &se) && !se.Written:
		return "not written: " + err.Error()
	case err == nil && res.Shed:
		return fmt.Sprintf("refused with status %d, exchange %d, proof %s", res.Status, res.Exchange, res.Proof)
	}
	return ""
}
