package quorum

import (
	"slices"

	"swiftbeam/pkg/clock"
)

// Repair is the state of the voters: whether the group would survive the loss of one more voter.
type Repair uint8

// States of repair.
const (
	Healthy   Repair = iota // losing one more voter loses no data
	Degraded                // a voter is unresponsive or missing; losing one more may stop the group
	Repairing               // a membership change is not committed or not yet replicated to all voters
)

// RepairState returns the state of the voters as seen by the leader.
func (c *Raft) RepairState(now clock.Instant) Repair {
	if c.configIndex > c.Commit {
		return Repairing
	}
	voters := c.voters()
	for _, id := range voters {
		p := c.peers[id]
		if p == nil {
			continue
		}
		if now.Sub(p.repliedAt) > c.Settings.ElectionTimeout {
			return Degraded
		}
		if p.match < c.configIndex {
			return Repairing
		}
	}
	if len(voters) < c.Settings.Voters {
		return Degraded
	}
	return Healthy
}

// change appends a membership change of one member.
func (c *Raft) change(now clock.Instant, e Change) {
	members, refusal := c.changedMembers(now, e)
	if refusal != Accepted {
		c.out.Outcomes = append(c.out.Outcomes, Outcome{Ticket: e.Ticket, Refusal: refusal})
		return
	}
	c.appendAsLeader(e.Ticket, Entry{Kind: Config, Members: members})
}

func (c *Raft) changedMembers(now clock.Instant, e Change) ([]Member, Refusal) {
	switch {
	case c.Role != Leader || c.transfer != "":
		return nil, NotLeader
	case c.configIndex > c.Commit || c.Commit < c.noopIndex:
		return nil, ChangePending
	case e.Kind == AddLearner:
		return c.withLearner(e.Member), Accepted
	}
	i := c.memberIndex(e.Member.ID)
	if i < 0 {
		return nil, UnknownMember
	}
	if e.Kind == Promote {
		return c.withVoter(i)
	}
	return c.withoutMember(now, i)
}

// withLearner returns the membership with m as a learner, in place of earlier learners of the same
// name. A member with the ID of m keeps its vote.
func (c *Raft) withLearner(m Member) []Member {
	m.Voter = false
	var members []Member
	for _, old := range c.members {
		if old.ID == m.ID {
			m.Voter = old.Voter
			continue
		}
		if old.Name == m.Name && !old.Voter {
			continue
		}
		members = append(members, old)
	}
	return append(members, m)
}

func (c *Raft) withVoter(i int) ([]Member, Refusal) {
	p := c.peers[c.members[i].ID]
	if p == nil || p.match < c.Commit {
		return nil, NotCaughtUp
	}
	if len(c.voters()) >= MaxVoters {
		return nil, TooManyVoters
	}
	members := slices.Clone(c.members)
	members[i].Voter = true
	return members, Accepted
}

// withoutMember returns the membership without member i. It refuses to remove this member, and a voter
// if the responsive ones among the remaining voters are not a majority of them.
func (c *Raft) withoutMember(now clock.Instant, i int) ([]Member, Refusal) {
	removed := c.members[i]
	if removed.ID == c.Settings.Self {
		return nil, WouldLoseQuorum
	}
	members := slices.Delete(slices.Clone(c.members), i, i+1)
	if !removed.Voter {
		return members, Accepted
	}
	responsive, total := 0, 0
	for _, id := range c.voters() {
		if id == removed.ID {
			continue
		}
		total++
		if id == c.Settings.Self || c.isResponsive(now, id) {
			responsive++
		}
	}
	if responsive <= total/2 {
		return nil, WouldLoseQuorum
	}
	return members, Accepted
}

// isResponsive reports whether a member has replied within the election timeout. Learners get one
// learner heartbeat more, because they receive heartbeats less often.
func (c *Raft) isResponsive(now clock.Instant, id ID) bool {
	p := c.peers[id]
	limit := c.Settings.ElectionTimeout
	if !c.isVoter(id) {
		limit += c.learnerHeartbeat()
	}
	return p != nil && now.Sub(p.repliedAt) <= limit
}

// repair makes at most one membership change. In successive calls it promotes a learner to replace an
// unresponsive voter, removes that voter, and then removes unresponsive learners. In a group of MaxVoters
// it removes the voter before the promotion. A majority of the others is a majority of the group then,
// too, so that this costs no committed entry.
func (c *Raft) repair(now clock.Instant) {
	if c.Settings.ReplaceAfter == 0 || c.configIndex > c.Commit || c.Commit < c.noopIndex {
		return
	}
	lostVoter := c.supersededVoter()
	if lostVoter < 0 {
		lostVoter = c.unresponsiveMember(now, true, c.Settings.ReplaceAfter)
	}
	voters, wanted := len(c.voters()), min(c.Settings.Voters, MaxVoters)
	responsive := voters
	if lostVoter >= 0 {
		responsive--
	}
	spare := c.bestSpareLearner(now)
	missing := responsive < wanted && spare >= 0
	switch {
	case missing && voters < MaxVoters:
		c.change(now, Change{Kind: Promote, Member: c.members[spare]})
	case lostVoter >= 0 && (missing || voters > wanted):
		c.change(now, Change{Kind: Remove, Member: c.members[lostVoter]})
	default:
		if lostLearner := c.unresponsiveMember(now, false, c.Settings.RemoveLearnerAfter); lostLearner >= 0 {
			c.change(now, Change{Kind: Remove, Member: c.members[lostLearner]})
		}
	}
	c.dropRepairOutcomes()
}

// supersededVoter returns the index of a voter whose address is now that of a member that joined later,
// or -1. There is one when a daemon that lost its disk has joined again with a new ID.
func (c *Raft) supersededVoter() int {
	return slices.IndexFunc(c.members, func(m Member) bool {
		return m.Voter && m.ID != c.Settings.Self && m.Address != "" && slices.ContainsFunc(c.members, func(o Member) bool {
			return o.Address == m.Address && c.joinedAfter(o, m)
		})
	})
}

// joinedAfter reports whether o joined after m. Members are listed in the order in which they joined.
func (c *Raft) joinedAfter(o, m Member) bool { return c.memberIndex(o.ID) > c.memberIndex(m.ID) }

// dropRepairOutcomes removes the outcomes of changes made by repair: they have no ticket, and no
// caller waits for them.
func (c *Raft) dropRepairOutcomes() {
	c.out.Outcomes = slices.DeleteFunc(c.out.Outcomes, func(o Outcome) bool { return o.Ticket == 0 })
}

func (c *Raft) unresponsiveMember(now clock.Instant, voter bool, after clock.Duration) int {
	return slices.IndexFunc(c.members, func(m Member) bool {
		p := c.peers[m.ID]
		return m.Voter == voter && p != nil && after > 0 && now.Sub(p.repliedAt) > after
	})
}

// bestSpareLearner returns the index of the learner to promote next, or -1. It must be responsive
// and caught up and have a disk. Learners in the availability zone with the fewest responsive voters are
// preferred.
func (c *Raft) bestSpareLearner(now clock.Instant) int {
	votersInZone := make(map[string]int)
	for _, m := range c.members {
		if m.Voter && (m.ID == c.Settings.Self || c.isResponsive(now, m.ID)) {
			votersInZone[m.Zone]++
		}
	}
	best := -1
	for i, m := range c.members {
		if m.Voter || !m.Disk || !c.isResponsive(now, m.ID) || c.peers[m.ID].match < c.Commit {
			continue
		}
		if best < 0 || votersInZone[m.Zone] < votersInZone[c.members[best].Zone] {
			best = i
		}
	}
	return best
}
