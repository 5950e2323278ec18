package replicator

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peridotswitch.example/peridot-control/recorder"
	"peridotswitch.example/peridot-control/replicatorpb"
)

// Guards against members that stop at the same moment and hand the leadership to each other: the last one ends as the leader, with its vote.
func TestLeadershipGoesToAMemberThatStays(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 5)
		id := c.electLeader()
		c.runTicks(10)
		var stays uint64
		for _, other := range c.ids {
			if other != id {
				stays = other
			}
		}
		c.nodes[id].core.transferLeadership(func(id uint64) bool { return id != stays })
		if got := c.nodes[id].core.transferee; got != stays {
			t.Errorf("seed %d: the leadership goes to member %d, want %d, the only one that doesn't stop", seed, got, stays)
		}
		id = c.electLeader()
		c.runTicks(10)
		c.nodes[id].core.transferLeadership(func(uint64) bool { return true })
		if c.nodes[id].core.transferee == 0 {
			t.Errorf("seed %d: the leadership is kept although all others, which stop too, respond", seed)
		}
	}
}

// newReplicators starts a cluster of n members on loopback.
func newReplicators(t *testing.T, n int) []*Replicator {
	t.Helper()
	members := make([]*replicatorpb.Member, n)
	servers := make([]*httptest.Server, n)
	for i := range members {
		servers[i] = httptest.NewUnstartedServer(nil)
		members[i] = &replicatorpb.Member{InstanceId: fmt.Sprintf("member-%d", i), Address: servers[i].Listener.Addr().String()}
	}
	replicators := make([]*Replicator, n)
	for i := range replicators {
		id := uint64(i + 1)
		rec, state, err := recorder.Open(recorder.Config{Dir: t.TempDir(), NewID: func() uint64 { return id }})
		if err != nil {
			t.Fatal(err)
		}
		replicators[i], err = New(Config{
			Recorder: rec, State: state, Self: members[i], InitialMembers: members,
			DialAddress: func(m *replicatorpb.Member) string { return m.Address },
			Tick:        5 * time.Millisecond, Heartbeat: 20 * time.Millisecond, Election: 200 * time.Millisecond,
			SnapshotEntries: 1000, SnapshotBytes: 1 << 20,
			Apply: func([]byte) any { return nil }, Snapshot: func() []byte { return nil }, Restore: func([]byte) error { return nil },
			OnFailure: func(err error) { t.Error(err) }, Log: zerolog.Nop(),
		})
		if err != nil {
			t.Fatal(err)
		}
		servers[i].Config.Handler = replicatorpb.NewReplicatorServer(replicators[i])
		servers[i].Start()
		t.Cleanup(func() {
			replicators[i].Close()
			servers[i].Close()
			_ = rec.Close()
		})
	}
	return replicators
}

// awaitLeader returns the leader once all members follow the same one.
func awaitLeader(t *testing.T, replicators []*Replicator) (leader *Replicator) {
	t.Helper()
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(5 * time.Millisecond) {
		known := 0
		for _, r := range replicators {
			st := r.Status()
			if st.IsLeader {
				leader = r
			}
			if st.Leader != nil {
				known++
			}
		}
		if leader != nil && leader.Status().IsLeader && known == len(replicators) {
			return leader
		}
	}
	t.Fatal("no leader within 20 s")
	return nil
}

// Guards against a member that becomes the leader while it stops, and ends as the leader although another member stays.
func TestMemberThatStopsHandsOnTheLeadership(t *testing.T) {
	replicators := newReplicators(t, 3)
	leader := awaitLeader(t, replicators)
	var stops *Replicator
	for _, r := range replicators {
		if r != leader {
			stops = r
		}
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		stops.Leave(context.Background(), func(*Status) bool { return true })
	}()
	stopsID := stops.Status().Self.Id
	for begin := time.Now(); !stops.Status().IsLeader; time.Sleep(time.Millisecond) {
		if time.Since(begin) > leaveTimeout/2 {
			t.Fatal("the member that stops has not become the leader")
		}
		if err := leader.runOnLoop(context.Background(), func() {
			leader.core.transferLeadership(func(id uint64) bool { return id != stopsID })
		}); err != nil {
			t.Fatal(err)
		}
	}
	<-left
	if stops.Status().IsLeader {
		t.Error("the member that stops is the leader at its end")
	}
}
