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

// When many members restart at about the same time and messages take a while, a leader that has just been elected must not be deposed by a
// member that has not heard of it yet: each election costs callers several hundred milliseconds.
func TestNewLeaderIsNotDeposedAfterRestartOfAllMembers(t *testing.T) {
	const (
		members, lease = 19, 4
		startTicks     = 12
		watchTicks     = 12
		seeds          = 100
	)
	deposed := 0
	for seed := range uint64(seeds) {
		c := newCluster(t, seed, members)
		c.leaseTicks = lease
		c.electLeader()
		down := map[uint64]bool{}
		startAt := map[uint64]int{}
		for i, id := range c.ids {
			down[id], startAt[id] = true, (i*7+int(seed))%startTicks
		}
		c.inFlight = nil
		won, elected := uint64(0), -1
		for tick := 0; tick < 100 && (elected < 0 || tick < elected+watchTicks); tick++ {
			for _, id := range c.ids {
				if down[id] && startAt[id] == tick {
					c.crash(id)
					delete(down, id)
				}
				if down[id] {
					c.nodes[id].pausedTicks = 1
				}
			}
			c.tickAll()
			// A message takes about a tick.
			for range len(c.inFlight) {
				c.deliver()
			}
			newest := uint64(0)
			for _, id := range c.ids {
				n := c.nodes[id].core
				newest = max(newest, n.vote.Term)
				if elected < 0 && !down[id] && n.role == leader {
					won, elected = n.vote.Term, tick
				}
			}
			if elected >= 0 && newest > won {
				deposed++
				break
			}
		}
		if elected < 0 {
			t.Errorf("seed %d: no leader within 100 ticks", seed)
		}
	}
	t.Logf("%d of %d leaders were deposed", deposed, seeds)
	if deposed > 0 {
		t.Errorf("%d of %d new leaders were deposed, want none", deposed, seeds)
	}
}
