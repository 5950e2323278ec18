package recorder

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/peridot-control/replicatorpb"
)

func entry(index, term uint64) *replicatorpb.Entry {
	return &replicatorpb.Entry{Index: index, Term: term, Kind: replicatorpb.EntryKind_COMMAND, Data: bytes.Repeat([]byte{byte(index)}, 700)}
}

func open(t *testing.T, dir string) (*Recorder, *State, error) {
	t.Helper()
	r, st, err := Open(Config{Dir: dir, NewID: func() uint64 { return 7 }})
	if err == nil {
		t.Cleanup(func() { _ = r.Close() })
	}
	return r, st, err
}

// populate returns a directory with a vote and entries 1 to 5, and the content of its log file.
func populate(t *testing.T) (dir string, log []byte) {
	g := NewWithT(t)
	dir = t.TempDir()
	r, _, err := open(t, dir)
	g.Expect(err).NotTo(HaveOccurred())
	for i := uint64(1); i <= 5; i++ {
		g.Expect(r.Save(&replicatorpb.Vote{Term: i, For: 9}, []*replicatorpb.Entry{entry(i, i)})).To(Succeed())
	}
	g.Expect(r.Close()).To(Succeed())
	log, err = os.ReadFile(filepath.Join(dir, logName))
	g.Expect(err).NotTo(HaveOccurred())
	return dir, log
}

func TestOpenKeepsCompleteRecordsOfATornLog(t *testing.T) {
	g := NewWithT(t)
	dir, log := populate(t)
	for cut := len(log) - 740; cut < len(log); cut++ {
		g.Expect(os.WriteFile(filepath.Join(dir, logName), log[:cut], 0o600)).To(Succeed())
		r, st, err := open(t, dir)
		g.Expect(err).NotTo(HaveOccurred(), "cut at %d", cut)
		g.Expect(len(st.Entries)).To(Equal(4))
		g.Expect(st.ID).To(Equal(uint64(7)))
		g.Expect(r.Save(nil, []*replicatorpb.Entry{entry(5, 9)})).To(Succeed())
		g.Expect(r.Close()).To(Succeed())
		r, st, err = open(t, dir)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Close()).To(Succeed())
		g.Expect(st.Entries[4].Term).To(Equal(uint64(9)))
		g.Expect(st.TornBytes).To(BeZero())
	}
}

func TestOpenRefusesABitFlipInAnyByte(t *testing.T) {
	g := NewWithT(t)
	dir, log := populate(t)
	for at := range log {
		flipped := bytes.Clone(log)
		flipped[at] ^= 0x10
		g.Expect(os.WriteFile(filepath.Join(dir, logName), flipped, 0o600)).To(Succeed())
		_, _, err := open(t, dir)
		var corrupt *CorruptError
		g.Expect(errors.As(err, &corrupt)).To(BeTrue(), "bit flipped in byte %d: %v", at, err)
		g.Expect(corrupt.File).To(Equal(logName))
	}
}

func TestZeroedSectorsOfTheLastWriteAreTruncated(t *testing.T) {
	g := NewWithT(t)
	dir, log := populate(t)
	from := (len(log) - sectorBytes) / sectorBytes * sectorBytes
	clear(log[from:])
	g.Expect(os.WriteFile(filepath.Join(dir, logName), log, 0o600)).To(Succeed())
	_, st, err := open(t, dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(st.Entries)).To(Equal(4))
	g.Expect(st.TornBytes).To(BeNumerically(">", 0))
}

