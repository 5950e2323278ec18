package replicator

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotswitch.example/peridot-control/recorder"
	"peridotswitch.example/peridot-control/replicatorpb"
)

// Config configures a Replicator. JoinAddresses, Spare, BootstrapMajorityAfter and Lease are optional, and InitialMembers may be empty.
type Config struct {
	Recorder *recorder.Recorder
	State    *recorder.State
	// Self describes this member; its id is taken from the data directory.
	Self *replicatorpb.Member
	// InitialMembers are the members that bootstrap a new cluster: the same list in the same order on all of them.
	InitialMembers []*replicatorpb.Member
	// JoinAddresses returns further addresses at which to ask to join while this process is in no cluster; nil for none.
	JoinAddresses func() []string
	// Spare keeps this process from bootstrapping a cluster.
	Spare bool
	// BootstrapMajorityAfter is how long the first initial member waits for the others to reply before a majority is enough to bootstrap a
	// cluster; the others wait longer, by their order. With 0, all must reply. It requires that a process that lost its data directory is
	// started with Spare: otherwise it could bootstrap a second cluster while the members of the first don't reply.
	BootstrapMajorityAfter time.Duration
	// DialAddress returns the address at which to dial a member.
	DialAddress func(*replicatorpb.Member) string
	Tick        time.Duration
	Heartbeat   time.Duration
	// Election is the election timeout. The actual timeout is random, between Election and twice that.
	Election time.Duration
	// Lease is the duration of the leader lease, within which reads need no read round. Zero means Election, which is also the upper
	// bound. A restarted member grants no votes for this long.
	Lease time.Duration
	// SnapshotEntries and SnapshotBytes are the log sizes at which a snapshot is taken and the log is compacted.
	SnapshotEntries uint64
	SnapshotBytes   int64
	// Apply applies a committed command to the state machine; Snapshot and Restore save and replace the state machine's state.
	Apply    func(command []byte) any
	Snapshot func() []byte
	Restore  func([]byte) error
	// OnFailure is called once when state can't be persisted or restored; the event loop has then stopped.
	OnFailure func(error)
	Log       zerolog.Logger
}

// Replicator runs one Raft member. An event loop owns its state and the core.
type Replicator struct {
	cfg       Config
	core      *core
	state     *recorder.State
	taskQueue chan *task
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	startTime time.Time
	senders   map[uint64]*sender
	// pendingProposals are the proposals whose callers wait for the result, by log index.
	pendingProposals map[uint64]*pendingProposal
	pendingReads     []*pendingRead
	// exchanges are the Exchange calls being answered in this iteration of the loop, by sender.
	exchanges map[uint64]*exchange
	applied   uint64
	// appliedChanged is closed and replaced when applied increases.
	appliedChanged chan struct{}
	discovery      discovery
	lastLeader     uint64
	failure        error
	status         atomic.Pointer[Status]
	// stopping is set once this member has announced that it stops, rejoining once it has been removed and has discarded its state: it then
	// has no state, but must not bootstrap a second cluster.
	stopping, rejoining atomic.Bool
}

// task is a function to run on the event loop; done is closed after its effects are durable.
type task struct {
	run  func()
	done chan struct{}
}

// pendingProposal is a proposal that waits to be applied. result is closed without a value when an entry of another term is committed
// at its index or this member no longer leads.
type pendingProposal struct {
	term   uint64
	result chan any
}

// exchange collects the replies to the messages of one Exchange call; only the event loop appends to it.
type exchange struct {
	replies []*replicatorpb.Message
}

const taskQueueSize = 1024

// ErrUnavailable is returned when this member can't serve the request now. The outcome of a proposal is then unknown.
var ErrUnavailable = errors.New("no leader confirmed by a majority of control members")

