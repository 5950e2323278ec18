package recorder

import (
	"bufio"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-control/replicatorpb"
)

// Config configures a Recorder.
type Config struct {
	Dir string
	// NewID generates the identity of a directory that has none.
	NewID func() uint64
	// Initial are the members that bootstrap a new cluster, if a directory that this process creates takes part in that; nil otherwise.
	Initial []*replicatorpb.Member
	// Sync makes writes to a file or directory durable; (*os.File).Sync when nil.
	Sync func(*os.File) error
}

// State is the content of a directory when it was opened.
type State struct {
	ID       uint64
	Vote     *replicatorpb.Vote
	Snapshot *replicatorpb.Snapshot
	// Base is the position just before the first of Entries.
	Base    *replicatorpb.Position
	Entries []*replicatorpb.Entry
	// Initial is Config.Initial of the process that created the directory, while that still has its first identity; nil otherwise.
	Initial []*replicatorpb.Member
	// TornBytes is the size of a torn last write, which was never acknowledged and has been truncated.
	TornBytes int
}

// File names in the directory.
const (
	logName      = "log"
	snapshotName = "snapshot"
	initialName  = "initial"
	lockName     = "lock"
	newSuffix    = ".new"
)

const (
	fileMode = 0o600
	dirMode  = 0o700
)

// Recorder writes the files of a directory. It is not safe for concurrent use. After an error only Close may be called.
type Recorder struct {
	cfg Config
	id  uint64
	// replacedID is the identity that the log file holds until the next Compact, after ReplaceID; 0 otherwise.
	replacedID uint64

	log  *os.File
	lock *os.File
	size int64
}

// Open opens the directory, or creates it with a new identity. The error wraps a *CorruptError if a file is corrupt.
func Open(cfg Config) (r *Recorder, st *State, err error) {
	defer func() { err = errors.WithMessagef(err, "open data directory %s", cfg.Dir) }()
	if cfg.Sync == nil {
		cfg.Sync = (*os.File).Sync
	}
	if err = os.MkdirAll(cfg.Dir, dirMode); err != nil {
		return nil, nil, err
	}
	r = &Recorder{cfg: cfg}
	if err = r.noteInitial(); err != nil {
		return nil, nil, err
	}
	if err = r.lockDir(); err != nil {
		return nil, nil, err
	}
	if err = r.syncDir(filepath.Dir(cfg.Dir)); err == nil {
		st, err = r.load()
	}
	if err != nil {
		_ = r.Close()
		return nil, nil, err
	}
	return r, st, nil
}

