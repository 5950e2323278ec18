package decider

import (
	"hash/maphash"
	"testing"
)

// Bounds of the explored state space.
const (
	modelEntries  = 2
	modelReplicas = 3
	maxBallot     = 2
)

// modelValue is the value of a register: the state and the owner of a claim.
type modelValue struct {
	state State
	owner string
}

type modelRegister = Register[modelValue]

// phase is the step that an entry has reached.
type phase int

const (
	fastRound phase = iota
	prepareRound
	acceptRound
	claimHeld
	releaseRound
	stopped
)

// modelEntry is one send of a call with the key through one entry.
type modelEntry struct {
	phase  phase
	ballot Ballot
	value  modelValue
	// asked are the replicas to which the current round's request was delivered or isn't sent, replied are those that granted it.
	// delayed are those that an Accept request has not reached yet, although the entry no longer waits for it.
	asked, replied, delayed  [modelReplicas]bool
	delayedBallot            Ballot
	delayedValue             modelValue
	votes                    [modelReplicas]Vote[modelValue]
	identities               [modelReplicas][modelReplicas]uint64
	executed, reportedNotRun bool
}

// systemState is a state of all entries and replicas; it is comparable.
type systemState struct {
	replicas   [modelReplicas]modelRegister
	identities [modelReplicas][modelReplicas]uint64
	diskLost   bool
	entries    [modelEntries]modelEntry
}

// modelChecker visits every reachable systemState.
type modelChecker struct {
	quorums Quorums
	// ignoreIdentities also counts replies from before a replica lost its disk.
	ignoreIdentities bool
	// loseDisks lets one replica lose its disk and be rebuilt. Claims are then never released, to keep the number of states small.
	loseDisks bool
	seed      maphash.Seed
	visited   map[uint64]bool
	pending   []systemState
	violation string
}

func (m *modelChecker) run() {
	m.seed, m.visited = maphash.MakeSeed(), make(map[uint64]bool)
	var s systemState
	for i := range s.entries {
		token := string(rune('A' + i))
		s.entries[i].ballot, s.entries[i].value = Ballot{0, token}, modelValue{Claimed, token}
	}
	m.visit(s)
	for len(m.pending) > 0 && m.violation == "" {
		s := m.pending[len(m.pending)-1]
		m.pending = m.pending[:len(m.pending)-1]
		m.loseDisk(s)
		for e := range s.entries {
			m.stepEntry(s, e)
		}
	}
}

func (m *modelChecker) visit(s systemState) {
	for i := range s.entries {
		s.entries[i].normalize()
	}
	// Only a hash of each state is kept: among 3 million states two collide with a probability under 1e-6.
	h := maphash.Comparable(m.seed, s)
	if m.visited[h] {
		return
	}
	m.visited[h] = true
	m.pending = append(m.pending, s)
	executions := 0
	for _, e := range s.entries {
		if e.executed {
			executions++
		}
		if e.executed && e.reportedNotRun {
			m.violation = "the caller was told not-run although the call ran"
		}
	}
	if executions > 1 {
		m.violation = "the call ran twice"
	}
}

// normalize clears fields that no longer have an effect, so that equivalent states are equal.
func (e *modelEntry) normalize() {
	if e.delayed == [modelReplicas]bool{} {
		e.delayedBallot, e.delayedValue = Ballot{}, modelValue{}
	}
	switch e.phase {
	case stopped:
		e.ballot, e.value = Ballot{}, modelValue{}
	case prepareRound:
		e.value = modelValue{}
	}
	for r, ok := range e.replied {
		if !ok {
			e.votes[r] = Vote[modelValue]{}
		}
	}
}

// loseDisk replaces the first replica's disk and rebuilds it from both others. The replicas are alike, so checking the first is enough.
func (m *modelChecker) loseDisk(s systemState) {
	if !m.loseDisks || s.diskLost {
		return
	}
	s.diskLost = true
	var others []modelRegister
	for o := range modelReplicas {
		s.identities[o][0] = 1
		if o != 0 {
			others = append(others, s.replicas[o])
		}
	}
	s.replicas[0] = Merge(m.quorums, others)
	m.visit(s)
}

// stepEntry visits the states after each possible step of entry i: a request is delivered and replied to, a delayed request is delivered,
// or the entry advances to its next phase. An entry that takes no further step has crashed.
func (m *modelChecker) stepEntry(s systemState, i int) {
	for r := range modelReplicas {
		m.deliverDelayed(s, i, r)
		m.deliver(s, i, r)
	}
	m.advance(s, i)
}

func (m *modelChecker) deliverDelayed(s systemState, i, r int) {
	e := &s.entries[i]
	if !e.delayed[r] {
		return
	}
	e.delayed[r] = false
	s.replicas[r].Accept(e.delayedBallot, e.delayedValue)
	m.visit(s)
}

func (m *modelChecker) deliver(s systemState, i, r int) {
	e := &s.entries[i]
	if e.asked[r] || e.phase == claimHeld || e.phase == stopped {
		return
	}
	e.asked[r] = true
	reg := &s.replicas[r]
	ok := false
	if e.phase == prepareRound {
		e.votes[r] = Vote[modelValue]{reg.Accepted, reg.Value}
		ok = reg.Prepare(e.ballot)
	} else {
		ok = reg.Accept(e.ballot, e.value)
	}
	if ok {
		e.replied[r], e.identities[r] = true, s.identities[r]
	}
	m.visit(s)
}

