package quorum

import "swiftbeam/pkg/clock"

// campaign requests pre-votes from the voters, or votes if role is Candidate.
func (c *Raft) campaign(now clock.Instant, role Role) {
	c.Role = role
	c.Leader = ""
	c.awaitsLeader = false
	c.deferred = false
	// Retry a lost election sooner than the timeout for an unresponsive leader.
	c.electionAt = now.Add(c.Settings.ElectionTimeout/3 + c.randomDuration(2*c.Settings.ElectionTimeout/3))
	own := map[ID]bool{c.Settings.Self: true}
	kind, term := PreVote, c.Hard.Term+1
	if role == Candidate {
		c.Hard = HardState{Term: term, Vote: c.Settings.Self}
		c.markHardChanged()
		kind, c.votes, c.requestedAt = Vote, own, now
	} else {
		c.preVotes = own
	}
	if c.isMajority(own) {
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
		reply.Reject = m.Term <= c.Hard.Term || c.leaderIsAlive(now) || c.awaitsLeader && now.Before(c.electionAt)
		if !reply.Reject {
			c.deferCampaign(now)
		}
	case c.Hard.Vote == "" || c.Hard.Vote == m.From:
		c.Hard.Vote = m.From
		c.awaitsLeader = true
		c.markHardChanged()
		c.resetElection(now)
		reply.Reject = false
	}
	if reply.Reject {
		reply.Term = c.Hard.Term
	}
	c.send(reply)
}

// deferCampaign gives the candidate that this member has granted a pre-vote an election timeout, so that the two do not split
// the votes. A member whose requests arrive but that gets no replies must not keep the others waiting, so this happens once.
func (c *Raft) deferCampaign(now clock.Instant) {
	if c.Role == Follower && !c.deferred {
		c.deferred = true
		c.resetElection(now)
	}
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
	if m.Reject || c.Role != PreCandidate && c.Role != Candidate {
		return
	}
	if m.Kind == PreVoteReply {
		c.onPreVoteGranted(now, m)
		return
	}
	// A vote also counts after the member has begun to request pre-votes for the next term: with a slow disk or network,
	// votes take longer than the timer.
	if c.Hard.Vote != c.Settings.Self || c.votes == nil {
		return
	}
	c.votes[m.From] = true
	if c.isMajority(c.votes) {
		c.lead(now)
	}
}

func (c *Raft) onPreVoteGranted(now clock.Instant, m Message) {
	// One for an earlier term says nothing about the next.
	if c.Role != PreCandidate || m.Term != c.Hard.Term+1 {
		return
	}
	c.preVotes[m.From] = true
	if c.isMajority(c.preVotes) {
		c.campaign(now, Candidate)
	}
}

func (c *Raft) isMajority(votes map[ID]bool) bool {
	voters := c.voters()
	granted := 0
	for _, id := range voters {
		if votes[id] {
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
	c.lead(now)
}

// lead makes this member the leader of its term.
func (c *Raft) lead(now clock.Instant) {
	c.Role = Leader
	c.Leader = c.Settings.Self
	c.transfer = ""
	// Votes that arrive after this member has stepped down do not make it the leader again.
	c.votes = nil
	c.peers = make(map[ID]*progress)
	c.quorumCheckAt = now.Add(c.Settings.ElectionTimeout)
	c.heartbeatAt = now
	c.contactAt = now
	c.trackPeers()
	for _, p := range c.peers {
		// The replies may have been queued while the process was paused.
		p.ackedSentAt = c.requestedAt
	}
	c.noopIndex = c.log.last() + 1
	c.heartbeatDue = true
	c.appendAsLeader(0, Entry{Kind: Noop})
}
