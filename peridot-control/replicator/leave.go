package replicator

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotswitch.example/peridot-control/replicatorpb"
)

// leaveTimeout bounds Leave: the leader may first have to replace a voter that doesn't respond, which takes two membership changes, as handing
// over a vote does.
const (
	leaveTimeout  = 2 * time.Second
	leaveInterval = 25 * time.Millisecond
)

// Leave announces to the leader that this member stops, and waits for a while until the member has no vote any more. It returns at once if
// handsOver reports that the leader won't take the vote: the member then keeps it, since the process may be started again with its data
// directory. The leader must transfer its leadership first.
func (r *Replicator) Leave(ctx context.Context, handsOver func(*Status) bool) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	// A member that has been removed because it stops must not offer to join again.
	r.stopping.Store(true)
	for {
		st := r.Status()
		isVoter := slices.ContainsFunc(st.Members, func(m MemberStatus) bool { return m.Member.Voter && m.Member.Id == st.Self.Id })
		if !isVoter || !handsOver(st) || st.IsLeader && !r.hasLastingVoter(st) {
			return
		}
		if st.IsLeader {
			if err := r.TransferLeadership(ctx); err != nil {
				r.cfg.Log.Warn().Err(err).Msg("stopping without a successor")
				return
			}
			continue
		}
		if st.Leader != nil && !r.announceLeaving(ctx, st) {
			return
		}
		select {
		case <-ctx.Done():
			r.cfg.Log.Warn().Msg("stopping with a vote that was not taken over")
			return
		case <-time.After(leaveInterval):
		}
	}
}

// hasLastingVoter reports whether a voter beside this member has not announced that it stops.
func (r *Replicator) hasLastingVoter(st *Status) bool {
	return slices.ContainsFunc(st.Members, func(m MemberStatus) bool {
		return m.Member.Voter && m.Member.Id != st.Self.Id && !r.isLeaving(m.Member.Id)
	})
}

// announceLeaving tells the leader that this member stops and reports whether the member still has its vote.
func (r *Replicator) announceLeaving(ctx context.Context, st *Status) bool {
	client, closeIdle := newClient(r.cfg.DialAddress(st.Leader), introduceTimeout)
	defer closeIdle()
	self := proto.Clone(st.Self).(*replicatorpb.Member)
	self.Voter = true
	reply, err := client.Introduce(ctx, &replicatorpb.IntroduceRequest{Member: self})
	if err != nil {
		return true
	}
	for _, m := range reply.Membership.GetMembers() {
		if m.Id == self.Id {
			return m.Voter
		}
	}
	return false
}

// isLeavingRequest reports whether a request comes from a voter that stops: it no longer considers itself a member, but has a vote.
func isLeavingRequest(req *replicatorpb.IntroduceRequest) bool {
	return !req.Formed && req.Member.Voter
}

func (r *Replicator) isLeaving(id uint64) bool {
	_, ok := r.Leaving(id)
	return ok
}

// Leaving returns how long ago a member first announced that it stops. ok is false if it has not announced that recently.
func (r *Replicator) Leaving(id uint64) (ago time.Duration, ok bool) {
	r.discovery.mu.Lock()
	defer r.discovery.mu.Unlock()
	l, now := r.discovery.leaving[id], time.Now()
	return now.Sub(l.since), now.Before(l.expires)
}

func (d *discovery) addLeaving(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for old, l := range d.leaving {
		if now.After(l.expires) {
			delete(d.leaving, old)
		}
	}
	if d.leaving == nil {
		d.leaving = make(map[uint64]leaving)
	}
	l, repeated := d.leaving[id]
	if !repeated {
		l.since = now
	}
	l.expires = now.Add(spareTTL)
	d.leaving[id] = l
}
