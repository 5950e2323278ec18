package replicator

import "testing"

// Guards against members that stop at the same moment and hand the leadership to each other: the last one ends as the leader, with its vote.
func TestLeadershipGoesToAMemberThatStays(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 5)
		id := c.electLeader()
		c.runTicks(10)
		var stays uint64
		for _, other := range c.ids {
			if other != id {
				stays = other
			}
		}
		c.nodes[id].core.transferLeadership(func(id uint64) bool { return id != stays })
		if got := c.nodes[id].core.transferee; got != stays {
			t.Errorf("seed %d: the leadership goes to member %d, want %d, the only one that doesn't stop", seed, got, stays)
		}
		id = c.electLeader()
		c.runTicks(10)
		c.nodes[id].core.transferLeadership(func(uint64) bool { return true })
		if c.nodes[id].core.transferee == 0 {
			t.Errorf("seed %d: the leadership is kept although all others, which stop too, respond", seed)
		}
	}
}
