package recorder

import (
	"os"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-control/replicatorpb"
)

func (r *Recorder) load() (st *State, err error) {
	for _, name := range []string{logName, snapshotName, initialName} {
		if err = os.Remove(r.path(name + newSuffix)); err != nil && !os.IsNotExist(err) {
			return nil, err
		}
	}
	buf, err := os.ReadFile(r.path(logName))
	if os.IsNotExist(err) {
		return r.create()
	}
	if err != nil {
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
		if err = os.Remove(r.path(snapshotName)); err != nil && !os.IsNotExist(err) {
			return nil, err
		}
	}
	r.id = st.ID
	id, initial, err := r.loadInitial()
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
	id, initial, err := r.loadInitial()
	if err != nil {
		return nil, err
	}
	if id == 0 && len(r.cfg.Initial) > 0 {
		// It comes before the log: a process that stops in between is still one that takes part in the bootstrap.
		id, initial = r.cfg.NewID(), r.cfg.Initial
		if err = r.saveInitial(id, initial); err != nil {
			return nil, err
		}
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

// loadInitial returns the members that bootstrap a new cluster and the identity of the directory that belongs to them; 0 if there are none.
func (r *Recorder) loadInitial() (id uint64, initial []*replicatorpb.Member, err error) {
	buf, err := os.ReadFile(r.path(initialName))
	if os.IsNotExist(err) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	n, err := decodeRecords(initialName, buf, func(rec *replicatorpb.Record) error {
		id, initial = max(id, rec.GetIdentity()), append(initial, rec.GetInitial().GetMembers()...)
		return nil
	})
	if err == nil && (n != len(buf) || id == 0 || len(initial) == 0) {
		err = &CorruptError{initialName, n, "the file is truncated"}
	}
	return id, initial, err
}

func (r *Recorder) saveInitial(id uint64, initial []*replicatorpb.Member) error {
	buf := appendRecord(nil, &replicatorpb.Record{Record: &replicatorpb.Record_Identity{Identity: id}})
	buf = appendRecord(buf, &replicatorpb.Record{Record: &replicatorpb.Record_Initial{Initial: &replicatorpb.Membership{Members: initial}}})
	f, err := r.replaceFile(initialName, buf)
	if err != nil {
		return err
	}
	return f.Close()
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
	n, err := decodeRecords(snapshotName, buf, func(rec *replicatorpb.Record) error {
		st.Snapshot = rec.GetSnapshot()
		return nil
	})
	if err != nil {
		return false, err
	}
	if n != len(buf) || st.Snapshot == nil {
		return false, &CorruptError{snapshotName, n, "the file is truncated"}
	}
	return st.reconcile()
}

// reconcile makes snapshot and log consistent again if the process stopped after replacing one and before replacing the other. It reports
// whether it has changed what the log file holds.
func (st *State) reconcile() (interrupted bool, err error) {
	s := st.Snapshot
	last := st.Base.Index + uint64(len(st.Entries))
	switch {
	case s.Index < st.Base.Index:
		return false, &CorruptError{snapshotName, 0, "the snapshot is older than the base position of the log"}
	case st.Base.Index == 0 && len(st.Entries) == 0 && st.Vote.Term == 0 && s.Index > 1:
		// The process stopped in Reset before it removed the snapshot of the previous identity.
		st.Snapshot = nil
	case s.Index > last || s.Index > st.Base.Index && st.Entries[s.Index-st.Base.Index-1].Term != s.Term:
		st.Base, st.Entries = &replicatorpb.Position{Index: s.Index, Term: s.Term}, nil
		return true, nil
	}
	return false, nil
}
