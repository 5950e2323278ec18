package replicator

import "testing"

// After a power loss of all members, callers wait for the first leader. Members restart one after the other; a leader must be elected
// soon after a majority runs again, since members that have seen no leader since their start don't wait for a full election timeout.
func TestRestartOfAllMembersElectsLeaderQuickly(t *testing.T) {
	const lease, startInterval, maxTicks = 4, 2, 4 + 8
	for seed := range uint64(200) {
		c := newCluster(t, seed, 5)
		c.leaseTicks = lease
		c.electLeader()
		down := map[uint64]bool{}
		for _, id := range c.ids {
			down[id] = true
		}
		c.inFlight = nil
		elapsed := -1
		for tick := 0; elapsed < 0 && tick < 100; tick++ {
			if i := tick / startInterval; tick%startInterval == 0 && i < len(c.ids) {
				c.crash(c.ids[i])
				delete(down, c.ids[i])
			}
			for _, id := range c.ids {
				if down[id] {
					c.nodes[id].pausedTicks = 1
				}
			}
			c.tickAll()
			for range 200 {
				c.deliver()
			}
			for _, id := range c.ids {
				if n := c.nodes[id].core; !down[id] && n.role == leader && n.log.term(n.log.commit) == n.vote.Term {
					elapsed = tick - 2*startInterval
				}
			}
		}
		if elapsed < 0 || elapsed > maxTicks {
			t.Errorf("seed %d: leader elected %d ticks after a majority had restarted, want 0 to %d", seed, elapsed, maxTicks)
		}
	}
}
