package dispatcher

import (
	"bytes"
	"context"
	"io"
	"sync"
)

// readAheadBytes is how much of a response is buffered before any of it is sent to the caller. A response that breaks off within
// that part can still be retried.
const readAheadBytes = 256 << 10

// responseBody is a response body whose first part is already buffered.
type responseBody struct {
	io.Reader
	source io.Closer
	// complete is true when the whole body is buffered.
	complete bool
	// size is the length of a complete body.
	size    int
	onClose func()
	once    sync.Once
}

// readAhead buffers the start of r; an error means that the response broke off within it.
func readAhead(r io.ReadCloser) (*responseBody, error) {
	var buf bytes.Buffer
	n, err := io.CopyN(&buf, r, readAheadBytes)
	if err != nil && err != io.EOF {
		r.Close()
		return nil, err
	}
	if n < readAheadBytes {
		return &responseBody{Reader: &buf, source: r, complete: true, size: int(n)}, nil
	}
	return &responseBody{Reader: io.MultiReader(&buf, r), source: r}, nil
}

// Close closes the underlying body and ends the attempt; further calls do nothing.
func (b *responseBody) Close() (err error) {
	b.once.Do(func() {
		err = b.source.Close()
		if b.onClose != nil {
			b.onClose()
		}
	})
	return err
}

// cancelingBody cancels the context of a call once the caller has the response.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and then cancels the context of the call.
func (b *cancelingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
