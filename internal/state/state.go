// Package state is the replicated state of all daemons: the sections of the operators' document, the
// journal of calls that must not be repeated, version moves and rollouts, traffic rules, usage records,
// orders to backend servers, traits of requests that crash them, evacuated zones, and departures of backend
// servers. It changes only by commands from the committed log; the same commands produce the same state on every
// daemon:
//
//	s := &state.State{}
//	result := s.Apply(entry.Index, command)
//
// The tests check these invariants: versions only rise; an operation takes effect once; a call has
// one holder and one outcome; each new holder of an order gets a higher fencing number.
package state

import (
	"maps"

	"swiftbeam/internal/crash"
	"swiftbeam/internal/quota"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/conf"
)

//go:generate ../../.tools/stringer -type=Code,OnceOutcome,Stage,Reason,OrderKind -linecomment -output=enums_string.go

// Retention times and limits of records.
const (
	// OperationRetention is how long the result of an operation is kept, so that a repeated request
	// gets the same result, and how long an ended order is kept.
	OperationRetention = clock.Day
	// spendingRetention is how long the record of an account is kept while others are recorded, longer than any window
	// of quotas.
	spendingRetention = clock.Minute
	// CallRetention is how long the record of a call is kept after it got a response or was found not
	// run.
	CallRetention = clock.Day
	// UnknownCallRetention is how long the record of a pending or unsure call is kept.
	UnknownCallRetention = 7 * clock.Day
	// HistoryLength is the number of versions kept for each section.
	HistoryLength = 16
	// MaxOnceRecords is the largest number of records in the journal. When it is full, new calls are
	// refused as not run.
	MaxOnceRecords = 200_000
	// MaxOnceBodyBytes is the largest size of a recorded response body. A response with a longer one
	// is recorded without it.
	MaxOnceBodyBytes = 64 << 10
)

// Code is the result code of a command.
type Code uint8

// Result codes of commands.
const (
	// Done means that the command took effect, now or when it was first applied.
	Done Code = iota
	// Stale means that the base version or revision is not the current one.
	Stale
	// Rejected means that the content is invalid; Detail lists the mistakes.
	Rejected
	// KeyReused means that the idempotency key was used before with another request body.
	KeyReused
	// Existing means that the call, order, rollout or usage record exists already, or has ended. For
	// a call, Once is its record.
	Existing
	// Full means that a limit was reached.
	Full
	// NotHolder means that the call or order belongs to another holder.
	NotHolder
	// NotFound means that the named object does not exist.
	NotFound // UnknownThing
)

// Result is the result of applying a command.
type Result struct {
	Code    Code
	Detail  string
	Version uint64
	Fence   uint64
	Once    *OnceRecord
}

// Command is the content of one log entry.
type Command struct {
	// At is the leader's time when it proposed the command.
	At   clock.Instant
	Body Body
}

// Body is the content of a command; its type is the kind of the command.
type Body interface{ command() }

// PutSection creates a section or replaces its text. Base is the version that the operator's change
// is based on, zero for a new section.
type PutSection struct {
	Operation string
	Section   string
	Owner     string
	Base      uint64
	Text      string
}

// Barrier changes nothing. A daemon that receives its result has applied all earlier commands.
type Barrier struct{}

// RecordCrashes adds evidence to the table of traits under which servers ended. At is of the clock that the
// daemons agree on.
type RecordCrashes struct {
	At       clock.Instant
	Evidence crash.Evidence
}

// RecordSpending replaces the records of what accounts have spent.
type RecordSpending struct {
	Records []quota.Record
}

func (PutSection) command()     {}
func (Barrier) command()        {}
func (RecordCrashes) command()  {}
func (RecordSpending) command() {}

// SectionVersion is one version of a section's text.
type SectionVersion struct {
	Version   uint64
	Text      string
	Operation string
	Owner     string
	At        clock.Instant
}

// Section is a part of the operators' document. History has its latest versions, the oldest first.
type Section struct {
	Name    string
	History []SectionVersion
}

// Operation is the recorded result of an operator's write.
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
	// Rules are the latest traffic rules, Usage the recorded windows by number, Rollouts the latest
	// rollout of each service.
	Rules    Rules
	Usage    map[uint64]Usage
	Rollouts map[string]*Rollout
	// Crashes are the traits of requests under which backend servers ended.
	Crashes crash.Table
	// Spending is the last record of what each account has spent of its quota.
	Spending map[string]quota.Record
	// Evacuations are the availability zones that are evacuated or were, by name.
	Evacuations map[string]Evacuation
	// Departures are the departures of backend servers, by the ID of the server. DepartureRevision is the last
	// revision of one.
	Departures        map[string]Departure
	DepartureRevision uint64

	// Document is derived from the sections.
	Document conf.Document
	// Now is the latest Command.At of all applied commands.
	Now clock.Instant

	// SweptAt is the value of Now at the last removal of expired records.
	SweptAt clock.Instant
}

