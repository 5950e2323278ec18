package orderer

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/claimerpb"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/claimer"
	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/tracer"
)

// Guards against a refusal of a call that is sent nevertheless, and against one that denies what an earlier send of the key may have done.
func TestRefusedCallIsNeverSent(t *testing.T) {
	claimed := func(state claimerpb.State) func(c *dispatcher.Call) (*claimerpb.Value, error) {
		return func(c *dispatcher.Call) (*claimerpb.Value, error) {
			return &claimerpb.Value{State: state, Fingerprint: fingerprint(c)}, nil
		}
	}
	failed := func(err error) func(*dispatcher.Call) (*claimerpb.Value, error) {
		return func(*dispatcher.Call) (*claimerpb.Value, error) { return nil, err }
	}
	const unknown, notRun = dispatcher.Unknown, dispatcher.NotRun
	tests := map[string]struct {
		change func(*dispatcher.Call)
		claim  func(*dispatcher.Call) (*claimerpb.Value, error)
		status int
		// outcome and send are those of the call and of this send.
		outcome, send dispatcher.Outcome
	}{
		"the key is too long":             {func(c *dispatcher.Call) { c.IdempotencyKey = strings.Repeat("k", maxKeyBytes+1) }, nil, http.StatusBadRequest, notRun, ""},
		"issued in the future":            {func(c *dispatcher.Call) { c.IssuedAt = time.Now().Add(time.Hour) }, nil, http.StatusBadRequest, unknown, notRun},
		"no quorum":                       {nil, failed(claimer.ErrNoQuorum), http.StatusServiceUnavailable, unknown, notRun},
		"the replicas are full":           {nil, failed(claimer.ErrFull), http.StatusServiceUnavailable, unknown, notRun},
		"issued too long ago":             {nil, failed(claimer.ErrExpired), http.StatusGone, unknown, notRun},
		"past its deadline":               {func(c *dispatcher.Call) { c.Deadline = time.Now() }, failed(context.DeadlineExceeded), http.StatusServiceUnavailable, unknown, notRun},
		"an earlier send may have run":    {nil, claimed(claimerpb.State_STATE_UNKNOWN), http.StatusBadGateway, unknown, notRun},
		"an earlier send is in progress":  {nil, claimed(claimerpb.State_STATE_CLAIMED), http.StatusConflict, unknown, notRun},
		"an earlier send ran, not kept":   {nil, claimed(claimerpb.State_STATE_RAN), http.StatusGone, unknown, notRun},
		"the key belongs to another call": {nil, func(*dispatcher.Call) (*claimerpb.Value, error) { return &claimerpb.Value{Fingerprint: []byte{1}}, nil }, http.StatusUnprocessableEntity, notRun, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &dispatcher.Call{
				Service: "s", Method: http.MethodPost, Path: "/", IdempotencyKey: "k", Rule: parser.Rule{Repeat: parser.AtMostOnce},
				Deadline: time.Now().Add(100 * time.Millisecond), Trace: &tracer.Trace{},
			}
			if tt.change != nil {
				tt.change(c)
			}
			o := New(Config{
				Claim: func(context.Context, claimer.Request) (*claimer.Claim, *claimerpb.Value, error) {
					v, err := tt.claim(c)
					return nil, v, err
				},
				Read: func(context.Context, string) []claimer.StoredValue { return nil },
			})
			_, err := o.Do(context.Background(), c, func(context.Context) (*dispatcher.Response, error) {
				t.Error("the call is sent")
				return nil, errors.New("sent")
			})
			var e *dispatcher.Error
			if !errors.As(err, &e) || e.Status != tt.status || e.Outcome != tt.outcome || e.SendOutcome != tt.send {
				t.Errorf("error is %+v, want status %d, outcome %q and %q", e, tt.status, tt.outcome, tt.send)
			}
			if err := o.Close(context.Background()); err != nil {
				t.Error(err)
			}
		})
	}
}
