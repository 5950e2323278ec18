package steward

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotswitch.example/peridot-control/replicator"
	"peridotswitch.example/peridot-control/replicatorpb"
)

// Config configures a Steward; all fields but MaxVoters are required.
type Config struct {
	Status func() *replicator.Status
	// Spares lists the processes that have asked to join.
	Spares             func() []*replicatorpb.Member
	AddLearner         func(context.Context, *replicatorpb.Member) error
	Promote            func(ctx context.Context, id uint64) error
	Remove             func(ctx context.Context, id uint64) error
	TransferLeadership func(context.Context) error
	// ReplaceAfter is how long a member may acknowledge nothing before it is replaced.
	ReplaceAfter time.Duration
	// MaxVoters is the maximum number of voters; spares are added up to it. With 0, spares only replace failed members, so that the
	// number of voters stays that of the initial members.
	MaxVoters int
	Log       zerolog.Logger
}

// Steward changes the membership while this member is the leader; on other members it only computes alarms.
type Steward struct {
	cfg Config
	// mu serializes membership changes.
	mu     sync.Mutex
	alarms atomic.Pointer[[]string]
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

const (
	checkInterval = 250 * time.Millisecond
	// busyInterval is the check interval while the membership changes: at the first start of many members each needs two changes.
	busyInterval  = 25 * time.Millisecond
	changeTimeout = 5 * time.Second
	// maxLearnerLag is the number of committed log entries that a learner may lack when it is promoted.
	maxLearnerLag = 16
)

// New starts a Steward; Close stops it.
func New(cfg Config) *Steward {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Steward{cfg: cfg, cancel: cancel}
	s.alarms.Store(&[]string{})
	s.wg.Go(func() {
		interval := checkInterval
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(interval):
			}
			st := cfg.Status()
			alarms := s.currentAlarms(st)
			s.alarms.Store(&alarms)
			interval = checkInterval
			if st.IsLeader && (!st.MembershipCommitted || s.runNextChange(ctx, st)) {
				interval = busyInterval
			}
		}
	})
	return s
}

// Close stops the Steward and waits for a change in progress to end.
func (s *Steward) Close() {
	s.cancel()
	s.wg.Wait()
}

// Alarms returns the conditions that need an operator's attention.
func (s *Steward) Alarms() []string { return *s.alarms.Load() }

// membershipChange is one change of the membership with the log message that describes it.
type membershipChange struct {
	description string
	run         func(context.Context) error
}

// runNextChange makes the next membership change and reports whether there was one, or a learner to wait for.
func (s *Steward) runNextChange(ctx context.Context, st *replicator.Status) bool {
	next := s.nextChange(st)
	if next == nil {
		return countVoters(st) < len(st.Members)
	}
	if !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := next.run(ctx)
	s.cfg.Log.Info().Err(err).Msg(next.description)
	return err == nil
}

// nextChange returns the next membership change to make, or nil. A replacement is first added as a learner and promoted once it has
// caught up; only then is the failed member removed.
func (s *Steward) nextChange(st *replicator.Status) *membershipChange {
	var failed, learner *replicator.MemberStatus
	spares := s.cfg.Spares()
	for i := range st.Members {
		m := &st.Members[i]
		switch {
		case !m.Member.Voter:
			learner = m
		case (failed == nil || m.SinceLastAck > failed.SinceLastAck) && (s.hasFailed(m, spares) || s.hasSuccessor(st, m)):
			failed = m
		}
	}
	switch {
	case learner != nil:
		return s.nextForLearner(st, learner, spares)
	case failed == nil:
		return s.nextForSpare(st, spares)
	case s.mayRemoveVoter(st, failed) && s.majorityRemains(st, failed):
		id := failed.Member.Id
		return &membershipChange{"removing " + failed.Member.InstanceId, func(ctx context.Context) error { return s.cfg.Remove(ctx, id) }}
	}
	spare := chooseSpare(spares, failed.Member)
	if spare == nil {
		return nil
	}
	return &membershipChange{
		fmt.Sprintf("adding %s as a learner in place of %s", spare.InstanceId, failed.Member.InstanceId),
		func(ctx context.Context) error { return s.cfg.AddLearner(ctx, spare) },
	}
}

// nextForSpare returns the change that adds a spare that replaces no member, or nil if there is no spare or the number of voters has
// reached the maximum.
func (s *Steward) nextForSpare(st *replicator.Status, spares []*replicatorpb.Member) *membershipChange {
	if len(spares) == 0 || countVoters(st) >= s.cfg.MaxVoters {
		return nil
	}
	spare := spares[0]
	return &membershipChange{
		fmt.Sprintf("adding %s as a learner", spare.InstanceId),
		func(ctx context.Context) error { return s.cfg.AddLearner(ctx, spare) },
	}
}

// nextForLearner returns the change that removes a failed learner or promotes one that has caught up, or nil.
func (s *Steward) nextForLearner(st *replicator.Status, l *replicator.MemberStatus, spares []*replicatorpb.Member) *membershipChange {
	id := l.Member.Id
	if s.hasFailed(l, spares) {
		return &membershipChange{"removing learner " + l.Member.InstanceId, func(ctx context.Context) error { return s.cfg.Remove(ctx, id) }}
	}
	if l.Match == 0 || l.Match+maxLearnerLag < st.Commit || s.isUnresponsive(l) {
		return nil
	}
	return &membershipChange{"giving the vote to " + l.Member.InstanceId, func(ctx context.Context) error { return s.cfg.Promote(ctx, id) }}
}

