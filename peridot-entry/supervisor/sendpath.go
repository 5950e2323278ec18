package supervisor

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotswitch.example/peridot-entry/accountant"
	"peridotswitch.example/peridot-entry/prober"
	"peridotswitch.example/peridot-entry/quarantiner"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
	"peridotswitch.example/peridot-entry/spreader"
)

// startSender creates the registrar, the sender, and the quarantiner, which refuses requests that crash backend servers.
func (s *Supervisor) startSender() {
	s.registrar = registrar.New(registrar.Config{OnChange: func() { s.spreader.ExchangeNow() }})
	s.evacuations = evacuations{zones: s.follower.EvacuatedZones, find: s.registrar.Find}
	s.sender = sender.New(sender.Config{
		MaxConnections: s.connectionCap,
		OnStray:        recordStrays(s.cfg.Log, func() *accountant.Meter { return s.stats.meter }),
	})
	s.quarantiner = quarantiner.New(quarantiner.Config{
		Now:               time.Now,
		Send:              func(ctx context.Context, req *sender.Request) (*sender.Response, error) { return s.prober.Do(ctx, req) },
		ConnectionRefused: connectionRefused,
		Find:              s.registrar.Find,
		Expiry:            s.cfg.Containment,
		Isolate:           true,
		Share:             func(fingerprints []string) { s.spreader.ShareCases(fingerprints, shareTimeout) },
		OnChange:          logContained(s.cfg.Log),
	})
}

const (
	// strayLogBurst is how many stray responses are logged in strayLogPeriod; a faulty server may send any number.
	strayLogBurst  = 5
	strayLogPeriod = time.Second
)

// recordStrays returns a function that logs and counts responses of backend servers that belong to no request in flight. meter is called
// only while calls are served.
func recordStrays(log zerolog.Logger, meter func() *accountant.Meter) func(sender.Stray) {
	sampled := log.Sample(&zerolog.BurstSampler{Burst: strayLogBurst, Period: strayLogPeriod})
	return func(r sender.Stray) {
		meter().RecordStray(r.Server.Service, r.NamedID != "")
		sampled.Warn().Str("server", r.Server.InstanceID).Str("service", r.Server.Service).Str("request-id", r.RequestID).Int("status", r.Status).
			Str("named-id", r.NamedID).Int("exchange", r.Exchange).Msg("response that belongs to no request in flight")
	}
}

// logContained returns a function that logs that a request begins to be refused or no longer is.
func logContained(log zerolog.Logger) func(quarantiner.ContainedRequest, bool) {
	return func(c quarantiner.ContainedRequest, refused bool) {
		log.Warn().Bool("refused", refused).Str("fingerprint", c.Fingerprint).Str("service", c.Service).
			Str("method", c.Method).Str("path", c.Path).Strs("crashed", c.Servers).Msg("request that crashes backend servers")
	}
}

const (
	// shareTimeout is how long a failed call waits for the other entries to learn of the crash.
	shareTimeout = 100 * time.Millisecond
	// dialTimeout is longer than it takes to open a connection.
	dialTimeout = 100 * time.Millisecond
	// exitTime is longer than an exiting process takes between closing a connection and closing its listener.
	exitTime = 20 * time.Millisecond
	// dialAttempts leaves enough attempts to see a refusal after a connection that an exiting process accepted and then closed.
	dialAttempts = 3
)

// connectionRefused reports whether nothing listens at an address. An exiting process may still accept a connection, but closes
// it at once.
func connectionRefused(address string) bool {
	for range dialAttempts {
		c, err := net.DialTimeout("tcp", address, dialTimeout)
		if errors.Is(err, syscall.ECONNRESET) {
			continue
		}
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		open := staysOpen(c)
		_ = c.Close()
		if open {
			return false
		}
	}
	return false
}

// staysOpen reports whether the other side keeps an idle connection open for exitTime.
func staysOpen(c net.Conn) bool {
	if err := c.SetReadDeadline(time.Now().Add(exitTime)); err != nil {
		return false
	}
	_, err := c.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// startSpreader starts the exchange of the backend server table with the other entries.
func (s *Supervisor) startSpreader() {
	s.spreader = spreader.New(spreader.Config{
		InstanceID:    s.cfg.InstanceID,
		Incarnation:   s.incarnation,
		Now:           time.Now,
		Lease:         registrar.DefaultLease,
		Interval:      spreader.DefaultInterval,
		Peers:         s.otherEntries,
		Records:       s.registrar.Records,
		DirectRecords: s.registrar.DirectRecords,
		ApplyRelayed:  s.registrar.ApplyRelayed,
		Case:          s.quarantiner.Case,
		Cases:         s.quarantiner.Cases,
		MergeCase:     s.quarantiner.MergeCase,
		Observe:       s.picker.Observe,
		OnChange: func(p spreader.Peer, err error) {
			s.cfg.Log.Info().Str("peer", p.InstanceID).Str("address", p.Address).Err(err).Bool("reached", err == nil).Msg("peer changed")
		},
	})
}

// startProber starts the prober, which probes backend servers for the load that calls have not reported.
func (s *Supervisor) startProber() {
	s.prober = prober.New(prober.Config{
		InstanceID:    s.cfg.InstanceID,
		Now:           time.Now,
		Configuration: s.follower.Current,
		CanProbe:      s.canProbe,
		Servers:       func(service string) []registrar.Server { return s.evacuations.without(s.registrar.Servers(service)) },
		Send:          s.evacuations.guard(s.sender.Do),
		Lease:         registrar.DefaultLease,
		Observe: func(probed *registrar.Server, load sender.Load) {
			s.picker.ObserveProbe(probed, load)
			s.spreader.ReportLoad(probed.Key(), load)
		},
	})
}

// canProbe reports whether this entry's configuration is confirmed as the newest and no other process runs under its instance id.
func (s *Supervisor) canProbe() bool {
	for _, m := range s.follower.Entries() {
		if m.InstanceId == s.cfg.InstanceID && m.Incarnation != s.incarnation {
			return false
		}
	}
	return s.follower.CanServe()
}

func (s *Supervisor) closeSendPath() {
	s.prober.Close()
	s.sender.Close()
	s.quarantiner.Close()
	s.spreader.Close()
}

// otherEntries lists the entries to exchange with. The address is that of the inventory, or else the one that control lists.
func (s *Supervisor) otherEntries() (peers []spreader.Peer, ok bool) {
	listed := make(map[string]bool)
	if cfg := s.follower.Current(); cfg != nil {
		ok = true
		for _, e := range cfg.Inventory.Entries {
			listed[e.InstanceID] = true
			peers = append(peers, spreader.Peer{InstanceID: e.InstanceID, Address: e.PeerAddress})
		}
	}
	for _, m := range s.follower.Entries() {
		if !listed[m.InstanceId] {
			peers = append(peers, spreader.Peer{InstanceID: m.InstanceId, Address: m.PeerAddress})
		}
	}
	return peers, ok
}
