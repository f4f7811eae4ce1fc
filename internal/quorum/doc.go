// Package quorum replicates a log of commands among voters and learners with the Raft algorithm.
//
// Raft is a deterministic state machine without I/O. Its owner passes messages, ticks and proposals
// to it as events and carries out the resulting actions in this order: write Restore, Hard and
// Append to disk and sync, then send Messages, then apply Committed. Several events may share one
// sync:
//
//	raft.Step(now, quorum.Receive{Message: m})
//	raft.Step(now, quorum.Propose{Ticket: 7, Data: command})
//	actions := raft.Take()
//
// Elections use a pre-vote, and voters ignore candidates while they have a live leader, so that a
// daemon returning from a network partition does not depose a working leader. A leader that loses
// contact with a majority of the voters steps down within an election timeout. Each membership
// change adds, promotes or removes one member.
//
// The tests check these invariants: each term has at most one leader; committed entries are never
// lost or changed; all members apply the same commands in the same order.
package quorum

import "swiftbeam/pkg/clock"

//go:generate ../../.tools/stringer -type=Role,EntryKind,MessageKind,Refusal,ChangeKind,Repair -output=enums_string.go

// ID identifies one incarnation of a member. A daemon that lost its disk joins with a new ID.
type ID string

// Role is the current role of a member in the protocol.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// EntryKind is the kind of a log entry.
type EntryKind uint8

// Kinds of entries. A new leader appends a Noop; a Config entry carries a new membership.
const (
	Command EntryKind = iota
	Noop
	Config
)

// Member is one daemon of the replication group. A member that is not a voter is a learner. Repair
// promotes only learners with a Disk.
type Member struct {
	ID      ID
	Name    string
	Address string
	Zone    string
	Region  string
	Voter   bool
	Disk    bool
}

// Entry is one record of the log. Members is set only for entries of kind Config.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Data    []byte
	Members []Member
}

// HardState is a member's term and its vote in that term. It must be on disk before any message that
// depends on it is sent.
type HardState struct {
	Term uint64
	Vote ID
}

// Snapshot is the membership and the owner's state after the entry at Index. It replaces all
// entries up to and including that one.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []Member
	Data    []byte
}

// MessageKind is the kind of a request or reply between members.
type MessageKind uint8

// Kinds of messages. Install carries a snapshot; TimeoutNow makes the receiver campaign at once.
const (
	Append MessageKind = iota
	AppendReply
	PreVote
	PreVoteReply
	Vote
	VoteReply
	Install
	TimeoutNow
)

// Message is sent from one member to another. The meaning of Index depends on the kind: for Append
// the entry before Entries, for AppendReply the last matching entry, for PreVote and Vote the last
// entry of the candidate's log.
type Message struct {
	Kind     MessageKind
	From     ID
	To       ID
	Term     uint64
	Index    uint64
	LogTerm  uint64
	Commit   uint64
	Entries  []Entry
	Reject   bool
	Hint     uint64
	Snapshot *Snapshot
	// Force makes a voter consider a candidate although its leader is alive. It is set when that
	// leader transfers its leadership to the candidate.
	Force bool
	// Sent is the leader's clock when it sent the request. The reply returns it unchanged.
	Sent clock.Instant
}

// Event is an input of Raft.
type Event interface{ event() }

// Tick makes Raft check its timers; the owner sends one at least every heartbeat interval.
type Tick struct{}

// Receive passes a message from another member to Raft.
type Receive struct{ Message Message }

// Propose requests that a command be appended to the log. Its Outcome carries the same Ticket.
type Propose struct {
	Ticket uint64
	Data   []byte
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	AddLearner ChangeKind = iota
	Promote
	Remove
)

// Change requests a change of one member. Its Outcome carries the same Ticket.
type Change struct {
	Ticket uint64
	Kind   ChangeKind
	Member Member
}

// Transfer makes the leader transfer its leadership to the responsive voter whose log is furthest
// replicated.
type Transfer struct{}

// Compact replaces all log entries up to Index by a snapshot; Data is the owner's state after them.
type Compact struct {
	Index uint64
	Data  []byte
}

func (Tick) event()     {}
func (Receive) event()  {}
func (Propose) event()  {}
func (Change) event()   {}
func (Transfer) event() {}
func (Compact) event()  {}

// Refusal is the reason why a proposal or membership change was not appended.
type Refusal uint8

// Reasons to refuse a proposal.
const (
	Accepted Refusal = iota
	NotLeader
	ChangePending
	NotCaughtUp
	TooManyVoters
	UnknownMember
	WouldLoseQuorum
)

// Outcome is the result of one Propose or Change. An accepted entry is committed only once it
// appears in Committed with the same Index and Term.
type Outcome struct {
	Ticket  uint64
	Index   uint64
	Term    uint64
	Refusal Refusal
}

// Actions is the work that the owner must carry out, in the order given in the package comment.
type Actions struct {
	Restore     *Snapshot
	Hard        HardState
	HardChanged bool
	// Append replaces all stored log entries from Append[0].Index on.
	Append    []Entry
	Messages  []Message
	Committed []Entry
	Outcomes  []Outcome
}

// Settings configure a member. All members of a group use the same values, except for Self and Seed.
type Settings struct {
	Self            ID
	ElectionTimeout clock.Duration
	Heartbeat       clock.Duration
	// LearnerHeartbeat is the heartbeat interval for learners, which need heartbeats only to keep
	// their lease. Zero means Heartbeat, which is also the lower bound.
	LearnerHeartbeat clock.Duration
	// ReplaceAfter is the time without a reply after which a voter is replaced by a learner with a
	// disk. Zero disables repair.
	ReplaceAfter clock.Duration
	// RemoveLearnerAfter is the time without a reply after which a learner is removed. Zero means
	// never.
	RemoveLearnerAfter clock.Duration
	// Voters is the number of voters that repair maintains.
	Voters int
	// BatchBytes bounds the size of the entries in one message. A message has at least one entry.
	BatchBytes int
	// Seed is mixed with Self to randomize election timeouts.
	Seed uint64
}

// MaxVoters is the largest number of voters in a group.
const MaxVoters = 7
