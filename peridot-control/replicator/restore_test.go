package replicator

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peridotswitch.example/peridot-control/recorder"
	"peridotswitch.example/peridot-control/replicatorpb"
)

// Load pattern: all machines lose power and come back one after the other. A member that is still alone knows what it had heard to be
// committed, and takes nothing else for it.
func TestAMemberThatIsAloneKnowsWhatWasCommitted(t *testing.T) {
	rec, st, err := recorder.Open(recorder.Config{Folder: t.TempDir(), NewID: func() uint64 { return 1 }})
	if err != nil {
		t.Fatal(err)
	}
	defer rec.Close()
	members := &replicatorpb.Membership{Members: []*replicatorpb.Member{{Id: 1, Voter: true}, {Id: 2, Voter: true}, {Id: 3, Voter: true}}}
	st.Snapshot = &replicatorpb.Snapshot{Index: 1, Term: 1, Membership: members}
	st.Base = &replicatorpb.Position{Index: 1, Term: 1}
	for i, command := range []string{"a", "b", "c"} {
		st.Entries = append(st.Entries, &replicatorpb.Entry{Index: uint64(i) + 2, Term: 1, Kind: replicatorpb.EntryKind_COMMAND, Data: []byte(command)})
	}
	st.Commit = 3
	var applied string
	r, err := New(Config{
		Recorder: rec, State: st, Self: members.Members[0], Spare: true,
		Reach:     func(*replicatorpb.Member) string { return "127.0.0.1:1" },
		Tick:      time.Hour,
		Heartbeat: 4 * time.Hour,
		Election:  100 * time.Hour,
		Lease:     time.Hour,
		Apply:     func(command []byte) any { applied += string(command); return nil },
		Restore:   func([]byte) error { return nil },
		Log:       zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	// The loop has had no tick: what is applied was so before New returned.
	r.Close()
	if applied != "ab" {
		t.Errorf("applied %q, want the two committed commands of three", applied)
	}
}
