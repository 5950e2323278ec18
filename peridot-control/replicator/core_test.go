package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"peridotswitch.example/peridot-control/recorder"
	"peridotswitch.example/peridot-control/replicatorpb"
)

// cluster simulates a set of members on one goroutine and checks the safety invariants after every step.
type cluster struct {
	t     *testing.T
	rand  *rand.Rand
	nodes map[uint64]*node
	ids   []uint64
	// inFlight are the messages in the simulated network, in the order of sending.
	inFlight []*replicatorpb.Message
	// cutLinks are the broken links, each from the first member to the second.
	cutLinks map[[2]uint64]bool
	// committed is the entry that members have committed at each index.
	committed map[uint64]*replicatorpb.Entry
	// leaders is the leader of each term.
	leaders      map[uint64]uint64
	maxCommitted uint64
	trace        []string
	// loseUnsynced makes members never sync, so that a crash loses all their writes; the checks must detect it.
	loseUnsynced bool
	// skipLeaseCheck disables the lease check, for schedules in which clocks don't advance evenly.
	skipLeaseCheck bool
	// leaseTicks is the members' lease; 0 means the election timeout.
	leaseTicks uint64
}

// node is one simulated member: its core and the contents of its disk.
type node struct {
	core *core
	disk recorder.State
	// synced is what survives a crash when loseUnsynced is set.
	synced recorder.State
	// pausedTicks is for how many more ticks the member is suspended, missedTicks how many ticks its core is behind.
	pausedTicks, missedTicks int
}

func newCluster(t *testing.T, seed uint64, n int) *cluster {
	c := &cluster{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[uint64]*node), cutLinks: make(map[[2]uint64]bool),
		committed: make(map[uint64]*replicatorpb.Entry), leaders: make(map[uint64]uint64),
	}
	m := &replicatorpb.Membership{}
	for id := uint64(1); id <= uint64(n); id++ {
		m.Members = append(m.Members, &replicatorpb.Member{Id: id, Voter: true})
	}
	for id := uint64(1); id <= uint64(n); id++ {
		c.add(id, &replicatorpb.Snapshot{Index: 1, Term: 1, Membership: m})
	}
	return c
}

func (c *cluster) add(id uint64, s *replicatorpb.Snapshot) {
	st := recorder.State{ID: id, Vote: &replicatorpb.Vote{Term: 1}, Snapshot: s, Base: &replicatorpb.Position{}}
	if s != nil {
		st.Base = &replicatorpb.Position{Index: s.Index, Term: s.Term}
	}
	c.nodes[id] = &node{disk: st, synced: st}
	c.ids = append(c.ids, id)
	c.start(id)
}

// start creates the core of a member from the contents of its disk.
func (c *cluster) start(id uint64) {
	n := c.nodes[id]
	st := n.disk
	st.Vote = proto.Clone(st.Vote).(*replicatorpb.Vote)
	st.Entries = slices.Clone(st.Entries)
	n.core = newCore(coreConfig{electionTicks: 8, heartbeatTicks: 2, leaseTicks: c.leaseTicks, rand: c.rand}, &st)
}

func (c *cluster) crash(id uint64) {
	n := c.nodes[id]
	if c.loseUnsynced {
		n.disk = n.synced
	}
	c.start(id)
}

