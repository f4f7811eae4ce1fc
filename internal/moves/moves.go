// Package moves decides how a version move proceeds: how much traffic the new version receives,
// when a stage has passed, and when the version is rolled back.
//
//	// On each daemon:
//	version := monitor.Pick(move, "luthier-model", query)
//	regression := monitor.Observe(now, move, observation)
//	// On the leader:
//	aggregator.Receive(now, "daemon-1", samples, moveOf)
//	step, ok := moves.Decide(now, move, aggregator.Evaluate(move, routes, inputs))
//
// The evidence compares the new version with the old one on the same route during the same move.
// Each request either has or does not have a fault of each kind: failed, slow first token, slow between
// tokens, short response. Slow and short are relative to quantiles of the old version, so that the test
// needs no latency model.
//
// The tests check these invariants: a trial passes only after each route with traffic has sent
// enough requests to the new version, except for low-traffic routes late in the move; a final
// stage is never left; a daemon that stopped the new version locally sends nothing to it.
package moves

import (
	"fmt"
	"math"

	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// Plan divides the time from the start of a move to its deadline. Except for MinRequests, its
// fields are fractions of that time.
type Plan struct {
	// Trial is the time with a small share, Ramp the time in which the share is raised, and Watch the
	// time with the full share during which the old version is kept warm.
	Trial float64
	Ramp  float64
	Watch float64
	// MinRequests is the number of requests that each route must have sent to the new version before
	// the trial can pass. After LowTraffic, a route with fewer requests no longer delays the move.
	MinRequests uint64
	LowTraffic  float64
	// MinWatch is the shortest time at the full share. A move that was paused for so long that this
	// does not fit before its deadline cannot finish.
	MinWatch float64
	// Settle is the time for which a share is in force before it is raised.
	Settle float64
}

// DefaultPlan is for moves of minutes to hours. ShortPlan is for moves of seconds: its trial is
// longer because few requests arrive in that time, and each share is in force until its first
// responses are known.
var (
	DefaultPlan = Plan{Trial: 0.40, Ramp: 0.30, Watch: 0.20, MinRequests: 30, LowTraffic: 0.6, Settle: 0.015}
	ShortPlan   = Plan{Trial: 0.50, Ramp: 0.30, Watch: 0.10, MinRequests: 10, LowTraffic: 0.5, Settle: 0.06, MinWatch: 0.1}
)

// finishFraction is the fraction of a move's time after which it finishes even if old replicas still
// process requests. The remaining time allows for the commit of the step and for the operator's
// next status query.
const finishFraction = 0.95

// Bound limits the requests that a regressed version may receive until the deadline of its move: Part is
// a fraction of all requests to the service, and Slack a number that is added. The zero value means no
// limit.
type Bound struct {
	Part  float64
	Slack float64
}

// Fractions of a Bound. The trial is planned to use trialPartFraction and trialSlackFraction of it; a daemon
// sends no more than unprovenFraction before the Watch stage, also if the traffic differs from what was
// expected. The rest covers the requests sent between a regression and its detection.
const (
	trialPartFraction  = 0.8
	trialSlackFraction = 0.6
	unprovenFraction   = 0.9
)

// maxTrialPercent leaves the old version enough requests for the comparison.
const maxTrialPercent = 50

// TrialPercent returns the trial share, in percent, for a service that is expected to receive a number
// of requests until the deadline. The number is zero if it is not known; the share is then that for heavy
// traffic.
func (b Bound) TrialPercent(expected float64) int {
	allowed := trialPartFraction * b.Part
	if expected > 0 {
		allowed += trialSlackFraction * b.Slack / expected
	}
	return min(max(int(100*allowed), 1), maxTrialPercent)
}

// rampShares are the shares after the trial, in hundredths of a percent.
var rampShares = []int{1000, 2500, 5000, state.FullShare}

// RouteCounts counts the requests of one route to either version since the move started.
type RouteCounts struct {
	Route string
	Old   uint64
	New   uint64
}

// Inputs are the leader's information about a move.
type Inputs struct {
	// Plan is the plan of the move; its zero value means DefaultPlan.
	Plan Plan
	// ReadyOld and ReadyNew count the ready replicas of either version.
	ReadyOld int
	ReadyNew int
	// RunningOld counts the requests that the old replicas still process, if known.
	RunningOld int
	Routes     []RouteCounts
	// Old and New count the requests and faults of either version over all routes.
	Old Counts
	New Counts
	// Regression is the first detected regression of the new version, or nil.
	Regression *Regression
	// WeakEvidence is evidence against the new version that passed only the weaker test, or nil.
	WeakEvidence *Regression
	// Faults counts the faults in responses of the new version.
	Faults uint64
	// Blind is true if too few daemons report to the leader for its evidence to be complete.
	Blind bool
}

// PauseTime is the time for which a version receives no new work after weak evidence against it.
// Afterwards it receives its trial share again, as a probe.
const PauseTime = clock.Second

// Decide returns the next step of a move, or false if nothing changes.
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
	if s, paused := pause(now, m, in); paused {
		return s, s.Revision != 0
	}
	if m.Stage != state.Waiting && !in.supportsMore(m) {
		return state.MoveStep{}, false
	}
	switch m.Stage {
	case state.Waiting:
		return startTrial(m, in)
	case state.Trial:
		return startRamp(now, m, in)
	case state.Ramp:
		return raiseShare(now, m, in)
	}
	return finish(now, m, in)
}

