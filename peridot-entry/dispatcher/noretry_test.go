package dispatcher

import (
	"context"
	"testing"
	"time"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/picker"
)

// Guards against a refusal whose record hides why the call wasn't sent to another server.
func TestNoRetryNamesTheCause(t *testing.T) {
	ended := func(c *Call, _ *Dispatcher) { c.Deadline = time.Now().Add(200 * time.Millisecond) }
	noServer := func(err error) func(*Call, *Dispatcher) {
		return func(_ *Call, d *Dispatcher) {
			pick := d.cfg.Pick
			d.cfg.Pick = func(req picker.Request) (*picker.Choice, error) {
				if len(req.Exclude) > 0 {
					return nil, err
				}
				return pick(req)
			}
		}
	}
	for name, tt := range map[string]struct {
		repeat parser.Repeat
		change func(*Call, *Dispatcher)
		script []sendFunc
		want   string
	}{
		"attempts used up":       {parser.OncePerSend, nil, []sendFunc{respondShed}, "attempts"},
		"may have run":           {parser.OncePerSend, nil, []sendFunc{respondShed, failSend(true)}, "may-have-run"},
		"no server":              {parser.OncePerSend, noServer(picker.ErrNoServer), []sendFunc{respondShed}, "no-server"},
		"servers full":           {parser.OncePerSend, noServer(picker.ErrFull), []sendFunc{respondShed}, "servers-full"},
		"deadline":               {parser.OncePerSend, ended, []sendFunc{blockUntilCanceled}, "deadline"},
		"retry budget":           {parser.OncePerSend, func(_ *Call, d *Dispatcher) { d.service("s").budget.total.tokens = 0 }, []sendFunc{respondShed}, "budget"},
		"answered at the second": {parser.OncePerSend, nil, []sendFunc{respondShed, respond(200)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			d, _, _ := newTestDispatcher(tt.script...)
			c := newCall(tt.repeat)
			if tt.change != nil {
				tt.change(c, d)
			}
			if res, err := d.Do(context.Background(), c); err == nil {
				res.Body.Close()
			}
			if c.Trace.NoRetry != tt.want {
				t.Errorf("no retry because of %q, want %q", c.Trace.NoRetry, tt.want)
			}
			if c.Trace.Unlisted != 0 {
				t.Errorf("%d attempts aren't listed", c.Trace.Unlisted)
			}
		})
	}
}
