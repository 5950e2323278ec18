package supervisor

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/prober"
	"peridotswitch.example/peridot-entry/quarantiner"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
	"peridotswitch.example/peridot-entry/spreader"
)

// startSending makes what sends calls to backend servers and contains those that crash them.
func (s *Supervisor) startSending() {
	s.registrar = registrar.New(registrar.Config{OnChange: func() { s.spreader.Changed() }})
	s.sender = sender.New(sender.Config{MaxConnections: s.connectionCap})
	s.quarantiner = quarantiner.New(quarantiner.Config{
		Now:               time.Now,
		Send:              func(ctx context.Context, req *sender.Request) (*sender.Response, error) { return s.prober.Do(ctx, req) },
		ConnectionRefused: refuses,
		Find:              s.registrar.Find,
		Expiry:            s.cfg.Containment,
		Share:             func(fingerprints []string) { s.spreader.Share(fingerprints, shareWait) },
		OnChange: func(c quarantiner.ContainedRequest, refused bool) {
			s.cfg.Log.Warn().Bool("refused", refused).Str("fingerprint", c.Fingerprint).Str("service", c.Service).
				Str("method", c.Method).Str("path", c.Path).Strs("crashed", c.Servers).Msg("request that crashes backend servers")
		},
	})
}

const (
	// shareWait is how long a failed call waits until the other entries know of the crash.
	shareWait = 100 * time.Millisecond
	// refuseTimeout is more than opening a connection takes.
	refuseTimeout = 100 * time.Millisecond
	// endingTime is more than a process that is ending needs between closing one connection and closing its listener.
	endingTime = 20 * time.Millisecond
	// refuseTries is enough to be refused after one connection that wasn't kept.
	refuseTries = 3
)

// refuses reports whether nothing listens at an address. A process that is ending may still take a connection, but doesn't keep it.
func refuses(address string) bool {
	for range refuseTries {
		c, err := net.DialTimeout("tcp", address, refuseTimeout)
		if errors.Is(err, syscall.ECONNRESET) {
			continue
		}
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		kept := isKept(c)
		_ = c.Close()
		if kept {
			return false
		}
	}
	return false
}

// isKept reports whether the other side leaves an idle connection open for a moment.
func isKept(c net.Conn) bool {
	if err := c.SetReadDeadline(time.Now().Add(endingTime)); err != nil {
		return false
	}
	_, err := c.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// startSpreading shares the table of backend servers with the other entries.
func (s *Supervisor) startSpreading() {
	s.spreader = spreader.New(spreader.Config{
		InstanceID:  s.cfg.InstanceID,
		Incarnation: s.incarnation,
		Now:         time.Now,
		Lease:       registrar.DefaultLease,
		Every:       spreader.DefaultEvery,
		Peers:       s.otherEntries,
		Records:     s.registrar.Records,
		Direct:      s.registrar.DirectRecords,
		Relay:       s.registrar.ApplyRelayed,
		Case:        s.quarantiner.Case,
		Cases:       s.quarantiner.Cases,
		Take:        s.quarantiner.MergeCase,
		Observe:     s.picker.Observe,
		OnChange: func(p spreader.Peer, err error) {
			s.cfg.Log.Info().Str("peer", p.InstanceID).Str("address", p.Address).Err(err).Bool("reached", err == nil).Msg("peer changed")
		},
	})
}

// startProbing asks backend servers for what calls don't tell.
func (s *Supervisor) startProbing() {
	s.prober = prober.New(prober.Config{
		InstanceID:    s.cfg.InstanceID,
		Now:           time.Now,
		Configuration: s.follower.Current,
		Confirmed:     s.mayProbe,
		Servers:       s.registrar.Servers,
		Send:          s.sender.Do,
		Lease:         registrar.DefaultLease,
		Observe: func(key registrar.Key, load sender.Load) {
			s.picker.Observe(key, load)
			s.spreader.Read(key, load)
		},
	})
}

// mayProbe reports whether this entry's configuration is the newest, and its name not taken by another process.
func (s *Supervisor) mayProbe() bool {
	for _, m := range s.follower.Entries() {
		if m.InstanceId == s.cfg.InstanceID && m.Incarnation != s.incarnation {
			return false
		}
	}
	return s.follower.Serving()
}

func (s *Supervisor) closeSpreading() {
	s.prober.Close()
	s.sender.Close()
	s.quarantiner.Close()
	s.spreader.Close()
}

// otherEntries lists the entries to share with: where the inventory says, or else where control says.
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
