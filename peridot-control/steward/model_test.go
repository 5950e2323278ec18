package steward

import (
	"context"
	"fmt"
	"slices"
	"time"

	"peridotswitch.example/peridot-control/replicator"
	"peridotswitch.example/peridot-control/replicatorpb"
)

// Times of the model: the platform's replaceAfter, the time that a member counts as lost after it is back, and the time within which control
// must work once all members are back.
const (
	modelReplaceAfter = 10 * time.Second
	modelCatchUp      = 4 * time.Second
	modelRecovery     = 15 * time.Second
	// modelLeave is how long a member that stops waits until its vote is handed over.
	modelLeave = 2 * time.Second
	modelTick  = 500 * time.Millisecond
)

// modelEntry is a log entry; members is nil except for a membership.
type modelEntry struct {
	term    int
	members []*replicatorpb.Member
}

// modelProcess is a process with its disk.
type modelProcess struct {
	id      uint64
	address string
	log     []modelEntry
	steward *Steward
	// up is set while it runs; gone is set once it never comes back. A member that isn't up has been down since downSince.
	up, gone, leaving bool
	// leavingSince is when it announced that it stops.
	downSince, leavingSince time.Duration
	// lost is set until it has caught up after the loss of its disk, or of the process that it succeeds.
	lost     bool
	caughtUp time.Duration
}

// model is a control cluster without network: messages arrive at once, so that a leader's entry is on all members that run. It runs the
// real policy and checks what the members agree on.
type model struct {
	processes   []*modelProcess
	now         time.Duration
	term        int
	nextID      uint64
	leader      *modelProcess
	leaderSince time.Duration
	// yielding vote, but aren't elected, because they stop and transfer their leadership.
	yielding []*modelProcess
	// acked is the longest log that was committed.
	acked   []modelEntry
	request func(members []*replicatorpb.Member) []*replicatorpb.Member
	fault   string
}

func newModel(members int) *model {
	m := &model{term: 1}
	var list []*replicatorpb.Member
	for range members {
		p := m.add()
		p.up = true
		list = append(list, &replicatorpb.Member{Id: p.id, Address: p.address, InstanceId: p.address, Voter: true})
	}
	for _, p := range m.processes {
		p.log = []modelEntry{{1, list}}
	}
	m.pass(30 * time.Second)
	return m
}

// add adds an empty process that doesn't run yet.
func (m *model) add() *modelProcess {
	m.nextID++
	p := &modelProcess{id: m.nextID, address: fmt.Sprintf("m%02d", m.nextID)}
	m.processes = append(m.processes, p)
	p.steward = m.newSteward()
	return p
}

func (m *model) clone() *model {
	c := *m
	c.processes, c.leader = nil, nil
	for _, p := range m.processes {
		q := *p
		q.steward = c.newSteward()
		q.steward.history = slices.Clone(p.steward.history)
		c.processes = append(c.processes, &q)
		if p == m.leader {
			c.leader = &q
		}
	}
	for _, p := range c.processes {
		c.connect(p.steward)
	}
	return &c
}

func (m *model) newSteward() *Steward {
	s := &Steward{cfg: Config{ReplaceAfter: modelReplaceAfter, MaxVoters: 63}}
	m.connect(s)
	return s
}

// connect makes a steward read this model and request changes of it.
func (m *model) connect(s *Steward) {
	edit := func(id uint64, f func(*replicatorpb.Member) *replicatorpb.Member) error {
		m.request = func(members []*replicatorpb.Member) (list []*replicatorpb.Member) {
			for _, o := range members {
				if o.Id == id {
					o = f(o)
				}
				if o != nil {
					list = append(list, o)
				}
			}
			return list
		}
		return nil
	}
	s.now = func() time.Time { return time.Unix(0, 0).Add(m.now) }
	s.cfg.Spares = m.spares
	s.cfg.Leaving = func(id uint64) (time.Duration, bool) {
		p := m.process(id)
		if p == nil {
			return 0, false
		}
		return m.now - p.leavingSince, p.leaving
	}
	s.cfg.AddLearner = func(_ context.Context, l *replicatorpb.Member) error {
		m.request = func(members []*replicatorpb.Member) []*replicatorpb.Member {
			return append(members[:len(members):len(members)], l)
		}
		return nil
	}
	s.cfg.Promote = func(_ context.Context, id uint64) error {
		return edit(id, func(o *replicatorpb.Member) *replicatorpb.Member {
			return &replicatorpb.Member{Id: o.Id, Address: o.Address, InstanceId: o.InstanceId, Voter: true}
		})
	}
	s.cfg.Remove = func(_ context.Context, id uint64) error {
		return edit(id, func(*replicatorpb.Member) *replicatorpb.Member { return nil })
	}
}

