package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peridotswitch.example/common/admitter"
)

// start starts a server that responds with "ok" and takes over connections at /hijack, and returns its address.
func start(t *testing.T, limits admitter.Limits) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	mux.HandleFunc("/hijack", func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(c, "taken over")
		_ = c.Close()
	})
	return startHandler(t, mux, 0, limits)
}

// startHandler starts a server of h, with bodies of up to maxBodyBytes, and returns its address.
func startHandler(t *testing.T, h http.Handler, maxBodyBytes int64, limits admitter.Limits) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{
		Listener: l, Handler: h, ReadHeaderTimeout: time.Second, IdleTimeout: time.Second, MaxHeaderBytes: 64 << 10, MaxBodyBytes: maxBodyBytes,
		Admitter: admitter.New(admitter.Config{Limits: limits, Log: zerolog.Nop()}), Port: admitter.Callers,
	})
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := s.Close(ctx); err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

func exchange(t *testing.T, address, send string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err = io.WriteString(c, send); err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(c)
	return string(text)
}

// Guards against limits that change what net/http does for requests within them, and for single ones beyond.
func TestRequests(t *testing.T) {
	const end = "Connection: close\r\n\r\n"
	tests := map[string]struct{ send, want string }{
		"small":                        {"GET / HTTP/1.1\r\nHost: a\r\n" + end, "ok"},
		"two on one connection":        {"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n" + end, "ok"},
		"with a header of 16 KiB":      {"GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("a", 16<<10) + "\r\n" + end, "ok"},
		"with a header of 60 KiB":      {"GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("a", 60<<10) + "\r\n" + end, "ok"},
		"with a header over the limit": {"GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("a", 80<<10), "431 Request Header Fields Too Large"},
		"with chunks":                  {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n" + end + "1\r\nb\r\n0\r\n\r\n", "ok"},
		"after OPTIONS *":              {"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n" + end, "ok"},
		"that is malformed":            {"nothing\r\n\r\n", "400 Bad Request"},
		"that takes over":              {"GET /hijack HTTP/1.1\r\nHost: a\r\n\r\n", "taken over"},
	}
	address := start(t, admitter.NewLimits(184<<20, 4100))
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := exchange(t, address, test.send); !strings.Contains(got, test.want) {
				t.Errorf("got %q, want %q in it", got, test.want)
			}
		})
	}
}

// Guards against a port on which nobody gets a response while silent clients have all its connections.
func TestRequestsBesideSilentConnections(t *testing.T) {
	address := start(t, admitter.Limits{HeldBytes: 1 << 20, Descriptors: 100})
	for range 200 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Errorf("got %s", res.Status)
	}
}

// Guards against a reset in place of the response to a caller that still sends a body which the handler doesn't read.
func TestResponseBeforeEndOfBody(t *testing.T) {
	const size = 8 << 20
	chunk := "10000\r\n" + strings.Repeat("a", 1<<16) + "\r\n"
	tests := map[string]struct {
		limit      int64
		head, part string
	}{
		"of known length":                   {0, "Content-Length: 8388608", strings.Repeat("a", 1<<16)},
		"of known length, with a limit":     {size, "Content-Length: 8388608", strings.Repeat("a", 1<<16)},
		"of unknown length":                 {0, "Transfer-Encoding: chunked", chunk},
		"of unknown length, with a limit":   {size, "Transfer-Encoding: chunked", chunk},
		"of known length, over the limit":   {1 << 20, "Content-Length: 8388608", strings.Repeat("a", 1<<16)},
		"of unknown length, over the limit": {1 << 20, "Transfer-Encoding: chunked", chunk},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				// Over the limit, the handler reads as much as it gets.
				if test.limit > 0 && test.limit < size {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				w.Header().Set("Connection", "close")
				http.Error(w, "refused", http.StatusServiceUnavailable)
			})
			c, err := net.Dial("tcp", startHandler(t, h, test.limit, admitter.NewLimits(184<<20, 4100)))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			go func() {
				_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\n"+test.head+"\r\n\r\n")
				for n := 0; err == nil && n < size; n += 1 << 16 {
					_, err = io.WriteString(c, test.part)
				}
			}()
			text, err := io.ReadAll(c)
			if !strings.HasPrefix(string(text), "HTTP/1.1 503 ") || !strings.HasSuffix(string(text), "refused\n") {
				t.Errorf("response %q", text)
			}
			if err != nil {
				t.Errorf("the response ends with %v", err)
			}
		})
	}
}

// Guards against responses that wait for a body which the handler doesn't read, and against such a body that is parsed as a request.
func TestResponseWithoutRestOfBody(t *testing.T) {
	const embedded = "GET /embedded HTTP/1.1\r\nHost: a\r\n\r\n"
	tests := map[string]struct {
		limit      int64
		head, rest string
	}{
		"of known length":                 {0, "Content-Length: 300\r\n\r\n", embedded},
		"of known length, with a limit":   {1 << 20, "Content-Length: 300\r\n\r\n", embedded},
		"of unknown length":               {0, "Transfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n" + embedded},
		"of unknown length, with a limit": {1 << 20, "Transfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n" + embedded},
		"that waits for 100 Continue":     {1 << 20, "Expect: 100-continue\r\nContent-Length: 300\r\n\r\n", embedded},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var handled atomic.Int32
			h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				handled.Add(1)
				http.Error(w, "refused", http.StatusServiceUnavailable)
			})
			c, err := net.Dial("tcp", startHandler(t, h, test.limit, admitter.NewLimits(184<<20, 4100)))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(2 * time.Second))
			if _, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\n"+test.head); err != nil {
				t.Fatal(err)
			}
			r := bufio.NewReader(c)
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			if text, err := io.ReadAll(res.Body); res.StatusCode != http.StatusServiceUnavailable || string(text) != "refused\n" || err != nil || !res.Close {
				t.Errorf("got %s, %q, %v, closing: %t", res.Status, text, err, res.Close)
			}
			if _, err = io.WriteString(c, test.rest); err != nil {
				t.Error(err)
			}
			if after, err := io.ReadAll(r); len(after) > 0 || err != nil {
				t.Errorf("after the response: %q, %v", after, err)
			}
			if n := handled.Load(); n != 1 {
				t.Errorf("%d requests handled", n)
			}
		})
	}
}
