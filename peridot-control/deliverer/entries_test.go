package deliverer

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/differ"
)

func testEntry(i int, synchronised bool) *delivererpb.EntryMember {
	return &delivererpb.EntryMember{
		InstanceId: fmt.Sprintf("front-centro-%c-%d", 'a'+i%5, i), Address: fmt.Sprintf("10.%d.0.%d:8641", i%5, i), PeerAddress: fmt.Sprintf("10.%d.0.%d:7630", i%5, i),
		AvailabilityZone: fmt.Sprintf("centro-%c", 'a'+i%5), Synchronised: synchronised, Incarnation: uint64(i) << 40, Revision: 1,
	}
}

// simulatedMember is a control member's copy of the leader's list, or an entry's.
type simulatedMember struct {
	table *table
}

func (m *simulatedMember) pull(from *table) *listChanges {
	c := from.changesSince(m.table.currentVersion())
	if c.version != m.table.currentVersion() {
		m.table.apply(c)
	}
	return c
}

func (m *simulatedMember) checkEqual(t *testing.T, leader *table) {
	t.Helper()
	want, got := leader.usable(), m.table.usable()
	if len(want) != len(got) {
		t.Fatalf("%d entries are usable, want %d", len(got), len(want))
	}
	for i := range want {
		if !proto.Equal(want[i], got[i]) {
			t.Fatalf("entry %d is %v, want %v", i, got[i], want[i])
		}
	}
}

// When all of several hundred entries start at once, each is told of each other one. What they are told must stay well under the full
// list per change, which would fill their links for seconds.
func TestSimultaneousStartSendsEachEntryOnce(t *testing.T) {
	const entries, batch = 449, 30
	now := time.Unix(1000, 0)
	leader := newTable(func() time.Time { return now }, 2*time.Second)
	leader.renewAll()
	copyOf := &simulatedMember{newTable(func() time.Time { return now }, 2*time.Second)}
	copyOf.pull(leader)
	sent := 0
	for i := range entries {
		leader.renew(testEntry(i, false))
		if i%batch == batch-1 {
			sent += len(copyOf.pull(leader).members)
		}
	}
	for i := range entries {
		leader.renew(testEntry(i, true))
		if i%batch == batch-1 {
			sent += len(copyOf.pull(leader).members)
		}
	}
	sent += len(copyOf.pull(leader).members)
	if sent > 2*entries {
		t.Errorf("%d members were sent for %d entries that each changed twice", sent, entries)
	}
	copyOf.checkEqual(t, leader)
}

// A copy of the list must equal the leader's after any sequence of changes, also when the copy is far behind, comes from a member that
// lags, or the leader changes.
func TestCopiesFollowTheLeader(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	const lease = 2 * time.Second
	change := func(leader *table, step int) {
		for i := range 40 {
			if (i+step)%7 != 0 {
				leader.renew(testEntry(i, (i+step)%3 == 0))
			}
		}
		now = now.Add(lease * 2 / 5)
		leader.expire()
	}
	tests := map[string]func(t *testing.T, leader *table, m *simulatedMember) *table{
		"behind by many changes": func(_ *testing.T, leader *table, _ *simulatedMember) *table {
			for i := range 50 {
				change(leader, i)
			}
			return leader
		},
		"from a member that lags": func(t *testing.T, leader *table, m *simulatedMember) *table {
			lagging := &simulatedMember{newTable(clock, lease)}
			lagging.pull(leader)
			change(leader, 1)
			m.pull(leader)
			if c := m.pull(lagging.table); len(c.members)+len(c.gone) > 0 || c.full {
				t.Errorf("a lagging member sent %d members and %d departures", len(c.members), len(c.gone))
			}
			m.checkEqual(t, leader)
			change(leader, 2)
			lagging.pull(leader)
			m.pull(lagging.table)
			return leader
		},
		"more departures than are kept": func(_ *testing.T, leader *table, _ *simulatedMember) *table {
			for i := range 2 * maxGone {
				leader.renew(testEntry(1000+i, true))
			}
			now = now.Add(2 * lease)
			leader.expire()
			change(leader, 3)
			return leader
		},
		"a new leader": func(_ *testing.T, leader *table, m *simulatedMember) *table {
			next := &simulatedMember{newTable(clock, lease)}
			next.pull(leader)
			change(leader, 4)
			m.pull(leader)
			next.table.renewAll()
			change(next.table, 5)
			return next.table
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			leader := newTable(clock, lease)
			leader.renewAll()
			change(leader, 0)
			m := &simulatedMember{newTable(clock, lease)}
			m.pull(leader)
			m.checkEqual(t, leader)
			leader = test(t, leader, m)
			m.pull(leader)
			m.checkEqual(t, leader)
		})
	}
}

