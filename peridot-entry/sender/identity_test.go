package sender

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/registrar"
)

// Guards against records in which two exchanges on one connection look like two connections, or the other way round.
func TestLocalPortTellsConnectionsApart(t *testing.T) {
	const (
		kept   = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		closed = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	)
	for name, test := range map[string]struct {
		text string
		same bool
	}{
		"kept":   {kept, true},
		"closed": {closed, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Config{ParseHeaders: parseMatchHeaders})
			defer s.Close()
			address := startScripted(t, func(int, string) string { return test.text })
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			var ports [2]int
			for i := range ports {
				res, err := s.Do(ctx, &Request{Address: address, Method: http.MethodGet, Path: "/item"})
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, res.Body)
				ports[i] = res.LocalPort
			}
			if ports[0] == 0 || (ports[0] == ports[1]) != test.same {
				t.Errorf("local ports are %v, want the same: %t", ports, test.same)
			}
		})
	}
}

// Guards against a failed attempt whose record hides that a response came, and on which connection.
func TestErrorHasTheStatusThatWasNotAccepted(t *testing.T) {
	const named = "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 0\r\n\r\n"
	for name, test := range map[string]struct {
		text string
		want int
	}{
		"a refusal that may be another's":  {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 503},
		"a body that ends with connection": {"HTTP/1.1 429 Many\r\nId: second\r\n\r\n", 429},
		"no response":                      {"", 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Config{ParseHeaders: parseMatchHeaders, NamesRequests: true})
			defer s.Close()
			address := startScripted(t, func(n int, _ string) string {
				if n == 0 {
					return named
				}
				return test.text
			})
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			port := 0
			for _, id := range []string{"first", "second"} {
				res, err := s.Do(ctx, &Request{Address: address, Server: registrar.Key{Service: "s", InstanceID: "i"}, Method: http.MethodPost, Path: "/item", ID: id})
				if err == nil {
					_, _ = io.Copy(io.Discard, res.Body)
					port = res.LocalPort
					continue
				}
				var se *Error
				if !errors.As(err, &se) || se.Status != test.want || se.LocalPort != port || port == 0 || !se.Written {
					t.Errorf("got %+v, want status %d on local port %d of a request that may have run", err, test.want, port)
				}
				return
			}
			t.Error("the second response was accepted")
		})
	}
}
