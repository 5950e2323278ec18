package recorder

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"peridotswitch.example/peridot-control/replicatorpb"
)

// disk records what has been synced of one directory, to simulate a loss of power. A process that is killed loses nothing that it has written.
type disk struct {
	dir string
	// files is the content of files at their last sync, by inode, and names the entries of the directory at its last sync.
	files map[uint64][]byte
	names map[string]uint64
	// stopAfter is the number of syncs until one fails; negative for never.
	stopAfter int
}

var errStopped = errors.New("stopped")

func newDisk(t *testing.T) *disk {
	return &disk{dir: filepath.Join(t.TempDir(), "data"), files: make(map[uint64][]byte), names: make(map[string]uint64), stopAfter: -1}
}

func inode(fi os.FileInfo) uint64 { return fi.Sys().(*syscall.Stat_t).Ino }

// sync implements Config.Sync.
func (d *disk) sync(f *os.File) error {
	if d.stopAfter == 0 {
		return errStopped
	}
	d.stopAfter--
	fi, err := f.Stat()
	if err != nil {
		return err
	}
	switch {
	case !fi.IsDir():
		buf := make([]byte, fi.Size())
		_, err = io.ReadFull(io.NewSectionReader(f, 0, fi.Size()), buf)
		d.files[inode(fi)] = buf
	case f.Name() == d.dir:
		d.names, err = d.entries()
	}
	return err
}

func (d *disk) entries() (names map[string]uint64, err error) {
	list, err := os.ReadDir(d.dir)
	names = make(map[string]uint64)
	for _, e := range list {
		fi, err := e.Info()
		if err != nil {
			return nil, err
		}
		names[e.Name()] = inode(fi)
	}
	return names, err
}

// losePower puts the directory into a state in which a loss of power may leave it: each change of a name that was not synced is there or not,
// and what was appended to a file and not synced is there, cut short or missing.
func (d *disk) losePower(t *testing.T, rnd *rand.Rand) {
	now, err := d.entries()
	if err != nil {
		t.Fatal(err)
	}
	content := make(map[uint64][]byte)
	for name, ino := range now {
		buf, err := os.ReadFile(filepath.Join(d.dir, name))
		if err != nil {
			t.Fatal(err)
		}
		content[ino] = buf
	}
	kept := make(map[string][]byte)
	for name, ino := range d.names {
		if rnd.IntN(2) == 0 || now[name] == ino {
			kept[name] = d.afterLoss(ino, content, rnd)
		}
	}
	for name, ino := range now {
		if d.names[name] != ino && kept[name] == nil && (rnd.IntN(2) == 0 || d.names[name] != 0) {
			kept[name] = d.afterLoss(ino, content, rnd)
		}
	}
	if err = os.RemoveAll(d.dir); err != nil {
		t.Fatal(err)
	}
	if err = os.Mkdir(d.dir, dirMode); err != nil {
		t.Fatal(err)
	}
	clear(d.files)
	for name, buf := range kept {
		if err = os.WriteFile(filepath.Join(d.dir, name), buf, fileMode); err != nil {
			t.Fatal(err)
		}
	}
	if d.names, err = d.entries(); err != nil {
		t.Fatal(err)
	}
	for name, ino := range d.names {
		d.files[ino] = kept[name]
	}
}

// afterLoss returns the content of a file after a loss of power.
func (d *disk) afterLoss(ino uint64, content map[uint64][]byte, rnd *rand.Rand) []byte {
	synced, now := d.files[ino], content[ino]
	if len(now) <= len(synced) {
		return append([]byte{}, synced...)
	}
	return append([]byte{}, now[:len(synced)+rnd.IntN(len(now)-len(synced)+1)]...)
}

// member is the state that a member keeps in the directory, as its caller knows it. Entries are known by their terms.
type member struct {
	ID, VoteTerm, VoteFor uint64
	// Initial tells whether the member takes part in the bootstrap of a cluster.
	Initial bool
	// Index, Term and State are those of the snapshot; Terms are the terms of the entries after Index.
	Index, Term uint64
	State       string
	Terms       []uint64
}

func (m member) last() uint64 { return m.Index + uint64(len(m.Terms)) }

func (m member) termAt(index uint64) uint64 {
	if index == m.Index {
		return m.Term
	}
	return m.Terms[index-m.Index-1]
}

// withEntries returns m after entries of one term that begin at an index were saved.
func (m member) withEntries(index, term uint64, n int) member {
	m.Terms = slices.Clone(m.Terms[:index-m.Index-1])
	for range n {
		m.Terms = append(m.Terms, term)
	}
	return m
}

