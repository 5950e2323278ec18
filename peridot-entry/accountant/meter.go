package accountant

import (
	"cmp"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"peridotswitch.example/peridot-entry/tracer"
)

// Meter records finished calls and probes in metrics; it is safe for concurrent use.
type Meter struct {
	scope tally.Scope
	mu    sync.Mutex
	calls map[labelValues]*callMetrics
	// probes are counters by service and result, refusals by service and cause.
	probes   map[labelValues]tally.Counter
	refusals map[labelValues]tally.Counter
	// strays are counters by service and whether the response named a request.
	strays map[labelValues]tally.Counter
	// markers are counters by service and whether the marker was sent.
	markers map[labelValues]tally.Counter
	// refused are counters of calls by service and whether an attempt had been made, serverRefusals of attempts by service and kind, unproven by
	// service and status, and unknown by service and phase.
	refused        map[labelValues]tally.Counter
	serverRefusals map[labelValues]tally.Counter
	unproven       map[labelValues]tally.Counter
	unknown        map[labelValues]tally.Counter
	// lost are counters by service and whether the attempt was replaced.
	lost map[labelValues]tally.Counter
	// faulty, crashes and limited are counters by service.
	faulty  map[string]tally.Counter
	crashes map[string]tally.Counter
	limited map[string]tally.Counter
	// tokens are counters by result.
	tokens map[string]tally.Counter
	// watchFailures are counters by cause.
	watchFailures map[string]tally.Counter
}

// labelValues are the service label and the value of the other label of a metric: outcome, result, cause, named, sent, attempted, kind,
// status or phase.
type labelValues struct{ service, value string }

// callMetrics are the metrics of the calls with one service and outcome.
type callMetrics struct {
	calls    tally.Counter
	missed   tally.Counter
	attempts tally.Counter
	duration tally.Histogram
}

// Buckets of the latency histogram: each bound is twice the one before, starting at half a millisecond.
const (
	firstLatencyBucket = 500 * time.Microsecond
	latencyBuckets     = 16
)

// NewMeter returns a Meter that creates its metrics in scope.
func NewMeter(scope tally.Scope) *Meter {
	return &Meter{
		scope: scope, calls: make(map[labelValues]*callMetrics), probes: make(map[labelValues]tally.Counter),
		refusals: make(map[labelValues]tally.Counter), strays: make(map[labelValues]tally.Counter), markers: make(map[labelValues]tally.Counter), lost: make(map[labelValues]tally.Counter), faulty: make(map[string]tally.Counter),
		refused: make(map[labelValues]tally.Counter), serverRefusals: make(map[labelValues]tally.Counter),
		unproven: make(map[labelValues]tally.Counter), unknown: make(map[labelValues]tally.Counter),
		crashes: make(map[string]tally.Counter), limited: make(map[string]tally.Counter),
		tokens: make(map[string]tally.Counter), watchFailures: make(map[string]tally.Counter),
	}
}

// RecordCall records a finished call; missed says whether it missed its objective.
func (m *Meter) RecordCall(t *tracer.Trace, missed bool) {
	c := m.callMetrics(labelValues{t.Service, t.Outcome})
	c.calls.Inc(1)
	c.attempts.Inc(int64(len(t.Attempts)))
	c.duration.RecordDuration(t.Total)
	if missed {
		c.missed.Inc(1)
	}
	if t.Cause != "" {
		m.counter(m.refusals, "refusals", "cause", labelValues{t.Service, t.Cause}).Inc(1)
		m.counter(m.refused, "refused_calls", "attempted", labelValues{t.Service, strconv.FormatBool(len(t.Attempts) > 0)}).Inc(1)
	}
	for i := range t.Attempts {
		m.recordAttempt(t.Service, &t.Attempts[i])
	}
}

const (
	// otherPhase is the label of attempts that failed outside the sender.
	otherPhase = "other"
	// contradictory is the label of attempts whose response says both that the server ran the call and that it did not.
	contradictory = "contradictory"
)

// recordAttempt counts an attempt that was refused, or may have been run though it failed, or whose status alone says that it was not run.
func (m *Meter) recordAttempt(service string, a *tracer.Attempt) {
	kind := a.RefusalKind
	if a.Contradictory {
		kind = contradictory
	}
	if kind != "" {
		m.counter(m.serverRefusals, "server_refusals", "kind", labelValues{service, kind}).Inc(1)
	}
	if a.MayHaveRun {
		m.counter(m.unknown, "unknown_attempts", "phase", labelValues{service, cmp.Or(a.Phase, otherPhase)}).Inc(1)
	}
	if a.Unproven {
		m.counter(m.unproven, "unproven_refusals", "status", labelValues{service, strconv.Itoa(a.Status)}).Inc(1)
	}
}

