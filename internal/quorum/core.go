package quorum

import (
	"hash/fnv"
	"slices"

	"swiftbeam/pkg/clock"
)

// Raft is the protocol state of one member. Create it with New or Load.
type Raft struct {
	Settings Settings

	Role   Role
	Hard   HardState
	Leader ID
	Commit uint64

	log           entryLog
	members       []Member
	configIndex   uint64
	peers         map[ID]*progress
	votes         map[ID]bool
	electionAt    clock.Instant
	heartbeatAt   clock.Instant
	quorumCheckAt clock.Instant
	contactAt     clock.Instant
	// campaignedAt is when this member last requested votes or pre-votes.
	campaignedAt clock.Instant
	// now is the instant passed to the last Step.
	now          clock.Instant
	noopIndex    uint64
	randomState  uint64
	transfer     ID
	heartbeatDue bool
	// Learners have a heartbeat timer of their own, because their interval may be longer.
	learnerHeartbeatAt  clock.Instant
	learnerHeartbeatDue bool
	out                 Actions
}

// progress is the leader's replication state of another member.
type progress struct {
	next      uint64
	match     uint64
	repliedAt clock.Instant
	// ackedSentAt is when the leader sent the newest message that the member has replied to.
	ackedSentAt     clock.Instant
	snapshotRetryAt clock.Instant
}

// New returns a member with an empty log. It stays a follower until it receives a membership, either
// from a leader or from Bootstrap.
func New(s Settings, now clock.Instant) *Raft {
	c := &Raft{Settings: s, randomState: initialRandomState(s), contactAt: now}
	c.resetElection(now)
	return c
}

// initialRandomState mixes the seed with the member's ID, so that members with equal seeds do not
// campaign at the same times. The result is never zero, which xorshift requires.
func initialRandomState(s Settings) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Self))
	return (h.Sum64() ^ s.Seed) | 1
}

// Load returns a member with the state read from disk. The first of entries directly follows snap.
func Load(s Settings, now clock.Instant, hard HardState, snap Snapshot, entries []Entry) *Raft {
	c := New(s, now)
	c.Hard = hard
	c.log = entryLog{base: snap, entries: entries}
	c.Commit = snap.Index
	c.reloadMembers()
	// The first election starts early, because there is no leader after a restart of all members.
	// If there is one, the pre-vote keeps this member from deposing it.
	c.electionAt = now.Add(c.Settings.ElectionTimeout/6 + c.randomDuration(c.Settings.ElectionTimeout/2))
	return c
}

// Bootstrap sets the initial membership of an empty member. All initial voters must be given the
// same list.
func (c *Raft) Bootstrap(members []Member) {
	// A candidate among the first voters may have asked for a vote already.
	c.Hard.Term = max(c.Hard.Term, 1)
	c.markHardChanged()
	c.append([]Entry{{Index: 1, Term: 1, Kind: Config, Members: members}})
	c.Commit = 1
	c.emitCommitted(0)
}

// Step processes one event. The resulting actions accumulate until Take is called.
func (c *Raft) Step(now clock.Instant, e Event) {
	c.now = now
	switch e := e.(type) {
	case Tick:
		c.tick(now)
	case Receive:
		c.receive(now, e.Message)
	case Propose:
		c.propose(e)
	case Change:
		c.change(now, e)
	case Transfer:
		c.startTransfer(now)
	case Compact:
		c.log.compact(e.Index, e.Data, c.membersAt(e.Index))
	}
}

// Take returns the accumulated actions and clears them.
func (c *Raft) Take() Actions {
	if c.Role == Leader {
		c.sendAppends()
	}
	out := c.out
	c.out = Actions{}
	return out
}

// Members returns the latest membership in the log, which may not be committed yet. The caller must
// not modify it.
func (c *Raft) Members() []Member { return c.members }

// LastIndex returns the index of the last entry of the log.
func (c *Raft) LastIndex() uint64 { return c.log.last() }

// FirstIndex returns the index of the oldest log entry after the snapshot.
func (c *Raft) FirstIndex() uint64 { return c.log.base.Index + 1 }

// ContactAt returns the last instant at which this member was in contact with a quorum, either as
// the leader or through the leader. The leader uses the send times of acknowledged messages, because
// replies that were queued while its process was paused do not prove contact at present.
func (c *Raft) ContactAt() clock.Instant {
	if c.Role != Leader {
		return c.contactAt
	}
	return c.quorumAt(func(p *progress) clock.Instant { return p.ackedSentAt })
}

