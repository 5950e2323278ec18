package supervisor

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/informerpb"
	"peridotswitch.example/peridot-entry/follower"
	"peridotswitch.example/peridot-entry/informer"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/spreaderpb"
)

// listeners holds the entry's three listeners: for callers and backend servers, for other entries, and for operators.
type listeners struct {
	callers, peers, operators net.Listener
}

func listen(cfg Config) (l listeners, err error) {
	for _, side := range []struct {
		dst     *net.Listener
		address string
	}{{&l.callers, cfg.Listen}, {&l.peers, cfg.PeerListen}, {&l.operators, cfg.OperatorListen}} {
		if *side.dst, err = net.Listen("tcp", side.address); err != nil {
			l.close()
			return l, err
		}
	}
	return l, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (s *Supervisor) newInformer(l net.Listener) *informer.Informer {
	return informer.New(informer.Config{
		InstanceID:     s.cfg.InstanceID,
		Listener:       l,
		CheckReady:     s.ready,
		Warning:        s.follower.Stuck,
		Metrics:        s.stats.metrics.Handler(),
		Configuration:  s.follower.Current,
		Entries:        s.follower.Entries,
		RecentTraces:   s.stats.traces.Recent,
		FindTraces:     s.stats.traces.Find,
		Counts:         s.stats.accountant.Counts,
		CountedFor:     s.stats.accountant.CountedFor,
		Servers:        s.serverStatus,
		Contained:      func() any { return s.quarantiner.List() },
		Admitter:       s.cfg.Admitter,
		RegisterRoutes: func(mux *http.ServeMux) { s.quarantiner.Mount(mux, s.cfg.OperatorToken) },
	})
}

// peerHandler returns the handler for requests from other entries.
func (s *Supervisor) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(follower.Prefix, s.follower.Handler())
	mux.Handle(delivererpb.GreeterPathPrefix, delivererpb.NewGreeterServer(greeted{s.follower}))
	mux.Handle(informerpb.InformerPathPrefix, s.informer.Handler())
	mux.Handle(spreaderpb.SpreaderPathPrefix, spreaderpb.NewSpreaderServer(s.spreader))
	return mux
}

// ready returns nil if the entry can take calls, or else the reason why it can't.
func (s *Supervisor) ready() error {
	if s.stopping.Load() {
		return errors.New("stopping")
	}
	if s.follower.Current() == nil {
		return errors.New("no configuration yet")
	}
	if !s.follower.CanServe() {
		return errors.New("neither control nor a majority of entries confirms the configuration")
	}
	return nil
}

func (s *Supervisor) serverStatus() (list []informer.ServerStatus) {
	cfg := s.follower.Current()
	if cfg == nil {
		return nil
	}
	now := time.Now()
	for _, service := range cfg.Inventory.Services {
		stats := make(map[string]picker.ServerStats)
		for _, st := range s.picker.Stats(service.Name) {
			stats[st.InstanceID] = st
		}
		for _, b := range s.registrar.Servers(service.Name) {
			st := stats[b.InstanceID]
			status := informer.ServerStatus{
				Service:          b.Service,
				InstanceID:       b.InstanceID,
				Address:          b.Address,
				AvailabilityZone: b.AvailabilityZone,
				State:            string(b.State),
				Ejected:          st.Ejected,
				LeaseLeftMS:      informer.LeaseLeftMS(b.Expires, now),
				Slots:            b.Slots,
				InFlight:         st.InFlight,
				Evacuated:        s.evacuations.has(b.Key()),
			}
			if !st.ReportedAt.IsZero() {
				status.Reported = &informer.ReportedLoad{InFlight: st.ReportedInFlight, AgeMS: now.Sub(st.ReportedAt).Milliseconds()}
			}
			list = append(list, status)
		}
	}
	return list
}
