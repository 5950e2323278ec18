package recorder

import (
	"os"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-control/replicatorpb"
)

func (r *Recorder) load() (st *State, err error) {
	buf, err := os.ReadFile(r.path(logName))
	if os.IsNotExist(err) {
		return r.create()
	}
	if err != nil {
		return nil, err
	}
	for _, name := range []string{logName, snapshotName, initialName} {
		if err = os.Remove(r.path(name + newSuffix)); err != nil && !os.IsNotExist(err) {
			return nil, err
		}
	}
	// The last process may have stopped after it renamed a file and before the name was durable.
	if err = r.syncDir(r.cfg.Dir); err != nil {
		return nil, err
	}
	st = &State{Vote: &replicatorpb.Vote{}}
	n, err := decodeRecords(logName, buf, st.applyRecord)
	if err != nil {
		return nil, err
	}
	if st.ID == 0 || st.Base == nil {
		return nil, &CorruptError{logName, 0, "the record of the identity or of the base position is missing"}
	}
	st.TornBytes = len(buf) - n
	interrupted, err := st.loadSnapshot(r.path(snapshotName))
	if err != nil {
		return nil, err
	}
	if st.Snapshot == nil {
		if err = r.removeSnapshot(); err != nil {
			return nil, err
		}
	}
	r.id = st.ID
	id, initial, err := r.loadInitial(initialName)
	if err != nil {
		return nil, err
	}
	if id == st.ID {
		st.Initial = initial
	}
	if interrupted {
		// Entries that are appended from now on must follow the last one in the file.
		return st, r.replaceLog(st.Vote, st.Base, st.Entries)
	}
	if r.log, err = os.OpenFile(r.path(logName), os.O_RDWR, fileMode); err != nil {
		return nil, err
	}
	if err = r.log.Truncate(int64(n)); err != nil {
		return nil, err
	}
	if _, err = r.log.Seek(int64(n), 0); err != nil {
		return nil, err
	}
	r.size = int64(n)
	return st, r.cfg.Sync(r.log)
}

func (r *Recorder) create() (st *State, err error) {
	if _, err = os.Stat(r.path(snapshotName)); err == nil {
		return nil, &CorruptError{logName, 0, "the file is missing although there is a snapshot"}
	}
	id, initial, err := r.createInitial()
	if err != nil {
		return nil, err
	}
	if id == 0 {
		return r.Reset()
	}
	r.id = id
	if st, err = r.clear(); err == nil {
		st.Initial = initial
	}
	return st, err
}

// createInitial returns the identity and the members of the file initial of a directory without a log, and first completes or creates that file.
// It comes before the log: a process that stops in between is still one that takes part in the bootstrap. The id is 0 if this process doesn't.
func (r *Recorder) createInitial() (id uint64, initial []*replicatorpb.Member, err error) {
	if id, initial, err = r.loadInitial(initialName); err != nil || id != 0 {
		return id, initial, err
	}
	const name = initialName + newSuffix
	var corrupt *CorruptError
	if id, initial, err = r.loadInitial(name); err != nil && !errors.As(err, &corrupt) {
		return 0, nil, err
	}
	if err != nil || id == 0 {
		// The file is cut short if a loss of power, or a kill before the write, has ended the first start.
		if err = os.Remove(r.path(name)); err != nil && !os.IsNotExist(err) {
			return 0, nil, err
		}
		if len(r.cfg.Initial) == 0 {
			return 0, nil, nil
		}
		if err = r.writeInitial(); err != nil {
			return 0, nil, err
		}
		if id, initial, err = r.loadInitial(name); err != nil {
			return 0, nil, err
		}
	}
	f, err := os.OpenFile(r.path(name), os.O_RDWR, fileMode)
	if err != nil {
		return 0, nil, err
	}
	defer f.Close()
	if err = r.cfg.Sync(f); err != nil {
		return 0, nil, err
	}
	if err = os.Rename(r.path(name), r.path(initialName)); err != nil {
		return 0, nil, err
	}
	return id, initial, r.syncDir(r.cfg.Dir)
}

// noteInitial writes the temporary file of initial to a directory that is empty. It is the first file there: if the process is killed after it has
// written anything else, the next one can tell an interrupted first start from one after the loss of a disk.
func (r *Recorder) noteInitial() error {
	names, err := os.ReadDir(r.cfg.Dir)
	if err != nil || len(names) > 0 || len(r.cfg.Initial) == 0 {
		return err
	}
	// Another process may be doing the same; only one of them gets the lock.
	if err = r.writeInitial(); os.IsExist(err) {
		return nil
	}
	return err
}