// processReady persists and sends the pending output of a core, and checks the safety invariants.
func (c *cluster) processReady(id uint64) {
	n := c.nodes[id]
	r := n.core.ready()
	if r.snapshot != nil {
		n.disk.Snapshot, n.disk.Base, n.disk.Entries = r.snapshot, &replicatorpb.Position{Index: r.snapshot.Index, Term: r.snapshot.Term}, nil
	}
	if r.vote != nil {
		n.disk.Vote = r.vote
	}
	for _, e := range r.entries {
		n.disk.Entries = append(slices.Clone(n.disk.Entries[:e.Index-n.disk.Base.Index-1]), e)
	}
	n.core.advance(r)
	c.inFlight = append(append(c.inFlight, r.messages...), n.core.ready().messages...)
	for _, e := range n.core.nextCommitted() {
		old := c.committed[e.Index]
		if old != nil && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
			c.fail("member %d committed at index %d term %d data %q, another member committed term %d data %q", id, e.Index, e.Term, e.Data, old.Term, old.Data)
		}
		c.committed[e.Index] = e
		c.maxCommitted = max(c.maxCommitted, e.Index)
	}
	if n.core.role == leader {
		if other := c.leaders[n.core.vote.Term]; other != 0 && other != id {
			c.fail("members %d and %d are both leader in term %d", id, other, n.core.vote.Term)
		}
		c.leaders[n.core.vote.Term] = id
	}
	if !c.skipLeaseCheck && n.core.hasLease() && n.core.log.commit < c.maxCommitted {
		c.fail("member %d holds the lease with commit index %d while index %d is committed", id, n.core.log.commit, c.maxCommitted)
	}
	if l := &n.core.log; l.applying > l.snapshot.Index+12 {
		s := &replicatorpb.Snapshot{Index: l.applying, Term: l.term(l.applying), Membership: l.membershipAsOf(l.applying)}
		l.compact(s, 4)
		n.disk.Snapshot, n.disk.Base, n.disk.Entries = s, l.base, slices.Clone(l.entries[:l.stable-l.base.Index])
	}
}

func (c *cluster) fail(format string, args ...any) {
	c.t.Helper()
	if len(c.trace) > 40 {
		c.trace = c.trace[len(c.trace)-40:]
	}
	panic(fmt.Sprintf(format, args...) + fmt.Sprintf("\n%q", c.trace))
}

// deliver delivers one message, sometimes out of order or more than once; it drops a message whose link is cut.
func (c *cluster) deliver() {
	if len(c.inFlight) == 0 {
		return
	}
	i := 0
	if c.rand.IntN(4) == 0 {
		i = c.rand.IntN(len(c.inFlight))
	}
	m := c.inFlight[i]
	if c.rand.IntN(30) > 0 {
		c.inFlight = slices.Delete(c.inFlight, i, i+1)
	}
	n := c.nodes[m.To]
	if n != nil && n.pausedTicks > 0 {
		// Messages to a suspended process stay in its socket buffers.
		c.inFlight = append(c.inFlight, m)
		return
	}
	if n == nil || c.cutLinks[[2]uint64{m.From, m.To}] {
		return
	}
	c.catchUp(m.To)
	n.core.step(proto.Clone(m).(*replicatorpb.Message))
	c.processReady(m.To)
}

// tickAll advances time by one tick for all members; a suspended member catches up when it resumes, as the event loop does.
func (c *cluster) tickAll() {
	for _, id := range c.ids {
		n := c.nodes[id]
		if n.missedTicks++; n.pausedTicks > 0 {
			n.pausedTicks--
			continue
		}
		c.catchUp(id)
	}
}

// catchUp runs the ticks that a member has missed, before any other input, as the event loop does.
func (c *cluster) catchUp(id uint64) {
	for n := c.nodes[id]; n.missedTicks > 0; n.missedTicks-- {
		n.core.tick()
	}
	c.processReady(id)
}

// disturb injects a random fault, membership change, leadership transfer or proposal at a random member, often the leader.
func (c *cluster) disturb(step int) {
	id := c.ids[c.rand.IntN(len(c.ids))]
	if l := c.leaders[c.newestLeaderTerm()]; l != 0 && c.rand.IntN(2) == 0 {
		id = l
	}
	n := c.nodes[id]
	if n.pausedTicks > 0 {
		return
	}
	c.catchUp(id)
	switch c.rand.IntN(32) {
	case 0:
		c.crash(id)
	case 1:
		n.pausedTicks = 4 + c.rand.IntN(20)
	case 2:
		c.cutLinks[[2]uint64{id, c.ids[c.rand.IntN(len(c.ids))]}] = true
	case 3, 4:
		clear(c.cutLinks)
	case 5, 6:
		c.isolate(id, c.ids[c.rand.IntN(len(c.ids))])
	case 7:
		n.core.transferLeadership(func(id uint64) bool { return id == c.ids[0] })
	case 8, 9:
		_, _ = n.core.proposeMembership(func(m []*replicatorpb.Member) ([]*replicatorpb.Member, error) { return c.editMembers(m) })
	default:
		_, _ = n.core.propose(replicatorpb.EntryKind_COMMAND, fmt.Appendf(nil, "%d", step))
	}
	c.processReady(id)
}