func (m *model) process(id uint64) *modelProcess {
	for _, p := range m.processes {
		if p.id == id {
			return p
		}
	}
	return nil
}

// membership returns the membership in force in a log with its index.
func membership(log []modelEntry) ([]*replicatorpb.Member, int) {
	for i := len(log); i > 0; i-- {
		if log[i-1].members != nil {
			return log[i-1].members, i
		}
	}
	return nil, 0
}

func isMember(members []*replicatorpb.Member, id uint64) bool {
	return slices.ContainsFunc(members, func(o *replicatorpb.Member) bool { return o.Id == id })
}

// majority reports whether a majority of the voters of a log's membership satisfy f.
func (m *model) majority(log []modelEntry, f func(*modelProcess) bool) bool {
	members, _ := membership(log)
	voters, yes := 0, 0
	for _, o := range members {
		if !o.Voter {
			continue
		}
		voters++
		if p := m.process(o.Id); p != nil && f(p) {
			yes++
		}
	}
	return 2*yes > voters
}

func isUp(p *modelProcess) bool { return p.up }

func lastTerm(log []modelEntry) int {
	if len(log) == 0 {
		return 0
	}
	return log[len(log)-1].term
}

// elect deposes a leader that has lost its majority and elects the first process that gets one.
func (m *model) elect() {
	if m.leader != nil && m.leader.up && m.majority(m.leader.log, isUp) {
		return
	}
	m.leader = nil
	for _, p := range m.processes {
		members, _ := membership(p.log)
		grants := func(v *modelProcess) bool {
			return v.up && (lastTerm(v.log) < lastTerm(p.log) || lastTerm(v.log) == lastTerm(p.log) && len(v.log) <= len(p.log))
		}
		isCandidate := p.up && !slices.Contains(m.yielding, p) && slices.ContainsFunc(members, func(o *replicatorpb.Member) bool { return o.Voter && o.Id == p.id })
		if isCandidate && m.majority(p.log, grants) {
			m.lead(p)
			return
		}
	}
}

func (m *model) lead(p *modelProcess) {
	for i, e := range m.acked {
		if i >= len(p.log) || p.log[i].term != e.term {
			m.fault = fmt.Sprintf("leader %s lacks committed entry %d", p.address, i+1)
			return
		}
	}
	m.term++
	m.leader, m.leaderSince = p, m.now
	m.propose(nil)
}

// propose appends an entry to the leader's log, sends it to the members that run, and commits it if a majority has it.
func (m *model) propose(members []*replicatorpb.Member) {
	m.leader.log = append(m.leader.log[:len(m.leader.log):len(m.leader.log)], modelEntry{m.term, members})
	m.replicate()
}

func (m *model) replicate() {
	members, _ := membership(m.leader.log)
	for _, o := range members {
		if p := m.process(o.Id); p != nil && p.up {
			p.log = m.leader.log
		}
	}
	if m.majority(m.leader.log, isUp) {
		m.acked = m.leader.log
	}
}

// spares returns the processes that ask to join. One that the leader has removed first takes another identity.
func (m *model) spares() (list []*replicatorpb.Member) {
	for _, p := range m.processes {
		if p.up && len(p.log) == 0 {
			list = append(list, &replicatorpb.Member{Id: p.id, Address: p.address, InstanceId: p.address})
		}
	}
	return list
}

// status returns the view of process p, the leader or another one.
func (m *model) status(p *modelProcess) *replicator.Status {
	members, index := membership(p.log)
	st := &replicator.Status{
		IsLeader: p == m.leader, Commit: uint64(len(m.acked)), MembershipIndex: uint64(index), MembershipCommitted: index <= len(m.acked),
		Self: &replicatorpb.Member{Id: p.id},
	}
	for _, o := range members {
		ms := replicator.MemberStatus{Member: o}
		q := m.process(o.Id)
		switch {
		case q != nil && q.up:
			ms.Match = uint64(len(q.log))
		case q != nil:
			ms.SinceLastAck = m.now - max(q.downSince, m.leaderSince)
			if q.downSince >= m.leaderSince {
				ms.Match = uint64(len(q.log))
			}
		default:
			ms.SinceLastAck = m.now - m.leaderSince
		}
		st.Members = append(st.Members, ms)
	}
	return st
}

