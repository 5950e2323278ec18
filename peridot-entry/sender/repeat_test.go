package sender

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// repeatServer responds to the requests of each connection with the texts for it in turn. connections holds the number of the connection of each request.
type repeatServer struct {
	address     string
	mu          sync.Mutex
	connections []int
}

func startRepeatServer(t *testing.T, texts ...[]string) *repeatServer {
	s := &repeatServer{}
	accepted := 0
	s.address = startScriptedConns(t, func() func(n int, path string) string {
		s.mu.Lock()
		defer s.mu.Unlock()
		connection := accepted
		accepted++
		return func(n int, _ string) string {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.connections = append(s.connections, connection)
			last := texts[min(connection, len(texts)-1)]
			return last[min(n, len(last)-1)]
		}
	})
	return s
}

// Guards against a copy of the response to one attempt of a call that passes for the response to another attempt of the same call, which has the
// same id: a call is refused, or sent once more, while a server runs it.
func TestConnectionCarriesACallOnce(t *testing.T) {
	const (
		refusal = "HTTP/1.1 503 Full\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		failure = "HTTP/1.1 500 Failed\r\nId: a\r\nContent-Length: 0\r\n\r\n"
		success = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\nown"
	)
	own, other := fmt.Sprintf(success, "a"), fmt.Sprintf(success, "b")
	tests := map[string]struct {
		// texts are what the server writes for the requests of each connection.
		texts [][]string
		// ids are those of the requests, and statuses those of the responses that they get.
		ids      []string
		statuses []int
		fresh    bool
		// connections is what each request's connection is, counted from 0, and limit how many the server accepts; 0 for any number.
		connections []int
		limit       int
	}{
		"refused, and a copy with the second attempt's response": {
			texts: [][]string{{refusal, refusal + own}, {own}}, ids: []string{"a", "a"}, statuses: []int{503, 200}, connections: []int{0, 1},
		},
		"refused, fresh connections only": {
			texts: [][]string{{refusal, refusal + own}, {own}}, ids: []string{"a", "a"}, statuses: []int{503, 200}, connections: []int{0, 1}, fresh: true,
		},
		"failed": {
			texts: [][]string{{failure, failure + own}, {own}}, ids: []string{"a", "a"}, statuses: []int{500, 200}, connections: []int{0, 1},
		},
		"another call between": {
			texts: [][]string{{refusal, other, refusal + own}, {own}}, ids: []string{"a", "b", "a"}, statuses: []int{503, 200, 200}, connections: []int{0, 0, 1},
		},
		"one connection only": {
			texts: [][]string{{refusal, refusal + own}, {own}}, ids: []string{"a", "a"}, statuses: []int{503, 200}, connections: []int{0, 1}, limit: 1,
		},
		"two calls": {
			texts: [][]string{{refusal, other}}, ids: []string{"a", "b"}, statuses: []int{503, 200}, connections: []int{0, 0},
		},
		"a copy for another call": {
			texts: [][]string{{refusal, refusal + other}}, ids: []string{"a", "b"}, statuses: []int{503, 200}, connections: []int{0, 0},
		},
		"no ids": {
			texts: [][]string{{okResponse}}, ids: []string{"", "", ""}, statuses: []int{200, 200, 200}, connections: []int{0, 0, 0},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(Config{ParseHeaders: parseMatchHeaders, NamesRequests: true, MaxConnections: func(n int) int { return n }})
			defer s.Close()
			srv := startRepeatServer(t, test.texts...)
			for i, id := range test.ids {
				req := &Request{Address: srv.address, Method: http.MethodPost, Path: "/item", ID: id, FreshConnection: test.fresh, Connections: test.limit}
				status, err := doStatus(s, req)
				if err != nil || status != test.statuses[i] {
					t.Errorf("request %d got status %d, error %v; want %d", i, status, err, test.statuses[i])
				}
			}
			srv.mu.Lock()
			defer srv.mu.Unlock()
			if !slices.Equal(srv.connections, test.connections) {
				t.Errorf("the requests used the connections %d, want %d", srv.connections, test.connections)
			}
		})
	}
}

