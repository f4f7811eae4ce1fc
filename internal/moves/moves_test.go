package moves

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	_ "swiftbeam/internal/repro"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// TestWorse includes counts far from the old rate, for which logRatio could lose all precision.
func TestWorse(t *testing.T) {
	tests := []struct {
		name               string
		oldCount, newCount Count
		want               bool
	}{
		{"much better than a faulty old version", Count{10276, 505}, Count{1050, 4}, false},
		{"far below a high rate", Count{37813, 1902}, Count{13381, 32}, false},
		{"equal on many requests", Count{100000, 1000}, Count{5000, 50}, false},
		{"every request fails", Count{1000, 2}, Count{4, 4}, true},
		{"no request fails", Count{1000, 2}, Count{400, 0}, false},
		{"rare errors", Count{20000, 400}, Count{600, 60}, true},
		{"one early failure", Count{1000, 2}, Count{1, 1}, false},
		{"nothing known of the old version", Count{}, Count{1, 1}, false},
	}
	for _, test := range tests {
		if got := DefaultTest.Worse(test.oldCount, test.newCount); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestFalseAlarmRate repeats the test after every request of two equal versions and counts the
// moves with a false alarm. The bound applies to all tests of a move together; one of them runs here.
func TestFalseAlarmRate(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const moves, requests, rate = 2000, 500, 0.02
	alarms := 0
	for range moves {
		oldCount, newCount := Count{Requests: 5000, Hits: 100}, Count{}
		for range requests {
			newCount.Requests++
			if random.Float64() < rate {
				newCount.Hits++
			}
			if DefaultTest.Worse(oldCount, newCount) {
				alarms++
				break
			}
		}
	}
	if got, want := alarms, int(moves*DefaultTest.FalseAlarm); got > want {
		t.Errorf("got %d false alarms in %d moves, want at most %d", got, moves, want)
	}
}

// TestStatefulMove runs a move with random evidence and checks its invariants after each step.
func TestStatefulMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &state.Move{Service: "s", From: "v1", To: "v2", FinishBy: 2_400_000, Revision: 1}
		m.Trial = rapid.SampledFrom([]int{2, 20, 50}).Draw(t, "trial")
		now := clock.Instant(0)
		in := Inputs{ReadyOld: 10, Routes: []RouteCounts{{Route: "a"}, {Route: "b"}}}
		pacer := &Pacer{}
		requests, toNew := map[string]int{}, map[string]int{}
		t.Repeat(map[string]func(*rapid.T){
			"time":     func(t *rapid.T) { now = now.Add(clock.Duration(rapid.IntRange(1, 90_000).Draw(t, "time"))) },
			"replicas": func(t *rapid.T) { in.ReadyNew = rapid.IntRange(0, 10).Draw(t, "ready") },
			"seen": func(t *rapid.T) {
				r := &in.Routes[rapid.IntRange(0, 1).Draw(t, "route")]
				r.New += uint64(rapid.IntRange(0, 40).Draw(t, "new"))
				r.Old += uint64(rapid.IntRange(0, 400).Draw(t, "old"))
			},
			"fault":   func(*rapid.T) { in.Regression = &Regression{Reason: state.MoreErrors} },
			"suspect": func(*rapid.T) { in.WeakEvidence = &Regression{Reason: state.MoreErrors}; in.Faults++ },
			"clear":   func(*rapid.T) { in.WeakEvidence = nil },
			"requests": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "requests") {
					now = now.Add(500)
					q := Query{
						Now: now, Settled: "v1", Route: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"), ReadyOld: 10,
						Draw: rapid.Uint64().Draw(t, "draw"), Stopped: rapid.IntRange(0, 9).Draw(t, "braked") == 0,
					}
					requests[q.Route]++
					if pacer.Pick(m, q) == "v2" {
						toNew[q.Route]++
						checkSentToNew(t, m, q, requests[q.Route], toNew[q.Route])
					}
				}
			},
			"decide": func(t *rapid.T) { decideOnce(t, now, m, in) },
			"":       func(*rapid.T) {},
		})
	})
}

// checkSentToNew checks that a request was allowed to go to the new version.
func checkSentToNew(t *rapid.T, m *state.Move, q Query, requests, toNew int) {
	if q.Stopped || m.Share == 0 || m.Stage.Ended() || m.Stage == state.Waiting {
		t.Fatalf("a request went to the new version in stage %v at share %d, stopped locally %v", m.Stage, m.Share, q.Stopped)
	}
	if m.Stage == state.Trial && toNew*100 > requests*m.Trial {
		t.Fatalf("route %s: %d of %d requests went to the version on trial, want at most %d%%", q.Route, toNew, requests, m.Trial)
	}
}

func decideOnce(t *rapid.T, now clock.Instant, m *state.Move, in Inputs) {
	before := *m
	step, ok := Decide(now, m, in)
	if !ok {
		return
	}
	if before.Stage.Ended() {
		t.Fatalf("a step left the final stage %v", before.Stage)
	}
	state.ApplyStep(now, m, step)
	switch {
	case in.Regression != nil && before.Stage != state.Waiting && m.Stage != state.RolledBack:
		t.Fatalf("got stage %v with a detected regression, want RolledBack", m.Stage)
	case m.Stage == state.Finished && (!now.Before(m.FinishBy) || in.ReadyNew == 0):
		t.Fatalf("finished at %v with %d replicas, deadline %v", now, in.ReadyNew, m.FinishBy)
	case m.Share > before.Share && before.Stage == state.Trial && m.Stage == state.Ramp:
		for _, r := range in.Routes {
			if r.New < DefaultPlan.MinRequests && r.New+r.Old > 0 && now.Before(instantAt(m, DefaultPlan.LowTraffic)) {
				t.Fatalf("trial passed with %d requests on route %s", r.New, r.Route)
			}
		}
	}
}
