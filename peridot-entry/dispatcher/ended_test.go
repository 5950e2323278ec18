package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/registrar"
)

// Guards against calls that are sent although they ended while a server was chosen: a server may run them for nobody, and their callers learn only
// that they may have been run.
func TestCallThatEndsWhileAServerIsChosenIsNotSent(t *testing.T) {
	const probe = 20 * time.Millisecond
	tests := map[string]struct {
		end   func(d *Dispatcher, c *Call, leave func())
		cause string
	}{
		"by its deadline":           {func(_ *Dispatcher, c *Call, _ func()) { c.Deadline = time.Now().Add(probe / 2) }, "deadline"},
		"because its caller leaves": {func(_ *Dispatcher, _ *Call, leave func()) { time.AfterFunc(probe/2, leave) }, "caller-left"},
		"by the stop of the entry":  {func(d *Dispatcher, _ *Call, _ func()) { time.AfterFunc(probe/2, d.Stop) }, "stopping"},
	}
	for name, tt := range tests {
		for _, repeat := range []parser.Repeat{parser.Idempotent, parser.OncePerSend, parser.AtMostOnce} {
			t.Run(name+"/"+string(repeat), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d, sent, _ := newTestDispatcher(respond(200))
					d.cfg.Probe = func(context.Context, picker.Request) []registrar.Key {
						time.Sleep(probe)
						return nil
					}
					ctx, leave := context.WithCancel(context.Background())
					defer leave()
					c := newCall(repeat)
					tt.end(d, c, leave)
					_, err := d.Do(ctx, c)
					var e *Error
					if !errors.As(err, &e) || e.Outcome != NotRun || c.Trace.Cause != tt.cause || sent.Load() != 0 {
						t.Errorf("error %+v with the cause %q after %d sends, want a refusal before any", err, c.Trace.Cause, sent.Load())
					}
				})
			})
		}
	}
}
