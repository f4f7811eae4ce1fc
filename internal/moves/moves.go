// Package moves decides version moves: how much traffic a new version gets, when a stage has
// passed, and when the version is withdrawn.
//
//	brake.Observe(now, observation)          // on each daemon
//	version := moves.Pick(move, draw, braked)
//	step := moves.Decide(now, move, inputs)  // on the leader
//
// The evidence compares the new with the old version on the same route at the same time. Each
// kind of fault is a yes or no for each request: failed, slow to the first token, slow between
// tokens, cut short. Slow and short are measured against quantiles of the old version, so that
// the test needs no model of latencies.
//
// Invariants held by the tests: a share rises only after each route with traffic was seen in
// the stage; a final stage is never left; a braked daemon sends nothing to the new version.
package moves

import (
	"fmt"
	"math"

	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// Plan of a move, as parts of the time from its start to its deadline.
const (
	// trialPart is the part spent in trial at a small share.
	trialPart = 0.40
	// rampPart is the part spent raising the share.
	rampPart = 0.30
	// watchPart is the part spent at the full share with the old version kept warm.
	watchPart = 0.20
)

// MinRouteRequests is the number of requests that each route must have sent to the new version
// before the trial can pass.
const MinRouteRequests = 30

// rampShares are the shares after the trial.
var rampShares = []int{1000, 2500, 5000, state.FullShare}

// RouteSeen counts the requests of one route in a stage.
type RouteSeen struct {
	Route string
	Old   uint64
	New   uint64
}

// Inputs are what the leader knows of a move.
type Inputs struct {
	ReadyOld int
	ReadyNew int
	Routes   []RouteSeen
	// Fault is the strongest evidence against the new version, if any passed the test.
	Fault *Finding
	// Suspicion is evidence against the new version that is not yet proof.
	Suspicion *Finding
	// Faults counts the faulty answers of the new version.
	Faults uint64
}

// HoldTime is the pause in new work for a version after a fault that is not yet proof. After it
// the version gets its trial share again, as a probe.
const HoldTime = clock.Second

// Decide returns the next step of a move, or false when it stays as it is.
func Decide(now clock.Instant, m *state.Move, in Inputs) (state.MoveStep, bool) {
	if m.Stage.Ended() {
		return state.MoveStep{}, false
	}
	if in.Fault != nil && m.Stage != state.Waiting {
		return step(m, state.RolledBack, 0, in.Fault.Reason, in.Fault.Evidence()), true
	}
	if !now.Before(m.FinishBy) {
		return step(m, state.RolledBack, 0, state.TooLate, progress(m, in)), true
	}
	if s, held := hold(now, m, in); held {
		return s, s.Revision != 0
	}
	switch m.Stage {
	case state.Waiting:
		return leaveWaiting(m, in)
	case state.Trial:
		return leaveTrial(now, m, in)
	case state.Ramp:
		return raise(now, m, in)
	}
	return leaveWatch(now, m, in)
}

// hold pauses the new version when new faults raise suspicion, and ends the pause. It reports
// true while the move is held; the step is empty when nothing changes.
func hold(now clock.Instant, m *state.Move, in Inputs) (state.MoveStep, bool) {
	paused := m.Share == 0 && m.Stage != state.Waiting
	switch {
	case paused && now.Sub(m.ShareAt) < HoldTime:
		return state.MoveStep{}, true
	case paused:
		s := step(m, state.Trial, trialShare(m), state.Planned, "probe after a pause")
		s.Faults = in.Faults
		return s, true
	case in.Suspicion == nil || in.Faults <= m.Faults || m.Stage == state.Waiting:
		return state.MoveStep{}, false
	}
	s := step(m, state.Trial, 0, in.Suspicion.Reason, in.Suspicion.Evidence())
	s.Faults = in.Faults
	return s, true
}

func trialShare(m *state.Move) int { return m.Trial * state.FullShare / 100 }

func step(m *state.Move, stage state.Stage, share int, why state.Reason, evidence string) state.MoveStep {
	return state.MoveStep{
		Service: m.Service, Version: m.To, Revision: m.Revision,
		Stage: stage, Share: share, Reason: why, Evidence: evidence, Faults: m.Faults,
	}
}

func progress(m *state.Move, in Inputs) string {
	text := fmt.Sprintf("in stage %v with %d new and %d old replicas", m.Stage, in.ReadyNew, in.ReadyOld)
	for _, r := range in.Routes {
		text += fmt.Sprintf("; route %s: %d new, %d old requests", r.Route, r.New, r.Old)
	}
	return text
}

func leaveWaiting(m *state.Move, in Inputs) (state.MoveStep, bool) {
	if in.ReadyNew == 0 {
		return state.MoveStep{}, false
	}
	return step(m, state.Trial, trialShare(m), state.Planned, progress(m, in)), true
}

func leaveTrial(now clock.Instant, m *state.Move, in Inputs) (state.MoveStep, bool) {
	if now.Before(due(m, trialPart)) || !settled(now, m) || !routesSeen(now, m, in, MinRouteRequests) {
		return state.MoveStep{}, false
	}
	return step(m, state.Ramp, allowed(rampShares[0], in), state.Planned, progress(m, in)), true
}

func raise(now clock.Instant, m *state.Move, in Inputs) (state.MoveStep, bool) {
	next := len(rampShares) - 1
	for i, share := range rampShares {
		if share > m.Share {
			next = i
			break
		}
	}
	part := trialPart + rampPart*float64(next)/float64(len(rampShares)-1)
	if now.Before(due(m, part)) || !settled(now, m) || !routesSeen(now, m, in, 1) {
		return state.MoveStep{}, false
	}
	share := allowed(rampShares[next], in)
	if share <= m.Share {
		return state.MoveStep{}, false
	}
	stage := state.Ramp
	if share == state.FullShare {
		stage = state.Watch
	}
	return step(m, stage, share, state.Planned, progress(m, in)), true
}

func leaveWatch(now clock.Instant, m *state.Move, in Inputs) (state.MoveStep, bool) {
	if in.ReadyNew == 0 || now.Before(due(m, trialPart+rampPart+watchPart)) {
		return state.MoveStep{}, false
	}
	return step(m, state.Finished, state.FullShare, state.Planned, progress(m, in)), true
}

// allowed bounds a share by the replicas of the new version, so that each carries at most as
// much as a replica of the old one.
func allowed(share int, in Inputs) int {
	if in.ReadyNew >= in.ReadyOld {
		return share
	}
	all := max(in.ReadyOld, in.ReadyNew)
	return min(share, state.FullShare*in.ReadyNew/all)
}

// due returns the instant at which a part of the move's time has passed.
func due(m *state.Move, part float64) clock.Instant {
	whole := m.FinishBy.Sub(m.Started)
	return m.Started.Add(clock.Duration(part * float64(whole)))
}

// settlePart is the part of the move's time that a share stays before it is raised.
const settlePart = 0.015

// settled reports whether the present share has been in force for long enough to be raised.
func settled(now clock.Instant, m *state.Move) bool {
	whole := m.FinishBy.Sub(m.Started)
	return now.Sub(m.ShareAt) >= clock.Duration(settlePart*float64(whole))
}

// lowTrafficPart is the part of the move's time after which a route with less traffic than
// wanted no longer holds the move back.
const lowTrafficPart = 0.6

// routesSeen reports whether each route sent enough requests to the new version. A route
// without traffic counts as seen; a route with little traffic does late in the plan.
func routesSeen(now clock.Instant, m *state.Move, in Inputs, least uint64) bool {
	late := !now.Before(due(m, lowTrafficPart))
	for _, r := range in.Routes {
		if r.New >= least || r.Old+r.New == 0 {
			continue
		}
		if !late {
			return false
		}
	}
	return true
}

// Concentrate returns to how many replicas of the new version a share goes, so that each runs
// at the load of an old one.
func Concentrate(share, readyOld, readyNew int) int {
	if share >= state.FullShare || readyNew == 0 {
		return readyNew
	}
	wanted := int(math.Ceil(float64(readyOld) * float64(share) / state.FullShare))
	return min(max(wanted, 1), readyNew)
}