func (c *Raft) tick(now clock.Instant) {
	if c.Role == Leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionAt) {
		return
	}
	c.resetElection(now)
	if c.isVoter(c.Settings.Self) {
		c.campaign(now, PreCandidate)
	}
}

// maxTermStep is the number of elections that a member may have missed. A later term is that of a faulty sender, and
// after the last one no election is possible.
const maxTermStep = 1 << 32

func (c *Raft) receive(now clock.Instant, m Message) {
	if m.To != c.Settings.Self || m.Term > c.Hard.Term && m.Term-c.Hard.Term > maxTermStep {
		return
	}
	if m.Term > c.Hard.Term && !c.handleLaterTerm(now, m) {
		return
	}
	if m.Term < c.Hard.Term {
		c.rejectStale(m)
		return
	}
	switch m.Kind {
	case Append:
		c.onAppend(now, m)
	case AppendReply:
		c.onAppendReply(now, m)
	case PreVote, Vote:
		c.onVote(now, m)
	case PreVoteReply, VoteReply:
		c.onVoteReply(now, m)
	case Install:
		c.onInstall(now, m)
	case TimeoutNow:
		if c.isVoter(c.Settings.Self) {
			c.transfer = c.Settings.Self
			c.campaign(now, Candidate)
		}
	}
}

// handleLaterTerm processes the term of a message whose term is later than the member's. It reports
// false if the message must be ignored.
func (c *Raft) handleLaterTerm(now clock.Instant, m Message) bool {
	switch m.Kind {
	case PreVote:
		return true
	case Vote:
		if c.leaderIsAlive(now) && !m.Force {
			return false
		}
	case PreVoteReply:
		if !m.Reject {
			return true
		}
	}
	leader := ID("")
	if m.Kind == Append || m.Kind == Install {
		leader = m.From
	}
	c.becomeFollower(now, m.Term, leader)
	return true
}

// leaderIsAlive reports whether this member leads or had contact with the leader within the election
// timeout, so that granting a vote would depose a working leader.
func (c *Raft) leaderIsAlive(now clock.Instant) bool {
	if c.Role == Leader {
		return true
	}
	return c.Leader != "" && now.Sub(c.contactAt) < c.Settings.ElectionTimeout
}

func (c *Raft) rejectStale(m Message) {
	switch m.Kind {
	case Append, Install:
		// Sent stays zero: an earlier process of the leader may have had another clock.
		c.send(Message{Kind: AppendReply, To: m.From, Reject: true, Hint: c.log.last()})
	case PreVote:
		c.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
	}
}

func (c *Raft) becomeFollower(now clock.Instant, term uint64, leader ID) {
	if term > c.Hard.Term {
		c.Hard = HardState{Term: term}
		c.markHardChanged()
	}
	c.Role = Follower
	c.Leader = leader
	c.transfer = ""
	c.resetElection(now)
}