// work elects a leader and lets it make up to n membership changes.
func (m *model) work(n int) {
	for ; n > 0 && m.fault == ""; n-- {
		m.elect()
		if m.leader == nil || m.fault != "" {
			return
		}
		m.replicate()
		members, _ := membership(m.leader.log)
		for _, p := range m.processes {
			if p.up && !p.leaving && len(p.log) > 0 && !isMember(members, p.id) {
				m.nextID++
				p.id, p.log = m.nextID, nil
			}
		}
		st := m.status(m.leader)
		if !st.MembershipCommitted {
			return
		}
		next := m.leader.steward.nextChange(st)
		if next == nil {
			return
		}
		if err := next.run(context.Background()); err != nil {
			m.fault = err.Error()
			return
		}
		m.propose(m.request(members))
		for _, p := range m.processes {
			if p.up {
				p.steward.record(m.status(p))
			}
		}
	}
	if n == 0 {
		m.elect()
	}
}

// maxChanges is more than any sequence of changes that ends.
const maxChanges = 60

// pass lets time pass.
func (m *model) pass(d time.Duration) {
	for ; d > 0 && m.fault == ""; d -= modelTick {
		m.now += modelTick
		before := m.term + len(m.acked)
		m.work(maxChanges)
		if m.term+len(m.acked)-before > maxChanges {
			m.fault = "the changes of the membership don't end"
		}
		for _, p := range m.processes {
			if p.up {
				p.steward.record(m.status(p))
			}
			if !p.up || m.leader == nil {
				p.caughtUp = 0
			} else if p.caughtUp += modelTick; p.caughtUp >= modelCatchUp {
				p.lost = false
			}
		}
	}
}

func (m *model) stop(p *modelProcess) { p.up, p.leaving, p.downSince = false, false, m.now }

func (m *model) start(p *modelProcess) {
	p.up, p.caughtUp, p.steward = true, 0, m.newSteward()
}

// terminate stops processes with SIGTERM at the same time: each transfers its leadership, then its vote.
func (m *model) terminate(stopping ...*modelProcess) {
	if m.elect(); slices.Contains(stopping, m.leader) {
		m.leader, m.yielding = nil, stopping
		m.elect()
		m.yielding = nil
	}
	left := slices.Clone(stopping)
	for waited := time.Duration(0); waited < modelLeave; waited += modelTick {
		left = slices.DeleteFunc(left, func(p *modelProcess) bool {
			if m.leader != nil && m.leader != p && m.isVoter(p) && p.steward.HandsOver(m.status(p)) {
				return false
			}
			m.stop(p)
			return true
		})
		if len(left) == 0 {
			return
		}
		for _, p := range left {
			if !p.leaving {
				p.leaving, p.leavingSince = true, m.now
			}
		}
		m.pass(modelTick)
	}
	for _, p := range left {
		m.stop(p)
	}
}

// isVoter reports whether a process has a vote, by its own log.
func (m *model) isVoter(p *modelProcess) bool {
	members, _ := membership(p.log)
	return slices.ContainsFunc(members, func(o *replicatorpb.Member) bool { return o.Voter && o.Id == p.id })
}

// losses counts the members that are lost or down.
func (m *model) losses() (lost, down int) {
	for _, p := range m.processes {
		switch {
		case p.gone:
		case p.lost:
			lost++
		case !p.up:
			down++
		}
	}
	return lost, down
}

// checkRecovery starts all processes and returns what is wrong when they have had time to recover.
func (m *model) checkRecovery() string {
	c := m.clone()
	for _, p := range c.processes {
		if !p.up && !p.gone {
			c.start(p)
		}
	}
	// Nothing more happens once no change was made for longer than a voter may be unresponsive before it is replaced.
	unchanged, length := time.Duration(0), 0
	for passed := time.Duration(0); passed < modelRecovery && unchanged <= modelReplaceAfter/4; passed += modelTick {
		c.pass(modelTick)
		unchanged += modelTick
		if c.leader == nil || len(c.leader.log) != length || c.now-c.leaderSince < modelReplaceAfter/4 {
			unchanged = 0
		}
		if c.leader != nil {
			length = len(c.leader.log)
		}
	}
	switch {
	case c.fault != "":
		return c.fault
	case c.leader == nil:
		return "no leader after all members are back: " + c.describe()
	}
	return ""
}

func (m *model) describe() (text string) {
	longest := []*replicatorpb.Member{}
	for _, p := range m.processes {
		if members, _ := membership(p.log); p.up && len(p.log) > 0 {
			longest = members
		}
	}
	voters, running := 0, 0
	for _, o := range longest {
		if o.Voter {
			voters++
			if p := m.process(o.Id); p != nil && p.up {
				running++
			}
		}
	}
	return fmt.Sprintf("%d of %d voters run", running, voters)
}
