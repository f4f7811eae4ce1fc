package quorum

import "swiftbeam/pkg/clock"

// campaign asks the voters for a pre-vote, or for a vote when as is Candidate.
func (c *Core) campaign(now clock.Instant, as Role) {
	c.Role = as
	c.Leader = ""
	c.votes = map[ID]bool{c.Settings.Self: true}
	// A lost election is repeated sooner than a silent leader is given up.
	c.electAt = now.Add(c.Settings.ElectionTimeout/3 + c.draw(2*c.Settings.ElectionTimeout/3))
	kind, term := PreVote, c.Hard.Term+1
	if as == Candidate {
		c.Hard = HardState{Term: term, Vote: c.Settings.Self}
		c.noteHard()
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

func (c *Core) onVote(now clock.Instant, m Message) {
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
		c.noteHard()
		c.resetElection(now)
		reply.Reject = false
	}
	if reply.Reject {
		reply.Term = c.Hard.Term
	}
	c.send(reply)
}

// upToDate reports whether the candidate's log holds all that this log holds.
func (c *Core) upToDate(m Message) bool {
	term, _ := c.log.term(c.log.last())
	if m.LogTerm != term {
		return m.LogTerm > term
	}
	return m.Index >= c.log.last()
}

func (c *Core) onVoteReply(now clock.Instant, m Message) {
	wanted := VoteReply
	if c.Role == PreCandidate {
		wanted = PreVoteReply
	} else if c.Role != Candidate {
		return
	}
	if m.Kind != wanted || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.wonElection() {
		c.advanceCandidate(now)
	}
}

func (c *Core) wonElection() bool {
	voters := c.voters()
	granted := 0
	for _, id := range voters {
		if c.votes[id] {
			granted++
		}
	}
	return granted > len(voters)/2
}

func (c *Core) advanceCandidate(now clock.Instant) {
	if c.Role == PreCandidate {
		c.campaign(now, Candidate)
		return
	}
	c.Role = Leader
	c.Leader = c.Settings.Self
	c.transfer = ""
	c.peers = make(map[ID]*progress)
	c.checkAt = now.Add(c.Settings.ElectionTimeout)
	c.beatAt = now
	c.heardAt = now
	c.trackPeers()
	c.noopAt = c.log.last() + 1
	c.needBeat = true
	c.lead(0, Entry{Kind: Noop})
}
