package replicator

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"peridotswitch.example/peridot-control/replicatorpb"
)

// TestEveryShortScheduleOfThreeMembers runs every sequence of elections, proposals, deliveries, losses and restarts up to a fixed
// length. At most one leader per term and one committed entry per index must hold whatever the clocks do. Clocks don't advance evenly
// here, so the lease isn't checked.
func TestEveryShortScheduleOfThreeMembers(t *testing.T) {
	const depth, actions = 6, 9
	schedules := 0
	var walk func(prefix []int)
	walk = func(prefix []int) {
		c := newCluster(t, 1, 3)
		c.skipLeaseCheck = true
		for _, a := range prefix {
			if !c.runAction(a) {
				return
			}
		}
		schedules++
		if len(prefix) == depth {
			return
		}
		for a := range actions {
			walk(append(prefix[:len(prefix):len(prefix)], a))
		}
	}
	// Member 1 campaigns first; schedules that start with another member are the same up to the numbering.
	walk([]int{0})
	t.Logf("%d schedules", schedules)
}

// runAction runs action a and reports whether it was possible: 0 to 2 let a member campaign, 3 to 5 let a leader propose or restart
// another member, 6 drops the oldest message, 7 delivers the oldest message and 8 the newest.
func (c *cluster) runAction(a int) bool {
	id := uint64(a%3 + 1)
	n := c.nodes[id]
	switch {
	case a < 3:
		if n.core.role == leader {
			return false
		}
		n.core.now += 20
		n.core.viaTransfer = true
		n.core.campaign(candidate)
		c.processReady(id)
	case a < 6:
		if n.core.role != leader {
			c.crash(id)
			return true
		}
		_, _ = n.core.propose(replicatorpb.EntryKind_COMMAND, []byte{byte(id)})
		c.processReady(id)
	case len(c.inFlight) == 0:
		return false
	case a == 6:
		c.inFlight = c.inFlight[1:]
	default:
		// The oldest message or the newest one.
		i := (a - 7) * (len(c.inFlight) - 1)
		m := c.inFlight[i]
		c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
		c.nodes[m.To].core.step(proto.Clone(m).(*replicatorpb.Message))
		c.processReady(m.To)
	}
	return true
}

// A new leader may not commit an entry of an earlier term by counting replicas, hold a lease, or change the membership before it has
// committed an entry of its own term (section 5.4.2 of the Raft paper).
func TestNewLeaderCommitsNothingBeforeItsOwnTerm(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.nodes[1].disk.Entries = []*replicatorpb.Entry{{Index: 2, Term: 1}}
	c.start(1)
	l := c.nodes[1].core
	l.campaign(candidate)
	l.advance(l.ready())
	l.step(&replicatorpb.Message{Kind: replicatorpb.MessageKind_VOTE_REPLY, From: 2, To: 1, Term: 2})
	if l.role != leader {
		t.Fatal("member 1 is not leader after a majority of votes")
	}
	l.advance(l.ready())
	edit := func(m []*replicatorpb.Member) ([]*replicatorpb.Member, error) { return m[:2], nil }
	ack := func(index uint64) {
		l.step(&replicatorpb.Message{Kind: replicatorpb.MessageKind_APPEND_REPLY, From: 2, To: 1, Term: 2, Index: index, Tick: l.now})
	}
	ack(2)
	if _, err := l.proposeMembership(edit); l.log.commit != 1 || l.hasLease() || !errors.Is(err, ErrMembershipChangePending) {
		t.Fatalf("before an entry of its own term is committed: commit index %d, lease %t, membership change: %v", l.log.commit, l.hasLease(), err)
	}
	ack(3)
	if _, err := l.proposeMembership(edit); l.log.commit != 3 || !l.hasLease() || err != nil {
		t.Fatalf("after an entry of its own term is committed: commit index %d, lease %t, membership change: %v", l.log.commit, l.hasLease(), err)
	}
	if _, err := l.proposeMembership(edit); !errors.Is(err, ErrMembershipChangePending) {
		t.Fatalf("second membership change while the first is uncommitted: got error %v", err)
	}
}