func TestCompactSurvivesACrashAtEachStep(t *testing.T) {
	for name, stopAt := range map[string]int{"snapshot file": 0, "directory after the snapshot": 1, "log file": 2, "directory after the log": 3} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			dir, _ := populate(t)
			syncs := -100
			r, _, err := Open(Config{Dir: dir, Sync: func(f *os.File) error {
				if syncs == stopAt {
					return errors.New("stopped")
				}
				syncs++
				return f.Sync()
			}})
			g.Expect(err).NotTo(HaveOccurred())
			syncs = 0
			snap := &replicatorpb.Snapshot{Index: 4, Term: 4, State: []byte("four")}
			g.Expect(r.Compact(snap, &replicatorpb.Vote{Term: 5, For: 9}, &replicatorpb.Position{Index: 2, Term: 2}, []*replicatorpb.Entry{entry(3, 3), entry(4, 4), entry(5, 5)})).NotTo(Succeed())
			g.Expect(r.Close()).To(Succeed())
			_, st, err := open(t, dir)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(st.Vote.Term).To(Equal(uint64(5)))
			g.Expect(st.Base.Index + uint64(len(st.Entries))).To(Equal(uint64(5)))
			g.Expect(proto.Equal(st.Entries[len(st.Entries)-1], entry(5, 5))).To(BeTrue())
			if stopAt > 0 {
				g.Expect(proto.Equal(st.Snapshot, snap)).To(BeTrue())
			}
		})
	}
}

// stopAt returns a Sync function that fails from the nth sync on, the first being 0.
func stopAt(n int) func(*os.File) error {
	return func(f *os.File) error {
		if n--; n < 0 {
			return errors.New("stopped")
		}
		return f.Sync()
	}
}

// Guards against entries that are refused, or missing, at the second start after a process was killed while it took over a snapshot: they were
// appended to a log file that doesn't contain the snapshot's position.
func TestEntriesAfterAnInterruptedInstallAreKept(t *testing.T) {
	tests := map[string]struct {
		// log holds the terms of the entries before the snapshot is taken over.
		log  []uint64
		snap *replicatorpb.Snapshot
	}{
		"an empty directory":                           {nil, &replicatorpb.Snapshot{Index: 20, Term: 3}},
		"the founder of a cluster":                     {nil, &replicatorpb.Snapshot{Index: 1, Term: 1}},
		"a log that ends before the snapshot":          {[]uint64{1, 1}, &replicatorpb.Snapshot{Index: 20, Term: 3}},
		"a log that conflicts with the snapshot":       {[]uint64{1, 1, 1, 1, 1, 1, 1, 1}, &replicatorpb.Snapshot{Index: 8, Term: 2}},
		"a log that conflicts and ends after snapshot": {[]uint64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, &replicatorpb.Snapshot{Index: 8, Term: 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			dir := t.TempDir()
			r, _, err := open(t, dir)
			g.Expect(err).NotTo(HaveOccurred())
			for i, term := range tt.log {
				g.Expect(r.Save(&replicatorpb.Vote{Term: term}, []*replicatorpb.Entry{entry(uint64(i+1), term)})).To(Succeed())
			}
			// The snapshot is in place after two syncs, the log after two more.
			r.cfg.Sync = stopAt(2)
			base := &replicatorpb.Position{Index: tt.snap.Index, Term: tt.snap.Term}
			g.Expect(r.Compact(tt.snap, &replicatorpb.Vote{Term: tt.snap.Term}, base, nil)).NotTo(Succeed())
			g.Expect(r.Close()).To(Succeed())
			for saved := range 4 {
				r, st, err := open(t, dir)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(proto.Equal(st.Snapshot, tt.snap)).To(BeTrue())
				g.Expect(proto.Equal(st.Base, base)).To(BeTrue())
				g.Expect(st.Entries).To(HaveLen(saved), "the entries that were saved since")
				next := entry(base.Index+1+uint64(saved), base.Term)
				g.Expect(r.Save(nil, []*replicatorpb.Entry{next})).To(Succeed())
				g.Expect(r.Close()).To(Succeed())
			}
		})
	}
}

