package deliverer

import (
	"sync"
	"time"

	"peridotswitch.example/common/delivererpb"
)

const (
	// faultReportAge is how long fault reports are passed on; older ones say little about a server's present state.
	faultReportAge = 3 * time.Second
	// maxFaultReports limits the fault reports that are kept to be passed on, and those that wait for the leader.
	maxFaultReports = 4096
	// faultRenewInterval is the interval between renewals while there are faults to report or the leader has sent some.
	faultRenewInterval = 150 * time.Millisecond
)

// faultLog passes the fault reports of entries to the leader, and those that the leader has collected to entries. Reports are lost when
// the leader changes.
type faultLog struct {
	mu sync.Mutex
	// pending holds the reports that the leader has not received.
	pending map[faultyServer]uint32
	// reports are the newest reports. last is the version of the newest one; versions are consecutive.
	reports []timedReport
	last    listVersion
	// fromLeader is the version of the leader's reports that this member holds.
	fromLeader listVersion
	// receivedAt is when the leader last sent reports.
	receivedAt time.Time
}

// faultyServer identifies an incarnation of a backend server.
type faultyServer struct {
	service, instanceID string
	incarnation         uint64
}

type timedReport struct {
	report *delivererpb.FaultReport
	at     time.Time
}

func newFaultLog() *faultLog {
	return &faultLog{pending: make(map[faultyServer]uint32), last: newListVersion()}
}

// add queues the reports of an entry for the leader.
func (f *faultLog) add(reports []*delivererpb.FaultReport) {
	if len(reports) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range reports {
		s := faultyServer{r.Service, r.InstanceId, r.Incarnation}
		if f.pending[s] > 0 || len(f.pending) < maxFaultReports {
			f.pending[s] += r.Faults
		}
	}
}

// takePending returns the queued reports and empties the queue.
func (f *faultLog) takePending() (reports []*delivererpb.FaultReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s, n := range f.pending {
		reports = append(reports, &delivererpb.FaultReport{Service: s.service, InstanceId: s.instanceID, Incarnation: s.incarnation, Faults: n})
	}
	clear(f.pending)
	return reports
}

// publish adds reports to those that are passed on.
func (f *faultLog) publish(reports []*delivererpb.FaultReport, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range reports {
		f.reports = append(f.reports, timedReport{r, now})
		f.last++
	}
	dropped := max(len(f.reports)-maxFaultReports, 0)
	for dropped < len(f.reports) && now.Sub(f.reports[dropped].at) > faultReportAge {
		dropped++
	}
	f.reports = f.reports[dropped:]
}

// addFromLeader publishes reports that the leader has sent; version is the leader's version of them.
func (f *faultLog) addFromLeader(reports []*delivererpb.FaultReport, version listVersion, now time.Time) {
	f.publish(reports, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fromLeader = version
	if len(reports) > 0 {
		f.receivedAt = now
	}
}

func (f *faultLog) leaderVersion() listVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fromLeader
}

// since returns the reports after version held that are not older than faultReportAge, and the current version. A holder of another
// log's version gets none: it starts here.
func (f *faultLog) since(held listVersion, now time.Time) (reports []*delivererpb.FaultReport, version listVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !held.isComparable(f.last) || held >= f.last {
		return nil, f.last
	}
	n := min(int(f.last-held), len(f.reports))
	for _, r := range f.reports[len(f.reports)-n:] {
		if now.Sub(r.at) <= faultReportAge {
			reports = append(reports, r.report)
		}
	}
	return reports, f.last
}

// isActive reports whether there are reports to send to the leader, or the leader has recently sent some.
func (f *faultLog) isActive(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pending) > 0 || now.Sub(f.receivedAt) < faultReportAge
}
