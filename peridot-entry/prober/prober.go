package prober

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"time"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// Config configures a Prober; every field is needed.
type Config struct {
	InstanceID string
	Now        func() time.Time
	// Configuration returns the newest configuration that this entry has, nil before the first.
	Configuration func() *parser.Configuration
	// CanProbe reports whether no newer configuration can be in force and no other process has this entry's instance id.
	CanProbe func() bool
	// Servers returns the live backend servers of a service.
	Servers func(service string) []registrar.Server
	Send    func(context.Context, *sender.Request) (*sender.Response, error)
	// Lease is how long an announcement is valid at most.
	Lease time.Duration
	// Observe records a load report.
	Observe func(probed *registrar.Server, load sender.Load)
}

const (
	// tickInterval is how often the Prober looks for backend servers to probe.
	tickInterval = 20 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
	// handoverDelay is how long a new owner waits before it probes. It is longer than the previous owner may go on with a configuration that
	// is no longer the newest.
	handoverDelay = 4 * time.Second
	// intervalMargin lengthens the interval between probes, so that no window of the budget's length contains one too many.
	intervalMargin = 1.05
)

// Prober probes the backend servers that this entry owns.
type Prober struct {
	cfg Config

	mu sync.Mutex
	// lastReports is when a call's response last carried a load report.
	lastReports map[registrar.Key]time.Time
	owned       map[registrar.Key]*target
	// entries and revision are those of the configuration that the owners were computed from; the owners have not changed since ownersSince.
	entries     string
	revision    uint64
	ownersSince time.Time

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// target is a backend server whose probe budget this entry owns.
type target struct {
	ownedSince time.Time
	// lastEnd is when the last probe ended, zero before the first.
	lastEnd time.Time
	// unanswered is true while the last probe has had no response and may still reach the backend server.
	unanswered bool
	// probing is true while a probe is in flight.
	probing bool
}

// New returns a Prober and starts it. Close stops it.
func New(cfg Config) *Prober {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Prober{
		cfg:         cfg,
		lastReports: make(map[registrar.Key]time.Time),
		owned:       make(map[registrar.Key]*target),
		ownersSince: cfg.Now(),
		cancel:      cancel,
	}
	p.wg.Go(func() {
		for ctx.Err() == nil {
			p.probeDue(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(tickInterval):
			}
		}
	})
	return p
}

// Close stops the Prober and waits for the probes in flight.
func (p *Prober) Close() {
	p.cancel()
	p.wg.Wait()
}

// Do sends a call and records when its response carries a load report, since no probe is needed then.
func (p *Prober) Do(ctx context.Context, req *sender.Request) (*sender.Response, error) {
	res, err := p.cfg.Send(ctx, req)
	if err == nil && res.Load != nil {
		p.mu.Lock()
		p.lastReports[req.Server] = p.cfg.Now()
		p.mu.Unlock()
	}
	return res, err
}

// probeDue starts the probes that are due.
func (p *Prober) probeDue(ctx context.Context) {
	cfg := p.cfg.Configuration()
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if cfg == nil || !p.cfg.CanProbe() {
		p.ownersSince = now
		return
	}
	p.updateOwners(cfg, now)
	known := make(map[registrar.Key]bool)
	for _, service := range cfg.Inventory.Services {
		if service.ProbeBudget.PerSecond <= 0 {
			continue
		}
		interval := time.Duration(min(intervalMargin/service.ProbeBudget.PerSecond, math.MaxInt32) * float64(time.Second))
		for _, s := range p.cfg.Servers(service.Name) {
			key := s.Key()
			known[key] = true
			if owner(cfg.Inventory.Entries, key) != p.cfg.InstanceID {
				delete(p.owned, key)
				continue
			}
			if p.isDue(&s, interval, now) {
				t := p.owned[key]
				t.probing = true
				p.wg.Go(func() { p.probe(ctx, &s, t) })
			}
		}
	}
	for key := range p.lastReports {
		if !known[key] {
			delete(p.lastReports, key)
		}
	}
}

// updateOwners restarts the handover delay when the owners may have changed; the caller holds mu.
func (p *Prober) updateOwners(cfg *parser.Configuration, now time.Time) {
	var ids []string
	for _, e := range cfg.Inventory.Entries {
		ids = append(ids, e.InstanceID)
	}
	entries := strings.Join(ids, "\x00")
	// A revision that was skipped may have had other owners.
	if entries != p.entries || cfg.Revision > p.revision+1 {
		p.ownersSince = now
	}
	p.entries, p.revision = entries, cfg.Revision
}

// isDue reports whether a backend server that this entry owns is to be probed now; the caller holds mu.
func (p *Prober) isDue(s *registrar.Server, interval time.Duration, now time.Time) bool {
	key := s.Key()
	t := p.owned[key]
	if t == nil {
		t = &target{ownedSince: now}
		p.owned[key] = t
	}
	if t.probing || s.State == registrar.Draining {
		return false
	}
	if t.unanswered {
		// A backend server that hung may read the probe from its socket buffer only when it runs again, which an announcement received
		// after the probe's end shows. The interval counts from then.
		if !s.Expires.After(t.lastEnd.Add(p.cfg.Lease)) {
			return false
		}
		t.unanswered, t.lastEnd = false, now
	}
	from := t.ownedSince
	for _, at := range []time.Time{p.ownersSince.Add(handoverDelay), t.lastEnd, p.lastReports[key]} {
		if at.After(from) {
			from = at
		}
	}
	return now.Sub(from) >= interval
}

func (p *Prober) probe(ctx context.Context, s *registrar.Server, t *target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	res, err := p.cfg.Send(ctx, &sender.Request{
		Address: s.Address, Server: s.Key(), Incarnation: s.Incarnation, Connections: s.Connections,
		Method: http.MethodGet, Path: "/peridot/health", FreshConnection: true,
	})
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
	p.mu.Lock()
	t.probing, t.lastEnd, t.unanswered = false, p.cfg.Now(), err != nil
	p.mu.Unlock()
	if err == nil && res.Load != nil {
		p.cfg.Observe(s, *res.Load)
	}
}

// owner returns the entry that owns a backend server's whole probe budget, by rendezvous hashing over the inventory's entries.
func owner(entries []parser.Entry, key registrar.Key) (id string) {
	var highest uint64
	for _, e := range entries {
		sum := sha256.Sum256([]byte(e.InstanceID + "\x00" + key.Service + "\x00" + key.InstanceID))
		if weight := binary.BigEndian.Uint64(sum[:]); id == "" || weight > highest {
			id, highest = e.InstanceID, weight
		}
	}
	return id
}
