package deliverer

import (
	"testing"
	"time"

	"peridotswitch.example/common/delivererpb"
)

func report(id string, n uint32) []*delivererpb.ServerReport {
	return []*delivererpb.ServerReport{{Service: "s", InstanceId: id, Incarnation: 1, Faults: n}}
}

func TestReportsReachOtherMembersOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	leader, member := newReportLog(), newReportLog()
	_, leaderVersion := leader.since(0, now)
	member.addFromLeader(nil, leaderVersion, now)
	_, watcher := member.since(0, now)

	member.add(report("i-1", 1))
	member.add(report("i-1", 2))
	leader.publish(member.takePending(), now)
	if again := member.takePending(); len(again) > 0 {
		t.Errorf("%d reports are sent to the leader twice", len(again))
	}
	reports, version := leader.since(member.leaderVersion(), now)
	member.addFromLeader(reports, version, now)
	got, watcher := member.since(watcher, now)
	if len(got) != 1 || got[0].Faults != 3 {
		t.Fatalf("reports are %v, want three faults of i-1", got)
	}
	if got, _ = member.since(watcher, now); len(got) > 0 {
		t.Error("a report is passed on twice")
	}
	if reports, _ = leader.since(member.leaderVersion(), now); len(reports) > 0 {
		t.Error("a report is sent to a member twice")
	}
}

// Reports say little about a server's present state once they are old, and nothing to an entry that has just turned to this member.
func TestOldReportsAreNotPassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newReportLog()
	_, start := f.since(0, now)
	f.publish(report("i-1", 1), now)
	tests := map[string]struct {
		held listVersion
		at   time.Time
		want int
	}{
		"recent":                     {start, now.Add(reportAge), 1},
		"old":                        {start, now.Add(reportAge + time.Millisecond), 0},
		"version of another member":  {newListVersion() + 1<<listCountBits, now, 0},
		"an entry without a version": {0, now, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got, _ := f.since(test.held, test.at); len(got) != test.want {
				t.Errorf("%d reports, want %d", len(got), test.want)
			}
		})
	}
}

func TestServerReportsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newReportLog()
	for i := range 2 * maxServerReports {
		f.publish(report("i", 1), now)
		f.add([]*delivererpb.ServerReport{{InstanceId: "i", Incarnation: uint64(i), Faults: 1}})
	}
	if len(f.reports) > maxServerReports || len(f.pending) > maxServerReports {
		t.Errorf("%d reports and %d pending ones are kept, want at most %d", len(f.reports), len(f.pending), maxServerReports)
	}
}

// Every entry that sends to a server reports its limit again and again. The leader must pass it on when it changes, and otherwise only as
// often as entries need to go on observing it.
func TestUnchangedLimitsArePassedOnRarely(t *testing.T) {
	limit := func(limited bool, perSecond float64) *delivererpb.RateLimit {
		return &delivererpb.RateLimit{Limited: limited, PerSecond: perSecond}
	}
	now := time.Unix(1000, 0)
	l := newReportLog()
	_, held := l.since(0, now)
	steps := []struct {
		name   string
		wait   time.Duration
		limit  *delivererpb.RateLimit
		faults uint32
		want   int
		passed bool
	}{
		{"the first", 0, limit(true, 2.2), 0, 1, true},
		{"of another entry", time.Second, limit(true, 2.2), 0, 0, false},
		{"with faults", 0, limit(true, 2.2), 3, 1, false},
		{"another limit", 0, limit(true, 2.3), 0, 1, true},
		{"after a time", limitInterval, limit(true, 2.3), 0, 1, true},
		{"its end", time.Second, limit(false, 0), 0, 1, true},
		{"its end again", time.Second, limit(false, 0), 0, 0, false},
	}
	for _, step := range steps {
		now = now.Add(step.wait)
		l.add([]*delivererpb.ServerReport{{Service: "s", InstanceId: "i", Incarnation: 1, Faults: step.faults, RateLimit: step.limit}})
		l.publishNew(l.takePending(), now)
		var reports []*delivererpb.ServerReport
		reports, held = l.since(held, now)
		if len(reports) != step.want {
			t.Fatalf("%s: %d reports, want %d", step.name, len(reports), step.want)
		}
		if len(reports) > 0 && (reports[0].Faults != step.faults || (reports[0].RateLimit != nil) != step.passed) {
			t.Errorf("%s: the report is %v", step.name, reports[0])
		}
	}
}
