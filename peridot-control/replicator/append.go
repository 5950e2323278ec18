package replicator

import (
	"peridotswitch.example/peridot-control/replicatorpb"
)

// maxAppendBytes bounds the entry data of one APPEND message; a single entry larger than this is sent on its own.
const maxAppendBytes = 256 << 10

// step handles a message from another member.
func (c *core) step(m *replicatorpb.Message) {
	if m.To != c.id || !c.stepTerm(m) {
		return
	}
	switch m.Kind {
	case replicatorpb.MessageKind_APPEND:
		c.followLeader(m)
		c.stepAppend(m)
	case replicatorpb.MessageKind_INSTALL:
		c.followLeader(m)
		c.stepSnapshot(m)
	case replicatorpb.MessageKind_APPEND_REPLY:
		c.stepAppendReply(m)
	case replicatorpb.MessageKind_VOTE, replicatorpb.MessageKind_PRE_VOTE:
		c.stepVote(m)
	case replicatorpb.MessageKind_VOTE_REPLY, replicatorpb.MessageKind_PRE_VOTE_REPLY:
		c.stepVoteReply(m)
	case replicatorpb.MessageKind_CAMPAIGN:
		if c.role == follower && c.canCampaign() {
			c.viaTransfer = true
			c.campaign(candidate)
		}
	}
}

// stepTerm compares a message's term with the current one, adopts a higher term, and reports whether to process the message.
func (c *core) stepTerm(m *replicatorpb.Message) bool {
	switch {
	case m.Kind == replicatorpb.MessageKind_PRE_VOTE:
		return true
	case m.Kind == replicatorpb.MessageKind_PRE_VOTE_REPLY && !m.Reject:
		return m.Term == c.vote.Term+1
	case m.Term == c.vote.Term:
		return true
	case m.Term < c.vote.Term:
		if m.Kind == replicatorpb.MessageKind_APPEND || m.Kind == replicatorpb.MessageKind_INSTALL {
			c.send(&replicatorpb.Message{Kind: replicatorpb.MessageKind_APPEND_REPLY, To: m.From, Reject: true})
		}
		return false
	case m.Kind == replicatorpb.MessageKind_VOTE && !m.Transfer && c.withinLeaderLease():
		return false
	}
	c.becomeFollower(m.Term, 0)
	return true
}

func (c *core) followLeader(m *replicatorpb.Message) {
	c.seenLeader, c.leaderContact = true, c.now
	c.becomeFollower(m.Term, m.From)
}

func (c *core) stepAppend(m *replicatorpb.Message) {
	reply := &replicatorpb.Message{Kind: replicatorpb.MessageKind_APPEND_REPLY, To: m.From, Tick: m.Tick, Round: m.Round}
	defer func() { c.send(reply) }()
	if m.Index < c.log.commit {
		// Committed entries are the same on all members, so the logs match at least up to the commit index.
		reply.Index = c.log.commit
		return
	}
	if m.Index > c.log.lastIndex() || c.log.term(m.Index) != m.LogTerm {
		reply.Reject, reply.Index = true, min(c.log.lastIndex(), m.Index-1)
		return
	}
	for _, e := range m.Entries {
		if e.Index > c.log.lastIndex() || c.log.term(e.Index) != e.Term {
			c.log.append(e)
		}
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	c.log.commit = max(c.log.commit, min(m.Commit, reply.Index))
}

func (c *core) stepSnapshot(m *replicatorpb.Message) {
	s := m.Snapshot
	if s.Index > c.log.commit {
		c.log.installSnapshot(s)
		c.pendingSnapshot = s
	}
	c.send(&replicatorpb.Message{Kind: replicatorpb.MessageKind_APPEND_REPLY, To: m.From, Tick: m.Tick, Round: m.Round, Index: c.log.commit})
}

func (c *core) sendAppend(to uint64) {
	p := c.progress[to]
	p.sentTick = c.now
	prev := p.next - 1
	if prev < c.log.base.Index {
		c.send(&replicatorpb.Message{Kind: replicatorpb.MessageKind_INSTALL, To: to, Tick: c.now, Round: c.readRound, Snapshot: c.log.snapshot})
		p.next = c.log.snapshot.Index + 1
		return
	}
	entries := c.log.entriesFrom(p.next, maxAppendBytes)
	p.next += uint64(len(entries))
	c.send(&replicatorpb.Message{
		Kind: replicatorpb.MessageKind_APPEND, To: to, Tick: c.now, Round: c.readRound,
		Index: prev, LogTerm: c.log.term(prev), Commit: c.log.commit, Entries: entries,
	})
}

func (c *core) stepAppendReply(m *replicatorpb.Message) {
	p := c.progress[m.From]
	if c.role != leader || p == nil {
		return
	}
	p.ackedTick = max(p.ackedTick, m.Tick)
	p.ackedRound = max(p.ackedRound, m.Round)
	if m.Reject {
		if m.Index < p.next && m.Index >= p.match {
			p.next = m.Index + 1
			c.sendAppend(m.From)
		}
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	if c.advanceCommit() {
		return
	}
	if p.next <= c.log.lastIndex() {
		c.sendAppend(m.From)
	}
}

// advanceCommit moves the commit index to the newest entry of the current term that a majority of the voters have persisted, and
// sends it to the other members at once. It reports whether the index has moved.
func (c *core) advanceCommit() bool {
	n := c.quorumValue(func(id uint64) uint64 {
		if id == c.id {
			return c.log.stable
		}
		return c.progress[id].match
	})
	if n <= c.log.commit || c.log.term(n) != c.vote.Term {
		return false
	}
	c.log.commit = n
	for _, m := range c.log.membership().Members {
		if m.Id != c.id {
			c.sendAppend(m.Id)
		}
	}
	if m := c.log.member(c.id); m == nil && c.log.membershipCommitted() {
		c.becomeFollower(c.vote.Term, 0)
	}
	return true
}
