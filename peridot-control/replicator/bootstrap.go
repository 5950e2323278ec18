package replicator

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotswitch.example/peridot-control/recorder"
	"peridotswitch.example/peridot-control/replicatorpb"
)

// isInitialMember reports whether m is the configured initial member. A configuration that lists only addresses leaves the instance id
// of initial empty.
func isInitialMember(initial, m *replicatorpb.Member) bool {
	if initial.InstanceId == "" {
		return initial.Address == m.Address
	}
	return initial.InstanceId == m.InstanceId
}

// bootstrapRule decides whether a process creates a new cluster. It is separate from the network for the model check.
type bootstrapRule struct {
	initial []*replicatorpb.Member
	self    *replicatorpb.Member
	// spare is set on a process that isn't started for the first time together with the others.
	spare bool
	// majorityAfter is Config.BootstrapMajorityAfter.
	majorityAfter time.Duration
}

// membership returns the members of the new cluster, or nil while this process must not create it. replies are from the other processes,
// none of which is in a cluster, and waited is the time since this process started.
//
// The first initial member creates the cluster once all others have replied. With majorityAfter, the initial member with index i creates it
// after i+1 times as long, once a majority has replied and none before it in the list has. All initial members are voters then, the missing
// ones under ids that no process has. Two processes that both do so have the same number of voters and at most one real id for each
// initial member, so that their majorities share a real one: it votes once in a term, and for no log that lacks a committed entry.
func (b *bootstrapRule) membership(replies []*replicatorpb.IntroduceReply, waited time.Duration) *replicatorpb.Membership {
	index := slices.IndexFunc(b.initial, func(m *replicatorpb.Member) bool { return isInitialMember(m, b.self) })
	if b.spare || index < 0 {
		return nil
	}
	membership, present := &replicatorpb.Membership{}, 0
	for i, initial := range b.initial {
		m := b.self
		if i != index {
			m = firstStarted(initial, replies)
		}
		switch {
		case m == nil:
			m = &replicatorpb.Member{
				Id: missingID(initial.Address), InstanceId: cmp.Or(initial.InstanceId, initial.Address),
				Address: initial.Address, AvailabilityZone: initial.AvailabilityZone,
			}
		case i < index:
			return nil
		default:
			present++
		}
		m = proto.Clone(m).(*replicatorpb.Member)
		m.Voter = true
		membership.Members = append(membership.Members, m)
	}
	all := index == 0 && present == len(b.initial)
	majority := b.majorityAfter > 0 && 2*present > len(b.initial) && waited >= time.Duration(index+1)*b.majorityAfter
	if !all && !majority {
		return nil
	}
	return membership
}

// firstStarted returns the process at an initial member if it has replied that it has no state and is started for the first time, or nil. One
// that has lost its data directory has no state either, and must not count.
func firstStarted(initial *replicatorpb.Member, replies []*replicatorpb.IntroduceReply) *replicatorpb.Member {
	for _, p := range replies {
		if isInitialMember(initial, p.Member) && p.Member.Voter && !p.Formed {
			return p.Member
		}
	}
	return nil
}

// missingID returns the id of an initial member that has not replied, the same on all processes.
func missingID(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address))
	return max(1, h.Sum64())
}

// bootstrap creates a new cluster if the rule allows it.
func (r *Replicator) bootstrap(self *replicatorpb.Member, replies []*replicatorpb.IntroduceReply, waited time.Duration) {
	rule := &bootstrapRule{r.cfg.InitialMembers, self, r.isSpare(), r.cfg.BootstrapMajorityAfter}
	membership := rule.membership(replies, waited)
	if membership == nil {
		return
	}
	err := r.runOnLoop(r.ctx, func() {
		if len(r.core.log.membership().Members) > 0 || r.core.id != self.Id {
			return
		}
		s := &replicatorpb.Snapshot{Index: 1, Term: 1, Membership: membership, State: r.cfg.Snapshot()}
		base := &replicatorpb.Position{Index: 1, Term: 1}
		vote := &replicatorpb.Vote{Term: max(1, r.core.vote.Term), For: r.core.vote.For}
		err := r.cfg.Recorder.Compact(s, vote, base, nil)
		if err == nil {
			err = r.reset(&recorder.State{ID: self.Id, Vote: vote, Snapshot: s, Base: base})
		}
		r.setFailure(err)
	})
	if err == nil {
		r.cfg.Log.Info().Int("members", len(membership.Members)).Msg("cluster founded")
	}
}
