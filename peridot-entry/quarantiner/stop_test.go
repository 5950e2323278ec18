package quarantiner

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// Guards against a harmless request that is contained because two servers refused it, closed the connection and stopped.
func TestRefusalsOfServersThatStopContainNoRequest(t *testing.T) {
	const refused = "HTTP/1.1 503 Stopping\r\nNot-Run: 1\r\n"
	for name, test := range map[string]struct {
		text string
		// marker is true if the server reads a marker before it ends.
		marker, contained bool
	}{
		"refused, closing":         {refused + "Connection: close\r\nContent-Length: 0\r\n\r\n", false, false},
		"refused, the marker not":  {refused + "Content-Length: 0\r\n\r\n", true, false},
		"refused, cut in the body": {refused + "Id: call\r\nContent-Length: 4\r\n\r\nfu", false, false},
		"no response":              {"", false, true},
		"cut in the body":          {"HTTP/1.1 200 OK\r\nId: call\r\nContent-Length: 4\r\n\r\now", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := sender.New(sender.Config{
				NamesRequests: true, MarkerPath: func(string) string { return "/health" },
				ParseHeaders: func(_ int, h http.Header) sender.HeaderInfo {
					return sender.HeaderInfo{RequestID: h.Get("Id"), Shed: h.Get("Not-Run") != ""}
				},
			})
			defer s.Close()
			q := New(Config{
				Now: time.Now, Send: s.Do, OnReport: func() {}, OnChange: func(ContainedRequest, bool) {}, MaxCheck: time.Second,
				ConnectionRefused: func(address string) bool {
					c, err := net.Dial("tcp", address)
					if err == nil {
						c.Close()
					}
					return err != nil
				},
				Find: func(registrar.Key) (registrar.Server, bool) { return registrar.Server{}, true },
			})
			defer q.Close()
			do := func(address, instance, id, path string) error {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				res, err := q.Send(ctx, &sender.Request{
					Address: address, Server: registrar.Key{Service: "s", InstanceID: instance}, ID: id, Host: "h", Method: http.MethodGet, Path: path,
				})
				if err != nil {
					return err
				}
				defer res.Body.Close()
				_, err = io.Copy(io.Discard, res.Body)
				return err
			}
			for _, instance := range []string{"i1", "i2"} {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				var wg sync.WaitGroup
				wg.Go(func() {
					c, err := l.Accept()
					if err != nil {
						return
					}
					defer c.Close()
					r := bufio.NewReader(c)
					_, _ = http.ReadRequest(r)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n")
					_, _ = http.ReadRequest(r)
					_ = l.Close()
					_, _ = io.WriteString(c, test.text)
					if test.marker {
						_, _ = http.ReadRequest(r)
					}
				})
				if err = do(l.Addr().String(), instance, "other", "/other"); err != nil {
					t.Fatal(err)
				}
				if err = do(l.Addr().String(), instance, "call", "/harmless"); err == nil {
					t.Error("the request had a response, want an error")
				}
				wg.Wait()
			}
			err := q.Admit(&sender.Request{Server: registrar.Key{Service: "s"}, Host: "h", Method: http.MethodGet, Path: "/harmless"})
			if (err != nil) != test.contained {
				t.Errorf("the request is contained: %t, want %t: %v", err != nil, test.contained, err)
			}
		})
	}
}
