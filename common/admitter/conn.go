package admitter

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Values of conn.bytes. Bytes that are read afterwards are added to them, which doesn't change their sign.
const (
	// serving: a request has been received and its response is not complete.
	serving = -1 << 61
	// ended: the Admitter has closed the connection.
	ended = -1 << 62
	// endedBelow is above ended and any bytes added to it, and below serving.
	endedBelow = ended + 1<<60
)

// errClosed is the error of reads from a connection that the Admitter has closed. net/http doesn't respond to io.EOF.
var errClosed = io.EOF

var (
	// newline ends each line of a header.
	newline = []byte("\n")
	// clientError and serverError begin the responses of net/http to requests that it refuses.
	clientError = []byte("HTTP/1.1 4")
	serverError = []byte("HTTP/1.1 5")
)

// Timeouts are the time to receive a request's header, and to wait for the next request; 0 for those of the server.
type Timeouts struct {
	Header, Idle time.Duration
}

// conn is a connection whose bytes count until the request that they belong to has been served.
type conn struct {
	net.Conn
	a        *Admitter
	port     Port
	client   netip.Addr
	timeouts func() Timeouts
	// bytes is the number of bytes read for the request that is being received, with lineBytes for each line, or serving or ended.
	bytes atomic.Int64
	// writeBegin is the time in Unix nanoseconds at which a write began, and 0 when there is none.
	writeBegin atomic.Int64
	// interrupted is set while the read deadline is one that only ends a read.
	interrupted atomic.Bool
	// idle is true from the end of a response until the deadline for the next request is set. Only the connection's goroutine uses it.
	idle    bool
	framing framing

	// requests counts the requests received, the current one included. Only the connection's goroutine changes it, before the handler runs.
	requests int

	// counted is the part of bytes that is in a.held. It changes while a.mu is held.
	counted atomic.Int64
	// since is the time in Unix nanoseconds at which the connection began to wait for a request or to hold a large one.
	since atomic.Int64
	// served is set after the first response.
	served atomic.Bool
	// removed and faulty are guarded by a.mu: the connection is no longer counted, or has ended for a fault of the client.
	removed, faulty bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (n int, err error) {
	if c.bytes.Load() >= 0 {
		c.framing.refill(len(p))
	}
	n, err = c.Conn.Read(p)
	if n == 0 {
		if err != nil {
			c.onReadError(err)
		}
		return n, err
	}
	c.framing.add(p[:n])
	if c.bytes.Load() < 0 {
		return n, err
	}
	added := int64(n + lineBytes*bytes.Count(p[:n], newline))
	total := c.bytes.Add(added)
	if total < 0 {
		return n, err
	}
	if total == added && isEmpty(p[:n]) {
		c.fail(causeEmptyLines)
		return 0, errClosed
	}
	if total > freeBytes && !c.a.grow(c, total) {
		return 0, errClosed
	}
	return n, err
}

// isClosedByPeer reports whether the peer has closed or reset the connection. It must not wait for a Read in progress.
func (c *conn) isClosedByPeer() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
	})
	return closed || err != nil
}

// isEmpty reports whether the start of a request has too many empty lines.
func isEmpty(p []byte) bool {
	if len(p) <= maxEmptyBytes {
		return false
	}
	for _, b := range p[:maxEmptyBytes+1] {
		if b != '\r' && b != '\n' {
			return false
		}
	}
	return true
}

// onReadError charges a client that has begun a request and not completed its header in time.
func (c *conn) onReadError(err error) {
	var ne net.Error
	if c.bytes.Load() > 0 && !c.interrupted.Load() && errors.As(err, &ne) && ne.Timeout() {
		c.fail(causeTimeout)
	}
}

// fail charges the client for the connection, which the caller closes, once.
func (c *conn) fail(cause string) {
	if c.end() {
		c.a.charge(c, cause)
	}
}

// end marks a connection that has no request in service as ended. It returns false if the connection has one, or has ended.
func (c *conn) end() bool {
	for {
		n := c.bytes.Load()
		if n < 0 {
			return false
		}
		if c.bytes.CompareAndSwap(n, ended) {
			return true
		}
	}
}

// Write implements net.Conn. An error that is written while no request is in service is net/http's refusal of a request; net/http also
// responds to OPTIONS * without the handler.
func (c *conn) Write(p []byte) (int, error) {
	if c.bytes.Load() >= 0 && (bytes.HasPrefix(p, clientError) || bytes.HasPrefix(p, serverError)) {
		c.fail(causeBadRequest)
	}
	c.writeBegin.Store(c.a.cfg.Now().UnixNano())
	defer c.writeBegin.Store(0)
	return c.Conn.Write(p)
}

// CloseWrite closes the sending side, which net/http does before it closes a connection that the client still sends on.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn. It replaces the server's timeouts by those of c.timeouts while no request is in service.
func (c *conn) SetReadDeadline(t time.Time) error {
	interrupts := isInterrupt(t)
	if !interrupts && c.bytes.Load() >= 0 {
		c.framing.deadlines++
	}
	if interrupts != c.interrupted.Load() {
		c.interrupted.Store(interrupts)
	}
	if c.timeouts != nil && !interrupts && !t.IsZero() && c.bytes.Load() >= 0 {
		timeouts := c.timeouts()
		d := timeouts.Header
		if c.idle {
			d = timeouts.Idle
		}
		c.idle = false
		if d > 0 {
			t = time.Now().Add(d)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// isInterrupt reports whether a deadline is one by which net/http ends a read in the background.
func isInterrupt(t time.Time) bool { return !t.IsZero() && t.Unix() <= 1 }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.a.mu.Lock()
	if !c.removed {
		c.a.remove(c)
		if c.faulty && !c.a.penalties.allow(c.client, c.a.cfg.Now()) {
			_ = c.CloseWrite()
			toClose := c.a.park(c.a.port(c.port), c.Conn, c.a.cfg.Now())
			c.a.mu.Unlock()
			closeAll(toClose)
			return nil
		}
	}
	c.a.mu.Unlock()
	return c.Conn.Close()
}

// begin marks that a request has been received. It returns false if the connection has been closed, so that the request must not run.
func (c *conn) begin() bool {
	for {
		n := c.bytes.Load()
		if n < endedBelow {
			return false
		}
		if c.bytes.CompareAndSwap(n, serving) {
			c.requests++
			return true
		}
	}
}

// finish marks that a response is complete and the connection waits for the next request.
func (c *conn) finish() {
	if c.counted.Load() != 0 {
		c.a.mu.Lock()
		c.a.release(c)
		c.a.mu.Unlock()
	}
	c.since.Store(c.a.cfg.Now().UnixNano())
	c.served.Store(true)
	c.idle = true
	c.framing.next()
	for {
		n := c.bytes.Load()
		if n < endedBelow || c.bytes.CompareAndSwap(n, 0) {
			return
		}
	}
}
