package quorum

import (
	"slices"

	"swiftbeam/pkg/clock"
)

func (c *Core) tickLeader(now clock.Instant) {
	c.heardAt = now
	if !now.Before(c.beatAt) {
		c.beatAt = now.Add(c.Settings.Heartbeat)
		c.needBeat = true
		if now.Before(c.checkAt) {
			c.repair(now)
		}
	}
	if !now.Before(c.learnersAt) {
		c.learnersAt = now.Add(c.learnerBeat())
		c.needLearners = true
	}
	if now.Before(c.checkAt) {
		return
	}
	c.checkAt = now.Add(c.Settings.ElectionTimeout)
	c.transfer = ""
	if !c.heardByQuorum(now) {
		c.becomeFollower(now, c.Hard.Term, "")
		return
	}
	c.repair(now)
}

func (c *Core) heardByQuorum(now clock.Instant) bool {
	return now.Sub(c.quorumAt(func(p *progress) clock.Instant { return p.heardAt })) <= c.Settings.ElectionTimeout
}

// quorumAt returns the latest instant that a majority of the voters reached; this member reached the
// present.
func (c *Core) quorumAt(of func(*progress) clock.Instant) clock.Instant {
	var heard []clock.Instant
	for _, id := range c.voters() {
		if id == c.Settings.Self {
			heard = append(heard, c.heardAt)
		} else if p := c.peers[id]; p != nil {
			heard = append(heard, of(p))
		}
	}
	if len(heard) == 0 {
		return c.heardAt
	}
	slices.Sort(heard)
	return heard[(len(heard)-1)/2]
}

// trackPeers keeps a progress for each other member.
func (c *Core) trackPeers() {
	known := make(map[ID]bool, len(c.members))
	for _, m := range c.members {
		known[m.ID] = true
		if m.ID != c.Settings.Self && c.peers[m.ID] == nil {
			c.peers[m.ID] = &progress{next: c.log.last() + 1, heardAt: c.heardAt, confirmedAt: c.heardAt}
		}
	}
	for id := range c.peers {
		if !known[id] {
			delete(c.peers, id)
		}
	}
}

// sendAppends sends new entries to each member, and an empty message where a heartbeat is due.
func (c *Core) sendAppends() {
	for _, m := range c.members {
		if p := c.peers[m.ID]; p != nil {
			c.sendAppend(m.ID, p, c.needBeat && m.Voter || c.needLearners && !m.Voter)
		}
	}
	c.needBeat, c.needLearners = false, false
}

func (c *Core) learnerBeat() clock.Duration {
	return max(c.Settings.LearnerHeartbeat, c.Settings.Heartbeat)
}

// sendAppend sends what a member lacks, or an empty message when beat asks for a heartbeat.
func (c *Core) sendAppend(to ID, p *progress, beat bool) {
	if p.next <= c.log.base.Index {
		c.sendSnapshot(to, p)
		return
	}
	entries := c.log.batch(p.next, c.Settings.BatchBytes)
	if len(entries) == 0 && !beat {
		return
	}
	term, _ := c.log.term(p.next - 1)
	c.send(Message{
		Kind: Append, To: to, Index: p.next - 1, LogTerm: term,
		Commit: c.Commit, Entries: slices.Clone(entries), Sent: c.now,
	})
	p.next += uint64(len(entries))
}

// sendSnapshot sends the base of the log, again only after a pause in which no answer came.
func (c *Core) sendSnapshot(to ID, p *progress) {
	if p.snapshotAt.After(c.heardAt) {
		return
	}
	p.snapshotAt = c.heardAt.Add(snapshotRetries * c.Settings.ElectionTimeout)
	base := c.log.base
	c.send(Message{Kind: Install, To: to, Snapshot: &base, Sent: c.now})
}

// snapshotRetries is the pause between two transfers of a snapshot, in election timeouts.
const snapshotRetries = 4

func (c *Core) onAppendReply(now clock.Instant, m Message) {
	p := c.peers[m.From]
	if c.Role != Leader || p == nil {
		return
	}
	p.heardAt = now
	p.confirmedAt = max(p.confirmedAt, m.Sent)
	if m.Reject {
		p.next = max(min(m.Hint+1, c.log.last()+1), p.match+1)
		c.needBeat, c.needLearners = true, true
		return
	}
	if m.Index > c.log.last() {
		return
	}
	p.match = max(p.match, m.Index)
	if p.next <= p.match {
		p.next = p.match + 1
		p.snapshotAt = 0
	}
	c.advanceCommit()
	c.finishTransfer()
}

// advanceCommit commits what a majority holds, provided the entry is of this term.
func (c *Core) advanceCommit() {
	var held []uint64
	for _, id := range c.voters() {
		if id == c.Settings.Self {
			held = append(held, c.log.last())
		} else if p := c.peers[id]; p != nil {
			held = append(held, p.match)
		}
	}
	if len(held) == 0 {
		return
	}
	slices.Sort(held)
	index := held[(len(held)-1)/2]
	if term, _ := c.log.term(index); term == c.Hard.Term && index > c.Commit {
		c.commitTo(index)
		c.needBeat, c.needLearners = true, true
	}
}

func (c *Core) startTransfer(now clock.Instant) {
	if c.Role != Leader {
		return
	}
	best := ID("")
	for _, id := range c.voters() {
		p := c.peers[id]
		if p == nil || now.Sub(p.heardAt) > c.Settings.ElectionTimeout {
			continue
		}
		if best == "" || p.match > c.peers[best].match {
			best = id
		}
	}
	c.transfer = best
	c.finishTransfer()
}

// finishTransfer lets the chosen voter campaign once it holds the whole log.
func (c *Core) finishTransfer() {
	p := c.peers[c.transfer]
	if c.transfer == "" || p == nil || p.match < c.log.last() {
		return
	}
	c.send(Message{Kind: TimeoutNow, To: c.transfer})
}
