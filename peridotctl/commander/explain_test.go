package commander

import "testing"

// Guards against an explanation that leaves out that nothing was written, or that shows what says nothing.
func TestExplainedAttempt(t *testing.T) {
	for name, tt := range map[string]struct {
		attempt explainAttempt
		want    string
	}{
		"not written": {explainAttempt{Address: "10.0.0.1:80"}, "address 10.0.0.1:80, written false"},
		"refused": {
			explainAttempt{Address: "10.0.0.1:80", LocalPort: 4001, Exchange: 2, Status: 421, Refusal: "named", RefusalKind: "wrong-server", Contradictory: true, Written: true},
			`address 10.0.0.1:80, local-port 4001, exchange 2, status 421, refusal "named", refusal-kind "wrong-server", contradictory true, written true`,
		},
		"without proof": {explainAttempt{Status: 503, Unproven: true, Written: true}, "status 503, unproven true, written true"},
		"no response":   {explainAttempt{Written: true, MayHaveRun: true}, "written true, may-have-run true"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := tt.attempt.details(); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
