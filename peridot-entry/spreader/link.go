package spreader

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"peridotswitch.example/common/bounder"
	"peridotswitch.example/peridot-entry/spreaderpb"
)

// link exchanges batches with one peer.
type link struct {
	s         *Spreader
	peer      Peer
	transport *http.Transport
	client    spreaderpb.Spreader
	wake      chan struct{}
	cancel    context.CancelFunc
	// The fields below are guarded by Spreader.mu.

	// incarnation and stamp are the newest that the peer sent, received at stampReceived.
	incarnation   uint64
	stamp         uint64
	stampReceived time.Time
	// acked is the version of the local list that the peer has acknowledged.
	acked uint64
	// lastExchange is when the last exchange ended, whichever side started it.
	lastExchange time.Time
	unreachable  bool
	// loadsSent is the time up to which the peer has received this entry's load reports.
	loadsSent time.Time
}

func newLink(s *Spreader, p Peer) *link {
	t := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	return &link{
		s:         s,
		peer:      p,
		transport: t,
		client:    spreaderpb.NewSpreaderProtobufClient("http://"+p.Address, bounder.NewClient(t, 0)),
		wake:      make(chan struct{}, 1),
	}
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) run(ctx context.Context) {
	defer l.transport.CloseIdleConnections()
	// A random first pause spreads the exchanges of an entry's links over time.
	pause := time.Duration(rand.Int64N(int64(minPause)))
	for {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-l.wake:
			timer.Stop()
			time.Sleep(minPause)
		}
		pause = l.step(ctx)
	}
}

// step exchanges with the peer if an exchange is due, and returns how long to wait until the next step.
func (l *link) step(ctx context.Context) time.Duration {
	s := l.s
	now := s.cfg.Now()
	s.mu.Lock()
	s.local.refresh(s.cfg.DirectRecords(), now)
	due := l.lastExchange.Add(s.cfg.Interval).Sub(now)
	if due > 0 && l.acked == s.local.version && !l.unreachable {
		s.mu.Unlock()
		return due
	}
	s.mu.Unlock()
	err := l.exchange(ctx)
	if ctx.Err() != nil {
		return 0
	}
	s.mu.Lock()
	wasUnreachable := l.unreachable
	l.unreachable = err != nil
	s.mu.Unlock()
	if err != nil {
		// The next exchange must not reuse the connection: a dead one may not return an error and would only time out again.
		l.transport.CloseIdleConnections()
	}
	if wasUnreachable != (err != nil) {
		s.cfg.OnChange(l.peer, err)
	}
	if err != nil {
		return s.cfg.Interval / 2
	}
	return minPause
}

func (l *link) exchange(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	s := l.s
	if !s.synchronised.Load() {
		if err := l.fetchTable(ctx); err != nil {
			return err
		}
	}
	sent := s.cfg.Now()
	reply, err := l.client.Exchange(ctx, l.request(sent))
	if err != nil {
		return err
	}
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	l.recordStamp(reply.Incarnation, reply.StampMs, now)
	l.acked = reply.AckVersion
	l.lastExchange = now
	l.loadsSent = sent
	s.mergeBatch(l.peer.InstanceID, reply.Incarnation, reply.Batch, now.Sub(sent))
	return nil
}

func (l *link) request(now time.Time) *spreaderpb.ExchangeRequest {
	s := l.s
	s.mu.Lock()
	defer s.mu.Unlock()
	req := &spreaderpb.ExchangeRequest{
		From:            s.cfg.InstanceID,
		Incarnation:     s.cfg.Incarnation,
		StampMs:         s.stamp(now),
		EchoIncarnation: l.incarnation,
		EchoStampMs:     l.stamp,
		Batch:           s.batch(l.acked, now),
	}
	req.Readings = s.loadReportsSince(l.loadsSent, now)
	if l.stamp != 0 {
		req.HeldMs = uint64(now.Sub(l.stampReceived) / time.Millisecond)
	}
	req.AckIncarnation, req.AckVersion = s.ackFor(l.peer.InstanceID)
	return req
}

// recordStamp stores the peer's newest stamp; the caller holds Spreader.mu.
func (l *link) recordStamp(incarnation, stamp uint64, now time.Time) {
	if incarnation != l.incarnation {
		l.acked = 0
	}
	l.incarnation, l.stamp, l.stampReceived = incarnation, stamp, now
}

// fetchTable merges the peer's full table and cases, and marks this entry as synchronised if the peer is.
func (l *link) fetchTable(ctx context.Context) error {
	s := l.s
	sent := s.cfg.Now()
	reply, err := l.client.Table(ctx, &spreaderpb.TableRequest{})
	if err != nil {
		return err
	}
	now := s.cfg.Now()
	for _, row := range reply.Rows {
		if row.Server == nil {
			continue
		}
		server := fromWire(row.Server)
		server.ReadySince = now.Add(-time.Duration(row.Server.ReadyForMs) * time.Millisecond)
		if remaining := time.Duration(row.LifeMs)*time.Millisecond - now.Sub(sent); remaining > 0 {
			s.cfg.ApplyRelayed(server, remaining)
		}
	}
	for _, c := range reply.Cases {
		s.cfg.MergeCase(c)
	}
	if reply.Synchronised {
		s.synchronised.Store(true)
	}
	return nil
}
