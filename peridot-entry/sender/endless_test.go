package sender

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

// maxGrowth bounds the memory that one response may occupy, whatever its server sends: twice the header limit, for the buffers.
const maxGrowth = 2*maxHeaderBytes + (1 << 20)

// startEndless starts a server that responds to each request with prefix and then repeats part until the connection is closed, with a pause
// after each part. closed receives a value for each connection that the client has closed.
func startEndless(t *testing.T, prefix, part string, pause time.Duration) (address string, closed <-chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	ended := make(chan struct{}, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { ended <- struct{}{} }()
				defer c.Close()
				if _, err := c.Read(make([]byte, 4096)); err != nil {
					return
				}
				_, err := io.WriteString(c, prefix)
				// A string would be copied at each write, which would count as memory in use.
				for repeated := []byte(part); err == nil; {
					time.Sleep(pause)
					_, err = c.Write(repeated)
				}
			}()
		}
	}()
	return l.Addr().String(), ended
}

// Servers in trouble may send bytes without end. A call must end by its deadline, with bounded memory, and its connection must be closed.
func TestResponsesWithoutEnd(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := map[string]struct{ prefix, part string }{
		"status line":              {"HTTP/1.1 200 ", strings.Repeat("O", 4096)},
		"no response at all":       {"", strings.Repeat("\x00", 4096)},
		"header line":              {ok + "A: ", strings.Repeat("b", 4096)},
		"header lines":             {ok, strings.Repeat("A: b\r\n", 512)},
		"informational responses":  {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"chunk size":               {chunked, strings.Repeat("0", 4096)},
		"chunk extension":          {chunked + "1;", strings.Repeat("x", 4096)},
		"chunks of extensions":     {chunked, "1;" + strings.Repeat("x", 1024) + "\r\na\r\n"},
		"trailers":                 {chunked + "0\r\n", strings.Repeat("A: b\r\n", 512)},
		"body without a length":    {ok + "Connection: close\r\n\r\n", strings.Repeat("b", 4096)},
		"body beyond its length":   {ok + "Content-Length: 5\r\n\r\n12345", strings.Repeat("b", 4096)},
		"body in chunks":           {chunked, "1000\r\n" + strings.Repeat("b", 4096) + "\r\n"},
		"bytes after the response": {ok + "Content-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	}
	for name, test := range tests {
		for kind, probe := range map[string]bool{"call": false, "probe": true} {
			for speed, slow := range map[string]bool{"fast": false, "slow": true} {
				t.Run(name+", "+kind+", "+speed, func(t *testing.T) {
					part, pause := test.part, time.Duration(0)
					if slow {
						part, pause = part[:1], 20*time.Millisecond
					}
					address, closed := startEndless(t, test.prefix, part, pause)
					s := New(Config{AllowCloseDelimited: true})
					defer s.Close()
					const timeout = 150 * time.Millisecond
					ctx, cancel := context.WithTimeout(context.Background(), timeout)
					defer cancel()
					before := heapInUse()
					begin := time.Now()
					res, err := s.Do(ctx, &Request{Address: address, Method: "GET", Path: "/item", Probe: probe})
					if err == nil {
						_, err = io.Copy(io.Discard, res.Body)
						_ = res.Body.Close()
					}
					if took := time.Since(begin); took > timeout+500*time.Millisecond {
						t.Errorf("took %v, want at most half a second over %v", took, timeout)
					}
					if grown := int64(heapInUse()) - int64(before); grown > maxGrowth {
						t.Errorf("%d bytes are in use, want at most %d", grown, maxGrowth)
					}
					if err == nil {
						// The response is complete; what follows must not reach the next call.
						time.Sleep(pause + 20*time.Millisecond)
						if h := s.pool.host(address); len(h.idle) > 0 && h.isUsable(h.idle[0], time.Now()) {
							t.Error("the connection would be used again")
						}
						s.Close()
					}
					select {
					case <-closed:
					case <-time.After(5 * time.Second):
						t.Error("the connection was not closed")
					}
				})
			}
		}
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
