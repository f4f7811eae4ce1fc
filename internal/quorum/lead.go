package quorum

import (
	"slices"

	"swiftbeam/pkg/clock"
)

func (c *Raft) tickLeader(now clock.Instant) {
	c.contactAt = now
	if !now.Before(c.heartbeatAt) {
		c.heartbeatAt = now.Add(c.Settings.Heartbeat)
		c.heartbeatDue = true
		if now.Before(c.quorumCheckAt) {
			c.repair(now)
		}
	}
	if !now.Before(c.learnerHeartbeatAt) {
		c.learnerHeartbeatAt = now.Add(c.learnerHeartbeat())
		c.learnerHeartbeatDue = true
	}
	if now.Before(c.quorumCheckAt) {
		return
	}
	c.quorumCheckAt = now.Add(c.Settings.ElectionTimeout)
	c.transfer = ""
	if !c.hasQuorumContact(now) {
		c.becomeFollower(now, c.Hard.Term, "")
		return
	}
	c.repair(now)
}

func (c *Raft) hasQuorumContact(now clock.Instant) bool {
	return now.Sub(c.quorumAt(func(p *progress) clock.Instant { return p.repliedAt })) <= c.Settings.ElectionTimeout
}

// quorumAt returns the latest instant t such that the instants of a majority of the voters are at or
// after t. The instant of this member is its last tick; instant returns that of another voter.
func (c *Raft) quorumAt(instant func(*progress) clock.Instant) clock.Instant {
	var instants []clock.Instant
	for _, id := range c.voters() {
		if id == c.Settings.Self {
			instants = append(instants, c.contactAt)
		} else if p := c.peers[id]; p != nil {
			instants = append(instants, instant(p))
		}
	}
	if len(instants) == 0 {
		return c.contactAt
	}
	slices.Sort(instants)
	return instants[(len(instants)-1)/2]
}

// trackPeers adds the progress of new members and drops that of removed ones.
func (c *Raft) trackPeers() {
	known := make(map[ID]bool, len(c.members))
	for _, m := range c.members {
		known[m.ID] = true
		if m.ID != c.Settings.Self && c.peers[m.ID] == nil {
			c.peers[m.ID] = &progress{next: c.log.last() + 1, repliedAt: c.contactAt, ackedSentAt: c.contactAt}
		}
	}
	for id := range c.peers {
		if !known[id] {
			delete(c.peers, id)
		}
	}
}

// sendAppends sends new entries to each other member, or an empty message if its heartbeat is due.
func (c *Raft) sendAppends() {
	for _, m := range c.members {
		if p := c.peers[m.ID]; p != nil {
			c.sendAppend(m.ID, p, c.heartbeatDue && m.Voter || c.learnerHeartbeatDue && !m.Voter)
		}
	}
	c.heartbeatDue, c.learnerHeartbeatDue = false, false
}

func (c *Raft) learnerHeartbeat() clock.Duration {
	return max(c.Settings.LearnerHeartbeat, c.Settings.Heartbeat)
}

// sendAppend sends a member the entries or the snapshot that it lacks. If it lacks none, it gets an
// empty message if heartbeat is set.
func (c *Raft) sendAppend(to ID, p *progress, heartbeat bool) {
	if p.next <= c.log.base.Index {
		c.sendSnapshot(to, p)
		return
	}
	entries := c.log.batch(p.next, c.Settings.BatchBytes)
	if len(entries) == 0 && !heartbeat {
		return
	}
	term, _ := c.log.term(p.next - 1)
	c.send(Message{
		Kind: Append, To: to, Index: p.next - 1, LogTerm: term,
		Commit: c.Commit, Entries: slices.Clone(entries), Sent: c.now,
	})
	p.next += uint64(len(entries))
}

// sendSnapshot sends the snapshot at the start of the log. It does not resend it before the member has
// acknowledged it or the retry interval has passed.
func (c *Raft) sendSnapshot(to ID, p *progress) {
	if p.snapshotRetryAt.After(c.contactAt) {
		return
	}
	p.snapshotRetryAt = c.contactAt.Add(snapshotRetryTimeouts * c.Settings.ElectionTimeout)
	base := c.log.base
	c.send(Message{Kind: Install, To: to, Snapshot: &base, Sent: c.now})
}

// snapshotRetryTimeouts is the retry interval for a snapshot, in election timeouts.
const snapshotRetryTimeouts = 4

func (c *Raft) onAppendReply(now clock.Instant, m Message) {
	p := c.peers[m.From]
	if c.Role != Leader || p == nil {
		return
	}
	p.repliedAt = now
	p.ackedSentAt = max(p.ackedSentAt, m.Sent)
	if m.Reject {
		p.next = max(min(m.Hint+1, c.log.last()+1), p.match+1)
		c.heartbeatDue, c.learnerHeartbeatDue = true, true
		return
	}
	if m.Index > c.log.last() {
		return
	}
	p.match = max(p.match, m.Index)
	if p.next <= p.match {
		p.next = p.match + 1
		p.snapshotRetryAt = 0
	}
	c.advanceCommit()
	c.finishTransfer()
}

// advanceCommit commits the entries stored by a majority of the voters, provided that the last of them
// is of the current term.
func (c *Raft) advanceCommit() {
	var matches []uint64
	for _, id := range c.voters() {
		if id == c.Settings.Self {
			matches = append(matches, c.log.last())
		} else if p := c.peers[id]; p != nil {
			matches = append(matches, p.match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if term, _ := c.log.term(index); term == c.Hard.Term && index > c.Commit {
		c.commitTo(index)
		c.heartbeatDue, c.learnerHeartbeatDue = true, true
	}
}

func (c *Raft) startTransfer(now clock.Instant) {
	if c.Role != Leader {
		return
	}
	best := ID("")
	for _, id := range c.voters() {
		p := c.peers[id]
		if p == nil || now.Sub(p.repliedAt) > c.Settings.ElectionTimeout {
			continue
		}
		if best == "" || p.match > c.peers[best].match {
			best = id
		}
	}
	c.transfer = best
	c.finishTransfer()
}

// finishTransfer makes the chosen voter campaign once it has the complete log.
func (c *Raft) finishTransfer() {
	p := c.peers[c.transfer]
	if c.transfer == "" || p == nil || p.match < c.log.last() {
		return
	}
	c.send(Message{Kind: TimeoutNow, To: c.transfer})
}
