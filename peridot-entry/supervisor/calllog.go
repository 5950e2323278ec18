package supervisor

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/tracer"
)

// ordinaryEvery is of how many calls that one attempt answered one is logged; all others are logged.
const ordinaryEvery = 20

// callLog writes a line for each call that needs an explanation, and for some of the others.
type callLog struct {
	log   zerolog.Logger
	calls atomic.Uint64
}

func newCallLog(log zerolog.Logger) *callLog { return &callLog{log: log} }

func (l *callLog) write(t *tracer.Trace, missed bool) {
	n := l.calls.Add(1)
	ordinary := t.Outcome == string(dispatcher.Ran) && len(t.Attempts) == 1 && t.Status < 500 && !missed
	if ordinary && n%ordinaryEvery != 0 {
		return
	}
	event := l.log.Info().Str("request-id", t.RequestID).Str("service", t.Service).Str("outcome", t.Outcome).Int("status", t.Status).
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
	if len(t.Attempts) > 0 {
		event = event.Array("attempts", attempts(t.Attempts))
	}
	event.Msg("call")
}

// attempts logs where each attempt went and how it ended.
type attempts []tracer.Attempt

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (list attempts) MarshalZerologArray(a *zerolog.Array) {
	for i := range list {
		at := &list[i]
		a.Dict(zerolog.Dict().Str("server", at.Server).Dur("start-ms", at.Start).Dur("connect-ms", at.Connect).Dur("wait-ms", at.Wait).
			Dur("read-ms", at.Read).Str("result", at.Result))
	}
}
