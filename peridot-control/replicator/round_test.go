package replicator

import "testing"

// electLeader removes all faults, runs the cluster until a leader has committed an entry of its own term, and returns its id.
func (c *cluster) electLeader() uint64 {
	c.t.Helper()
	c.heal()
	for range 200 {
		c.tickAll()
		for range 20 {
			c.deliver()
		}
		for _, id := range c.ids {
			n := c.nodes[id].core
			if n.role == leader && n.log.term(n.log.commit) == n.vote.Term {
				return id
			}
		}
	}
	c.t.Fatal("no leader with an entry committed in its term after 200 ticks")
	return 0
}

// runTicks advances time by a number of ticks and delivers up to 20 messages in each.
func (c *cluster) runTicks(ticks int) {
	for range ticks {
		c.tickAll()
		for range 20 {
			c.deliver()
		}
	}
}

// A read round may be confirmed only by acknowledgements of messages sent after the round began, whatever the clock and the lease say.
func TestReadRoundRequiresLaterQuorum(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 3)
		id := c.electLeader()
		n := c.nodes[id].core
		first, ok := n.startReadRound()
		if !ok {
			t.Fatalf("seed %d: a leader with an entry committed in its term can't start a read round", seed)
		}
		if n.confirmedReadRound() >= first {
			t.Fatalf("seed %d: read round %d is confirmed before any acknowledgement", seed, first)
		}
		c.processReady(id)
		c.runTicks(10)
		if n.role == leader && n.confirmedReadRound() < first {
			t.Fatalf("seed %d: read round %d is not confirmed although a majority has acknowledged it", seed, first)
		}
		// An isolated leader still holds its lease for a while by its own clock, which may have stopped.
		id = c.electLeader()
		n = c.nodes[id].core
		c.isolate(id, 0)
		c.inFlight = nil
		isolated, ok := n.startReadRound()
		if !ok {
			continue
		}
		c.processReady(id)
		for range 50 {
			c.deliver()
		}
		if n.role == leader && n.confirmedReadRound() >= isolated {
			t.Fatalf("seed %d: an isolated leader confirmed read round %d", seed, isolated)
		}
	}
}

func TestOnlyLeaderStartsReadRound(t *testing.T) {
	c := newCluster(t, 1, 3)
	id := c.electLeader()
	for _, other := range c.ids {
		if _, ok := c.nodes[other].core.startReadRound(); ok != (other == id) {
			t.Errorf("member %d: startReadRound returned ok %v while member %d leads", other, ok, id)
		}
	}
}
