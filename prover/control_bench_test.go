package prover

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/operatorpb"
	"peridotswitch.example/peridot-entry/follower"
)

// countingProxy is a TCP proxy that counts the bytes of both directions and delays each read.
type countingProxy struct {
	address, target string
	bytes           atomic.Int64
	delay           time.Duration
}

func newCountingProxy(b *testing.B, target string, delay time.Duration) *countingProxy {
	l, err := net.Listen("tcp", newAddress())
	if err != nil {
		b.Fatal(err)
	}
	p := &countingProxy{address: l.Addr().String(), target: target, delay: delay}
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p
}

func (p *countingProxy) forward(client net.Conn) {
	defer client.Close()
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer server.Close()
	done := make(chan struct{}, 2)
	copyBytes := func(to, from net.Conn) {
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			p.bytes.Add(int64(n))
			time.Sleep(p.delay)
			if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go copyBytes(server, client)
	go copyBytes(client, server)
	<-done
}

// benchControl is a cluster of real control processes, watched by followers in the benchmark that act as entries.
type benchControl struct {
	b            *testing.B
	args         [][]string
	processes    []*exec.Cmd
	listen       []string
	entryProxies []*countingProxy
	links        map[[2]int]*countingProxy
	entries      []*follower.Follower
}

func newBenchControl(b *testing.B, bin string, members, entries, services int, delay time.Duration) *benchControl {
	c := &benchControl{b: b, links: make(map[[2]int]*countingProxy)}
	var list []string
	for i := range members {
		c.listen = append(c.listen, newAddress())
		c.entryProxies = append(c.entryProxies, newCountingProxy(b, c.listen[i], 0))
		list = append(list, fmt.Sprintf("control-%d=%s@zone-%d", i+1, c.entryProxies[i].address, i%3))
	}
	for i := range members {
		var reach []string
		for j := range members {
			if i != j {
				c.links[[2]int{i, j}] = newCountingProxy(b, c.listen[j], delay)
				reach = append(reach, fmt.Sprintf("control-%d=%s", j+1, c.links[[2]int{i, j}].address))
			}
		}
		args := []string{"--instance-id", fmt.Sprintf("control-%d", i+1), "--availability-zone", fmt.Sprintf("zone-%d", i%3),
			"--listen", c.listen[i], "--advertise", c.entryProxies[i].address, "--members", strings.Join(list, ","),
			"--data", filepath.Join(b.TempDir(), "data"), "--operator-token", operatorToken}
		if len(reach) > 0 {
			args = append(args, "--reach", strings.Join(reach, ","))
		}
		c.args = append(c.args, args)
		c.processes = append(c.processes, nil)
		c.start(bin, i)
	}
	inventory := benchInventory(entries, services)
	if !c.apply("first", 0, &operatorpb.ApplyRequest{Inventory: inventory, Rules: benchRules(services, "first")}) {
		b.Fatal("the first change, with inventory and rules, was refused")
	}
	var addresses []string
	for _, p := range c.entryProxies {
		addresses = append(addresses, p.address)
	}
	for i := range entries {
		id := fmt.Sprintf("entry-%02d", i)
		f := follower.New(follower.Config{
			InstanceID: id, Control: addresses, OnError: func(error) {},
			NewWatchRequest: func() *delivererpb.WatchRequest {
				return &delivererpb.WatchRequest{InstanceId: id, Address: "10.0.0.1:7100", PeerAddress: "10.0.0.1:7200", AvailabilityZone: "zone-0", Synchronised: true}
			},
		})
		b.Cleanup(f.Close)
		c.entries = append(c.entries, f)
	}
	for _, f := range c.entries {
		c.wait(20*time.Second, f.CanServe)
	}
	return c
}

func (c *benchControl) start(bin string, i int) {
	cmd := exec.Command(filepath.Join(bin, "peridot-control"), c.args[i]...)
	if err := cmd.Start(); err != nil {
		c.b.Fatal(err)
	}
	c.processes[i] = cmd
	c.b.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
}

func (c *benchControl) wait(timeout time.Duration, done func() bool) {
	for end := time.Now().Add(timeout); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			c.b.Fatal("timed out waiting for a condition")
		}
	}
}

