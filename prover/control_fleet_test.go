package prover

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"peridotswitch.example/common/operatorpb"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/followerpb"
)

// controlFleet is a fleet in which all connections between control members, and from entries to them, go through proxies.
type controlFleet struct {
	*fleet
	// links holds the proxy for each ordered pair of control members; entryProxies holds the proxy of each member for entries.
	links        map[[2]int]*proxy
	entryProxies []*proxy
	dataDirs     []string
}

// newControlFleet starts n control members and the given number of spares behind proxies, then the entries. extraArgs are added
// to the arguments of every control member.
func newControlFleet(n, spares, entries int, extraArgs ...string) *controlFleet {
	c := &controlFleet{fleet: &fleet{}, links: make(map[[2]int]*proxy)}
	c.load("velario", entries)
	var members []string
	for i := range n + spares {
		c.controlAddresses = append(c.controlAddresses, newAddress())
		c.entryProxies = append(c.entryProxies, newProxy(c.controlAddresses[i]))
		if i < n {
			members = append(members, fmt.Sprintf("control-%d=%s@%s", i+1, c.entryProxies[i].address, c.controlZone(i)))
		}
	}
	for i := range n + spares {
		var reach []string
		for j := range n + spares {
			if i != j {
				c.links[[2]int{i, j}] = newProxy(c.controlAddresses[j])
				reach = append(reach, fmt.Sprintf("control-%d=%s", j+1, c.links[[2]int{i, j}].address))
			}
		}
		c.dataDirs = append(c.dataDirs, filepath.Join(GinkgoT().TempDir(), "data"))
		c.control = append(c.control, start("peridot-control", append([]string{
			"--instance-id", fmt.Sprintf("control-%d", i+1),
			"--availability-zone", c.controlZone(i),
			"--listen", c.controlAddresses[i],
			"--advertise", c.entryProxies[i].address,
			"--members", strings.Join(members, ","),
			"--reach", strings.Join(reach, ","),
			"--data", c.dataDirs[i],
			"--operator-token", operatorToken,
		}, extraArgs...)...))
	}
	for i := range c.inventory.Entries {
		c.startEntry(c.inventory.Entries[i])
	}
	c.apply("first", 0, marshalInventory(c.inventory), append([]byte("# first\n"), c.rules...))
	c.waitReady()
	return c
}

func marshalInventory(inv *parser.Inventory) []byte {
	text, err := yaml.Marshal(inv)
	Expect(err).NotTo(HaveOccurred())
	return text
}

func (f *fleet) waitReady() {
	for _, e := range f.entries {
		Eventually(func() int { return e.status("/peridot/ready") }, "20s", "50ms").Should(Equal(http.StatusOK))
	}
}

// isolate partitions a member from the other members, in both directions, on open and new connections.
func (c *controlFleet) isolate(i int) {
	for pair, p := range c.links {
		if pair[0] == i || pair[1] == i {
			p.blackhole()
		}
	}
}

func (c *controlFleet) heal() {
	for _, p := range c.links {
		p.heal()
	}
	for _, p := range c.entryProxies {
		p.heal()
	}
}

// wipe kills a member and deletes its data directory.
func (c *controlFleet) wipe(i int) {
	c.control[i].kill()
	Expect(os.RemoveAll(c.dataDirs[i])).To(Succeed())
}

// status returns the status of the first member that answers and knows the leader.
func (c *controlFleet) status() *operatorpb.StatusReply {
	for _, a := range c.controlAddresses {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, err := operatorClient(a).Status(ctx, &operatorpb.StatusRequest{})
		cancel()
		if err == nil && r.Leader != "" {
			return r
		}
	}
	return &operatorpb.StatusReply{}
}

// leader returns the index of the member that is the leader.
func (c *controlFleet) leader() (i int) {
	Eventually(func() error {
		_, err := fmt.Sscanf(c.status().Leader, "control-%d", &i)
		return err
	}, "20s", "50ms").Should(Succeed())
	return i - 1
}

// voters returns the instance IDs of the voters and whether all of them are alive.
func (c *controlFleet) voters() (ids []string, alive bool) {
	alive = true
	for _, m := range c.status().Control {
		if m.Role == "voter" {
			ids = append(ids, m.InstanceId)
			alive = alive && m.Alive
		}
	}
	return ids, alive
}

// applyOnce sends a change once, through one member.
func (c *controlFleet) applyOnce(via int, id string, base uint64) (*operatorpb.ApplyReply, error) {
	ctx, cancel := context.WithTimeout(withOperatorToken(context.Background()), 4*time.Second)
	defer cancel()
	rules := append([]byte("# "+id+"\n"), c.rules...)
	return operatorClient(c.controlAddresses[via]).Apply(ctx, &operatorpb.ApplyRequest{ChangeId: id, BaseRevision: base, Rules: rules, Who: "prover"})
}

// show returns the current revision and the ID of the change that made its rules, which is in the first line of the rules.
func (c *controlFleet) show(via int) (uint64, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, err := operatorClient(c.controlAddresses[via]).Show(ctx, &operatorpb.ShowRequest{})
	if err != nil {
		return 0, "", err
	}
	id, _, _ := strings.Cut(strings.TrimPrefix(string(r.Rules), "# "), "\n")
	return r.Revision, id, nil
}

// applyChanges makes n changes one after the other through the given members in turn and returns the revision after the last.
func (c *controlFleet) applyChanges(prefix string, n int, via ...int) uint64 {
	var revision uint64
	Eventually(func() (err error) {
		revision, _, err = c.show(via[0])
		return err
	}, "20s", "20ms").Should(Succeed())
	for i := range n {
		id := fmt.Sprintf("%s-%d", prefix, i)
		Eventually(func(g Gomega) {
			r, err := c.applyOnce(via[i%len(via)], id, revision)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Accepted).To(BeTrue(), r.Refusal)
			g.Expect(r.Revision).To(Equal(revision + 1))
		}, "20s", "20ms").Should(Succeed())
		revision++
	}
	return revision
}

// revision returns the revision that an entry holds, or 0 when it holds none or doesn't answer.
func (e *entryProcess) revision() uint64 {
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := followerpb.NewPeerProtobufClient("http://"+e.peerAddress, client).Compare(context.Background(), &followerpb.CompareRequest{Revision: 1 << 60})
	if err != nil {
		return 0
	}
	return r.Revision
}

// revisionObserver checks that the revision held by an entry never decreases, across its restarts too.
type revisionObserver struct {
	mu         sync.Mutex
	violations []string
	stop       chan struct{}
	wg         sync.WaitGroup
}

func (f *fleet) observeRevisions() *revisionObserver {
	o := &revisionObserver{stop: make(chan struct{})}
	for _, e := range f.entries {
		o.wg.Go(func() {
			var highest uint64
			for {
				select {
				case <-o.stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				// 0 means that the entry has just started and holds no revision yet.
				if r := e.revision(); r > 0 && r < highest {
					o.mu.Lock()
					o.violations = append(o.violations, fmt.Sprintf("%s went from revision %d to %d", e.id, highest, r))
					o.mu.Unlock()
				} else if r > highest {
					highest = r
				}
			}
		})
	}
	return o
}

func (o *revisionObserver) check() {
	close(o.stop)
	o.wg.Wait()
	Expect(o.violations).To(BeEmpty())
}
