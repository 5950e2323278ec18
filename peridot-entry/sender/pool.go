package sender

import (
	"context"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// errNoConnection is returned when all connections that this entry may open to a backend server are in use.
var errNoConnection = errors.New("no connection to the backend server is free")

// pool holds the connections to all backend servers.
type pool struct {
	dialer         net.Dialer
	maxConnections func(connections int) int
	// maxOpen limits the connections to all servers together; 0 for no limit.
	maxOpen int64
	open    atomic.Int64
	// seed is that of the hashes of request ids.
	seed  maphash.Seed
	mu    sync.Mutex
	hosts map[string]*host
}

// host holds the connections to one address.
type host struct {
	mu   sync.Mutex
	idle []*conn
	// open counts the connections that are idle, in use or being opened, and total those of all hosts.
	open  int
	total *atomic.Int64
	// suspectBefore is the latest start time of a call whose connection went silent. Connections without a response since then are not used.
	suspectBefore time.Time
	lastUsed      time.Time
}

func newPool(cfg Config) *pool {
	return &pool{
		dialer:         net.Dialer{Timeout: cfg.DialTimeout},
		maxConnections: cfg.MaxConnections,
		maxOpen:        int64(cfg.MaxOpen),
		seed:           maphash.MakeSeed(),
		hosts:          make(map[string]*host),
	}
}

func (p *pool) host(address string) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{total: &p.open}
		p.hosts[address] = h
	}
	h.lastUsed = time.Now()
	return h
}

// hash returns a hash of a request id, 0 for an empty one.
func (p *pool) hash(id string) uint64 {
	if id == "" {
		return 0
	}
	return maphash.String(p.seed, id) | 1
}

// get returns a usable idle connection or opens one. Attempts of one call have the same id, and what tells their responses apart is the
// connection, so that none carries two of them.
func (p *pool) get(ctx context.Context, req *Request) (*conn, error) {
	h := p.host(req.Address)
	limit := 0
	if p.maxConnections != nil && req.Connections > 0 {
		limit = p.maxConnections(req.Connections)
	}
	id := p.hash(req.ID)
	c, dial := h.take(id, req.FreshConnection, limit)
	if c == nil && !dial {
		return nil, errNoConnection
	}
	if c != nil {
		c.beginExchange(id)
		return c, nil
	}
	if !p.makeRoom() {
		h.connClosed()
		return nil, errNoConnection
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", req.Address)
	if err != nil {
		h.connClosed()
		return nil, err
	}
	c = newConn(nc, h, time.Now())
	c.beginExchange(id)
	return c, nil
}

// makeRoom closes idle connections, at most one of each server, until no more than maxOpen are open. It returns false if still more are.
func (p *pool) makeRoom() bool {
	if p.maxOpen == 0 || p.open.Load() <= p.maxOpen {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		if h.closeOldest(); p.open.Load() <= p.maxOpen {
			return true
		}
	}
	return false
}

// closeOldest closes the connection that has been idle longest.
func (h *host) closeOldest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle) > 0 {
		h.closeConn(h.idle[0])
		h.idle = h.idle[1:]
	}
}

// reap closes the connections that have been idle for too long, or all idle ones, and removes hosts that are no longer used.
func (p *pool) reap(now time.Time, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		if h.reap(now, all) {
			delete(p.hosts, address)
		}
	}
}

// take returns an idle connection that has carried no request whose id has that hash, or reports whether the caller may dial one, which counts
// as open from then on. With fresh set, only a connection with a response within freshFor is returned. A connection to dial replaces one that was
// not returned because of the id, or at the limit the one that has been idle longest, which is closed.
func (h *host) take(id uint64, fresh bool, limit int) (c *conn, dial bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var skipped *conn
	for i := len(h.idle) - 1; i >= 0; i-- {
		c = h.idle[i]
		if fresh && now.Sub(c.lastResponse) > freshFor {
			break
		}
		if c.hasCarried(id) {
			skipped = c
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		if h.isUsable(c, now) {
			return c, false
		}
		h.closeConn(c)
	}
	if i := slices.Index(h.idle, skipped); i >= 0 {
		h.idle = slices.Delete(h.idle, i, i+1)
		h.closeConn(skipped)
	}
	if limit > 0 && h.open >= limit && len(h.idle) > 0 {
		h.closeConn(h.idle[0])
		h.idle = h.idle[1:]
	}
	if limit > 0 && h.open >= limit {
		return nil, false
	}
	h.open++
	h.total.Add(1)
	return nil, true
}

func (h *host) isUsable(c *conn, now time.Time) bool {
	return !c.isIdleTooLong(now) && c.lastResponse.After(h.suspectBefore) && c.hasNoInput()
}

// markSuspect closes the idle connections without a response since t, the start time of a call whose connection went silent.
func (h *host) markSuspect(t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.After(h.suspectBefore) {
		h.suspectBefore = t
	}
	kept := h.idle[:0]
	for _, c := range h.idle {
		if c.lastResponse.After(h.suspectBefore) {
			kept = append(kept, c)
		} else {
			h.closeConn(c)
		}
	}
	h.idle = kept
}

func (h *host) put(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.idle = append(h.idle, c)
}

func (h *host) connClosed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
	h.total.Add(-1)
}

// closeConn closes a connection that has been removed from idle; the caller holds mu.
func (h *host) closeConn(c *conn) {
	_ = c.Close()
	h.open--
	h.total.Add(-1)
}

// reap closes the connections that have been idle for too long, or all idle ones. It returns true when none is open and the host was not
// used for hostRetention.
func (h *host) reap(now time.Time, all bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.idle[:0]
	for _, c := range h.idle {
		if all || c.isIdleTooLong(now) {
			h.closeConn(c)
		} else {
			kept = append(kept, c)
		}
	}
	h.idle = kept
	return h.open == 0 && (all || now.Sub(h.lastUsed) > hostRetention)
}