// apply sends a change to the members in turn until one replies, and returns whether it was accepted.
func (c *benchControl) apply(id string, base uint64, req *operatorpb.ApplyRequest) bool {
	req.ChangeId, req.BaseRevision, req.Who = id, base, "bench"
	h := make(http.Header)
	h.Set("Authorization", "Bearer "+operatorToken)
	ctx, err := twirp.WithHTTPRequestHeaders(context.Background(), h)
	if err != nil {
		c.b.Fatal(err)
	}
	for n := range 2000 {
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		reply, err := operatorClient(c.listen[n%len(c.listen)]).Apply(callCtx, req)
		cancel()
		if err == nil {
			return reply.Accepted
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.b.Fatal("no member replied to a change in 2000 attempts")
	return false
}

// applyChanges makes n changes after revision base. It returns how long each took to be accepted and to be held by every entry.
func (c *benchControl) applyChanges(base uint64, n, services int, interval time.Duration) (accepted, inForce []time.Duration) {
	ticker := time.NewTicker(max(interval, time.Microsecond))
	defer ticker.Stop()
	for range n {
		<-ticker.C
		began := time.Now()
		id := fmt.Sprintf("change-%d", base)
		if !c.apply(id, base, &operatorpb.ApplyRequest{Rules: benchRules(services, id)}) {
			c.b.Fatal("a change was refused")
		}
		accepted = append(accepted, time.Since(began))
		base++
		for _, f := range c.entries {
			c.wait(10*time.Second, func() bool { return f.Current().Revision >= base })
		}
		inForce = append(inForce, time.Since(began))
	}
	return accepted, inForce
}

func benchInventory(entries, services int) []byte {
	var s strings.Builder
	s.WriteString("availability-zones:\n  - name: zone-0\n    region: r\n  - name: zone-1\n    region: r\n  - name: zone-2\n    region: r\nentries:\n")
	for i := range entries {
		fmt.Fprintf(&s, "  - instance-id: entry-%02d\n    address: 10.1.1.%d:7100\n    peer-address: 10.1.1.%d:7200\n    availability-zone: zone-%d\n", i, i+1, i+1, i%3)
	}
	s.WriteString("services:\n")
	for i := range services {
		fmt.Fprintf(&s, "  - name: service-%02d\n    objective:\n      latency: 50ms\n      share: 0.995\n    slots: 6\n    connections: 250\n    probe-budget:\n      per-second: 2\n", i)
	}
	return []byte(s.String())
}

func benchRules(services int, id string) []byte {
	var s strings.Builder
	fmt.Fprintf(&s, "# %s\ndefaults:\n  deadline: 2s\nrules:\n", id)
	for i := range services {
		fmt.Fprintf(&s, "  - service: service-%02d\n    method: GET\n    repeat: idempotent\n    deadline: 500ms\n    attempts: 3\n    hedge-share: 0.05\n", i)
	}
	return []byte(s.String())
}

// usage is what one member has used: CPU time, resident memory and network traffic.
type usage struct {
	cpu    time.Duration
	memory int64
	bytes  int64
}

func (c *benchControl) usage(i int) (u usage) {
	u.cpu, u.memory = usageOf(c.processes[i].Process.Pid)
	u.bytes = c.entryProxies[i].bytes.Load()
	for pair, p := range c.links {
		if pair[0] == i || pair[1] == i {
			u.bytes += p.bytes.Load()
		}
	}
	return u
}

// maxUsage runs during and returns the highest CPU use of a member in percent of a core, the highest resident memory and the
// highest traffic of a member in bytes per second.
func (c *benchControl) maxUsage(during func()) (cpu float64, memory int64, bytes float64) {
	var before []usage
	for i := range c.processes {
		before = append(before, c.usage(i))
	}
	began := time.Now()
	during()
	seconds := time.Since(began).Seconds()
	for i := range c.processes {
		u := c.usage(i)
		cpu = max(cpu, 100*(u.cpu-before[i].cpu).Seconds()/seconds)
		memory = max(memory, u.memory)
		bytes = max(bytes, float64(u.bytes-before[i].bytes)/seconds)
	}
	return cpu, memory, bytes
}

func buildControl(b *testing.B) string {
	bin := b.TempDir()
	cmd := exec.Command("go", "build", "-o", filepath.Join(bin, "peridot-control"), ".")
	cmd.Dir = filepath.Join("..", "peridot-control")
	if out, err := cmd.CombinedOutput(); err != nil {
		b.Fatalf("build peridot-control: %v: %s", err, out)
	}
	return bin
}

func latencyQuantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))].Round(100 * time.Microsecond)
}

