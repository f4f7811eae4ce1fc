// Package state is the replicated state of all daemons: the operators' sections, the journal of
// calls that must not be repeated, version moves and orders to backend servers. It changes only
// by commands of the committed log, and the same commands give the same state everywhere:
//
//	s := &state.State{}
//	result := s.Apply(entry.Index, command)
//
// Invariants held by the tests: versions only rise; an operation takes effect once; a call has
// one holder and one outcome; fencing numbers rise.
package state

import (
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/conf"
)

//go:generate ../../.tools/stringer -type=Code,OnceOutcome,Stage,Reason,OrderKind -output=enums_string.go

// Windows after which records are dropped.
const (
	// OperationWindow is how long a resent operation gets its recorded answer.
	OperationWindow = clock.Day
	// OnceWindow is how long an idempotency key is kept after its outcome was recorded.
	OnceWindow = clock.Day
	// UnknownWindow is how long a call without a recorded outcome is kept.
	UnknownWindow = 7 * clock.Day
	// HistoryLength is the number of versions kept of each section.
	HistoryLength = 16
	// MaxOnceRecords bounds the journal; beyond it new calls are refused as not run.
	MaxOnceRecords = 200_000
	// MaxOnceBodyBytes bounds a recorded answer; a longer one is recorded without its body.
	MaxOnceBodyBytes = 64 << 10
)

// Code is the answer of a command.
type Code uint8

// Answers of commands.
const (
	Done         Code = iota
	Stale             // the base version or revision is not the present one
	Rejected          // the content is wrong; Detail names the mistakes
	KeyReused         // the key was used with another body
	Existing          // the call is known; Once holds its record
	Full              // a bound was reached
	NotHolder         // another holder has the call or order
	UnknownThing      // the named object does not exist
)

// Result is what applying a command answered.
type Result struct {
	Code    Code
	Detail  string
	Version uint64
	Fence   uint64
	Once    *OnceRecord
}

// Command is the content of one log entry.
type Command struct {
	// At is the leader's clock when it proposed the command.
	At   clock.Instant
	Body Body
}

// Body is one kind of command.
type Body interface{ command() }

// PutSection replaces the text of a section. Base is the version that the operator read, zero
// for a new section.
type PutSection struct {
	Operation string
	Section   string
	Owner     string
	Base      uint64
	Text      string
}

// Barrier changes nothing; its answer shows that its daemon has caught up.
type Barrier struct{}

func (PutSection) command() {}
func (Barrier) command()    {}

// SectionVersion is one version of a section's text.
type SectionVersion struct {
	Version   uint64
	Text      string
	Operation string
	Owner     string
	At        clock.Instant
}

// Section is a part of the operators' document with its history, oldest first.
type Section struct {
	Name    string
	History []SectionVersion
}

// Operation is the recorded answer to an operator's write.
type Operation struct {
	ID     string
	Result Result
	At     clock.Instant
}

// State is the replicated state. The zero value is the state before the first command.
type State struct {
	Applied uint64
	Version uint64
	// VersionAt is the log index of the last accepted change of a section.
	VersionAt  uint64
	Sections   map[string]*Section
	Operations map[string]Operation
	Once       map[OnceKey]*OnceRecord
	Moves      map[string]*Move
	Orders     map[string]*Order
	Fence      uint64
	// Rules are the newest traffic rules, Usage the recorded windows by number, Rollouts the
	// newest of each service.
	Rules    Rules
	Usage    map[uint64]Usage
	Rollouts map[string]*Rollout

	// Document is derived from the sections.
	Document conf.Document
	// Now is the latest instant of any command.
	Now clock.Instant

	// SweptAt is the instant of the last removal of old records.
	SweptAt clock.Instant
}

// Apply carries out the command of log entry index.
func (s *State) Apply(index uint64, c Command) Result {
	s.prepare()
	s.Applied = index
	if c.At.After(s.Now) {
		s.Now = c.At
	}
	s.sweep()
	switch b := c.Body.(type) {
	case PutSection:
		return s.putOnce(b)
	case OnceBegin:
		return s.beginOnce(b)
	case OnceEnd:
		return s.endOnce(b)
	case MoveStep:
		return s.stepMove(b)
	case TakeOrder:
		return s.takeOrder(b)
	case EndOrder:
		return s.endOrder(b)
	case PutRules:
		return s.putRules(b)
	case PutUsage:
		return s.putUsage(b)
	case StartRollout:
		return s.startRollout(b)
	case StepRollout:
		return s.stepRollout(b)
	}
	return Result{}
}