func (c *Raft) onAppend(now clock.Instant, m Message) {
	c.followLeader(now, m.From)
	if m.Index < c.Commit {
		c.send(Message{Kind: AppendReply, To: m.From, Sent: m.Sent, Index: c.Commit})
		return
	}
	term, ok := c.log.term(m.Index)
	if !ok || term != m.LogTerm {
		hint := min(m.Index-1, c.log.last())
		c.send(Message{Kind: AppendReply, To: m.From, Sent: m.Sent, Reject: true, Index: m.Index, Hint: max(hint, c.Commit)})
		return
	}
	last := m.Index + uint64(len(m.Entries))
	c.append(c.log.missing(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.send(Message{Kind: AppendReply, To: m.From, Sent: m.Sent, Index: last})
}

func (c *Raft) onInstall(now clock.Instant, m Message) {
	c.followLeader(now, m.From)
	snap := m.Snapshot
	if snap.Index <= c.Commit {
		c.send(Message{Kind: AppendReply, To: m.From, Sent: m.Sent, Index: c.Commit})
		return
	}
	if term, ok := c.log.term(snap.Index); ok && term == snap.Term {
		// The log contains the snapshot, and the leader may count the entries after it as stored here.
		c.commitTo(snap.Index)
		c.send(Message{Kind: AppendReply, To: m.From, Sent: m.Sent, Index: snap.Index})
		return
	}
	c.out.Append = nil
	c.out.Committed = nil
	c.out.Restore = snap
	c.log = entryLog{base: *snap}
	c.Commit = snap.Index
	c.reloadMembers()
	c.send(Message{Kind: AppendReply, To: m.From, Sent: m.Sent, Index: snap.Index})
}

func (c *Raft) followLeader(now clock.Instant, leader ID) {
	c.Role = Follower
	c.Leader = leader
	c.contactAt = now
	c.resetElection(now)
}

func (c *Raft) propose(p Propose) {
	if c.Role != Leader || c.transfer != "" {
		c.out.Outcomes = append(c.out.Outcomes, Outcome{Ticket: p.Ticket, Refusal: NotLeader})
		return
	}
	c.appendAsLeader(p.Ticket, Entry{Kind: Command, Data: p.Data})
}

// appendAsLeader appends an entry of the current term. It adds an accepted Outcome unless ticket is 0.
func (c *Raft) appendAsLeader(ticket uint64, e Entry) {
	e.Index = c.log.last() + 1
	e.Term = c.Hard.Term
	c.append([]Entry{e})
	if ticket != 0 {
		c.out.Outcomes = append(c.out.Outcomes, Outcome{Ticket: ticket, Index: e.Index, Term: e.Term})
	}
	c.advanceCommit()
}

// append stores entries, replacing all log entries from the index of the first of them on.
func (c *Raft) append(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	truncated := first <= c.log.last()
	c.log.replace(entries)
	c.out.Append = replaceTail(c.out.Append, entries)
	if truncated {
		c.reloadMembers()
		return
	}
	for _, e := range entries {
		if e.Kind == Config {
			c.setMembers(e.Members, e.Index)
		}
	}
}

func (c *Raft) commitTo(index uint64) {
	if index <= c.Commit {
		return
	}
	from := c.Commit
	c.Commit = min(index, c.log.last())
	c.emitCommitted(from)
}

// emitCommitted adds the entries after index from up to the commit index to the actions.
func (c *Raft) emitCommitted(from uint64) {
	c.out.Committed = append(c.out.Committed, c.log.slice(from+1, c.Commit+1)...)
}

func (c *Raft) setMembers(members []Member, at uint64) {
	c.members = members
	c.configIndex = at
	if c.Role == Leader {
		c.trackPeers()
	}
}

func (c *Raft) reloadMembers() {
	c.members, c.configIndex = c.log.members()
	if c.Role == Leader {
		c.trackPeers()
	}
}

// membersAt returns the membership after the entry at index.
func (c *Raft) membersAt(index uint64) []Member {
	members := c.log.base.Members
	for _, e := range c.log.entries {
		if e.Index > index {
			break
		}
		if e.Kind == Config {
			members = e.Members
		}
	}
	return members
}

func (c *Raft) isVoter(id ID) bool {
	i := c.memberIndex(id)
	return i >= 0 && c.members[i].Voter
}

func (c *Raft) memberIndex(id ID) int {
	return slices.IndexFunc(c.members, func(m Member) bool { return m.ID == id })
}

func (c *Raft) voters() []ID {
	var ids []ID
	for _, m := range c.members {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (c *Raft) markHardChanged() {
	c.out.Hard = c.Hard
	c.out.HardChanged = true
}

func (c *Raft) send(m Message) {
	m.From = c.Settings.Self
	if m.Term == 0 {
		m.Term = c.Hard.Term
	}
	c.out.Messages = append(c.out.Messages, m)
}

// resetElection sets the election timer to a random instant one to two election timeouts ahead.
func (c *Raft) resetElection(now clock.Instant) {
	c.electionAt = now.Add(c.Settings.ElectionTimeout + c.randomDuration(c.Settings.ElectionTimeout))
}

// randomDuration returns a random duration below limit, from an xorshift generator.
func (c *Raft) randomDuration(limit clock.Duration) clock.Duration {
	c.randomState ^= c.randomState << 13
	c.randomState ^= c.randomState >> 7
	c.randomState ^= c.randomState << 17
	return clock.Duration(c.randomState % uint64(max(limit, 1)))
}

// SnapshotAndEntries returns the latest snapshot and the log entries after it.
func (c *Raft) SnapshotAndEntries() (Snapshot, []Entry) { return c.log.base, c.log.entries }
