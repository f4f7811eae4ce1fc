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
	for _, c := range []struct{ latency, sync clock.Duration }{{3, 5}, {50, 200}, {100, 200}, {50, 400}} {
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

// pause stops all members and the network for a time.
func (g *slowGroup) pause(now clock.Instant, pause clock.Duration) {
	due := g.due
	g.due = make(map[clock.Instant][]Message)
	for at, messages := range due {
		g.due[at.Add(pause)] = messages
	}
	for _, m := range g.members {
		m.busyUntil = max(m.busyUntil, now).Add(pause)
	}
}

// TestPausesOfAllKeepTheLeader guards against elections after each pause of a machine, before the members read what was sent.
func TestPausesOfAllKeepTheLeader(t *testing.T) {
	const pauses, between = 10, 2 * clock.Second
	for _, pause := range []clock.Duration{600, 1200, 2200, 20_000} {
		changed := 0
		for seed := range uint64(20) {
			g := newSlowGroup(seed, 5, 3, 5)
			now, ok := g.committedBy(10_000)
			if !ok {
				t.Fatalf("seed %d: got no leader in 9 s", seed)
			}
			term := func() (highest uint64) {
				for _, m := range g.members {
					highest = max(highest, m.raft.Hard.Term)
				}
				return highest
			}
			before := term()
			for range pauses {
				for end := now.Add(between); now < end; now++ {
					g.step(now)
				}
				g.pause(now, pause)
				now = now.Add(pause)
			}
			for end := now.Add(between); now < end; now++ {
				g.step(now)
			}
			changed += int(term() - before)
		}
		if changed > 0 {
			t.Errorf("pauses of %v: got %d elections after %d pauses, want none", pause, changed, 20*pauses)
		}
	}
}
