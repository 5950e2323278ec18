package recorder

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"peridotswitch.example/peridot-control/replicatorpb"
)

// A record consists of the payload's length, the CRC-32C of the length, the CRC-32C of the payload, and the payload. Numbers are
// little-endian.
const (
	headerBytes    = 12
	maxRecordBytes = 64 << 20
	sectorBytes    = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports that synced bytes of a file have changed or are missing.
type CorruptError struct {
	File   string
	Offset int
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("file %s is corrupt at byte %d: %s; empty the data directory to rejoin as a new member", e.File, e.Offset, e.Reason)
}

func appendRecord(buf []byte, rec *replicatorpb.Record) []byte {
	payload, err := proto.Marshal(rec)
	if err != nil {
		// Marshal fails only on invalid UTF-8 in a string field, and all strings here come from decoded protobuf messages.
		panic(err)
	}
	var h [headerBytes]byte
	binary.LittleEndian.PutUint32(h[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(h[4:], crc32.Checksum(h[0:4], castagnoli))
	binary.LittleEndian.PutUint32(h[8:], crc32.Checksum(payload, castagnoli))
	return append(append(buf, h[:]...), payload...)
}

// decodeRecords calls apply for each record of buf and returns the total size of the complete records.
// Only the last write can be torn: it is cut short, or whole sectors of it read as zeros. Any other mismatch is corruption.
func decodeRecords(file string, buf []byte, apply func(*replicatorpb.Record) error) (n int, err error) {
	for off := 0; off < len(buf); {
		payload, end, reason := nextRecord(buf, off)
		if reason != "" {
			if tornWrite(buf, off, end) {
				return off, nil
			}
			return off, &CorruptError{file, off, reason}
		}
		if payload == nil {
			return off, nil
		}
		rec := &replicatorpb.Record{}
		if err = proto.Unmarshal(payload, rec); err == nil {
			err = apply(rec)
		}
		if err != nil {
			return off, &CorruptError{file, off, err.Error()}
		}
		off = end
	}
	return len(buf), nil
}

// nextRecord returns the payload of the record at off and the offset of its end. The payload is nil if the record is cut short or
// only zeros follow. A reason is returned if a checksum before end doesn't match.
func nextRecord(buf []byte, off int) (payload []byte, end int, reason string) {
	rest := buf[off:]
	if len(rest) < headerBytes || allZero(rest) {
		return nil, len(buf), ""
	}
	n := int(binary.LittleEndian.Uint32(rest))
	if crc32.Checksum(rest[:4], castagnoli) != binary.LittleEndian.Uint32(rest[4:]) || n > maxRecordBytes {
		return nil, len(buf), "the length of a record is over the limit or does not match its checksum"
	}
	if len(rest) < headerBytes+n {
		return nil, len(buf), ""
	}
	payload, end = rest[headerBytes:headerBytes+n], off+headerBytes+n
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(rest[8:]) {
		return nil, end, "checksum mismatch in the payload of a record"
	}
	return payload, end, ""
}

// tornWrite reports whether the record from off to end is part of a torn last write: a whole sector of it reads as zeros, and no
// valid record follows.
func tornWrite(buf []byte, off, end int) bool {
	for at := off - off%sectorBytes; at < end; at += sectorBytes {
		from, to := max(at, off), min(at+sectorBytes, len(buf))
		if from < to && allZero(buf[from:to]) {
			return !validRecordAfter(buf, off+1)
		}
	}
	return false
}

// validRecordAfter reports whether a record with matching checksums begins at or after off.
func validRecordAfter(buf []byte, off int) bool {
	for ; off+headerBytes <= len(buf); off++ {
		n := int(binary.LittleEndian.Uint32(buf[off:]))
		if n == 0 || n > len(buf)-off-headerBytes {
			continue
		}
		payload := buf[off+headerBytes : off+headerBytes+n]
		if crc32.Checksum(buf[off:off+4], castagnoli) == binary.LittleEndian.Uint32(buf[off+4:]) &&
			crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(buf[off+8:]) {
			return true
		}
	}
	return false
}

func allZero(p []byte) bool { return len(bytes.TrimLeft(p, "\x00")) == 0 }
