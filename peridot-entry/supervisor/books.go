package supervisor

import (
	"net/http"

	"github.com/rs/zerolog"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/common/reporter"
	"peridotswitch.example/peridot-entry/accountant"
	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/tracer"
)

// books is what the entry keeps of finished calls: metrics, error budgets and the traces of slow and failed ones.
type books struct {
	metrics    *reporter.Metrics
	meter      *accountant.Meter
	accountant *accountant.Accountant
	slow       *tracer.Recorder
}

func newBooks(log zerolog.Logger, current func() *parser.Configuration) (*books, error) {
	metrics, err := reporter.NewMetrics(reporter.MetricsConfig{Program: "peridot_entry", Log: log})
	if err != nil {
		return nil, err
	}
	return &books{
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
		slow: tracer.NewRecorder(tracer.RecorderConfig{}),
	}, nil
}

// finished counts an ended call, keeps its trace when it missed its objective, and reports whether it did.
func (b *books) finished(t *tracer.Trace) (missed bool) {
	missed = b.accountant.Add(accountant.Sample{
		Service:    t.Service,
		Latency:    t.Total - t.Receive,
		Good:       t.Outcome == string(dispatcher.Ran) && t.Status < http.StatusInternalServerError,
		CallerLeft: t.CallerLeft,
	})
	b.meter.RecordCall(t, missed)
	if missed {
		b.slow.Record(t)
	}
	return missed
}

func (b *books) close() error { return b.metrics.Close() }
