package duty

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"swiftbeam/internal/quorum"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// member is a daemon of a group that acquires the duties when it leads.
type member struct {
	id   quorum.ID
	boot int
	raft *quorum.Raft
	// hard and entries are the content of the disk.
	hard    quorum.HardState
	entries []quorum.Entry
	state   state.State
	tenure  Tenure
	// tenureTerm is the term in which the duties were acquired, request the index of the entry that requests them in that term.
	tenureTerm uint64
	request    quorum.Outcome
	inbox      []quorum.Message
	// offset is the difference of the process's clock to that of the group.
	offset      clock.Duration
	pausedUntil clock.Instant
}

// delayed is a message on its way to a member.
type delayed struct {
	at clock.Instant
	m  quorum.Message
}

// group plays daemons with a quorum, whose leader calls the cloud.
type group struct {
	rng      *rand.Rand
	settings Settings
	now      clock.Instant
	members  []*member
	transit  []delayed
	cut      map[[2]quorum.ID]bool
	arrivals []arrival
	// inSeries is set if the faults only meet the leader, one after another, so that it changes within the lease.
	inSeries bool
}

const (
	groupElectionTimeout = 600 * clock.Millisecond
	groupStep            = 10 * clock.Millisecond
)

func newGroup(seed uint64, voters int, s Settings) *group {
	g := &group{rng: rand.New(rand.NewPCG(seed, 157)), settings: s, now: 1_000_000, cut: make(map[[2]quorum.ID]bool), inSeries: seed%4 < 2}
	var list []quorum.Member
	for i := range voters {
		id := quorum.ID(fmt.Sprint("d", i))
		list = append(list, quorum.Member{ID: id, Name: string(id), Voter: true, Disk: true})
		g.members = append(g.members, &member{id: id})
	}
	for _, m := range g.members {
		g.start(m)
		m.raft.Bootstrap(list)
		g.perform(m)
	}
	return g
}

func (g *group) clock(m *member) clock.Instant { return g.now.Add(m.offset) }

// start starts a process with the content of its disk.
func (g *group) start(m *member) {
	m.boot++
	m.offset = clock.Duration(g.rng.IntN(20_000) - 10_000)
	s := quorum.Settings{Self: m.id, ElectionTimeout: groupElectionTimeout, Heartbeat: groupElectionTimeout / 5, BatchBytes: 1 << 20, Seed: g.rng.Uint64()}
	m.raft = quorum.Load(s, g.clock(m), m.hard, quorum.Snapshot{}, slices.Clone(m.entries))
	m.state, m.tenure, m.tenureTerm, m.request, m.inbox = state.State{}, Tenure{}, 0, quorum.Outcome{}, nil
	m.pausedUntil = 0
	m.tenure.Start(g.clock(m), g.settings)
}

// perform carries out the actions of a member.
func (g *group) perform(m *member) {
	a := m.raft.Take()
	if a.HardChanged {
		m.hard = a.Hard
	}
	if len(a.Append) > 0 {
		m.entries = append(slices.Clone(m.entries[:a.Append[0].Index-1]), a.Append...)
	}
	for _, message := range a.Messages {
		if g.cut[[2]quorum.ID{m.id, message.To}] {
			continue
		}
		delay := 1 + g.rng.IntN(20)
		if g.rng.IntN(20) == 0 {
			delay = g.rng.IntN(1500)
		}
		g.transit = append(g.transit, delayed{at: g.now.Add(clock.Duration(delay)), m: message})
	}
	for _, o := range a.Outcomes {
		m.request = o
	}
	for _, e := range a.Committed {
		if e.Kind != quorum.Command {
			m.state.Skip(e.Index)
			continue
		}
		r := m.state.Apply(e.Index, state.Command{Body: state.TakeOrder{Operation: "duties", Target: "cloud", Holder: string(e.Data)}})
		if e.Index == m.request.Index && e.Term == m.request.Term {
			m.tenure.Begin(g.clock(m), r.Fence)
			m.tenureTerm = e.Term
		}
	}
}

// deliver passes the messages that have arrived to their members. A process that is paused reads them later.
func (g *group) deliver() {
	g.transit = slices.DeleteFunc(g.transit, func(d delayed) bool {
		if d.at.After(g.now) {
			return false
		}
		for _, m := range g.members {
			if m.id == d.m.To {
				m.inbox = append(m.inbox, d.m)
			}
		}
		return true
	})
}

