package quorum

import (
	"fmt"
	"testing"

	"swiftbeam/pkg/clock"
)

// slowMember handles its events one after the other, and each sync of its disk takes a time.
type slowMember struct {
	raft *Raft
	// inbox holds the messages that arrived while the member was busy.
	inbox     []Message
	busyUntil clock.Instant
}

// slowGroup is a group on a virtual clock whose messages and syncs take a time.
type slowGroup struct {
	members       []*slowMember
	latency, sync clock.Duration
	// due are the messages in transit, by the instant at which they arrive.
	due map[clock.Instant][]Message
}

// newSlowGroup returns voters that were all restarted at 1000.
func newSlowGroup(seed uint64, voters int, latency, sync clock.Duration) *slowGroup {
	g := &slowGroup{latency: latency, sync: sync, due: make(map[clock.Instant][]Message)}
	var members []Member
	for i := range voters {
		members = append(members, Member{ID: ID(fmt.Sprint("n", i)), Voter: true, Disk: true})
	}
	for i, m := range members {
		s := Settings{Self: m.ID, ElectionTimeout: 600, Heartbeat: 120, Voters: voters, BatchBytes: 1 << 20, Seed: seed*31 + uint64(i)}
		g.members = append(g.members, &slowMember{raft: Load(s, 1000, HardState{Term: 2}, Snapshot{Index: 10, Term: 2, Members: members}, nil)})
	}
	return g
}

// step lets the members handle what they have received by now, as store.Store does.
func (g *slowGroup) step(now clock.Instant) {
	for _, m := range g.due[now] {
		for _, member := range g.members {
			if member.raft.Settings.Self == m.To {
				member.inbox = append(member.inbox, m)
			}
		}
	}
	delete(g.due, now)
	for _, m := range g.members {
		if now.Before(m.busyUntil) || len(m.inbox) == 0 && now%20 != 0 {
			continue
		}
		for _, received := range m.inbox {
			m.raft.Step(now, Receive{Message: received})
		}
		m.inbox = nil
		m.raft.Step(now, Tick{})
		a := m.raft.Take()
		m.busyUntil = now
		if a.HardChanged || len(a.Append) > 0 {
			m.busyUntil = now.Add(g.sync)
		}
		for _, sent := range a.Messages {
			at := m.busyUntil.Add(g.latency)
			g.due[at] = append(g.due[at], sent)
		}
	}
}

// committedBy returns the first instant at which a leader had committed an entry of its term.
func (g *slowGroup) committedBy(limit clock.Instant) (clock.Instant, bool) {
	for now := clock.Instant(1000); now < limit; now++ {
		g.step(now)
		for _, m := range g.members {
			if m.raft.Role == Leader && m.raft.Commit >= m.raft.noopIndex {
				return now, true
			}
		}
	}
	return limit, false
}

// TestSlowMembersElectALeader guards against elections that start anew before the votes for them arrive. The election timeout
// allows for a sync and two round trips.
func TestSlowMembersElectALeader(t *testing.T) {
	const seeds, limit = 300, 4 * clock.Second
	for _, c := range []struct{ latency, sync clock.Duration }{{3, 5}, {50, 200}, {100, 200}} {
		late := 0
		var longest clock.Duration
		for seed := range uint64(seeds) {
			at, ok := newSlowGroup(seed, 5, c.latency, c.sync).committedBy(61_000)
			longest = max(longest, at.Sub(1000))
			if !ok || at.Sub(1000) > limit {
				late++
			}
		}
		if late > seeds/20 {
			t.Errorf("round trips of %v, syncs of %v: got a committed entry after %v in %d of %d runs, after at most %v, want within it in 95%%",
				2*c.latency, c.sync, limit, late, seeds, longest)
		}
	}
}
