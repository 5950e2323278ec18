package supervisor

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotswitch.example/common/admitter"
	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/server"
	"peridotswitch.example/peridot-entry/claimer"
	"peridotswitch.example/peridot-entry/dispatcher"
	"peridotswitch.example/peridot-entry/follower"
	"peridotswitch.example/peridot-entry/informer"
	"peridotswitch.example/peridot-entry/limiter"
	"peridotswitch.example/peridot-entry/orderer"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/prober"
	"peridotswitch.example/peridot-entry/quarantiner"
	"peridotswitch.example/peridot-entry/receiver"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
	"peridotswitch.example/peridot-entry/spreader"
	"peridotswitch.example/peridot-entry/tracer"
)

// Config configures an entry.
type Config struct {
	InstanceID       string
	AvailabilityZone string
	// Listen is the address for callers and backend servers, PeerListen that for other entries, and OperatorListen that for
	// operators, all as ip:port.
	Listen         string
	PeerListen     string
	OperatorListen string
	// Control lists the addresses of control members, as ip:port.
	Control       []string
	DataDir       string
	OperatorToken string
	// Containment is how long a request that crashes backend servers is refused.
	Containment time.Duration
	// LameDuck is how long a stopping entry goes on taking calls, because callers may still use a cached address list that names it.
	LameDuck time.Duration
	// Policy is how a backend server is chosen for a call.
	Policy picker.Policy
	// ClaimAnswerBytes is the largest response to an at-most-once call that is stored to answer resends of the call.
	ClaimAnswerBytes int
	// ClaimSkew is how far a caller's clock may be ahead of this entry's.
	ClaimSkew time.Duration
	// Admitter limits the connections of this process; nil for one with the process's own limits.
	Admitter *admitter.Admitter
	Log      zerolog.Logger
}

// Supervisor is a running entry.
type Supervisor struct {
	cfg         Config
	incarnation uint64
	follower    *follower.Follower
	registrar   *registrar.Registrar
	spreader    *spreader.Spreader
	sender      *sender.Sender
	quarantiner *quarantiner.Quarantiner
	picker      *picker.Picker
	evacuations evacuations
	prober      *prober.Prober
	receiver    *receiver.Receiver
	stats       *callStats
	informer    *informer.Informer
	peers       *server.Server
	claimer     *claimer.Claimer
	orderer     *orderer.Orderer
	stopping    atomic.Bool
	stopTime    stopTime
	// endCalls ends the calls that have no response yet.
	endCalls func()
}

// New starts an entry.
func New(cfg Config) (s *Supervisor, err error) {
	defer func() { err = errors.WithMessage(err, "start entry") }()
	cfg.Admitter = admitter.OrDefault(cfg.Admitter, cfg.Log)
	l, err := listen(cfg)
	if err != nil {
		return nil, err
	}
	s = &Supervisor{cfg: cfg, incarnation: rand.Uint64()}
	followerSet := make(chan struct{})
	s.follower = s.newFollower(followerSet)
	s.startSender()
	s.picker = s.newPicker(s.registrar)
	s.startSpreader()
	s.startProber()
	if s.stats, err = newCallStats(cfg.Log, s.follower.Current, cfg.Admitter); err == nil {
		// The list as it was stored before a restart.
		s.stats.meter.SetEvacuatedZones(len(s.follower.EvacuatedZones()))
	}
	close(followerSet)
	if err != nil {
		s.closeSendPath()
		s.follower.Close()
		l.close()
		return nil, err
	}
	limits := limiter.New(limiter.Config{Capacity: func(service string) limiter.Capacity { return s.capacity(s.registrar, service) }})
	s.startAtMostOnce()
	d := dispatcher.New(dispatcher.Config{
		Acquire:       limits.Acquire,
		TryAcquire:    limits.TryAcquire,
		Pick:          s.picker.Pick,
		Send:          s.quarantiner.Send,
		RunAtMostOnce: s.orderer.Do,
		StopAt:        s.stopTime.get,
	})
	s.endCalls = func() {
		s.receiver.EndBodies()
		d.Stop()
	}
	s.receiver = receiver.New(receiver.Config{
		Listener:      l.callers,
		Configuration: s.follower.Current,
		CanServe:      func() bool { return s.follower.CanServe() && s.spreader.IsSynchronised() },
		Entries:       s.members,
		IsStopping:    s.stopping.Load,
		Zone:          cfg.AvailabilityZone,
		Do:            d.Do,
		Announce:      s.registrar.Announce,
		Leave:         s.registrar.Leave,
		OnFinish:      func(t *tracer.Trace) { s.stats.record(t) },
		Admitter:      cfg.Admitter,
	})
	s.informer = s.newInformer(l.operators)
	s.peers = server.New(server.Config{
		Listener: l.peers, Handler: s.peerHandler(), ReadHeaderTimeout: peerReadTimeout, ReadTimeout: peerReadTimeout,
		MaxHeaderBytes: maxPeerHeaderBytes, MaxBodyBytes: maxPeerBodyBytes, Admitter: cfg.Admitter, Port: admitter.Peers,
	})
	cfg.Log.Info().Str("listen", cfg.Listen).Str("operator-listen", cfg.OperatorListen).Msg("entry started")
	return s, nil
}

