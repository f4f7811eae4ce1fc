package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"swiftbeam/internal/gauge"
)

func measureCommand() *cobra.Command {
	var seeds uint64
	var asJSON bool
	c := &cobra.Command{
		Use:   "measure",
		Short: "Compare routing and handling of reclaims with baseline policies on the same traces",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return measure(seeds, asJSON)
		},
	}
	c.Flags().Uint64Var(&seeds, "seeds", 10, "number of traces for each deployment")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON lines")
	return c
}

// measure prints a report for each trace and policy. It returns an error when the score policy does not
// beat every baseline policy on every trace.
func measure(seeds uint64, asJSON bool) error {
	worse := 0
	for _, s := range []gauge.Scenario{gauge.Barros, gauge.Minik} {
		for seed := uint64(1); seed <= seeds; seed++ {
			reports := make(map[string]gauge.Report)
			for _, policy := range gauge.Policies {
				r := gauge.Run(s, policy, seed)
				reports[policy] = r
				printReport(r, asJSON)
			}
			worse += countLosses(reports)
		}
	}
	for _, s := range []gauge.Scenario{gauge.Barros, gauge.Minik} {
		for seed := uint64(1); seed <= seeds; seed++ {
			printCost(gauge.RunCost(s, seed), asJSON)
		}
	}
	if worse > 0 {
		return errors.Newf("the score policy was not better than the baseline in %d comparisons", worse)
	}
	return nil
}

// countLosses returns the number of baseline policies that the score policy does not beat both in time
// to first token and in recomputed tokens.
func countLosses(reports map[string]gauge.Report) int {
	count := 0
	score := reports["score"]
	for policy, r := range reports {
		if policy == "score" {
			continue
		}
		if score.FirstTokenP95 >= r.FirstTokenP95 || score.RecomputedPerMille >= r.RecomputedPerMille {
			count++
		}
	}
	return count
}

func printReport(r gauge.Report, asJSON bool) {
	if !asJSON {
		fmt.Println(r)
		return
	}
	_ = json.NewEncoder(os.Stdout).Encode(reportLine{
		Scenario: r.Scenario, Policy: r.Policy, Seed: r.Seed, Replicas: r.Replicas, Requests: r.Requests,
		FirstTokenP50Ms: r.FirstTokenP50, FirstTokenP95Ms: r.FirstTokenP95, GapP95Ms: r.GapP95,
		WithinTarget: r.WithinTarget, RecomputedPerMille: r.RecomputedPerMille, PrefixHitRate: r.PrefixHitRate, Cost: r.Cost,
	})
}

// reportLine is a report as a JSON line.
type reportLine struct {
	Scenario           string  `json:"scenario"`
	Policy             string  `json:"policy"`
	Seed               uint64  `json:"seed"`
	Replicas           int     `json:"replicas"`
	Requests           int     `json:"requests"`
	FirstTokenP50Ms    float64 `json:"firstTokenP50Ms"`
	FirstTokenP95Ms    float64 `json:"firstTokenP95Ms"`
	GapP95Ms           float64 `json:"gapP95Ms"`
	WithinTarget       float64 `json:"withinTarget"`
	RecomputedPerMille float64 `json:"recomputedPerMille"`
	PrefixHitRate      float64 `json:"prefixHitRate"`
	Cost               float64 `json:"cost"`
}

func printCost(r gauge.CostReport, asJSON bool) {
	if !asJSON {
		fmt.Println(r)
		return
	}
	_ = json.NewEncoder(os.Stdout).Encode(costLine{
		Scenario: r.Scenario, Seed: r.Seed, Cost: r.Cost, Hindsight: r.Hindsight, OnDemand: r.OnDemand, ShortPart: r.UnderProvisioned,
	})
}

// costLine is a cost report as a JSON line.
type costLine struct {
	Scenario  string  `json:"scenario"`
	Seed      uint64  `json:"seed"`
	Cost      float64 `json:"weekCost"`
	Hindsight float64 `json:"hindsightCost"`
	OnDemand  float64 `json:"onDemandCost"`
	ShortPart float64 `json:"shortPart"`
}
