package replicator

import (
	"time"

	"peridotswitch.example/peridot-control/replicatorpb"
)

// Status is a member's view of the log and the membership.
type Status struct {
	Term uint64
	// Leader is nil when none is known.
	Leader *replicatorpb.Member
	// IsLeader is set when this member is the leader.
	IsLeader bool
	// Commit, Applied and LastIndex are the commit index, the index applied here, and the last index of the log.
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	// MembershipIndex is the log index of the membership in force. MembershipCommitted is set when it is committed, so that another change
	// may be proposed.
	MembershipIndex     uint64
	MembershipCommitted bool
	// Members is empty on a process that has not joined a cluster yet.
	Members []MemberStatus
	Self    *replicatorpb.Member
}

// MemberStatus is the leader's view of one member. On other members Match and SinceLastAck are zero, except for the
// Match of the member itself.
type MemberStatus struct {
	Member *replicatorpb.Member
	// Match is the highest log index known to be replicated on the member.
	Match uint64
	// SinceLastAck is the time since the leader sent the newest message that the member has acknowledged.
	SinceLastAck time.Duration
}

// Status returns the status as of the event loop's last iteration.
func (r *Replicator) Status() *Status { return r.status.Load() }

// publishStatus updates the status at the end of an iteration of the event loop.
func (r *Replicator) publishStatus() {
	c := r.core
	st := &Status{
		Term: c.vote.Term, IsLeader: c.role == leader, Commit: c.log.commit, Applied: r.applied, LastIndex: c.log.lastIndex(),
		MembershipIndex: c.log.membershipIndex(), MembershipCommitted: c.log.membershipCommitted(), Self: r.self(),
	}
	for _, m := range c.log.membership().Members {
		ms := MemberStatus{Member: m}
		if p := c.progress[m.Id]; st.IsLeader && p != nil && m.Id != c.id {
			ms.Match, ms.SinceLastAck = p.match, time.Duration(c.now-p.ackedTick)*r.cfg.Tick
		} else if m.Id == c.id {
			ms.Match = c.log.stable
		}
		if m.Id == c.leaderID {
			st.Leader = m
		}
		st.Members = append(st.Members, ms)
	}
	r.status.Store(st)
	if c.leaderID != r.lastLeader {
		r.lastLeader = c.leaderID
		r.cfg.Log.Info().Uint64("term", c.vote.Term).Str("leader", st.leaderName()).Msg("leader changed")
	}
}

func (st *Status) leaderName() string {
	if st.Leader == nil {
		return ""
	}
	return st.Leader.InstanceId
}

func (r *Replicator) self() *replicatorpb.Member {
	m := r.cfg.Self
	return &replicatorpb.Member{Id: r.core.id, InstanceId: m.InstanceId, Address: m.Address, AvailabilityZone: m.AvailabilityZone}
}
