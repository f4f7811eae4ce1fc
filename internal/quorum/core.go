package quorum

import (
	"hash/fnv"
	"slices"

	"swiftbeam/pkg/clock"
)

// Core is the state of one member. Create it with New or Load.
type Core struct {
	Settings Settings

	Role   Role
	Hard   HardState
	Leader ID
	Commit uint64

	log      entryLog
	members  []Member
	configAt uint64
	peers    map[ID]*progress
	votes    map[ID]bool
	electAt  clock.Instant
	beatAt   clock.Instant
	checkAt  clock.Instant
	heardAt  clock.Instant
	// now is the instant of the last step.
	now      clock.Instant
	noopAt   uint64
	random   uint64
	transfer ID
	needBeat bool
	// learnersAt and needLearners are the heartbeat of learners.
	learnersAt   clock.Instant
	needLearners bool
	out          Actions
}

// progress is what a leader knows of another member.
type progress struct {
	next    uint64
	match   uint64
	heardAt clock.Instant
	// confirmedAt is when the newest message was sent that the member answered.
	confirmedAt clock.Instant
	snapshotAt  clock.Instant
}

// New returns a member with an empty log. It stays a follower until a leader tells it of the
// members or until Load gives it some.
func New(s Settings, now clock.Instant) *Core {
	c := &Core{Settings: s, random: startRandom(s), heardAt: now}
	c.resetElection(now)
	return c
}

// startRandom mixes the seed with the member's ID, so that members with equal seeds do not
// campaign in step. The result is not zero.
func startRandom(s Settings) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Self))
	return (h.Sum64() ^ s.Seed) | 1
}

// Load returns a member with the state read from disk. Entries follow snap without a gap.
func Load(s Settings, now clock.Instant, hard HardState, snap Snapshot, entries []Entry) *Core {
	c := New(s, now)
	c.Hard = hard
	c.log = entryLog{base: snap, entries: entries}
	c.Commit = snap.Index
	c.rescanMembers()
	// After a restart of the whole group nobody leads; the pre-vote keeps this from disturbing one
	// that does.
	c.electAt = now.Add(c.Settings.ElectionTimeout/6 + c.draw(c.Settings.ElectionTimeout/2))
	return c
}

// Bootstrap gives an empty member the first membership. All first voters must be given the
// same list.
func (c *Core) Bootstrap(members []Member) {
	c.Hard.Term = 1
	c.noteHard()
	c.append([]Entry{{Index: 1, Term: 1, Kind: Config, Members: members}})
	c.Commit = 1
	c.deliver(0)
}

// Step takes one event. The actions accumulate until Take.
func (c *Core) Step(now clock.Instant, e Event) {
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

// Take returns the accumulated actions and forgets them.
func (c *Core) Take() Actions {
	if c.Role == Leader {
		c.sendAppends()
	}
	out := c.out
	c.out = Actions{}
	return out
}

// Members returns the membership in force. The caller must not change it.
func (c *Core) Members() []Member { return c.members }

// LastIndex returns the index of the last entry of the log.
func (c *Core) LastIndex() uint64 { return c.log.last() }

// FirstIndex returns the index of the oldest entry that is not in a snapshot.
func (c *Core) FirstIndex() uint64 { return c.log.base.Index + 1 }

// ContactAt returns the last instant at which this member was in contact with a quorum, as the
// leader or through it. The leader counts from when it sent what was answered: answers that waited
// while it stood still tell nothing about the present.
func (c *Core) ContactAt() clock.Instant {
	if c.Role != Leader {
		return c.heardAt
	}
	return c.quorumAt(func(p *progress) clock.Instant { return p.confirmedAt })
}

func (c *Core) tick(now clock.Instant) {
	if c.Role == Leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electAt) {
		return
	}
	c.resetElection(now)
	if c.isVoter(c.Settings.Self) {
		c.campaign(now, PreCandidate)
	}
}

