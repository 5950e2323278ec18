package admitter

import (
	"cmp"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// Causes for which connections are closed, as metrics and log lines name them.
const (
	// causeMemory: requests that are being received take up Limits.HeldBytes.
	causeMemory = "memory"
	// causeConnections: the port has its maximum number of connections.
	causeConnections = "connections"
	// causeStalled: the same, and the client has not read its response for maxStall.
	causeStalled = "stalled-write"
	// causeClient: the client's address has had too many connections that ended for one of the causes below, and sent a large header.
	causeClient     = "client"
	causeEmptyLines = "empty-lines"
	causeTimeout    = "header-timeout"
	// causeBadRequest: net/http has refused the request, for its size or its syntax.
	causeBadRequest = "bad-request"
	causeBadBody    = "bad-body"
)

const (
	// freeBytes is how much of each request doesn't count towards Limits.HeldBytes: the buffer that net/http has for each connection.
	freeBytes = 4 << 10
	// lineBytes is what each header line counts in addition to its bytes: net/http's strings, slices and maps.
	lineBytes = 64
	// relief is the share of a limit that is freed at once, so that few connections pay for the search of those to close.
	relief = 0.25
	// connectionRelief is the same for connections. It is small, so that a new connection has time to send its request while others follow.
	connectionRelief = 1.0 / 16
	// maxEmptyBytes limits the CR and LF bytes before a request. RFC 9112, section 2.2, expects one empty line at most.
	maxEmptyBytes = 16
	// maxStall is how long a client may leave its response unread while its port has no connection left for others.
	maxStall = 2 * time.Second
	// logInterval is the minimum time between two log lines.
	logInterval = time.Second
)

// Config configures an Admitter.
type Config struct {
	Limits Limits
	Log    zerolog.Logger
	// Now is a clock; time.Now when nil.
	Now func() time.Time
}

// Admitter counts the connections of all ports of a process, and the bytes of the requests that they are receiving, and closes connections to
// stay within the limits.
type Admitter struct {
	cfg Config

	mu sync.Mutex
	// held is the sum of conn.counted over all connections.
	held  int64
	large map[*conn]struct{}
	ports map[Port]*port
	// penalties are by client address.
	penalties *penalties
	scope     tally.Scope
	counters  map[counterKey]tally.Counter
	lastLog   time.Time
	// unlogged is the number of connections closed since lastLog.
	unlogged int
}

type counterKey struct {
	port  Port
	cause string
}

// port is the state of a port.
type port struct {
	limit  int
	conns  map[*conn]struct{}
	parked []parked
	// sweeping is set while a call of sweep is scheduled.
	sweeping bool
}

// New returns an Admitter.
func New(cfg Config) *Admitter {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Admitter{
		cfg: cfg, large: make(map[*conn]struct{}), ports: make(map[Port]*port), penalties: newPenalties(), scope: tally.NoopScope,
		counters: make(map[counterKey]tally.Counter),
	}
}

// OrDefault returns a, or an Admitter with the process's own limits if a is nil.
func OrDefault(a *Admitter, log zerolog.Logger) *Admitter {
	if a != nil {
		return a
	}
	return New(Config{Limits: NewLimits(0, 0), Log: log})
}

// Count makes the Admitter count closed connections in scope.
func (a *Admitter) Count(scope tally.Scope) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scope = scope
	clear(a.counters)
}

// Limits returns the limits of the Admitter.
func (a *Admitter) Limits() Limits { return a.cfg.Limits }

// Held returns the number of bytes that count towards Limits.HeldBytes.
func (a *Admitter) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// port returns the state of a port. The caller holds a.mu.
func (a *Admitter) port(p Port) *port {
	s := a.ports[p]
	if s == nil {
		s = &port{limit: a.cfg.Limits.Connections(p), conns: make(map[*conn]struct{})}
		a.ports[p] = s
	}
	return s
}

// note counts a closed connection and logs it, at most once per logInterval. The caller holds a.mu.
func (a *Admitter) note(p Port, cause string, client netip.Addr) {
	key := counterKey{p, cause}
	counter := a.counters[key]
	if counter == nil {
		counter = a.scope.Tagged(map[string]string{"port": string(p), "cause": cause}).Counter("closed_connections")
		a.counters[key] = counter
	}
	counter.Inc(1)
	a.unlogged++
	now := a.cfg.Now()
	if now.Sub(a.lastLog) < logInterval {
		return
	}
	a.cfg.Log.Warn().Str("port", string(p)).Str("cause", cause).Stringer("client", client).Int("closed", a.unlogged).Int64("held-bytes", a.held).
		Msg("client connections closed to stay within limits")
	a.lastLog, a.unlogged = now, 0
}

// admit registers a new connection, or closes it and returns nil if the port has no place for it.
func (a *Admitter) admit(nc net.Conn, p Port, timeouts func() Timeouts) *conn {
	client := addressOf(nc)
	a.mu.Lock()
	s := a.port(p)
	now := a.cfg.Now()
	var toClose []net.Conn
	if len(s.conns)+len(s.parked) >= s.limit {
		toClose = a.makeRoom(s, now)
	}
	if len(s.conns)+len(s.parked) >= s.limit {
		a.note(p, causeConnections, client)
		a.mu.Unlock()
		closeAll(append(toClose, nc))
		return nil
	}
	c := &conn{Conn: nc, a: a, port: p, client: client, timeouts: timeouts}
	c.since.Store(now.UnixNano())
	s.conns[c] = struct{}{}
	a.mu.Unlock()
	closeAll(toClose)
	return c
}

