package claimer

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/common/claimerpb"
	"peridotswitch.example/common/decider"
	"peridotswitch.example/common/escaper"
)

// Request asks for the right to run the call with an idempotency key.
type Request struct {
	Key         string
	RequestID   string
	Fingerprint []byte
	// IssuedAt is when the caller first sent the call, by the caller's clock; zero when the caller didn't say.
	IssuedAt time.Time
	Deadline time.Time
}

// Claim is one attempt to claim a key; it is not safe for concurrent use.
type Claim struct {
	c     *Claimer
	key   string
	value *claimerpb.Value
	// ballot is the last one that was proposed; acceptors are the replicas that accepted it and so have promised the next one.
	ballot    decider.Ballot
	acceptors []int
	// sent is true when an Accept request may have reached a replica.
	sent bool
}

// Claim tries to claim a key. When the key can't be claimed because of another claim, it returns that claim's value and a nil Claim. The value
// need not be decided, unless it is of another call: that decides that the key is never this call's.
//
// An error is ErrExpired, ErrFull or ErrNoQuorum; the Claim returned with it must be abandoned.
func (c *Claimer) Claim(ctx context.Context, req Request) (cl *Claim, other *claimerpb.Value, err error) {
	defer func() { err = errors.WithMessage(err, "claim") }()
	token := uuid.NewString()
	cl = &Claim{c: c, key: escaper.Escape(req.Key), ballot: decider.Ballot{Owner: token}}
	cl.value = &claimerpb.Value{
		State:       claimerpb.State_STATE_CLAIMED,
		Claim:       1,
		Token:       token,
		Entry:       c.cfg.InstanceID,
		RequestId:   escaper.Escape(req.RequestID),
		Fingerprint: req.Fingerprint,
		DeadlineMs:  uint32(max(time.Until(req.Deadline).Milliseconds(), 0)),
	}
	if !req.IssuedAt.IsZero() {
		cl.value.IssuedAtMs = req.IssuedAt.UnixMilli()
	}
	if c.fastQuorumLikely() && cl.proposeFast(ctx) {
		return cl, nil, nil
	}
	own := cl.value
	other, err = cl.propose(ctx, func(cur *claimerpb.Value) *claimerpb.Value {
		switch state := decider.State(cur.GetState()); {
		case cur.GetToken() == token:
			return cur
		case cur != nil && !bytes.Equal(cur.Fingerprint, own.Fingerprint):
			return undecided(cur)
		case state.CanClaim():
			return claimAfter(own, cur)
		}
		return nil
	})
	switch {
	case other != nil:
		return nil, other, nil
	case err == nil && cl.value.Token != token:
		return nil, cl.value, nil
	}
	return cl, nil, err
}

// undecided returns a value of another call if its claim need not be decided, and nil otherwise: only a decided claim is settled as ran or unknown.
func undecided(cur *claimerpb.Value) *claimerpb.Value {
	if cur.State == claimerpb.State_STATE_RAN || cur.State == claimerpb.State_STATE_UNKNOWN {
		return nil
	}
	return cur
}

// claimAfter returns own as the claim that follows cur, which may be nil and is of the same call.
func claimAfter(own, cur *claimerpb.Value) *claimerpb.Value {
	if cur == nil {
		return own
	}
	next := proto.CloneOf(own)
	next.Claim, next.IssuedAtMs = cur.Claim+1, cur.IssuedAtMs
	return next
}

// Settle replaces the claim by its outcome. Only the claimant can settle its claim. After an error the outcome is not known to be decided.
func (cl *Claim) Settle(ctx context.Context, state decider.State, servers []string, answer *claimerpb.Answer) (err error) {
	defer func() { err = errors.WithMessagef(err, "settle as %v", state) }()
	token := cl.ballot.Owner
	other, err := cl.propose(ctx, func(cur *claimerpb.Value) *claimerpb.Value {
		if cur.GetToken() == token && decider.State(cur.State) == state {
			return cur
		}
		if cur.GetToken() != token || !decider.State(cur.State).CanSettle(state) {
			return nil
		}
		return settledValue(cur, state, servers, answer)
	})
	if err == nil && other != nil {
		return errors.Errorf("the key is %v by %s", other.State, other.Entry)
	}
	return err
}

// Abandon releases the claim at any replica that may have accepted it. The call must not have been sent.
func (cl *Claim) Abandon(ctx context.Context) error {
	if !cl.sent {
		return nil
	}
	return cl.Settle(ctx, decider.Released, nil, nil)
}

func settledValue(cur *claimerpb.Value, state decider.State, servers []string, answer *claimerpb.Answer) *claimerpb.Value {
	return &claimerpb.Value{
		State: claimerpb.State(state), Claim: cur.Claim, Token: cur.Token, Entry: cur.Entry, RequestId: cur.RequestId,
		Fingerprint: cur.Fingerprint, IssuedAtMs: cur.IssuedAtMs, DeadlineMs: cur.DeadlineMs, Servers: servers, Answer: answer,
	}
}

// proposeFast proposes the claim under the fast ballot and reports whether it is decided.
func (cl *Claim) proposeFast(ctx context.Context) bool {
	c := cl.c
	return len(cl.accept(ctx, c.allPositions(), c.quorums.Fast()).currentGrants()) >= c.quorums.Fast()
}