// Skip records a log entry that holds no command.
func (s *State) Skip(index uint64) { s.Applied = index }

func (s *State) prepare() {
	if s.Sections != nil {
		return
	}
	s.Sections = make(map[string]*Section)
	s.Operations = make(map[string]Operation)
	s.Once = make(map[OnceKey]*OnceRecord)
	s.Moves = make(map[string]*Move)
	s.Orders = make(map[string]*Order)
	s.Usage = make(map[uint64]Usage)
	s.Rollouts = make(map[string]*Rollout)
}

// putOnce answers a resent operation from its record.
func (s *State) putOnce(p PutSection) Result {
	if done, ok := s.Operations[p.Operation]; ok {
		return done.Result
	}
	r := s.put(p)
	s.Operations[p.Operation] = Operation{ID: p.Operation, Result: r, At: s.Now}
	return r
}

func (s *State) put(p PutSection) Result {
	have := uint64(0)
	old := s.Sections[p.Section]
	if old != nil {
		last := old.Last()
		have = last.Version
		if p.Base != have {
			return Result{Code: Stale, Version: have, Detail: conflictDetail(last)}
		}
	} else if p.Base != 0 {
		return Result{Code: Stale, Detail: "the section does not exist; put it with base 0"}
	}
	doc, detail := s.check(p)
	if detail != "" {
		return Result{Code: Rejected, Version: have, Detail: detail}
	}
	s.Version++
	s.VersionAt = s.Applied
	next := SectionVersion{Version: have + 1, Text: p.Text, Operation: p.Operation, Owner: p.Owner, At: s.Now}
	if old == nil {
		old = &Section{Name: p.Section}
		s.Sections[p.Section] = old
	}
	old.History = append(old.History, next)
	if len(old.History) > HistoryLength {
		old.History = append([]SectionVersion(nil), old.History[1:]...)
	}
	s.Document = doc
	s.planMove(p.Section)
	return Result{Version: next.Version}
}

func conflictDetail(winner SectionVersion) string {
	return "operation " + winner.Operation + " of " + winner.Owner + " was first; read the section and put it again"
}

// check parses the section and assembles the whole document with it.
func (s *State) check(p PutSection) (conf.Document, string) {
	section, problems := conf.ParseSection(p.Section, []byte(p.Text))
	if len(problems) > 0 {
		return conf.Document{}, joinProblems(problems)
	}
	sections := []conf.Section{section}
	for name, other := range s.Sections {
		if name != p.Section {
			parsed, _ := conf.ParseSection(name, []byte(other.Last().Text))
			sections = append(sections, parsed)
		}
	}
	doc, problems := conf.Assemble(sections)
	return doc, joinProblems(problems)
}

func joinProblems(problems []conf.Problem) string {
	text := ""
	for _, p := range problems {
		if text != "" {
			text += "\n"
		}
		text += p.String()
	}
	return text
}

// Last returns the newest version of the section.
func (s *Section) Last() SectionVersion { return s.History[len(s.History)-1] }

// Rebuild derives the document from the sections after a snapshot was loaded.
func (s *State) Rebuild() {
	s.prepare()
	var sections []conf.Section
	for name, section := range s.Sections {
		parsed, _ := conf.ParseSection(name, []byte(section.Last().Text))
		sections = append(sections, parsed)
	}
	s.Document, _ = conf.Assemble(sections)
}

// sweep drops records past their windows, at most once a minute of command time.
func (s *State) sweep() {
	if s.Now.Sub(s.SweptAt) < clock.Minute {
		return
	}
	s.SweptAt = s.Now
	for id, o := range s.Operations {
		if s.Now.Sub(o.At) > OperationWindow {
			delete(s.Operations, id)
		}
	}
	for k, r := range s.Once {
		if s.Now.Sub(r.At) > r.window() {
			delete(s.Once, k)
		}
	}
	for id, o := range s.Orders {
		if o.Ended && s.Now.Sub(o.At) > OperationWindow {
			delete(s.Orders, id)
		}
	}
}
