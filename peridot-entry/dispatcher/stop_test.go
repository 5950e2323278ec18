package dispatcher

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/limiter"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/sender"
)

// Guards against callers whose connection ends without a response because their calls still waited when the entry stopped.
func TestStopEndsCalls(t *testing.T) {
	tests := map[string]struct {
		repeat parser.Repeat
		change func(*Dispatcher, *Call)
		// sent is the number of attempts that get no response.
		sent    int64
		outcome Outcome
		status  int
	}{
		"that a server doesn't respond to":                       {parser.Idempotent, nil, 1, Unknown, 502},
		"that a server doesn't respond to, once per send":        {parser.OncePerSend, nil, 1, Unknown, 502},
		"that a server doesn't respond to, at most once":         {parser.AtMostOnce, outlastCaller, 1, Unknown, 502},
		"that wait for a permit":                                 {parser.Idempotent, blockAcquire, 0, NotRun, 503},
		"that wait for a permit, at most once":                   {parser.AtMostOnce, blockAcquire, 0, NotRun, 503},
		"that wait for free slots":                               {parser.Idempotent, deferUntilFree, 0, NotRun, 503},
		"that wait for a connection to a server":                 {parser.OncePerSend, blockConnect, 0, NotRun, 503},
		"that wait for the outcome of an earlier send":           {parser.AtMostOnce, blockClaim, 0, NotRun, 503},
		"that a server has refused and the next doesn't run yet": {parser.Idempotent, shedThenBlock, 1, Unknown, 502},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, sent, _ := newTestDispatcher(blockUntilCanceled)
			c := newCall(tt.repeat)
			if tt.change != nil {
				tt.change(d, c)
			}
			begin := time.Now()
			time.AfterFunc(50*time.Millisecond, d.Stop)
			_, err := d.Do(context.Background(), c)
			var e *Error
			if !errors.As(err, &e) || e.Outcome != tt.outcome || e.Status != tt.status {
				t.Errorf("error is %+v, want %v with status %d", err, tt.outcome, tt.status)
			}
			if tt.outcome == NotRun && c.Trace.Cause != "stopping" {
				t.Errorf("cause %q", c.Trace.Cause)
			}
			if took := time.Since(begin); took > 5*time.Second {
				t.Errorf("ended %v after its begin", took)
			}
			if n := sent.Load(); n != tt.sent {
				t.Errorf("%d attempts, want %d", n, tt.sent)
			}
		})
	}
}

func blockAcquire(d *Dispatcher, _ *Call) {
	d.cfg.Acquire = func(ctx context.Context, _ limiter.Request) (*limiter.Permit, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
}

// outlastCaller runs claimed calls as the orderer does: they go on without their caller.
func outlastCaller(d *Dispatcher, _ *Call) {
	d.cfg.RunAtMostOnce = func(ctx context.Context, c *Call, run func(context.Context) (*Response, error)) (*Response, error) {
		ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
		defer cancel()
		return run(ctx)
	}
}

func deferUntilFree(d *Dispatcher, c *Call) {
	c.Rule.Priority = parser.Deferrable
	d.cfg.Pick = func(picker.Request) (*picker.Choice, error) { return nil, picker.ErrFull }
}

func blockConnect(d *Dispatcher, _ *Call) {
	d.cfg.Send = func(ctx context.Context, _ *sender.Request) (*sender.Response, error) {
		<-ctx.Done()
		return nil, &sender.Error{Phase: sender.Connecting, Err: ctx.Err()}
	}
}

func blockClaim(d *Dispatcher, _ *Call) {
	d.cfg.RunAtMostOnce = func(ctx context.Context, c *Call, _ func(context.Context) (*Response, error)) (*Response, error) {
		<-ctx.Done()
		c.Trace.Cause = "stopping"
		return nil, &Error{Outcome: NotRun, Status: http.StatusServiceUnavailable, Err: ctx.Err()}
	}
}

func shedThenBlock(d *Dispatcher, _ *Call) {
	send, shed := d.cfg.Send, false
	d.cfg.Send = func(ctx context.Context, req *sender.Request) (*sender.Response, error) {
		res, err := respondShed(ctx, req)
		if shed {
			return send(ctx, req)
		}
		shed = true
		return res, err
	}
}

// Guards against responses that the stop of the entry cuts although their rest could still arrive.
func TestStopKeepsResponses(t *testing.T) {
	r, w := io.Pipe()
	rest := make(chan struct{})
	var ctx context.Context
	d, _, _ := newTestDispatcher(func(c context.Context, _ *sender.Request) (*sender.Response, error) {
		ctx = c
		go func() {
			_, _ = w.Write(make([]byte, readAheadBytes))
			<-rest
			_, _ = w.Write([]byte("x"))
			_ = w.Close()
		}()
		return &sender.Response{Status: http.StatusOK, Body: r}, nil
	})
	res, err := d.Do(context.Background(), newCall(parser.Idempotent))
	if err != nil {
		t.Fatal(err)
	}
	d.Stop()
	time.Sleep(20 * time.Millisecond)
	if ctx.Err() != nil {
		t.Errorf("the attempt was ended: %v", context.Cause(ctx))
	}
	close(rest)
	if n, err := io.Copy(io.Discard, res.Body); err != nil || n != readAheadBytes+1 {
		t.Errorf("read %d bytes, error %v", n, err)
	}
	_ = res.Body.Close()
	c := newCall(parser.Idempotent)
	var e *Error
	if _, err = d.Do(context.Background(), c); !errors.As(err, &e) || e.Outcome != NotRun || c.Trace.Cause != "stopping" {
		t.Errorf("after the stop: %v, cause %q, want a refusal", err, c.Trace.Cause)
	}
}

// Guards against an entry that waits at its stop for calls whose callers have left: an attempt that may run once outlasts its caller.
func TestStopEndsCallsWithoutCallers(t *testing.T) {
	for _, repeat := range []parser.Repeat{parser.Idempotent, parser.OncePerSend, parser.AtMostOnce} {
		t.Run(string(repeat), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, _, _ := newTestDispatcher(blockUntilCanceled)
				c := newCall(repeat)
				outlastCaller(d, c)
				ctx, leave := context.WithCancel(context.Background())
				time.AfterFunc(10*time.Millisecond, leave)
				time.AfterFunc(50*time.Millisecond, d.Stop)
				begin := time.Now()
				_, err := d.Do(ctx, c)
				var e *Error
				if !errors.As(err, &e) || e.Outcome != Unknown {
					t.Errorf("error is %+v, want %v", err, Unknown)
				}
				if took := time.Since(begin); took > 50*time.Millisecond {
					t.Errorf("ended %v after its begin", took)
				}
			})
		})
	}
}
