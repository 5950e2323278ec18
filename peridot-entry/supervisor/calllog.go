package supervisor

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/receiver"
	"peridotswitch.example/peridot-entry/tracer"
)

// sampleInterval is the sampling interval for routine calls in the log: one in sampleInterval is logged. A call is routine if its only
// attempt succeeded within the objective; all other calls are logged.
const sampleInterval = 20

const (
	// limitedLogBurst is how many calls over the rate limits of their accounts, and how many without a known key, are logged in
	// limitedLogPeriod; callers may send any number of both.
	limitedLogBurst  = 5
	limitedLogPeriod = time.Second
)

// callLog logs every call that was not routine and a sample of the routine ones.
type callLog struct {
	log zerolog.Logger
	// limited logs the calls that were refused because of the rate limits of their accounts.
	limited zerolog.Logger
	// unauthenticated logs the calls that were refused because of their keys.
	unauthenticated zerolog.Logger
	calls           atomic.Uint64
}

func newCallLog(log zerolog.Logger) *callLog {
	sampled := func() zerolog.Logger {
		return log.Sample(&zerolog.BurstSampler{Burst: limitedLogBurst, Period: limitedLogPeriod})
	}
	return &callLog{log: log, limited: sampled(), unauthenticated: sampled()}
}

func (l *callLog) write(t *tracer.Trace, missed bool) {
	n := l.calls.Add(1)
	routine := t.Outcome == string(dispatcher.Ran) && len(t.Attempts) == 1 && t.Status < 500 && !missed
	if routine && n%sampleInterval != 0 {
		return
	}
	log := l.log
	switch t.Cause {
	case receiver.CauseAccountLimit:
		log = l.limited
	case receiver.CauseUnknownKey, receiver.CauseUnconfirmedKey:
		log = l.unauthenticated
	}
	event := log.Info().Str("request-id", t.RequestID).Str("service", t.Service).Str("outcome", t.Outcome).Int("status", t.Status).
		Uint64("routing", t.Revision).Dur("total-ms", t.Total).Dur("queue-ms", t.Queue)
	if t.Waited > 0 {
		event = event.Dur("waited-ms", t.Waited)
	}
	if missed {
		event = event.Bool("missed-objective", true)
	}
	if t.CallerLeft {
		event = event.Bool("caller-left", true)
	}
	if t.Cause != "" {
		event = event.Str("cause", t.Cause)
	}
	if len(t.Notes) > 0 {
		event = event.Strs("notes", t.Notes)
	}
	detailed := t.Outcome != string(dispatcher.Ran) || len(t.Attempts) != 1
	if detailed {
		event = logDetails(event, t)
	}
	if len(t.Attempts) > 0 {
		event = event.Array("attempts", attempts{t.Attempts, detailed})
	}
	event.Msg("call")
}

// logDetails adds how the request came in and why nothing more was sent, apart from what says nothing.
func logDetails(event *zerolog.Event, t *tracer.Trace) *zerolog.Event {
	if t.Caller != "" {
		event = event.Str("caller", t.Caller)
	}
	if t.CallerRequest > 0 {
		event = event.Int("caller-request", t.CallerRequest)
	}
	if t.Chunked {
		event = event.Bool("chunked", true)
	}
	if t.BodyBytes > 0 || t.Chunked {
		event = event.Int("body-bytes", t.BodyBytes).Dur("body-ms", t.Body)
	}
	if t.Outcome == string(dispatcher.NotRun) && len(t.Attempts) == 0 && t.Unlisted == 0 {
		event = event.Bool("sent", false)
	}
	if t.NoRetry != "" {
		event = event.Str("no-retry", t.NoRetry)
	}
	if t.Unlisted != 0 {
		event = event.Int("unlisted-attempts", t.Unlisted)
	}
	return event
}

// attempts logs the backend server, times and result of each attempt; detailed adds its connection and what is known of its outcome.
type attempts struct {
	list     []tracer.Attempt
	detailed bool
}

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l attempts) MarshalZerologArray(a *zerolog.Array) {
	for i := range l.list {
		at := &l.list[i]
		d := zerolog.Dict().Str("server", at.Server).Dur("start-ms", at.Start).Dur("connect-ms", at.Connect).Dur("wait-ms", at.Wait).
			Dur("read-ms", at.Read).Str("result", at.Result)
		if at.Exchange > 0 {
			d = d.Int("exchange", at.Exchange)
		}
		if at.Refusal != "" {
			d = d.Str("refusal", at.Refusal)
		}
		if l.detailed {
			d = logAttemptDetails(d, at)
		}
		if at.Fingerprint != "" {
			d = d.Str("fingerprint", at.Fingerprint)
		}
		a.Dict(d)
	}
}

func logAttemptDetails(d *zerolog.Event, at *tracer.Attempt) *zerolog.Event {
	if at.Address != "" {
		d = d.Str("address", at.Address)
	}
	if at.LocalPort > 0 {
		d = d.Int("local-port", at.LocalPort)
	}
	if at.Status > 0 {
		d = d.Int("status", at.Status)
	}
	if at.RefusalKind != "" {
		d = d.Str("refusal-kind", at.RefusalKind)
	}
	if at.Contradictory {
		d = d.Bool("contradictory", true)
	}
	if at.Unproven {
		d = d.Bool("unproven", true)
	}
	if at.Result != tracer.Answered && at.Result != tracer.Canceled {
		d = d.Bool("written", at.Written)
	}
	return d
}
