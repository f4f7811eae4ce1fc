package moves

import (
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// trialCycles is the number of bursts into which the time of a whole move would divide.
const trialCycles = 20

// Burst returns the share of the traffic that goes to the new version at this instant of a
// trial. The small trial share is saved up and spent in bursts that load one replica as much as
// an old one is loaded, so that faults under load show while the share is small in total. All
// daemons compute the same bursts.
func Burst(now clock.Instant, m *state.Move, readyOld int) int {
	if m.Share == 0 {
		return 0
	}
	burst := max(m.Share, state.FullShare/max(readyOld, 1))
	cycle := m.FinishBy.Sub(m.Started) / trialCycles
	if cycle <= 0 {
		return m.Share
	}
	phase := now.Sub(m.StageAt) % cycle
	quiet := cycle - cycle*clock.Duration(m.Share)/clock.Duration(burst)
	if phase < quiet {
		return 0
	}
	return burst
}

// Pacer splits the requests of one daemon between the versions of a move. During a trial it
// bounds the part of each route that the new version gets, counted from the start of the move.
type Pacer struct {
	started clock.Instant
	to      string
	seen    map[string]int
	given   map[string]int
}

// Query is one request to be given to a version.
type Query struct {
	Now      clock.Instant
	Settled  string
	Route    string
	ReadyOld int
	// Draw is a random number that stays the same for the same request.
	Draw uint64
	// Stopped stops new work for the version that is being moved to.
	Stopped bool
}

// Pick returns the version for a request. The move may be nil.
func (p *Pacer) Pick(m *state.Move, a Query) string {
	if m == nil || m.Stage.Ended() || m.Stage == state.Waiting {
		return a.Settled
	}
	p.follow(m)
	p.seen[a.Route]++
	share := m.Share
	if m.Stage == state.Trial {
		share = p.trialShare(m, a)
	}
	if a.Stopped || int(a.Draw%state.FullShare) >= share {
		return m.From
	}
	p.given[a.Route]++
	return m.To
}

// follow starts to count anew when another move began.
func (p *Pacer) follow(m *state.Move) {
	if p.seen != nil && p.started == m.Started && p.to == m.To {
		return
	}
	p.started, p.to = m.Started, m.To
	p.seen = make(map[string]int)
	p.given = make(map[string]int)
}

// trialShare returns the share of the burst, or zero when the route has had its part.
func (p *Pacer) trialShare(m *state.Move, a Query) int {
	if (p.given[a.Route]+1)*state.FullShare > p.seen[a.Route]*m.Trial*state.FullShare/100 {
		return 0
	}
	return Burst(a.Now, m, a.ReadyOld)
}
