package sender

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// startEarly starts a server that calls respond with each connection once it has read the header of a request.
func startEarly(t *testing.T, respond func(c *net.TCPConn, r *bufio.Reader)) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					if line, err := r.ReadString('\n'); err != nil || line == "\r\n" {
						break
					}
				}
				respond(c.(*net.TCPConn), r)
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a part of a response that a caller gets as the whole one: a reset that the write of the request has met is not told by a
// read any more, which finds the end of the connection instead.
func TestResponseWithoutLengthDuringAnUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	reset := func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	tests := map[string]struct {
		upload  int
		respond func(c *net.TCPConn, r *bufio.Reader)
		// want is the whole body; empty if the response is cut.
		want string
	}{
		"reset at once": {4 << 20, func(c *net.TCPConn, _ *bufio.Reader) {
			write(c, head+"part")
			reset(c)
		}, ""},
		"reset during the upload": {4 << 20, func(c *net.TCPConn, r *bufio.Reader) {
			write(c, head+"part")
			_, _ = io.CopyN(io.Discard, r, 64<<10)
			reset(c)
		}, ""},
		"reset after a pause": {4 << 20, func(c *net.TCPConn, _ *bufio.Reader) {
			write(c, head+"part")
			time.Sleep(5 * time.Millisecond)
			reset(c)
		}, ""},
		"reset after the upload": {64 << 10, func(c *net.TCPConn, r *bufio.Reader) {
			write(c, head+"part")
			_, _ = io.CopyN(io.Discard, r, 64<<10)
			time.Sleep(5 * time.Millisecond)
			reset(c)
		}, ""},
		"reset with a small request": {1 << 10, func(c *net.TCPConn, _ *bufio.Reader) {
			write(c, head+"part")
			time.Sleep(5 * time.Millisecond)
			reset(c)
		}, ""},
		"end after the upload": {4 << 20, func(c *net.TCPConn, r *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, r, 4<<20)
			write(c, head+"whole")
		}, "whole"},
		"end before the upload, which is read on": {4 << 20, func(c *net.TCPConn, r *bufio.Reader) {
			write(c, head+"whole")
			_ = c.CloseWrite()
			_, _ = io.CopyN(io.Discard, r, 4<<20)
		}, "whole"},
		"end before the upload, which is not read": {4 << 20, func(c *net.TCPConn, _ *bufio.Reader) {
			write(c, head+"whole")
			_ = c.CloseWrite()
			time.Sleep(100 * time.Millisecond)
		}, "whole"},
		"end with a small request": {1 << 10, func(c *net.TCPConn, r *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, r, 1<<10)
			write(c, head+"whole")
		}, "whole"},
		"length before the upload": {4 << 20, func(c *net.TCPConn, r *bufio.Reader) {
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			_, _ = io.CopyN(io.Discard, r, 4<<20)
		}, "whole"},
		"chunks before the upload": {4 << 20, func(c *net.TCPConn, r *bufio.Reader) {
			write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
			_, _ = io.CopyN(io.Discard, r, 4<<20)
		}, "whole"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address := startEarly(t, tt.respond)
			for range 20 {
				// The server closes each connection after one response without saying so, so that none may be used again.
				s := New(Config{AllowCloseDelimited: true})
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				res, err := s.Do(ctx, &Request{Address: address, Method: http.MethodPost, Path: "/item", Body: make([]byte, tt.upload)})
				var text []byte
				if err == nil {
					text, err = io.ReadAll(res.Body)
					_ = res.Body.Close()
				}
				cancel()
				s.Close()
				if tt.want == "" && err == nil {
					t.Fatalf("a response that was reset is read to its end: %q", text)
				}
				if tt.want != "" && (err != nil || string(text) != tt.want) {
					t.Fatalf("the response is %q with error %v, want %q", text, err, tt.want)
				}
			}
		})
	}
}