// A leader that has started without a list lists few entries at first. Until a full lease has passed its list must be marked as
// partial, or callers would be directed to these few.
func TestListOfARestartedLeaderIsPartialForALease(t *testing.T) {
	now := time.Unix(1000, 0)
	leader := newTable(func() time.Time { return now }, 2*time.Second)
	leader.renewAll()
	for i, want := range []bool{true, true, false} {
		leader.renew(testEntry(1, true))
		leader.expire()
		if c := leader.changesSince(0); c.partial != want {
			t.Errorf("after %d s partial is %t, want %t", i, c.partial, want)
		}
		now = now.Add(time.Second)
	}
	follower := &simulatedMember{newTable(func() time.Time { return now }, 2*time.Second)}
	follower.pull(leader)
	follower.table.renewAll()
	if c := follower.table.changesSince(0); c.partial {
		t.Error("the list of a new leader that holds the former leader's list is partial")
	}
}

// While hundreds of entries start, each asks for the full list, which changes all the time. It must not be compressed for each of them, and
// what the compressed list lacks must follow.
func TestFullListIsCompressedRarely(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	d := &Deliverer{
		cfg:   Config{Log: zerolog.Nop(), Now: clock, Status: func() Status { return Status{} }},
		table: newTable(clock, time.Minute),
	}
	for i := range minCompressedEntries {
		d.table.renew(testEntry(i, true))
	}
	const entries, interval = 449, 2 * time.Millisecond
	lists := make(map[*byte]bool)
	for i := minCompressedEntries; i < entries; i++ {
		d.table.renew(testEntry(i, true))
		now = now.Add(interval)
		reply := &delivererpb.WatchReply{}
		d.addLists(reply, &delivererpb.WatchRequest{AcceptsDeltas: true})
		if len(reply.EntriesPacked) == 0 {
			t.Fatal("the list isn't compressed")
		}
		lists[&reply.EntriesPacked[0]] = true
		rest := &delivererpb.WatchReply{}
		d.addLists(rest, &delivererpb.WatchRequest{AcceptsDeltas: true, EntriesVersion: reply.EntriesVersion})
		packed := unpackEntries(t, reply.EntriesPacked)
		if !rest.EntriesDelta || len(packed)+len(rest.Entries) != i+1 {
			t.Fatalf("the list has %d entries and the changes %d, want %d together", len(packed), len(rest.Entries), i+1)
		}
	}
	if most := int(entries*interval/fullListMaxAge) + 1; len(lists) > most {
		t.Errorf("%d lists were compressed, want at most %d", len(lists), most)
	}
	old := &delivererpb.WatchReply{}
	d.addLists(old, &delivererpb.WatchRequest{})
	if len(old.Entries) != entries || len(old.EntriesPacked) > 0 {
		t.Error("an entry that accepts no changes did not get the whole list")
	}
}

func unpackEntries(t *testing.T, packed []byte) []*delivererpb.EntryMember {
	t.Helper()
	text, err := differ.Decode(nil, packed)
	if err != nil {
		t.Fatal(err)
	}
	list := &delivererpb.EntryMembers{}
	if err = proto.Unmarshal(text, list); err != nil {
		t.Fatal(err)
	}
	return list.Entries
}