// Apply executes the command of the log entry at index.
func (s *State) Apply(index uint64, c Command) Result {
	s.initMaps()
	s.Applied = index
	if c.At.After(s.Now) {
		s.Now = c.At
	}
	s.removeExpired()
	switch b := c.Body.(type) {
	case PutSection:
		return s.putDeduplicated(b)
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
	case RecordCrashes:
		s.Crashes.Apply(b.At, &b.Evidence)
		return Result{Version: s.Crashes.Revision}
	case RecordSpending:
		s.recordSpending(b.Records)
	case EvacuateZone:
		return s.setEvacuation(Evacuation{Zone: b.Zone, Evacuated: true, Since: b.At, By: b.By}, b.Seen)
	case ReturnZone:
		return s.setEvacuation(Evacuation{Zone: b.Zone, Since: b.At, By: b.By}, b.Seen)
	case RecordDepartures:
		return s.recordDepartures(b.Departures)
	}
	return Result{}
}

// recordSpending replaces the records of accounts, and drops those that are much older.
func (s *State) recordSpending(records []quota.Record) {
	latest := clock.Instant(0)
	for _, r := range records {
		s.Spending[r.Account] = r
		latest = max(latest, r.At)
	}
	maps.DeleteFunc(s.Spending, func(_ string, r quota.Record) bool { return latest.Sub(r.At) > spendingRetention })
}

// Skip marks a log entry without a command as applied.
func (s *State) Skip(index uint64) { s.Applied = index }

func (s *State) initMaps() {
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
	s.Spending = make(map[string]quota.Record)
	s.Evacuations = make(map[string]Evacuation)
	s.Departures = make(map[string]Departure)
}

// putDeduplicated applies an operation once and returns the recorded result if it is repeated.
func (s *State) putDeduplicated(p PutSection) Result {
	if done, ok := s.Operations[p.Operation]; ok {
		return done.Result
	}
	r := s.put(p)
	s.Operations[p.Operation] = Operation{ID: p.Operation, Result: r, At: s.Now}
	return r
}

func (s *State) put(p PutSection) Result {
	current := uint64(0)
	section := s.Sections[p.Section]
	if section != nil {
		last := section.Last()
		current = last.Version
		if p.Base != current {
			return Result{Code: Stale, Version: current, Detail: conflictDetail(last)}
		}
	} else if p.Base != 0 {
		return Result{Code: Stale, Detail: "the section does not exist; put it with base 0"}
	}
	doc, detail := s.validate(p)
	if detail != "" {
		return Result{Code: Rejected, Version: current, Detail: detail}
	}
	s.Version++
	s.VersionAt = s.Applied
	next := SectionVersion{Version: current + 1, Text: p.Text, Operation: p.Operation, Owner: p.Owner, At: s.Now}
	if section == nil {
		section = &Section{Name: p.Section}
		s.Sections[p.Section] = section
	}
	section.History = append(section.History, next)
	if len(section.History) > HistoryLength {
		section.History = append([]SectionVersion(nil), section.History[1:]...)
	}
	s.Document = doc
	s.planMove(p.Section)
	return Result{Version: next.Version}
}

func conflictDetail(current SectionVersion) string {
	return "operation " + current.Operation + " of " + current.Owner + " was first; read the section and put it again"
}

// validate parses the section and assembles the complete document with it. It returns the mistakes, one
// a line, or an empty text.
func (s *State) validate(p PutSection) (conf.Document, string) {
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

// Last returns the latest version of the section.
func (s *Section) Last() SectionVersion { return s.History[len(s.History)-1] }

// Rebuild derives the document from the sections. It is needed after loading a snapshot.
func (s *State) Rebuild() {
	s.initMaps()
	var sections []conf.Section
	for name, section := range s.Sections {
		parsed, _ := conf.ParseSection(name, []byte(section.Last().Text))
		sections = append(sections, parsed)
	}
	s.Document, _ = conf.Assemble(sections)
}

// removeExpired deletes records older than their retention times, at most once a minute of command
// time.
func (s *State) removeExpired() {
	if s.Now.Sub(s.SweptAt) < clock.Minute {
		return
	}
	s.SweptAt = s.Now
	for id, o := range s.Operations {
		if s.Now.Sub(o.At) > OperationRetention {
			delete(s.Operations, id)
		}
	}
	for k, r := range s.Once {
		if s.Now.Sub(r.At) > r.retention() {
			delete(s.Once, k)
		}
	}
	for id, o := range s.Orders {
		if o.Ended && s.Now.Sub(o.At) > OperationRetention {
			delete(s.Orders, id)
		}
	}
}
