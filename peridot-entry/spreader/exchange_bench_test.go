package spreader

import (
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotswitch.example/peridot-entry/sender"
	"peridotswitch.example/peridot-entry/spreaderpb"
)

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkExchange prints the HTTP bytes and CPU time that exchanges cost each entry, for several fleet sizes. Each backend server
// announces itself to two entries. Run it with -benchtime 1x.
func BenchmarkExchange(b *testing.B) {
	RegisterTestingT(b)
	fmt.Fprintln(os.Stderr, "| entries | servers | sent B/s per entry | sent B/s per entry, 1 probe per server every 5 s | CPU per entry, share of a core |\n| --- | --- | --- | --- | --- |")
	for _, size := range []struct{ entries, servers int }{{16, 33}, {16, 210}, {16, 630}, {32, 630}, {64, 630}} {
		plain, cpu := measureExchange(size.entries, size.servers, false)
		probed, _ := measureExchange(size.entries, size.servers, true)
		fmt.Fprintf(os.Stderr, "| %d | %d | %.0f | %.0f | %.2f%% |\n", size.entries, size.servers, plain, probed, cpu)
	}
	b.SkipNow()
}

func measureExchange(entries, servers int, probes bool) (bytesPerSecond, cpuShare float64) {
	var bytes atomic.Int64
	var peers atomic.Pointer[[]Peer]
	nodes := make([]*node, entries)
	var list []Peer
	for i := range nodes {
		n := newNode(i, &peers)
		n.srv.Close()
		n.srv = httptest.NewUnstartedServer(spreaderpb.NewSpreaderServer(n.Spreader))
		n.srv.Listener = countingListener{n.srv.Listener, &bytes}
		n.srv.Start()
		list = append(list, Peer{fmt.Sprintf("entry-%d", i), n.srv.Listener.Addr().String()})
		nodes[i] = n
	}
	peers.Store(&list)
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for sequence := uint64(1); ; sequence++ {
			for i := range servers {
				nodes[i%entries].Announce(server(i, sequence))
				nodes[(i+1+i/entries)%entries].Announce(server(i, sequence))
				if probes && sequence%10 == uint64(i%10) {
					s := server(i, 0)
					nodes[i%entries].ReportLoad(s.Key(), sender.Load{InFlight: 3, Slots: 6})
				}
			}
			select {
			case <-done:
				return
			case <-time.After(500 * time.Millisecond):
			}
		}
	}()
	time.Sleep(3 * time.Second)
	Expect(len(nodes[0].Servers("service-00"))).To(Equal((servers + 23) / 24))
	bytes.Store(0)
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	const window = 5 * time.Second
	time.Sleep(window)
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	total := bytes.Load()
	close(done)
	<-stopped
	for _, n := range nodes {
		n.stop()
	}
	runtime.GC()
	cpu := time.Duration(after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano())
	return float64(total) / window.Seconds() / float64(entries), 100 * cpu.Seconds() / window.Seconds() / float64(entries)
}