// doStatus sends a request and reads its response to the end.
func doStatus(s *Sender, req *Request) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	res, err := s.Do(ctx, req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.Status, err
}

// Guards against connections whose record of the calls that they have carried grows without end.
func TestConnectionCarriesABoundedNumberOfCalls(t *testing.T) {
	s := New(Config{})
	defer s.Close()
	srv := startRepeatServer(t, []string{okResponse})
	for i := range maxCalls + 2 {
		if _, err := doStatus(s, &Request{Address: srv.address, Method: http.MethodPost, Path: "/item", ID: fmt.Sprint(i)}); err != nil {
			t.Fatal(err)
		}
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if n := slices.Index(srv.connections, 1); n != maxCalls || srv.connections[maxCalls+1] != 1 {
		t.Errorf("the second connection was used from request %d on, want %d", n, maxCalls)
	}
}

// Guards against a caller that uses one id for all its calls and so makes the pool grow by a connection with each call, until the idle connections
// of other servers are closed to make room.
func TestOneIDForAllCallsUsesOneConnection(t *testing.T) {
	for name, test := range map[string]struct {
		fresh   bool
		maxOpen int
	}{
		"no limit":               {},
		"fresh connections only": {fresh: true},
		"at the pool's limit":    {maxOpen: 20},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Config{MaxOpen: test.maxOpen})
			defer s.Close()
			one, other := startRepeatServer(t, []string{okResponse}), startRepeatServer(t, []string{okResponse})
			const inParallel = 8
			var open []*Response
			for range inParallel {
				res, err := s.Do(context.Background(), &Request{Address: other.address, Method: http.MethodGet, Path: "/item"})
				if err != nil {
					t.Fatal(err)
				}
				open = append(open, res)
			}
			for _, res := range open {
				_, _ = io.Copy(io.Discard, res.Body)
			}
			for range 50 {
				if _, err := doStatus(s, &Request{Address: one.address, Method: http.MethodPost, Path: "/item", ID: "a", FreshConnection: test.fresh}); err != nil {
					t.Fatal(err)
				}
			}
			for address, want := range map[string]int{one.address: 1, other.address: inParallel} {
				h := s.pool.host(address)
				h.mu.Lock()
				if len(h.idle) != want || h.open != want {
					t.Errorf("%d idle and %d open connections, want %d", len(h.idle), h.open, want)
				}
				h.mu.Unlock()
			}
			if n := s.pool.open.Load(); n != 1+inParallel {
				t.Errorf("%d connections are open, want %d", n, 1+inParallel)
			}
		})
	}
}

// Guards against a skipped connection that is mistaken for another one when unusable connections are removed in the same search.
func TestSkippedConnectionIsClosed(t *testing.T) {
	s := New(Config{})
	defer s.Close()
	srv := startRepeatServer(t, []string{okResponse})
	// The first connection will have been idle for too long, and the second one will have carried the id.
	var open []*Response
	for _, id := range []string{"old", "a"} {
		res, err := s.Do(context.Background(), &Request{Address: srv.address, Method: http.MethodPost, Path: "/item", ID: id})
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, res)
	}
	for _, res := range open {
		_, _ = io.Copy(io.Discard, res.Body)
	}
	h := s.pool.host(srv.address)
	h.mu.Lock()
	skipped := h.idle[1]
	h.idle[0].maxIdle = 0
	h.mu.Unlock()
	if _, err := doStatus(s, &Request{Address: srv.address, Method: http.MethodPost, Path: "/item", ID: "a"}); err != nil {
		t.Fatal(err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle) != 1 || h.open != 1 || h.idle[0] == skipped {
		t.Errorf("%d idle and %d open connections, want the new one only", len(h.idle), h.open)
	}
}
