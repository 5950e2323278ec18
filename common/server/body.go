package server

import (
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// arrivalTime is how long a response waits for the rest of a body that its handler has left unread. The rest of a small body has arrived with
	// the header, so that the connection can be kept.
	arrivalTime = 10 * time.Millisecond
	// maxDiscardBytes limits what is read of such a body, as net/http does.
	maxDiscardBytes = 256 << 10
)

// respondAtOnce returns a handler that calls h. If h leaves a part of the body unread that doesn't come, the response is sent without it and the
// connection closed; net/http would wait for up to 256 KiB of it first, without a time limit.
func respondAtOnce(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body}
		// net/http must find its own body in its request: it decides by that how to close the connection.
		r = r.WithContext(r.Context())
		r.Body = b
		defer b.finish(w, r)
		h.ServeHTTP(w, r)
	})
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	// begun is set by the first read and ended by one that meets the end.
	begun, ended bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.begun = true
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// finish discards what has arrived of the body. Unless that is the whole rest, the connection is closed after the response: the rest must not be
// parsed as another request.
func (b *body) finish(w http.ResponseWriter, r *http.Request) {
	if b.ended {
		return
	}
	rc := http.NewResponseController(w)
	// The first read would ask a client for its body that waits for that.
	if b.begun || r.Header.Get("Expect") == "" {
		if rc.SetReadDeadline(time.Now().Add(arrivalTime)) == nil {
			_, _ = io.CopyN(io.Discard, b, maxDiscardBytes)
		}
		if b.ended {
			return // net/http has cleared the deadline.
		}
	}
	_ = rc.SetReadDeadline(time.Now())
	closeAfterResponse(w)
}

// closeAfterResponse makes net/http close the connection after the response, and not at once, which would reset it under the response. net/http
// does so after a body over a limit, and offers no other way.
func closeAfterResponse(w http.ResponseWriter) {
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}
