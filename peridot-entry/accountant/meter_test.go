package accountant

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"peridotswitch.example/peridot-entry/tracer"
)

var _ = Describe("a meter", func() {
	for name, c := range map[string]struct {
		trace tracer.Trace
		want  []string
	}{
		"a call refused before an attempt": {tracer.Trace{Outcome: "not-run", Cause: "no-server"}, []string{"refused_calls+attempted=false,service=s"}},
		"a call refused after two refusals": {
			tracer.Trace{Outcome: "not-run", Cause: "servers-shed", Attempts: []tracer.Attempt{{Refusal: "named", RefusalKind: "stated"}, {Refusal: "first", RefusalKind: "wrong-server"}, {Contradictory: true}}},
			[]string{"refused_calls+attempted=true,service=s", "server_refusals+kind=stated,service=s", "server_refusals+kind=wrong-server,service=s", "server_refusals+kind=contradictory,service=s"},
		},
		"a call without a known outcome": {
			tracer.Trace{Outcome: "unknown", Attempts: []tracer.Attempt{{Phase: "connect"}, {MayHaveRun: true, Phase: "wait"}, {MayHaveRun: true}, {Unproven: true, Status: 429}}},
			[]string{"unknown_attempts+phase=wait,service=s", "unknown_attempts+phase=other,service=s", "unproven_refusals+service=s,status=429"},
		},
		"a call that ran": {tracer.Trace{Outcome: "ran", Attempts: []tracer.Attempt{{Status: 200, Written: true, Result: tracer.Answered}}}, nil},
	} {
		It("counts "+name, func() {
			scope := tally.NewTestScope("", nil)
			c.trace.Service = "s"
			NewMeter(scope).RecordCall(&c.trace, false)
			var counted []string
			for key, counter := range scope.Snapshot().Counters() {
				switch counter.Name() {
				case "refused_calls", "server_refusals", "unproven_refusals", "unknown_attempts":
					Expect(counter.Value()).To(BeEquivalentTo(1))
					counted = append(counted, key)
				}
			}
			Expect(counted).To(ConsistOf(c.want))
		})
	}
})
