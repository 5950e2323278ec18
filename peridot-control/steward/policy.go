package steward

import (
	"context"
	"fmt"
	"time"

	"peridotswitch.example/peridot-control/replicator"
	"peridotswitch.example/peridot-control/replicatorpb"
)

// settleIntervals is the number of ReplaceAfter intervals after which a higher number of voters becomes the target. Successors of members that are
// removed as planned arrive before those leave, and raise the number in the meantime.
const settleIntervals = 2

// voterCount is a number of voters, with the time until which it has been seen.
type voterCount struct {
	voters int
	until  time.Time
}

// record notes the present number of voters. All members do, so that a new leader knows the recent numbers.
func (s *Steward) record(st *replicator.Status) {
	voters, now := countVoters(st), s.now()
	if voters == 0 {
		return
	}
	for len(s.history) > 0 && now.Sub(s.history[0].until) > settleIntervals*s.cfg.ReplaceAfter {
		s.history = s.history[1:]
	}
	if n := len(s.history); n > 0 && s.history[n-1].voters == voters {
		s.history[n-1].until = now
		return
	}
	s.history = append(s.history, voterCount{voters, now})
}

// target returns the number of voters below which none is removed without a replacement: the lowest of the recent numbers. An even number bears
// no more losses than the odd number below it and counts as that.
func (s *Steward) target(st *replicator.Status) int {
	odd := func(n int) int { return n - 1 + n%2 }
	target := odd(countVoters(st))
	for _, h := range s.history {
		target = min(target, odd(h.voters))
	}
	return target
}

// nextChange returns the next membership change to make, or nil. A lost voter is removed while the number of voters is above the target;
// otherwise a learner first gets its vote. The number grows by two, and only while all voters respond, so that it isn't raised by the
// successors of lost ones.
func (s *Steward) nextChange(st *replicator.Status) *membershipChange {
	spares, voters := s.cfg.Spares(), countVoters(st)
	for i := range st.Members {
		if l := &st.Members[i]; !l.Member.Voter && (s.hasFailed(l) || s.isSuperseded(st, i, spares) || s.isLeaving(l)) {
			return s.remove(l, "removing learner ")
		}
	}
	lost, aboveTarget := s.lostVoter(st, spares), voters > s.target(st)
	if lost != nil && aboveTarget && s.majorityRemains(st, lost) {
		return s.remove(lost, "removing ")
	}
	learners := s.readyLearners(st)
	if lost != nil && !aboveTarget && len(learners) > 0 {
		return s.promote(chooseSpare(learners, lost.Member))
	}
	if lost == nil && s.mayGrow(st, voters, len(learners)) {
		return s.promote(learners[0])
	}
	mayAdd := len(st.Members) < s.cfg.MaxVoters || lost != nil && !aboveTarget && voters == len(st.Members)
	switch {
	case len(spares) == 0 || !mayAdd:
		return nil
	case lost != nil:
		return s.addLearner(chooseSpare(spares, lost.Member), " in place of "+lost.Member.InstanceId)
	}
	return s.addLearner(spares[0], "")
}

func (s *Steward) remove(m *replicator.MemberStatus, description string) *membershipChange {
	id := m.Member.Id
	return &membershipChange{description + m.Member.InstanceId, func(ctx context.Context) error { return s.cfg.Remove(ctx, id) }}
}

func (s *Steward) promote(m *replicatorpb.Member) *membershipChange {
	return &membershipChange{"giving the vote to " + m.InstanceId, func(ctx context.Context) error { return s.cfg.Promote(ctx, m.Id) }}
}

func (s *Steward) addLearner(m *replicatorpb.Member, reason string) *membershipChange {
	return &membershipChange{
		fmt.Sprintf("adding %s as a learner%s", m.InstanceId, reason),
		func(ctx context.Context) error { return s.cfg.AddLearner(ctx, m) },
	}
}

// HandsOver reports whether the leader is to take the vote of a member that stops: a learner stands by, or the number of voters is above the
// target. It must be called after Close.
func (s *Steward) HandsOver(st *replicator.Status) bool {
	voters := countVoters(st)
	return voters < len(st.Members) || voters > s.target(st)
}

