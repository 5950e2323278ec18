package supervisor

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/informerpb"
	"peridotswitch.example/peridot-entry/follower"
	"peridotswitch.example/peridot-entry/informer"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/spreaderpb"
)

// listeners are the three sides of an entry.
type listeners struct {
	callers, peers, operators net.Listener
}

func listen(cfg Config) (l listeners, err error) {
	for _, one := range []struct {
		to      *net.Listener
		address string
	}{{&l.callers, cfg.Listen}, {&l.peers, cfg.PeerListen}, {&l.operators, cfg.OperatorListen}} {
		if *one.to, err = net.Listen("tcp", one.address); err != nil {
			l.close()
			return l, err
		}
	}
	return l, nil
}

func (l listeners) close() {
	for _, one := range []net.Listener{l.callers, l.peers, l.operators} {
		if one != nil {
			_ = one.Close()
		}
	}
}

func (s *Supervisor) newInformer(l net.Listener) *informer.Informer {
	return informer.New(informer.Config{
		InstanceID:    s.cfg.InstanceID,
		Listener:      l,
		Ready:         s.ready,
		Metrics:       s.books.metrics.Handler(),
		Configuration: s.follower.Current,
		Entries:       s.follower.Entries,
		Slow:          s.books.slow.Recent,
		Find:          s.books.slow.Find,
		Counts:        s.books.accountant.Counts,
		Counted:       s.books.accountant.CountedFor,
		Servers:       s.serverStatus,
		Contained:     func() any { return s.quarantiner.List() },
		Mount:         func(mux *http.ServeMux) { s.quarantiner.Mount(mux, s.cfg.OperatorToken) },
	})
}

// peerHandler serves the other entries.
func (s *Supervisor) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(follower.Prefix, s.follower.Handler())
	mux.Handle(informerpb.InformerPathPrefix, s.informer.Handler())
	mux.Handle(spreaderpb.SpreaderPathPrefix, spreaderpb.NewSpreaderServer(s.spreader))
	return mux
}

// ready says why the entry can't take calls, or nil.
func (s *Supervisor) ready() error {
	if s.stopping.Load() {
		return errors.New("stopping")
	}
	if s.follower.Current() == nil {
		return errors.New("no configuration yet")
	}
	if !s.follower.Serving() {
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
		loads := make(map[string]picker.ServerStats)
		for _, r := range s.picker.Stats(service.Name) {
			loads[r.InstanceID] = r
		}
		for _, b := range s.registrar.Servers(service.Name) {
			r := loads[b.InstanceID]
			one := informer.ServerStatus{
				Service:          b.Service,
				InstanceID:       b.InstanceID,
				Address:          b.Address,
				AvailabilityZone: b.AvailabilityZone,
				State:            string(b.State),
				Ejected:          r.Ejected,
				LeaseLeftMS:      informer.LeaseLeft(b.Expires, now),
				Slots:            b.Slots,
				InFlight:         r.InFlight,
			}
			if !r.ReportedAt.IsZero() {
				one.Reported = &informer.ReportedLoad{InFlight: r.ReportedInFlight, AgeMS: now.Sub(r.ReportedAt).Milliseconds()}
			}
			list = append(list, one)
		}
	}
	return list
}
