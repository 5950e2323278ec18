package sender

import (
	"bufio"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// maxHeaderBytes limits a response's header.
const maxHeaderBytes = 256 << 10

// maxCalls limits the calls that a connection carries, since it keeps a record of them.
const maxCalls = 1024

var errHeaderTooLarge = errors.Errorf("the answer's header is over %d bytes", maxHeaderBytes)

// conn is a connection to a backend server; one exchange owns it at a time.
type conn struct {
	net.Conn
	host   *host
	reader *bufio.Reader
	writer *bufio.Writer
	opened time.Time
	// lastResponse is when the last complete response was received, or else when the connection was opened.
	lastResponse time.Time
	// maxIdle is how long the connection may be idle.
	maxIdle time.Duration
	// exchanges counts the requests that the connection was taken for, the current one included.
	exchanges int
	// calls holds the hashes of the ids of these requests, those without an id left out.
	calls []uint64
	// sending tells whether bytes of the current call may have been sent. It leaves notSent once, so that a write and the end of the exchange,
	// which may come at the same time, agree on it.
	sending atomic.Int32
	// received is true once the first byte of the response has been read.
	received bool
	// writeErr is the error of the current call's write.
	writeErr error
	// broken is set when the connection must not be reused.
	broken bool
	// headerBytesLeft is how many more bytes of a header may be read; negative while no header is read.
	headerBytesLeft int
}

// The values of conn.sending.
const (
	notSent int32 = iota
	// mayBeSent is set before the first byte may be sent.
	mayBeSent
	// neverSent is set when the exchange ends before that; writes fail from then on.
	neverSent
)

// errUnasked is the error of a read that finds bytes before the request was written.
var errUnasked = errors.New("bytes that came before the request was sent")

// errEnded is the error of a write that begins after the exchange has ended.
var errEnded = errors.New("the call ended before its request was written")

func newConn(c net.Conn, h *host, now time.Time) *conn {
	pc := &conn{Conn: c, host: h, opened: now, lastResponse: now, maxIdle: defaultMaxIdle, headerBytesLeft: -1}
	pc.reader, pc.writer = bufio.NewReader(pc), bufio.NewWriter(pc)
	return pc
}

// localPort returns the entry's port, which distinguishes the connection from others to the same address.
func (c *conn) localPort() int {
	a, ok := c.LocalAddr().(*net.TCPAddr)
	if !ok {
		return 0
	}
	return a.Port
}

// Write implements net.Conn, and records that bytes may have been sent or fails if that was ruled out.
func (c *conn) Write(p []byte) (int, error) {
	if !c.sending.CompareAndSwap(notSent, mayBeSent) && c.sending.Load() == neverSent {
		return 0, errEnded
	}
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn, records that bytes were received and limits the size of headers. It fails if bytes come before any of the call was
// written, and then none will be: they belong to no response to it.
func (c *conn) Read(p []byte) (int, error) {
	if c.headerBytesLeft == 0 {
		return 0, errHeaderTooLarge
	}
	if c.headerBytesLeft > 0 && len(p) > c.headerBytesLeft {
		p = p[:c.headerBytesLeft]
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received && c.sending.CompareAndSwap(notSent, neverSent) {
		return 0, errUnasked
	}
	c.received = c.received || n > 0
	if c.headerBytesLeft > 0 {
		c.headerBytesLeft -= n
	}
	return n, err
}

func (c *conn) limitHeader()   { c.headerBytesLeft = maxHeaderBytes }
func (c *conn) unlimitHeader() { c.headerBytesLeft = -1 }

// interrupt makes pending reads and writes fail.
func (c *conn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

// beginExchange prepares the connection for a request; id is the hash of its id, 0 for none.
func (c *conn) beginExchange(id uint64) {
	c.exchanges++
	if id != 0 {
		c.calls = append(c.calls, id)
	}
	c.received, c.writeErr = false, nil
	c.sending.Store(notSent)
}

// hasCarried reports whether the connection was taken for a request whose id has that hash.
func (c *conn) hasCarried(id uint64) bool { return id != 0 && slices.Contains(c.calls, id) }

// endSending reports whether bytes of the current call may have been sent. If not, none will be.
func (c *conn) endSending() bool {
	return !c.sending.CompareAndSwap(notSent, neverSent) && c.sending.Load() == mayBeSent
}

// isIdleTooLong reports whether an idle connection is to be closed.
func (c *conn) isIdleTooLong(now time.Time) bool { return now.Sub(c.lastResponse) > c.maxIdle }

// release makes the connection idle, or closes it when it holds bytes beyond the response or has carried maxCalls.
func (c *conn) release() {
	if c.reader.Buffered() > 0 || len(c.calls) >= maxCalls {
		c.discard()
		return
	}
	c.lastResponse = time.Now()
	c.host.put(c)
}

func (c *conn) discard() {
	_ = c.Close()
	c.host.connClosed()
}

// hasNoInput reports whether an idle connection has nothing to read: neither its end nor unsolicited bytes.
func (c *conn) hasNoInput() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return empty && err == nil
}