// New starts the member; Close stops it.
func New(cfg Config) (r *Replicator, err error) {
	r = &Replicator{
		cfg: cfg, state: cfg.State, taskQueue: make(chan *task, taskQueueSize), startTime: time.Now(),
		senders: make(map[uint64]*sender), pendingProposals: make(map[uint64]*pendingProposal), exchanges: make(map[uint64]*exchange),
		appliedChanged: make(chan struct{}),
	}
	if err = r.reset(cfg.State); err != nil {
		return nil, errors.WithMessage(err, "restore the snapshot")
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.publishStatus()
	r.wg.Go(r.loop)
	r.wg.Go(r.introduceLoop)
	return r, nil
}

// Close stops the event loop and waits for all goroutines to end.
func (r *Replicator) Close() {
	r.cancel()
	r.wg.Wait()
	for _, s := range r.senders {
		s.close()
	}
}

// reset replaces the core and the state machine with the persisted state st.
func (r *Replicator) reset(st *recorder.State) error {
	r.state = st
	r.core = newCore(coreConfig{
		electionTicks:  uint64(r.cfg.Election / r.cfg.Tick),
		heartbeatTicks: uint64(r.cfg.Heartbeat / r.cfg.Tick),
		leaseTicks:     uint64(r.cfg.Lease / r.cfg.Tick),
		rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, st)
	r.startTime = time.Now()
	r.applied = r.core.log.applying
	if st.Snapshot == nil {
		return nil
	}
	return r.cfg.Restore(st.Snapshot.State)
}

func (r *Replicator) loop() {
	ticker := time.NewTicker(r.cfg.Tick)
	defer ticker.Stop()
	for {
		var tasks []*task
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		case t := <-r.taskQueue:
			tasks = append(tasks, t)
		}
		// All queued tasks share one sync to disk.
		for more := true; more; {
			select {
			case t := <-r.taskQueue:
				tasks = append(tasks, t)
			default:
				more = false
			}
		}
		if err := r.runTasks(tasks); err != nil {
			r.cancel()
			r.cfg.OnFailure(err)
			return
		}
	}
}

// runTasks is one iteration of the event loop: it advances the logical clock, runs the tasks and persists their effects.
func (r *Replicator) runTasks(tasks []*task) error {
	// Ticks are derived from the monotonic clock, so that none are lost while the process is suspended.
	for due := uint64(time.Since(r.startTime) / r.cfg.Tick); r.core.now < due; {
		r.core.tick()
	}
	for _, t := range tasks {
		t.run()
	}
	if r.failure != nil {
		return r.failure
	}
	if err := r.flush(); err != nil {
		return err
	}
	r.resolvePendingReads()
	clear(r.exchanges)
	r.stopRemovedSenders()
	for _, t := range tasks {
		close(t.done)
	}
	r.publishStatus()
	return nil
}

// setFailure records the first error; a non-nil error ends the event loop with this iteration.
func (r *Replicator) setFailure(err error) {
	if r.failure == nil {
		r.failure = err
	}
}

func (r *Replicator) flush() error {
	rd := r.core.ready()
	// A leader may send entries before they are durable here: its own copy counts for the commit index only once it is stable.
	sendFirst := rd.isLeader && rd.vote == nil && rd.snapshot == nil
	if sendFirst {
		r.dispatch(rd.messages)
	}
	if err := r.persist(rd); err != nil {
		return err
	}
	r.core.advance(rd)
	if !sendFirst {
		r.dispatch(rd.messages)
	}
	r.apply()
	r.dispatch(r.core.ready().messages)
	return r.maybeCompact()
}

func (r *Replicator) persist(rd ready) error {
	if s := rd.snapshot; s != nil {
		if err := r.cfg.Restore(s.State); err != nil {
			return errors.WithMessage(err, "restore a snapshot from the leader")
		}
		r.applied = s.Index
		r.notifyApplied()
		return r.cfg.Recorder.Compact(s, r.core.vote, r.core.log.base, rd.entries)
	}
	if rd.vote == nil && len(rd.entries) == 0 {
		return nil
	}
	return r.cfg.Recorder.Save(rd.vote, rd.entries)
}

func (r *Replicator) apply() {
	for _, e := range r.core.nextCommitted() {
		var result any
		if e.Kind == replicatorpb.EntryKind_COMMAND {
			result = r.cfg.Apply(e.Data)
		}
		r.applied = e.Index
		if p := r.pendingProposals[e.Index]; p != nil {
			delete(r.pendingProposals, e.Index)
			if p.term == e.Term {
				p.result <- result
			}
			close(p.result)
		}
		r.notifyApplied()
	}
	if r.core.role != leader {
		for i, p := range r.pendingProposals {
			close(p.result)
			delete(r.pendingProposals, i)
		}
	}
}

func (r *Replicator) notifyApplied() {
	close(r.appliedChanged)
	r.appliedChanged = make(chan struct{})
}

// trailingEntries is the number of entries before a snapshot that stay in the log, so that slow followers can catch up without the
// snapshot.
const trailingEntries = 64

func (r *Replicator) maybeCompact() error {
	l := &r.core.log
	if r.applied-l.snapshot.Index < r.cfg.SnapshotEntries &&
		(r.cfg.Recorder.Size() < r.cfg.SnapshotBytes || r.applied-l.snapshot.Index <= trailingEntries) {
		return nil
	}
	s := &replicatorpb.Snapshot{
		Index: r.applied, Term: l.term(r.applied), Membership: l.membershipAsOf(r.applied), State: r.cfg.Snapshot(),
	}
	l.compact(s, trailingEntries)
	return r.cfg.Recorder.Compact(s, r.core.vote, l.base, l.entries[:l.stable-l.base.Index])
}

// runOnLoop runs f on the event loop and waits until its effects are durable.
func (r *Replicator) runOnLoop(ctx context.Context, f func()) error {
	t := &task{run: f, done: make(chan struct{})}
	select {
	case r.taskQueue <- t:
	case <-r.ctx.Done():
		return ErrUnavailable
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-t.done:
		return nil
	case <-r.ctx.Done():
		return ErrUnavailable
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Propose appends a command to the log, waits until it is committed and applied here, and returns the result of Config.Apply. It
// fails on a member that is not the leader.
func (r *Replicator) Propose(ctx context.Context, command []byte) (result any, err error) {
	defer func() { err = errors.WithMessage(err, "propose") }()
	return r.propose(ctx, func() (*replicatorpb.Position, error) {
		return r.core.propose(replicatorpb.EntryKind_COMMAND, command)
	})
}

func (r *Replicator) propose(ctx context.Context, appendEntry func() (*replicatorpb.Position, error)) (any, error) {
	var appendErr error
	p := &pendingProposal{result: make(chan any, 1)}
	err := r.runOnLoop(ctx, func() {
		pos, err := appendEntry()
		if err != nil {
			appendErr = err
			return
		}
		p.term = pos.Term
		r.pendingProposals[pos.Index] = p
	})
	if err != nil {
		return nil, err
	}
	if appendErr != nil {
		return nil, appendErr
	}
	select {
	case result, ok := <-p.result:
		if !ok {
			return nil, ErrUnavailable
		}
		return result, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.ctx.Done():
		return nil, ErrUnavailable
	}
}

// WaitApplied waits until the entries up to index have been applied on this member.
func (r *Replicator) WaitApplied(ctx context.Context, index uint64) error {
	for {
		var applied uint64
		var changed chan struct{}
		if err := r.runOnLoop(ctx, func() { applied, changed = r.applied, r.appliedChanged }); err != nil {
			return err
		}
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-r.ctx.Done():
			return ErrUnavailable
		}
	}
}

// TransferLeadership transfers leadership to another member and waits until this one no longer leads. It returns at once on a member that
// doesn't lead or is the only member. When no other member can take over, it fails when ctx ends.
func (r *Replicator) TransferLeadership(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "hand over leadership") }()
	for {
		isLeader, onlyMember := false, false
		if err = r.runOnLoop(ctx, func() {
			isLeader, onlyMember = r.core.role == leader, len(r.core.log.membership().Members) < 2
			if isLeader && !onlyMember {
				r.core.transferLeadership(r.isLeaving)
			}
		}); err != nil || !isLeader || onlyMember {
			return err
		}
		select {
		case <-time.After(r.cfg.Tick / 2):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
