package supervisor

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"peridotswitch.example/peridot-control/arbiter"
)

// gaugeInterval is the interval between updates of the gauges.
const gaugeInterval = time.Second

// gauges periodically updates the gauges with the state of the other components.
type gauges struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newGauges(s *Supervisor) *gauges {
	ctx, cancel := context.WithCancel(context.Background())
	g := &gauges{cancel: cancel}
	g.wg.Go(func() {
		for ctx.Err() == nil {
			s.updateGauges(s.metrics.Scope)
			select {
			case <-ctx.Done():
			case <-time.After(gaugeInterval):
			}
		}
	})
	return g
}

func (g *gauges) close() {
	g.cancel()
	g.wg.Wait()
}

func (s *Supervisor) updateGauges(scope tally.Scope) {
	st := s.replicator.Status()
	isLeader := 0.0
	if st.IsLeader {
		isLeader = 1
	}
	scope.Gauge("leads").Update(isLeader)
	scope.Gauge("term").Update(float64(st.Term))
	scope.Gauge("applied_index").Update(float64(st.Applied))
	scope.Gauge("members").Update(float64(len(st.Members)))
	scope.Gauge("revision").Update(float64(s.store.current().Revision))
	scope.Gauge("evacuated_zones").Update(float64(len(s.store.evacuations().Zones)))
	scope.Gauge("alarms").Update(float64(len(s.steward.Alarms())))
}

// countCommand counts the configuration changes, evacuations and backend server updates of a command that this member proposed as the leader.
func (s *Supervisor) countCommand(cmd arbiter.Command, changeResult arbiter.ChangeResult, err error) {
	for i := range cmd.Servers {
		result := "held"
		if err != nil {
			result = "failed"
		}
		s.metrics.Scope.Tagged(map[string]string{"state": string(cmd.Servers[i].State), "result": result}).Counter("server_changes").Inc(1)
	}
	result := "refused"
	switch {
	case err != nil:
		result = "failed"
	case changeResult.Accepted:
		result = "accepted"
	}
	if cmd.Change != nil {
		s.metrics.Scope.Tagged(map[string]string{"result": result}).Counter("changes").Inc(1)
	}
	if cmd.Evacuation != nil {
		action := "start"
		if cmd.Evacuation.End {
			action = "end"
		}
		s.metrics.Scope.Tagged(map[string]string{"action": action, "result": result}).Counter("evacuations").Inc(1)
	}
}
