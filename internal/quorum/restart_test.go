package quorum

import (
	"fmt"
	"testing"

	"swiftbeam/pkg/clock"
)

// TestElectionAfterARestartOfAll restarts all five members of a group at the same time and checks how
// long it takes to elect a leader: on average at most half an election timeout, and in at most 5% of
// the runs more than one.
func TestElectionAfterARestartOfAll(t *testing.T) {
	const runs = 300
	slowRuns := 0
	var total clock.Duration
	for seed := range uint64(runs) {
		took := electAfterRestart(t, seed)
		total += took
		if took > 600 {
			slowRuns++
		}
	}
	if mean := total / runs; mean > 300 {
		t.Errorf("got a mean election time of %v, want at most half an election timeout", mean)
	}
	if slowRuns > runs/20 {
		t.Errorf("got %d of %d elections longer than an election timeout, want at most 5%%", slowRuns, runs)
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
	var cores []*Raft
	for i, m := range members {
		s := Settings{Self: m.ID, ElectionTimeout: 600, Heartbeat: 120, Voters: 5, BatchBytes: 1 << 20, Seed: seed*31 + uint64(i)}
		cores = append(cores, Load(s, 1000, HardState{Term: 2}, snap, nil))
	}
	type inTransit struct {
		at clock.Instant
		m  Message
	}
	var network []inTransit
	for now := clock.Instant(1000); now < 10_000; now++ {
		var pending []inTransit
		for _, f := range network {
			if f.at > now {
				pending = append(pending, f)
				continue
			}
			for _, c := range cores {
				c.Step(now, Receive{Message: f.m})
			}
		}
		network = pending
		for _, c := range cores {
			if (now-1000)%20 == 0 {
				c.Step(now, Tick{})
			}
			for _, m := range c.Take().Messages {
				network = append(network, inTransit{at: now + latency, m: m})
			}
			if c.Role == Leader {
				return now.Sub(1000)
			}
		}
	}
	t.Fatalf("seed %d: got no leader within 9 s", seed)
	return 0
}
