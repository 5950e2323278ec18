package supervisor

import (
	"net/http"

	"github.com/rs/zerolog"

	"peridotswitch.example/common/admitter"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/common/reporter"
	"peridotswitch.example/peridot-entry/accountant"
	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/tracer"
)

// callStats holds what the entry records about finished calls: metrics, error budgets, and traces of slow and failed calls.
type callStats struct {
	metrics    *reporter.Metrics
	meter      *accountant.Meter
	accountant *accountant.Accountant
	traces     *tracer.Recorder
}

func newCallStats(log zerolog.Logger, current func() *parser.Configuration, a *admitter.Admitter) (*callStats, error) {
	metrics, err := reporter.NewMetrics(reporter.MetricsConfig{Program: "peridot_entry", Log: log})
	if err != nil {
		return nil, err
	}
	a.Count(metrics.Scope)
	return &callStats{
		metrics: metrics,
		meter:   accountant.NewMeter(metrics.Scope),
		accountant: accountant.New(accountant.Config{Objective: func(service string) (o parser.Objective, ok bool) {
			cfg := current()
			if cfg == nil {
				return o, false
			}
			if cfg.Routing != nil {
				return cfg.Routing.Objective(service)
			}
			s := cfg.Inventory.Service(service)
			if s == nil {
				return o, false
			}
			return s.Objective, true
		}}),
		traces: tracer.NewRecorder(tracer.RecorderConfig{}),
	}, nil
}

// record counts a finished call and reports whether it missed its objective; if so, it also keeps the call's trace.
func (c *callStats) record(t *tracer.Trace) (missed bool) {
	missed = c.accountant.Add(accountant.Sample{
		Service:    t.Service,
		Latency:    t.Total - t.Receive,
		Good:       t.Outcome == string(dispatcher.Ran) && t.Status < http.StatusInternalServerError,
		CallerLeft: t.CallerLeft,
	})
	c.meter.RecordCall(t, missed)
	if missed {
		c.traces.Record(t)
	}
	return missed
}

func (c *callStats) close() error { return c.metrics.Close() }