// supportsMore reports whether there is enough evidence to send more requests to the new version: of the
// requests to the service, it must have answered a good part of its trial share.
func (in *Inputs) supportsMore(m *state.Move) bool {
	if in.Blind {
		return false
	}
	all := in.Old.Requests + in.New.Requests
	return in.New.Requests >= in.Plan.MinRequests || minTrialPart*100*in.New.Requests >= all*uint64(m.Trial)
}

// minTrialPart is the inverse of the part of the trial share that the new version must have answered.
const minTrialPart = 3

// pause sets the share to zero when there is weak evidence and there were new faults since the last
// pause, and restores the trial share after PauseTime. It returns true while the pause determines the
// next step; the step is empty if nothing changes.
func pause(now clock.Instant, m *state.Move, in Inputs) (state.MoveStep, bool) {
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

func step(m *state.Move, stage state.Stage, share int, reason state.Reason, evidence string) state.MoveStep {
	return state.MoveStep{
		Service: m.Service, Version: m.To, Revision: m.Revision,
		Stage: stage, Share: share, Reason: reason, Evidence: evidence, Faults: m.Faults,
	}
}

func progress(m *state.Move, in Inputs) string {
	text := fmt.Sprintf("in stage %v with %d new and %d old replicas", m.Stage, in.ReadyNew, in.ReadyOld)
	for _, r := range in.Routes {
		text += fmt.Sprintf("; route %s: %d new, %d old requests", r.Route, r.New, r.Old)
	}
	return text
}

func startTrial(m *state.Move, in Inputs) (state.MoveStep, bool) {
	if in.ReadyNew == 0 {
		return state.MoveStep{}, false
	}
	return step(m, state.Trial, trialShare(m), state.Planned, progress(m, in)), true
}

func startRamp(now clock.Instant, m *state.Move, in Inputs) (state.MoveStep, bool) {
	if now.Before(instantAt(m, in.Plan.Trial)) || !shareSettled(now, m, in.Plan) || !enoughRequests(now, m, in, in.Plan.MinRequests) {
		return state.MoveStep{}, false
	}
	share := rampShares[0]
	for _, share = range rampShares {
		if share > trialShare(m) {
			break
		}
	}
	return step(m, state.Ramp, capShare(share, in), state.Planned, progress(m, in)), true
}

func raiseShare(now clock.Instant, m *state.Move, in Inputs) (state.MoveStep, bool) {
	next := len(rampShares) - 1
	for i, share := range rampShares {
		if share > m.Share {
			next = i
			break
		}
	}
	part := in.Plan.Trial + in.Plan.Ramp*float64(next)/float64(len(rampShares)-1)
	if now.Before(instantAt(m, part)) || !shareSettled(now, m, in.Plan) || !enoughRequests(now, m, in, 1) {
		return state.MoveStep{}, false
	}
	share := capShare(rampShares[next], in)
	if share <= m.Share {
		return state.MoveStep{}, false
	}
	stage := state.Ramp
	if share == state.FullShare {
		stage = state.Watch
	}
	return step(m, stage, share, state.Planned, progress(m, in)), true
}

func finish(now clock.Instant, m *state.Move, in Inputs) (state.MoveStep, bool) {
	if in.ReadyNew == 0 || now.Before(instantAt(m, in.Plan.Trial+in.Plan.Ramp+in.Plan.Watch)) {
		return state.MoveStep{}, false
	}
	if now.Sub(m.StageAt) < clock.Duration(in.Plan.MinWatch*float64(m.FinishBy.Sub(m.Started))) {
		return state.MoveStep{}, false
	}
	if in.RunningOld > 0 && now.Before(instantAt(m, finishFraction)) {
		return state.MoveStep{}, false
	}
	return step(m, state.Finished, state.FullShare, state.Planned, progress(m, in)), true
}

// capShare limits a share to what the ready replicas of the new version can carry, so that none is
// loaded more than a replica of the old version.
func capShare(share int, in Inputs) int {
	if in.ReadyNew >= in.ReadyOld {
		return share
	}
	all := max(in.ReadyOld, in.ReadyNew)
	return min(share, state.FullShare*in.ReadyNew/all)
}

// instantAt returns the instant at which a fraction of the move's time has passed.
func instantAt(m *state.Move, part float64) clock.Instant {
	total := m.FinishBy.Sub(m.Started)
	return m.Started.Add(clock.Duration(part * float64(total)))
}

// shareSettled reports whether the current share has been in force long enough to be raised.
func shareSettled(now clock.Instant, m *state.Move, p Plan) bool {
	total := m.FinishBy.Sub(m.Started)
	return now.Sub(m.ShareAt) >= clock.Duration(p.Settle*float64(total))
}

// enoughRequests reports whether each route has sent at least minRequests to the new version. Routes
// without traffic are ignored; after Plan.LowTraffic, so are all routes with too few requests.
func enoughRequests(now clock.Instant, m *state.Move, in Inputs, minRequests uint64) bool {
	late := !now.Before(instantAt(m, in.Plan.LowTraffic))
	for _, r := range in.Routes {
		if r.New >= minRequests || r.Old+r.New == 0 {
			continue
		}
		if !late {
			return false
		}
	}
	return true
}

// ReplicasForShare returns how many replicas of the new version are used for a share, so that each
// has the load of a replica of the old version.
func ReplicasForShare(share, readyOld, readyNew int) int {
	if share >= state.FullShare || readyNew == 0 {
		return readyNew
	}
	wanted := int(math.Ceil(float64(readyOld) * float64(share) / state.FullShare))
	return min(max(wanted, 1), readyNew)
}
