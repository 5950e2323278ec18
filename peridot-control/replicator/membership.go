package replicator

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/peridot-control/replicatorpb"
)

// ErrMembershipChangePending is returned for a membership change while an earlier one is uncommitted, or before the leader has
// committed an entry of its own term.
var ErrMembershipChangePending = errors.New("another change of membership is in progress")

// AddLearner adds a non-voting member that replicates the log.
func (r *Replicator) AddLearner(ctx context.Context, m *replicatorpb.Member) error {
	return r.changeMembership(ctx, func(old []*replicatorpb.Member) ([]*replicatorpb.Member, error) {
		for _, o := range old {
			if o.Id == m.Id {
				return nil, errors.Errorf("%s is a member already", m.InstanceId)
			}
		}
		learner := proto.Clone(m).(*replicatorpb.Member)
		learner.Voter = false
		return append(old, learner), nil
	})
}

// Promote makes a learner a voter; the caller ensures that it has caught up.
func (r *Replicator) Promote(ctx context.Context, id uint64) error {
	return r.changeMembership(ctx, func(old []*replicatorpb.Member) ([]*replicatorpb.Member, error) {
		for _, m := range old {
			if m.Id == id {
				m.Voter = true
				return old, nil
			}
		}
		return nil, errors.Errorf("no member %016x", id)
	})
}

// Remove removes a member. To remove the leader, transfer its leadership first.
func (r *Replicator) Remove(ctx context.Context, id uint64) error {
	return r.changeMembership(ctx, func(old []*replicatorpb.Member) (rest []*replicatorpb.Member, err error) {
		voters := 0
		for _, m := range old {
			if m.Id == id {
				continue
			}
			rest = append(rest, m)
			if m.Voter {
				voters++
			}
		}
		if len(rest) == len(old) || voters == 0 {
			return nil, errors.Errorf("can't remove member %016x of %d", id, len(old))
		}
		return rest, nil
	})
}

// changeMembership proposes the membership that edit returns, which differs from the old one by one member, and waits until it is
// committed.
func (r *Replicator) changeMembership(ctx context.Context, edit func([]*replicatorpb.Member) ([]*replicatorpb.Member, error)) (err error) {
	defer func() { err = errors.WithMessage(err, "change membership") }()
	_, err = r.propose(ctx, func() (*replicatorpb.Position, error) { return r.core.proposeMembership(edit) })
	return err
}

func (c *core) proposeMembership(edit func([]*replicatorpb.Member) ([]*replicatorpb.Member, error)) (*replicatorpb.Position, error) {
	if c.role != leader {
		return nil, errNotLeader
	}
	// Without an entry committed in this term, an uncommitted membership change of an earlier leader could still be committed besides
	// this one, and the two could have disjoint majorities.
	if !c.log.membershipCommitted() || c.log.term(c.log.commit) != c.vote.Term {
		return nil, ErrMembershipChangePending
	}
	old := proto.Clone(c.log.membership()).(*replicatorpb.Membership)
	members, err := edit(old.Members)
	if err != nil {
		return nil, err
	}
	data, err := proto.Marshal(&replicatorpb.Membership{Members: members})
	if err != nil {
		return nil, err
	}
	return c.propose(replicatorpb.EntryKind_MEMBERSHIP, data)
}
