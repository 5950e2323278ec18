package admitter

import (
	"bytes"
	"net/http"
)

// readerBytes is the size of net/http's buffer for what a client sends.
const readerBytes = 4 << 10

// lengthField begins a Content-Length field, in lower case.
const lengthField = "\ncontent-length"

// framing tells which requests on a connection may have a Content-Length. Only the goroutine that reads the connection uses it, or the next one after
// that has ended.
type framing struct {
	// read is the number of bytes read from the connection, and field that of those up to the last Content-Length.
	read, field int64
	// matched is how much of lengthField stands at the end of what was read.
	matched int
	// begin is the number of bytes before which no byte belongs to the current request.
	begin int64
	// deadlines is the number of read deadlines set since the last request.
	deadlines int
}

// refill notes a read for up to n bytes. Between the first and the second deadline after a request, net/http waits for the first bytes of the next one,
// and reads into the free part of its buffer. Later it may have taken lines of the header from the buffer.
func (f *framing) refill(n int) {
	if f.deadlines == 1 {
		f.begin = max(f.begin, f.read-max(int64(readerBytes-n), 0))
		f.deadlines++
	}
}

// add finds the Content-Length fields in what has been read.
func (f *framing) add(p []byte) {
	for i := 0; i < len(p); {
		if f.matched == 0 {
			n := bytes.IndexByte(p[i:], '\n')
			if n < 0 {
				break
			}
			i += n + 1
			f.matched = 1
			continue
		}
		b := p[i]
		if 'A' <= b && b <= 'Z' {
			b += 'a' - 'A'
		}
		if b != lengthField[f.matched] {
			f.matched = 0
			continue
		}
		i++
		if f.matched++; f.matched == len(lengthField) {
			f.matched = 0
			f.field = f.read + int64(i)
		}
	}
	f.read += int64(len(p))
}

// next begins the next request, of which a part may have been read already: into net/http's buffer, and one byte to notice the end of the connection.
func (f *framing) next() { f.begin, f.deadlines = max(f.read-readerBytes-1, 0), 0 }

// mayHaveLength reports whether the header of the current request may have a Content-Length. It is true for each request that has one.
func (f *framing) mayHaveLength() bool { return f.field > f.begin }

// isAmbiguous reports whether a request may have a Content-Length beside a Transfer-Encoding; net/http hides that. Other recipients may see its
// end elsewhere, so that the connection must be closed after the response (RFC 9112, section 6.3).
func (c *conn) isAmbiguous(r *http.Request) bool {
	return len(r.TransferEncoding) > 0 && c.framing.mayHaveLength()
}
