package sender

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// checkHead sends calls with and without a body to a server that responds with a head, and the rest of a response if that lacks it, and checks
// whether the response is accepted.
func checkHead(t *testing.T, head string, want bool) {
	for _, size := range []int{0, 64 << 10} {
		s := New(Config{AllowCloseDelimited: true})
		defer s.Close()
		address := startEarly(t, func(c *net.TCPConn, r *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, r, int64(size))
			if write(c, head); !strings.Contains(head, "chunked\r\n\r\n4") {
				write(c, "body")
			}
		})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		res, err := s.Do(ctx, &Request{Address: address, Method: http.MethodPost, Path: "/item", Body: make([]byte, size)})
		var text []byte
		if err == nil {
			text, err = io.ReadAll(res.Body)
			_ = res.Body.Close()
		}
		if ok := err == nil; ok != want || ok && string(text) != "body" {
			t.Errorf("with %d bytes sent the response is %q with error %v, want it accepted: %t", size, text, err, want)
		}
	}
}

// Guards against a response with a status that is none: as an informational one it would be skipped, and its body read as the response.
func TestStatusBelow100(t *testing.T) {
	tests := map[string]struct {
		head string
		ok   bool
	}{
		"sound":                         {"HTTP/1.1 200 OK\r\nX-Name: a b\r\nx_under.score~: 1\r\nContent-Length: 4\r\n\r\n", true},
		"no reason":                     {"HTTP/1.1 200\r\nContent-Length: 4\r\n\r\n", true},
		"informational response before": {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", true},
		"status of another class":       {"HTTP/1.1 799 Odd\r\nContent-Length: 4\r\n\r\n", true},
		"status 000":                    {"HTTP/1.1 000 Zero\r\nContent-Length: 4\r\n\r\n", false},
		"status 099":                    {"HTTP/1.1 099 Low\r\nContent-Length: 4\r\n\r\n", false},
		"response in the body of a 000": {"HTTP/1.1 000 Zero\r\nContent-Length: 42\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { checkHead(t, tt.head, tt.ok) })
	}
}

// Guards against a response in whose head or trailer the name of a field isn't one: a caller would get that line, or a body whose length the line
// was to give.
func TestFieldNames(t *testing.T) {
	tests := map[string]struct {
		head string
		ok   bool
	}{
		"sound":                           {"HTTP/1.1 200 OK\r\nX-Name: a b\r\nx_under.score~: 1\r\nContent-Length: 4\r\n\r\n", true},
		"value over two lines":            {"HTTP/1.1 200 OK\r\nX-Name: a\r\n b\r\nContent-Length: 4\r\n\r\n", true},
		"blank before the colon":          {"HTTP/1.1 200 OK\r\nX-Name : a\r\nContent-Length: 4\r\n\r\n", false},
		"blank in a name":                 {"HTTP/1.1 200 OK\r\nX Name: a\r\nContent-Length: 4\r\n\r\n", false},
		"blank in the name of the length": {"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\n", false},
		"blank in the transfer encoding":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n", false},
		"blank before the first name":     {"HTTP/1.1 200 OK\r\n X-Name: a\r\nContent-Length: 4\r\n\r\n", false},
		"tab in a name":                   {"HTTP/1.1 200 OK\r\nX\tName: a\r\nContent-Length: 4\r\n\r\n", false},
		"control byte in a name":          {"HTTP/1.1 200 OK\r\nX-N\x01ame: a\r\nContent-Length: 4\r\n\r\n", false},
		"NUL in a name":                   {"HTTP/1.1 200 OK\r\nX-Name\x00: a\r\nContent-Length: 4\r\n\r\n", false},
		"CR in a name":                    {"HTTP/1.1 200 OK\r\nX-N\rame: a\r\nContent-Length: 4\r\n\r\n", false},
		"DEL in a name":                   {"HTTP/1.1 200 OK\r\nX-N\x7fame: a\r\nContent-Length: 4\r\n\r\n", false},
		"empty name":                      {"HTTP/1.1 200 OK\r\n: a\r\nContent-Length: 4\r\n\r\n", false},
		"blank in an informational one":   {"HTTP/1.1 103 Early Hints\r\nLi nk: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", false},
		"blank in a name of the trailer":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Name: a\r\n\r\n", false},
		"sound trailer":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Name: a\r\n\r\n", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { checkHead(t, tt.head, tt.ok) })
	}
}