// run lets a process handle its messages, and call the cloud if it may.
func (g *group) run(m *member) {
	if m.pausedUntil.After(g.now) {
		return
	}
	now := g.clock(m)
	m.raft.Step(now, quorum.Tick{})
	for _, message := range m.inbox {
		m.raft.Step(now, quorum.Receive{Message: message})
	}
	m.inbox = nil
	g.perform(m)
	leads := m.raft.Role == quorum.Leader && now.Sub(m.raft.ContactAt()) <= groupElectionTimeout
	switch {
	case !leads:
		m.tenure.End()
	case m.tenure.Fence == 0 || m.tenureTerm != m.raft.Hard.Term:
		m.tenure.End()
		if g.rng.IntN(10) == 0 {
			m.raft.Step(now, quorum.Propose{Ticket: 1, Data: fmt.Appendf(nil, "%s/%d", m.id, m.boot)})
			g.perform(m)
		}
	case g.rng.IntN(5) == 0 && m.tenure.MaySend(now, m.raft.ContactAt(), g.settings):
		g.call(m)
	}
}

// call lets a member call the cloud. The call takes up to MaxTransit, mostly less.
func (g *group) call(m *member) {
	took := clock.Duration(g.rng.IntN(30))
	if g.rng.IntN(3) == 0 {
		took = clock.Duration(g.rng.Int64N(int64(g.settings.MaxTransit) + 1))
	}
	now := g.clock(m)
	number := m.tenure.Sent(now, g.settings)
	outcome := Answered
	if g.rng.IntN(4) == 0 {
		outcome = Unanswered
	}
	m.tenure.Ended(now.Add(took), number, outcome)
	index := slices.IndexFunc(g.members, func(o *member) bool { return o == m })
	g.arrivals = append(g.arrivals, arrival{at: g.now.Add(took), holder: index, fence: m.tenure.Fence})
}

// disturb pauses, kills and stops members, and cuts links in one or both directions. Half of the faults meet the leader.
func (g *group) disturb() {
	m := g.members[g.rng.IntN(len(g.members))]
	if g.inSeries || g.rng.IntN(2) == 0 {
		for _, o := range g.members {
			if o.raft.Role == quorum.Leader {
				m = o
			}
		}
	}
	const transfer, restart, pause, cut, heal = 0, 1, 2, 3, 5
	kind := g.rng.IntN(heal + 1)
	if g.inSeries {
		kind = g.rng.IntN(5) / 4 // transfer, more often than restart
	}
	switch kind {
	case pause:
		m.pausedUntil = g.now.Add(clock.Duration(g.rng.IntN(3000)))
	case restart:
		g.start(m)
		if !g.inSeries {
			m.pausedUntil = g.now.Add(clock.Duration(g.rng.IntN(1000)))
		}
	case transfer:
		m.raft.Step(g.clock(m), quorum.Transfer{})
		g.perform(m)
	case cut, cut + 1:
		for _, o := range g.members {
			if o != m && g.rng.IntN(2) == 0 {
				g.cut[[2]quorum.ID{m.id, o.id}] = g.rng.IntN(3) > 0
				g.cut[[2]quorum.ID{o.id, m.id}] = g.rng.IntN(3) > 0
			}
		}
	case heal:
		clear(g.cut)
	}
}

func (g *group) play(length clock.Duration) {
	next := g.now.Add(5 * clock.Second)
	for end := g.now.Add(length); g.now.Before(end); g.now = g.now.Add(groupStep) {
		g.deliver()
		for _, m := range g.members {
			g.run(m)
		}
		if g.now.After(next) {
			g.disturb()
			next = g.now.Add(clock.Duration(g.rng.IntN(2500)))
			if g.inSeries {
				next = g.now.Add(1300 + clock.Duration(g.rng.IntN(500)))
			}
		}
	}
}

// TestLeadersOfAGroupDoNotTakeTurns guards against calls in turn while the leader changes by elections and transfers, with links cut in one
// direction, late messages, pauses and restarts.
func TestLeadersOfAGroupDoNotTakeTurns(t *testing.T) {
	s := Settings{Lease: 3 * clock.Second, MaxPause: 300, MaxTransit: 1000, MaxContactAge: groupElectionTimeout / 2}
	changes, returns := 0, 0
	for seed := range uint64(60) {
		g := newGroup(seed, 3+2*int(seed%2), s)
		g.play(2 * clock.Minute)
		c, r := checkTurns(t, seed, g.arrivals, s.Lease)
		changes, returns = changes+c, returns+r
	}
	if changes < 300 || returns < 200 {
		t.Errorf("got %d changes of the holder and %d returns, want at least 300 and 200", changes, returns)
	}
}