// writeInitial creates the temporary file of initial in one write.
func (r *Recorder) writeInitial() error {
	buf := appendRecord(nil, &replicatorpb.Record{Record: &replicatorpb.Record_Identity{Identity: r.cfg.NewID()}})
	buf = appendRecord(buf, &replicatorpb.Record{Record: &replicatorpb.Record_Initial{Initial: &replicatorpb.Membership{Members: r.cfg.Initial}}})
	f, err := os.OpenFile(r.path(initialName+newSuffix), os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = f.Write(buf)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// loadInitial returns the members that bootstrap a new cluster and the identity of the directory that belongs to them, from the file name; 0 if
// there are none.
func (r *Recorder) loadInitial(name string) (id uint64, initial []*replicatorpb.Member, err error) {
	buf, err := os.ReadFile(r.path(name))
	if os.IsNotExist(err) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	n, err := decodeRecords(name, buf, func(rec *replicatorpb.Record) error {
		id, initial = max(id, rec.GetIdentity()), append(initial, rec.GetInitial().GetMembers()...)
		return nil
	})
	if err == nil && (n != len(buf) || id == 0 || len(initial) == 0) {
		err = &CorruptError{name, n, "the file is truncated"}
	}
	return id, initial, err
}

// applyRecord applies one record of the log file to st.
func (st *State) applyRecord(rec *replicatorpb.Record) error {
	switch v := rec.Record.(type) {
	case *replicatorpb.Record_Identity:
		st.ID = v.Identity
	case *replicatorpb.Record_Base:
		st.Base = v.Base
	case *replicatorpb.Record_Vote:
		st.Vote = v.Vote
	case *replicatorpb.Record_Entry:
		return st.applyEntry(v.Entry)
	default:
		return errors.Errorf("unexpected record type %T", rec.Record)
	}
	return nil
}

func (st *State) applyEntry(e *replicatorpb.Entry) error {
	if st.Base == nil || e.Index <= st.Base.Index || e.Index > st.Base.Index+uint64(len(st.Entries))+1 {
		return errors.Errorf("entry %d does not follow the one before it", e.Index)
	}
	st.Entries = append(st.Entries[:e.Index-st.Base.Index-1], e)
	return nil
}

// snapshotFile is the content of the snapshot file.
type snapshotFile struct {
	// owner is the identity of the directory once the snapshot is in force, and replaced the one before, if ReplaceID changed it. Files of
	// earlier builds hold neither, and no vote.
	owner, replaced uint64
	vote            *replicatorpb.Vote
	snapshot        *replicatorpb.Snapshot
}

func (f *snapshotFile) encode() (buf []byte) {
	if f.replaced != 0 {
		buf = appendRecord(buf, &replicatorpb.Record{Record: &replicatorpb.Record_Identity{Identity: f.replaced}})
	}
	buf = appendRecord(buf, &replicatorpb.Record{Record: &replicatorpb.Record_Identity{Identity: f.owner}})
	buf = appendRecord(buf, &replicatorpb.Record{Record: &replicatorpb.Record_Vote{Vote: f.vote}})
	return appendRecord(buf, &replicatorpb.Record{Record: &replicatorpb.Record_Snapshot{Snapshot: f.snapshot}})
}

// applyRecord applies one record of the snapshot file to f.
func (f *snapshotFile) applyRecord(rec *replicatorpb.Record) error {
	switch v := rec.Record.(type) {
	case *replicatorpb.Record_Identity:
		f.owner, f.replaced = v.Identity, f.owner
	case *replicatorpb.Record_Vote:
		f.vote = v.Vote
	case *replicatorpb.Record_Snapshot:
		f.snapshot = v.Snapshot
	default:
		return errors.Errorf("unexpected record type %T", rec.Record)
	}
	return nil
}

// isLeftOver reports whether a Reset stopped before it removed the file, which belongs to the identity before that.
func (f *snapshotFile) isLeftOver(st *State) bool {
	if f.owner != 0 {
		return f.owner != st.ID && f.replaced != st.ID
	}
	return st.Base.Index == 0 && len(st.Entries) == 0 && st.Vote.Term == 0 && f.snapshot.Index > 1
}

// loadSnapshot reads the snapshot file and reports whether the log file must be rewritten; see reconcile.
func (st *State) loadSnapshot(path string) (interrupted bool, err error) {
	buf, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		if st.Base.Index > 0 {
			return false, &CorruptError{snapshotName, 0, "the file is missing although the log was compacted"}
		}
		return false, nil
	}
	if err != nil {
		return false, err
	}
	f := &snapshotFile{}
	n, err := decodeRecords(snapshotName, buf, f.applyRecord)
	if err != nil {
		return false, err
	}
	if n != len(buf) || f.snapshot == nil {
		return false, &CorruptError{snapshotName, n, "the file is truncated"}
	}
	return st.reconcile(f)
}

// reconcile makes snapshot and log consistent again if the process stopped after replacing one and before replacing the other. It reports
// whether it has changed what the log file holds.
func (st *State) reconcile(f *snapshotFile) (interrupted bool, err error) {
	s := f.snapshot
	last := st.Base.Index + uint64(len(st.Entries))
	switch {
	case f.isLeftOver(st):
		if st.Base.Index > 0 {
			return false, &CorruptError{snapshotName, 0, "the snapshot belongs to another identity than the log"}
		}
		return false, nil
	case s.Index < st.Base.Index:
		return false, &CorruptError{snapshotName, 0, "the snapshot is older than the base position of the log"}
	case f.replaced != 0 && f.replaced == st.ID:
	case s.Index > last:
	case s.Index > st.Base.Index && st.Entries[s.Index-st.Base.Index-1].Term != s.Term:
		// Earlier builds appended to such a log: these entries can't be told from those that conflict with the snapshot.
		if f.owner == 0 && s.Index < last && st.Entries[len(st.Entries)-1].Term >= s.Term {
			return false, &CorruptError{logName, 0, "it conflicts with the snapshot and may hold entries that follow the snapshot"}
		}
	default:
		st.Snapshot = s
		return false, nil
	}
	if f.owner != 0 {
		st.ID = f.owner
	}
	st.Vote = laterVote(st.Vote, f.vote)
	st.Snapshot, st.Base, st.Entries = s, &replicatorpb.Position{Index: s.Index, Term: s.Term}, nil
	return true, nil
}

// laterVote returns the vote of the later term. Within a term a member votes once.
func laterVote(a, b *replicatorpb.Vote) *replicatorpb.Vote {
	if b.GetTerm() > a.Term || b.GetTerm() == a.Term && a.For == 0 && b != nil {
		return b
	}
	return a
}
