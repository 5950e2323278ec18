package orderer

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/claimerpb"
	"peridotswitch.example/common/decider"
	"peridotswitch.example/peridot-entry/claimer"
	"peridotswitch.example/peridot-entry/dispatcher"
)

// Config configures an Orderer.
type Config struct {
	Claim func(context.Context, claimer.Request) (*claimer.Claim, *claimerpb.Value, error)
	Read  func(ctx context.Context, key string) []claimer.Seen
	// MaxAnswerBytes is the largest body that is kept for resends; DefaultMaxAnswerBytes when zero.
	MaxAnswerBytes int
	// Skew is how far ahead of this entry's clock a call's issue time may be; DefaultSkew when zero.
	Skew time.Duration
}

// Defaults and bounds.
const (
	DefaultMaxAnswerBytes = 64 << 10
	DefaultSkew           = 15 * time.Minute
	// maxKeyBytes bounds what a key costs the claim replicas.
	maxKeyBytes = 256
	// claimTimeout bounds a claim; the rest of the deadline is for the call.
	claimTimeout = 2 * time.Second
	// replyMargin is what is left of the deadline for the reply to a caller that waited.
	replyMargin = 20 * time.Millisecond
	// releaseTimeout is how long a caller is kept waiting for its not-run beyond the deadline.
	releaseTimeout = 250 * time.Millisecond
	// settleTimeout is how long a settlement is tried in the background.
	settleTimeout = 30 * time.Second
	minPoll       = 5 * time.Millisecond
	maxPoll       = 80 * time.Millisecond
	// claimGrace is what a claimant may be late in settling after its deadline.
	claimGrace = time.Second
)

// Orderer runs at-most-once calls.
type Orderer struct {
	cfg Config
	wg  sync.WaitGroup
}

// New returns an Orderer; Close waits for its settlements.
func New(cfg Config) *Orderer {
	if cfg.MaxAnswerBytes == 0 {
		cfg.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if cfg.Skew == 0 {
		cfg.Skew = DefaultSkew
	}
	return &Orderer{cfg: cfg}
}

// Close waits until what became of each call is settled or ctx ends.
func (o *Orderer) Close(ctx context.Context) (err error) {
	done := make(chan struct{})
	go func() {
		o.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.WithMessage(ctx.Err(), "settle claims")
	}
}

// Do runs one at-most-once call; the error is a *dispatcher.Error.
//
// The call goes on when the caller leaves, so that a resend finds its answer.
func (o *Orderer) Do(ctx context.Context, c *dispatcher.Call, run func(context.Context) (*dispatcher.Response, error)) (*dispatcher.Response, error) {
	if err := o.check(c); err != nil {
		return nil, err
	}
	caller := ctx
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	req := claimer.Request{
		Key:         c.IdempotencyKey,
		RequestID:   c.RequestID,
		Fingerprint: fingerprint(c),
		IssuedAt:    c.IssuedAt,
		Deadline:    c.Deadline,
	}
	for {
		begin := time.Now()
		claim, other, err := o.claim(ctx, req)
		c.Trace.Claim += time.Since(begin)
		if err != nil {
			cancel()
			o.abandon(claim)
			return nil, refused(err)
		}
		if claim != nil {
			note(c, "claimed %q", c.IdempotencyKey)
			return o.run(ctx, cancel, c, claim, run)
		}
		a, again, err := o.follow(ctx, caller, c, req.Fingerprint, other)
		if !again {
			cancel()
			return a, err
		}
	}
}

func (o *Orderer) check(c *dispatcher.Call) error {
	if len(c.IdempotencyKey) > maxKeyBytes {
		return &dispatcher.Error{
			Outcome: dispatcher.NotRun, Status: http.StatusBadRequest,
			Err: errors.Errorf("Idempotency-Key has %d bytes, want up to %d", len(c.IdempotencyKey), maxKeyBytes),
		}
	}
	if ahead := time.Until(c.IssuedAt); !c.IssuedAt.IsZero() && ahead > o.cfg.Skew {
		return &dispatcher.Error{
			Outcome: dispatcher.Unknown, SendOutcome: dispatcher.NotRun, Status: http.StatusBadRequest,
			Err: errors.Errorf("Peridot-Issued-At is %v ahead of this entry's clock, want up to %v; this send was not run", ahead.Round(time.Second), o.cfg.Skew),
		}
	}
	return nil
}

func (o *Orderer) claim(ctx context.Context, req claimer.Request) (*claimer.Claim, *claimerpb.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return o.cfg.Claim(ctx, req)
}

// run sends the call under its claim and settles what became of it.
func (o *Orderer) run(ctx context.Context, cancel context.CancelFunc, c *dispatcher.Call, claim *claimer.Claim, run func(context.Context) (*dispatcher.Response, error)) (*dispatcher.Response, error) {
	a, err := run(ctx)
	if err != nil {
		cancel()
		return nil, o.settleFailure(c, claim, err)
	}
	kept, err := o.keep(a, cancel)
	if err != nil {
		o.settle(c, claim, decider.Unknown, nil)
		return nil, &dispatcher.Error{Outcome: dispatcher.Unknown, Status: http.StatusBadGateway, Err: errors.WithMessage(err, "the answer broke off")}
	}
	o.settle(c, claim, decider.Ran, kept)
	return a, nil
}

// settleFailure returns err as the caller may be told it: not-run only once the release is decided.
func (o *Orderer) settleFailure(c *dispatcher.Call, claim *claimer.Claim, err error) error {
	e := &dispatcher.Error{Outcome: dispatcher.Unknown, Status: http.StatusBadGateway, Err: err}
	errors.As(err, &e)
	if e.Outcome != dispatcher.NotRun {
		o.settle(c, claim, decider.Unknown, nil)
		return e
	}
	done := make(chan error, 1)
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		done <- claim.Settle(ctx, decider.Released, nil, nil)
	})
	select {
	case err = <-done:
	case <-time.After(max(time.Until(c.Deadline), releaseTimeout)):
		err = errors.New("no quorum of claim replicas in time")
	}
	if err != nil {
		note(c, "this send was not run, but its release is not decided: %v", err)
		return &dispatcher.Error{Outcome: dispatcher.Unknown, SendOutcome: dispatcher.NotRun, Status: e.Status, RetryAfter: e.RetryAfter, Err: e.Err}
	}
	note(c, "released")
	return e
}

