package gauge

import "testing"

// TestScoreBeatsTheBaselines compares the score policy with each baseline on ten traces of each
// deployment. The target is a lower 95th percentile of the time to first token and fewer recomputed
// tokens.
func TestScoreBeatsTheBaselines(t *testing.T) {
	for _, s := range []Scenario{Barros, Minik} {
		for seed := uint64(1); seed <= 10; seed++ {
			got := Run(s, "score", seed)
			for _, policy := range Policies[:3] {
				base := Run(s, policy, seed)
				if got.FirstTokenP95 >= base.FirstTokenP95 {
					t.Errorf("%s seed %d: got first token p95 %.0f ms, want below %s with %.0f ms", s.Name, seed, got.FirstTokenP95, policy, base.FirstTokenP95)
				}
				if got.RecomputedPerMille >= base.RecomputedPerMille {
					t.Errorf("%s seed %d: got %.2f tokens recomputed per mille, want below %s with %.2f", s.Name, seed, got.RecomputedPerMille, policy, base.RecomputedPerMille)
				}
			}
		}
	}
}

func TestRunIsDeterministic(t *testing.T) {
	if got, want := Run(Barros, "score", 5), Run(Barros, "score", 5); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestCostIsNearHindsight checks over ten simulated weeks of each deployment that the capacity control
// meets its target: a cost of at most 1.25 times the cheapest purchase with the demand known.
func TestCostIsNearHindsight(t *testing.T) {
	const target = 1.25
	for _, s := range []Scenario{Barros, Minik} {
		for seed := uint64(1); seed <= 10; seed++ {
			r := RunCost(s, seed)
			if got := r.Cost / r.Hindsight; got > target {
				t.Errorf("%s seed %d: got %.2f times the hindsight cost, want at most %.2f", s.Name, seed, got, target)
			}
		}
	}
}