// countedReplies returns the replicas whose replies count towards a quorum.
func (m *modelChecker) countedReplies(e *modelEntry) []int {
	var positions []int
	var ids [][]uint64
	for r, ok := range e.replied {
		if ok {
			positions, ids = append(positions, r), append(ids, e.identities[r][:])
		}
	}
	if m.ignoreIdentities {
		return positions
	}
	var out []int
	for k, ok := range CurrentDisks(positions, ids) {
		if ok {
			out = append(out, positions[k])
		}
	}
	return out
}

func (m *modelChecker) advance(s systemState, i int) {
	e := &s.entries[i]
	got := m.countedReplies(e)
	switch e.phase {
	case fastRound:
		if len(got) >= m.quorums.Fast() {
			m.enterPhase(s, i, claimHeld)
		}
		m.prepare(s, i)
	case prepareRound:
		if len(got) >= m.quorums.Classic() {
			m.propose(s, i, got)
		}
		m.prepare(s, i)
	case acceptRound:
		if len(got) < m.quorums.Classic() {
			m.prepare(s, i)
			return
		}
		if e.value.owner == e.ballot.Owner {
			m.enterPhase(s, i, claimHeld)
		}
	case claimHeld:
		m.executeOrRelease(s, i)
	case releaseRound:
		if len(got) >= m.quorums.Classic() {
			e.reportedNotRun = true
			m.enterPhase(s, i, stopped)
		}
	}
}

// executeOrRelease visits both outcomes of a claim: the call runs, or it doesn't and the claim is released.
func (m *modelChecker) executeOrRelease(s systemState, i int) {
	run := s
	run.entries[i].executed = true
	m.enterPhase(run, i, stopped)
	if m.loseDisks {
		return
	}
	e := &s.entries[i]
	e.value.state, e.ballot = Released, e.ballot.Next()
	m.enterPhase(s, i, releaseRound)
}

// prepare starts the next classic round.
func (m *modelChecker) prepare(s systemState, i int) {
	e := &s.entries[i]
	if e.ballot.Number >= maxBallot {
		return
	}
	b := Ballot{max(e.ballot.Number+1, 2), e.ballot.Owner}
	m.enterPhase(s, i, prepareRound)
	m.delayUndelivered(&s.entries[i])
	e.ballot = b
	e.phase, e.asked, e.replied = prepareRound, [modelReplicas]bool{}, [modelReplicas]bool{}
	e.votes, e.identities = [modelReplicas]Vote[modelValue]{}, [modelReplicas][modelReplicas]uint64{}
	m.visit(s)
}

// delayUndelivered leaves the undelivered Accept requests of a round to be delivered later or never.
func (m *modelChecker) delayUndelivered(e *modelEntry) {
	if e.phase != fastRound && e.phase != acceptRound {
		return
	}
	e.delayedBallot, e.delayedValue = e.ballot, e.value
	for r, asked := range e.asked {
		e.delayed[r] = !asked
	}
}

func (m *modelChecker) propose(s systemState, i int, got []int) {
	e := &s.entries[i]
	var votes []Vote[modelValue]
	for _, r := range got {
		votes = append(votes, e.votes[r])
	}
	v, found := Choose(m.quorums, votes)
	if !found || v.state.CanClaim() {
		v = modelValue{Claimed, e.ballot.Owner}
	}
	e.value = v
	// The Accept request is sent only to the replicas that promised.
	promised := e.replied
	m.reset(e, acceptRound)
	for r := range promised {
		e.asked[r] = !promised[r]
	}
	m.visit(s)
}

func (m *modelChecker) enterPhase(s systemState, i int, p phase) {
	if p == prepareRound {
		return
	}
	e := &s.entries[i]
	if p != releaseRound {
		m.delayUndelivered(e)
	}
	m.reset(e, p)
	m.visit(s)
}

func (m *modelChecker) reset(e *modelEntry, p phase) {
	e.phase, e.asked, e.replied = p, [modelReplicas]bool{}, [modelReplicas]bool{}
	e.votes, e.identities = [modelReplicas]Vote[modelValue]{}, [modelReplicas][modelReplicas]uint64{}
}

// TestEveryInterleaving checks all interleavings of two entries that claim one key at three replicas: the call may run only once, and not
// through an entry that reports it as not run. Requests arrive late or never, entries crash, and a replica loses its disk.
func TestEveryInterleaving(t *testing.T) {
	for name, c := range map[string]struct {
		checker modelChecker
		safe    bool
	}{
		"crashes and lost requests": {modelChecker{quorums: Quorums{modelReplicas}}, true},
		"a lost disk":               {modelChecker{quorums: Quorums{modelReplicas}, loseDisks: true}, true},
		"a lost disk, with replies from before the loss counted": {modelChecker{quorums: Quorums{modelReplicas}, loseDisks: true, ignoreIdentities: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.checker.run()
			t.Logf("%d states, violation %q", len(c.checker.visited), c.checker.violation)
			if (c.checker.violation == "") != c.safe {
				t.Errorf("violation %q, want safe: %v", c.checker.violation, c.safe)
			}
		})
	}
}