// makeRoom frees places on a port: those of parked connections, or else of a share of the connections that wait for a request, or else of those
// whose client doesn't read. Clients with the most waiting connections go first, connections that have never had a request before
// others, and older ones before newer ones. The caller holds a.mu and closes what is returned.
func (a *Admitter) makeRoom(s *port, now time.Time) (toClose []net.Conn) {
	if len(s.parked) > 0 {
		return s.unpark(len(s.conns) + len(s.parked) - s.limit + 1)
	}
	var waiting []*conn
	perClient := make(map[netip.Addr]int)
	for c := range s.conns {
		if c.bytes.Load() >= 0 {
			waiting = append(waiting, c)
			perClient[c.client]++
		}
	}
	slices.SortFunc(waiting, func(x, y *conn) int {
		return cmp.Or(compareBool(x.served.Load(), y.served.Load()), cmp.Compare(perClient[y.client], perClient[x.client]), cmp.Compare(x.since.Load(), y.since.Load()))
	})
	want := max(int(connectionRelief*float64(s.limit)), 1)
	for _, c := range waiting {
		if len(toClose) >= want {
			return toClose
		}
		if c.end() {
			toClose = append(toClose, a.drop(c, causeConnections))
		}
	}
	if len(toClose) > 0 {
		return toClose
	}
	for c := range s.conns {
		if begin := c.writeBegin.Load(); begin != 0 && now.Sub(time.Unix(0, begin)) > maxStall && len(toClose) < want {
			c.bytes.Store(ended)
			toClose = append(toClose, a.drop(c, causeStalled))
		}
	}
	return toClose
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// drop removes a connection that the caller, which holds a.mu, closes afterwards.
func (a *Admitter) drop(c *conn, cause string) net.Conn {
	a.note(c.port, cause, c.client)
	a.remove(c)
	return c.Conn
}

// remove ends the counting of a connection. The caller holds a.mu.
func (a *Admitter) remove(c *conn) {
	a.release(c)
	delete(a.port(c.port).conns, c)
	c.removed = true
}

// release ends the counting of a connection's bytes. The caller holds a.mu.
func (a *Admitter) release(c *conn) {
	a.held -= c.counted.Swap(0)
	delete(a.large, c)
}

// grow counts the bytes of a request that c is receiving. It returns false if c was closed.
func (a *Admitter) grow(c *conn, bytes int64) bool {
	a.mu.Lock()
	if c.removed {
		a.mu.Unlock()
		return false
	}
	now := a.cfg.Now()
	if !a.penalties.allow(c.client, now) && c.end() {
		a.penalties.charge(c.client, now)
		c.faulty = true
		a.note(c.port, causeClient, c.client)
		a.release(c)
		a.mu.Unlock()
		return false
	}
	counted := c.counted.Swap(bytes - freeBytes)
	if counted == 0 {
		a.large[c] = struct{}{}
		c.since.Store(now.UnixNano())
	}
	a.held += bytes - freeBytes - counted
	var toClose []net.Conn
	if a.held > a.cfg.Limits.HeldBytes {
		toClose = a.relieve(c)
	}
	ok := !c.removed
	a.mu.Unlock()
	closeAll(toClose)
	return ok
}

// relieve closes the connections that have held the most for the longest time, those of the clients with the largest sum first, until a
// share of the limit is free. Connections with a request that is being served are left alone; if the others don't suffice, it closes
// the growing connection. The caller holds a.mu and closes what is returned.
func (a *Admitter) relieve(growing *conn) (toClose []net.Conn) {
	now := a.cfg.Now()
	type candidate struct {
		c     *conn
		score float64
	}
	var list []candidate
	perClient := make(map[netip.Addr]float64)
	for c := range a.large {
		if c.bytes.Load() < 0 {
			continue
		}
		score := float64(c.counted.Load()) * (now.Sub(time.Unix(0, c.since.Load())) + time.Millisecond).Seconds()
		list = append(list, candidate{c, score})
		perClient[c.client] += score
	}
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(perClient[y.c.client], perClient[x.c.client]), cmp.Compare(y.score, x.score))
	})
	target := int64((1 - relief) * float64(a.cfg.Limits.HeldBytes))
	for _, v := range list {
		if a.held <= target {
			return toClose
		}
		if v.c.end() {
			a.penalties.charge(v.c.client, now)
			toClose = append(toClose, a.drop(v.c, causeMemory))
		}
	}
	if a.held > a.cfg.Limits.HeldBytes && growing.end() {
		toClose = append(toClose, a.drop(growing, causeMemory))
	}
	return toClose
}

// charge records that a client's connection ends for a fault of the client.
func (a *Admitter) charge(c *conn, cause string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.note(c.port, cause, c.client)
	a.penalties.charge(c.client, a.cfg.Now())
	a.release(c)
	c.faulty = true
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			// The connection is reset, so that unsent data takes up no memory after it.
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// addressOf returns the address of a connection's client; the zero address when it isn't an IP address.
func addressOf(nc net.Conn) netip.Addr {
	if t, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		address := t.AddrPort().Addr().Unmap()
		if address.Is6() {
			// One client usually has a whole network of this size.
			if network, err := address.Prefix(64); err == nil {
				return network.Addr()
			}
		}
		return address
	}
	return netip.Addr{}
}
