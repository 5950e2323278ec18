package quarantiner

import (
	"maps"
	"slices"
	"time"
)

// Crash is the crash of one incarnation of a backend server.
type Crash struct {
	InstanceID  string
	Incarnation uint64
}

// CrashReport is what this entry has seen of a request: the crashes of servers that had it in flight or, if Cleared is set, the crashes after
// which a server has run it.
type CrashReport struct {
	Fingerprint, Service, Method, Path string
	Crashes                            []Crash
	Cleared                            bool
}

// reportKey identifies an unreported report.
type reportKey struct {
	fingerprint string
	cleared     bool
}

func (r *CrashReport) key() reportKey { return reportKey{r.Fingerprint, r.Cleared} }

// maxReports limits the reports that are passed to control at a time.
const maxReports = 256

// reportCrash adds a crash to the reports. The caller holds mu.
func (q *Quarantiner) reportCrash(s *suspect, c crash) {
	q.report(s, false, c)
}

// reportCleared adds to the reports that a server has run the request after the crashes that count here: a copy of the report that arrives late
// must not clear later ones. The caller holds mu.
func (q *Quarantiner) reportCleared(s *suspect) {
	delete(q.unreported, reportKey{s.fingerprint, false})
	q.report(s, true, slices.Collect(maps.Keys(s.crashes))...)
}

// report replaces the report of a suspect by one with more crashes, because Reports may have returned it.
func (q *Quarantiner) report(s *suspect, cleared bool, crashes ...crash) {
	if q.cfg.OnReport == nil || len(crashes) == 0 {
		return
	}
	r := CrashReport{Fingerprint: s.fingerprint, Service: s.service, Method: s.method, Path: s.path, Cleared: cleared}
	if old := q.unreported[r.key()]; old != nil {
		r.Crashes = slices.Clone(old.Crashes)
	}
	for _, c := range crashes {
		if named := (Crash{c.instanceID, c.incarnation}); !slices.Contains(r.Crashes, named) {
			r.Crashes = append(r.Crashes, named)
		}
	}
	q.unreported[r.key()] = &r
}

// Reports returns what has to be reported to control. The caller passes it to Acknowledge once control has it, and must not change it.
func (q *Quarantiner) Reports() (reports []*CrashReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range q.unreported {
		reports = append(reports, r)
	}
	// Control members of earlier builds let a clearing end all crashes that they have counted before it.
	slices.SortFunc(reports, func(a, b *CrashReport) int {
		switch {
		case a.Cleared == b.Cleared:
			return 0
		case a.Cleared:
			return -1
		default:
			return 1
		}
	})
	return reports[:min(len(reports), maxReports)]
}

// Acknowledge removes reports that control has received, unless there is more to report of their requests since.
func (q *Quarantiner) Acknowledge(reports []*CrashReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range reports {
		if q.unreported[r.key()] == r {
			delete(q.unreported, r.key())
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
