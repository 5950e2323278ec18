package supervisor

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"peridotswitch.example/peridot-entry/accountant"
	"peridotswitch.example/peridot-entry/quarantiner"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// counterValue returns the sum of the counters of a name.
func counterValue(scope tally.TestScope, name string) (sum int64) {
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == name {
			sum += c.Value()
		}
	}
	return sum
}

// A report that control doesn't take must be given up, counted and logged, or it is sent again with each watch. The others must remain.
func TestDroppedReports(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	var log bytes.Buffer
	s := &Routed{stats: &callStats{meter: accountant.NewMeter(scope)}, cfg: RoutedConfig{Log: zerolog.New(&log)}}
	s.quarantiner = quarantiner.New(quarantiner.Config{
		Now: time.Now,
		Send: func(context.Context, *sender.Request) (*sender.Response, error) {
			return nil, &sender.Error{Phase: sender.Waiting, Written: true, Err: io.EOF}
		},
		ConnectionRefused: func(string) bool { return true },
		Find:              func(registrar.Key) (registrar.Server, bool) { return registrar.Server{Incarnation: 1}, true },
		OnReport:          func() {},
		OnChange:          func(quarantiner.ContainedRequest, bool) {},
	})
	defer s.quarantiner.Close()
	crash := func(path string) {
		_, _ = s.quarantiner.Send(t.Context(), &sender.Request{
			Address: path, Server: registrar.Key{Service: "s", InstanceID: path}, Incarnation: 1, Method: "GET", Path: path,
		})
	}
	crash("/C\xf3rdoba")
	sent := s.quarantiner.Reports()
	if list := s.encodeReports(sent); len(list) != 1 || counterValue(scope, "dropped_reports") != 0 {
		t.Fatalf("%d reports are sent and %d dropped, want one and none", len(list), counterValue(scope, "dropped_reports"))
	}
	crash("/b")
	s.dropReports(sent)
	left := s.quarantiner.Reports()
	if len(left) != 1 || left[0].Path != "/b" {
		t.Errorf("%d reports are left, want that of /b", len(left))
	}
	if n := counterValue(scope, "dropped_reports"); n != 1 || strings.Count(log.String(), "reports of crashes dropped") != 1 {
		t.Errorf("%d dropped reports are counted, the log is %s", n, &log)
	}
	if s.dropReports(nil); strings.Count(log.String(), "\n") != 1 {
		t.Errorf("no dropped report is logged too: %s", &log)
	}
}

// A control member of an earlier build counts the crashes that a clearing names, and would contain a request that a server has run.
func TestClearingEndsForEarlierControlMembers(t *testing.T) {
	s := &Routed{}
	list := s.encodeReports([]*quarantiner.CrashReport{{Fingerprint: "f", Cleared: true, Crashes: []quarantiner.Crash{{InstanceID: "a", Incarnation: 1}}}, {Fingerprint: "g"}})
	if len(list) != 3 || len(list[0].Crashes) != 1 || list[1].Fingerprint != "f" || !list[1].Cleared || len(list[1].Crashes) > 0 || list[2].Fingerprint != "g" {
		t.Errorf("the reports are %v, want the clearing of f twice, first with its crash, and g", list)
	}
}

// An entry whose watches fail must not fill its log, and must say once that this won't end by itself.
func TestWatchErrorsAreLogged(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	var log bytes.Buffer
	logError := logWatchErrors(zerolog.New(&log))
	for range 1000 {
		logError(errors.New("no leader"))
	}
	// The 1000 errors may last longer than watchLogPeriod on a busy machine.
	if n := strings.Count(log.String(), "control not reached"); n < watchLogBurst || n > 10*watchLogBurst {
		t.Errorf("%d of 1000 errors are logged", n)
	}
	log.Reset()
	meter := accountant.NewMeter(scope)
	stuck := func() float64 { return scope.Snapshot().Gauges()["watch_stuck+"].Value() }
	recordStuck(zerolog.New(&log), meter, errors.New("no UTF-8"))
	if !strings.Contains(log.String(), "configuration can't be followed") || stuck() != 1 {
		t.Errorf("watch_stuck is %v, the log is %s", stuck(), &log)
	}
	if recordStuck(zerolog.New(&log), meter, nil); !strings.Contains(log.String(), "configuration is followed again") || stuck() != 0 {
		t.Errorf("watch_stuck is %v, the log is %s", stuck(), &log)
	}
}
