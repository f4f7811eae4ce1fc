package moves

import (
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// burstCycles is the number of burst cycles in the time from the start of a move to its deadline.
const burstCycles = 20

// Bounds of a burst. More replicas at a time give the evidence of a cycle sooner, but also more requests
// to a regressed version before its first responses are known.
const (
	maxBurstReplicas = 3
	minBurstTime     = 4 * clock.Second
)

// Burst returns the share of the traffic that goes to the new version at one instant of a trial.
// The small trial share is concentrated in bursts that load a few new replicas as much as old ones,
// so that faults under load appear while the total share is small. All daemons with the same view of
// the replicas compute the same bursts.
func Burst(now clock.Instant, m *state.Move, readyOld, readyNew int) int {
	if m.Share == 0 {
		return 0
	}
	cycle := m.FinishBy.Sub(m.Started) / burstCycles
	if cycle <= 0 {
		return m.Share
	}
	oneReplica := state.FullShare / max(readyOld, 1)
	// widest is the share of a burst that lasts minBurstTime.
	widest := int(clock.Duration(m.Share) * cycle / minBurstTime)
	burst := max(m.Share, oneReplica, min(widest, oneReplica*min(readyNew, maxBurstReplicas)))
	phase := now.Sub(m.StageAt) % cycle
	idle := cycle - cycle*clock.Duration(m.Share)/clock.Duration(burst)
	if phase < idle {
		return 0
	}
	return burst
}

// Pacer splits the requests of one daemon between the versions of a move. During a trial it bounds
// the new version's part of each route's requests, counted from the start of the move.
type Pacer struct {
	started clock.Instant
	to      string
	routes  map[string]*routeShare
	all     routeShare
}

// routeShare counts the requests of a route.
type routeShare struct {
	requests int
	toNew    int
	// offset is a random number below 1 that is added to the number of requests allowed to the new
	// version. Without it, daemons with a few requests each would all round their parts down to none.
	offset float64
}

// allows reports whether one more request to the new version stays within a number of requests.
func (r *routeShare) allows(limit float64) bool { return float64(r.toNew+1) <= limit+r.offset }

// Query describes a request for which a version is picked.
type Query struct {
	Now clock.Instant
	// Settled is the version that is picked while no move runs or a move is still waiting.
	Settled string
	Route   string
	// ReadyOld and ReadyNew count the ready replicas of either version. If ReadyNew is zero, bursts load
	// one replica.
	ReadyOld int
	ReadyNew int
	// Draw is a random number that decides between the versions. A caller that derives it from the
	// request's ID gets the same draw for the same request.
	Draw uint64
	// Stopped is true if the new version must receive no new work.
	Stopped bool
	// Bound is this daemon's part of the bound on requests to a version that is not proven yet.
	Bound Bound
}

// Pick returns the version for a request. The move may be nil.
func (p *Pacer) Pick(m *state.Move, q Query) string {
	if m == nil || m.Stage.Ended() || m.Stage == state.Waiting {
		return q.Settled
	}
	p.resetFor(m, q)
	route := p.routes[q.Route]
	if route == nil {
		route = &routeShare{offset: p.all.offset}
		p.routes[q.Route] = route
	}
	route.requests++
	p.all.requests++
	share := m.Share
	if m.Stage == state.Trial {
		share = trialBurst(m, q, route)
	}
	if q.Stopped || int(q.Draw%state.FullShare) >= share || !p.withinBound(m, q) {
		return m.From
	}
	route.toNew++
	p.all.toNew++
	return m.To
}

// resetFor resets the counts when another move has started.
func (p *Pacer) resetFor(m *state.Move, q Query) {
	if p.routes != nil && p.started == m.Started && p.to == m.To {
		return
	}
	p.started, p.to = m.Started, m.To
	p.routes = make(map[string]*routeShare)
	p.all = routeShare{}
	if q.Bound != (Bound{}) {
		p.all.offset = float64(q.Draw>>offsetBits%state.FullShare) / state.FullShare
	}
}

// offsetBits is the number of low bits of Query.Draw that the offset does not use.
const offsetBits = 32

// trialBurst returns the share of the burst, or zero if the route has used up its trial share. A daemon
// with a bound sends a route's first request as soon as it is allowed: where a daemon has a few requests,
// there is no second one.
func trialBurst(m *state.Move, q Query, route *routeShare) int {
	if !route.allows(float64(route.requests*m.Trial) / 100) {
		return 0
	}
	burst := Burst(q.Now, m, q.ReadyOld, q.ReadyNew)
	if burst > 0 && route.toNew == 0 && q.Bound != (Bound{}) {
		return state.FullShare
	}
	return burst
}

// withinBound reports whether one more request to the new version stays within the bound. Watch is the
// stage of a proven version.
func (p *Pacer) withinBound(m *state.Move, q Query) bool {
	if m.Stage == state.Watch || q.Bound == (Bound{}) {
		return true
	}
	return p.all.allows(unprovenFraction * (q.Bound.Part*float64(p.all.requests) + q.Bound.Slack))
}
