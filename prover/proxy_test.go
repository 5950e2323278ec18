package prover

import (
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// faults describes what a proxy does to the bytes of one direction.
type faults struct {
	// drop reads and discards everything: the receiver sees an open connection on which nothing arrives.
	drop  bool
	delay time.Duration
	// closeAfter is the number of bytes after which the connection is closed, or 0 for never.
	closeAfter int
	// bytesPerSecond limits the throughput; 0 for no limit.
	bytesPerSecond int
}

// proxy is a fault-injecting TCP proxy.
type proxy struct {
	address    string
	target     string
	mu         sync.Mutex
	upstream   faults
	downstream faults
	refuse     bool
	// blackholed counts the calls of blackholeOpen; a connection drops everything once the count has grown since it was opened.
	blackholed int
	conns      map[net.Conn]bool
}

// newProxy starts a proxy in front of target, which is closed when the spec ends.
func newProxy(target string) *proxy {
	p, stop := openProxy(target)
	DeferCleanup(stop)
	return p
}

// openProxy is newProxy for callers that close the proxy themselves, such as benchmarks.
func openProxy(target string) (p *proxy, stop func()) { return openProxyAt(newAddress(), target) }

func openProxyAt(address, target string) (p *proxy, stop func()) {
	l, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	p = &proxy{address: l.Addr().String(), target: target, conns: make(map[net.Conn]bool)}
	go p.serve(l)
	return p, func() {
		_ = l.Close()
		p.reset()
	}
}

// set replaces the faults of both directions; upstream is towards the target.
func (p *proxy) set(upstream, downstream faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream, p.downstream = upstream, downstream
}

// blackhole drops everything in both directions, on open and new connections.
func (p *proxy) blackhole() { p.set(faults{drop: true}, faults{drop: true}) }

// heal removes all faults. Connections that have already lost bytes keep dropping everything.
func (p *proxy) heal() {
	p.set(faults{}, faults{})
	p.refuseNew(false)
}

// blackholeOpen makes the connections that are open drop everything from now on; new ones work.
func (p *proxy) blackholeOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholed++
}

// refuseNew sets whether new connections are closed as soon as they are accepted.
func (p *proxy) refuseNew(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = refuse
}

// reset closes every open connection with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.connect(c)
	}
}

func (p *proxy) connect(client net.Conn) {
	p.mu.Lock()
	refuse := p.refuse
	p.mu.Unlock()
	if refuse {
		_ = client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	blackholed := p.blackholed
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(server, client, &p.upstream, blackholed) })
	wg.Go(func() { p.copy(client, server, &p.downstream, blackholed) })
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, client)
	delete(p.conns, server)
}

// copy forwards bytes in one direction with the faults f. A connection that has dropped bytes never forwards any again.
func (p *proxy) copy(to, from net.Conn, f *faults, blackholed int) {
	buf := make([]byte, 16<<10)
	dropping, sent := false, 0
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		current := *f
		dropping = dropping || current.drop && n > 0 || p.blackholed > blackholed
		p.mu.Unlock()
		if dropping {
			if err != nil {
				return
			}
			continue
		}
		throttle(current, n)
		if current.closeAfter > 0 && sent+n >= current.closeAfter {
			_, _ = to.Write(buf[:max(current.closeAfter-sent, 0)])
			_ = to.Close()
			_ = from.Close()
			return
		}
		sent += n
		if _, werr := to.Write(buf[:n]); werr != nil {
			_ = from.Close()
			return
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func throttle(f faults, n int) {
	time.Sleep(f.delay)
	if f.bytesPerSecond > 0 {
		time.Sleep(time.Duration(n) * time.Second / time.Duration(f.bytesPerSecond))
	}
}
