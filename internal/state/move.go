package state

import "swiftbeam/pkg/clock"

// Stage is the progress of a version move.
type Stage uint8

// Stages of a move. Finished, RolledBack and Cancelled are final.
const (
	// Waiting means that no replica of the new version is ready.
	Waiting Stage = iota
	// Trial means that the new version gets a small share of the traffic, in bursts.
	Trial
	// Ramp means that the share of the new version is being raised.
	Ramp
	// Watch means that the new version gets all traffic while the old one keeps running.
	Watch
	Finished
	RolledBack
	Cancelled
)

// Reason is the reason for the latest step of a move.
type Reason uint8

// Reasons for the steps of a move.
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
	// Trial is the largest percentage of a route's requests that the new version gets in stage Trial.
	Trial    int
	Revision uint64
	Stage    Stage
	// Share is the share of the traffic that the new version gets, in hundredths of a percent.
	Share    int
	Reason   Reason
	Evidence string
	StageAt  clock.Instant
	// ShareAt is the time of the last change of Share.
	ShareAt clock.Instant
	// Faults is the number of faulty responses of the new version at the time of its last pause, or of the
	// probe after that pause. Weak evidence pauses the version again only if the number has risen since.
	Faults uint64
}

// FullShare is the Share for all traffic.
const FullShare = 10_000

// MoveStep changes the stage or share of a move. It takes effect only at the given revision.
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

// planMove starts, updates or cancels the move of a service after its section changed.
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

// cancelMove cancels a running move that the operator removed from the section. An ended move is
// deleted, so that the version in the section is in force again.
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

func (m *Move) enter(now clock.Instant, stage Stage, share int, reason Reason) {
	if stage != m.Stage {
		m.StageAt = now
	}
	if share != m.Share {
		m.ShareAt = now
	}
	m.Stage = stage
	m.Share = share
	m.Reason = reason
	m.Revision++
}

func (s *State) stepMove(b MoveStep) Result {
	m := s.Moves[b.Service]
	if m == nil || m.To != b.Version {
		return Result{Code: NotFound}
	}
	if m.Revision != b.Revision || m.Stage.Ended() {
		return Result{Code: Stale, Version: m.Revision}
	}
	ApplyStep(s.Now, m, b)
	return Result{Version: m.Revision}
}

// SettledVersion returns the version of a service that is in force without a running move: the target
// of a finished move, otherwise the version in the section.
func (s *State) SettledVersion(service string) string {
	if m := s.Moves[service]; m != nil && m.Stage == Finished {
		return m.To
	}
	return s.Document.Services[service].Version
}

// ApplyStep applies a step to m. The caller has checked the revision.
func ApplyStep(now clock.Instant, m *Move, b MoveStep) {
	m.enter(now, b.Stage, b.Share, b.Reason)
	m.Evidence = b.Evidence
	m.Faults = b.Faults
}