// lostVoter returns the voter to remove or replace first, or nil: one whose data directory is lost before one that stops, and before the one
// that has been unresponsive for longest. The leader is never lost. A voter that stops isn't lost until all others have responded after its
// announcement: it may be started again, and the learner that would get its vote may be the successor of one that doesn't respond.
func (s *Steward) lostVoter(st *replicator.Status, spares []*replicatorpb.Member) (lost *replicator.MemberStatus) {
	lostRank := 0
	for i := range st.Members {
		m := &st.Members[i]
		rank := 0
		switch {
		case !m.Member.Voter || m.Member.Id == st.Self.GetId():
		case s.isSuperseded(st, i, spares):
			rank = 3
		case s.isLeaving(m) && s.othersRespondedSince(st, m):
			rank = 2
		case s.hasFailed(m), s.isUnresponsive(m) && s.hasSuccessor(st, m), s.isAwaited(st, m):
			rank = 1
		}
		if rank > lostRank || rank > 0 && rank == lostRank && m.SinceLastAck > lost.SinceLastAck {
			lost, lostRank = m, rank
		}
	}
	return lost
}

// hasFailed reports whether a member has acknowledged nothing for longer than ReplaceAfter.
func (s *Steward) hasFailed(m *replicator.MemberStatus) bool {
	return m.SinceLastAck > s.cfg.ReplaceAfter
}

// isUnresponsive reports whether a member has acknowledged nothing for longer than a short outage.
func (s *Steward) isUnresponsive(m *replicator.MemberStatus) bool {
	return m.SinceLastAck > s.cfg.ReplaceAfter/4
}

// isSuperseded reports whether the process at the address of member i of st has another member id, because it has lost its data directory: it
// asks to join or has been added later.
func (s *Steward) isSuperseded(st *replicator.Status, i int, spares []*replicatorpb.Member) bool {
	m := st.Members[i].Member
	for _, sp := range spares {
		if sp.Address == m.Address && sp.Id != m.Id {
			return true
		}
	}
	for _, later := range st.Members[i+1:] {
		if later.Member.Address == m.Address {
			return true
		}
	}
	return false
}

func (s *Steward) isLeaving(m *replicator.MemberStatus) bool {
	_, ok := s.leaving(m)
	return ok
}

// leaving returns how long ago a member announced that it stops, if it has.
func (s *Steward) leaving(m *replicator.MemberStatus) (ago time.Duration, ok bool) {
	if s.cfg.Leaving == nil {
		return 0, false
	}
	return s.cfg.Leaving(m.Member.Id)
}

// othersRespondedSince reports whether all other voters have responded to a message that was sent after a voter announced that it stops. One
// that was lost just before the announcement has not, however recently it responded.
func (s *Steward) othersRespondedSince(st *replicator.Status, stopping *replicator.MemberStatus) bool {
	ago, _ := s.leaving(stopping)
	for i := range st.Members {
		if m := &st.Members[i]; m.Member.Voter && m.Member.Id != stopping.Member.Id && (!s.isPrompt(m) || !hasRespondedSince(m, ago)) {
			return false
		}
	}
	return true
}

// hasRespondedSince reports whether a member has acknowledged a message that was sent after an event some time ago.
func hasRespondedSince(m *replicator.MemberStatus, ago time.Duration) bool {
	return m.SinceLastAck+ackMargin < ago
}

// isAwaited reports whether a voter that doesn't respond keeps another one from stopping: it has to be replaced as long as the other one
// runs, since both together may leave no majority to do so. A learner must be ready, or the number of voters above the target.
func (s *Steward) isAwaited(st *replicator.Status, silent *replicator.MemberStatus) bool {
	if silent.SinceLastAck <= s.cfg.ReplaceAfter/promptShare {
		return false
	}
	if len(s.readyLearners(st)) == 0 && countVoters(st) <= s.target(st) {
		return false
	}
	for i := range st.Members {
		m := &st.Members[i]
		if ago, ok := s.leaving(m); ok && m.Member.Voter && m.Member.Id != silent.Member.Id && s.isPrompt(m) && !hasRespondedSince(silent, ago) {
			return true
		}
	}
	return false
}

