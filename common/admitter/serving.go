package admitter

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// listener is a listener whose connections an Admitter limits.
type listener struct {
	net.Listener
	a        *Admitter
	port     Port
	timeouts func() Timeouts
}

// Listener returns a listener that accepts the connections to a port as the limits allow. If timeouts isn't nil, its timeouts replace those of
// the server, which must not limit the time to read a whole request.
func (a *Admitter) Listener(l net.Listener, p Port, timeouts func() Timeouts) net.Listener {
	return &listener{l, a, p, timeouts}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.a.admit(nc, l.port, l.timeouts); c != nil {
			return c, nil
		}
	}
}

type contextKey struct{}

// ConnContext is for http.Server.ConnContext of a server with a Listener.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// IsClientGone reports whether the client of a request has closed its connection. The request's context ends only once net/http has noticed
// that, which can be after the handler has begun. It returns false for a request of a server without a Listener.
func IsClientGone(ctx context.Context) bool {
	c, ok := ctx.Value(contextKey{}).(*conn)
	return ok && c.isClosedByPeer()
}

// RequestNumber returns the number of a request on its connection, from 1; 0 for a request of a server without a Listener.
func RequestNumber(ctx context.Context) int {
	if c, ok := ctx.Value(contextKey{}).(*conn); ok {
		return c.requests
	}
	return 0
}

// ConnState is for http.Server.ConnState of a server with a Listener.
func ConnState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		c.finish()
	}
}

// Handler returns a handler that calls h for requests on the connections of a Listener, unless the connection was closed before.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(contextKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		if !c.begin() {
			panic(http.ErrAbortHandler)
		}
		if c.isAmbiguous(r) {
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength < 0 {
			body := &chunkedBody{ReadCloser: r.Body}
			// net/http must find its own body in its request: it decides by that how to close the connection.
			r = r.WithContext(r.Context())
			r.Body = body
			defer func() {
				if body.failed {
					c.a.charge(c, causeBadBody)
				}
			}()
		}
		h.ServeHTTP(w, r)
	})
}

// chunkedBody is a body of unknown length. It notices chunks, chunk extensions and trailers that net/http refuses.
type chunkedBody struct {
	io.ReadCloser
	failed bool
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !isNetwork(err) {
		b.failed = true
	}
	return n, err
}

// isNetwork reports whether an error is one of the connection, such as a timeout.
func isNetwork(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, http.ErrBodyReadAfterClose)
}
