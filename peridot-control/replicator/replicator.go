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

// Config configures a Replicator; every field is needed but Spare.
type Config struct {
	Recorder *recorder.Recorder
	State    *recorder.State
	// Self says where this member runs; its id is the folder's.
	Self *replicatorpb.Member
	// Founders are the members that start a new cluster, the same list in the same order on all of them.
	Founders []*replicatorpb.Member
	// Contacts lists further addresses to offer this process at while it is in no cluster; nil for none.
	Contacts func() []string
	// Spare keeps this process from starting a cluster.
	Spare bool
	// Reach returns the address to use for a member.
	Reach     func(*replicatorpb.Member) string
	Tick      time.Duration
	Heartbeat time.Duration
	// Election is how long a member hears from no leader before it stands for election, up to twice that long.
	Election time.Duration
	// Lease is how long an answer of a majority lets a leader confirm reads without asking again, at most Election, which zero
	// stands for. A member that has restarted gives no vote for as long.
	Lease time.Duration
	// SnapshotEntries and SnapshotBytes bound the log behind the newest snapshot.
	SnapshotEntries uint64
	SnapshotBytes   int64
	// Apply carries out a committed command; Snapshot and Restore save and replace what they have led to.
	Apply    func(command []byte) any
	Snapshot func() []byte
	Restore  func([]byte) error
	// Failed is told once when the disk has failed; the member takes no further part.
	Failed func(error)
	Log    zerolog.Logger
}

// Replicator runs one member of the replicated log.
type Replicator struct {
	cfg    Config
	core   *core
	state  *recorder.State
	inbox  chan *task
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	began     time.Time
	senders   map[uint64]*sender
	waiters   map[uint64]*waiter
	rounds    []*round
	exchanges map[uint64]*exchange
	applied   uint64
	// appliedChanged is closed and replaced when applied grows.
	appliedChanged chan struct{}
	introductions  introductions
	lastLeader     uint64
	failure        error
	status         atomic.Pointer[Status]
}

// task runs on the loop, then done is closed after what it led to is durable.
type task struct {
	run  func()
	done chan struct{}
}

type waiter struct {
	term   uint64
	result chan any
}

// exchange is an Exchange call that waits for the answers to its messages; only the loop adds to it.
type exchange struct {
	replies []*replicatorpb.Message
}

const inboxTasks = 1024

// ErrUnavailable says that this member can't answer now; a change may or may not have been made.
var ErrUnavailable = errors.New("no leader confirmed by a majority of control members")

// New starts the member; Close stops it.
func New(cfg Config) (r *Replicator, err error) {
	r = &Replicator{
		cfg: cfg, state: cfg.State, inbox: make(chan *task, inboxTasks), began: time.Now(),
		senders: make(map[uint64]*sender), waiters: make(map[uint64]*waiter), exchanges: make(map[uint64]*exchange),
		appliedChanged: make(chan struct{}),
	}
	if err = r.reset(cfg.State); err != nil {
		return nil, errors.WithMessage(err, "restore the snapshot")
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.publish()
	r.wg.Go(r.loop)
	r.wg.Go(r.introduce)
	return r, nil
}

// Close stops the member.
func (r *Replicator) Close() {
	r.cancel()
	r.wg.Wait()
	for _, s := range r.senders {
		s.close()
	}
}

// reset starts the protocol anew from what the folder holds.
func (r *Replicator) reset(st *recorder.State) error {
	r.state = st
	r.core = newCore(coreConfig{
		electionTicks:  uint64(r.cfg.Election / r.cfg.Tick),
		heartbeatTicks: uint64(r.cfg.Heartbeat / r.cfg.Tick),
		leaseTicks:     uint64(r.cfg.Lease / r.cfg.Tick),
		rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, st)
	r.began = time.Now()
	r.applied = r.core.log.taken
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
		case t := <-r.inbox:
			tasks = append(tasks, t)
		}
		// Everything that waits is handled with one sync.
		for more := true; more; {
			select {
			case t := <-r.inbox:
				tasks = append(tasks, t)
			default:
				more = false
			}
		}
		if err := r.turn(tasks); err != nil {
			r.cancel()
			r.cfg.Failed(err)
			return
		}
	}
}

