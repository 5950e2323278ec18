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

// answerResend answers a send whose key holds v, the value of an earlier claim. It waits for an unsettled claim to be settled;
// retry is true when the key may be claimed again.
func (o *Orderer) answerResend(ctx, callerCtx context.Context, c *dispatcher.Call, hash []byte, v *claimerpb.Value) (res *dispatcher.Response, retry bool, err error) {
	addNote(c, "%v as claim %d by %s for request %s, sent to %v", decider.State(v.State), v.Claim, v.Entry, v.RequestId, v.Servers)
	if !bytes.Equal(v.Fingerprint, hash) {
		return nil, false, &dispatcher.Error{
			Outcome: dispatcher.NotRun, Status: http.StatusUnprocessableEntity,
			Err: errors.New("the key was used before with another body, service or path"),
		}
	}
	token := v.Token
	if v.State == claimerpb.State_STATE_CLAIMED {
		if v = o.waitSettled(ctx, callerCtx, c.IdempotencyKey, v); v == nil {
			return nil, false, unknownError(http.StatusConflict, "an earlier send of the key is in progress")
		}
		addNote(c, "%v after waiting", decider.State(v.State))
	}
	switch {
	case decider.State(v.State).CanClaim(), v.Token != token:
		return nil, true, nil
	case v.State == claimerpb.State_STATE_RAN && v.Answer != nil:
		return replay(v.Answer), false, nil
	case v.State == claimerpb.State_STATE_RAN:
		return nil, false, unknownError(http.StatusGone, "an earlier send of the key ran; its answer is not kept")
	}
	return nil, false, unknownError(http.StatusBadGateway, "an earlier send of the key may have run")
}

// unknownError says that this send was not run, and that it is unknown whether an earlier one was.
func unknownError(status int, text string) *dispatcher.Error {
	return &dispatcher.Error{Outcome: dispatcher.Unknown, SendOutcome: dispatcher.NotRun, Status: status, Err: errors.New(text)}
}

// waitSettled polls the claim replicas until the claim v is settled, and returns the value that replaced it. It returns v itself when the
// claimant hasn't settled within settleGrace after its deadline, and nil at the caller's deadline or when callerCtx ends.
func (o *Orderer) waitSettled(ctx, callerCtx context.Context, key string, v *claimerpb.Value) *claimerpb.Value {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-replyMargin))
	defer cancel()
	defer context.AfterFunc(callerCtx, cancel)()
	for poll := minPollInterval; ; poll = min(2*poll, maxPollInterval) {
		expired := false
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
			expired = expired || s.Age > time.Duration(v.DeadlineMs)*time.Millisecond+settleGrace
		}
		if expired {
			return v
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(poll):
		}
	}
}
