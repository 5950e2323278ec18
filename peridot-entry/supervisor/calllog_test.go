package supervisor

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peridotswitch.example/peridot-entry/receiver"
	"peridotswitch.example/peridot-entry/tracer"
)

// Guards against callers that fill the log with refusals that cost them nothing.
func TestRefusalsBeforeACallAreLoggedAtALimitedRate(t *testing.T) {
	for _, cause := range []string{receiver.CauseAccountLimit, receiver.CauseUnknownKey, receiver.CauseUnconfirmedKey} {
		var out bytes.Buffer
		l := newCallLog(zerolog.New(&out))
		const calls = 100_000
		for range calls {
			l.write(&tracer.Trace{Outcome: "not-run", Status: 401, Cause: cause}, false)
		}
		// 100,000 lines take well under 100 s, in which 500 may be logged.
		if lines := strings.Count(out.String(), "\n"); lines == 0 || lines > 100*limitedLogBurst {
			t.Errorf("%s: %d of %d calls are logged", cause, lines, calls)
		}
	}
}

// Guards against lines that leave out, or show wrongly, what tells the causes of a call that was refused although it ran apart, and against
// routine calls that fill the log with it.
func TestCallLogShowsWhatWasSent(t *testing.T) {
	refused := tracer.Attempt{
		Server: "i-1", Address: "10.0.0.1:80", LocalPort: 4001, Exchange: 2, Status: 421, Refusal: "named", RefusalKind: "wrong-server", Contradictory: true,
		Written: true, Result: "shed",
	}
	answered := tracer.Attempt{Server: "i-1", Address: "10.0.0.1:80", LocalPort: 4001, Exchange: 2, Status: 200, Written: true, Result: tracer.Answered}
	for name, tt := range map[string]struct {
		trace        tracer.Trace
		want, absent []string
	}{
		"refused after an attempt": {
			tracer.Trace{Outcome: "not-run", Status: 503, NoRetry: "no-server", Attempts: []tracer.Attempt{refused, {Server: "i-2", Result: "connect: refused"}}},
			[]string{`"no-retry":"no-server"`, `"exchange":2,"refusal":"named","address":"10.0.0.1:80","local-port":4001,"status":421,"refusal-kind":"wrong-server","contradictory":true,"written":true`,
				`"result":"connect: refused","written":false`}, []string{`"sent"`, "unproven", "chunked", "unlisted", "caller"},
		},
		"refused before an attempt": {
			tracer.Trace{Outcome: "not-run", Status: 503, Chunked: true, Body: 12 * time.Millisecond, BodyBytes: 300, Caller: "10.0.0.9:1", CallerRequest: 4},
			[]string{`"sent":false`, `"chunked":true,"body-bytes":300,"body-ms":12`, `"caller":"10.0.0.9:1","caller-request":4`}, []string{"attempts", "no-retry"},
		},
		"an attempt that isn't listed": {
			tracer.Trace{Outcome: "not-run", Status: 503, Unlisted: 1}, []string{`"unlisted-attempts":1`}, []string{`"sent"`},
		},
		"a status without proof": {
			tracer.Trace{Outcome: "unknown", Status: 502, Attempts: []tracer.Attempt{{Status: 503, Unproven: true, Written: true, Result: tracer.Answered}}},
			[]string{`"status":503,"unproven":true`}, []string{`"written"`},
		},
		"a late call": {
			tracer.Trace{Outcome: "ran", Status: 200, Caller: "10.0.0.9:1", CallerRequest: 4, BodyBytes: 3, Attempts: []tracer.Attempt{answered}},
			[]string{`"exchange":2}`}, []string{"address", "local-port", "caller", "body", "written"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			newCallLog(zerolog.New(&out)).write(&tt.trace, true)
			for _, want := range tt.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("the line has no %s: %s", want, out.String())
				}
			}
			for _, absent := range tt.absent {
				if strings.Contains(out.String(), absent) {
					t.Errorf("the line has %s: %s", absent, out.String())
				}
			}
		})
	}
}
