package quarantiner

import (
	"maps"
	"slices"
	"sync"
	"time"

	"peridotswitch.example/peridot-control/arbiter"
)

const (
	// crashesToContain is the number of crashes after which a request is contained.
	crashesToContain = 2
	// Expiry is how long a crash counts, and how long a request is contained after its last crash.
	Expiry = 10 * time.Minute
	// sharedExpiry is how long a request is contained if another one was in flight in all of the same crashes: only one of them may be the
	// cause.
	sharedExpiry = 30 * time.Second
	// maxSuspects limits the requests that are counted.
	maxSuspects = 4096
	// maxCrashes limits the crashes that are kept of one request.
	maxCrashes = 8
	// maxCleared limits the cleared crashes that are kept of one request.
	maxCleared = 4 * maxCrashes
)

// Config configures a Quarantiner.
type Config struct {
	Now func() time.Time
}

// Report is what an entry has seen of a request: crashes of servers that had it in flight or, if Cleared is set, the crashes after which a
// server has run it.
type Report struct {
	arbiter.ContainedRequest
	Cleared bool
}

// Quarantiner counts crashes on the leader. A new leader starts without those that were not enough to contain a request.
type Quarantiner struct {
	cfg Config
	mu  sync.Mutex
	// suspects are keyed by fingerprint. accused are those with enough crashes to be contained.
	suspects, accused map[string]*suspect
	// containedSince is when this member first knew of each contained request, which it may have inherited from another leader.
	containedSince map[string]time.Time
}

// suspect is a request that was in flight when servers crashed.
type suspect struct {
	request   arbiter.ContainedRequest
	crashes   map[arbiter.Crash]bool
	lastCrash time.Time
	// cleared are the crashes after which a server has run the request, the newest last. They never count, in whichever order reports arrive.
	cleared     []arbiter.Crash
	lastCleared time.Time
}

// New returns a Quarantiner.
func New(cfg Config) *Quarantiner {
	return &Quarantiner{
		cfg: cfg, suspects: make(map[string]*suspect), accused: make(map[string]*suspect),
		containedSince: make(map[string]time.Time),
	}
}

// Record counts the crashes of reports. A crash that several entries report counts once, one that a report clears doesn't count. Copies of
// reports and their order make no difference.
func (q *Quarantiner) Record(reports []Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	for i := range reports {
		r := &reports[i]
		if len(r.Crashes) == 0 {
			continue
		}
		s := q.getOrAddSuspect(r, now)
		if r.Cleared {
			s.clear(r.Crashes, now)
		} else {
			s.count(r.Crashes, now)
		}
		if len(s.crashes) >= crashesToContain {
			q.accused[r.Fingerprint] = s
		} else {
			delete(q.accused, r.Fingerprint)
		}
	}
}

// getOrAddSuspect returns the suspect of a report, without crashes and clearings that have expired. The caller holds mu.
func (q *Quarantiner) getOrAddSuspect(r *Report, now time.Time) *suspect {
	s := q.suspects[r.Fingerprint]
	if s == nil {
		q.dropOldest()
		s = &suspect{request: r.ContainedRequest, crashes: make(map[arbiter.Crash]bool)}
		q.suspects[r.Fingerprint] = s
	}
	if now.Sub(s.lastCrash) > Expiry {
		clear(s.crashes)
	}
	if now.Sub(s.lastCleared) > Expiry {
		s.cleared = nil
	}
	return s
}

func (s *suspect) count(crashes []arbiter.Crash, now time.Time) {
	for _, c := range crashes {
		if !s.crashes[c] && !slices.Contains(s.cleared, c) && len(s.crashes) < maxCrashes {
			s.crashes[c] = true
			s.lastCrash = now
		}
	}
}

func (s *suspect) clear(crashes []arbiter.Crash, now time.Time) {
	for _, c := range crashes {
		delete(s.crashes, c)
		if !slices.Contains(s.cleared, c) {
			s.cleared = append(s.cleared, c)
			s.lastCleared = now
		}
	}
	s.cleared = slices.Delete(s.cleared, 0, max(len(s.cleared)-maxCleared, 0))
}

// lastChange returns the time of the last crash, or of the last clearing when that is later.
func (s *suspect) lastChange() time.Time {
	if s.lastCleared.After(s.lastCrash) {
		return s.lastCleared
	}
	return s.lastCrash
}

// dropOldest makes room for another suspect: it drops an eighth of them, those that have not changed for longest.
func (q *Quarantiner) dropOldest() {
	if len(q.suspects) < maxSuspects {
		return
	}
	list := slices.SortedFunc(maps.Values(q.suspects), func(a, b *suspect) int { return a.lastChange().Compare(b.lastChange()) })
	for _, s := range list[:maxSuspects/8] {
		q.drop(s.request.Fingerprint)
	}
}

func (q *Quarantiner) drop(fingerprint string) {
	delete(q.suspects, fingerprint)
	delete(q.accused, fingerprint)
}

// Change returns how the list of contained requests has to change, or nil if it hasn't.
func (q *Quarantiner) Change(held *arbiter.Quarantine) *arbiter.QuarantineChange {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	c := &arbiter.QuarantineChange{}
	isHeld := make(map[string]bool, len(held.Requests))
	for i := range held.Requests {
		f := held.Requests[i].Fingerprint
		isHeld[f] = true
		if q.containedSince[f].IsZero() {
			q.containedSince[f] = now
		}
		if q.isCleared(&held.Requests[i]) || !now.Before(q.end(f)) {
			c.Released = append(c.Released, f)
		}
	}
	for f := range q.containedSince {
		if !isHeld[f] {
			delete(q.containedSince, f)
		}
	}
	for f, s := range q.accused {
		if !isHeld[f] && now.Before(q.end(f)) {
			c.Contained = append(c.Contained, s.contained())
		}
	}
	if len(c.Contained)+len(c.Released) == 0 {
		return nil
	}
	return c
}

// isCleared reports whether too few crashes of a contained request are left to contain it, of those known here and those that another leader
// counted. The caller holds mu.
func (q *Quarantiner) isCleared(r *arbiter.ContainedRequest) bool {
	s := q.suspects[r.Fingerprint]
	if s == nil || len(s.cleared) == 0 {
		return false
	}
	left := len(s.crashes)
	for _, c := range r.Crashes {
		if !s.crashes[c] && !slices.Contains(s.cleared, c) {
			left++
		}
	}
	return left < crashesToContain
}

// end returns when the containment of a request ends. The caller holds mu.
func (q *Quarantiner) end(fingerprint string) time.Time {
	s := q.suspects[fingerprint]
	if s == nil || len(s.crashes) == 0 {
		return q.containedSince[fingerprint].Add(Expiry)
	}
	if q.isOnlySuspect(s) {
		return s.lastCrash.Add(Expiry)
	}
	return s.lastCrash.Add(sharedExpiry)
}

// isOnlySuspect reports whether no other request was in flight in all crashes of s. The caller holds mu.
func (q *Quarantiner) isOnlySuspect(s *suspect) bool {
	for _, other := range q.accused {
		if other == s || len(other.crashes) < len(s.crashes) {
			continue
		}
		common := 0
		for c := range s.crashes {
			if other.crashes[c] {
				common++
			}
		}
		if common == len(s.crashes) {
			return false
		}
	}
	return true
}

func (s *suspect) contained() arbiter.ContainedRequest {
	r := s.request
	r.Crashes = nil
	for c := range s.crashes {
		r.Crashes = append(r.Crashes, c)
	}
	return r
}