// turn catches up with the clock, runs tasks and makes what follows durable.
func (r *Replicator) turn(tasks []*task) error {
	// The ticks follow the monotonic clock also after the process was frozen.
	for due := uint64(time.Since(r.began) / r.cfg.Tick); r.core.now < due; {
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
	r.settleRounds()
	clear(r.exchanges)
	r.dropSenders()
	for _, t := range tasks {
		close(t.done)
	}
	r.publish()
	return nil
}

// fail ends the loop after this turn.
func (r *Replicator) fail(err error) {
	if r.failure == nil {
		r.failure = err
	}
}

func (r *Replicator) flush() error {
	rd := r.core.ready()
	early := rd.leads && rd.vote == nil && rd.install == nil
	if early {
		r.dispatch(rd.messages)
	}
	if err := r.persist(rd); err != nil {
		return err
	}
	r.core.advance(rd)
	if !early {
		r.dispatch(rd.messages)
	}
	r.apply()
	r.dispatch(r.core.ready().messages)
	return r.maybeCompact()
}

func (r *Replicator) persist(rd ready) error {
	if s := rd.install; s != nil {
		if err := r.cfg.Restore(s.State); err != nil {
			return errors.WithMessage(err, "restore a snapshot from the leader")
		}
		r.applied = s.Index
		r.wakeApplied()
		return r.cfg.Recorder.Compact(s, r.core.vote, r.core.log.base, rd.entries)
	}
	if rd.vote == nil && len(rd.entries) == 0 {
		return nil
	}
	return r.cfg.Recorder.Save(rd.vote, rd.entries)
}

func (r *Replicator) apply() {
	for _, e := range r.core.takeCommitted() {
		var result any
		if e.Kind == replicatorpb.EntryKind_COMMAND {
			result = r.cfg.Apply(e.Data)
		}
		r.applied = e.Index
		if w := r.waiters[e.Index]; w != nil {
			delete(r.waiters, e.Index)
			if w.term == e.Term {
				w.result <- result
			}
			close(w.result)
		}
		r.wakeApplied()
	}
	if r.core.role != leader {
		for i, w := range r.waiters {
			close(w.result)
			delete(r.waiters, i)
		}
	}
}

func (r *Replicator) wakeApplied() {
	close(r.appliedChanged)
	r.appliedChanged = make(chan struct{})
}

// keepEntries is how many entries before a snapshot stay for slow members.
const keepEntries = 64

func (r *Replicator) maybeCompact() error {
	l := &r.core.log
	if r.applied-l.snapshot.Index < r.cfg.SnapshotEntries &&
		(r.cfg.Recorder.Size() < r.cfg.SnapshotBytes || r.applied-l.snapshot.Index <= keepEntries) {
		return nil
	}
	s := &replicatorpb.Snapshot{
		Index: r.applied, Term: l.term(r.applied), Membership: l.membershipBy(r.applied), State: r.cfg.Snapshot(),
	}
	l.compact(s, keepEntries)
	return r.cfg.Recorder.Compact(s, r.core.vote, l.base, l.entries[:l.stable-l.base.Index])
}

// on runs f on the loop and waits until what it led to is durable.
func (r *Replicator) on(ctx context.Context, f func()) error {
	t := &task{run: f, done: make(chan struct{})}
	select {
	case r.inbox <- t:
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

// Propose puts a command through the log and returns what Apply made of it; it fails on a member that doesn't lead.
func (r *Replicator) Propose(ctx context.Context, command []byte) (result any, err error) {
	defer func() { err = errors.WithMessage(err, "propose") }()
	return r.propose(ctx, func() (*replicatorpb.Position, error) {
		return r.core.propose(replicatorpb.EntryKind_COMMAND, command)
	})
}

func (r *Replicator) propose(ctx context.Context, put func() (*replicatorpb.Position, error)) (any, error) {
	var perr error
	w := &waiter{result: make(chan any, 1)}
	err := r.on(ctx, func() {
		p, err := put()
		if err != nil {
			perr = err
			return
		}
		w.term = p.Term
		r.waiters[p.Index] = w
	})
	if err != nil {
		return nil, err
	}
	if perr != nil {
		return nil, perr
	}
	select {
	case result, ok := <-w.result:
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

// WaitApplied waits until the entries up to index are applied here.
func (r *Replicator) WaitApplied(ctx context.Context, index uint64) error {
	for {
		var applied uint64
		var changed chan struct{}
		if err := r.on(ctx, func() { applied, changed = r.applied, r.appliedChanged }); err != nil {
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

// Transfer hands leadership to another member and waits until it has left this one; without another it fails when ctx ends.
func (r *Replicator) Transfer(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "hand over leadership") }()
	for {
		leads, alone := false, false
		if err = r.on(ctx, func() {
			leads, alone = r.core.role == leader, len(r.core.log.membership().Members) < 2
			if leads && !alone {
				r.core.transfer()
			}
		}); err != nil || !leads || alone {
			return err
		}
		select {
		case <-time.After(r.cfg.Tick / 2):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
