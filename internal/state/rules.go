package state

import "swiftbeam/pkg/clock"

// Rules are one version of the traffic rules as the operator wrote them.
type Rules struct {
	Version uint64
	Text    []byte
}

// PutRules replaces the traffic rules when its version is higher than the present one.
type PutRules struct {
	Version uint64
	Text    []byte
}

// Usage counts the requests of each client account that began in one reporting window.
type Usage struct {
	Number uint64
	Counts map[string]uint64
}

// PutUsage records the counts of a window. The first record of a window stays.
type PutUsage struct {
	Number uint64
	Counts map[string]uint64
}

// UsageWindows is the number of windows kept.
const UsageWindows = 32

// Rollout is the move of a service's traffic to the servers of another version.
type Rollout struct {
	Service  string
	Target   string
	Stage    Stage
	Started  clock.Instant
	FinishBy clock.Instant
	// Share is the part of the traffic for the target, in hundredths of a percent.
	Share    int
	Revision uint64
}

// StartRollout asks to move a service to the servers of version Target.
type StartRollout struct {
	Service  string
	Target   string
	FinishBy clock.Instant
}

// StepRollout takes a rollout from a revision to another stage or share.
type StepRollout struct {
	Service  string
	Target   string
	Revision uint64
	Stage    Stage
	Share    int
}

func (PutRules) command()     {}
func (PutUsage) command()     {}
func (StartRollout) command() {}
func (StepRollout) command()  {}

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
	if old != nil && old.Target == b.Target && !old.Stage.Ended() {
		return Result{Code: Existing, Version: old.Revision}
	}
	revision := uint64(1)
	if old != nil {
		revision = old.Revision + 1
	}
	s.Rollouts[b.Service] = &Rollout{
		Service: b.Service, Target: b.Target, Started: s.Now, FinishBy: b.FinishBy, Revision: revision,
	}
	return Result{Version: revision}
}

func (s *State) stepRollout(b StepRollout) Result {
	r := s.Rollouts[b.Service]
	if r == nil || r.Target != b.Target {
		return Result{Code: UnknownThing}
	}
	if r.Revision != b.Revision || r.Stage.Ended() {
		return Result{Code: Stale, Version: r.Revision}
	}
	r.Stage, r.Share = b.Stage, b.Share
	r.Revision++
	return Result{Version: r.Revision}
}
