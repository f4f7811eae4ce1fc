package moves

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

func TestHistogram(t *testing.T) {
	var early, all Histogram
	for _, v := range []float64{100, 130, 90} {
		early.observe(v)
		all.observe(v)
	}
	for _, v := range []float64{0, 400, 3} {
		all.observe(v)
	}
	late := all.since(&early)
	if got, want := []uint64{early.total(), all.total(), late.total()}, []uint64{3, 5, 2}; fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("values early, in all and late: got %v, want %v", got, want)
	}
	if got, want := all.quantile(0.5), bucketOf(100); got != want {
		t.Errorf("bucket of the median: got %d, want %d", got, want)
	}
	if got, want := all.above(bucketOf(200)), uint64(1); got != want {
		t.Errorf("values above 200: got %d, want %d", got, want)
	}
	if got, want := all.below(bucketOf(90)), uint64(1); got != want {
		t.Errorf("values below 90: got %d, want %d", got, want)
	}
	var sum Histogram
	sum.add(&early)
	sum.add(&late)
	if fmt.Sprint(sum) != fmt.Sprint(all) {
		t.Errorf("sum of the parts: got %v, want %v", sum, all)
	}
}

// TestSlownessIsJudgedAtManyDaemons reports one request to each version from each of 295 daemons.
func TestSlownessIsJudgedAtManyDaemons(t *testing.T) {
	const daemons = 295
	m := &state.Move{Service: "s", From: "v1", To: "v2", FinishBy: 20_000, Stage: state.Trial, Trial: 8, Share: 800, Revision: 1}
	move := func(string) *state.Move { return m }
	for _, slow := range []float64{1, 6} {
		random := rand.New(rand.NewPCG(3, 4))
		var leader Aggregator
		leader.SetShortMoves()
		for i := range daemons {
			monitor := &Monitor{}
			monitor.SetShortMoves()
			now := clock.Instant(100 * i)
			for _, version := range []string{"v1", "v2"} {
				took := 60 + 60*random.Float64()
				if version == "v2" && random.IntN(2) == 0 {
					took *= slow
				}
				monitor.Observe(now, m, Observation{Service: "s", Version: version, Route: "look", FirstToken: took})
			}
			leader.Receive(now, fmt.Sprint(i), monitor.Totals(func(string) bool { return true }), move)
		}
		in := leader.Evaluate(m, []string{"look"}, Inputs{})
		if got, want := in.Regression != nil, slow > 1; got != want {
			t.Errorf("half of the answers %v times slower: got regression %v, want %v", slow, got, want)
		}
	}
}
