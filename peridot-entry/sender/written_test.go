package sender

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// lateWriteConn is a connection whose server has gone away for reads, and whose Close leaves the write in the background the time to begin.
type lateWriteConn struct {
	*net.TCPConn
	written atomic.Bool
	// afterWrite makes reads fail only once the write has begun.
	afterWrite bool
}

func (c *lateWriteConn) Read([]byte) (int, error) {
	for c.afterWrite && !c.written.Load() {
		time.Sleep(time.Millisecond)
	}
	return 0, io.EOF
}

func (c *lateWriteConn) Write(p []byte) (int, error) {
	c.written.Store(true)
	return c.TCPConn.Write(p)
}

func (c *lateWriteConn) Close() error {
	time.Sleep(10 * time.Millisecond)
	return c.TCPConn.Close()
}

// Guards against a call that counts as not written, and is sent to another server, whose write in the background has yet to begin.
func TestNotWrittenMeansNeverWritten(t *testing.T) {
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
			go func() {
				defer c.Close()
				_, _ = io.Copy(io.Discard, c)
			}()
		}
	}()
	tests := map[string]struct {
		size int
		// begun is true when the write has begun before the read fails.
		begun bool
	}{
		"a body written in the background":         {size: maxInlineBody + 1},
		"a body that has begun to be written":      {size: maxInlineBody + 1, begun: true},
		"a body written before the read":           {size: maxInlineBody, begun: true},
		"no body":                                  {begun: true},
		"a long body written in the background":    {size: 1 << 20},
		"a long body that has begun to be written": {size: 1 << 20, begun: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(Config{})
			defer s.Close()
			for range 20 {
				nc, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				late := &lateWriteConn{TCPConn: nc.(*net.TCPConn), afterWrite: test.begun}
				h := s.pool.host(l.Addr().String())
				_, _ = h.take(0, false, 0)
				h.put(newConn(late, h, time.Now()))
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				_, err = s.Do(ctx, &Request{Address: l.Addr().String(), Method: http.MethodPost, Path: "/item", Body: make([]byte, test.size)})
				cancel()
				var se *Error
				if !errors.As(err, &se) {
					t.Fatalf("got the error %v, want one of an attempt", err)
				}
				if !se.Written && late.written.Load() {
					t.Fatalf("bytes were sent by an attempt that failed with %v and counts as not written", err)
				}
				if test.begun && !se.Written {
					t.Fatalf("an attempt that sent bytes counts as not written: %v", err)
				}
			}
		})
	}
}

// Guards against a call that counts as refused by a response that came before any of it was written, and is written all the same.
func TestResponseBeforeTheRequestIsWritten(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for name, written := range map[string]bool{"before": false, "after": true} {
		t.Run(name, func(t *testing.T) {
			client, server := net.Pipe()
			defer server.Close()
			c := newConn(client, nil, time.Now())
			defer c.Close()
			c.beginExchange(0)
			received := make(chan int, 1)
			go func() {
				if !written {
					write(server, refusal)
				}
				_ = server.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
				n, _ := server.Read(make([]byte, 9))
				if written {
					write(server, refusal)
				}
				received <- n
			}()
			send := func() error {
				_, err := c.Write([]byte("PUT /item"))
				return err
			}
			if written {
				if err := send(); err != nil {
					t.Fatal(err)
				}
			}
			_, err := c.reader.Peek(1)
			if (err == nil) != written {
				t.Errorf("reading the response returned the error %v, want none only after the request was sent", err)
			}
			if !written && send() == nil {
				t.Error("a request was written after the response to it")
			}
			if n := <-received; (n > 0) != written {
				t.Errorf("the server got %d bytes", n)
			}
			if sent := c.endSending(); sent != written {
				t.Errorf("bytes may have been sent: %t, want %t", sent, written)
			}
		})
	}
}
