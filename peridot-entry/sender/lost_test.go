package sender

import (
	"net/http"
	"testing"

	"github.com/pkg/errors"
)

// Guards against a server that refuses a request and then closes the connection, as it does when it stops, and that counts as crashed by the request.
func TestConnectionIsNotLostAfterAResponse(t *testing.T) {
	const (
		ok       = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n"
		refusal  = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		closing  = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" + hangUp
		failure  = "HTTP/1.1 500 Failed\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" + hangUp
		another  = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: other\r\nContent-Length: 0\r\n\r\n" + hangUp
		cut      = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: b\r\nContent-Length: 4\r\n\r\nfu" + hangUp
		cutHead  = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n" + hangUp
		cutOwn   = "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 4\r\n\r\now" + hangUp
		notEnded = "HTTP/1.1 200 OK\r\nServer: i\r\nConnection: close\r\nContent-Length: 0\r\n\r\nX" + hangUp
	)
	for name, test := range map[string]struct {
		// texts are what the server writes for the second request and for a marker.
		texts  []string
		isLost bool
	}{
		"refused, closing":               {[]string{closing}, false},
		"refused, the marker not":        {[]string{refusal, hangUp}, false},
		"refused, cut behind the marker": {[]string{refusal, notEnded}, false},
		"refused, cut in the body":       {[]string{cut}, false},
		"failed without a name, closing": {[]string{failure}, false},
		"no response":                    {[]string{hangUp}, true},
		"another call's refusal":         {[]string{another}, true},
		"cut in the header":              {[]string{cutHead}, true},
		"cut in the body":                {[]string{cutOwn}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Config{ParseHeaders: parseMatchHeaders, NamesRequests: true, MarkerPath: func(string) string { return "/health" }})
			defer s.Close()
			texts := append([]string{ok}, test.texts...)
			address := startScripted(t, func(n int, _ string) string { return texts[min(n, len(texts)-1)] })
			if _, err := doStatus(s, &Request{Address: address, Method: http.MethodGet, Path: "/item", ID: "a"}); err != nil {
				t.Fatal(err)
			}
			_, err := doStatus(s, &Request{Address: address, Method: http.MethodGet, Path: "/item", ID: "b"})
			var se *Error
			if !errors.As(err, &se) || !se.Written {
				t.Fatalf("got the error %v, want one of a request that may have run", err)
			}
			if se.IsConnectionLost() != test.isLost {
				t.Errorf("the connection counts as lost: %t, want %t: %v", !test.isLost, test.isLost, err)
			}
		})
	}
}