// BenchmarkControlBudget prints the resource usage of the busiest control member, idle and under changes, at four sizes.
func BenchmarkControlBudget(b *testing.B) {
	bin := buildControl(b)
	const idle, busy = 10 * time.Second, 25
	fmt.Println("| members | entries | services | idle CPU % of a core | idle bytes/s | CPU ms a change | bytes a change | memory MB |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, s := range []struct{ members, entries, services int }{{3, 16, 4}, {5, 16, 8}, {5, 32, 16}, {7, 64, 24}} {
		b.Run(fmt.Sprintf("%d-%d-%d", s.members, s.entries, s.services), func(b *testing.B) {
			c := newBenchControl(b, bin, s.members, s.entries, s.services, 0)
			time.Sleep(2 * time.Second)
			cpu, _, bytes := c.maxUsage(func() { time.Sleep(idle) })
			began := time.Now()
			cpu2, memory, bytes2 := c.maxUsage(func() { c.applyChanges(1, busy, s.services, 200*time.Millisecond) })
			seconds := time.Since(began).Seconds()
			fmt.Printf("| %d | %d | %d | %.2f | %.0f | %.1f | %.0f | %.0f |\n", s.members, s.entries, s.services, cpu, bytes,
				max(0, cpu2-cpu)*seconds*10/busy, max(0, bytes2-bytes)*seconds/busy, float64(memory)/(1<<20))
		})
	}
}

// BenchmarkControlChanges prints the latencies of sequential changes with a one-way delay of 1.5 ms between members.
func BenchmarkControlChanges(b *testing.B) {
	bin := buildControl(b)
	fmt.Println("| members | entries | changes a second | accepted p50 | accepted p99 | in force p50 | in force p99 |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, s := range []struct{ members, entries int }{{3, 16}, {5, 16}, {7, 64}} {
		b.Run(fmt.Sprintf("%d-%d", s.members, s.entries), func(b *testing.B) {
			const n = 150
			c := newBenchControl(b, bin, s.members, s.entries, 4, 1500*time.Microsecond)
			began := time.Now()
			accepted, inForce := c.applyChanges(1, n, 4, 0)
			fmt.Printf("| %d | %d | %.0f | %v | %v | %v | %v |\n", s.members, s.entries, n/time.Since(began).Seconds(),
				latencyQuantile(accepted, 0.5), latencyQuantile(accepted, 0.99), latencyQuantile(inForce, 0.5), latencyQuantile(inForce, 0.99))
		})
	}
}

// BenchmarkControlRecovery prints the time from kill -9 of the leader until a change is accepted, and the time that a member takes
// to start with 10,000 changes in its log, including the election.
func BenchmarkControlRecovery(b *testing.B) {
	bin := buildControl(b)
	const kills, changeCount = 9, 10_000
	c := newBenchControl(b, bin, 3, 3, 4, 1500*time.Microsecond)
	base := uint64(1)
	var recoveryTimes []time.Duration
	for range kills {
		leader := c.leader()
		_ = c.processes[leader].Process.Kill()
		_ = c.processes[leader].Wait()
		began := time.Now()
		c.applyChanges(base, 1, 4, 0)
		recoveryTimes = append(recoveryTimes, time.Since(began))
		base++
		c.start(bin, leader)
		time.Sleep(1500 * time.Millisecond)
	}
	fmt.Printf("| recovery after a leader kill | p50 %v | longest %v of %d |\n", latencyQuantile(recoveryTimes, 0.5), latencyQuantile(recoveryTimes, 1), kills)
	single := newBenchControl(b, bin, 1, 0, 4, 0)
	for i := range uint64(changeCount) {
		single.apply(fmt.Sprintf("c-%d", i), 1+i, &operatorpb.ApplyRequest{Rules: benchRules(4, strconv.FormatUint(i, 10))})
	}
	_ = single.processes[0].Process.Kill()
	_ = single.processes[0].Wait()
	began := time.Now()
	single.start(bin, 0)
	var reply *operatorpb.ShowReply
	single.wait(30*time.Second, func() bool {
		var err error
		reply, err = operatorClient(single.listen[0]).Show(context.Background(), &operatorpb.ShowRequest{})
		return err == nil
	})
	startTime := time.Since(began)
	if reply.Revision != changeCount+1 {
		b.Fatal(errors.New("changes were lost in the restart; revision is"), reply.Revision)
	}
	disk, _ := exec.Command("du", "-sk", single.args[0][len(single.args[0])-3]).Output()
	fmt.Printf("| start after %d changes, election included | %v | memory %d MB | disk %s KB |\n", changeCount, startTime.Round(time.Millisecond),
		single.usage(0).memory>>20, strings.Fields(string(disk) + " 0")[0])
}

func (c *benchControl) leader() (i int) {
	c.wait(20*time.Second, func() bool {
		for _, a := range c.listen {
			r, err := operatorClient(a).Status(context.Background(), &operatorpb.StatusRequest{})
			if err == nil && r.Leader != "" {
				_, err = fmt.Sscanf(r.Leader, "control-%d", &i)
				return err == nil
			}
		}
		return false
	})
	return i - 1
}
