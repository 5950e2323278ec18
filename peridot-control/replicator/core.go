package replicator

import (
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-control/recorder"
	"peridotswitch.example/peridot-control/replicatorpb"
)

// role is a member's Raft role in its current term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// coreConfig configures a core; all durations are in ticks.
type coreConfig struct {
	electionTicks  uint64
	heartbeatTicks uint64
	// leaseTicks is the length of the leader lease, counted from the sending of the newest message that a quorum has acknowledged.
	// Zero means electionTicks, which is also the upper bound.
	leaseTicks uint64
	rand       *rand.Rand
}

// leaseMarginTicks is the number of ticks by which the leader treats its lease as expired before a follower may grant a vote again.
const leaseMarginTicks = 2

// progress is the leader's view of another member.
type progress struct {
	// match is the highest log index known to be replicated on the member, next the index of the next entry to send to it.
	match uint64
	next  uint64
	// ackedTick is the leader's tick at which it sent the newest message that the member has acknowledged.
	ackedTick uint64
	// sentTick is the leader's tick at which it last sent a message to the member.
	sentTick uint64
	// ackedRound is the newest read round that the member has acknowledged.
	ackedRound uint64
}

// core is the Raft state machine without clock, network or disk. Its inputs are step, tick and propose; ready returns the pending
// output, and advance reports that the output has been persisted.
type core struct {
	cfg      coreConfig
	id       uint64
	role     role
	vote     *replicatorpb.Vote
	leaderID uint64
	log      raftLog

	// now is the number of ticks since the core was created.
	now uint64
	// leaderContact is the tick of the last message from a leader; votes are refused until electionTicks after it. seenLeader is set
	// once any member, this one included, has led since this process started.
	leaderContact uint64
	seenLeader    bool
	// votedAt is the tick of this member's last vote for another one since its start, if hasVoted is set.
	votedAt  uint64
	hasVoted bool
	// electionDeadline is the tick at which to start an election.
	electionDeadline uint64

	// votes are the members that have granted their vote or pre-vote in the current campaign.
	votes map[uint64]bool
	// viaTransfer is set while this member campaigns at the leader's request.
	viaTransfer bool
	// progress is the leader's view of the other members, by id.
	progress map[uint64]*progress
	// transferee is the member to which the leadership is being transferred, 0 if none; the leader steps down at transferDeadline.
	transferee       uint64
	transferDeadline uint64
	// readRound numbers the read rounds of this leader.
	readRound uint64

	voteChanged bool
	// pendingSnapshot is a snapshot from the leader that has not been returned by ready yet.
	pendingSnapshot *replicatorpb.Snapshot
	messages        []*replicatorpb.Message
}

// ready holds the pending output of a core: vote, snapshot and entries must be persisted before messages are sent.
// A leader may send its messages before its entries are persisted.
type ready struct {
	vote     *replicatorpb.Vote
	snapshot *replicatorpb.Snapshot
	entries  []*replicatorpb.Entry
	messages []*replicatorpb.Message
	isLeader bool
}

// newCore returns a core that resumes from the persisted state.
func newCore(cfg coreConfig, st *recorder.State) *core {
	if cfg.leaseTicks == 0 || cfg.leaseTicks > cfg.electionTicks {
		cfg.leaseTicks = cfg.electionTicks
	}
	c := &core{cfg: cfg, id: st.ID, vote: &replicatorpb.Vote{Term: st.Vote.Term, For: st.Vote.For}}
	c.log.restore(st)
	c.becomeFollower(c.vote.Term, 0)
	return c
}

// canCampaign reports whether this member is a voter and so may start an election.
func (c *core) canCampaign() bool {
	m := c.log.member(c.id)
	return m != nil && m.Voter
}

// tick advances the logical clock by one tick.
func (c *core) tick() {
	c.now++
	switch {
	case c.role == leader:
		c.tickLeader()
	case c.now >= c.electionDeadline && c.canCampaign():
		c.viaTransfer = false
		c.campaign(preCandidate)
	case c.now >= c.electionDeadline:
		c.leaderID = 0
		c.resetElectionDeadline()
	}
}

func (c *core) tickLeader() {
	if c.transferee != 0 && c.now >= c.transferDeadline || c.now-c.quorumAckedTick() > 2*c.cfg.electionTicks {
		c.becomeFollower(c.vote.Term, 0)
		return
	}
	for _, m := range c.log.membership().Members {
		if p := c.progress[m.Id]; p != nil && m.Id != c.id && c.now-p.sentTick >= c.cfg.heartbeatTicks {
			c.sendAppend(m.Id)
		}
	}
}

// quorumAckedTick returns the newest tick such that a majority of the voters, this leader included, have acknowledged a message sent
// at that tick or later.
func (c *core) quorumAckedTick() uint64 {
	return c.quorumValue(func(id uint64) uint64 {
		if id == c.id {
			return c.now
		}
		return c.progress[id].ackedTick
	})
}

