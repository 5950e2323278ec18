package supervisor

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"peridotswitch.example/peridot-control/arbiter"
)

// gaugesInterval is how often the gauges follow the member's state.
const gaugesInterval = time.Second

// gauges follow the state of the other parts.
type gauges struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newGauges(s *Supervisor) *gauges {
	ctx, cancel := context.WithCancel(context.Background())
	g := &gauges{cancel: cancel}
	g.wg.Go(func() {
		for ctx.Err() == nil {
			s.readGauges(s.metrics.Scope)
			select {
			case <-ctx.Done():
			case <-time.After(gaugesInterval):
			}
		}
	})
	return g
}

func (g *gauges) close() {
	g.cancel()
	g.wg.Wait()
}

func (s *Supervisor) readGauges(scope tally.Scope) {
	st := s.replicator.Status()
	leads := 0.0
	if st.IsLeader {
		leads = 1
	}
	scope.Gauge("leads").Update(leads)
	scope.Gauge("term").Update(float64(st.Term))
	scope.Gauge("applied_index").Update(float64(st.Applied))
	scope.Gauge("members").Update(float64(len(st.Members)))
	scope.Gauge("revision").Update(float64(s.store.current().Revision))
	scope.Gauge("alarms").Update(float64(len(s.steward.Alarms())))
}

// count counts operators' changes and changes of backend servers that this member has put through the log as its leader.
func (s *Supervisor) count(cmd arbiter.Command, v arbiter.ChangeResult, err error) {
	for i := range cmd.Servers {
		held := "held"
		if err != nil {
			held = "failed"
		}
		s.metrics.Scope.Tagged(map[string]string{"state": string(cmd.Servers[i].State), "result": held}).Counter("server_changes").Inc(1)
	}
	if cmd.Change == nil {
		return
	}
	result := "refused"
	switch {
	case err != nil:
		result = "failed"
	case v.Accepted:
		result = "accepted"
	}
	s.metrics.Scope.Tagged(map[string]string{"result": result}).Counter("changes").Inc(1)
}
