package spreader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
	"peridotswitch.example/peridot-entry/spreaderpb"
)

// Peer is another entry.
type Peer struct {
	InstanceID string
	// Address is where it listens for other entries, as ip:port.
	Address string
}

// Config configures a Spreader; every function is needed.
type Config struct {
	InstanceID  string
	Incarnation uint64
	Now         func() time.Time
	// Lease is the longest life of an announcement.
	Lease time.Duration
	// Every is how often leases are renewed at each peer.
	Every time.Duration
	// Peers lists the other entries; ok is false while this entry has no list yet.
	Peers func() (peers []Peer, ok bool)
	// Records is the table of this entry, Direct what of it backend servers announced to this entry itself.
	Records func() []registrar.Record
	Direct  func() []registrar.Record
	// Relay takes in what a peer heard.
	Relay func(s registrar.Server, left time.Duration)
	// Case returns what this entry knows of a suspect request, nil for nothing; Cases all of them, and Take adds what a peer knows.
	Case  func(fingerprint string) *spreaderpb.Case
	Cases func() []*spreaderpb.Case
	Take  func(*spreaderpb.Case)
	// Observe takes a reading that a peer's probe brought.
	Observe func(registrar.Key, sender.Load)
	// OnChange is told when a peer is lost or found again.
	OnChange func(p Peer, err error)
}

// Bounds of the exchanges.
const (
	DefaultEvery    = time.Second
	exchangeTimeout = time.Second
	peersInterval   = 100 * time.Millisecond
	// minPause between two exchanges with a peer gathers changes that come together.
	minPause = 10 * time.Millisecond
	// loadReportTTL is how long a reading may wait for a peer.
	loadReportTTL   = 2 * time.Second
	ackPollInterval = time.Millisecond
)

// Spreader exchanges announcements with every other entry.
type Spreader struct {
	cfg          Config
	start        time.Time
	synchronised atomic.Bool

	mu     sync.Mutex
	local  localList
	remote map[string]*remoteList
	links  map[Peer]*link
	// cases has the version of the own list at which each changed last.
	cases map[string]uint64
	// loadReports are the newest of this entry's probes, with the time of each.
	loadReports map[registrar.Key]loadReport

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New starts a Spreader; Close stops it.
func New(cfg Config) *Spreader {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Spreader{
		cfg:    cfg,
		start:  cfg.Now(),
		local:  newLocalList(),
		remote: make(map[string]*remoteList),
		links:  make(map[Peer]*link),
		cases:  make(map[string]uint64),

		loadReports: make(map[registrar.Key]loadReport),
		cancel:      cancel,
	}
	s.wg.Go(func() {
		var since time.Time
		for ctx.Err() == nil {
			peers, ok := s.cfg.Peers()
			now := s.cfg.Now()
			if ok && since.IsZero() {
				since = now
			}
			// Whoever lives has renewed its lease by then.
			if ok && now.Sub(since) >= s.cfg.Lease {
				s.synchronised.Store(true)
			}
			s.updateLinks(ctx, peers)
			select {
			case <-ctx.Done():
			case <-time.After(peersInterval):
			}
		}
	})
	return s
}

// Close stops exchanging and waits for it.
func (s *Spreader) Close() {
	s.cancel()
	s.wg.Wait()
}

// Synchronised reports whether this entry's table can be trusted to have every live backend server.
func (s *Spreader) Synchronised() bool { return s.synchronised.Load() }

// Changed makes every link exchange at once.
func (s *Spreader) Changed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.signal()
	}
}

// Share tells every peer of changed cases, and waits up to wait until those that were reached last have them.
func (s *Spreader) Share(fingerprints []string, wait time.Duration) {
	s.mu.Lock()
	s.local.version++
	version := s.local.version
	for _, fingerprint := range fingerprints {
		s.cases[fingerprint] = version
	}
	s.mu.Unlock()
	s.Changed()
	for end := s.cfg.Now().Add(wait); s.cfg.Now().Before(end) && !s.allAcked(version); {
		time.Sleep(ackPollInterval)
	}
}

// allAcked reports whether every peer that was reached last has the version.
func (s *Spreader) allAcked(version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if !l.unreachable && l.acked < version {
			return false
		}
	}
	return true
}

// loadReport is what a probe told.
type loadReport struct {
	load sender.Load
	at   time.Time
}

// Read gives a probe's reading to the peers with the next exchange.
func (s *Spreader) Read(key registrar.Key, load sender.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadReports[key] = loadReport{load, s.cfg.Now()}
}

// loadReportsSince returns the readings after t; the caller holds mu.
func (s *Spreader) loadReportsSince(t, now time.Time) (list []*spreaderpb.Reading) {
	for key, r := range s.loadReports {
		if now.Sub(r.at) > loadReportTTL {
			delete(s.loadReports, key)
			continue
		}
		if r.at.After(t) {
			list = append(list, &spreaderpb.Reading{Service: key.Service, InstanceId: key.InstanceID, InFlight: uint32(r.load.InFlight), Slots: uint32(r.load.Slots)})
		}
	}
	return list
}

// updateLinks starts a link to each new peer and stops those to peers that are gone.
func (s *Spreader) updateLinks(ctx context.Context, peers []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[Peer]bool)
	for _, p := range peers {
		if p.InstanceID == s.cfg.InstanceID {
			continue
		}
		listed[p] = true
		if s.links[p] == nil {
			l := newLink(s, p)
			linkCtx, cancel := context.WithCancel(ctx)
			l.cancel = cancel
			s.links[p] = l
			s.wg.Go(func() { l.run(linkCtx) })
		}
	}
	for p, l := range s.links {
		if !listed[p] {
			l.cancel()
			delete(s.links, p)
		}
	}
}

// stamp is this entry's monotonic clock as peers see it; it starts at 1 because 0 is no stamp.
func (s *Spreader) stamp(now time.Time) uint64 {
	return uint64(now.Sub(s.start)/time.Millisecond) + 1
}

// batch returns what a peer needs that has version base of the own list; the caller holds mu.
func (s *Spreader) batch(base uint64, now time.Time) *spreaderpb.Batch {
	s.local.refresh(s.cfg.Direct(), now)
	b := s.local.batch(base, now)
	for fingerprint, version := range s.cases {
		if version <= base {
			continue
		}
		if c := s.cfg.Case(fingerprint); c != nil {
			b.Cases = append(b.Cases, c)
		} else {
			delete(s.cases, fingerprint)
		}
	}
	return b
}

// mergeBatch takes in a peer's batch that was made at most elapsed ago; the caller holds mu.
func (s *Spreader) mergeBatch(from string, incarnation uint64, b *spreaderpb.Batch, elapsed time.Duration) {
	h := s.remote[from]
	if h == nil || h.incarnation != incarnation {
		h = &remoteList{incarnation: incarnation}
		s.remote[from] = h
	}
	for _, c := range b.Cases {
		s.cfg.Take(c)
	}
	if h.apply(b) {
		h.renewLeases(b.Lives, elapsed, s.cfg.Relay)
	}
}

// ackFor says what this entry has of a peer's list; the caller holds mu.
func (s *Spreader) ackFor(from string) (incarnation, version uint64) {
	if h := s.remote[from]; h != nil {
		return h.incarnation, h.version
	}
	return 0, 0
}
