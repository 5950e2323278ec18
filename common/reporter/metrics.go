package reporter

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is the interval at which tally reports its values to the Prometheus registry.
const metricsInterval = time.Second

// DefaultLogInterval is the default interval at which the counters are logged.
const DefaultLogInterval = 10 * time.Second

// MetricsConfig configures Metrics.
type MetricsConfig struct {
	// Program is the prefix of each metric's name, such as peridot_entry.
	Program string
	Log     zerolog.Logger
	// LogInterval is the interval at which the counters are logged; DefaultLogInterval when zero.
	LogInterval time.Duration
}

// Metrics holds a program's counters, gauges and histograms.
type Metrics struct {
	// Scope creates the metrics.
	Scope    tally.Scope
	program  string
	registry *prometheus.Registry
	closer   io.Closer
	stop     chan struct{}
	done     chan struct{}
}

// NewMetrics starts reporting metrics and logging the counters at an interval; Close stops both.
func NewMetrics(cfg MetricsConfig) (m *Metrics, err error) {
	defer func() { err = errors.WithMessage(err, "start metrics") }()
	if cfg.LogInterval == 0 {
		cfg.LogInterval = DefaultLogInterval
	}
	m = &Metrics{program: cfg.Program, registry: prometheus.NewRegistry(), stop: make(chan struct{}), done: make(chan struct{})}
	if err = m.registry.Register(collectors.NewGoCollector()); err != nil {
		return nil, err
	}
	dropped := prometheus.NewCounterFunc(
		prometheus.CounterOpts{Name: cfg.Program + "_dropped_log_lines", Help: "log lines dropped because their reader was too slow"},
		func() float64 { return float64(droppedLines.Load()) },
	)
	if err = m.registry.Register(dropped); err != nil {
		return nil, err
	}
	r := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer: m.registry,
		Gatherer:   m.registry,
		OnRegisterError: func(err error) {
			cfg.Log.Error().Err(err).Msg("failed to register metric")
		},
	})
	m.Scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 cfg.Program,
		Separator:              tallyprometheus.DefaultSeparator,
		CachedReporter:         r,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	go func() {
		defer close(m.done)
		t := time.NewTicker(cfg.LogInterval)
		defer t.Stop()
		for {
			select {
			case <-m.stop:
				return
			case <-t.C:
				m.logCounters(cfg.Log)
			}
		}
	}()
	return m, nil
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close stops reporting and logging.
func (m *Metrics) Close() error {
	close(m.stop)
	<-m.done
	return m.closer.Close()
}

// logCounters logs one line with the program's counters, each summed over its labels.
func (m *Metrics) logCounters(log zerolog.Logger) {
	families, err := m.registry.Gather()
	if err != nil {
		log.Error().Err(err).Msg("failed to gather counters")
		return
	}
	event := log.Info()
	for _, f := range families {
		if sum, ok := sumCounters(f); ok && strings.HasPrefix(f.GetName(), m.program) {
			event = event.Float64(kebabCase(f.GetName()), sum)
		}
	}
	event.Msg("counters")
}
