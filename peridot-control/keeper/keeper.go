package keeper

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/common/claimerpb"
	"peridotswitch.example/common/decider"
)

// Config configures a Keeper. A zero duration or limit selects its default.
type Config struct {
	// Dir is the directory of the log.
	Dir string
	// Retention is the minimum time for which a key is kept after its first send, for keys with an issue time.
	Retention time.Duration
	// UnstampedRetention is the same for keys without an issue time.
	UnstampedRetention time.Duration
	// Skew is the largest clock error of callers and replicas at which no valid call is refused.
	Skew time.Duration
	// AnswerRetention is the minimum time for which responses are stored.
	AnswerRetention time.Duration
	// MaxKeys and MaxAnswerBytes bound the memory. At MaxKeys new keys are refused; beyond MaxAnswerBytes values are stored
	// without their responses.
	MaxKeys        int
	MaxAnswerBytes int
	// Now returns the wall-clock time. It is only used to decide whether an unknown key was issued too long ago.
	Now func() time.Time
	// NewPeerClient returns a client for the replica at an address.
	NewPeerClient func(address string) claimerpb.Claimer
	// OnFailure is called with the first error of writing the log. The replica acknowledges no further request.
	OnFailure func(error)
	// Sync makes writes to a file or directory durable; (*os.File).Sync when nil.
	Sync func(*os.File) error
	Log  zerolog.Logger
}

// Defaults for zero values of Config.
const (
	DefaultRetention          = 24 * time.Hour
	DefaultUnstampedRetention = 7 * 24 * time.Hour
	DefaultSkew               = 15 * time.Minute
	DefaultAnswerRetention    = time.Hour
	DefaultMaxKeys            = 100_000
	DefaultMaxAnswerBytes     = 16 << 20
	maxValueBytes             = 2 << 20
)

// Keeper is a replica of the claim registers. It implements claimerpb.Claimer.
type Keeper struct {
	cfg        Config
	mu         sync.Mutex
	table      *table
	membership *claimerpb.Membership
	group      uint64
	started    time.Time
	// priorUptime is the total uptime of the earlier runs.
	priorUptime time.Duration
	// loggedUptime is the uptime in the newest clock record of the log.
	loggedUptime time.Duration
	log          *committer
	cancel       context.CancelFunc
	wg           sync.WaitGroup
}

// New replays the log in cfg.Dir and starts a replica. The caller must call Close.
func New(cfg Config) (k *Keeper, err error) {
	defer func() { err = errors.WithMessage(err, "start claim replica") }()
	cfg.setDefaults()
	k = &Keeper{cfg: cfg, table: newTable(), membership: &claimerpb.Membership{}, started: time.Now()}
	l, torn, err := openLog(cfg.Dir, cfg.Sync, k.replay)
	if err != nil {
		return nil, err
	}
	if torn > 0 {
		cfg.Log.Warn().Int64("bytes", torn).Msg("discarded a torn record at the end of the claim log; it was never acknowledged")
	}
	k.table.sortQueues()
	k.group = groupHash(k.membership.Replicas)
	k.log = newCommitter(l, &k.mu, k.snapshot, cfg.OnFailure)
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.wg.Go(func() { runPeriodically(ctx, joinInterval, func() { k.join(ctx) }) })
	k.wg.Go(func() { runPeriodically(ctx, sweepInterval, k.sweep) })
	return k, nil
}