func (c *Core) receive(now clock.Instant, m Message) {
	if m.To != c.Settings.Self {
		return
	}
	if m.Term > c.Hard.Term && !c.deferTerm(now, m) {
		return
	}
	if m.Term < c.Hard.Term {
		c.answerStale(m)
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

// deferTerm handles a message of a later term. It reports false when the message must be
// ignored.
func (c *Core) deferTerm(now clock.Instant, m Message) bool {
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

// leaderIsAlive tells whether a vote would depose a leader that this member still hears.
func (c *Core) leaderIsAlive(now clock.Instant) bool {
	if c.Role == Leader {
		return true
	}
	return c.Leader != "" && now.Sub(c.heardAt) < c.Settings.ElectionTimeout
}

func (c *Core) answerStale(m Message) {
	switch m.Kind {
	case Append, Install:
		c.send(Message{Kind: AppendReply, To: m.From, Sent: m.Sent, Reject: true, Hint: c.log.last()})
	case PreVote:
		c.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
	}
}

func (c *Core) becomeFollower(now clock.Instant, term uint64, leader ID) {
	if term > c.Hard.Term {
		c.Hard = HardState{Term: term}
		c.noteHard()
	}
	c.Role = Follower
	c.Leader = leader
	c.transfer = ""
	c.resetElection(now)
}

func (c *Core) onAppend(now clock.Instant, m Message) {
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
	c.append(c.log.unknown(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.send(Message{Kind: AppendReply, To: m.From, Sent: m.Sent, Index: last})
}

func (c *Core) onInstall(now clock.Instant, m Message) {
	c.followLeader(now, m.From)
	snap := m.Snapshot
	if snap.Index <= c.Commit {
		c.send(Message{Kind: AppendReply, To: m.From, Sent: m.Sent, Index: c.Commit})
		return
	}
	c.out.Append = nil
	c.out.Committed = nil
	c.out.Restore = snap
	c.log = entryLog{base: *snap}
	c.Commit = snap.Index
	c.rescanMembers()
	c.send(Message{Kind: AppendReply, To: m.From, Sent: m.Sent, Index: snap.Index})
}

func (c *Core) followLeader(now clock.Instant, leader ID) {
	c.Role = Follower
	c.Leader = leader
	c.heardAt = now
	c.resetElection(now)
}

func (c *Core) propose(p Propose) {
	if c.Role != Leader || c.transfer != "" {
		c.out.Outcomes = append(c.out.Outcomes, Outcome{Ticket: p.Ticket, Refusal: NotLeader})
		return
	}
	c.lead(p.Ticket, Entry{Kind: Command, Data: p.Data})
}

// lead appends an entry as leader and answers its ticket.
func (c *Core) lead(ticket uint64, e Entry) {
	e.Index = c.log.last() + 1
	e.Term = c.Hard.Term
	c.append([]Entry{e})
	if ticket != 0 {
		c.out.Outcomes = append(c.out.Outcomes, Outcome{Ticket: ticket, Index: e.Index, Term: e.Term})
	}
	c.advanceCommit()
}

// append stores entries, replacing what the log holds from the first of them on.
func (c *Core) append(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	truncated := first <= c.log.last()
	c.log.replace(entries)
	c.out.Append = replaceTail(c.out.Append, entries)
	if truncated {
		c.rescanMembers()
		return
	}
	for _, e := range entries {
		if e.Kind == Config {
			c.useMembers(e.Members, e.Index)
		}
	}
}

func (c *Core) commitTo(index uint64) {
	if index <= c.Commit {
		return
	}
	from := c.Commit
	c.Commit = min(index, c.log.last())
	c.deliver(from)
}

// deliver hands the entries after from up to the commit index to the owner.
func (c *Core) deliver(from uint64) {
	c.out.Committed = append(c.out.Committed, c.log.slice(from+1, c.Commit+1)...)
}

func (c *Core) useMembers(members []Member, at uint64) {
	c.members = members
	c.configAt = at
	if c.Role == Leader {
		c.trackPeers()
	}
}

func (c *Core) rescanMembers() {
	c.members, c.configAt = c.log.members()
	if c.Role == Leader {
		c.trackPeers()
	}
}

// membersAt returns the membership as of entry index.
func (c *Core) membersAt(index uint64) []Member {
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

func (c *Core) isVoter(id ID) bool {
	i := c.find(id)
	return i >= 0 && c.members[i].Voter
}

func (c *Core) find(id ID) int {
	return slices.IndexFunc(c.members, func(m Member) bool { return m.ID == id })
}

func (c *Core) voters() []ID {
	var ids []ID
	for _, m := range c.members {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (c *Core) noteHard() {
	c.out.Hard = c.Hard
	c.out.HardChanged = true
}

func (c *Core) send(m Message) {
	m.From = c.Settings.Self
	if m.Term == 0 {
		m.Term = c.Hard.Term
	}
	c.out.Messages = append(c.out.Messages, m)
}

// resetElection draws the next election instant from one to two election timeouts ahead.
func (c *Core) resetElection(now clock.Instant) {
	c.electAt = now.Add(c.Settings.ElectionTimeout + c.draw(c.Settings.ElectionTimeout))
}

// draw returns a random duration below limit.
func (c *Core) draw(limit clock.Duration) clock.Duration {
	c.random ^= c.random << 13
	c.random ^= c.random >> 7
	c.random ^= c.random << 17
	return clock.Duration(c.random % uint64(max(limit, 1)))
}

// SnapshotAndEntries returns the snapshot that the log starts from and the entries after it.
func (c *Core) SnapshotAndEntries() (Snapshot, []Entry) { return c.log.base, c.log.entries }
