package replay

import (
	"fmt"
	"testing"

	"swiftbeam/internal/moves"
	"swiftbeam/pkg/clock"
)

// Bounds of a rollout that is done within seconds: the part of the service's requests that a bad
// version may get until the deadline, with a number beyond that, and the time after the fiftieth
// faulty answer in which it must be gone.
const (
	shortShare   = 0.1
	shortSlack   = 50
	shortGone    = 5 * clock.Second
	shortDaemons = 7
)

var shortRoutes = []Source{
	{Name: "draft", Part: 0.25, FirstTokenMs: 230, GapMs: 20, Tokens: 380},
	{Name: "reply", Part: 0.4, FirstTokenMs: 60, GapMs: 20, Tokens: 290},
	{Name: "tag", Part: 0.35, FirstTokenMs: 80, GapMs: 20, Tokens: 25},
}

// shortCases are rollouts of 12 to 40 s under 20 to 130 requests a second.
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

// TestShortRollouts replays rollouts that are done within seconds: good versions finish in time,
// bad ones are taken back, get a small share, and nothing long after their faults have shown.
func TestShortRollouts(t *testing.T) {
	for _, r := range RunAll(shortCases(), Options{Short: true}) {
		if d := r.Mismatch(); d != "" {
			t.Errorf("%s: %s (%s)", r.Case.Name, d, r.Evidence)
		}
		if r.Case.Expect != "rolledBack" {
			continue
		}
		all := r.Case.Traffic.RatePerSecond * float64(r.Case.FinishInMs) / 1000
		if want := shortShare*all + shortSlack; float64(r.NewRequests) > want {
			t.Errorf("%s: got %d of %.0f requests at the bad version, want at most %.0f", r.Case.Name, r.NewRequests, all, want)
		}
		if r.After50 > shortGone {
			t.Errorf("%s: got a request %v after the fiftieth faulty answer, want none after %v", r.Case.Name, r.After50, shortGone)
		}
	}
}
