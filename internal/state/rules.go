package state

import (
	"slices"

	"swiftbeam/pkg/clock"
)

// Rules are one version of the traffic rules, as the text that the operator wrote.
type Rules struct {
	Version uint64
	Text    []byte
}

// PutRules replaces the traffic rules if its version is higher than the current one.
type PutRules struct {
	Version uint64
	Text    []byte
}

// Usage has the number of requests of each client account that began in one reporting window.
type Usage struct {
	Number uint64
	Counts map[string]uint64
}

// PutUsage records the counts of a window. Later records of the same window are ignored.
type PutUsage struct {
	Number uint64
	Counts map[string]uint64
}

// UsageWindows is the number of usage windows kept.
const UsageWindows = 32

// Rollout moves the traffic of a service from the servers of all other versions to those of version
// To. Its instants are wall-clock times that the daemons agree on.
type Rollout struct {
	Move
	// Withdrawn lists the target versions of earlier rollouts that did not finish.
	Withdrawn []string
}

// Keeps reports whether the servers of a version stay in use after the rollout. A finished rollout
// keeps those of To only. For any other, the result is that of a rollback: all versions but To and the
// withdrawn ones are kept.
func (r *Rollout) Keeps(version string) bool {
	if r.Stage == Finished {
		return version == r.To
	}
	return version != r.To && !slices.Contains(r.Withdrawn, version)
}

// StartRollout starts the rollout of version Target for a service.
type StartRollout struct {
	Service  string
	Target   string
	At       clock.Instant
	FinishBy clock.Instant
	// Seen is the start of the rollout that the order replaces, 0 for none. A command that arrives after another one has
	// changed that is Stale. Commands of earlier builds have nil and replace any.
	Seen *clock.Instant
}

// StepRollout changes the stage or share of a rollout. It takes effect only at the given revision.
type StepRollout struct {
	MoveStep
	At clock.Instant
	// Trial replaces Move.Trial of the rollout if it is above zero.
	Trial int
}

func (PutRules) command()     {}
func (PutUsage) command()     {}
func (StartRollout) command() {}

func (s *State) putRules(b PutRules) Result {
	if b.Version > s.Rules.Version {
		s.Rules = Rules(b)
		return Result{Version: b.Version}
	}
	return Result{Code: Stale, Version: s.Rules.Version}
}

func (s *State) putUsage(b PutUsage) Result {
	if _, ok := s.Usage[b.Number]; ok {
		return Result{Code: Existing, Version: b.Number}
	}
	s.Usage[b.Number] = Usage(b)
	for number := range s.Usage {
		if number+UsageWindows <= b.Number {
			delete(s.Usage, number)
		}
	}
	return Result{Version: b.Number}
}

func (s *State) startRollout(b StartRollout) Result {
	old := s.Rollouts[b.Service]
	if old != nil && old.To == b.Target && (!old.Stage.Ended() || old.Started == b.At) {
		return Result{Code: Existing, Version: old.Revision}
	}
	started, revision := clock.Instant(0), uint64(0)
	if old != nil {
		started, revision = old.Started, old.Revision
	}
	if b.Seen != nil && *b.Seen != started {
		return Result{Code: Stale, Version: revision}
	}
	r := &Rollout{Move: Move{
		Service: b.Service, To: b.Target, Started: b.At, FinishBy: b.FinishBy, Revision: 1, StageAt: b.At, ShareAt: b.At,
	}}
	if old != nil {
		r.Revision = old.Revision + 1
		r.Withdrawn = slices.Clone(old.Withdrawn)
		if old.Stage != Finished {
			r.Withdrawn = append(r.Withdrawn, old.To)
		}
		r.Withdrawn = slices.DeleteFunc(r.Withdrawn, func(v string) bool { return v == b.Target })
	}
	s.Rollouts[b.Service] = r
	return Result{Version: r.Revision}
}

func (s *State) stepRollout(b StepRollout) Result {
	r := s.Rollouts[b.Service]
	if r == nil || r.To != b.Version {
		return Result{Code: NotFound}
	}
	if r.Revision != b.Revision || r.Stage.Ended() {
		return Result{Code: Stale, Version: r.Revision}
	}
	if b.Trial > 0 {
		r.Trial = b.Trial
	}
	ApplyStep(b.At, &r.Move, b.MoveStep)
	return Result{Version: r.Revision}
}
