package proxy

import (
	"math/rand/v2"
	"slices"

	"swiftbeam/internal/moves"
	"swiftbeam/internal/retry"
	"swiftbeam/internal/state"
)

const (
	// minEvents is the number of events from which on the mean gap between them counts as evidence.
	minEvents = 5
	// percent turns the ratio of the actual to the expected time to a first response into a percentage.
	percent = 100
)

// pickVersion chooses whether the old or the new version of a rollout serves the next attempt. Before the
// Watch stage, only the first attempt of a request may go to the new version. No attempt goes to it
// while it has no server or is stopped locally.
func (x *exchange) pickVersion(service *ServiceState) {
	r := service.Rollout
	if r == nil {
		x.allowVersion = nil
		return
	}
	p := x.proxy
	x.allowVersion = r.Keeps
	if r.Stage.Ended() {
		return
	}
	query := moves.Query{Now: p.ClusterTime(), Route: x.route.Name, Draw: rand.Uint64(), Stopped: p.monitor.Stopped(&r.Move), Bound: p.exposurePart()}
	ready := 0
	for _, s := range service.Servers {
		switch {
		case x.avoids(s):
		case s.Version == r.To:
			ready++
		case r.Keeps(s.Version):
			query.ReadyOld++
		}
	}
	query.Stopped = query.Stopped || ready == 0 || len(x.tried) > 0 && r.Stage != state.Watch
	if p.monitor.Pick(&r.Move, x.service, query) == r.To {
		x.allowVersion = func(v string) bool { return v == r.To }
	}
}

// exposurePart returns this daemon's part of the bound on requests to an unproven version. The slack is
// divided once the number of entry daemons is known.
func (p *Proxy) exposurePart() moves.Bound {
	part := moves.Bound{Part: p.Exposure.Part}
	if p.limiter.Entries > 0 {
		part.Slack = p.Exposure.Slack / float64(p.limiter.Entries)
	}
	return part
}

// allowFallback allows the other versions that may serve when the chosen one has no server. It reports
// false when there are none.
func (x *exchange) allowFallback(r *state.Rollout) bool {
	switch {
	case r == nil || r.Stage == state.RolledBack || r.Stage == state.Cancelled:
		return false
	case r.Stage == state.Finished:
		x.allowVersion = func(v string) bool { return !slices.Contains(r.Withdrawn, v) }
	default:
		x.allowVersion = r.Keeps
	}
	return true
}

// observeFirstResponse records the time to the first response as evidence about the server's version.
// The time is recorded as a percentage of the expected time, so that a version does not count as slow
// because its server is loaded or has not cached the prompt.
func (a *attempt) observeFirstResponse(service *ServiceState) {
	startedAt := a.sentAt
	if a.assignment != nil {
		startedAt = a.assignment.Started
	}
	took := float64(max(a.firstResponseAt.Sub(startedAt), 1))
	a.observeEvidence(service, moves.Observation{FirstToken: percent * took / max(a.choice.Wait, 1)})
}

// observeEnd records the end of an attempt as evidence about the server's version.
func (a *attempt) observeEnd(service *ServiceState, result retry.Result, failed bool, events int) {
	if result == retry.Unsent || result == retry.NotRun || result == retry.Moved || a.r.Context().Err() != nil {
		return
	}
	if result == retry.Incomplete && a.proxy.notices.Limits.IsBrittle(a.choice.Server.ID) {
		return
	}
	o := moves.Observation{Failed: failed, Counted: a.firstResponseAt > 0}
	if a.firstResponseAt > 0 && events >= minEvents {
		o.TokenGap = float64(a.proxy.Clock.Now().Sub(a.firstResponseAt)) / float64(events-1)
	}
	a.observeEvidence(service, o)
}

func (a *attempt) recordEvidence(service *ServiceState, o moves.Observation) {
	x, p := a.exchange, a.proxy
	o.Service, o.Route, o.Account = x.service, x.route.Name, x.accountName()
	var move *state.Move
	if service.Rollout != nil {
		move = &service.Rollout.Move
		if a.choice.Server.Version == move.To {
			o.Version = move.To
		}
	}
	if regression := p.monitor.Observe(p.ClusterTime(), move, o); regression != nil {
		p.Log.Info("stopped sending to new version on local evidence", "service", x.service, "version", move.To, "evidence", regression.Evidence(), "revision", move.Revision, "id", x.request.ID)
	}
}
