// Package quorum replicates a log of commands among voters and learners.
//
// Core is a pure state machine. Its owner turns messages, ticks and proposals into events, and
// carries out the actions in this order: save Restore, Hard and Append and sync them, then send
// Messages, then apply Committed. Several events may share one sync:
//
//	core.Step(now, quorum.Receive{Message: m})
//	core.Step(now, quorum.Propose{Ticket: 7, Data: command})
//	actions := core.Take()
//
// Elections use a pre-vote and a stickiness rule, so that a daemon that was cut off does not
// depose a working leader. A leader that lost a majority steps down within an election timeout.
// Membership changes one member at a time.
//
// Invariants held by the tests: one leader in a term; committed entries are never lost or
// changed; every member applies the same commands in the same order.
package quorum

import "swiftbeam/pkg/clock"

//go:generate ../../.tools/stringer -type=Role,EntryKind,MessageKind,Refusal,ChangeKind,Repair -output=enums_string.go

// ID names one incarnation of a member. A wiped disk gives a new ID.
type ID string

// Role is what a member does at present.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// EntryKind tells what a log entry holds.
type EntryKind uint8

// Kinds of entries.
const (
	Command EntryKind = iota
	Noop
	Config
)

// Member is one daemon of the replication group. Members without a vote are learners.
type Member struct {
	ID      ID
	Name    string
	Address string
	Zone    string
	Region  string
	Voter   bool
	Disk    bool
}

// Entry is one record of the log. Members is set for entries of kind Config only.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Data    []byte
	Members []Member
}

// HardState must be on disk before a message that depends on it leaves.
type HardState struct {
	Term uint64
	Vote ID
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []Member
	Data    []byte
}

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// Kinds of messages.
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

// Message travels between two members. The meaning of Index depends on the kind: the entry
// before Entries for Append, the last matching entry for AppendReply, the last entry of the
// candidate's log for votes.
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
	// Force asks for a vote although a leader is alive; set when that leader asked to hand over.
	Force bool
	// Sent is the leader's clock when it sent an append, and comes back with the reply.
	Sent clock.Instant
}

// Event is an input of Core.
type Event interface{ event() }

// Tick lets time pass; the owner sends one at least every heartbeat interval.
type Tick struct{}

// Receive hands over a message of another member.
type Receive struct{ Message Message }

// Propose asks to append a command; the outcome carries the same Ticket.
type Propose struct {
	Ticket uint64
	Data   []byte
}

// ChangeKind tells how a Change alters the membership.
type ChangeKind uint8

// Kinds of membership changes.
const (
	AddLearner ChangeKind = iota
	Promote
	Remove
)

// Change asks for a change of one member.
type Change struct {
	Ticket uint64
	Kind   ChangeKind
	Member Member
}

// Transfer asks the leader to hand over to its most advanced voter.
type Transfer struct{}

// Compact tells the core that a snapshot with the effect of all entries up to Index is saved.
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

// Refusal tells why a proposal was not appended.
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

// Outcome answers one Propose or Change. An accepted entry is committed only once it appears
// in Committed with the same Index and Term.
type Outcome struct {
	Ticket  uint64
	Index   uint64
	Term    uint64
	Refusal Refusal
}

// Actions is the work that the owner must carry out, in the order of the package comment.
type Actions struct {
	Restore     *Snapshot
	Hard        HardState
	HardChanged bool
	// Append replaces the log from Append[0].Index on.
	Append    []Entry
	Messages  []Message
	Committed []Entry
	Outcomes  []Outcome
}

// Settings are the constants of a group; all members use the same.
type Settings struct {
	Self            ID
	ElectionTimeout clock.Duration
	Heartbeat       clock.Duration
	// LearnerHeartbeat is the heartbeat to learners, which need it for their lease alone; zero means
	// Heartbeat.
	LearnerHeartbeat clock.Duration
	// ReplaceAfter is the silence after which a voter is replaced by a learner with a disk.
	ReplaceAfter clock.Duration
	// RemoveLearnerAfter is the silence after which a learner is removed.
	RemoveLearnerAfter clock.Duration
	// Voters is the number of voters that repair restores.
	Voters int
	// BatchBytes bounds the entries of one message.
	BatchBytes int
	// Seed varies election timeouts.
	Seed uint64
}

// MaxVoters is the largest number of voters in a group.
const MaxVoters = 7
