package orderer

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/claimerpb"
	"peridotswitch.example/common/decider"
	"peridotswitch.example/peridot-entry/dispatcher"
)

// follow answers a resend from what became of the claim that it met; again is true when the key may be claimed anew.
func (o *Orderer) follow(ctx, caller context.Context, c *dispatcher.Call, hash []byte, v *claimerpb.Value) (a *dispatcher.Response, again bool, err error) {
	note(c, "%v as claim %d by %s for request %s, sent to %v", decider.State(v.State), v.Claim, v.Entry, v.RequestId, v.Servers)
	if !bytes.Equal(v.Fingerprint, hash) {
		return nil, false, &dispatcher.Error{
			Outcome: dispatcher.NotRun, Status: http.StatusUnprocessableEntity,
			Err: errors.New("the key was used before with another body, service or path"),
		}
	}
	met := v.Token
	if v.State == claimerpb.State_STATE_CLAIMED {
		if v = o.wait(ctx, caller, c.IdempotencyKey, v); v == nil {
			return nil, false, unknown(http.StatusConflict, "an earlier send of the key is in progress")
		}
		note(c, "%v after waiting", decider.State(v.State))
	}
	switch {
	case decider.State(v.State).CanClaim(), v.Token != met:
		return nil, true, nil
	case v.State == claimerpb.State_STATE_RAN && v.Answer != nil:
		return replay(v.Answer), false, nil
	case v.State == claimerpb.State_STATE_RAN:
		return nil, false, unknown(http.StatusGone, "an earlier send of the key ran; its answer is not kept")
	}
	return nil, false, unknown(http.StatusBadGateway, "an earlier send of the key may have run")
}

func unknown(status int, text string) *dispatcher.Error {
	return &dispatcher.Error{Outcome: dispatcher.Unknown, SendOutcome: dispatcher.NotRun, Status: status, Err: errors.New(text)}
}

// wait polls until the claim is settled; it returns v itself once the claimant can be late no more, and nil when the time is up.
func (o *Orderer) wait(ctx, caller context.Context, key string, v *claimerpb.Value) *claimerpb.Value {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-replyMargin))
	defer cancel()
	defer context.AfterFunc(caller, cancel)()
	for poll := minPoll; ; poll = min(2*poll, maxPoll) {
		late := false
		for _, s := range o.cfg.Read(ctx, key) {
			if s.Value.Token != v.Token {
				if s.Value.Claim > v.Claim {
					return s.Value
				}
				continue
			}
			if s.Value.State != claimerpb.State_STATE_CLAIMED {
				return s.Value
			}
			late = late || s.Age > time.Duration(v.DeadlineMs)*time.Millisecond+claimGrace
		}
		if late {
			return v
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(poll):
		}
	}
}
