package proxy

import (
	"math/rand/v2"
	"slices"

	"swiftbeam/internal/moves"
	"swiftbeam/internal/retry"
	"swiftbeam/internal/state"
)

const (
	// leastGaps is the number of events after which the mean gap between them says something.
	leastGaps = 5
	// percent turns the ratio of the time that was taken to the time that was expected into whole
	// numbers.
	percent = 100
)

// pickVersions chooses the side of a rollout that serves the next attempt. A request whose first
// attempt went wrong is not given to the version on trial.
func (x *exchange) pickVersions(g *ServiceState) {
	r := g.Rollout
	if r == nil {
		x.versions = nil
		return
	}
	f := x.front
	x.versions = r.Keeps
	if r.Stage.Ended() {
		return
	}
	ask := moves.Query{Now: f.ClusterTime(), Route: x.route.Name, Draw: rand.Uint64(), Stopped: f.watch.Stopped(&r.Move)}
	ready := 0
	for _, s := range g.Servers {
		switch {
		case s.Version == r.To:
			ready++
		case r.Keeps(s.Version):
			ask.ReadyOld++
		}
	}
	ask.Stopped = ask.Stopped || ready == 0 || len(x.avoid) > 0 && r.Stage != state.Watch
	if f.watch.Pick(&r.Move, x.service, ask) == r.To {
		x.versions = func(v string) bool { return v == r.To }
	}
}

// otherVersions allows the versions that may stand in where the chosen side of a rollout has no
// server. It reports false when there are none.
func (x *exchange) otherVersions(r *state.Rollout) bool {
	switch {
	case r == nil || r.Stage == state.RolledBack || r.Stage == state.Cancelled:
		return false
	case r.Stage == state.Finished:
		x.versions = func(v string) bool { return !slices.Contains(r.Withdrawn, v) }
	default:
		x.versions = r.Keeps
	}
	return true
}

// observeFirst takes the first answer of an attempt as evidence about its server's version. Its time
// counts against what was expected of the server, so that a loaded server or one without the prompt
// in its cache does not pass for a slow version.
func (a *attempt) observeFirst(g *ServiceState) {
	took := float64(max(a.first.Sub(a.flight.Started), 1))
	a.evidence(g, moves.Observation{FirstToken: percent * took / max(a.choice.Wait, 1)})
}

// observe takes the end of an attempt as evidence.
func (a *attempt) observe(g *ServiceState, result retry.Result, failed bool, events int) {
	if result == retry.Unsent || result == retry.NotRun || result == retry.Moved || a.r.Context().Err() != nil {
		return
	}
	o := moves.Observation{Failed: failed, Counted: a.first > 0}
	if a.first > 0 && events >= leastGaps {
		o.TokenGap = float64(a.front.Clock.Now().Sub(a.first)) / float64(events-1)
	}
	a.evidence(g, o)
}

func (a *attempt) evidence(g *ServiceState, o moves.Observation) {
	x, f := a.exchange, a.front
	o.Service, o.Route, o.Account = x.service, x.route.Name, x.accountName()
	var move *state.Move
	if g.Rollout != nil {
		move = &g.Rollout.Move
		if a.choice.Server.Version == move.To {
			o.Version = move.To
		}
	}
	if fault := f.watch.Observe(f.ClusterTime(), move, o); fault != nil {
		f.Log.Info("brake pulled", "service", x.service, "version", move.To, "evidence", fault.Evidence(), "revision", move.Revision, "id", x.ask.ID)
	}
}
