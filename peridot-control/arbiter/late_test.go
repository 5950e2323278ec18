package arbiter

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// process is one incarnation of a backend server.
type process struct {
	id, address string
	started     int64
	sequence    uint64
	state       ServerState
	crashed     bool
}

func (p *process) isUp() bool { return p.state != Left && !p.crashed }

// announce returns the next announcement.
func (p *process) announce() Server {
	p.sequence++
	return Server{Service: "s", InstanceID: p.id, Address: p.address, Slots: 6, Started: p.started, Sequence: p.sequence, State: p.state}
}

// network is a random history of processes whose announcements arrive late, more than once and out of order.
type network struct {
	t     *testing.T
	rnd   *rand.Rand
	list  *Arbiter
	clock int64
	// processes holds every incarnation, oldest first, and inFlight the announcements that may still arrive.
	processes []*process
	inFlight  []Server
	// expiring are the records whose lease has ended and which haven't been marked as lost yet.
	expiring []Server
	// left and draining hold what has been acknowledged, by incarnation.
	left, draining map[int64]bool
	trace          []string
}

func (n *network) apply(s Server) {
	n.trace = append(n.trace, fmt.Sprintf("%s of %s started %d, sequence %d, at %s", s.State, s.InstanceID, s.Started, s.Sequence, s.Address))
	before := n.list.Servers().Servers[s.InstanceID]
	n.list.Apply(Command{Servers: []Server{s}})
	switch s.State {
	case Left:
		n.left[s.Started] = true
	case Draining:
		n.draining[s.Started] = true
	}
	for id, r := range n.list.Servers().Servers {
		switch {
		case r.isLive() && n.left[r.Started]:
			n.failf("%s, started %d, is %s though its leave was acknowledged", id, r.Started, r.State)
		case r.State == Ready && n.draining[r.Started]:
			n.failf("%s, started %d, is ready though its draining was acknowledged", id, r.Started)
		}
	}
	after := n.list.Servers().Servers[s.InstanceID]
	switch {
	case before == nil || after == nil:
	case after.Started < before.Started:
		n.failf("the record of %s went back from incarnation %d to %d", s.InstanceID, before.Started, after.Started)
	case s.State == Lost && s.Started < before.Started && *after != *before:
		n.failf("an expired lease of incarnation %d has changed the record of %d", s.Started, before.Started)
	case s.State == Lost && s.Started == before.Started && s.Sequence < before.Sequence && *after != *before:
		n.failf("a lease that ended at announcement %d has changed the record, which is of announcement %d", s.Sequence, before.Sequence)
	}
}

func (n *network) failf(format string, args ...any) {
	n.t.Helper()
	n.t.Fatalf("%s\nafter:\n%s", fmt.Sprintf(format, args...), strings.Join(n.trace, "\n"))
}

// start starts a process with a free id at a free address.
func (n *network) start(addresses int) {
	p := &process{id: fmt.Sprint("i", n.rnd.IntN(2)), address: fmt.Sprintf("10.0.0.%d:1", 1+n.rnd.IntN(addresses)), state: Ready}
	if slices.ContainsFunc(n.processes, func(o *process) bool { return o.isUp() && (o.id == p.id || o.address == p.address) }) {
		return
	}
	n.clock++
	p.started = n.clock
	n.processes = append(n.processes, p)
}

// step takes one step: a process starts, announces itself, drains, leaves or crashes, an announcement arrives, or a lease ends.
func (n *network) step(addresses int) {
	up := slices.DeleteFunc(slices.Clone(n.processes), func(p *process) bool { return !p.isUp() })
	action := n.rnd.IntN(14)
	switch {
	case action < 2:
		n.start(addresses)
	case action < 5 && len(up) > 0:
		p := up[n.rnd.IntN(len(up))]
		switch n.rnd.IntN(5) {
		case 0:
			p.state = Draining
		case 1:
			p.state = Left
		case 2:
			p.crashed = true
			return
		}
		n.inFlight = append(n.inFlight, p.announce())
	case action < 10 && len(n.inFlight) > 0:
		i := n.rnd.IntN(len(n.inFlight))
		n.apply(n.inFlight[i])
		if n.rnd.IntN(3) > 0 {
			n.inFlight = slices.Delete(n.inFlight, i, i+1)
		}
	case action < 12:
		for _, s := range n.list.Servers().Servers {
			if s.isLive() && n.rnd.IntN(2) == 0 {
				lost := *s
				lost.State = Lost
				n.expiring = append(n.expiring, lost)
			}
		}
	case len(n.expiring) > 0:
		i := n.rnd.IntN(len(n.expiring))
		n.apply(n.expiring[i])
		n.expiring = slices.Delete(n.expiring, i, i+1)
	}
}

// settle delivers a new announcement of each process that is up, which must then be listed with its state.
func (n *network) settle() {
	for _, p := range n.processes {
		if p.isUp() {
			n.apply(p.announce())
		}
	}
	for _, p := range n.processes {
		if !p.isUp() {
			continue
		}
		if r := n.list.Servers().Servers[p.id]; r == nil || r.Started != p.started || r.State != p.state || r.Address != p.address {
			n.failf("%s, started %d, announces itself as %s, the table holds %+v", p.id, p.started, p.state, r)
		}
	}
}

// Guards against an announcement, late, copied or out of order, of one incarnation that changes the record of another, or that undoes a leave or
// a draining that was acknowledged, and against a server that is up and stays unlisted after them.
func TestLateAnnouncementsChangeNoOtherIncarnation(t *testing.T) {
	for seed := range historyCount(t) {
		n := &network{
			t: t, rnd: rand.New(rand.NewPCG(seed, 13)), list: New(), left: make(map[int64]bool), draining: make(map[int64]bool),
			trace: []string{fmt.Sprint("seed ", seed)},
		}
		addresses := 1 + n.rnd.IntN(2)
		for range 150 {
			n.step(addresses)
		}
		n.settle()
	}
}

// historyCount returns the number of random histories; HISTORIES sets it.
func historyCount(t *testing.T) uint64 {
	text := os.Getenv("HISTORIES")
	if text == "" {
		return 20_000
	}
	count, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return count
}