// hasFailed reports whether a member has acknowledged nothing for longer than ReplaceAfter, or has lost its data directory, so that a
// process with another member id asks to join from its address.
func (s *Steward) hasFailed(m *replicator.MemberStatus, spares []*replicatorpb.Member) bool {
	if m.SinceLastAck > s.cfg.ReplaceAfter {
		return true
	}
	for _, sp := range spares {
		if sp.Address == m.Member.Address && sp.Id != m.Member.Id {
			return true
		}
	}
	return false
}

// hasSuccessor reports whether a voter has been unresponsive since before the latest change of the membership, which made the number
// of voters even: another member has got a vote in the meantime and replaces it. While a majority counts both, one more lost data directory
// could leave too few voters for ever, so that removing this one doesn't wait for ReplaceAfter.
func (s *Steward) hasSuccessor(st *replicator.Status, m *replicator.MemberStatus) bool {
	return countVoters(st)%2 == 0 && m.Match < st.MembershipIndex && s.isUnresponsive(m)
}

// isUnresponsive reports whether a member has acknowledged nothing for longer than a short outage.
func (s *Steward) isUnresponsive(m *replicator.MemberStatus) bool {
	return m.SinceLastAck > s.cfg.ReplaceAfter/4
}

// mayRemoveVoter reports whether a failed voter may be removed now: either its replacement has become a voter, which makes the number
// of voters even, or MaxVoters is set, so that spares join without waiting for a voter to fail.
func (s *Steward) mayRemoveVoter(st *replicator.Status, _ *replicator.MemberStatus) bool {
	return s.cfg.MaxVoters > 0 || countVoters(st)%2 == 0
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
	for _, m := range st.Members {
		if !m.Member.Voter || m.Member.Id == removed.Member.Id {
			continue
		}
		voters++
		if m.SinceLastAck <= s.cfg.ReplaceAfter {
			alive++
		}
	}
	return 2*alive > voters
}

// chooseSpare returns the spare to replace a failed member, or nil. It prefers one with the same instance id, then one in the same
// availability zone.
func chooseSpare(spares []*replicatorpb.Member, failed *replicatorpb.Member) (best *replicatorpb.Member) {
	rank := func(m *replicatorpb.Member) int {
		switch {
		case m.InstanceId == failed.InstanceId:
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

func (s *Steward) currentAlarms(st *replicator.Status) (alarms []string) {
	switch {
	case len(st.Members) == 0:
		return []string{"this process is in no cluster yet"}
	case st.Leader == nil:
		return []string{"no leader is known here: fewer than half of the control members may be reachable"}
	case !st.IsLeader:
		return nil
	}
	voters, unresponsive := 0, 0
	for i := range st.Members {
		m := &st.Members[i]
		if !m.Member.Voter {
			continue
		}
		voters++
		if s.isUnresponsive(m) {
			unresponsive++
			alarms = append(alarms, fmt.Sprintf("control member %s has not answered for %v", m.Member.InstanceId, m.SinceLastAck.Round(time.Second)))
		}
	}
	if unresponsive > 0 && 2*(voters-unresponsive-1) <= voters {
		alarms = append(alarms, "the loss of one more control member stops changes")
	}
	if unresponsive > 0 && len(s.cfg.Spares()) == 0 {
		alarms = append(alarms, "no spare is available to replace a control member")
	}
	return alarms
}

var errNoSpare = errors.New("no such process offers to join; start it with the members' list first")

// Add adds the spare with the given instance id as a learner and promotes it once it has caught up.
func (s *Steward) Add(ctx context.Context, instanceID string) (err error) {
	defer func() { err = errors.WithMessagef(err, "add %s", instanceID) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.cfg.Spares() {
		if m.InstanceId == instanceID {
			if err = s.cfg.AddLearner(ctx, m); err != nil {
				return err
			}
			return s.promoteWhenCaughtUp(ctx, m.Id)
		}
	}
	return errNoSpare
}

func (s *Steward) promoteWhenCaughtUp(ctx context.Context, id uint64) error {
	for {
		st := s.cfg.Status()
		for _, m := range st.Members {
			if m.Member.Id == id && m.Match > 0 && m.Match+maxLearnerLag >= st.Commit {
				return s.cfg.Promote(ctx, id)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(checkInterval):
		}
	}
}

// Remove removes the member with the given instance id. If that is this member, it only transfers the leadership and returns an error,
// so that the caller repeats the request at the new leader.
func (s *Steward) Remove(ctx context.Context, instanceID string) (err error) {
	defer func() { err = errors.WithMessagef(err, "remove %s", instanceID) }()
	st := s.cfg.Status()
	for _, m := range st.Members {
		if m.Member.InstanceId != instanceID {
			continue
		}
		if m.Member.Id == st.Self.Id {
			if err = s.cfg.TransferLeadership(ctx); err != nil {
				return err
			}
			return errors.New("it led and has handed over; ask again")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.cfg.Remove(ctx, m.Member.Id)
	}
	return errors.New("no such member")
}