func TestSaveFailsOnSyncErrorAndFullDisk(t *testing.T) {
	g := NewWithT(t)
	fail := false
	r, _, err := Open(Config{Dir: t.TempDir(), NewID: func() uint64 { return 7 }, Sync: func(f *os.File) error {
		if fail {
			return errors.New("input/output error")
		}
		return f.Sync()
	}})
	g.Expect(err).NotTo(HaveOccurred())
	fail = true
	g.Expect(r.Save(nil, []*replicatorpb.Entry{entry(1, 1)})).To(MatchError(ContainSubstring("input/output error")))
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	g.Expect(err).NotTo(HaveOccurred())
	fail, r.log = false, full
	g.Expect(r.Save(nil, []*replicatorpb.Entry{entry(1, 1)})).To(MatchError(ContainSubstring("no space left")))
	g.Expect(r.Close()).To(Succeed())
}

func TestResetLeavesOnlyANewIdentity(t *testing.T) {
	g := NewWithT(t)
	dir, _ := populate(t)
	ids := uint64(20)
	r, st, err := Open(Config{Dir: dir, NewID: func() uint64 { ids++; return ids }})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Compact(&replicatorpb.Snapshot{Index: 5, Term: 5}, st.Vote, &replicatorpb.Position{Index: 5, Term: 5}, nil)).To(Succeed())
	old, err := os.ReadFile(filepath.Join(dir, snapshotName))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = r.Reset()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Close()).To(Succeed())
	// Simulates a stop before the old snapshot was removed.
	g.Expect(os.WriteFile(filepath.Join(dir, snapshotName), old, 0o600)).To(Succeed())
	for range 2 {
		r, st, err := open(t, dir)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(st.ID).To(Equal(uint64(21)))
		g.Expect(st.Snapshot).To(BeNil())
		g.Expect(r.Save(&replicatorpb.Vote{Term: 3}, nil)).To(Succeed())
		g.Expect(r.Close()).To(Succeed())
	}
}

// Guards against a snapshot that is kept under another identity than the one that wrote it, after a stop in Reset: a founder's first snapshot
// looks the same as one that was left behind.
func TestInterruptedResetKeepsNoSnapshot(t *testing.T) {
	for _, index := range []uint64{1, 20} {
		for stop := range 3 {
			t.Run(fmt.Sprintf("index %d, stopped at sync %d", index, stop), func(t *testing.T) {
				g := NewWithT(t)
				dir, id := t.TempDir(), uint64(20)
				newID := func() uint64 { id++; return id }
				r, _, err := Open(Config{Dir: dir, NewID: newID})
				g.Expect(err).NotTo(HaveOccurred())
				snap, base := &replicatorpb.Snapshot{Index: index, Term: 1}, &replicatorpb.Position{Index: index, Term: 1}
				g.Expect(r.Compact(snap, &replicatorpb.Vote{Term: 1}, base, nil)).To(Succeed())
				r.cfg.Sync = stopAt(stop)
				_, err = r.Reset()
				g.Expect(err).To(HaveOccurred())
				g.Expect(r.Close()).To(Succeed())
				for range 2 {
					r, st, err := Open(Config{Dir: dir, NewID: newID})
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(st.Snapshot != nil).To(Equal(st.ID == 21), "the snapshot belongs to identity 21 alone, the directory has %d", st.ID)
					g.Expect(r.Close()).To(Succeed())
				}
			})
		}
	}
}