// newFollower returns the follower. It reports to control, and calls nothing of s, only once ready is closed.
func (s *Supervisor) newFollower(ready <-chan struct{}) *follower.Follower {
	return follower.New(follower.Config{
		InstanceID: s.cfg.InstanceID,
		Control:    s.cfg.Control,
		Dir:        s.cfg.DataDir,
		NewWatchRequest: func() *delivererpb.WatchRequest {
			<-ready
			return s.watchRequest()
		},
		OnError: logWatchErrors(s.cfg.Log),
		OnWatchFailure: func(cause follower.Cause) {
			<-ready
			s.stats.meter.RecordWatchFailure(string(cause))
		},
		OnStuck: func(err error) {
			<-ready
			recordStuck(s.cfg.Log, s.stats.meter, err)
		},
		OnEvacuated: func(zones []string) {
			<-ready
			s.recordEvacuated(zones)
		},
	})
}

// Limits of requests from other entries, of which the lists of all backend servers are the largest.
const (
	peerReadTimeout    = 10 * time.Second
	maxPeerHeaderBytes = 16 << 10
	maxPeerBodyBytes   = 16 << 20
)

// Close stops the entry. The entry is removed from the address lists given to callers, goes on taking calls for LameDuck, and then
// waits for calls in flight until ctx ends.
func (s *Supervisor) Close(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "stop entry") }()
	s.stopTime.set(ctx, s.endCalls)
	s.stopping.Store(true)
	s.cfg.Log.Info().Dur("lame-duck-ms", s.cfg.LameDuck).Msg("entry stopping")
	select {
	case <-ctx.Done():
	case <-time.After(s.cfg.LameDuck):
	}
	err = s.receiver.Close(ctx)
	if ordererErr := s.orderer.Close(ctx); err == nil {
		err = ordererErr
	}
	s.claimer.Close()
	for _, stop := range []func() error{
		func() error { return s.peers.Close(ctx) },
		func() error { return s.informer.Close(ctx) },
		s.stats.close,
	} {
		if stopErr := stop(); err == nil {
			err = stopErr
		}
	}
	s.closeSendPath()
	s.follower.Close()
	s.cfg.Log.Info().Msg("entry stopped")
	return err
}

// members lists the entries that control knows of. This entry leaves itself out as soon as it is stopping, before control knows.
func (s *Supervisor) members() []*delivererpb.EntryMember {
	list := s.follower.Entries()
	if !s.stopping.Load() {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(m *delivererpb.EntryMember) bool { return m.InstanceId == s.cfg.InstanceID })
}

func (s *Supervisor) watchRequest() *delivererpb.WatchRequest {
	return &delivererpb.WatchRequest{
		InstanceId:       s.cfg.InstanceID,
		Address:          s.cfg.Listen,
		PeerAddress:      s.cfg.PeerListen,
		AvailabilityZone: s.cfg.AvailabilityZone,
		Incarnation:      s.incarnation,
		Synchronised:     s.follower.CanServe() && s.spreader.IsSynchronised(),
		Stopping:         s.stopping.Load(),
	}
}

func (s *Supervisor) newPicker(reg *registrar.Registrar) *picker.Picker {
	return picker.New(picker.Config{
		InstanceID:       s.cfg.InstanceID,
		AvailabilityZone: s.cfg.AvailabilityZone,
		Servers:          reg.Servers,
		EvacuatedZones:   s.follower.EvacuatedZones,
		Policy:           s.cfg.Policy,
		MaxInFlight:      s.connectionCap,
	})
}

// connectionCap returns this entry's share of a backend server's connections.
func (s *Supervisor) connectionCap(connections int) int {
	return limiter.ConnectionCap(connections, s.entries())
}

// recordEvacuated records a change of the list of evacuated zones.
func (s *Supervisor) recordEvacuated(zones []string) {
	s.stats.meter.SetEvacuatedZones(len(zones))
	logEvacuated(s.cfg.Log, zones)
}

// capacity returns the slots of a service's ready backend servers outside evacuated zones and the number of entries that share them.
func (s *Supervisor) capacity(reg *registrar.Registrar, service string) limiter.Capacity {
	c := limiter.Capacity{Entries: s.entries()}
	for _, b := range s.evacuations.without(reg.Servers(service)) {
		if b.State == registrar.Ready {
			c.Slots += b.Slots
		}
	}
	return c
}

// entries returns the number of entries in the inventory, or 1 without a configuration.
func (s *Supervisor) entries() int {
	cfg := s.follower.Current()
	if cfg == nil {
		return 1
	}
	return len(cfg.Inventory.Entries)
}
