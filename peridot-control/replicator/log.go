package replicator

import (
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/peridot-control/recorder"
	"peridotswitch.example/peridot-control/replicatorpb"
)

// raftLog is the in-memory log: the entries after base.
type raftLog struct {
	base    *replicatorpb.Position
	entries []*replicatorpb.Entry
	// snapshot is the newest snapshot. Its index may be higher than base, because some entries before it are kept for slow followers.
	snapshot *replicatorpb.Snapshot
	// stable is the index of the last entry persisted here, commit the commit index, and applying the index of the last entry that
	// nextCommitted has returned.
	stable   uint64
	commit   uint64
	applying uint64
	// memberships holds the membership of the snapshot and those of later entries, oldest first. The last one is in force, whether
	// committed or not.
	memberships []indexedMembership
}

// indexedMembership is a membership with the index of its log entry.
type indexedMembership struct {
	index      uint64
	membership *replicatorpb.Membership
}

func (l *raftLog) restore(st *recorder.State) {
	*l = raftLog{base: st.Base, snapshot: st.Snapshot}
	if l.snapshot == nil {
		l.snapshot = &replicatorpb.Snapshot{Membership: &replicatorpb.Membership{}}
	}
	l.memberships = []indexedMembership{{l.snapshot.Index, l.snapshot.Membership}}
	l.commit, l.applying = l.snapshot.Index, l.snapshot.Index
	for _, e := range st.Entries {
		l.append(e)
	}
	l.stable = l.lastIndex()
}

func (l *raftLog) lastIndex() uint64 { return l.base.Index + uint64(len(l.entries)) }

// term returns the term of the entry at index, or 0 when the entry is unknown.
func (l *raftLog) term(index uint64) uint64 {
	switch {
	case index == l.base.Index:
		return l.base.Term
	case index < l.base.Index || index > l.lastIndex():
		return 0
	}
	return l.entries[index-l.base.Index-1].Term
}

// append adds an entry at its index after truncating any entries at that index or later.
func (l *raftLog) append(e *replicatorpb.Entry) {
	if e.Index <= l.lastIndex() {
		l.entries = append([]*replicatorpb.Entry(nil), l.entries[:e.Index-l.base.Index-1]...)
		l.stable = min(l.stable, e.Index-1)
		for n := len(l.memberships); l.memberships[n-1].index >= e.Index; n = len(l.memberships) {
			l.memberships = l.memberships[:n-1]
		}
	}
	l.entries = append(l.entries, e)
	if e.Kind == replicatorpb.EntryKind_MEMBERSHIP && e.Index > l.snapshot.Index {
		m := &replicatorpb.Membership{}
		if err := proto.Unmarshal(e.Data, m); err == nil {
			l.memberships = append(l.memberships, indexedMembership{e.Index, m})
		}
	}
}

// entriesFrom returns the entries from index on, limited to maxBytes of data but at least one entry.
func (l *raftLog) entriesFrom(index uint64, maxBytes int) []*replicatorpb.Entry {
	if index <= l.base.Index || index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.base.Index-1:]
	for i, e := range rest {
		if maxBytes -= len(e.Data); maxBytes < 0 && i > 0 {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// unstableEntries returns the entries that have not been persisted yet.
func (l *raftLog) unstableEntries() []*replicatorpb.Entry {
	if l.stable >= l.lastIndex() {
		return nil
	}
	return append([]*replicatorpb.Entry(nil), l.entries[l.stable-l.base.Index:]...)
}

// nextCommitted returns the entries that are committed, persisted here, and not returned before.
func (l *raftLog) nextCommitted() []*replicatorpb.Entry {
	to := min(l.commit, l.stable)
	if to <= l.applying {
		return nil
	}
	out := l.entries[l.applying-l.base.Index : to-l.base.Index]
	l.applying = to
	return append([]*replicatorpb.Entry(nil), out...)
}

// membership returns the newest membership, which is in force from the time it is appended.
func (l *raftLog) membership() *replicatorpb.Membership {
	return l.memberships[len(l.memberships)-1].membership
}

// membershipIndex returns the index of the membership in force.
func (l *raftLog) membershipIndex() uint64 {
	return l.memberships[len(l.memberships)-1].index
}

// membershipCommitted reports whether the membership in force is committed.
func (l *raftLog) membershipCommitted() bool {
	return l.membershipIndex() <= l.commit
}

// membershipAsOf returns the membership that the entries up to index result in.
func (l *raftLog) membershipAsOf(index uint64) *replicatorpb.Membership {
	m := l.memberships[0].membership
	for _, im := range l.memberships {
		if im.index <= index {
			m = im.membership
		}
	}
	return m
}

func (l *raftLog) member(id uint64) *replicatorpb.Member {
	for _, m := range l.membership().Members {
		if m.Id == id {
			return m
		}
	}
	return nil
}

// installSnapshot replaces the whole log with a snapshot.
func (l *raftLog) installSnapshot(s *replicatorpb.Snapshot) {
	l.restore(&recorder.State{Snapshot: s, Base: &replicatorpb.Position{Index: s.Index, Term: s.Term}})
}

// compact makes s the newest snapshot and discards the entries up to it except for the last keep ones.
func (l *raftLog) compact(s *replicatorpb.Snapshot, keep uint64) {
	l.snapshot = s
	first := indexedMembership{s.Index, l.membershipAsOf(s.Index)}
	rest := []indexedMembership{first}
	for _, im := range l.memberships {
		if im.index > s.Index {
			rest = append(rest, im)
		}
	}
	l.memberships = rest
	if s.Index < l.base.Index+keep {
		return
	}
	to := s.Index - keep
	if to <= l.base.Index {
		return
	}
	base := &replicatorpb.Position{Index: to, Term: l.term(to)}
	l.entries = append([]*replicatorpb.Entry(nil), l.entries[to-l.base.Index:]...)
	l.base = base
}
