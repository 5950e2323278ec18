package steward

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotswitch.example/peridot-control/replicator"
	"peridotswitch.example/peridot-control/replicatorpb"
)

// Config configures a Steward; all fields but Leaving and MaxVoters are required.
type Config struct {
	Status func() *replicator.Status
	// Spares lists the processes that have asked to join.
	Spares func() []*replicatorpb.Member
	// Leaving returns how long ago a member announced that it stops, if it has; nil if members don't announce it.
	Leaving            func(id uint64) (ago time.Duration, ok bool)
	AddLearner         func(context.Context, *replicatorpb.Member) error
	Promote            func(ctx context.Context, id uint64) error
	Remove             func(ctx context.Context, id uint64) error
	TransferLeadership func(context.Context) error
	// ReplaceAfter is how long a member may acknowledge nothing before it is replaced.
	ReplaceAfter time.Duration
	// MaxVoters is the maximum number of voters. Below it, spares are added as learners without waiting for a failure, and learners get
	// votes in pairs. With 0, spares only replace failed members, so that the number of voters stays that of the initial members.
	MaxVoters int
	Log       zerolog.Logger
}

// Steward changes the membership while this member is the leader; on other members it only computes alarms.
type Steward struct {
	cfg Config
	// mu serializes membership changes.
	mu     sync.Mutex
	alarms atomic.Pointer[[]string]
	// now is time.Now, except in tests.
	now func() time.Time
	// history is what numbers of voters this process has seen, oldest first.
	history []voterCount
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

const (
	checkInterval = 250 * time.Millisecond
	// busyInterval is the check interval while the membership changes: at the first start of many members each needs two changes.
	busyInterval = 25 * time.Millisecond
	// recordInterval is how often the number of voters is noted. A number that is in force between two plans lasts for a few changes only.
	recordInterval = 50 * time.Millisecond
	changeTimeout  = 5 * time.Second
	// maxLearnerLag is the number of committed log entries that a learner may lack when it is promoted.
	maxLearnerLag = 16
)

// New starts a Steward; Close stops it.
func New(cfg Config) *Steward {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Steward{cfg: cfg, cancel: cancel, now: time.Now}
	s.alarms.Store(&[]string{})
	s.wg.Go(func() {
		interval, elapsed := checkInterval, time.Duration(0)
		for {
			wait := min(interval, recordInterval)
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
			st := cfg.Status()
			s.record(st)
			if elapsed += wait; elapsed < interval {
				continue
			}
			elapsed = 0
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

// runNextChange makes the next membership change and reports whether there was one, or a member to wait for: a learner, or a voter that stops.
func (s *Steward) runNextChange(ctx context.Context, st *replicator.Status) bool {
	next := s.nextChange(st)
	if next == nil {
		return s.isCatchingUp(st) || slices.ContainsFunc(st.Members, func(m replicator.MemberStatus) bool { return s.isLeaving(&m) })
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
	if unresponsive > 0 && len(s.cfg.Spares()) == 0 && voters == len(st.Members) {
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