func (c *Config) setDefaults() {
	setDefault(&c.Retention, DefaultRetention)
	setDefault(&c.UnstampedRetention, max(DefaultUnstampedRetention, c.Retention))
	setDefault(&c.Skew, DefaultSkew)
	setDefault(&c.AnswerRetention, DefaultAnswerRetention)
	setDefault(&c.MaxKeys, DefaultMaxKeys)
	setDefault(&c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.OnFailure == nil {
		c.OnFailure = func(error) {}
	}
	if c.Sync == nil {
		c.Sync = (*os.File).Sync
	}
	if c.NewPeerClient == nil {
		c.NewPeerClient = newPeerClient
	}
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// runPeriodically calls f every d until ctx ends.
func runPeriodically(ctx context.Context, d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}

// Close stops the background goroutines, commits the pending records and closes the log.
func (k *Keeper) Close() error {
	k.cancel()
	k.wg.Wait()
	return k.log.close()
}

// Prepare implements claimerpb.Claimer.
func (k *Keeper) Prepare(ctx context.Context, req *claimerpb.PrepareRequest) (*claimerpb.Reply, error) {
	if req.Key == "" || req.Ballot.GetNumber() == 0 || req.Ballot.Owner == "" {
		return nil, twirp.InvalidArgumentError("ballot", "a key and a ballot above 0 with its owner are needed")
	}
	return k.updateRow(ctx, req.Group, req.Key, req.IssuedAtMs, func(r *row) bool {
		return r.Prepare(decodeBallot(req.Ballot))
	})
}

// Accept implements claimerpb.Claimer.
func (k *Keeper) Accept(ctx context.Context, req *claimerpb.AcceptRequest) (*claimerpb.Reply, error) {
	if req.Key == "" || req.Ballot.GetOwner() == "" || req.Value == nil {
		return nil, twirp.InvalidArgumentError("value", "a key, a ballot with its owner and a value are needed")
	}
	if n := proto.Size(req); n > maxValueBytes {
		return nil, twirp.InvalidArgument.Errorf("a value of %d bytes is over %d", n, maxValueBytes)
	}
	return k.updateRow(ctx, req.Group, req.Key, req.Value.IssuedAtMs, func(r *row) bool {
		v := req.Value
		before := len(r.Value.GetAnswer().GetBody())
		if k.table.answerBytes-before+len(v.GetAnswer().GetBody()) > k.cfg.MaxAnswerBytes {
			v = withoutAnswer(v)
		}
		if !r.Accept(decodeBallot(req.Ballot), v) {
			return false
		}
		r.acceptedAt = k.uptime()
		k.table.trackAnswer(req.Key, r, before)
		return true
	})
}

// Read implements claimerpb.Claimer.
func (k *Keeper) Read(ctx context.Context, req *claimerpb.ReadRequest) (*claimerpb.Reply, error) {
	k.mu.Lock()
	status := k.groupStatus(req.Group)
	reply := k.reply(status, nil)
	if status == claimerpb.Status_STATUS_OK {
		reply = k.reply(status, k.table.get(req.Key))
	}
	wait := k.log.barrier()
	k.mu.Unlock()
	return reply, wait(ctx)
}

// updateRow applies f to the row of key, which it creates if there is none, and replies once the result is synced. f reports
// whether the register accepted the request.
func (k *Keeper) updateRow(ctx context.Context, group uint64, key string, issuedMS int64, f func(*row) bool) (*claimerpb.Reply, error) {
	k.mu.Lock()
	status := k.groupStatus(group)
	r := k.table.get(key)
	if status == claimerpb.Status_STATUS_OK && r == nil {
		status = k.newKeyStatus(issuedMS)
	}
	if status != claimerpb.Status_STATUS_OK {
		reply := k.reply(status, nil)
		k.mu.Unlock()
		return reply, nil
	}
	existed := r != nil
	if !existed {
		r = &row{createdAt: k.uptime(), acceptedAt: k.uptime(), issuedMS: issuedMS}
	}
	accepted := f(r)
	if accepted && !existed {
		k.table.add(key, r)
	}
	if !accepted {
		status = claimerpb.Status_STATUS_REFUSED
	} else if err := k.log.add(&claimerpb.LogRecord{Register: r.toProto(key)}); err != nil {
		k.mu.Unlock()
		return nil, twirp.InternalErrorWith(err)
	}
	reply := k.reply(status, r)
	wait := k.log.barrier()
	k.mu.Unlock()
	return reply, wait(ctx)
}

// groupStatus returns STATUS_OK if this replica is active and the request names its group. The caller holds mu.
func (k *Keeper) groupStatus(group uint64) claimerpb.Status {
	switch {
	case !k.membership.Active:
		return claimerpb.Status_STATUS_ABSTAINED
	case group != k.group:
		return claimerpb.Status_STATUS_OTHER_GROUP
	}
	return claimerpb.Status_STATUS_OK
}

// newKeyStatus returns STATUS_OK if a key that the table lacks may be added. The caller holds mu.
func (k *Keeper) newKeyStatus(issuedMS int64) claimerpb.Status {
	oldest := k.cfg.Now().Add(k.cfg.Skew - k.cfg.Retention).UnixMilli()
	switch {
	case issuedMS > 0 && issuedMS <= max(k.table.floorMS, oldest):
		return claimerpb.Status_STATUS_EXPIRED
	case k.table.keys >= k.cfg.MaxKeys:
		return claimerpb.Status_STATUS_FULL
	}
	return claimerpb.Status_STATUS_OK
}

// reply returns a reply with the contents of r, which may be nil. The caller holds mu.
func (k *Keeper) reply(status claimerpb.Status, r *row) *claimerpb.Reply {
	reply := &claimerpb.Reply{Status: status, Identities: k.membership.Identities}
	if r == nil {
		return reply
	}
	reply.Promised, reply.Value = encodeBallot(r.Promised), r.Value
	if r.Accepted != (decider.Ballot{}) {
		reply.Accepted = encodeBallot(r.Accepted)
	}
	reply.AgeMs = uint64(max(k.uptime()-r.acceptedAt, 0).Milliseconds())
	return reply
}

// uptime returns the total time for which the replica has run, over all its starts. The caller holds mu.
func (k *Keeper) uptime() time.Duration { return k.priorUptime + time.Since(k.started) }