// lockDir takes an exclusive lock on the directory, which keeps a second process out.
func (r *Recorder) lockDir() (err error) {
	if r.lock, err = os.OpenFile(r.path(lockName), os.O_CREATE|os.O_RDWR, fileMode); err != nil {
		return err
	}
	if err = syscall.Flock(int(r.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = r.lock.Close()
		return errors.WithMessage(err, "another process uses the directory")
	}
	return nil
}

// Size returns the size of the log file in bytes.
func (r *Recorder) Size() int64 { return r.size }

// Save appends vote, if not nil, and entries to the log with one sync. An entry replaces earlier ones from its index on.
func (r *Recorder) Save(vote *replicatorpb.Vote, entries []*replicatorpb.Entry) (err error) {
	defer func() { err = errors.WithMessage(err, "append to the log") }()
	var buf []byte
	if vote != nil {
		buf = appendRecord(buf, &replicatorpb.Record{Record: &replicatorpb.Record_Vote{Vote: vote}})
	}
	for _, e := range entries {
		buf = appendRecord(buf, &replicatorpb.Record{Record: &replicatorpb.Record_Entry{Entry: e}})
	}
	if _, err = r.log.Write(buf); err != nil {
		return err
	}
	r.size += int64(len(buf))
	return r.cfg.Sync(r.log)
}

// Compact replaces the snapshot, then replaces the log by one that starts after base. If the process stops in between, Open replaces the log: by
// one that starts after the snapshot if the old one doesn't contain the snapshot's position.
func (r *Recorder) Compact(snap *replicatorpb.Snapshot, vote *replicatorpb.Vote, base *replicatorpb.Position, entries []*replicatorpb.Entry) (err error) {
	defer func() { err = errors.WithMessage(err, "compact the log") }()
	content := &snapshotFile{owner: r.id, replaced: r.replacedID, vote: vote, snapshot: snap}
	f, err := r.replaceFile(snapshotName, content.encode())
	if err != nil {
		return err
	}
	_ = f.Close()
	return r.replaceLog(vote, base, entries)
}

// Reset discards all state and gives the directory a new identity.
func (r *Recorder) Reset() (st *State, err error) {
	defer func() { err = errors.WithMessage(err, "reset the data directory") }()
	r.id = r.cfg.NewID()
	return r.clear()
}

// clear discards all state under the identity that the directory has now.
func (r *Recorder) clear() (st *State, err error) {
	st = &State{ID: r.id, Vote: &replicatorpb.Vote{}, Base: &replicatorpb.Position{}}
	// The log is replaced before the snapshot is removed: after a stop in between, Open drops a snapshot beside a log with a new
	// identity.
	if err = r.replaceLog(st.Vote, st.Base, nil); err != nil {
		return nil, err
	}
	return st, r.removeSnapshot()
}

// removeSnapshot removes the snapshot file, if there is one.
func (r *Recorder) removeSnapshot() error {
	if err := os.Remove(r.path(snapshotName)); err != nil && !os.IsNotExist(err) {
		return err
	}
	return r.syncDir(r.cfg.Dir)
}

// ReplaceID generates a new identity, which the next Compact writes. That Compact has no entries after its snapshot.
func (r *Recorder) ReplaceID() uint64 {
	r.replacedID, r.id = r.id, r.cfg.NewID()
	return r.id
}

// Close closes the files and releases the lock.
func (r *Recorder) Close() error {
	if r.log != nil {
		_ = r.log.Close()
	}
	return r.lock.Close()
}

func (r *Recorder) path(name string) string { return filepath.Join(r.cfg.Dir, name) }

func (r *Recorder) replaceLog(vote *replicatorpb.Vote, base *replicatorpb.Position, entries []*replicatorpb.Entry) error {
	buf := appendRecord(nil, &replicatorpb.Record{Record: &replicatorpb.Record_Identity{Identity: r.id}})
	buf = appendRecord(buf, &replicatorpb.Record{Record: &replicatorpb.Record_Vote{Vote: vote}})
	buf = appendRecord(buf, &replicatorpb.Record{Record: &replicatorpb.Record_Base{Base: base}})
	for _, e := range entries {
		buf = appendRecord(buf, &replicatorpb.Record{Record: &replicatorpb.Record_Entry{Entry: e}})
	}
	f, err := r.replaceFile(logName, buf)
	if err != nil {
		return err
	}
	if r.log != nil {
		_ = r.log.Close()
	}
	r.log, r.size, r.replacedID = f, int64(len(buf)), 0
	return nil
}

// replaceFile atomically replaces a file: it writes and syncs a new one beside it and renames that over it.
func (r *Recorder) replaceFile(name string, buf []byte) (f *os.File, err error) {
	path := r.path(name)
	if f, err = os.OpenFile(path+newSuffix, os.O_CREATE|os.O_TRUNC|os.O_RDWR, fileMode); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = f.Close()
		}
	}()
	w := bufio.NewWriter(f)
	if _, err = w.Write(buf); err != nil {
		return nil, err
	}
	if err = w.Flush(); err != nil {
		return nil, err
	}
	if err = r.cfg.Sync(f); err != nil {
		return nil, err
	}
	if err = os.Rename(path+newSuffix, path); err != nil {
		return nil, err
	}
	return f, r.syncDir(r.cfg.Dir)
}

func (r *Recorder) syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return r.cfg.Sync(d)
}