// isolate cuts the links between a member and all others but except; with except 0 or the member's own id it cuts all of them.
func (c *cluster) isolate(id, except uint64) {
	for _, other := range c.ids {
		if other != except {
			c.cutLinks[[2]uint64{id, other}], c.cutLinks[[2]uint64{other, id}] = true, true
		}
	}
}

// newestLeaderTerm returns the newest term that has a leader.
func (c *cluster) newestLeaderTerm() (newest uint64) {
	for t := range c.leaders {
		newest = max(newest, t)
	}
	return newest
}

// editMembers promotes a learner if there is one, else removes a member if there are more than 3, else adds a learner.
func (c *cluster) editMembers(m []*replicatorpb.Member) ([]*replicatorpb.Member, error) {
	for _, x := range m {
		if !x.Voter {
			x.Voter = true
			return m, nil
		}
	}
	if len(m) > 3 {
		i := c.rand.IntN(len(m))
		return slices.Delete(m, i, i+1), nil
	}
	id := uint64(len(c.ids) + 1)
	c.add(id, nil)
	return append(m, &replicatorpb.Member{Id: id}), nil
}

func (c *cluster) run(steps int) {
	for step := range steps {
		switch c.rand.IntN(12) {
		case 0, 1:
			c.tickAll()
		case 2:
			c.disturb(step)
		default:
			c.deliver()
		}
	}
}

// heal removes all faults and requires that new entries are then committed.
func (c *cluster) heal() {
	clear(c.cutLinks)
	c.inFlight = nil
	for _, n := range c.nodes {
		n.pausedTicks = 0
	}
	before := c.maxCommitted
	for range 400 {
		c.tickAll()
		for range 100 {
			c.deliver()
		}
		for _, id := range c.ids {
			if c.nodes[id].core.role == leader {
				_, _ = c.nodes[id].core.propose(replicatorpb.EntryKind_COMMAND, []byte("healed"))
				c.processReady(id)
			}
		}
		if c.maxCommitted > before+3 {
			return
		}
	}
	c.fail("commit index %d is at most 3 past %d, 400 ticks after all faults were removed", c.maxCommitted, before)
}

// seeds is the number of random schedules.
const seeds = 300

// TestRandomSchedulesPreserveSafety runs random schedules of faults, membership changes and proposals. Committed entries must never
// change, a term must have at most one leader, and a leader with a lease must know the newest commit index.
func TestRandomSchedulesPreserveSafety(t *testing.T) {
	committed := 0
	for seed := range uint64(seeds) {
		c := newCluster(t, seed, 3+2*int(seed%2))
		c.leaseTicks = seed % 4 * 2
		func() {
			defer func() {
				if p := recover(); p != nil {
					t.Fatalf("seed %d: %v", seed, p)
				}
			}()
			c.run(8_000)
			c.heal()
		}()
		committed += len(c.committed)
	}
	if committed < seeds*20 {
		t.Fatalf("%d entries committed over all seeds, want at least %d: the schedules exercise too little", committed, seeds*20)
	}
	t.Logf("%d entries committed", committed)
}

// TestChecksDetectUnsyncedWrites verifies the invariant checks themselves: members that lose unsynced writes in a crash must fail them.
func TestChecksDetectUnsyncedWrites(t *testing.T) {
	for seed := range uint64(300) {
		c := newCluster(t, seed, 3)
		c.loseUnsynced = true
		found := false
		func() {
			defer func() { found = recover() != nil }()
			c.run(6_000)
		}()
		if found {
			return
		}
	}
	t.Fatal("the checks passed on all schedules although members lost unsynced writes")
}
