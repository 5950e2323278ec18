package differ

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

const (
	// blockSize is the minimum length of a match in the earlier text, in bytes.
	blockSize = 32
	// MaxBytes is the maximum size of a decoded text.
	MaxBytes = 64 << 20
)

// Encode returns a compressed delta that describes the text to by literal bytes and by copies from the earlier text from, which may
// be empty.
func Encode(from, to []byte) []byte {
	var out bytes.Buffer
	// No errors are possible: the compression level is valid and writes to a bytes.Buffer don't fail.
	w, _ := flate.NewWriter(&out, flate.BestSpeed)
	e := encoder{w: w, from: from}
	e.encode(to)
	_ = w.Close()
	return out.Bytes()
}

// encoder writes a sequence of steps. A step consists of the length of the literal bytes, the literal bytes, and the offset and length
// of the copy that follows them.
type encoder struct {
	w    *flate.Writer
	from []byte
	buf  [binary.MaxVarintLen64]byte
}

func (e *encoder) encode(to []byte) {
	index := make(map[string]int, len(e.from)/blockSize)
	for pos := 0; pos+blockSize <= len(e.from); pos += blockSize {
		index[string(e.from[pos:pos+blockSize])] = pos
	}
	literalStart := 0
	for pos := 0; pos+blockSize <= len(to); {
		offset, ok := index[string(to[pos:pos+blockSize])]
		if !ok {
			pos++
			continue
		}
		// The match may start before this block: extend it backwards into the pending literal bytes.
		for pos > literalStart && offset > 0 && to[pos-1] == e.from[offset-1] {
			pos--
			offset--
		}
		n := commonPrefixLen(e.from[offset:], to[pos:])
		e.writeStep(to[literalStart:pos], offset, n)
		pos += n
		literalStart = pos
	}
	e.writeStep(to[literalStart:], 0, 0)
}

func commonPrefixLen(a, b []byte) (n int) {
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func (e *encoder) writeStep(literal []byte, offset, n int) {
	e.writeUvarint(len(literal))
	_, _ = e.w.Write(literal)
	e.writeUvarint(offset)
	e.writeUvarint(n)
}

func (e *encoder) writeUvarint(n int) {
	_, _ = e.w.Write(e.buf[:binary.PutUvarint(e.buf[:], uint64(n))])
}

// Decode returns the text that was passed to Encode together with the same earlier text.
func Decode(from, delta []byte) (to []byte, err error) {
	defer func() { err = errors.WithMessage(err, "decode delta") }()
	rest, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(delta)), MaxBytes))
	if err != nil {
		return nil, err
	}
	for len(rest) > 0 {
		var literalLen, offset, copyLen int
		if literalLen, rest, err = readUvarint(rest); err != nil || literalLen > len(rest) {
			return nil, errCorrupt
		}
		to = append(to, rest[:literalLen]...)
		rest = rest[literalLen:]
		if offset, rest, err = readUvarint(rest); err != nil {
			return nil, errCorrupt
		}
		if copyLen, rest, err = readUvarint(rest); err != nil || offset > len(from) || copyLen > len(from)-offset || len(to)+copyLen > MaxBytes {
			return nil, errCorrupt
		}
		to = append(to, from[offset:offset+copyLen]...)
	}
	return to, nil
}

var errCorrupt = errors.New("delta is corrupt or relative to another text")

func readUvarint(b []byte) (n int, rest []byte, err error) {
	v, size := binary.Uvarint(b)
	if size <= 0 || v > MaxBytes {
		return 0, nil, errCorrupt
	}
	return int(v), b[size:], nil
}
