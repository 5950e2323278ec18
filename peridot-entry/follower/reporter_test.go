package follower

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"peridotswitch.example/common/delivererpb"
)

// reportingMember is a control member that holds back its reply to a watch, and its reports.
type reportingMember struct {
	delivererpb.Deliverer
	state *fakeControl
	// hold is how long a reply is held back.
	hold time.Duration

	mu      sync.Mutex
	refuse  error
	reports []*delivererpb.WatchRequest
}

func (m *reportingMember) Watch(ctx context.Context, req *delivererpb.WatchRequest) (*delivererpb.WatchReply, error) {
	if req.Revision > 0 {
		select {
		case <-time.After(m.hold):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return m.state.Watch(ctx, req)
}

func (m *reportingMember) Report(_ context.Context, req *delivererpb.WatchRequest) (*delivererpb.ReportReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports = append(m.reports, req)
	return &delivererpb.ReportReply{}, m.refuse
}

func (m *reportingMember) received() []*delivererpb.WatchRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reports
}

func newReportingMember(t *testing.T, hold time.Duration) (m *reportingMember, address string) {
	state, _ := startControl(t, "127.0.0.1:1")
	m = &reportingMember{state: state, hold: hold}
	return m, startMember(t, delivererpb.NewDelivererServer(m))
}

func newReportingConfig(addresses ...string) Config {
	return Config{
		InstanceID: "e1", Control: addresses, ServeUnconfirmed: true, OnError: func(error) {},
		NewWatchRequest: func() *delivererpb.WatchRequest { return &delivererpb.WatchRequest{InstanceId: "e1"} },
		NewReport: func() (*delivererpb.WatchRequest, func()) {
			return &delivererpb.WatchRequest{InstanceId: "e1"}, func() {}
		},
	}
}

// reportEvery calls ReportNow at an interval until the test ends.
func reportEvery(t *testing.T, f *Follower, interval time.Duration) {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(interval):
				f.ReportNow()
			}
		}
	}()
}

// Guards against an entry that learns of no evacuation, server or confirmation while backend servers change their limits: a report must not
// end the watch whose reply control holds back to collect changes.
func TestReportsLeaveTheWatchUnderWay(t *testing.T) {
	member, address := newReportingMember(t, 100*time.Millisecond)
	var confirmed atomic.Int32
	cfg := newReportingConfig(address)
	cfg.OnConfirmed = func() { confirmed.Add(1) }
	f := New(cfg)
	defer f.Close()
	waitFor(t, "service", f.CanServe)
	reportEvery(t, f, 10*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	before := confirmed.Load()
	member.state.set(1, "a")
	start := time.Now()
	waitFor(t, "the evacuated zone", func() bool { return len(f.EvacuatedZones()) > 0 })
	waitFor(t, "a confirmation", func() bool { return confirmed.Load() > before })
	if took := time.Since(start); took > time.Second {
		t.Errorf("the entry learned of it after %v", took)
	}
}

// Guards against an entry that stays with a control member which no longer answers, and keeps an old configuration, while backend servers
// change their limits: a report must not extend the time limit of a watch.
func TestReportsDoNotExtendAWatch(t *testing.T) {
	silent := make(chan struct{})
	paused := startMember(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-silent }))
	t.Cleanup(func() { close(silent) })
	member, address := newReportingMember(t, 0)
	// Entries choose their first member by their id.
	for _, addresses := range [][]string{{paused, address}, {address, paused}} {
		member.state.set(1, "a")
		start := time.Now()
		f := New(newReportingConfig(addresses...))
		defer f.Close()
		reportEvery(t, f, 100*time.Millisecond)
		waitFor(t, "the evacuated zone", func() bool { return len(f.EvacuatedZones()) > 0 })
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("the entry left the member that doesn't answer after %v", took)
		}
	}
}

// Guards against limits of backend servers that no other entry learns of because the member that the entry watches doesn't take them, and
// against faults that count twice.
func TestReportGoesToAnotherMember(t *testing.T) {
	tests := map[string]struct {
		refuse error
		// want is the number of members that get the report.
		want int
	}{
		"taken":                          {nil, 1},
		"isolated member":                {twirp.NewError(twirp.Unavailable, "the leader has confirmed nothing here for a while"), 2},
		"member of an earlier build":     {twirp.NewError(twirp.BadRoute, "no handler for path"), 1},
		"report that can't be delivered": {twirp.NewError(twirp.Malformed, "too large"), 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := &reportingMember{refuse: tt.refuse}, &reportingMember{}
			var addresses []string
			for _, m := range []*reportingMember{first, second} {
				addresses = append(addresses, startMember(t, delivererpb.NewDelivererServer(m)))
			}
			cfg := newReportingConfig()
			reports := [][]*delivererpb.ServerReport{{{InstanceId: "i-1", Faults: 3, RateLimit: &delivererpb.RateLimit{Limited: true, PerSecond: 5}}, {InstanceId: "i-2", Faults: 1}}}
			var taken atomic.Int32
			cfg.NewReport = func() (*delivererpb.WatchRequest, func()) {
				req := &delivererpb.WatchRequest{InstanceId: "e1"}
				if len(reports) > 0 {
					req.ServerReports, reports = reports[0], reports[1:]
				}
				return req, func() { taken.Add(1) }
			}
			f := &Follower{cfg: cfg, wake: make(chan struct{}, 1)}
			f.members.Store(&addresses)
			ctx, cancel := context.WithCancel(context.Background())
			defer f.wg.Wait()
			defer cancel()
			f.wg.Go(func() { f.sendReports(ctx) })
			f.ReportNow()
			if tt.want == 1 {
				waitFor(t, "the report", func() bool { return len(first.received()) == 1 })
				time.Sleep(2 * reportInterval)
				if n := len(second.received()); n > 0 || (taken.Load() == 1) != (tt.refuse == nil) {
					t.Errorf("another member got %d reports; taken: %d", n, taken.Load())
				}
				return
			}
			waitFor(t, "the report at another member", func() bool { return taken.Load() == 1 })
			got := second.received()
			if len(got) != 1 || len(got[0].ServerReports) != 1 || got[0].ServerReports[0].Faults != 0 || got[0].ServerReports[0].RateLimit.GetPerSecond() != 5 {
				t.Errorf("the other member got %v, want the limit alone", got)
			}
		})
	}
}