// memberIn returns the state read from the directory.
func memberIn(st *State) (m member, err error) {
	m = member{ID: st.ID, VoteTerm: st.Vote.Term, VoteFor: st.Vote.For, Initial: len(st.Initial) > 0}
	if st.Snapshot != nil {
		m.Index, m.Term, m.State = st.Snapshot.Index, st.Snapshot.Term, string(st.Snapshot.State)
	}
	for i, e := range st.Entries {
		switch {
		case e.Index != st.Base.Index+1+uint64(i):
			return m, fmt.Errorf("entry %d follows position %d", e.Index, st.Base.Index+uint64(i))
		case e.Index > m.Index:
			m.Terms = append(m.Terms, e.Term)
		case e.Index == m.Index && e.Term != m.Term:
			return m, fmt.Errorf("entry %d has term %d, the snapshot term %d", e.Index, e.Term, m.Term)
		}
	}
	if st.Base.Index+uint64(len(st.Entries)) < m.Index {
		return m, fmt.Errorf("the log ends before the snapshot, at %d", st.Base.Index+uint64(len(st.Entries)))
	}
	return m, nil
}

// stopSeries is a random series of operations, stops and starts on one directory, beside the model of what it must hold.
type stopSeries struct {
	t    *testing.T
	rnd  *rand.Rand
	disk *disk
	rec  *Recorder
	// model is the state after the last operation that was acknowledged or that a start has shown to be complete.
	model  member
	lastID uint64
	// initial is the list of the first start; nil after it, or if it follows the loss of a disk.
	initial []*replicatorpb.Member
	trace   []string
}

func (s *stopSeries) newID() uint64 { s.lastID++; return s.lastID }

func (s *stopSeries) failf(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("%s\nafter:\n%s", fmt.Sprintf(format, args...), strings.Join(s.trace, "\n"))
}

// firstStart opens the directory for the first time, with the settings of a first start or with those of one after the loss of a disk. It may be stopped
// at any sync; later starts have the latter settings.
func (s *stopSeries) firstStart() {
	s.t.Helper()
	if s.rnd.IntN(2) == 0 {
		s.initial = []*replicatorpb.Member{{Address: "a"}, {Address: "b"}, {Address: "c"}}
	}
	takesPart := s.initial != nil
	s.start(nil)
	if lostPower := slices.Contains(s.trace, "loss of power"); s.model.Initial && !takesPart || !s.model.Initial && takesPart && !lostPower {
		s.failf("the member takes part in the bootstrap: %t, want %t", s.model.Initial, takesPart)
	}
}

// start opens the directory, which must hold one of the states in allowed, or nothing but an identity if there are none. The start itself may be
// stopped at any sync.
func (s *stopSeries) start(allowed []member) {
	s.t.Helper()
	for {
		s.disk.stopAfter = -1
		if s.rnd.IntN(3) == 0 {
			s.disk.stopAfter = s.rnd.IntN(5)
		}
		rec, st, err := Open(Config{Dir: s.disk.dir, NewID: s.newID, Sync: s.disk.sync, Initial: s.initial})
		s.initial = nil
		if err != nil && s.disk.stopAfter == 0 {
			s.trace = append(s.trace, "start stopped")
			s.maybeLosePower()
			continue
		}
		s.disk.stopAfter = -1
		if err != nil {
			s.failf("the directory is refused: %v", err)
		}
		m, err := memberIn(st)
		if err != nil {
			s.failf("%v", err)
		}
		if allowed == nil {
			allowed = []member{{ID: m.ID, Initial: m.Initial}}
		}
		if !slices.ContainsFunc(allowed, func(a member) bool { return sameMember(a, m) }) {
			s.failf("the directory holds %+v, want one of %+v", m, allowed)
		}
		s.rec, s.model = rec, m
		s.trace = append(s.trace, fmt.Sprintf("started with %+v", m))
		return
	}
}