// hasSuccessor reports whether an unresponsive voter is lost without waiting for ReplaceAfter: a learner is ready to get a vote in its place,
// or the number of voters is above the target and the voter has been away since before the latest change of the membership, by which
// another member got its vote. While both count, one more loss could leave too few voters for ever.
func (s *Steward) hasSuccessor(st *replicator.Status, m *replicator.MemberStatus) bool {
	voters, target := countVoters(st), s.target(st)
	return len(s.readyLearners(st)) > 0 || voters > target+1 || voters > target && m.Match < st.MembershipIndex
}

// readyLearners returns the learners that have responded just now and have caught up.
func (s *Steward) readyLearners(st *replicator.Status) (ready []*replicatorpb.Member) {
	for i := range st.Members {
		if m := &st.Members[i]; !m.Member.Voter && hasCaughtUp(st, m) && s.isPrompt(m) {
			ready = append(ready, m.Member)
		}
	}
	return ready
}

func hasCaughtUp(st *replicator.Status, m *replicator.MemberStatus) bool {
	return m.Match > 0 && m.Match+maxLearnerLag >= st.Commit
}

// isCatchingUp reports whether a learner that responds has yet to catch up.
func (s *Steward) isCatchingUp(st *replicator.Status) bool {
	for i := range st.Members {
		if m := &st.Members[i]; !m.Member.Voter && !hasCaughtUp(st, m) && !s.isUnresponsive(m) {
			return true
		}
	}
	return false
}

// ackMargin is more than the error of MemberStatus.SinceLastAck: a tick of the replicator's clock, and the age of the status.
const ackMargin = 100 * time.Millisecond

// promptShare is the share of ReplaceAfter within which a member must have acknowledged to count as running now. It is shorter than the time
// that a machine takes to be replaced by another one.
const promptShare = 16

// isPrompt reports whether a member has acknowledged something just now. At a new leader the time counts from the election, which says nothing
// about a member that has acknowledged nothing yet.
func (s *Steward) isPrompt(m *replicator.MemberStatus) bool {
	return m.Match > 0 && m.SinceLastAck <= s.cfg.ReplaceAfter/promptShare
}

// mayGrow reports whether a learner may get a vote beside all voters: the first of two, or the second one.
func (s *Steward) mayGrow(st *replicator.Status, voters, ready int) bool {
	missing := 1 + voters%2
	if ready < missing || voters+missing > s.cfg.MaxVoters {
		return false
	}
	return s.othersArePrompt(st, 0)
}

// othersArePrompt reports whether all voters but the one with the given id have acknowledged just now.
func (s *Steward) othersArePrompt(st *replicator.Status, id uint64) bool {
	for i := range st.Members {
		if m := &st.Members[i]; m.Member.Voter && m.Member.Id != id && !s.isPrompt(m) {
			return false
		}
	}
	return true
}

func countVoters(st *replicator.Status) (voters int) {
	for _, m := range st.Members {
		if m.Member.Voter {
			voters++
		}
	}
	return voters
}

// majorityRemains reports whether a majority of the voters that remain after the removal are responsive.
func (s *Steward) majorityRemains(st *replicator.Status, removed *replicator.MemberStatus) bool {
	voters, alive := 0, 0
	for i := range st.Members {
		m := &st.Members[i]
		if !m.Member.Voter || m.Member.Id == removed.Member.Id {
			continue
		}
		voters++
		if !s.isUnresponsive(m) {
			alive++
		}
	}
	return 2*alive > voters
}

// chooseSpare returns the spare to replace a failed member, or nil. It prefers one at the same address or with
// the same instance id, then one in the same availability zone.
func chooseSpare(spares []*replicatorpb.Member, failed *replicatorpb.Member) (best *replicatorpb.Member) {
	rank := func(m *replicatorpb.Member) int {
		switch {
		case m.Address == failed.Address || m.InstanceId == failed.InstanceId:
			return 2
		case m.AvailabilityZone == failed.AvailabilityZone:
			return 1
		}
		return 0
	}
	for _, m := range spares {
		if best == nil || rank(m) > rank(best) {
			best = m
		}
	}
	return best
}
