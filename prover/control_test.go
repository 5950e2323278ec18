package prover

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotswitch.example/common/operatorpb"
	"peridotswitch.example/common/parser"
)

// inForceWithin is the documented bound on the time from the acceptance of a change until it is in force at every entry.
const inForceWithin = 4 * time.Second

// callStockLookup makes an idempotent call and returns its status and outcome, or 0 and the error when there was no response.
func (e *entryProcess) callStockLookup() (status int, outcome string) {
	r, err := call(e.address, http.MethodGet, "/call/stock-lookup/item", "", nil)
	if err != nil {
		return 0, err.Error()
	}
	return r.status, r.header.Get("Peridot-Outcome")
}

// waitServing waits until a call through the entry succeeds.
func (e *entryProcess) waitServing() {
	Eventually(func() int { status, _ := e.callStockLookup(); return status }, "20s", "50ms").Should(Equal(http.StatusOK))
}

// startEntryWith starts an entry that knows only the given control addresses and listens for peers at peerListen.
func (c *controlFleet) startEntryWith(e parser.Entry, peerListen, control string, args ...string) *entryProcess {
	ep := &entryProcess{id: e.InstanceID, zone: e.AvailabilityZone, address: e.Address, peerAddress: peerListen, operatorAddress: newAddress()}
	ep.process = start("peridot-entry", append([]string{
		"--instance-id", e.InstanceID,
		"--availability-zone", e.AvailabilityZone,
		"--listen", e.Address,
		"--peer-listen", peerListen,
		"--operator-listen", ep.operatorAddress,
		"--control", control,
	}, args...)...)
	return ep
}