// RecordProbe counts a probe of a backend server's load and whether it was answered.
func (m *Meter) RecordProbe(service string, answered bool) {
	result := "silent"
	if answered {
		result = "answered"
	}
	m.counter(m.probes, "probes", "result", labelValues{service, result}).Inc(1)
}

// RecordStray counts a response that was dropped because it belongs to no request in flight; named says whether it has a request id.
func (m *Meter) RecordStray(service string, named bool) {
	m.counter(m.strays, "stray_responses", "named", labelValues{service, strconv.FormatBool(named)}).Inc(1)
}

// RecordMarker counts a response of which only a marker could tell whose it is, and whether the marker was sent.
func (m *Meter) RecordMarker(service string, sent bool) {
	m.counter(m.markers, "markers", "sent", labelValues{service, strconv.FormatBool(sent)}).Inc(1)
}

// RecordLost counts an attempt that has had no response for much longer than expected, and whether another one was made.
func (m *Meter) RecordLost(service string, replaced bool) {
	m.counter(m.lost, "lost_attempts", "replaced", labelValues{service, strconv.FormatBool(replaced)}).Inc(1)
}

// RecordFaulty counts a backend server that has become faulty.
func (m *Meter) RecordFaulty(service string) { m.countServer(m.faulty, "faulty_servers", service) }

// RecordCrash counts a backend server that crashed with calls of this entry in flight.
func (m *Meter) RecordCrash(service string) { m.countServer(m.crashes, "server_crashes", service) }

// SetEvacuatedZones sets the number of evacuated availability zones.
func (m *Meter) SetEvacuatedZones(n int) { m.scope.Gauge("evacuated_zones").Update(float64(n)) }

// RecordLimited counts a backend server that has begun to limit requests.
func (m *Meter) RecordLimited(service string) { m.countServer(m.limited, "limited_servers", service) }

// RecordToken counts a call of an account with a rate limit by where its token came from, or why there was none.
func (m *Meter) RecordToken(result string) { m.count(m.tokens, "account_tokens", "result", result) }

// RecordWatchFailure counts a watch of control that failed.
func (m *Meter) RecordWatchFailure(cause string) {
	m.count(m.watchFailures, "watch_failures", "cause", cause)
}

// SetWatchStuck records whether watches of control fail for a reason that retries can't mend.
func (m *Meter) SetWatchStuck(stuck bool) {
	v := 0.0
	if stuck {
		v = 1
	}
	m.scope.Gauge("watch_stuck").Update(v)
}

// RecordDroppedReports counts reports on requests that crash backend servers which could not be sent to control.
func (m *Meter) RecordDroppedReports(n int) { m.scope.Counter("dropped_reports").Inc(int64(n)) }

// count increments the counter for a value of a label and creates it if needed.
func (m *Meter) count(counters map[string]tally.Counter, name, label, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := counters[value]
	if c == nil {
		c = m.scope.Tagged(map[string]string{label: value}).Counter(name)
		counters[value] = c
	}
	c.Inc(1)
}

// countServer increments the counter of a service and creates it if needed.
func (m *Meter) countServer(counters map[string]tally.Counter, name, service string) {
	m.count(counters, name, "service", service)
}

// counter returns the counter for key and creates it if needed; label is the name of the label that holds key.value.
func (m *Meter) counter(counters map[labelValues]tally.Counter, name, label string, key labelValues) tally.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := counters[key]
	if c == nil {
		c = m.scope.Tagged(map[string]string{"service": key.service, label: key.value}).Counter(name)
		counters[key] = c
	}
	return c
}

// callMetrics returns the call metrics for key and creates them if needed.
func (m *Meter) callMetrics(key labelValues) *callMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.calls[key]; c != nil {
		return c
	}
	s := m.scope.Tagged(map[string]string{"service": key.service, "outcome": key.value})
	c := &callMetrics{
		calls:    s.Counter("calls"),
		missed:   s.Counter("calls_missed_objective"),
		attempts: s.Counter("attempts"),
		duration: s.Histogram("call_duration_seconds", tally.MustMakeExponentialDurationBuckets(firstLatencyBucket, 2, latencyBuckets)),
	}
	m.calls[key] = c
	return c
}
