package replicator

import "peridotswitch.example/peridot-control/replicatorpb"

// campaign requests votes as a candidate in a new term, or pre-votes as a pre-candidate without changing the term.
func (c *core) campaign(as role) {
	c.role, c.leaderID = as, 0
	c.votes = map[uint64]bool{c.id: true}
	c.resetElectionDeadline()
	kind, term := replicatorpb.MessageKind_PRE_VOTE, c.vote.Term+1
	if as == candidate {
		kind = replicatorpb.MessageKind_VOTE
		c.vote = &replicatorpb.Vote{Term: term, For: c.id}
		c.voteChanged = true
	}
	for _, m := range c.log.membership().Members {
		if m.Voter && m.Id != c.id {
			c.send(&replicatorpb.Message{
				Kind: kind, To: m.Id, Term: term,
				Index: c.log.lastIndex(), LogTerm: c.log.term(c.log.lastIndex()),
				Transfer: c.viaTransfer,
			})
		}
	}
	c.countVotes()
}

func (c *core) countVotes() {
	granted := c.quorumValue(func(id uint64) uint64 {
		if c.votes[id] {
			return 1
		}
		return 0
	})
	switch {
	case granted == 0:
	case c.role == preCandidate:
		c.campaign(candidate)
	case c.role == candidate:
		c.becomeLeader()
	}
}

// stepVote handles a VOTE or PRE_VOTE request.
func (c *core) stepVote(m *replicatorpb.Message) {
	reply := &replicatorpb.Message{Kind: replicatorpb.MessageKind_VOTE_REPLY, To: m.From}
	preVote := m.Kind == replicatorpb.MessageKind_PRE_VOTE
	canVote := c.vote.For == 0 || c.vote.For == m.From
	if preVote {
		reply.Kind, reply.Term = replicatorpb.MessageKind_PRE_VOTE_REPLY, m.Term
		canVote = m.Term > c.vote.Term && (m.Transfer || !c.withinLeaderLease() && !c.hasJustVoted())
	}
	last := c.log.lastIndex()
	upToDate := m.LogTerm > c.log.term(last) || m.LogTerm == c.log.term(last) && m.Index >= last
	if !canVote || !upToDate {
		reply.Reject, reply.Term = true, c.vote.Term
		c.send(reply)
		return
	}
	if !preVote {
		c.vote.For = m.From
		c.voteChanged = true
		c.hasVoted, c.votedAt = true, c.now
		c.resetElectionDeadline()
	}
	c.send(reply)
}

// hasJustVoted reports whether this member has voted so recently that the candidate may have won without its knowledge. After a restart of
// many members, pre-votes granted meanwhile would depose the new leader.
func (c *core) hasJustVoted() bool {
	return c.hasVoted && c.now-c.votedAt < c.cfg.leaseTicks
}

// withinLeaderLease reports whether this member leads, has heard from a leader within the election timeout, or may have
// acknowledged a leader just before a restart, so that the leader's lease may still be valid.
func (c *core) withinLeaderLease() bool {
	switch {
	case c.role == leader:
		return true
	case !c.seenLeader:
		return c.now < c.cfg.leaseTicks
	}
	return c.now-c.leaderContact < c.cfg.electionTicks
}

func (c *core) stepVoteReply(m *replicatorpb.Message) {
	wantRole := candidate
	if m.Kind == replicatorpb.MessageKind_PRE_VOTE_REPLY {
		wantRole = preCandidate
	}
	if c.role != wantRole || m.Reject {
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}

// transferLeadership transfers leadership to the most recently responsive voter whose log is complete; it does nothing when there is
// none. One that isLeaving reports is chosen only if there is no other.
func (c *core) transferLeadership(isLeaving func(id uint64) bool) {
	if c.role != leader || c.transferee != 0 {
		return
	}
	var best *replicatorpb.Member
	isBetter := func(m *replicatorpb.Member) bool {
		if best == nil || isLeaving(m.Id) != isLeaving(best.Id) {
			return best == nil || isLeaving(best.Id)
		}
		return c.progress[m.Id].ackedTick > c.progress[best.Id].ackedTick
	}
	for _, m := range c.log.membership().Members {
		if m.Voter && m.Id != c.id && c.progress[m.Id].match == c.log.lastIndex() && isBetter(m) {
			best = m
		}
	}
	if best == nil {
		return
	}
	// Voters grant the transferee's requests without waiting for the lease to expire, so hasLease is false while transferee is set.
	// If the deadline passes, the leader steps down, so the lease isn't used again in this term.
	c.transferee, c.transferDeadline = best.Id, c.now+c.cfg.electionTicks
	c.send(&replicatorpb.Message{Kind: replicatorpb.MessageKind_CAMPAIGN, To: best.Id})
}
