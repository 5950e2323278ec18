package deliverer

import (
	"context"
	"testing"
	"time"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/peridot-control/arbiter"
)

// Guards against reports that end at a member which can't pass them on: an entry sends a report to another member only if the first one refuses it.
func TestReportIsTakenOnlyWhereItIsPassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		confirmed time.Time
		members   int
		taken     bool
	}{
		"confirmed by the leader":         {now.Add(-isolationTimeout / 2), 3, true},
		"not confirmed for a while":       {now.Add(-2 * isolationTimeout), 3, false},
		"process that is no member (yet)": {now, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := &Deliverer{
				cfg: Config{
					Now:          func() time.Time { return now },
					Status:       func() Status { return Status{Members: make([]*delivererpb.ControlMember, tt.members)} },
					IsListed:     func(string) bool { return false },
					IsRegistered: func(string) bool { return false },
					Current:      func() arbiter.Configuration { return arbiter.Configuration{} },
				},
				confirmed: tt.confirmed, reports: newReportLog(), renewSignal: make(chan struct{}, 1),
				pending: make(map[string]*delivererpb.EntryMember), lastQueued: make(map[string]queuedEntry),
			}
			_, err := d.Report(context.Background(), &delivererpb.WatchRequest{
				InstanceId: "e1", Revision: 3, Stopping: true,
				ServerReports: []*delivererpb.ServerReport{{InstanceId: "i-1", RateLimit: &delivererpb.RateLimit{Limited: true, PerSecond: 2}}},
				Suspects:      []*delivererpb.Suspect{{Fingerprint: "f"}},
			})
			if taken := err == nil; taken != tt.taken {
				t.Fatalf("error is %v, want the report taken: %t", err, tt.taken)
			}
			m, reports, suspects := d.pending["e1"], d.reports.takePending(), d.suspects.take()
			if tt.taken && (m == nil || !m.Stopping || m.Revision != 3 || len(reports) != 1 || len(suspects) != 1) {
				t.Errorf("queued for the leader: %v, %v, %v", m, reports, suspects)
			}
			if !tt.taken && (m != nil || len(reports) > 0 || len(suspects) > 0) {
				t.Errorf("a refused report is queued: %v, %v, %v", m, reports, suspects)
			}
		})
	}
}
