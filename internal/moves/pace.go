package moves

import (
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// burstCycles is the number of burst cycles in the time from the start of a move to its deadline.
const burstCycles = 20

// Burst returns the share of the traffic that goes to the new version at one instant of a trial.
// The small trial share is concentrated in bursts that load one new replica as much as an old one,
// so that faults under load appear while the total share is small. All daemons compute the same
// bursts.
func Burst(now clock.Instant, m *state.Move, readyOld int) int {
	if m.Share == 0 {
		return 0
	}
	burst := max(m.Share, state.FullShare/max(readyOld, 1))
	cycle := m.FinishBy.Sub(m.Started) / burstCycles
	if cycle <= 0 {
		return m.Share
	}
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
	started  clock.Instant
	to       string
	requests map[string]int
	toNew    map[string]int
}

// Query describes a request for which a version is picked.
type Query struct {
	Now clock.Instant
	// Settled is the version that is picked while no move runs or a move is still waiting.
	Settled string
	Route   string
	// ReadyOld is the number of ready replicas of the old version.
	ReadyOld int
	// Draw is a random number that decides between the versions. A caller that derives it from the
	// request's ID gets the same draw for the same request.
	Draw uint64
	// Stopped is true if the new version must receive no new work.
	Stopped bool
}

// Pick returns the version for a request. The move may be nil.
func (p *Pacer) Pick(m *state.Move, q Query) string {
	if m == nil || m.Stage.Ended() || m.Stage == state.Waiting {
		return q.Settled
	}
	p.resetFor(m)
	p.requests[q.Route]++
	share := m.Share
	if m.Stage == state.Trial {
		share = p.boundedBurst(m, q)
	}
	if q.Stopped || int(q.Draw%state.FullShare) >= share {
		return m.From
	}
	p.toNew[q.Route]++
	return m.To
}

// resetFor resets the counts when another move has started.
func (p *Pacer) resetFor(m *state.Move) {
	if p.requests != nil && p.started == m.Started && p.to == m.To {
		return
	}
	p.started, p.to = m.Started, m.To
	p.requests = make(map[string]int)
	p.toNew = make(map[string]int)
}

// boundedBurst returns the share of the burst, or zero if the route has used up its trial share.
func (p *Pacer) boundedBurst(m *state.Move, q Query) int {
	if (p.toNew[q.Route]+1)*state.FullShare > p.requests[q.Route]*m.Trial*state.FullShare/100 {
		return 0
	}
	return Burst(q.Now, m, q.ReadyOld)
}
