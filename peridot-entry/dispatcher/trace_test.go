package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/sender"
	"peridotswitch.example/peridot-entry/tracer"
)

// Guards against a trace that says "not written" or "refused" of an attempt that may have run, or that leaves out what tells why.
func TestAttemptTrace(t *testing.T) {
	refuse := func(context.Context, *sender.Request) (*sender.Response, error) {
		return &sender.Response{
			Status: http.StatusMisdirectedRequest, Shed: true, Refusal: sender.RefusalWrongServer, Proof: sender.ProofNamed,
			Exchange: 2, LocalPort: 4001, Body: io.NopCloser(strings.NewReader("")),
		}, nil
	}
	fail := func(e sender.Error) sendFunc {
		return func(context.Context, *sender.Request) (*sender.Response, error) {
			e.Err = errors.New("reset")
			return nil, &e
		}
	}
	unwritten := fail(sender.Error{Phase: sender.Connecting})
	for name, tt := range map[string]struct {
		script []sendFunc
		want   tracer.Attempt
	}{
		"refused at the second attempt": {[]sendFunc{unwritten, refuse, unwritten},
			tracer.Attempt{Status: 421, Refusal: "named", RefusalKind: "wrong-server", Exchange: 2, LocalPort: 4001, Written: true}},
		"not written": {[]sendFunc{unwritten}, tracer.Attempt{Phase: "connect"}},
		"no response": {[]sendFunc{unwritten, fail(sender.Error{Phase: sender.Waiting, Written: true, Exchange: 3, LocalPort: 4002})},
			tracer.Attempt{Phase: "wait", Written: true, MayHaveRun: true, Exchange: 3, LocalPort: 4002}},
		"a response that was not accepted": {[]sendFunc{unwritten, fail(sender.Error{Phase: sender.Waiting, Written: true, Status: 503, Contradictory: true})},
			tracer.Attempt{Phase: "wait", Written: true, MayHaveRun: true, Status: 503, Contradictory: true}},
		"an error of no known phase": {[]sendFunc{unwritten, func(context.Context, *sender.Request) (*sender.Response, error) { return nil, errors.New("odd") }},
			tracer.Attempt{Written: true, MayHaveRun: true}},
		"a response": {[]sendFunc{unwritten, respond(200)}, tracer.Attempt{Status: 200, Written: true}},
	} {
		t.Run(name, func(t *testing.T) {
			d, _, requests := newTestDispatcher(tt.script...)
			pick := d.cfg.Pick
			d.cfg.Pick = func(req picker.Request) (*picker.Choice, error) {
				c, err := pick(req)
				if err == nil {
					c.Server.Address = "address of " + c.Server.InstanceID
				}
				return c, err
			}
			c := newCall(parser.OncePerSend)
			if res, err := d.Do(context.Background(), c); err == nil {
				res.Body.Close()
			}
			if len(c.Trace.Attempts) < 2 {
				t.Fatalf("%d attempts, want two or more", len(c.Trace.Attempts))
			}
			got := c.Trace.Attempts[1]
			if got.Address != (*requests)[1].Address || got.Address != "address of "+got.Server {
				t.Errorf("the address is %q, that of the request %q", got.Address, (*requests)[1].Address)
			}
			got.Server, got.Address, got.Result, got.Start, got.Queue, got.Read = "", "", "", 0, 0, 0
			if got != tt.want {
				t.Errorf("the second attempt is %+v, want %+v", got, tt.want)
			}
		})
	}
}
