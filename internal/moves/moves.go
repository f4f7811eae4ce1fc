// Package moves decides version moves: how much traffic a new version gets, when a stage has
// passed, and when the version is withdrawn.
//
//	fault := watch.Observe(now, move, observation)  // on each daemon
//	version := watch.Pick(move, "luthier-model", ask)
//	board.Receive(now, "daemon-1", samples, moveOf)     // on the leader
//	step, ok := moves.Decide(now, move, board.Judge(move, routes, inputs))
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

// Plan divides the time of a move, from its start to its deadline.
type Plan struct {
	// Trial is the part spent in trial at a small share, Ramp the part spent raising the share, and
	// Watch the part spent at the full share with the old version kept warm.
	Trial float64
	Ramp  float64
	Watch float64
	// MinRequests is the number of requests that each route must have sent to the new version before the
	// trial can pass. After the part LowTraffic a route with less no longer holds the move back.
	MinRequests uint64
	LowTraffic  float64
	// MinWatch is the part that the full share lasts at least; a move that was paused too often for
	// that does not finish.
	MinWatch float64
	// Settle is the part for which a share stays before it is raised.
	Settle float64
}

// DefaultPlan is for moves of minutes to hours. ShortPlan is for moves of seconds: the trial is longer,
// as few requests come in its time, and each share stays until its first answers are known.
var (
	DefaultPlan = Plan{Trial: 0.40, Ramp: 0.30, Watch: 0.20, MinRequests: 30, LowTraffic: 0.6, Settle: 0.015}
	ShortPlan   = Plan{Trial: 0.50, Ramp: 0.24, Watch: 0.16, MinRequests: 10, LowTraffic: 0.5, Settle: 0.06, MinWatch: 0.1}
)

// lastPart is the part after which a move finishes although old replicas still work: what is left of
// the time goes to the commit of the step and to the operator's next look.
const lastPart = 0.97

// TrialPercent returns the share of a trial that stays within a bound on what a bad version may get
// until the deadline: a part of the requests that are expected until then, and slack beyond it.
func TrialPercent(part, slack, expected float64) int {
	return max(int(100*(trialUse*part+slackUse*slack/max(expected, slack, 1))), 1)
}

// trialUse and slackUse are the parts of the bound that the trial may use up; the rest is for the
// requests between a fault and its discovery while the share grows.
const (
	trialUse = 0.8
	slackUse = 0.6
)

// rampShares are the shares after the trial.
var rampShares = []int{1000, 2500, 5000, state.FullShare}

// RouteCounts counts the requests of one route in a stage.
type RouteCounts struct {
	Route string
	Old   uint64
	New   uint64
}

// Inputs are what the leader knows of a move.
type Inputs struct {
	// Plan is the plan of the move; its zero value means DefaultPlan.
	Plan     Plan
	ReadyOld int
	ReadyNew int
	// RunningOld counts the requests that the old replicas still work on, where that is known.
	RunningOld int
	Routes     []RouteCounts
	// Regression is the strongest evidence against the new version, if any passed the test.
	Regression *Regression
	// WeakEvidence is evidence against the new version that is not yet proof.
	WeakEvidence *Regression
	// Faults counts the faulty answers of the new version.
	Faults uint64
}

// PauseTime is the pause in new work for a version after a fault that is not yet proof. After it
// the version gets its trial share again, as a probe.
const PauseTime = clock.Second

// Decide returns the next step of a move, or false when it stays as it is.
func Decide(now clock.Instant, m *state.Move, in Inputs) (state.MoveStep, bool) {
	if m.Stage.Ended() {
		return state.MoveStep{}, false
	}
	if in.Plan == (Plan{}) {
		in.Plan = DefaultPlan
	}
	if in.Regression != nil && m.Stage != state.Waiting {
		return step(m, state.RolledBack, 0, in.Regression.Reason, in.Regression.Evidence()), true
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
	case paused && now.Sub(m.ShareAt) < PauseTime:
		return state.MoveStep{}, true
	case paused:
		s := step(m, state.Trial, trialShare(m), state.Planned, "probe after a pause")
		s.Faults = in.Faults
		return s, true
	case in.WeakEvidence == nil || in.Faults <= m.Faults || m.Stage == state.Waiting:
		return state.MoveStep{}, false
	}
	s := step(m, state.Trial, 0, in.WeakEvidence.Reason, in.WeakEvidence.Evidence())
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
	if now.Before(due(m, in.Plan.Trial)) || !settled(now, m, in.Plan) || !routesSeen(now, m, in, in.Plan.MinRequests) {
		return state.MoveStep{}, false
	}
	share := rampShares[0]
	for _, share = range rampShares {
		if share > trialShare(m) {
			break
		}
	}
	return step(m, state.Ramp, allowed(share, in), state.Planned, progress(m, in)), true
}

func raise(now clock.Instant, m *state.Move, in Inputs) (state.MoveStep, bool) {
	next := len(rampShares) - 1
	for i, share := range rampShares {
		if share > m.Share {
			next = i
			break
		}
	}
	part := in.Plan.Trial + in.Plan.Ramp*float64(next)/float64(len(rampShares)-1)
	if now.Before(due(m, part)) || !settled(now, m, in.Plan) || !routesSeen(now, m, in, 1) {
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
	if in.ReadyNew == 0 || now.Before(due(m, in.Plan.Trial+in.Plan.Ramp+in.Plan.Watch)) {
		return state.MoveStep{}, false
	}
	if now.Sub(m.StageAt) < clock.Duration(in.Plan.MinWatch*float64(m.FinishBy.Sub(m.Started))) {
		return state.MoveStep{}, false
	}
	if in.RunningOld > 0 && now.Before(due(m, lastPart)) {
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

// settled reports whether the present share has been in force for long enough to be raised.
func settled(now clock.Instant, m *state.Move, p Plan) bool {
	whole := m.FinishBy.Sub(m.Started)
	return now.Sub(m.ShareAt) >= clock.Duration(p.Settle*float64(whole))
}

// routesSeen reports whether each route sent enough requests to the new version. A route
// without traffic counts as seen; a route with little traffic does late in the plan.
func routesSeen(now clock.Instant, m *state.Move, in Inputs, least uint64) bool {
	late := !now.Before(due(m, in.Plan.LowTraffic))
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

// ReplicasForShare returns to how many replicas of the new version a share goes, so that each runs
// at the load of an old one.
func ReplicasForShare(share, readyOld, readyNew int) int {
	if share >= state.FullShare || readyNew == 0 {
		return readyNew
	}
	wanted := int(math.Ceil(float64(readyOld) * float64(share) / state.FullShare))
	return min(max(wanted, 1), readyNew)
}
