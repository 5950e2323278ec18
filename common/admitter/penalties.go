package admitter

import (
	"net"
	"net/netip"
	"time"
)

const (
	// penaltyBurst and penaltyRate are how many faulty connections a client address may have at once, and per second after that. A client
	// within the limits has none.
	penaltyBurst, penaltyRate = 100.0, 50.0
	// maxClients limits the addresses that are remembered.
	maxClients = 4096
	// parkTime is how long a faulty connection of such a client is kept open without reading from it. A client that connects again once it is
	// closed then takes little processor time.
	parkTime = time.Second
	// parkShare is the share of a port's connections that may be parked.
	parkShare = 0.25
	// parkedBuffer makes the kernel keep as little as possible of what a parked client sends.
	parkedBuffer = 1 << 10
)

// penalties has a token bucket for each client address that had faulty connections.
type penalties struct {
	clients map[netip.Addr]*bucket
}

type bucket struct {
	tokens float64
	at     time.Time
}

func newPenalties() *penalties { return &penalties{clients: make(map[netip.Addr]*bucket)} }

func (b *bucket) refill(now time.Time) {
	b.tokens = min(b.tokens+penaltyRate*max(now.Sub(b.at).Seconds(), 0), penaltyBurst)
	b.at = now
}

// charge takes a token of a client.
func (p *penalties) charge(client netip.Addr, now time.Time) {
	b := p.clients[client]
	if b == nil {
		if len(p.clients) >= maxClients {
			p.evict(now)
		}
		b = &bucket{tokens: penaltyBurst, at: now}
		p.clients[client] = b
	}
	b.refill(now)
	b.tokens = max(b.tokens-1, 0)
}

// allow reports whether a client has a token left.
func (p *penalties) allow(client netip.Addr, now time.Time) bool {
	b := p.clients[client]
	if b == nil {
		return true
	}
	b.refill(now)
	if b.tokens >= penaltyBurst {
		delete(p.clients, client)
	}
	return b.tokens >= 1
}

// evict makes room for another client: it removes the full buckets, or else any one.
func (p *penalties) evict(now time.Time) {
	for client, b := range p.clients {
		if b.refill(now); b.tokens >= penaltyBurst {
			delete(p.clients, client)
		}
	}
	for client := range p.clients {
		if len(p.clients) < maxClients {
			return
		}
		delete(p.clients, client)
	}
}

// parked is a connection that isn't read and is closed at a time.
type parked struct {
	net.Conn
	until time.Time
}

// park keeps a connection open for parkTime if the port has room, and returns the connections that the caller, which holds a.mu, must close.
func (a *Admitter) park(s *port, nc net.Conn, now time.Time) (toClose []net.Conn) {
	if len(s.conns)+len(s.parked) >= s.limit {
		return []net.Conn{nc}
	}
	if float64(len(s.parked)) >= parkShare*float64(s.limit) {
		toClose = s.unpark(1)
	}
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(parkedBuffer)
	}
	s.parked = append(s.parked, parked{nc, now.Add(parkTime)})
	if !s.sweeping {
		s.sweeping = true
		time.AfterFunc(parkTime, func() { a.sweep(s) })
	}
	return toClose
}

// unpark removes up to n parked connections, the oldest first.
func (s *port) unpark(n int) (toClose []net.Conn) {
	n = min(n, len(s.parked))
	for _, c := range s.parked[:n] {
		toClose = append(toClose, c.Conn)
	}
	s.parked = append([]parked(nil), s.parked[n:]...)
	return toClose
}

// sweep closes the parked connections whose time has passed. While there are others, it is called again.
func (a *Admitter) sweep(s *port) {
	a.mu.Lock()
	now := a.cfg.Now()
	n := 0
	for n < len(s.parked) && !s.parked[n].until.After(now) {
		n++
	}
	toClose := s.unpark(n)
	s.sweeping = len(s.parked) > 0
	if s.sweeping {
		time.AfterFunc(max(s.parked[0].until.Sub(now), parkTime/10), func() { a.sweep(s) })
	}
	a.mu.Unlock()
	closeAll(toClose)
}
