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
	// Claim and Read are the methods of a claimer.Claimer.
	Claim func(context.Context, claimer.Request) (*claimer.Claim, *claimerpb.Value, error)
	Read  func(ctx context.Context, key string) []claimer.StoredValue
	// MaxAnswerBytes is the size of the largest response body that is stored for resends; DefaultMaxAnswerBytes when zero.
	MaxAnswerBytes int
	// Skew is how far ahead of this entry's clock a call's issue time may be; DefaultSkew when zero.
	Skew time.Duration
}

// Defaults and bounds.
const (
	DefaultMaxAnswerBytes = 64 << 10
	DefaultSkew           = 15 * time.Minute
	// maxKeyBytes bounds the memory and disk that a key takes at the claim replicas.
	maxKeyBytes = 256
	// claimTimeout bounds the time for a claim; the rest of the time until the deadline is for the call.
	claimTimeout = 2 * time.Second
	// replyMargin is how long before the deadline a resend stops waiting, so that its response still reaches the caller.
	replyMargin = 20 * time.Millisecond
	// releaseTimeout is the least time that a caller waits for the release of a call that was not run, also past the deadline.
	releaseTimeout = 250 * time.Millisecond
	// endedReleaseTimeout is how long it waits for that once the call has been ended, because its caller has left or the entry is about to stop.
	endedReleaseTimeout = 50 * time.Millisecond
	// settleTimeout is how long a settlement is retried in the background.
	settleTimeout   = 30 * time.Second
	minPollInterval = 5 * time.Millisecond
	maxPollInterval = 80 * time.Millisecond
	// settleGrace is how long after its deadline a claimant may still settle; after that its outcome is unknown.
	settleGrace = time.Second
)

// Orderer runs at-most-once calls.
type Orderer struct {
	cfg Config
	wg  sync.WaitGroup
}

// New returns an Orderer; Close waits for its background settlements.
func New(cfg Config) *Orderer {
	if cfg.MaxAnswerBytes == 0 {
		cfg.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if cfg.Skew == 0 {
		cfg.Skew = DefaultSkew
	}
	return &Orderer{cfg: cfg}
}

// Close waits until the outcome of every call is settled or ctx ends.
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
// The call is not canceled with ctx: when the caller disconnects, a resend can still get the response.
func (o *Orderer) Do(ctx context.Context, c *dispatcher.Call, run func(context.Context) (*dispatcher.Response, error)) (*dispatcher.Response, error) {
	if err := o.validate(c); err != nil {
		return nil, err
	}
	callerCtx := ctx
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
			return nil, claimError(err)
		}
		if claim != nil {
			addNote(c, "claimed %q", c.IdempotencyKey)
			return o.runClaimed(ctx, callerCtx, cancel, c, claim, run)
		}
		res, retry, err := o.answerResend(ctx, callerCtx, c, req.Fingerprint, other)
		if !retry {
			cancel()
			return res, err
		}
	}
}

func (o *Orderer) validate(c *dispatcher.Call) error {
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

// runClaimed runs the call under its claim and settles the outcome.
func (o *Orderer) runClaimed(ctx, callerCtx context.Context, cancel context.CancelFunc, c *dispatcher.Call, claim *claimer.Claim, run func(context.Context) (*dispatcher.Response, error)) (*dispatcher.Response, error) {
	res, err := run(ctx)
	if err != nil {
		cancel()
		return nil, o.settleFailure(callerCtx, c, claim, err)
	}
	stored, err := o.bufferAnswer(res, cancel)
	if err != nil {
		o.settle(c, claim, decider.Unknown, nil)
		return nil, &dispatcher.Error{Outcome: dispatcher.Unknown, Status: http.StatusBadGateway, Err: errors.WithMessage(err, "the answer broke off")}
	}
	o.settle(c, claim, decider.Ran, stored)
	return res, nil
}

// settleFailure settles a call that failed and returns the error for the caller. Its outcome is NotRun only after the release is decided:
// until then the key still shows a claim that may have run.
func (o *Orderer) settleFailure(callerCtx context.Context, c *dispatcher.Call, claim *claimer.Claim, err error) error {
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
	timeout := time.NewTimer(max(time.Until(c.Deadline), releaseTimeout))
	defer timeout.Stop()
	defer context.AfterFunc(callerCtx, func() { timeout.Reset(endedReleaseTimeout) })()
	select {
	case err = <-done:
	case <-timeout.C:
		err = errors.New("no quorum of claim replicas in time")
	}
	if err != nil {
		addNote(c, "this send was not run, but its release is not decided: %v", err)
		return &dispatcher.Error{Outcome: dispatcher.Unknown, SendOutcome: dispatcher.NotRun, Status: e.Status, RetryAfter: e.RetryAfter, Err: e.Err}
	}
	addNote(c, "released")
	return e
}

// settle settles the outcome of the call in the background. Until that is decided, a resend waits or gets the outcome Unknown.
func (o *Orderer) settle(c *dispatcher.Call, claim *claimer.Claim, state decider.State, answer *claimerpb.Answer) {
	addNote(c, "settled as %v", state)
	servers := serversOf(c)
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		_ = claim.Settle(ctx, state, servers, answer)
	})
}

// abandon releases in the background a claim that failed but may have been accepted; its call was never sent. The claim may be nil.
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

// claimError returns the error for the caller when a claim failed. The outcome is Unknown because an earlier send of the key may have run.
func claimError(err error) *dispatcher.Error {
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

// fingerprint returns a hash by which different calls with the same key are told apart.
func fingerprint(c *dispatcher.Call) []byte {
	h := sha256.New()
	for _, s := range []string{c.Service, c.Method, c.Path} {
		fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	h.Write(c.Body)
	return h.Sum(nil)
}

func addNote(c *dispatcher.Call, format string, args ...any) {
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