func sameMember(a, b member) bool {
	if len(a.Terms) == 0 && len(b.Terms) == 0 {
		a.Terms, b.Terms = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

func (s *stopSeries) maybeLosePower() {
	if s.rnd.IntN(2) == 0 {
		s.trace = append(s.trace, "loss of power")
		s.disk.losePower(s.t, s.rnd)
	}
}

// run runs an operation that ends with the state after unless it is stopped. Then the next start must find that, the state of before, or one
// of between.
func (s *stopSeries) run(name string, op func() error, after member, between ...member) {
	s.t.Helper()
	if s.disk.stopAfter = -1; s.rnd.IntN(4) == 0 {
		s.disk.stopAfter = s.rnd.IntN(6)
	}
	s.trace = append(s.trace, fmt.Sprintf("%s, to stop after %d syncs", name, s.disk.stopAfter))
	err := op()
	stopped := s.disk.stopAfter == 0 && err != nil
	s.disk.stopAfter = -1
	switch {
	case stopped:
		_ = s.rec.Close()
		s.maybeLosePower()
		s.start(append([]member{s.model, after}, between...))
	case err != nil:
		s.failf("%v", err)
	default:
		s.model = after
	}
	if s.rnd.IntN(6) == 0 {
		_ = s.rec.Close()
		s.maybeLosePower()
		s.start([]member{s.model})
	}
}

// step runs a random operation.
func (s *stopSeries) step() {
	m := s.model
	vote := &replicatorpb.Vote{Term: m.VoteTerm, For: m.VoteFor}
	switch s.rnd.IntN(9) {
	case 0, 1, 2, 3:
		s.save(m)
	case 4, 5:
		s.compact(m, vote)
	case 6, 7:
		s.install(m)
	case 8:
		s.run("reset", func() error { _, err := s.rec.Reset(); return err }, member{ID: s.lastID + 1})
	}
}

// save saves a vote or entries or both; entries may replace a suffix that the snapshot doesn't cover.
func (s *stopSeries) save(m member) {
	after, n := m, s.rnd.IntN(4)
	if m.Index == 0 {
		// A member has no entries before it has a snapshot, that of the founder or of the leader.
		n = 0
	}
	var vote *replicatorpb.Vote
	if s.rnd.IntN(2) == 0 {
		after.VoteTerm, after.VoteFor = m.VoteTerm+1, s.rnd.Uint64N(3)
		vote = &replicatorpb.Vote{Term: after.VoteTerm, For: after.VoteFor}
	}
	index := m.last() + 1
	if vote != nil && s.rnd.IntN(3) == 0 {
		index -= s.rnd.Uint64N(uint64(len(m.Terms)) + 1)
	}
	var entries []*replicatorpb.Entry
	var between []member
	voted := after
	for i := range n {
		between = append(between, after)
		entries = append(entries, entry(index+uint64(i), after.VoteTerm))
		after = voted.withEntries(index, after.VoteTerm, i+1)
	}
	if vote == nil && n == 0 {
		return
	}
	s.run(fmt.Sprintf("save of vote %v and %d entries from %d on", vote, n, index), func() error { return s.rec.Save(vote, entries) }, after, between...)
}

// compact takes a snapshot at a position in the log and keeps some entries before it.
func (s *stopSeries) compact(m member, vote *replicatorpb.Vote) {
	if m.Index == 0 || len(m.Terms) == 0 {
		return
	}
	after := m
	after.Index += 1 + s.rnd.Uint64N(uint64(len(m.Terms)))
	after.Term, after.State = m.termAt(after.Index), fmt.Sprint("state ", s.newID())
	after.Terms = slices.Clone(m.Terms[after.Index-m.Index:])
	base := &replicatorpb.Position{Index: m.Index + s.rnd.Uint64N(after.Index-m.Index+1)}
	base.Term = m.termAt(base.Index)
	var entries []*replicatorpb.Entry
	for i := base.Index + 1; i <= m.last(); i++ {
		entries = append(entries, entry(i, m.termAt(i)))
	}
	snap := &replicatorpb.Snapshot{Index: after.Index, Term: after.Term, State: []byte(after.State)}
	s.run(fmt.Sprintf("compaction at %d from %d on", after.Index, base.Index), func() error { return s.rec.Compact(snap, vote, base, entries) }, after)
}

// install takes over a snapshot: that of the leader, of the founder of a cluster, or of a recovery under a new identity.
func (s *stopSeries) install(m member) {
	after := m
	after.Index, after.Terms = m.Index+1+s.rnd.Uint64N(uint64(len(m.Terms))+4), nil
	recovery := m.Index > 0 && s.rnd.IntN(5) == 0
	if recovery {
		after.Index = m.last()
	}
	if m.Index == 0 && s.rnd.IntN(3) == 0 {
		after.Index = 1
	}
	matches := after.Index <= m.last() && (recovery || s.rnd.IntN(2) == 0)
	if matches {
		after.Term = m.termAt(after.Index)
	} else {
		after.VoteTerm, after.VoteFor = m.VoteTerm+1, 0
		after.Term = after.VoteTerm
	}
	after.State = fmt.Sprint("state ", s.newID())
	var between []member
	if matches && !recovery {
		// The entries after the snapshot's position don't conflict with it.
		kept := after
		kept.Terms = slices.Clone(m.Terms[after.Index-m.Index:])
		between = append(between, kept)
	}
	if recovery {
		after.Initial = false
		after.ID, after.VoteTerm, after.VoteFor = s.rec.ReplaceID(), m.VoteTerm+1, 0
	}
	snap := &replicatorpb.Snapshot{Index: after.Index, Term: after.Term, State: []byte(after.State)}
	vote, base := &replicatorpb.Vote{Term: after.VoteTerm, For: after.VoteFor}, &replicatorpb.Position{Index: after.Index, Term: after.Term}
	s.run(fmt.Sprintf("snapshot of index %d, term %d for identity %d", after.Index, after.Term, after.ID), func() error {
		return s.rec.Compact(snap, vote, base, nil)
	}, after, between...)
}

// Guards against a stop, by a kill or a loss of power, after which the directory is refused at some later start, or lacks what was acknowledged, or
// holds the state of another identity.
func TestStateSurvivesStopsAtAnySync(t *testing.T) {
	for seed := range seriesCount(t) {
		s := &stopSeries{t: t, rnd: rand.New(rand.NewPCG(seed, 11)), disk: newDisk(t)}
		s.trace = append(s.trace, fmt.Sprint("seed ", seed))
		s.firstStart()
		for range 12 {
			s.step()
		}
		_ = s.rec.Close()
		s.start([]member{s.model})
		_ = s.rec.Close()
	}
}

// seriesCount returns the number of random series; SERIES sets it.
func seriesCount(t *testing.T) uint64 {
	text := os.Getenv("SERIES")
	if text == "" {
		return 1500
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
