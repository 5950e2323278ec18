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
	// Address is the ip:port at which it listens for other entries.
	Address string
}

// Config configures a Spreader; every function is required.
type Config struct {
	InstanceID  string
	Incarnation uint64
	Now         func() time.Time
	// Lease is the longest lease of an announcement.
	Lease time.Duration
	// Interval is how often leases are renewed at each peer.
	Interval time.Duration
	// Peers returns the other entries; ok is false while this entry has no list yet.
	Peers func() (peers []Peer, ok bool)
	// Records returns this entry's table, and DirectRecords the part of it that backend servers announced to this entry directly.
	Records       func() []registrar.Record
	DirectRecords func() []registrar.Record
	// ApplyRelayed applies a backend server's announcement that a peer received, with the remaining time of its lease.
	ApplyRelayed func(s registrar.Server, remaining time.Duration)
	// Case returns the case of a crash suspect, or nil if this entry has none. Cases returns all cases, and MergeCase merges
	// a peer's.
	Case      func(fingerprint string) *spreaderpb.Case
	Cases     func() []*spreaderpb.Case
	MergeCase func(*spreaderpb.Case)
	// Observe is called with each load report from a peer's probes.
	Observe func(registrar.Key, sender.Load)
	// OnChange is called when a peer becomes unreachable, with the error, or reachable again, with nil.
	OnChange func(p Peer, err error)
}

// Timing of the exchanges.
const (
	DefaultInterval = time.Second
	exchangeTimeout = time.Second
	peersInterval   = 100 * time.Millisecond
	// minPause is the shortest pause between two exchanges with a peer. It lets one exchange carry changes that happen together.
	minPause = 10 * time.Millisecond
	// loadReportTTL is how long a load report is kept for peers that have not received it.
	loadReportTTL   = 2 * time.Second
	ackPollInterval = time.Millisecond
)

// Spreader exchanges announcements, load reports and cases with every other entry.
type Spreader struct {
	cfg          Config
	start        time.Time
	synchronised atomic.Bool

	mu     sync.Mutex
	local  localList
	remote map[string]*remoteList
	links  map[Peer]*link
	// cases holds the version of the local list at each case's last change, by fingerprint.
	cases map[string]uint64
	// loadReports holds the newest load report of each backend server from this entry's own probes.
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
			// Every live backend server has renewed its lease by then.
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

// Close stops the Spreader and waits until it has stopped.
func (s *Spreader) Close() {
	s.cancel()
	s.wg.Wait()
}

// IsSynchronised reports whether this entry's table is known to hold every live backend server.
func (s *Spreader) IsSynchronised() bool { return s.synchronised.Load() }

// ExchangeNow wakes every link, so that it exchanges local changes after at most minPause.
func (s *Spreader) ExchangeNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.signal()
	}
}

// ShareCases sends changed cases to every peer, and waits for up to wait until all reachable peers have acknowledged them.
func (s *Spreader) ShareCases(fingerprints []string, wait time.Duration) {
	s.mu.Lock()
	s.local.version++
	version := s.local.version
	for _, fingerprint := range fingerprints {
		s.cases[fingerprint] = version
	}
	s.mu.Unlock()
	s.ExchangeNow()
	for end := s.cfg.Now().Add(wait); s.cfg.Now().Before(end) && !s.allAcked(version); {
		time.Sleep(ackPollInterval)
	}
}

// allAcked reports whether every reachable peer has acknowledged the version of the local list.
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

// loadReport is a backend server's load, as a probe returned it, with the time of the probe.
type loadReport struct {
	load sender.Load
	at   time.Time
}

// ReportLoad sends the load that a probe returned to the peers with the next exchange.
func (s *Spreader) ReportLoad(key registrar.Key, load sender.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadReports[key] = loadReport{load, s.cfg.Now()}
}

// loadReportsSince returns the load reports after t; the caller holds mu.
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

// updateLinks starts a link to each new peer and stops the links to peers that are no longer listed.
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

// stamp returns this entry's monotonic clock in ms, as sent to peers. It starts at 1 because 0 means no stamp.
func (s *Spreader) stamp(now time.Time) uint64 {
	return uint64(now.Sub(s.start)/time.Millisecond) + 1
}

// batch returns the changes for a peer that has version base of the local list; the caller holds mu.
func (s *Spreader) batch(base uint64, now time.Time) *spreaderpb.Batch {
	s.local.refresh(s.cfg.DirectRecords(), now)
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

// mergeBatch merges a peer's batch, created at most elapsed ago; the caller holds mu.
func (s *Spreader) mergeBatch(from string, incarnation uint64, b *spreaderpb.Batch, elapsed time.Duration) {
	r := s.remote[from]
	if r == nil || r.incarnation != incarnation {
		r = &remoteList{incarnation: incarnation}
		s.remote[from] = r
	}
	for _, c := range b.Cases {
		s.cfg.MergeCase(c)
	}
	if r.apply(b) {
		r.renewLeases(b.Lives, elapsed, s.cfg.ApplyRelayed)
	}
}

// ackFor returns the incarnation and version of this entry's copy of a peer's list; the caller holds mu.
func (s *Spreader) ackFor(from string) (incarnation, version uint64) {
	if r := s.remote[from]; r != nil {
		return r.incarnation, r.version
	}
	return 0, 0
}
