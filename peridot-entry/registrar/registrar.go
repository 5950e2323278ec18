package registrar

import (
	"sync"
	"sync/atomic"
	"time"
)

// State is the state that a backend server announces.
type State string

// The values of State. Left marks a server that is gone; servers don't announce it.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Draining State = "draining"
	Left     State = "left"
)

// Server is one backend server as announced.
type Server struct {
	Service          string
	InstanceID       string
	Incarnation      uint64
	Sequence         uint64
	Address          string
	AvailabilityZone string
	Slots            int
	Connections      int
	State            State
	// WarmUp is how long the server is slow from ReadySince on; 0 leaves that to the senders' default.
	WarmUp time.Duration
	// ReadySince is when this entry first learned that this incarnation was ready, on this entry's monotonic clock.
	ReadySince time.Time
	// Expires is when the lease ends, on this entry's monotonic clock.
	Expires time.Time
}

// Key identifies a backend server across restarts.
type Key struct {
	Service    string
	InstanceID string
}

// Key returns the identity of s.
func (s *Server) Key() Key { return Key{s.Service, s.InstanceID} }

// Config configures a Registrar; its zero value works.
type Config struct {
	Now   func() time.Time
	Lease time.Duration
	// OnChange is called when an announcement or a leave to this entry has changed the table; it must not block.
	OnChange func()
}

// Registrar is the table of backend servers.
type Registrar struct {
	cfg Config
	mu  sync.Mutex
	// records are keyed by service and then by instance id.
	records map[string]map[string]*Record
	// views are keyed by service. The map is replaced when a service is added, so that reads need no lock.
	views atomic.Pointer[map[string]*atomic.Pointer[view]]
}

// view is an immutable list of a service's live backend servers. It is valid until the first of their leases ends.
type view struct {
	servers    []Server
	validUntil time.Time
}

// DefaultLease is the lease of an announcement when Config.Lease is zero.
const DefaultLease = 2500 * time.Millisecond

// New returns an empty Registrar.
func New(cfg Config) *Registrar {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Lease == 0 {
		cfg.Lease = DefaultLease
	}
	if cfg.OnChange == nil {
		cfg.OnChange = func() {}
	}
	r := &Registrar{cfg: cfg, records: make(map[string]map[string]*Record)}
	r.views.Store(&map[string]*atomic.Pointer[view]{})
	return r
}

// Announce applies the announcement of a backend server to this entry and returns the lease. An older announcement has no effect.
func (r *Registrar) Announce(s Server) (lease time.Duration) {
	now := r.cfg.Now()
	s.Expires = now.Add(r.cfg.Lease)
	r.mu.Lock()
	changed := r.announce(s, now)
	r.mu.Unlock()
	if changed {
		r.cfg.OnChange()
	}
	return r.cfg.Lease
}

func (r *Registrar) announce(s Server, now time.Time) (changed bool) {
	rec := r.records[s.Service][s.InstanceID]
	if rec == nil || rec.isRemovable(now, r.cfg.Lease) {
		r.insert(newRecord(s, now), now)
		return true
	}
	if !rec.isSupersededBy(&s) {
		return false
	}
	if changed = rec.DirectExpires.Before(now) || !rec.sameContent(&s); changed {
		rec.replace(s, now)
	}
	rec.directSequence = s.Sequence
	rec.Server.Expires, rec.DirectExpires = s.Expires, s.Expires
	r.publish(s.Service, now)
	return changed
}

// ApplyRelayed applies an announcement that another entry received, with the time remaining of its lease there. It never shortens a lease.
func (r *Registrar) ApplyRelayed(s Server, remaining time.Duration) {
	now := r.cfg.Now()
	s.Expires = now.Add(min(remaining, r.cfg.Lease))
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[s.Service][s.InstanceID]
	switch {
	case rec == nil || rec.isRemovable(now, r.cfg.Lease):
		rec = newRecord(s, now)
		rec.DirectExpires, rec.directSequence = time.Time{}, 0
		r.insert(rec, now)
	case rec.sameContent(&s):
		if s.Expires.After(rec.Server.Expires) {
			rec.Server.Expires = s.Expires
			r.publish(s.Service, now)
		}
	case rec.isSupersededBy(&s):
		rec.replace(s, now)
		rec.DirectExpires, rec.directSequence = time.Time{}, 0
		r.publish(s.Service, now)
	}
}

// Leave removes a backend server at once. Nothing else that its current incarnation announced has an effect afterwards.
// It returns false when this entry doesn't know the server.
func (r *Registrar) Leave(key Key) bool {
	now := r.cfg.Now()
	r.mu.Lock()
	rec := r.records[key.Service][key.InstanceID]
	known := rec != nil && !rec.isRemovable(now, r.cfg.Lease)
	if known {
		rec.Server.State = Left
		rec.Server.Expires = now.Add(r.cfg.Lease)
		rec.DirectExpires = rec.Server.Expires
		r.publish(key.Service, now)
	}
	r.mu.Unlock()
	if known {
		r.cfg.OnChange()
	}
	return known
}

// Servers returns the live backend servers of a service, in any of their states but Left; the caller must not change the slice.
func (r *Registrar) Servers(service string) []Server {
	p := (*r.views.Load())[service]
	if p == nil {
		return nil
	}
	now := r.cfg.Now()
	if v := p.Load(); now.Before(v.validUntil) {
		return v.servers
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish(service, now)
	return p.Load().servers
}

// Find returns the live backend server with a key.
func (r *Registrar) Find(key Key) (Server, bool) {
	for _, s := range r.Servers(key.Service) {
		if s.InstanceID == key.InstanceID {
			return s, true
		}
	}
	return Server{}, false
}

// Records returns all records, also those of servers that have left or whose lease has ended.
func (r *Registrar) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Record
	for _, records := range r.records {
		for _, rec := range records {
			out = append(out, *rec)
		}
	}
	return out
}

// DirectRecords returns the records of servers whose lease from an announcement to this entry has not ended.
func (r *Registrar) DirectRecords() []Record {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Record
	for _, records := range r.records {
		for _, rec := range records {
			if now.Before(rec.DirectExpires) {
				out = append(out, *rec)
			}
		}
	}
	return out
}

func (r *Registrar) insert(rec *Record, now time.Time) {
	service := rec.Server.Service
	if r.records[service] == nil {
		r.records[service] = make(map[string]*Record)
	}
	r.records[service][rec.Server.InstanceID] = rec
	if old := *r.views.Load(); old[service] == nil {
		views := make(map[string]*atomic.Pointer[view], len(old)+1)
		for name, p := range old {
			views[name] = p
		}
		views[service] = &atomic.Pointer[view]{}
		views[service].Store(&view{})
		r.views.Store(&views)
	}
	r.publish(service, now)
}

// publish replaces the view of a service and deletes removable records; the caller holds mu.
func (r *Registrar) publish(service string, now time.Time) {
	v := &view{validUntil: now.Add(r.cfg.Lease)}
	for id, rec := range r.records[service] {
		if rec.isRemovable(now, r.cfg.Lease) {
			delete(r.records[service], id)
			continue
		}
		if rec.Server.State == Left || !now.Before(rec.Server.Expires) {
			continue
		}
		v.servers = append(v.servers, rec.Server)
		if rec.Server.Expires.Before(v.validUntil) {
			v.validUntil = rec.Server.Expires
		}
	}
	(*r.views.Load())[service].Store(v)
}
