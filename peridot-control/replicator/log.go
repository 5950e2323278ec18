package replicator

import (
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/peridot-control/recorder"
	"peridotswitch.example/peridot-control/replicatorpb"
)

// raftLog is the part of the log after base, in memory.
type raftLog struct {
	base    *replicatorpb.Position
	entries []*replicatorpb.Entry
	// snapshot is the newest one; it may lie after base, since some entries before it are kept for slow members.
	snapshot *replicatorpb.Snapshot
	stable   uint64
	commit   uint64
	taken    uint64
	// memberships are those of the snapshot and of later entries, oldest first; the last one counts, committed or not.
	memberships []membershipAt
}

type membershipAt struct {
	index      uint64
	membership *replicatorpb.Membership
}

func (l *raftLog) restore(st *recorder.State) {
	*l = raftLog{base: st.Base, snapshot: st.Snapshot}
	if l.snapshot == nil {
		l.snapshot = &replicatorpb.Snapshot{Membership: &replicatorpb.Membership{}}
	}
	l.memberships = []membershipAt{{l.snapshot.Index, l.snapshot.Membership}}
	l.commit, l.taken = l.snapshot.Index, l.snapshot.Index
	for _, e := range st.Entries {
		l.append(e)
	}
	l.stable = l.last()
}

func (l *raftLog) last() uint64 { return l.base.Index + uint64(len(l.entries)) }

// term returns the term of the entry at index, or 0 when it is not known.
func (l *raftLog) term(index uint64) uint64 {
	switch {
	case index == l.base.Index:
		return l.base.Term
	case index < l.base.Index || index > l.last():
		return 0
	}
	return l.entries[index-l.base.Index-1].Term
}

// append adds an entry at its index, dropping what stands there and after.
func (l *raftLog) append(e *replicatorpb.Entry) {
	if e.Index <= l.last() {
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
			l.memberships = append(l.memberships, membershipAt{e.Index, m})
		}
	}
}

// from returns entries from index on, up to about maxBytes of data.
func (l *raftLog) from(index uint64, maxBytes int) []*replicatorpb.Entry {
	if index <= l.base.Index || index > l.last() {
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

func (l *raftLog) unstable() []*replicatorpb.Entry {
	if l.stable >= l.last() {
		return nil
	}
	return append([]*replicatorpb.Entry(nil), l.entries[l.stable-l.base.Index:]...)
}

// takeCommitted returns what is committed and synced here and was not taken before.
func (l *raftLog) takeCommitted() []*replicatorpb.Entry {
	to := min(l.commit, l.stable)
	if to <= l.taken {
		return nil
	}
	out := l.entries[l.taken-l.base.Index : to-l.base.Index]
	l.taken = to
	return append([]*replicatorpb.Entry(nil), out...)
}

func (l *raftLog) membership() *replicatorpb.Membership {
	return l.memberships[len(l.memberships)-1].membership
}

// membershipSettled reports whether the membership in force is committed.
func (l *raftLog) membershipSettled() bool {
	return l.memberships[len(l.memberships)-1].index <= l.commit
}

// membershipBy returns the membership as of index.
func (l *raftLog) membershipBy(index uint64) *replicatorpb.Membership {
	m := l.memberships[0].membership
	for _, at := range l.memberships {
		if at.index <= index {
			m = at.membership
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

// install replaces the whole log by a snapshot.
func (l *raftLog) install(s *replicatorpb.Snapshot) {
	l.restore(&recorder.State{Snapshot: s, Base: &replicatorpb.Position{Index: s.Index, Term: s.Term}})
}

// compact makes s the newest snapshot and drops the entries before it but for the last keep ones.
func (l *raftLog) compact(s *replicatorpb.Snapshot, keep uint64) {
	l.snapshot = s
	first := membershipAt{s.Index, l.membershipBy(s.Index)}
	rest := []membershipAt{first}
	for _, at := range l.memberships {
		if at.index > s.Index {
			rest = append(rest, at)
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
