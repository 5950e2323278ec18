package spreader

import (
	"context"
	"math"
	"time"

	"github.com/twitchtv/twirp"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
	"peridotswitch.example/peridot-entry/spreaderpb"
)

// Exchange implements spreaderpb.Spreader.
func (s *Spreader) Exchange(_ context.Context, req *spreaderpb.ExchangeRequest) (*spreaderpb.ExchangeReply, error) {
	if req.From == "" || req.Batch == nil {
		return nil, twirp.RequiredArgumentError("from")
	}
	if req.From == s.cfg.InstanceID {
		return nil, twirp.InvalidArgumentError("from", "is this entry's own instance id")
	}
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergeBatch(req.From, req.Incarnation, req.Batch, s.maxAge(req, now))
	for _, r := range req.Readings {
		s.cfg.Observe(registrar.Key{Service: r.Service, InstanceID: r.InstanceId}, sender.Load{InFlight: int(r.InFlight), Slots: int(r.Slots)})
	}
	reply := &spreaderpb.ExchangeReply{Incarnation: s.cfg.Incarnation, StampMs: s.stamp(now)}
	_, reply.AckVersion = s.ackFor(req.From)
	var base uint64
	if req.AckIncarnation == s.cfg.Incarnation {
		base = req.AckVersion
	}
	reply.Batch = s.batch(base, now)
	for p, l := range s.links {
		if p.InstanceID == req.From {
			l.recordStamp(req.Incarnation, req.StampMs, now)
			l.acked = base
			l.lastExchange = now
		}
	}
	return reply, nil
}

// maxAge returns an upper bound of the time since the peer sent the request: the time since this entry issued the stamp that the
// request echoes, less the time for which the peer held the stamp. A request without a stamp of this incarnation has no bound.
func (s *Spreader) maxAge(req *spreaderpb.ExchangeRequest, now time.Time) time.Duration {
	if req.EchoStampMs == 0 || req.EchoIncarnation != s.cfg.Incarnation {
		return math.MaxInt64
	}
	sent := req.EchoStampMs + req.HeldMs
	age := int64(s.stamp(now)) - int64(sent) + 1
	return time.Duration(max(age, 0)) * time.Millisecond
}

// Table implements spreaderpb.Spreader.
func (s *Spreader) Table(context.Context, *spreaderpb.TableRequest) (*spreaderpb.TableReply, error) {
	now := s.cfg.Now()
	reply := &spreaderpb.TableReply{Synchronised: s.IsSynchronised(), Cases: s.cfg.Cases()}
	for _, rec := range s.cfg.Records() {
		if remaining := rec.Server.Expires.Sub(now); remaining > 0 {
			reply.Rows = append(reply.Rows, &spreaderpb.Row{Server: toWire(&rec.Server, now), LifeMs: uint32(remaining / time.Millisecond)})
		}
	}
	return reply, nil
}
