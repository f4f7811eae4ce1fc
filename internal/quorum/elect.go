package quorum

import "swiftbeam/pkg/clock"

// campaign requests pre-votes from the voters, or votes if role is Candidate.
func (c *Raft) campaign(now clock.Instant, role Role) {
	c.Role = role
	c.Leader = ""
	c.campaignedAt = now
	c.votes = map[ID]bool{c.Settings.Self: true}
	// Retry a lost election sooner than the timeout for an unresponsive leader.
	c.electionAt = now.Add(c.Settings.ElectionTimeout/3 + c.randomDuration(2*c.Settings.ElectionTimeout/3))
	kind, term := PreVote, c.Hard.Term+1
	if role == Candidate {
		c.Hard = HardState{Term: term, Vote: c.Settings.Self}
		c.markHardChanged()
		kind = Vote
	}
	if c.wonElection() {
		c.advanceCandidate(now)
		return
	}
	lastTerm, _ := c.log.term(c.log.last())
	for _, id := range c.voters() {
		if id == c.Settings.Self {
			continue
		}
		c.send(Message{Kind: kind, To: id, Term: term, Index: c.log.last(), LogTerm: lastTerm, Force: c.transfer == c.Settings.Self})
	}
	c.transfer = ""
}

func (c *Raft) onVote(now clock.Instant, m Message) {
	reply := Message{Kind: VoteReply, To: m.From, Term: m.Term, Reject: true}
	if m.Kind == PreVote {
		reply.Kind = PreVoteReply
	}
	switch {
	case !c.upToDate(m):
	case m.Kind == PreVote:
		reply.Reject = m.Term <= c.Hard.Term || c.leaderIsAlive(now)
	case c.Hard.Vote == "" || c.Hard.Vote == m.From:
		c.Hard.Vote = m.From
		c.markHardChanged()
		c.resetElection(now)
		reply.Reject = false
	}
	if reply.Reject {
		reply.Term = c.Hard.Term
	}
	c.send(reply)
}

// upToDate reports whether the candidate's log is at least as up to date as this member's log: it has
// a later last term, or the same last term and no smaller last index.
func (c *Raft) upToDate(m Message) bool {
	term, _ := c.log.term(c.log.last())
	if m.LogTerm != term {
		return m.LogTerm > term
	}
	return m.Index >= c.log.last()
}

func (c *Raft) onVoteReply(now clock.Instant, m Message) {
	wantKind := VoteReply
	if c.Role == PreCandidate {
		wantKind = PreVoteReply
	} else if c.Role != Candidate {
		return
	}
	if m.Kind != wantKind || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.wonElection() {
		c.advanceCandidate(now)
	}
}

func (c *Raft) wonElection() bool {
	voters := c.voters()
	granted := 0
	for _, id := range voters {
		if c.votes[id] {
			granted++
		}
	}
	return granted > len(voters)/2
}

func (c *Raft) advanceCandidate(now clock.Instant) {
	if c.Role == PreCandidate {
		c.campaign(now, Candidate)
		return
	}
	c.Role = Leader
	c.Leader = c.Settings.Self
	c.transfer = ""
	c.peers = make(map[ID]*progress)
	c.quorumCheckAt = now.Add(c.Settings.ElectionTimeout)
	c.heartbeatAt = now
	c.contactAt = now
	c.trackPeers()
	for _, p := range c.peers {
		// The replies may have been queued while the process was paused.
		p.ackedSentAt = c.campaignedAt
	}
	c.noopIndex = c.log.last() + 1
	c.heartbeatDue = true
	c.appendAsLeader(0, Entry{Kind: Noop})
}