// Guards against a recovery under a new identity that is interrupted and leaves the snapshot of one identity beside the log of the other.
func TestInterruptedChangeOfIdentityIsFinishedOrUndone(t *testing.T) {
	for stop := range 4 {
		t.Run(fmt.Sprint("stopped at sync ", stop), func(t *testing.T) {
			g := NewWithT(t)
			dir, id := t.TempDir(), uint64(20)
			newID := func() uint64 { id++; return id }
			r, _, err := Open(Config{Dir: dir, NewID: newID})
			g.Expect(err).NotTo(HaveOccurred())
			old, base := &replicatorpb.Snapshot{Index: 8, Term: 3, State: []byte("old")}, &replicatorpb.Position{Index: 8, Term: 3}
			g.Expect(r.Compact(old, &replicatorpb.Vote{Term: 3, For: 9}, base, nil)).To(Succeed())
			g.Expect(r.ReplaceID()).To(Equal(uint64(22)))
			r.cfg.Sync = stopAt(stop)
			recovered := &replicatorpb.Snapshot{Index: 8, Term: 3, State: []byte("recovered")}
			g.Expect(r.Compact(recovered, &replicatorpb.Vote{Term: 4}, base, nil)).NotTo(Succeed())
			g.Expect(r.Close()).To(Succeed())
			for range 2 {
				r, st, err := Open(Config{Dir: dir, NewID: newID})
				g.Expect(err).NotTo(HaveOccurred())
				want := map[uint64]string{21: "old", 22: "recovered"}[st.ID]
				g.Expect(string(st.Snapshot.State)).To(Equal(want), "the directory has identity %d", st.ID)
				g.Expect(st.Vote.Term).To(Equal(st.ID-18), "the vote of identity %d", st.ID)
				g.Expect(r.Close()).To(Succeed())
			}
		})
	}
}

// Guards against entries of a log that are dropped as conflicting although an earlier build may have appended them after the snapshot.
func TestOpenRefusesAConflictingLogOfAnEarlierBuild(t *testing.T) {
	tests := map[string]struct {
		// after holds the terms of the entries from index 9 on; the snapshot has index 8 and term 2, entry 8 term 1.
		after   []uint64
		refused bool
	}{
		"nothing after the snapshot":               {nil, false},
		"entries that were there before":           {[]uint64{1, 1}, false},
		"entries that may follow the snapshot":     {[]uint64{2, 2}, true},
		"entries of which the last one may follow": {[]uint64{1, 2}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			dir := t.TempDir()
			r, _, err := open(t, dir)
			g.Expect(err).NotTo(HaveOccurred())
			for i, term := range append([]uint64{1, 1, 1, 1, 1, 1, 1, 1}, tt.after...) {
				g.Expect(r.Save(&replicatorpb.Vote{Term: term}, []*replicatorpb.Entry{entry(uint64(i+1), term)})).To(Succeed())
			}
			g.Expect(r.Close()).To(Succeed())
			record := &replicatorpb.Record{Record: &replicatorpb.Record_Snapshot{Snapshot: &replicatorpb.Snapshot{Index: 8, Term: 2}}}
			g.Expect(os.WriteFile(filepath.Join(dir, snapshotName), appendRecord(nil, record), fileMode)).To(Succeed())
			_, st, err := open(t, dir)
			var corrupt *CorruptError
			g.Expect(errors.As(err, &corrupt)).To(Equal(tt.refused))
			if !tt.refused {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(st.Entries).To(BeEmpty())
			}
		})
	}
}

func TestOpenFailsIfAnotherProcessHoldsTheLock(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	_, _, err := open(t, dir)
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = open(t, dir)
	g.Expect(err).To(MatchError(ContainSubstring("another process")))
}

func FuzzDecodeRecords(f *testing.F) {
	identity := appendRecord(nil, &replicatorpb.Record{Record: &replicatorpb.Record_Identity{Identity: 7}})
	f.Add(appendRecord(identity, &replicatorpb.Record{Record: &replicatorpb.Record_Entry{Entry: entry(1, 1)}}))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, buf []byte) {
		var reencoded []byte
		n, err := decodeRecords("fuzz", buf, func(rec *replicatorpb.Record) error {
			reencoded = appendRecord(reencoded, rec)
			return nil
		})
		if n < 0 || n > len(buf) {
			t.Fatalf("%d of %d bytes: %v", n, len(buf), err)
		}
		// The records kept of a torn log, and the re-encoding of the records read from it, must both decode completely.
		for _, kept := range [][]byte{buf[:n], reencoded} {
			if m, err := decodeRecords("fuzz", kept, func(*replicatorpb.Record) error { return nil }); err != nil || m != len(kept) {
				t.Fatalf("%d of %d kept bytes: %v", m, len(kept), err)
			}
		}
	})
}

