package replay

import (
	"fmt"
	"testing"

	"swiftbeam/internal/moves"
	"swiftbeam/pkg/clock"
)

// Bounds of a rollout that ends within seconds. Until the deadline a regressed version receives at most
// shortSlack requests more than the fraction shortShare of the service's requests, and none later than
// shortClearance after its 50th faulty response.
const (
	shortShare     = 0.1
	shortSlack     = 50
	shortClearance = 5 * clock.Second
	shortDaemons   = 7
)

var shortRoutes = []Source{
	{Name: "draft", Part: 0.25, FirstTokenMs: 230, GapMs: 20, Tokens: 380},
	{Name: "reply", Part: 0.4, FirstTokenMs: 60, GapMs: 20, Tokens: 290},
	{Name: "tag", Part: 0.35, FirstTokenMs: 80, GapMs: 20, Tokens: 25},
}

// shortCases returns rollouts of 12 to 40 s under 20 to 130 requests per second.
func shortCases() []*Case {
	faults := []struct {
		name  string
		fault *Fault
	}{
		{"good", nil},
		{"errors", &Fault{ErrorPercent: 30}},
		{"allErrors", &Fault{ErrorPercent: 100}},
		{"slow", &Fault{Slow: 4}},
		{"oneRoute", &Fault{ErrorPercent: 50, Route: "reply"}},
		{"slowRoute", &Fault{Slow: 4, Route: "draft"}},
		{"underLoad", &Fault{ErrorPercent: 30, UnderLoad: true}},
		{"slowUnderLoad", &Fault{Slow: 4, UnderLoad: true}},
		{"late", &Fault{ErrorPercent: 30}},
		{"lateSlow", &Fault{Slow: 4}},
	}
	var list []*Case
	for _, seconds := range []int64{12, 20, 40} {
		for _, rate := range []float64{20, 50, 130} {
			for _, f := range faults {
				for seed := range uint64(20) {
					c := &Case{
						Name: fmt.Sprintf("%s in %d s at %.0f/s, seed %d", f.name, seconds, rate, seed), Service: "s",
						FinishInMs: 1000 * seconds, TrialPercent: moves.TrialPercent(shortShare, shortSlack, rate*float64(seconds)), Daemons: shortDaemons, ReadyOld: 9, ReadyNew: 9, Expect: "finished",
						Traffic: Traffic{Seed: seed, RatePerSecond: rate, ErrorPercent: 0.5, Routes: shortRoutes, Accounts: []Source{{Name: "a", Part: 0.6}, {Name: "b", Part: 0.4}}},
					}
					if f.fault != nil {
						fault := *f.fault
						fault.Version = "new"
						if f.name == "late" || f.name == "lateSlow" {
							fault.AfterMs = 300 * seconds
						}
						c.Faults, c.Expect = []Fault{fault}, "rolledBack"
					}
					list = append(list, c)
				}
			}
		}
	}
	return list
}

// TestShortRollouts replays rollouts that end within seconds. Healthy versions must finish in
// time. Regressed ones must be rolled back, receive a bounded number of requests, and none later than
// shortClearance after their 50th faulty response.
func TestShortRollouts(t *testing.T) {
	for _, r := range RunAll(shortCases(), Options{Short: true}) {
		if d := r.Mismatch(); d != "" {
			t.Errorf("%s: %s (%s)", r.Case.Name, d, r.Evidence)
		}
		if r.Case.Expect != "rolledBack" {
			continue
		}
		expected := r.Case.Traffic.RatePerSecond * float64(r.Case.FinishInMs) / 1000
		if want := shortShare*expected + shortSlack; float64(r.NewRequests) > want {
			t.Errorf("%s: got %d of %.0f requests to the regressed version, want at most %.0f", r.Case.Name, r.NewRequests, expected, want)
		}
		if r.After50 > shortClearance {
			t.Errorf("%s: got a request %v after the 50th faulty response, want none after %v", r.Case.Name, r.After50, shortClearance)
		}
	}
}
