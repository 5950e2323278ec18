package bounder

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrTooLarge is the error for a message over Config.MessageBytes.
	ErrTooLarge = errors.New("the message is too large")
	// ErrFull is the error for a message that would exceed Config.TotalBytes.
	ErrFull = errors.New("the messages that are being read use all the memory set aside for them")
)

// freeBytes is how much of each message doesn't count towards Config.TotalBytes, so that small messages get through beside large ones.
const freeBytes = 16 << 10

// Config configures a Bounder.
type Config struct {
	// MessageBytes is the size of the largest message, TotalBytes that of all messages together.
	MessageBytes, TotalBytes int64
}

// Bounder limits the size of single messages, and of all messages that are in memory at the same time.
type Bounder struct {
	cfg  Config
	used atomic.Int64
}

// New returns a Bounder.
func New(cfg Config) *Bounder { return &Bounder{cfg: cfg} }

// Message is a message of which no more is read than the Bounder allows. Close must be called once its bytes are no longer in
// memory. It is not safe for concurrent use.
type Message struct {
	io.ReadCloser
	b              *Bounder
	read, reserved int64
	err            error
}

// Read implements io.Reader.
func (m *Message) Read(p []byte) (int, error) {
	if m.err != nil {
		return 0, m.err
	}
	n, err := m.ReadCloser.Read(p)
	m.read += int64(n)
	if m.read > m.b.cfg.MessageBytes {
		m.err = ErrTooLarge
		return 0, m.err
	}
	if more := m.read - freeBytes - m.reserved; more > 0 {
		m.reserved += more
		if m.b.used.Add(more) > m.b.cfg.TotalBytes {
			m.err = ErrFull
			m.release()
			return 0, m.err
		}
	}
	return n, err
}

func (m *Message) release() {
	m.b.used.Add(-m.reserved)
	m.reserved = 0
}

// Close closes the message and releases its memory.
func (m *Message) Close() error {
	if m.err == nil {
		m.err = http.ErrBodyReadAfterClose
	}
	m.release()
	return m.ReadCloser.Close()
}

// Limit returns the message that r reads.
func (b *Bounder) Limit(r io.ReadCloser) *Message { return &Message{ReadCloser: r, b: b} }

// Handler returns a handler that limits the bodies of h's requests, which count until h returns.
func (b *Bounder) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			m := b.Limit(r.Body)
			defer m.Close()
			// net/http must find its own body in its request: it decides by that how to close the connection.
			r = r.WithContext(r.Context())
			r.Body = m
		}
		h.ServeHTTP(w, r)
	})
}

const (
	// maxResponseBytes holds the largest response of another process of this system: a snapshot, with the largest configuration twice.
	maxResponseBytes = 32 << 20
	// maxResponseHeaderBytes is well over the few headers that they have.
	maxResponseHeaderBytes = 64 << 10
)

// responses limits the responses to all requests of this process.
var responses = New(Config{MessageBytes: maxResponseBytes, TotalBytes: maxResponseBytes})

// NewClient returns a client for other processes of this system, whose addresses may have been taken over by any other server. The memory
// of all responses to this process is limited.
func NewClient(t *http.Transport, timeout time.Duration) *http.Client {
	return responses.Client(t, timeout)
}

// Client returns a client whose responses b limits.
func (b *Bounder) Client(t *http.Transport, timeout time.Duration) *http.Client {
	t.MaxResponseHeaderBytes = maxResponseHeaderBytes
	return &http.Client{Transport: &transport{t, b}, Timeout: timeout}
}

// transport limits the bodies of responses.
type transport struct {
	*http.Transport
	b *Bounder
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(req)
	if err == nil {
		res.Body = t.b.Limit(res.Body)
	}
	return res, err
}
