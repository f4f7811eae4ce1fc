package quorum

import (
	"fmt"
	"testing"

	"swiftbeam/pkg/clock"
)

// TestElectionAfterARestartOfAll starts five members at the same moment, many times, and bounds the
// time until one leads.
func TestElectionAfterARestartOfAll(t *testing.T) {
	const runs = 300
	slow := 0
	var total clock.Duration
	for seed := range uint64(runs) {
		took := electAfterRestart(t, seed)
		total += took
		if took > 600 {
			slow++
		}
	}
	if mean := total / runs; mean > 300 {
		t.Errorf("got a mean of %v until a leader, want at most half an election timeout", mean)
	}
	if slow > runs/20 {
		t.Errorf("got %d of %d elections over an election timeout, want at most 5%%", slow, runs)
	}
}

func electAfterRestart(t *testing.T, seed uint64) clock.Duration {
	t.Helper()
	const latency = 3
	var members []Member
	for i := range 5 {
		members = append(members, Member{ID: ID(fmt.Sprintf("n%d", i)), Voter: true, Disk: true})
	}
	snap := Snapshot{Index: 10, Term: 2, Members: members}
	var cores []*Core
	for i, m := range members {
		s := Settings{Self: m.ID, ElectionTimeout: 600, Heartbeat: 120, Voters: 5, BatchBytes: 1 << 20, Seed: seed*31 + uint64(i)}
		cores = append(cores, Load(s, 1000, HardState{Term: 2}, snap, nil))
	}
	type flying struct {
		at clock.Instant
		m  Message
	}
	var wires []flying
	for now := clock.Instant(1000); now < 10_000; now++ {
		var rest []flying
		for _, f := range wires {
			if f.at > now {
				rest = append(rest, f)
				continue
			}
			for _, c := range cores {
				c.Step(now, Receive{Message: f.m})
			}
		}
		wires = rest
		for _, c := range cores {
			if (now-1000)%20 == 0 {
				c.Step(now, Tick{})
			}
			for _, m := range c.Take().Messages {
				wires = append(wires, flying{at: now + latency, m: m})
			}
			if c.Role == Leader {
				return now.Sub(1000)
			}
		}
	}
	t.Fatalf("seed %d: got no leader in 9 s", seed)
	return 0
}
