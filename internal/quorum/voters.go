package quorum

import (
	"slices"

	"swiftbeam/pkg/clock"
)

// Repair tells how far the voters are from surviving one more loss.
type Repair uint8

// States of repair.
const (
	Healthy   Repair = iota // one more loss loses nothing
	Degraded                // a voter is silent or lags; one more loss may stop the group
	Repairing               // a membership change is not committed or not yet caught up with
)

// RepairState returns the state of repair as the leader sees it.
func (c *Core) RepairState(now clock.Instant) Repair {
	if c.configAt > c.Commit {
		return Repairing
	}
	voters := c.voters()
	for _, id := range voters {
		p := c.peers[id]
		if p == nil {
			continue
		}
		if now.Sub(p.heardAt) > c.Settings.ElectionTimeout {
			return Degraded
		}
		if p.match < c.configAt {
			return Repairing
		}
	}
	if len(voters) < c.Settings.Voters {
		return Degraded
	}
	return Healthy
}

// change appends a membership change of one member.
func (c *Core) change(now clock.Instant, e Change) {
	members, why := c.changed(now, e)
	if why != Accepted {
		c.out.Outcomes = append(c.out.Outcomes, Outcome{Ticket: e.Ticket, Refusal: why})
		return
	}
	c.lead(e.Ticket, Entry{Kind: Config, Members: members})
}

func (c *Core) changed(now clock.Instant, e Change) ([]Member, Refusal) {
	switch {
	case c.Role != Leader || c.transfer != "":
		return nil, NotLeader
	case c.configAt > c.Commit || c.Commit < c.noopAt:
		return nil, ChangePending
	case e.Kind == AddLearner:
		return c.withLearner(e.Member), Accepted
	}
	i := c.find(e.Member.ID)
	if i < 0 {
		return nil, UnknownMember
	}
	if e.Kind == Promote {
		return c.withVoter(i)
	}
	return c.without(now, i)
}

// withLearner adds a learner in place of an earlier learner of the same name.
func (c *Core) withLearner(m Member) []Member {
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

func (c *Core) withVoter(i int) ([]Member, Refusal) {
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

// without removes a member, unless the voters that remain and answer are no majority.
func (c *Core) without(now clock.Instant, i int) ([]Member, Refusal) {
	gone := c.members[i]
	if gone.ID == c.Settings.Self {
		return nil, WouldLoseQuorum
	}
	members := slices.Delete(slices.Clone(c.members), i, i+1)
	if !gone.Voter {
		return members, Accepted
	}
	alive, total := 0, 0
	for _, id := range c.voters() {
		if id == gone.ID {
			continue
		}
		total++
		if id == c.Settings.Self || c.answers(now, id) {
			alive++
		}
	}
	if alive <= total/2 {
		return nil, WouldLoseQuorum
	}
	return members, Accepted
}

// answers reports whether a member answered lately; learners are asked less often.
func (c *Core) answers(now clock.Instant, id ID) bool {
	p := c.peers[id]
	limit := c.Settings.ElectionTimeout
	if !c.isVoter(id) {
		limit += c.learnerBeat()
	}
	return p != nil && now.Sub(p.heardAt) <= limit
}

// repair makes at most one membership change: it promotes a learner for a voter that is silent,
// then removes the silent voter, then forgets silent learners.
func (c *Core) repair(now clock.Instant) {
	if c.Settings.ReplaceAfter == 0 || c.configAt > c.Commit || c.Commit < c.noopAt {
		return
	}
	silent := c.superseded()
	if silent < 0 {
		silent = c.silentMember(now, true, c.Settings.ReplaceAfter)
	}
	voters := len(c.voters())
	alive := voters
	if silent >= 0 {
		alive--
	}
	switch next := c.spareLearner(now); {
	case alive < c.Settings.Voters && next >= 0:
		c.change(now, Change{Kind: Promote, Member: c.members[next]})
	case silent >= 0 && voters > c.Settings.Voters:
		c.change(now, Change{Kind: Remove, Member: c.members[silent]})
	default:
		if gone := c.silentMember(now, false, c.Settings.RemoveLearnerAfter); gone >= 0 {
			c.change(now, Change{Kind: Remove, Member: c.members[gone]})
		}
	}
	c.dropUnticketed()
}

// superseded returns a voter at whose address another member joined, as one does whose disk was
// lost, or -1.
func (c *Core) superseded() int {
	return slices.IndexFunc(c.members, func(m Member) bool {
		return m.Voter && m.ID != c.Settings.Self && m.Address != "" && slices.ContainsFunc(c.members, func(o Member) bool {
			return o.Address == m.Address && c.joinedAfter(o, m)
		})
	})
}

// joinedAfter reports whether o joined after m: members are kept in the order in which they joined.
func (c *Core) joinedAfter(o, m Member) bool { return c.find(o.ID) > c.find(m.ID) }

// dropUnticketed forgets the outcomes of changes that nobody waits for.
func (c *Core) dropUnticketed() {
	c.out.Outcomes = slices.DeleteFunc(c.out.Outcomes, func(o Outcome) bool { return o.Ticket == 0 })
}

func (c *Core) silentMember(now clock.Instant, voter bool, after clock.Duration) int {
	return slices.IndexFunc(c.members, func(m Member) bool {
		p := c.peers[m.ID]
		return m.Voter == voter && p != nil && after > 0 && now.Sub(p.heardAt) > after
	})
}

// spareLearner returns the caught-up learner with a disk in the availability zone with the
// fewest voters that answer, or -1.
func (c *Core) spareLearner(now clock.Instant) int {
	inZone := make(map[string]int)
	for _, m := range c.members {
		if m.Voter && (m.ID == c.Settings.Self || c.answers(now, m.ID)) {
			inZone[m.Zone]++
		}
	}
	best := -1
	for i, m := range c.members {
		if m.Voter || !m.Disk || !c.answers(now, m.ID) || c.peers[m.ID].match < c.Commit {
			continue
		}
		if best < 0 || inZone[m.Zone] < inZone[c.members[best].Zone] {
			best = i
		}
	}
	return best
}