// Guards against a process that forgets that it takes part in the bootstrap of the cluster when its first start is interrupted, at any step, and
// against one that takes part although it has lost its state or was removed from the cluster.
func TestInitialMembersAreKeptWithTheFirstIdentity(t *testing.T) {
	initial := []*replicatorpb.Member{{Address: "a"}, {Address: "b"}}
	same := func(list []*replicatorpb.Member) bool {
		return len(list) == 2 && list[0].Address == "a" && list[1].Address == "b"
	}
	// The syncs of a first start are those of the parent directory, of a file and the directory for each of two files, and of the directory.
	for stopAt := range 7 {
		t.Run(fmt.Sprint("stopped at sync ", stopAt), func(t *testing.T) {
			g := NewWithT(t)
			dir, syncs, ids := filepath.Join(t.TempDir(), "data"), 0, uint64(20)
			newID := func() uint64 { ids++; return ids }
			r, _, err := Open(Config{Dir: dir, NewID: newID, Initial: initial, Sync: func(f *os.File) error {
				if syncs++; syncs > stopAt {
					return errors.New("stopped")
				}
				return f.Sync()
			}})
			g.Expect(err == nil).To(Equal(stopAt == 6))
			if err == nil {
				g.Expect(r.Close()).To(Succeed())
			}
			for range 2 {
				r, st, err := Open(Config{Dir: dir, NewID: newID})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(same(st.Initial)).To(BeTrue(), "the list is kept, as the directory isn't empty")
				g.Expect(r.Close()).To(Succeed())
			}
			r, _, err = Open(Config{Dir: dir, NewID: newID})
			g.Expect(err).NotTo(HaveOccurred())
			st, err := r.Reset()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(st.Initial).To(BeEmpty())
			g.Expect(r.Close()).To(Succeed())
			r, st, err = Open(Config{Dir: dir, NewID: newID, Initial: initial})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(st.Initial).To(BeEmpty())
			g.Expect(r.Close()).To(Succeed())
		})
	}
}

// Guards against a process that has lost its disk and takes part in a bootstrap, because its first start after that was interrupted.
func TestStartWithoutInitialMembersIsNoFirstStart(t *testing.T) {
	for stop := range 4 {
		t.Run(fmt.Sprint("stopped at sync ", stop), func(t *testing.T) {
			g := NewWithT(t)
			dir := filepath.Join(t.TempDir(), "data")
			newID := func() uint64 { return 7 }
			_, _, err := Open(Config{Dir: dir, NewID: newID, Sync: stopAt(stop)})
			g.Expect(err).To(HaveOccurred())
			_, st, err := open(t, dir)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(st.Initial).To(BeEmpty())
		})
	}
}

// Guards against a start that fails, or takes part with half a list, after a first start that stopped before its list was written.
func TestIncompleteListOfInitialMembersIsDropped(t *testing.T) {
	initial := []*replicatorpb.Member{{Address: "a"}, {Address: "b"}}
	whole := t.TempDir()
	r, _, err := Open(Config{Dir: whole, NewID: func() uint64 { return 7 }, Initial: initial})
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Close()).To(Succeed())
	buf, err := os.ReadFile(filepath.Join(whole, initialName))
	g.Expect(err).NotTo(HaveOccurred())
	for cut := range buf {
		for _, list := range [][]*replicatorpb.Member{nil, initial} {
			dir := t.TempDir()
			g.Expect(os.WriteFile(filepath.Join(dir, initialName+newSuffix), buf[:cut], fileMode)).To(Succeed())
			for range 2 {
				r, st, err := Open(Config{Dir: dir, NewID: func() uint64 { return 8 }, Initial: list})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(st.ID).To(Equal(uint64(8)))
				g.Expect(st.Initial).To(HaveLen(len(list)))
				g.Expect(r.Close()).To(Succeed())
			}
		}
	}
}
