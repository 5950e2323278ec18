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
	Folder string
	// NewID makes the identity of a folder that has none.
	NewID func() uint64
	// Sync makes what was written to a file or folder durable; nil for (*os.File).Sync.
	Sync func(*os.File) error
}

// State is what a folder held when it was opened.
type State struct {
	ID       uint64
	Vote     *replicatorpb.Vote
	Snapshot *replicatorpb.Snapshot
	// Base is the position before the first of Entries.
	Base    *replicatorpb.Position
	Entries []*replicatorpb.Entry
	// TornBytes counts the bytes of an unfinished last write, which were never acknowledged and are gone.
	TornBytes int
}

// Names of the files in the folder.
const (
	logName      = "log"
	snapshotName = "snapshot"
	lockName     = "lock"
	newSuffix    = ".new"
)

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// Recorder writes one folder; it is not safe for concurrent use, and after an error only Close may be called.
type Recorder struct {
	cfg  Config
	id   uint64
	log  *os.File
	lock *os.File
	size int64
}

// Open opens the folder, or creates it with a new identity; a damaged one is refused with a *DamageError.
func Open(cfg Config) (r *Recorder, st *State, err error) {
	defer func() { err = errors.WithMessagef(err, "open data folder %s", cfg.Folder) }()
	if cfg.Sync == nil {
		cfg.Sync = (*os.File).Sync
	}
	if err = os.MkdirAll(cfg.Folder, folderMode); err != nil {
		return nil, nil, err
	}
	r = &Recorder{cfg: cfg}
	if err = r.acquire(); err != nil {
		return nil, nil, err
	}
	if err = r.syncFolder(filepath.Dir(cfg.Folder)); err == nil {
		st, err = r.load()
	}
	if err != nil {
		_ = r.Close()
		return nil, nil, err
	}
	return r, st, nil
}

// acquire keeps a second process out of the folder.
func (r *Recorder) acquire() (err error) {
	if r.lock, err = os.OpenFile(r.path(lockName), os.O_CREATE|os.O_RDWR, fileMode); err != nil {
		return err
	}
	if err = syscall.Flock(int(r.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = r.lock.Close()
		return errors.WithMessage(err, "another process uses the folder")
	}
	return nil
}

// Size returns the bytes in the log file.
func (r *Recorder) Size() int64 { return r.size }

// Save appends a vote, when not nil, and entries, with one sync; an entry replaces those from its index on.
func (r *Recorder) Save(vote *replicatorpb.Vote, entries []*replicatorpb.Entry) (err error) {
	defer func() { err = errors.WithMessage(err, "save to the log") }()
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

// Compact replaces the snapshot, then the log by one that starts after base.
func (r *Recorder) Compact(snap *replicatorpb.Snapshot, vote *replicatorpb.Vote, base *replicatorpb.Position, entries []*replicatorpb.Entry) (err error) {
	defer func() { err = errors.WithMessage(err, "compact the log") }()
	buf := appendRecord(nil, &replicatorpb.Record{Record: &replicatorpb.Record_Snapshot{Snapshot: snap}})
	f, err := r.replace(snapshotName, buf)
	if err != nil {
		return err
	}
	_ = f.Close()
	return r.rewrite(vote, base, entries)
}

// Retire forgets everything in the folder and gives it a new identity.
func (r *Recorder) Retire() (st *State, err error) {
	defer func() { err = errors.WithMessage(err, "retire the member") }()
	r.id = r.cfg.NewID()
	st = &State{ID: r.id, Vote: &replicatorpb.Vote{}, Base: &replicatorpb.Position{}}
	// The log goes first: an old snapshot beside a new identity is dropped when the folder is opened.
	if err = r.rewrite(st.Vote, st.Base, nil); err != nil {
		return nil, err
	}
	if err = os.Remove(r.path(snapshotName)); err != nil && !os.IsNotExist(err) {
		return nil, err
	}
	return st, r.syncFolder(r.cfg.Folder)
}

// Reidentify gives the folder a new identity, which the next Compact writes.
func (r *Recorder) Reidentify() uint64 {
	r.id = r.cfg.NewID()
	return r.id
}

// Close closes the files.
func (r *Recorder) Close() error {
	if r.log != nil {
		_ = r.log.Close()
	}
	return r.lock.Close()
}

func (r *Recorder) path(name string) string { return filepath.Join(r.cfg.Folder, name) }

func (r *Recorder) rewrite(vote *replicatorpb.Vote, base *replicatorpb.Position, entries []*replicatorpb.Entry) error {
	buf := appendRecord(nil, &replicatorpb.Record{Record: &replicatorpb.Record_Identity{Identity: r.id}})
	buf = appendRecord(buf, &replicatorpb.Record{Record: &replicatorpb.Record_Vote{Vote: vote}})
	buf = appendRecord(buf, &replicatorpb.Record{Record: &replicatorpb.Record_Base{Base: base}})
	for _, e := range entries {
		buf = appendRecord(buf, &replicatorpb.Record{Record: &replicatorpb.Record_Entry{Entry: e}})
	}
	f, err := r.replace(logName, buf)
	if err != nil {
		return err
	}
	if r.log != nil {
		_ = r.log.Close()
	}
	r.log, r.size = f, int64(len(buf))
	return nil
}

// replace writes a file whole beside the old one, syncs it and puts it in its place.
func (r *Recorder) replace(name string, buf []byte) (f *os.File, err error) {
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
	return f, r.syncFolder(r.cfg.Folder)
}

func (r *Recorder) syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return r.cfg.Sync(d)
}