// settle notes in the background what became of the call; until it is decided a resend waits or is told unknown.
func (o *Orderer) settle(c *dispatcher.Call, claim *claimer.Claim, state decider.State, answer *claimerpb.Answer) {
	note(c, "settled as %v", state)
	servers := serversOf(c)
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		_ = claim.Settle(ctx, state, servers, answer)
	})
}

// abandon releases in the background a claim that was never sent and may have got hold of the key.
func (o *Orderer) abandon(claim *claimer.Claim) {
	if claim == nil {
		return
	}
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		_ = claim.Abandon(ctx)
	})
}

// refused maps a claim that was not made; earlier sends of the key may have run.
func refused(err error) *dispatcher.Error {
	e := &dispatcher.Error{
		Outcome: dispatcher.Unknown, SendOutcome: dispatcher.NotRun,
		Status: http.StatusServiceUnavailable, RetryAfter: time.Second,
		Err: errors.WithMessage(err, "this send was not run; what became of earlier sends of the key is unknown"),
	}
	if errors.Is(err, claimer.ErrExpired) {
		e.Status, e.RetryAfter = http.StatusGone, 0
	}
	return e
}

// fingerprint tells apart the calls that may come under one key.
func fingerprint(c *dispatcher.Call) []byte {
	h := sha256.New()
	for _, s := range []string{c.Service, c.Method, c.Path} {
		fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	h.Write(c.Body)
	return h.Sum(nil)
}

func note(c *dispatcher.Call, format string, args ...any) {
	c.Trace.Notes = append(c.Trace.Notes, "claim: "+fmt.Sprintf(format, args...))
}

func serversOf(c *dispatcher.Call) (servers []string) {
	for _, a := range c.Trace.Attempts {
		if a.Server != "" {
			servers = append(servers, a.Server)
		}
	}
	return servers
}