var _ = Describe("control", Label("control"), func() {
	It("serves no old revision from a member that was partitioned during 200 changes, and keeps its leader when that member returns", func() {
		c := newControlFleet(3, 0, 2)
		o := c.observeRevisions()
		leader := c.leader()
		isolated := (leader + 1) % 3
		c.isolate(isolated)
		newest := c.applyChanges("unseen", 200, leader)
		before := c.status()
		spec := parser.Entry{InstanceID: "late-entry", AvailabilityZone: c.controlZone(0), Address: newAddress()}
		lateEntry := c.startEntryWith(spec, newAddress(), c.controlAddresses[isolated])
		Consistently(lateEntry.revision, "4s", "20ms").Should(BeZero(), "the isolated member must not serve a configuration")
		Expect(lateEntry.status("/peridot/ready")).To(Equal(http.StatusServiceUnavailable))
		c.heal()
		Eventually(lateEntry.revision, "20s", "20ms").Should(Equal(newest))
		Eventually(func() int { return lateEntry.status("/peridot/ready") }, "20s", "50ms").Should(Equal(http.StatusOK))
		after := c.status()
		Expect([]any{after.Leader, after.Term}).To(Equal([]any{before.Leader, before.Term}), "the return of the isolated member changed the leader or the term")
		o.check()
	})

	It("lets entries serve without control while a majority of them confirms the configuration, and stops entries without a majority", func() {
		c := newControlFleet(3, 0, 3)
		c.startFake("stock-lookup", "lookup-1", c.controlZone(0))
		for _, e := range c.entries {
			e.waitServing()
		}
		for _, m := range c.control {
			m.kill()
		}
		for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for _, e := range c.entries {
				status, outcome := e.callStockLookup()
				Expect(status).To(Equal(http.StatusOK), outcome)
			}
		}
		c.entries[1].kill()
		c.entries[2].kill()
		time.Sleep(inForceWithin)
		Consistently(func() []any {
			status, outcome := c.entries[0].callStockLookup()
			return []any{status, outcome}
		}, "1s", "50ms").Should(Equal([]any{http.StatusServiceUnavailable, "not-run"}))
		// An entry without --data has lost its configuration in the restart and doesn't count towards the majority.
		c.entries[1].restart()
		Consistently(func() int { status, _ := c.entries[0].callStockLookup(); return status }, "3s", "50ms").Should(Equal(http.StatusServiceUnavailable))
		for _, m := range c.control {
			m.restart()
		}
		c.entries[0].waitServing()
		c.entries[1].waitServing()
	})

	It("brings a change into force at an entry in time, or that entry refuses new calls", func() {
		c := newControlFleet(3, 0, 0)
		directControl := strings.Join(c.controlAddresses, ",")
		var proxyAddresses []string
		for _, p := range c.entryProxies {
			proxyAddresses = append(proxyAddresses, p.address)
		}
		// The third of three entries reaches control only through proxies; the entries reach each other through proxies as well.
		example := &fleet{}
		example.load("velario", 3)
		c.inventory.Entries = example.inventory.Entries
		var peerProxies []*proxy
		for i := range c.inventory.Entries {
			e := &c.inventory.Entries[i]
			listen := e.PeerAddress
			p := newProxy(listen)
			e.PeerAddress = p.address
			peerProxies = append(peerProxies, p)
			control := directControl
			if i == 2 {
				control = strings.Join(proxyAddresses, ",")
			}
			c.entries = append(c.entries, c.startEntryWith(*e, listen, control, "--data", GinkgoT().TempDir()))
		}
		c.apply("entries", 1, marshalInventory(c.inventory), nil)
		c.waitReady()
		c.startFake("stock-lookup", "lookup-1", c.controlZone(0))
		for _, e := range c.entries {
			e.waitServing()
		}
		partitioned := c.entries[2]
		By("partitioning the third entry from control alone: it gets the change from its peers")
		for _, p := range c.entryProxies {
			p.blackhole()
		}
		time.Sleep(time.Second)
		revision := c.applyChanges("by-peers", 1, 0)
		Eventually(partitioned.revision, inForceWithin, "10ms").Should(BeNumerically(">=", revision))
		status, outcome := partitioned.callStockLookup()
		Expect(status).To(Equal(http.StatusOK), outcome)
		By("partitioning it from its peers too: it refuses calls")
		for _, p := range peerProxies {
			p.blackhole()
		}
		revision = c.applyChanges("unheard", 1, 0)
		time.Sleep(inForceWithin)
		Consistently(func() []any {
			status, outcome := partitioned.callStockLookup()
			return []any{partitioned.revision() < revision, status, outcome}
		}, "2s", "50ms").Should(Equal([]any{true, http.StatusServiceUnavailable, "not-run"}))
		By("restarting it: it holds the revision that it stored, not an earlier one")
		held := partitioned.revision()
		partitioned.kill()
		partitioned.restart()
		Eventually(partitioned.revision, "20s", "10ms").Should(Equal(held))
		c.heal()
		for _, p := range peerProxies {
			p.heal()
		}
		Eventually(partitioned.revision, "20s", "10ms").Should(Equal(revision))
		partitioned.waitServing()
	})

	It("replaces a member that lost its disk by a spare, tolerates the loss of another, and readmits the wiped one as a new member", func() {
		c := newControlFleet(3, 1, 2, "--replace-after", "2s")
		c.applyChanges("before", 20, 0)
		wiped := (c.leader() + 1) % 3
		c.wipe(wiped)
		Eventually(func() []any {
			ids, alive := c.voters()
			return []any{len(ids), alive, strings.Contains(strings.Join(ids, ","), "control-4")}
		}, "30s", "100ms").Should(Equal([]any{3, true, true}))
		killed := (wiped + 1) % 3
		c.control[killed].kill()
		survivor := 3 - wiped - killed
		newest := c.applyChanges("after", 20, survivor)
		By("restarting the wiped member with an empty data directory: it replaces the killed one")
		c.control[wiped].restart()
		Eventually(func() []any {
			ids, alive := c.voters()
			return []any{len(ids), alive}
		}, "30s", "100ms").Should(Equal([]any{3, true}))
		newest += 5
		Expect(c.applyChanges("whole", 5, survivor)).To(Equal(newest))
		Expect(strings.Count(c.output(), "cluster founded")).To(Equal(1))
		By("restarting the killed member with its data directory: it finds that it was removed, and offers to join as a new member")
		c.control[killed].restart()
		Eventually(func() string { return c.control[killed].output.String() }, "20s", "100ms").Should(ContainSubstring("removed from membership while away"))
		Expect(c.applyChanges("last", 5, survivor)).To(Equal(newest + 5))
	})

	It("accepts changes with five members after the loss of an availability zone, keeps calls running without a majority, and recovers", func() {
		c := newControlFleet(5, 0, 2)
		c.startFake("stock-lookup", "lookup-1", c.controlZone(0))
		o := c.observeRevisions()
		c.entries[0].waitServing()
		c.control[0].kill()
		c.control[3].kill()
		revision := c.applyChanges("zone-gone", 5, 1, 2, 4)
		c.control[1].kill()
		_, err := c.applyOnce(2, "no-majority", revision)
		Expect(err).To(HaveOccurred(), "a change was accepted by two of five members")
		Consistently(func() int { status, _ := c.entries[0].callStockLookup(); return status }, "5s", "50ms").Should(Equal(http.StatusOK))
		c.control[3].restart()
		newest := revision
		Eventually(func(g Gomega) {
			r, err := c.applyOnce(2, "no-majority", revision)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Accepted).To(BeTrue())
			newest = r.Revision
		}, "20s", "50ms").Should(Succeed())
		Expect(newest).To(Equal(revision + 1))
		o.check()
	})

	It("fails no call and loses no change while each leader in turn is stopped and restarted", func() {
		c := newControlFleet(3, 0, 2)
		c.startFake("stock-lookup", "lookup-1", c.controlZone(0))
		for _, e := range c.entries {
			e.waitServing()
		}
		var wg sync.WaitGroup
		done := make(chan struct{})
		for _, e := range c.entries {
			wg.Go(func() {
				defer GinkgoRecover()
				for {
					select {
					case <-done:
						return
					default:
					}
					status, outcome := e.callStockLookup()
					Expect(status).To(Equal(http.StatusOK), outcome)
				}
			})
		}
		accepted := 0
		for range 3 {
			leader := c.leader()
			stopped := make(chan struct{})
			go func() {
				defer GinkgoRecover()
				defer close(stopped)
				c.control[leader].stop()
			}()
			c.applyChanges("during-"+c.controlAddresses[leader], 20, (leader+1)%3, (leader+2)%3)
			accepted += 20
			<-stopped
			Expect(c.control[leader].exitCode()).To(BeZero())
			Expect(c.control[leader].output.String()).NotTo(ContainSubstring("without a successor"))
			c.control[leader].restart()
			Eventually(func() bool { ids, alive := c.voters(); return len(ids) == 3 && alive }, "20s", "50ms").Should(BeTrue())
		}
		close(done)
		wg.Wait()
		h, err := operatorClient(c.controlAddresses[0]).History(context.Background(), &operatorpb.HistoryRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Changes).To(HaveLen(1 + accepted))
	})
})

