package quarantiner

import (
	"slices"
	"time"
)

// Crash is the crash of one incarnation of a backend server.
type Crash struct {
	InstanceID  string
	Incarnation uint64
}

// CrashReport is what this entry has seen of a request: the crashes of servers that had it in flight, and whether a server has run it since the
// crashes reported before.
type CrashReport struct {
	Fingerprint, Service, Method, Path string
	Crashes                            []Crash
	Cleared                            bool
}

// maxReports limits the reports that are passed to control at a time.
const maxReports = 256

// reportCrash adds a crash to the reports. The caller holds mu.
func (q *Quarantiner) reportCrash(s *suspect, c crash) {
	q.report(s, func(r *CrashReport) { r.Crashes = append(r.Crashes, Crash{c.instanceID, c.incarnation}) })
}

// reportCleared adds to the reports that a server has run the request. The caller holds mu.
func (q *Quarantiner) reportCleared(s *suspect) {
	q.report(s, func(r *CrashReport) { r.Cleared, r.Crashes = true, nil })
}

// report replaces the report of a suspect by a changed copy, because Reports may have returned it.
func (q *Quarantiner) report(s *suspect, change func(*CrashReport)) {
	if q.cfg.OnReport == nil {
		return
	}
	r := CrashReport{Fingerprint: s.fingerprint, Service: s.service, Method: s.method, Path: s.path}
	if old := q.unreported[s.fingerprint]; old != nil {
		r.Crashes, r.Cleared = slices.Clone(old.Crashes), old.Cleared
	}
	change(&r)
	q.unreported[s.fingerprint] = &r
}

// Reports returns what has to be reported to control. The caller passes it to Acknowledge once control has it, and must not change it.
func (q *Quarantiner) Reports() (reports []*CrashReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range q.unreported {
		if len(reports) == maxReports {
			break
		}
		reports = append(reports, r)
	}
	return reports
}

// Acknowledge removes reports that control has received, unless there is more to report of their requests since.
func (q *Quarantiner) Acknowledge(reports []*CrashReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range reports {
		if q.unreported[r.Fingerprint] == r {
			delete(q.unreported, r.Fingerprint)
		}
	}
}

// SetContained replaces the list of the requests that control wants all entries to refuse. One that is no longer listed is released.
func (q *Quarantiner) SetContained(list []CrashReport) {
	q.mu.Lock()
	now := q.cfg.Now()
	listed := make(map[string]bool, len(list))
	var changed []*suspect
	for i := range list {
		r := &list[i]
		listed[r.Fingerprint] = true
		s := q.suspects[r.Fingerprint]
		if s == nil {
			// Control bounds its list, so that maxSuspects doesn't apply.
			s = q.addSuspect(r.Fingerprint, r.Service, r.Method, r.Path)
		}
		if !s.listed {
			s.list(r.Crashes, now)
			changed = append(changed, s)
		}
	}
	for fingerprint, s := range q.suspects {
		if s.listed && !listed[fingerprint] {
			s.clear(now)
			changed = append(changed, s)
		}
	}
	q.mu.Unlock()
	for _, s := range changed {
		q.notifyChange(s)
	}
}

// list marks the request as listed by control, with the crashes that control counts.
func (s *suspect) list(crashes []Crash, now time.Time) {
	s.listed, s.listedSince = true, now
	for _, c := range crashes {
		if key := (crash{c.InstanceID, c.Incarnation}); s.crashes[key].IsZero() {
			s.crashes[key] = now
		}
	}
}
