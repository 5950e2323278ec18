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
)

// Config configures a Quarantiner.
type Config struct {
	Now func() time.Time
}

// Report is what an entry has seen of a request: crashes of servers that had it in flight, and whether a server has run it since the
// crashes reported before.
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
	// cleared holds the contained requests that a server has run.
	cleared map[string]bool
}

// suspect is a request that was in flight when servers crashed.
type suspect struct {
	request   arbiter.ContainedRequest
	crashes   map[arbiter.Crash]bool
	lastCrash time.Time
}

// New returns a Quarantiner.
func New(cfg Config) *Quarantiner {
	return &Quarantiner{
		cfg: cfg, suspects: make(map[string]*suspect), accused: make(map[string]*suspect),
		containedSince: make(map[string]time.Time), cleared: make(map[string]bool),
	}
}

// Record counts the crashes of reports. A crash that several entries report counts once.
func (q *Quarantiner) Record(reports []Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	for i := range reports {
		r := &reports[i]
		if r.Cleared {
			q.drop(r.Fingerprint)
			q.cleared[r.Fingerprint] = true
		}
		if len(r.Crashes) == 0 {
			continue
		}
		s := q.suspects[r.Fingerprint]
		if s == nil || now.Sub(s.lastCrash) > Expiry {
			q.drop(r.Fingerprint)
			q.dropOldest()
			s = &suspect{request: r.ContainedRequest, crashes: make(map[arbiter.Crash]bool)}
			q.suspects[r.Fingerprint] = s
		}
		for _, c := range r.Crashes {
			if !s.crashes[c] && len(s.crashes) < maxCrashes {
				s.crashes[c] = true
				s.lastCrash = now
			}
		}
		if len(s.crashes) >= crashesToContain {
			q.accused[r.Fingerprint] = s
			delete(q.cleared, r.Fingerprint)
		}
	}
}

// dropOldest makes room for another suspect: it drops an eighth of them, those whose last crashes are the oldest.
func (q *Quarantiner) dropOldest() {
	if len(q.suspects) < maxSuspects {
		return
	}
	list := slices.SortedFunc(maps.Values(q.suspects), func(a, b *suspect) int { return a.lastCrash.Compare(b.lastCrash) })
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
		if q.cleared[f] || !now.Before(q.end(f)) {
			c.Released = append(c.Released, f)
		}
	}
	for f := range q.containedSince {
		if !isHeld[f] {
			delete(q.containedSince, f)
		}
	}
	for f := range q.cleared {
		if !isHeld[f] {
			delete(q.cleared, f)
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

// end returns when the containment of a request ends. The caller holds mu.
func (q *Quarantiner) end(fingerprint string) time.Time {
	s := q.suspects[fingerprint]
	if s == nil {
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