// output returns the output of all control members.
func (c *controlFleet) output() (all string) {
	for _, m := range c.control {
		all += m.output.String()
	}
	return all
}

var _ = Describe("control after the permanent loss of a majority", Label("control"), func() {
	It("recovers from one remaining data directory with --recover-alone, and accepts new members", func() {
		c := newControlFleet(3, 0, 1)
		o := c.observeRevisions()
		newest := c.applyChanges("before", 10, 0)
		for i := range 3 {
			c.control[i].kill()
		}
		c.wipe(1)
		c.wipe(2)
		recovery := start("peridot-control", append(c.control[0].args, "--recover-alone")...)
		Eventually(recovery.done, "20s").Should(BeClosed())
		Expect(recovery.exitCode()).To(BeZero(), recovery.output.String())
		for i := range 3 {
			c.control[i].restart()
		}
		revision := c.applyChanges("after", 5, 0)
		Expect(revision).To(Equal(newest + 5))
		for i, id := range []string{"control-2", "control-3"} {
			Eventually(func(g Gomega) {
				ctx, cancel := context.WithTimeout(withOperatorToken(context.Background()), 5*time.Second)
				defer cancel()
				r, err := operatorClient(c.controlAddresses[0]).ChangeMember(ctx, &operatorpb.ChangeMemberRequest{Action: "add", InstanceId: id})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(r.Accepted).To(BeTrue(), r.Refusal)
			}, "20s", "200ms").Should(Succeed())
			Eventually(func() []any { ids, alive := c.voters(); return []any{len(ids), alive} }, "20s", "50ms").Should(Equal([]any{i + 2, true}))
		}
		c.control[0].kill()
		Expect(c.applyChanges("grown", 1, 1)).To(Equal(revision+1), "the two members that joined hold all changes and are a majority of three")
		o.check()
	})
})
