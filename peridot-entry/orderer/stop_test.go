package orderer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/claimerpb"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/claimer"
	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/tracer"
)

// claimReplica is a claim replica that grants every request until it is down.
type claimReplica struct {
	claimerpb.Claimer
	down atomic.Bool
}

func (r *claimReplica) reply() (*claimerpb.Reply, error) {
	if r.down.Load() {
		return nil, errors.New("down")
	}
	return &claimerpb.Reply{Status: claimerpb.Status_STATUS_OK, Identities: []uint64{1}}, nil
}

func (r *claimReplica) Accept(context.Context, *claimerpb.AcceptRequest) (*claimerpb.Reply, error) {
	return r.reply()
}

func (r *claimReplica) Prepare(context.Context, *claimerpb.PrepareRequest) (*claimerpb.Reply, error) {
	return r.reply()
}

func (r *claimReplica) Join(context.Context, *claimerpb.JoinRequest) (*claimerpb.JoinReply, error) {
	return &claimerpb.JoinReply{Active: true}, nil
}

// Guards against a caller without a response at the stop of the entry, because the release of its call can't be decided.
func TestReleaseEndsWithTheCall(t *testing.T) {
	tests := map[string]struct {
		down    bool
		outcome dispatcher.Outcome
	}{
		"with a quorum":    {false, dispatcher.NotRun},
		"without a quorum": {true, dispatcher.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			replica := &claimReplica{}
			srv := httptest.NewServer(claimerpb.NewClaimerServer(replica))
			defer srv.Close()
			claims := claimer.New(claimer.Config{Replicas: []string{srv.Listener.Addr().String()}, OnError: func(err error) { t.Error(err) }})
			defer claims.Close()
			o := New(Config{Claim: claims.Claim, Read: claims.Read})
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			c := &dispatcher.Call{
				Service: "s", Method: http.MethodPost, Path: "/", IdempotencyKey: "k", Rule: parser.Rule{Repeat: parser.AtMostOnce},
				Deadline: time.Now().Add(20 * time.Second), Trace: &tracer.Trace{},
			}
			begin := time.Now()
			_, err := o.Do(ctx, c, func(context.Context) (*dispatcher.Response, error) {
				replica.down.Store(tt.down)
				stop()
				return nil, &dispatcher.Error{Outcome: dispatcher.NotRun, Status: http.StatusServiceUnavailable, Err: errors.New("stopping")}
			})
			var e *dispatcher.Error
			if !errors.As(err, &e) || e.Outcome != tt.outcome {
				t.Errorf("error is %+v, want the outcome %v", err, tt.outcome)
			}
			if e.Outcome == dispatcher.Unknown && e.SendOutcome != dispatcher.NotRun {
				t.Errorf("outcome of the send is %v, want that it was not run", e.SendOutcome)
			}
			if took := time.Since(begin); took > 10*time.Second {
				t.Errorf("ended after %v", took)
			}
		})
	}
}