// quorumValue returns the highest value that a majority of the voters have reached.
func (c *core) quorumValue(valueOf func(id uint64) uint64) uint64 {
	var values []uint64
	for _, m := range c.log.membership().Members {
		if m.Voter {
			values = append(values, valueOf(m.Id))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// hasLease reports whether this leader holds a valid lease, so that no other member can have become leader, and has committed an
// entry of its own term, so that its commit index is up to date.
func (c *core) hasLease() bool {
	return c.role == leader && c.transferee == 0 &&
		c.now-c.quorumAckedTick()+leaseMarginTicks < c.cfg.leaseTicks &&
		c.log.term(c.log.commit) == c.vote.Term
}

// startReadRound asks the voters to confirm that they still follow this leader and returns the number of the round. ok is false
// when this member doesn't lead or has committed no entry of its own term, since its commit index may then be out of date.
func (c *core) startReadRound() (round uint64, ok bool) {
	if c.role != leader || c.log.term(c.log.commit) != c.vote.Term {
		return 0, false
	}
	c.readRound++
	for _, m := range c.log.membership().Members {
		if c.progress[m.Id] != nil && m.Voter {
			c.sendAppend(m.Id)
		}
	}
	return c.readRound, true
}

// confirmedReadRound returns the newest read round that a majority of the voters have acknowledged.
func (c *core) confirmedReadRound() uint64 {
	return c.quorumValue(func(id uint64) uint64 {
		if id == c.id {
			return c.readRound
		}
		if p := c.progress[id]; p != nil {
			return p.ackedRound
		}
		return 0
	})
}

// errNotLeader is returned for proposals to a member that is not the leader, or that is transferring its leadership.
var errNotLeader = errors.New("not the leader")

// propose appends an entry to the leader's log, sends it to the other members and returns its position.
func (c *core) propose(kind replicatorpb.EntryKind, data []byte) (*replicatorpb.Position, error) {
	if c.role != leader || c.transferee != 0 {
		return nil, errNotLeader
	}
	e := &replicatorpb.Entry{Index: c.log.lastIndex() + 1, Term: c.vote.Term, Kind: kind, Data: data}
	c.log.append(e)
	for _, m := range c.log.membership().Members {
		if m.Id != c.id {
			c.trackMember(m.Id, 0)
			c.sendAppend(m.Id)
		}
	}
	return &replicatorpb.Position{Index: e.Index, Term: e.Term}, nil
}

func (c *core) trackMember(id, ackedTick uint64) {
	if c.progress[id] == nil {
		c.progress[id] = &progress{next: c.log.lastIndex() + 1, ackedTick: ackedTick}
	}
}

// ready returns the pending output; the caller must persist it and then call advance.
func (c *core) ready() ready {
	r := ready{snapshot: c.pendingSnapshot, entries: c.log.unstableEntries(), messages: c.messages, isLeader: c.role == leader}
	if c.voteChanged {
		r.vote = &replicatorpb.Vote{Term: c.vote.Term, For: c.vote.For}
	}
	c.messages, c.pendingSnapshot, c.voteChanged = nil, nil, false
	return r
}

// advance reports that everything in r is durable.
func (c *core) advance(r ready) {
	if n := len(r.entries); n > 0 {
		c.log.stable = r.entries[n-1].Index
	}
	if c.role == leader {
		c.advanceCommit()
	}
}

// nextCommitted returns the committed entries that it has not returned before.
func (c *core) nextCommitted() []*replicatorpb.Entry {
	return c.log.nextCommitted()
}

func (c *core) send(m *replicatorpb.Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.vote.Term
	}
	c.messages = append(c.messages, m)
}

func (c *core) becomeFollower(term, leaderID uint64) {
	if term > c.vote.Term {
		c.vote = &replicatorpb.Vote{Term: term}
		c.voteChanged = true
	}
	c.role, c.leaderID = follower, leaderID
	c.transferee, c.viaTransfer = 0, false
	c.resetElectionDeadline()
}

// startupElectionTimeouts is the number of election timeouts after its start during which a member that has seen no leader campaigns
// at short intervals. After a power loss of all members no leader is alive, so there is no need to wait a full election timeout.
const startupElectionTimeouts = 4

func (c *core) resetElectionDeadline() {
	base, jitter := c.cfg.electionTicks, c.cfg.electionTicks
	if !c.seenLeader && c.now < startupElectionTimeouts*c.cfg.electionTicks {
		base, jitter = 1, c.cfg.leaseTicks
		if c.now < c.cfg.leaseTicks {
			base = c.cfg.leaseTicks - c.now
		}
		if c.hasJustVoted() {
			base = c.cfg.leaseTicks
		}
	}
	c.electionDeadline = c.now + base + c.cfg.rand.Uint64N(jitter)
}

func (c *core) becomeLeader() {
	c.role, c.leaderID, c.transferee, c.seenLeader = leader, c.id, 0, true
	c.progress = make(map[uint64]*progress)
	for _, m := range c.log.membership().Members {
		if m.Id != c.id {
			// Counting the members as acknowledged now grants no lease early: hasLease also requires an entry committed in this
			// term, which a majority can only have acknowledged after this point.
			c.trackMember(m.Id, c.now)
		}
	}
	_, _ = c.propose(replicatorpb.EntryKind_NOOP, nil)
}
