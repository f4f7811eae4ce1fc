package state

import "swiftbeam/pkg/clock"

// Stage tells how far a version move has come.
type Stage uint8

// Stages of a move. Finished, RolledBack and Cancelled are final.
const (
	Waiting Stage = iota // no replica of the new version is ready
	Trial                // a small, concentrated share
	Ramp                 // the share grows
	Watch                // all traffic, the old version kept warm
	Finished
	RolledBack
	Cancelled
)

// Reason tells why a move changed its stage last.
type Reason uint8

// Reasons of stage changes.
const (
	Planned Reason = iota
	MoreErrors
	SlowerFirstToken
	SlowerTokens
	ShorterAnswers
	TooLate
	ByOperator
	OldVersionWorse
)

// Move is the state of one version move.
type Move struct {
	Service  string
	From     string
	To       string
	Started  clock.Instant
	FinishBy clock.Instant
	// Trial is the largest share of a route's requests before the version is proven, in percent.
	Trial    int
	Revision uint64
	Stage    Stage
	// Share is the part of the traffic for the new version, in hundredths of a percent.
	Share    int
	Reason   Reason
	Evidence string
	StageAt  clock.Instant
	// ShareAt is the instant of the last change of the share.
	ShareAt clock.Instant
	// Faults counts the faulty answers of the new version at the last change of the share.
	Faults uint64
}

// FullShare is the Share of all traffic.
const FullShare = 10_000

// MoveStep takes a move from the given revision to another stage or share.
type MoveStep struct {
	Service  string
	Version  string
	Revision uint64
	Stage    Stage
	Share    int
	Reason   Reason
	Evidence string
	Faults   uint64
}

func (MoveStep) command() {}

// Ended reports whether the stage is final.
func (s Stage) Ended() bool { return s >= Finished }

// planMove derives the move of a service from its section after the section changed.
func (s *State) planMove(name string) {
	service, ok := s.Document.Services[name]
	if !ok {
		return
	}
	old := s.Moves[name]
	if service.Move == nil {
		s.cancelMove(old)
		return
	}
	if old != nil && old.To == service.Move.To && old.From == service.Version && !old.Stage.Ended() {
		old.FinishBy = service.Move.FinishBy
		old.Trial = service.Move.TrialPercent
		old.Revision++
		return
	}
	revision := uint64(1)
	if old != nil {
		revision = old.Revision + 1
	}
	s.Moves[name] = &Move{
		Service: name, From: service.Version, To: service.Move.To,
		Started: s.Now, FinishBy: service.Move.FinishBy, Trial: service.Move.TrialPercent,
		Revision: revision, StageAt: s.Now, ShareAt: s.Now,
	}
}

// cancelMove ends a move because the operator removed it from the section. An ended move is
// forgotten, so that the version in the section is in force again.
func (s *State) cancelMove(m *Move) {
	if m == nil {
		return
	}
	if m.Stage.Ended() {
		delete(s.Moves, m.Service)
		return
	}
	m.enter(s.Now, Cancelled, 0, ByOperator)
}

func (m *Move) enter(now clock.Instant, stage Stage, share int, why Reason) {
	if stage != m.Stage {
		m.StageAt = now
	}
	if share != m.Share {
		m.ShareAt = now
	}
	m.Stage = stage
	m.Share = share
	m.Reason = why
	m.Revision++
}

func (s *State) stepMove(b MoveStep) Result {
	m := s.Moves[b.Service]
	if m == nil || m.To != b.Version {
		return Result{Code: UnknownThing}
	}
	if m.Revision != b.Revision || m.Stage.Ended() {
		return Result{Code: Stale, Version: m.Revision}
	}
	ApplyStep(s.Now, m, b)
	return Result{Version: m.Revision}
}

// Settled returns the version of a service that serves outside of any move.
func (s *State) Settled(service string) string {
	if m := s.Moves[service]; m != nil && m.Stage == Finished {
		return m.To
	}
	return s.Document.Services[service].Version
}

// ApplyStep changes m by a step of the present revision.
func ApplyStep(now clock.Instant, m *Move, b MoveStep) {
	m.enter(now, b.Stage, b.Share, b.Reason)
	m.Evidence = b.Evidence
	m.Faults = b.Faults
}
