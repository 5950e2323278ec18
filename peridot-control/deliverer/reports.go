package deliverer

import (
	"maps"
	"sync"
	"time"

	"peridotswitch.example/common/delivererpb"
)

const (
	// reportAge is how long reports on backend servers are passed on; older ones say little about a server's present state.
	reportAge = 3 * time.Second
	// maxServerReports limits the reports that are kept to be passed on, and those that wait for the leader.
	maxServerReports = 4096
	// limitInterval is the least interval at which an unchanged limit of a server is passed on.
	limitInterval = 3 * time.Second
	// reportRenewInterval is the interval between renewals while there are reports to send or the leader has sent some.
	reportRenewInterval = 150 * time.Millisecond
)

// reportLog passes the reports of entries on backend servers to the leader, and those that the leader has collected to entries. Reports are
// lost when the leader changes.
type reportLog struct {
	mu sync.Mutex
	// pending holds the reports that the leader has not received.
	pending map[reportedServer]*delivererpb.ServerReport
	// limits holds the limits of servers that were published last; only the leader uses it.
	limits map[reportedServer]publishedLimit
	// reports are the newest reports. last is the version of the newest one; versions are consecutive.
	reports []timedReport
	last    listVersion
	// fromLeader is the version of the leader's reports that this member holds.
	fromLeader listVersion
	// receivedAt is when the leader last sent reports.
	receivedAt time.Time
}

// reportedServer identifies an incarnation of a backend server.
type reportedServer struct {
	service, instanceID string
	incarnation         uint64
}

// publishedLimit is a server's limit and when it was last published.
type publishedLimit struct {
	limited   bool
	perSecond float64
	at        time.Time
}

type timedReport struct {
	report *delivererpb.ServerReport
	at     time.Time
}

func newReportLog() *reportLog {
	return &reportLog{
		pending: make(map[reportedServer]*delivererpb.ServerReport), limits: make(map[reportedServer]publishedLimit), last: newListVersion(),
	}
}

// add queues the reports of an entry for the leader.
func (l *reportLog) add(reports []*delivererpb.ServerReport) {
	if len(reports) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		s := reportedServer{r.Service, r.InstanceId, r.Incarnation}
		p := l.pending[s]
		if p == nil && len(l.pending) < maxServerReports {
			p = &delivererpb.ServerReport{Service: r.Service, InstanceId: r.InstanceId, Incarnation: r.Incarnation}
			l.pending[s] = p
		}
		if p == nil {
			continue
		}
		p.Faults += r.Faults
		if r.RateLimit != nil {
			p.RateLimit = r.RateLimit
		}
	}
}

// takePending returns the queued reports and empties the queue.
func (l *reportLog) takePending() (reports []*delivererpb.ServerReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.pending {
		reports = append(reports, r)
	}
	clear(l.pending)
	return reports
}

// publishNew publishes reports that were made to the leader, without the limits that several entries report.
func (l *reportLog) publishNew(reports []*delivererpb.ServerReport, now time.Time) {
	l.mu.Lock()
	kept := make([]*delivererpb.ServerReport, 0, len(reports))
	for _, r := range reports {
		isNew := r.RateLimit != nil && l.recordLimit(reportedServer{r.Service, r.InstanceId, r.Incarnation}, r.RateLimit, now)
		switch {
		case r.RateLimit == nil || isNew:
			kept = append(kept, r)
		case r.Faults > 0:
			kept = append(kept, &delivererpb.ServerReport{Service: r.Service, InstanceId: r.InstanceId, Incarnation: r.Incarnation, Faults: r.Faults})
		}
	}
	l.mu.Unlock()
	l.publish(kept, now)
}

// recordLimit reports whether a limit has to be published: it has changed, or was last published limitInterval ago. The caller holds mu.
func (l *reportLog) recordLimit(s reportedServer, r *delivererpb.RateLimit, now time.Time) bool {
	old, known := l.limits[s]
	if known && old.limited == r.Limited && old.perSecond == r.PerSecond && now.Sub(old.at) < limitInterval {
		return false
	}
	if !known && len(l.limits) >= maxServerReports {
		maps.DeleteFunc(l.limits, func(_ reportedServer, p publishedLimit) bool { return now.Sub(p.at) >= limitInterval })
	}
	l.limits[s] = publishedLimit{r.Limited, r.PerSecond, now}
	return true
}

// publish adds reports to those that are passed on.
func (l *reportLog) publish(reports []*delivererpb.ServerReport, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		l.reports = append(l.reports, timedReport{r, now})
		l.last++
	}
	dropped := max(len(l.reports)-maxServerReports, 0)
	for dropped < len(l.reports) && now.Sub(l.reports[dropped].at) > reportAge {
		dropped++
	}
	l.reports = l.reports[dropped:]
}

// addFromLeader publishes reports that the leader has sent; version is the leader's version of them.
func (l *reportLog) addFromLeader(reports []*delivererpb.ServerReport, version listVersion, now time.Time) {
	l.publish(reports, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fromLeader = version
	if len(reports) > 0 {
		l.receivedAt = now
	}
}

func (l *reportLog) leaderVersion() listVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fromLeader
}

// since returns the reports after version held that are not older than reportAge, and the current version. A holder of another
// log's version gets none: it starts here.
func (l *reportLog) since(held listVersion, now time.Time) (reports []*delivererpb.ServerReport, version listVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !held.isComparable(l.last) || held >= l.last {
		return nil, l.last
	}
	n := min(int(l.last-held), len(l.reports))
	for _, r := range l.reports[len(l.reports)-n:] {
		if now.Sub(r.at) <= reportAge {
			reports = append(reports, r.report)
		}
	}
	return reports, l.last
}

// isActive reports whether there are reports to send to the leader, or the leader has recently sent some.
func (l *reportLog) isActive(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0 || now.Sub(l.receivedAt) < reportAge
}
