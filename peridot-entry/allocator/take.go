package allocator

import (
	"context"
	"math/rand/v2"
	"time"
)

// Result says where the token of a call came from, or why there was none.
type Result string

// The values of Result.
const (
	// Own means that this entry holds the share that granted the token, Peer that another entry does.
	Own  Result = "own"
	Peer Result = "peer"
	// Reserve means that no holder granted tokens and the token is from this entry's reserve.
	Reserve Result = "reserve"
	// Empty means that no share has a token.
	Empty Result = "empty"
	// NoHolder means that no holder granted tokens and there is no reserve.
	NoHolder Result = "no-holder"
	// Canceled means that the caller left before there was a reply.
	Canceled Result = "canceled"
)

// Token lets one call of an account through; the zero Token means that there is none.
type Token struct {
	// Result says where the token came from or why there is none.
	Result Result
	// RetryAfter is when there will be a token, if there is none.
	RetryAfter time.Duration

	account, share string
	limit          Limit
	holder         Member
	takenAt        time.Duration
}

// IsGranted reports whether the call may be made.
func (t *Token) IsGranted() bool {
	return t.Result == Own || t.Result == Peer || t.Result == Reserve
}

// Take takes a token for a call of an account: from a share of this entry's zone, else from another share, or, only if no holder grants
// tokens, from this entry's reserve.
func (a *Allocator) Take(ctx context.Context, account string, limit Limit) Token {
	t := a.take(ctx, account, limit)
	a.cfg.OnResult(t.Result)
	return t
}

func (a *Allocator) take(ctx context.Context, account string, limit Limit) Token {
	v := a.view.Load()
	isGranting, wait := false, farAway
	for _, s := range a.order(v) {
		t := a.takeFrom(ctx, v, s, account, limit)
		if t.IsGranted() {
			return t
		}
		if ctx.Err() != nil {
			return Token{Result: Canceled, RetryAfter: avoidTime}
		}
		isGranting = isGranting || t.Result == Empty
		wait = min(wait, t.RetryAfter)
	}
	switch {
	case isGranting:
		return Token{Result: Empty, RetryAfter: wait}
	case a.takeReserve(v, account, limit):
		return Token{Result: Reserve}
	}
	return Token{Result: NoHolder, RetryAfter: min(wait, avoidTime)}
}

// order returns the shares in the order in which they are asked: those of this entry's zone first, because they are near.
func (a *Allocator) order(v *view) []share {
	list := make([]share, len(v.shares))
	near, far := 0, len(list)
	for _, i := range rand.Perm(len(list)) {
		if v.shares[i].zone == a.cfg.Zone {
			list[near] = v.shares[i]
			near++
		} else {
			far--
			list[far] = v.shares[i]
		}
	}
	return list
}

// takeFrom takes a token from one share.
func (a *Allocator) takeFrom(ctx context.Context, v *view, s share, account string, limit Limit) Token {
	m, ok := v.holder(account, s)
	now, key := a.cfg.Now(), shareKey{account, s.name}
	if !ok {
		return Token{Result: NoHolder, RetryAfter: avoidTime}
	}
	if t, known := a.known(key, m, now); known {
		return t
	}
	r := Request{Account: account, Share: s.name, Limit: limit, Count: 1}
	result, reply := Own, Reply{}
	if m.ID == a.cfg.InstanceID {
		reply = a.Grant(r)
	} else {
		var err error
		result = Peer
		if reply, err = a.cfg.Ask(ctx, m, r); err != nil {
			if ctx.Err() == nil {
				a.avoid(m, a.cfg.Now()+avoidTime)
			}
			return Token{Result: NoHolder, RetryAfter: avoidTime}
		}
	}
	if reply.Granted > 0 {
		return Token{Result: result, account: account, share: s.name, limit: limit, holder: m, takenAt: a.cfg.Now()}
	}
	after := min(reply.RetryAfter, maxRetryAfter+avoidTime)
	a.stateMu.Lock()
	defer a.stateMu.Unlock()
	if !reply.Granting {
		a.states[key] = shareState{until: now + min(after, avoidTime), tokenAt: now + after}
		return Token{Result: NoHolder, RetryAfter: after}
	}
	a.states[key] = shareState{until: now + min(after, maxEmptyTime), tokenAt: now + after, isEmpty: true}
	return Token{Result: Empty, RetryAfter: after}
}

// known returns the result of asking a share, if it is known without asking.
func (a *Allocator) known(key shareKey, m Member, now time.Duration) (t Token, known bool) {
	a.stateMu.Lock()
	defer a.stateMu.Unlock()
	if until := a.avoided[m.ID]; now < until {
		return Token{Result: NoHolder, RetryAfter: until - now}, true
	}
	state := a.states[key]
	if now >= state.until {
		return Token{}, false
	}
	t = Token{Result: NoHolder, RetryAfter: state.tokenAt - now}
	if state.isEmpty {
		t.Result = Empty
	}
	return t, true
}

func (a *Allocator) avoid(m Member, until time.Duration) {
	a.stateMu.Lock()
	defer a.stateMu.Unlock()
	a.avoided[m.ID] = until
}

// GiveBack returns the token of a call that was then refused and has not run.
func (a *Allocator) GiveBack(t Token) {
	if !t.IsGranted() || t.Result == Reserve || a.cfg.Now()-t.takenAt > maxReturnAge {
		return
	}
	r := Request{Account: t.account, Share: t.share, Limit: t.limit, Returned: 1}
	if t.Result == Own {
		a.Grant(r)
		return
	}
	a.cfg.Return(t.holder, r)
}
