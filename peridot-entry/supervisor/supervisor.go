package supervisor

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

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

// Config is the settings of an entry.
type Config struct {
	InstanceID       string
	AvailabilityZone string
	// Listen takes callers and backend servers, PeerListen other entries, OperatorListen operators; all ip:port.
	Listen         string
	PeerListen     string
	OperatorListen string
	// Control is where control members listen, as ip:port.
	Control       []string
	Data          string
	OperatorToken string
	// Containment is for how long a request that crashes backend servers is refused.
	Containment time.Duration
	// LameDuck is how long a stopping entry goes on taking calls, for callers who keep an older address answer.
	LameDuck time.Duration
	// Policy is the way of choosing a backend server.
	Policy picker.Policy
	// ClaimAnswerBytes is the largest answer to an at-most-once call that is kept for resends.
	ClaimAnswerBytes int
	// ClaimSkew is how far ahead a caller's clock may be.
	ClaimSkew time.Duration
	Log       zerolog.Logger
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
	prober      *prober.Prober
	receiver    *receiver.Receiver
	books       *books
	informer    *informer.Informer
	peers       *server.Server
	claimer     *claimer.Claimer
	orderer     *orderer.Orderer
	stopping    atomic.Bool
}

// New starts an entry.
func New(cfg Config) (s *Supervisor, err error) {
	defer func() { err = errors.WithMessage(err, "start entry") }()
	l, err := listen(cfg)
	if err != nil {
		return nil, err
	}
	s = &Supervisor{cfg: cfg, incarnation: rand.Uint64()}
	wired := make(chan struct{})
	s.follower = follower.New(follower.Config{
		InstanceID: cfg.InstanceID,
		Control:    cfg.Control,
		Folder:     cfg.Data,
		Self: func() *delivererpb.WatchRequest {
			<-wired
			return s.self()
		},
		OnError: func(err error) { cfg.Log.Warn().Err(err).Msg("control not reached") },
	})
	s.startSending()
	s.picker = s.newPicker(s.registrar)
	s.startSpreading()
	s.startProbing()
	close(wired)
	if s.books, err = newBooks(cfg.Log, s.follower.Current); err != nil {
		s.closeSpreading()
		s.follower.Close()
		l.close()
		return nil, err
	}
	limits := limiter.New(limiter.Config{Capacity: func(service string) limiter.Capacity { return s.capacity(s.registrar, service) }})
	s.startOrders()
	d := dispatcher.New(dispatcher.Config{
		Acquire:       limits.Acquire,
		TryAcquire:    limits.TryAcquire,
		Pick:          s.picker.Pick,
		Send:          s.quarantiner.Send,
		RunAtMostOnce: s.orderer.Do,
	})
	s.receiver = receiver.New(receiver.Config{
		Listener:               l.callers,
		Configuration:          s.follower.Current,
		IsConfigurationCurrent: func() bool { return s.follower.Serving() && s.spreader.Synchronised() },
		Entries:                s.members,
		IsStopping:             s.stopping.Load,
		Zone:                   cfg.AvailabilityZone,
		Do:                     d.Do,
		Announce:               s.registrar.Announce,
		Leave:                  s.registrar.Leave,
		OnFinish:               func(t *tracer.Trace) { s.books.finished(t) },
	})
	s.informer = s.newInformer(l.operators)
	s.peers = server.New(server.Config{Listener: l.peers, Handler: s.peerHandler()})
	cfg.Log.Info().Str("listen", cfg.Listen).Str("operator-listen", cfg.OperatorListen).Msg("entry started")
	return s, nil
}

// Close stops the entry: it leaves address answers, goes on taking calls for LameDuck, and then waits for those in flight until
// ctx ends.
func (s *Supervisor) Close(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "stop entry") }()
	s.stopping.Store(true)
	s.cfg.Log.Info().Dur("lame-duck-ms", s.cfg.LameDuck).Msg("entry stopping")
	select {
	case <-ctx.Done():
	case <-time.After(s.cfg.LameDuck):
	}
	err = s.receiver.Close(ctx)
	if settleErr := s.orderer.Close(ctx); err == nil {
		err = settleErr
	}
	s.claimer.Close()
	for _, stop := range []func() error{
		func() error { return s.peers.Close(ctx) },
		func() error { return s.informer.Close(ctx) },
		s.books.close,
	} {
		if stopErr := stop(); err == nil {
			err = stopErr
		}
	}
	s.closeSpreading()
	s.follower.Close()
	s.cfg.Log.Info().Msg("entry stopped")
	return err
}

// members lists the entries that control knows of; this one knows first when it is stopping.
func (s *Supervisor) members() []*delivererpb.EntryMember {
	list := s.follower.Entries()
	if !s.stopping.Load() {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(m *delivererpb.EntryMember) bool { return m.InstanceId == s.cfg.InstanceID })
}

func (s *Supervisor) self() *delivererpb.WatchRequest {
	return &delivererpb.WatchRequest{
		InstanceId:       s.cfg.InstanceID,
		Address:          s.cfg.Listen,
		PeerAddress:      s.cfg.PeerListen,
		AvailabilityZone: s.cfg.AvailabilityZone,
		Incarnation:      s.incarnation,
		Synchronised:     s.follower.Serving() && s.spreader.Synchronised(),
		Stopping:         s.stopping.Load(),
	}
}

func (s *Supervisor) newPicker(reg *registrar.Registrar) *picker.Picker {
	return picker.New(picker.Config{
		InstanceID:       s.cfg.InstanceID,
		AvailabilityZone: s.cfg.AvailabilityZone,
		Servers:          reg.Servers,
		Policy:           s.cfg.Policy,
		MaxInFlight:      s.connectionCap,
	})
}

// connectionCap is this entry's share of a backend server's connections.
func (s *Supervisor) connectionCap(connections int) int {
	return limiter.ConnectionCap(connections, s.entries())
}

// capacity is what all entries share of a service.
func (s *Supervisor) capacity(reg *registrar.Registrar, service string) limiter.Capacity {
	c := limiter.Capacity{Entries: s.entries()}
	for _, b := range reg.Servers(service) {
		if b.State == registrar.Ready {
			c.Slots += b.Slots
		}
	}
	return c
}

// entries is how many entries the inventory lists.
func (s *Supervisor) entries() int {
	cfg := s.follower.Current()
	if cfg == nil {
		return 1
	}
	return len(cfg.Inventory.Entries)
}