// accept asks the replicas at positions to accept the value under the ballot, and sets acceptors to those that did.
func (cl *Claim) accept(ctx context.Context, positions []int, wanted int) *round {
	cl.sent = true
	req := &claimerpb.AcceptRequest{Group: cl.c.group, Key: cl.key, Ballot: toBallot(cl.ballot), Value: cl.value}
	replies := cl.c.broadcast(ctx, positions, func(ctx context.Context, cc claimerpb.Claimer) (*claimerpb.Reply, error) {
		return cc.Accept(ctx, req)
	})
	r := gather(ctx, replies, len(positions), cl.c.quorums.Classic(), wanted)
	cl.acceptors = nil
	for _, g := range r.currentGrants() {
		cl.acceptors = append(cl.acceptors, g.position)
	}
	return r
}

// propose replaces the key's current value by next(current value), which it also stores in cl.value, and returns once a quorum has
// accepted that. When next returns nil, propose returns the current value as other.
func (cl *Claim) propose(ctx context.Context, next func(*claimerpb.Value) *claimerpb.Value) (other *claimerpb.Value, err error) {
	if cl.proposeUnprepared(ctx, next) {
		return nil, nil
	}
	var highest uint64
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		r := cl.prepare(ctx, highest)
		highest = max(highest, r.highest)
		done, other, err := cl.proposePrepared(ctx, r, next)
		if done || err != nil {
			return other, err
		}
		select {
		case <-ctx.Done():
			return nil, ErrNoQuorum
		case <-time.After(backoff + rand.N(backoff)):
		}
	}
}

// proposeUnprepared skips the prepare phase when the last value was decided, as its acceptors have then promised the next ballot.
// It reports whether the new value is decided.
func (cl *Claim) proposeUnprepared(ctx context.Context, next func(*claimerpb.Value) *claimerpb.Value) bool {
	q := cl.c.quorums
	decided := len(cl.acceptors) >= q.Fast() || cl.ballot.Number > 0 && len(cl.acceptors) >= q.Classic()
	if !decided {
		return false
	}
	v := next(cl.value)
	if v == nil {
		return false
	}
	cl.value, cl.ballot = v, cl.ballot.Next()
	return len(cl.accept(ctx, cl.acceptors, q.Classic()).currentGrants()) >= q.Classic()
}

// proposePrepared runs the accept phase with next(current value), the current value being the one that the promises in r show.
// When done is false and err is nil, the caller has to retry with a higher ballot.
func (cl *Claim) proposePrepared(ctx context.Context, r *round, next func(*claimerpb.Value) *claimerpb.Value) (done bool, other *claimerpb.Value, err error) {
	classic := cl.c.quorums.Classic()
	granted := r.currentGrants()
	switch {
	case len(granted) < classic && r.expired:
		return false, nil, ErrExpired
	case len(granted) < classic && r.full:
		return false, nil, ErrFull
	case len(granted) < classic:
		return false, nil, nil
	}
	cur := chosen(cl.c.quorums, granted)
	v := next(cur)
	if v == nil {
		return true, cur, nil
	}
	cl.value = v
	return len(cl.accept(ctx, positionsOf(granted), classic).currentGrants()) >= classic, nil, nil
}

// prepare asks all replicas to promise a ballot above highest and above cl.ballot.
func (cl *Claim) prepare(ctx context.Context, highest uint64) *round {
	cl.ballot.Number = max(cl.ballot.Number, highest, 1) + 1
	cl.acceptors = nil
	req := &claimerpb.PrepareRequest{Group: cl.c.group, Key: cl.key, IssuedAtMs: cl.value.IssuedAtMs, Ballot: toBallot(cl.ballot)}
	replies := cl.c.broadcast(ctx, cl.c.allPositions(), func(ctx context.Context, cc claimerpb.Claimer) (*claimerpb.Reply, error) {
		return cc.Prepare(ctx, req)
	})
	classic := cl.c.quorums.Classic()
	return gather(ctx, replies, len(cl.c.replicas), classic, classic)
}

// chosen returns the value that may have been decided, or nil when none can have been.
func chosen(q decider.Quorums, granted []replicaReply) *claimerpb.Value {
	var votes []decider.Vote[*claimerpb.Value]
	for _, g := range granted {
		accepted := decider.Ballot{Number: g.reply.Accepted.GetNumber(), Owner: g.reply.Accepted.GetOwner()}
		votes = append(votes, decider.Vote[*claimerpb.Value]{Accepted: accepted, Value: g.reply.Value})
	}
	v, _ := decider.Choose(q, votes)
	return v
}

func positionsOf(replies []replicaReply) (out []int) {
	for _, r := range replies {
		out = append(out, r.position)
	}
	return out
}

func toBallot(b decider.Ballot) *claimerpb.Ballot {
	return &claimerpb.Ballot{Number: b.Number, Owner: b.Owner}
}

// StoredValue is the value that one replica has stored for a key.
type StoredValue struct {
	Value *claimerpb.Value
	// Age is how long ago the replica accepted the value.
	Age time.Duration
}

// Read returns the values that the replicas that reply in time have stored for key; none of them need be decided.
func (c *Claimer) Read(ctx context.Context, key string) (stored []StoredValue) {
	req := &claimerpb.ReadRequest{Group: c.group, Key: escaper.Escape(key)}
	replies := c.broadcast(ctx, c.allPositions(), func(ctx context.Context, cc claimerpb.Claimer) (*claimerpb.Reply, error) {
		return cc.Read(ctx, req)
	})
	classic := c.quorums.Classic()
	for _, g := range gather(ctx, replies, len(c.replicas), classic, classic).granted {
		if g.reply.Value != nil {
			stored = append(stored, StoredValue{g.reply.Value, time.Duration(g.reply.AgeMs) * time.Millisecond})
		}
	}
	return stored
}
