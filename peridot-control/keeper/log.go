package keeper

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/common/claimerpb"
)

// A record consists of the payload's length, the CRC-32C of the length, the CRC-32C of the payload, and the payload. Numbers are
// little-endian.
const (
	recordHeaderBytes = 12
	maxRecordBytes    = 16 << 20
	logName           = "claims.log"
	dirMode           = 0o755
	fileMode          = 0o644
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports a corrupt log. The replica must be rebuilt as if it had lost its disk.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at byte %d: %s; move the file away to have this replica rebuilt from the others", e.File, e.Offset, e.Reason)
}

// logFile is the open log of one replica.
type logFile struct {
	path  string
	f     *os.File
	sync  func(*os.File) error
	bytes int64
}

// openLog replays the log in dir and opens it for appending. It truncates a torn record at the end and returns that
// record's size in torn.
func openLog(dir string, sync func(*os.File) error, replay func(*claimerpb.LogRecord) error) (l *logFile, torn int64, err error) {
	defer func() { err = errors.WithMessage(err, "open claim log") }()
	if err = os.MkdirAll(dir, dirMode); err != nil {
		return nil, 0, err
	}
	l = &logFile{path: filepath.Join(dir, logName), sync: sync}
	if err = l.syncDir(filepath.Dir(dir)); err != nil {
		return nil, 0, err
	}
	data, err := os.ReadFile(l.path)
	if err != nil && !os.IsNotExist(err) {
		return nil, 0, err
	}
	if l.bytes, err = replayRecords(l.path, data, replay); err != nil {
		return nil, 0, err
	}
	torn = int64(len(data)) - l.bytes
	if l.f, err = os.OpenFile(l.path, os.O_CREATE|os.O_RDWR, fileMode); err != nil {
		return nil, 0, err
	}
	if err = l.f.Truncate(l.bytes); err != nil {
		return nil, 0, err
	}
	if _, err = l.f.Seek(l.bytes, io.SeekStart); err != nil {
		return nil, 0, err
	}
	if err = l.sync(l.f); err != nil {
		return nil, 0, err
	}
	return l, torn, l.syncDir(dir)
}

// replayRecords calls replay for each complete record of data and returns their total size.
func replayRecords(path string, data []byte, replay func(*claimerpb.LogRecord) error) (int64, error) {
	offset := 0
	for offset < len(data) {
		payload, err := nextRecord(data[offset:])
		if err != nil {
			return 0, &CorruptError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		if payload == nil {
			break
		}
		r := &claimerpb.LogRecord{}
		if err = proto.Unmarshal(payload, r); err == nil {
			err = replay(r)
		}
		if err != nil {
			return 0, &CorruptError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		offset += recordHeaderBytes + len(payload)
	}
	return int64(offset), nil
}

// nextRecord returns the payload of the first record of data, or nil if data holds only a torn write: a record cut short, or
// zeros.
func nextRecord(data []byte) ([]byte, error) {
	if len(data) < recordHeaderBytes || len(bytes.Trim(data, "\x00")) == 0 {
		return nil, nil
	}
	n := binary.LittleEndian.Uint32(data)
	if crc32.Checksum(data[:4], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, errors.New("checksum mismatch in the length of a record")
	}
	if uint64(len(data)) < recordHeaderBytes+uint64(n) {
		return nil, nil
	}
	payload := data[recordHeaderBytes : recordHeaderBytes+n]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, errors.New("checksum mismatch in the payload of a record")
	}
	return payload, nil
}

// appendRecord appends the encoding of r to buf.
func appendRecord(buf []byte, r *claimerpb.LogRecord) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, recordHeaderBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, r)
	if err != nil {
		return buf[:start], err
	}
	payload := buf[start+recordHeaderBytes:]
	if len(payload) > maxRecordBytes {
		return buf[:start], errors.Errorf("a record of %d bytes exceeds the limit of %d", len(payload), maxRecordBytes)
	}
	h := buf[start:]
	binary.LittleEndian.PutUint32(h, uint32(len(payload)))
	binary.LittleEndian.PutUint32(h[4:], crc32.Checksum(h[:4], castagnoli))
	binary.LittleEndian.PutUint32(h[8:], crc32.Checksum(payload, castagnoli))
	return buf, nil
}

// append writes encoded records to the end of the log and syncs it.
func (l *logFile) append(buf []byte) (err error) {
	defer func() { err = errors.WithMessage(err, "write claim log") }()
	if _, err = l.f.Write(buf); err != nil {
		return err
	}
	l.bytes += int64(len(buf))
	return l.sync(l.f)
}

// replace atomically replaces the log by one that holds the encoded records in buf.
func (l *logFile) replace(buf []byte) (err error) {
	defer func() { err = errors.WithMessage(err, "compact claim log") }()
	f, err := os.Create(l.path + ".new")
	if err != nil {
		return err
	}
	if _, err = f.Write(buf); err != nil {
		return err
	}
	if err = l.sync(f); err != nil {
		return err
	}
	if err = os.Rename(l.path+".new", l.path); err != nil {
		return err
	}
	_ = l.f.Close()
	l.f, l.bytes = f, int64(len(buf))
	return l.syncDir(filepath.Dir(l.path))
}

func (l *logFile) close() error { return l.f.Close() }

func (l *logFile) syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return l.sync(d)
}
