package moves

import (
	"math/rand/v2"
	"testing"

	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// TestBoundHoldsForWrongTrialShare sends the requests of a service through the pacers of all daemons
// while the trial share is far above what the traffic allows, as after a jump of the traffic.
func TestBoundHoldsForWrongTrialShare(t *testing.T) {
	bound := Bound{Part: 0.1, Slack: 50}
	for _, daemons := range []int{6, 295} {
		random := rand.New(rand.NewPCG(5, 6))
		m := &state.Move{From: "v1", To: "v2", FinishBy: 20_000, Stage: state.Trial, Trial: 50, Share: 5000}
		pacers := make([]Pacer, daemons)
		part := Bound{Part: bound.Part, Slack: bound.Slack / float64(daemons)}
		toNew, requests := 0, 50*daemons
		for i := range requests {
			now := clock.Instant(10_000 * i / requests)
			q := Query{Now: now, Settled: "v1", Route: []string{"a", "b"}[i%2], ReadyOld: 4, Draw: random.Uint64(), Bound: part}
			if pacers[random.IntN(daemons)].Pick(m, q) == "v2" {
				toNew++
			}
		}
		limit := bound.Part*float64(requests) + bound.Slack
		if got := float64(toNew); got > limit || got < limit/2 {
			t.Errorf("%d daemons: got %.0f of %d requests to the new version, want %.0f to %.0f", daemons, got, requests, limit/2, limit)
		}
	}
}

// TestTrialReachesNewVersionAtManyDaemons gives each daemon a few requests, of which the trial share is
// less than one.
func TestTrialReachesNewVersionAtManyDaemons(t *testing.T) {
	const daemons, perDaemon = 295, 6
	random := rand.New(rand.NewPCG(7, 8))
	m := &state.Move{From: "v1", To: "v2", FinishBy: 20_000, Stage: state.Trial, Trial: 8, Share: 800}
	toNew := 0
	for range daemons {
		var pacer Pacer
		for i := range perDaemon {
			q := Query{Now: clock.Instant(random.IntN(10_000)), Settled: "v1", Route: "a", ReadyOld: 240, Draw: random.Uint64() >> 1, Bound: Bound{Part: 0.1, Slack: 50.0 / daemons}}
			q.Draw += uint64(i)
			if pacer.Pick(m, q) == "v2" {
				toNew++
			}
		}
	}
	if got, want := toNew, daemons*perDaemon*m.Trial/100; got < want/3 || got > want {
		t.Errorf("requests to the new version: got %d, want %d to %d", got, want/3, want)
	}
}

// TestShareIsNotRaisedWithoutEvidence checks moves late enough that routes with few requests no longer
// hold them back.
func TestShareIsNotRaisedWithoutEvidence(t *testing.T) {
	m := &state.Move{Service: "s", From: "v1", To: "v2", FinishBy: 20_000, Stage: state.Trial, Trial: 18, Share: 1800, Revision: 1}
	routes := []RouteCounts{{Route: "a", Old: 200, New: 1}}
	tests := []struct {
		name string
		in   Inputs
		want bool
	}{
		{"no answers of the new version", Inputs{Old: Counts{Requests: 200}}, false},
		{"few answers of the new version", Inputs{Old: Counts{Requests: 200}, New: Counts{Requests: 5}}, false},
		{"few reports", Inputs{Old: Counts{Requests: 20}, New: Counts{Requests: 20}, Blind: true}, false},
		{"a trial share of answers", Inputs{Old: Counts{Requests: 200}, New: Counts{Requests: 20}}, true},
		{"little traffic", Inputs{Old: Counts{Requests: 8}, New: Counts{Requests: 2}}, true},
		{"no traffic", Inputs{}, true},
	}
	for _, test := range tests {
		test.in.Plan, test.in.ReadyOld, test.in.ReadyNew, test.in.Routes = ShortPlan, 4, 4, routes
		if _, got := Decide(16_000, m, test.in); got != test.want {
			t.Errorf("%s: got a step %v, want %v", test.name, got, test.want)
		}
	}
}

func TestTrialShareWithoutKnownTraffic(t *testing.T) {
	bound := Bound{Part: 0.1, Slack: 50}
	if got, want := bound.TrialPercent(0), bound.TrialPercent(1e6); got != want {
		t.Errorf("trial percent without a known rate: got %d, want that of heavy traffic, %d", got, want)
	}
}
