package moves

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	_ "swiftbeam/internal/repro"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// TestWorse covers counts far from the old rate, where a careless formula loses all digits.
func TestWorse(t *testing.T) {
	tests := []struct {
		name       string
		old, fresh Count
		want       bool
	}{
		{"much better than a faulty old version", Count{10276, 505}, Count{1050, 4}, false},
		{"equal on many requests", Count{100000, 1000}, Count{5000, 50}, false},
		{"every request fails", Count{1000, 2}, Count{4, 4}, true},
		{"no request fails", Count{1000, 2}, Count{400, 0}, false},
		{"rare errors", Count{20000, 400}, Count{600, 60}, true},
		{"one early failure", Count{1000, 2}, Count{1, 1}, false},
		{"nothing known of the old version", Count{}, Count{1, 1}, false},
	}
	for _, test := range tests {
		if got := DefaultTest.Worse(test.old, test.fresh); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestFalseAlarmRate reads the test after every request of equal versions and counts alarms.
// The stated bound holds for all tests of a move together; here one of them runs.
func TestFalseAlarmRate(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const moves, requests, rate = 2000, 500, 0.02
	alarms := 0
	for range moves {
		old, fresh := Count{Requests: 5000, Hits: 100}, Count{}
		for range requests {
			fresh.Requests++
			if random.Float64() < rate {
				fresh.Hits++
			}
			if DefaultTest.Worse(old, fresh) {
				alarms++
				break
			}
		}
	}
	if got, want := alarms, int(moves*DefaultTest.FalseAlarm); got > want {
		t.Errorf("got %d false alarms in %d moves, want at most %d", got, moves, want)
	}
}

// TestStatefulMove drives a move by random evidence and checks its invariants after each step.
func TestStatefulMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &state.Move{Service: "s", From: "v1", To: "v2", FinishBy: 2_400_000, Revision: 1}
		m.Trial = rapid.SampledFrom([]int{2, 20, 50}).Draw(t, "trial")
		now := clock.Instant(0)
		in := Inputs{ReadyOld: 10, Routes: []RouteCounts{{Route: "a"}, {Route: "b"}}}
		pacer := &Pacer{}
		seen, given := map[string]int{}, map[string]int{}
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
					a := Query{
						Now: now, Settled: "v1", Route: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"), ReadyOld: 10,
						Draw: rapid.Uint64().Draw(t, "draw"), Stopped: rapid.IntRange(0, 9).Draw(t, "braked") == 0,
					}
					seen[a.Route]++
					if pacer.Pick(m, a) == "v2" {
						given[a.Route]++
						checkGiven(t, m, a, seen[a.Route], given[a.Route])
					}
				}
			},
			"decide": func(t *rapid.T) { decideOnce(t, now, m, in) },
			"":       func(*rapid.T) {},
		})
	})
}

// checkGiven checks a request that went to the new version.
func checkGiven(t *rapid.T, m *state.Move, a Query, seen, given int) {
	if a.Stopped || m.Share == 0 || m.Stage.Ended() || m.Stage == state.Waiting {
		t.Fatalf("a request went to the new version in stage %v at share %d, braked %v", m.Stage, m.Share, a.Stopped)
	}
	if m.Stage == state.Trial && given*100 > seen*m.Trial {
		t.Fatalf("route %s: %d of %d requests went to the version on trial, want at most %d%%", a.Route, given, seen, m.Trial)
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
		t.Fatalf("got stage %v with a proven fault, want RolledBack", m.Stage)
	case m.Stage == state.Finished && (!now.Before(m.FinishBy) || in.ReadyNew == 0):
		t.Fatalf("finished at %v with %d replicas, deadline %v", now, in.ReadyNew, m.FinishBy)
	case m.Share > before.Share && before.Stage == state.Trial && m.Stage == state.Ramp:
		for _, r := range in.Routes {
			if r.New < DefaultPlan.MinRequests && r.New+r.Old > 0 && now.Before(due(m, DefaultPlan.LowTraffic)) {
				t.Fatalf("trial passed with %d requests on route %s", r.New, r.Route)
			}
		}
	}
}
