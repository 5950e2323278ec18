package quarantiner

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"time"

	"peridotswitch.example/common/escaper"
	"peridotswitch.example/peridot-entry/sender"
	"peridotswitch.example/peridot-entry/spreaderpb"
)

// suspect is a request, identified by its fingerprint, that was in flight when backend servers crashed.
type suspect struct {
	fingerprint, service, method, path string
	// crashes holds the time of each crash that counts.
	crashes map[crash]time.Time
	// cleared is when a response or an operator last cleared the suspect; earlier crashes don't count.
	cleared time.Time
	// listed is set while control lists the request as contained; listedSince is when this entry learned of it.
	listed      bool
	listedSince time.Time
	// refused is the value last passed to Config.OnChange.
	refused bool
}

// crash identifies a crash by the incarnation that it ended, of a backend server of the suspect's service.
type crash struct {
	instanceID  string
	incarnation uint64
}

const fingerprintBytes = 8

// Fingerprint returns a hash of what a backend server gets of a request and of its caller; requests with the same hash have the same effect
// on a server. It holds the host that the caller called, or else the service: a call by host may go to several services.
func Fingerprint(req *sender.Request) string {
	h := sha256.New()
	parts := []string{cmp.Or(req.Host, req.Server.Service), req.Method, req.Path, req.Header.Get("Authorization")}
	if req.Account != "" {
		parts = append(parts, req.Account)
	}
	for _, s := range parts {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

func (s *suspect) clear(now time.Time) {
	s.cleared = now
	clear(s.crashes)
	s.listed = false
}

// lastChange returns the time of the last crash, or of the last clearing when that is later.
func (s *suspect) lastChange() (last time.Time) {
	last = s.cleared
	if s.listedSince.After(last) {
		last = s.listedSince
	}
	for _, at := range s.crashes {
		if at.After(last) {
			last = at
		}
	}
	return last
}

func (s *suspect) contained(until time.Time) ContainedRequest {
	c := ContainedRequest{Fingerprint: s.fingerprint, Service: s.service, Method: s.method, Path: s.path, Until: until}
	for cr := range s.crashes {
		c.Servers = append(c.Servers, cr.instanceID)
	}
	sort.Strings(c.Servers)
	return c
}

// refusedUntil returns when the request stops being refused; a time in the past means that it isn't refused. The caller holds mu.
func (q *Quarantiner) refusedUntil(s *suspect) (until time.Time) {
	if s.listed {
		until = s.listedSince.Add(q.cfg.Expiry)
	}
	if len(s.crashes) < crashesToContain {
		return until
	}
	expiry := q.cfg.Expiry
	if !q.isSoleSuspect(s) {
		expiry = min(sharedExpiry, expiry)
	}
	if own := s.lastChange().Add(expiry); own.After(until) {
		until = own
	}
	return until
}

// isSoleSuspect reports whether no other request was in flight in crashesToContain of the same crashes. The caller holds mu.
func (q *Quarantiner) isSoleSuspect(s *suspect) bool {
	for _, other := range q.suspects {
		if other == s || other.service != s.service {
			continue
		}
		common := 0
		for c := range s.crashes {
			if _, ok := other.crashes[c]; ok {
				common++
			}
		}
		if common >= crashesToContain {
			return false
		}
	}
	return true
}

// recordCrash adds a crash to the suspect of each request that was in flight, and shares the suspects with the other entries.
func (q *Quarantiner) recordCrash(inc serverIncarnation, requests []*sender.Request, at time.Time) {
	var changed []*suspect
	var fingerprints []string
	for _, req := range requests {
		fingerprint := Fingerprint(req)
		q.mu.Lock()
		s := q.getOrAddSuspect(fingerprint, req.Server.Service, req.Method, req.Path)
		if s != nil && at.After(s.cleared) {
			s.crashes[crash{inc.key.InstanceID, inc.incarnation}] = at
			q.reportCrash(s, crash{inc.key.InstanceID, inc.incarnation})
			changed = append(changed, s)
			fingerprints = append(fingerprints, fingerprint)
		}
		q.mu.Unlock()
	}
	q.share(fingerprints)
	for _, s := range changed {
		q.notifyChange(s)
	}
}

// getOrAddSuspect returns nil when the fingerprint is new and there are maxSuspects suspects already. The caller holds mu.
func (q *Quarantiner) getOrAddSuspect(fingerprint, service, method, path string) *suspect {
	if s := q.suspects[fingerprint]; s != nil || len(q.suspects) >= maxSuspects {
		return s
	}
	return q.addSuspect(fingerprint, service, method, path)
}

func (q *Quarantiner) addSuspect(fingerprint, service, method, path string) *suspect {
	s := &suspect{fingerprint: fingerprint, service: service, method: method, path: path, crashes: make(map[crash]time.Time)}
	q.suspects[fingerprint] = s
	q.wakeUp()
	return s
}

// notifyChange calls OnChange when the request has begun to be refused or no longer is.
func (q *Quarantiner) notifyChange(s *suspect) {
	q.mu.Lock()
	until := q.refusedUntil(s)
	refused := q.cfg.Now().Before(until)
	changed := refused != s.refused
	s.refused = refused
	c := s.contained(until)
	q.mu.Unlock()
	if changed {
		q.cfg.OnChange(c, refused)
	}
}

// expire removes crashes and suspects that are older than Config.Expiry.
func (q *Quarantiner) expire() {
	q.mu.Lock()
	var ended []*suspect
	oldest := q.cfg.Now().Add(-q.cfg.Expiry)
	for fingerprint, s := range q.suspects {
		for c, at := range s.crashes {
			if at.Before(oldest) {
				delete(s.crashes, c)
			}
		}
		if s.refused && !q.cfg.Now().Before(q.refusedUntil(s)) {
			ended = append(ended, s)
		}
		if s.lastChange().Before(oldest) {
			delete(q.suspects, fingerprint)
		}
	}
	q.mu.Unlock()
	for _, s := range ended {
		q.notifyChange(s)
	}
}

// Case returns a suspect as it is sent to other entries, or nil when there is none with this fingerprint.
func (q *Quarantiner) Case(fingerprint string) *spreaderpb.Case {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[fingerprint]
	if s == nil {
		return nil
	}
	now := q.cfg.Now()
	c := &spreaderpb.Case{
		Fingerprint: escaper.Escape(fingerprint), Service: escaper.Escape(s.service), Method: escaper.Escape(s.method), Path: escapePath(s.path),
	}
	if c.Cleared = !s.cleared.IsZero(); c.Cleared {
		c.ClearedAgeMs = ageMs(now, s.cleared)
	}
	for cr, at := range s.crashes {
		c.Crashes = append(c.Crashes, &spreaderpb.Crash{InstanceId: escaper.Escape(cr.instanceID), Incarnation: cr.incarnation, AgeMs: ageMs(now, at)})
	}
	return c
}

// Cases returns all suspects as they are sent to other entries.
func (q *Quarantiner) Cases() (list []*spreaderpb.Case) {
	q.mu.Lock()
	var fingerprints []string
	for fingerprint := range q.suspects {
		fingerprints = append(fingerprints, fingerprint)
	}
	q.mu.Unlock()
	for _, fingerprint := range fingerprints {
		if c := q.Case(fingerprint); c != nil {
			list = append(list, c)
		}
	}
	return list
}

// MergeCase merges the crashes and the clearing of a suspect that another entry sent. It doesn't block.
func (q *Quarantiner) MergeCase(c *spreaderpb.Case) {
	q.mu.Lock()
	s := q.getOrAddSuspect(
		escaper.Unescape(c.Fingerprint), escaper.Unescape(c.Service), escaper.Unescape(c.Method), escaper.Unescape(c.Path),
	)
	if s == nil {
		q.mu.Unlock()
		return
	}
	now := q.cfg.Now()
	if at := now.Add(-time.Duration(c.ClearedAgeMs) * time.Millisecond); c.Cleared && at.After(s.cleared) {
		s.cleared = at
		for cr, t := range s.crashes {
			if !t.After(at) {
				delete(s.crashes, cr)
			}
		}
	}
	for _, cr := range c.Crashes {
		at := now.Add(-time.Duration(cr.AgeMs) * time.Millisecond)
		key := crash{escaper.Unescape(cr.InstanceId), cr.Incarnation}
		if _, known := s.crashes[key]; !known && at.After(s.cleared) {
			s.crashes[key] = at
		}
	}
	q.mu.Unlock()
	q.notifyChange(s)
}

func ageMs(now, at time.Time) uint64 { return uint64(max(now.Sub(at), 0) / time.Millisecond) }
