package gauge

import (
	"fmt"
	"math"
	"math/rand/v2"

	"swiftbeam/internal/scale"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// CostReport compares the cost of the capacity control in a week with the cost of two other ways to
// cover the demand. Each of them plans for the loss of any one availability zone.
type CostReport struct {
	Scenario string
	Seed     uint64
	// Cost is what the capacity control spent. Hindsight is the cost of the cheapest replicas for
	// each minute when the demand is known in advance, and OnDemand the cost of the same replicas at
	// the on-demand price. All are in currency units.
	Cost      float64
	Hindsight float64
	OnDemand  float64
	// UnderProvisioned is the fraction of the minutes with demand in which the replicas did not cover
	// it.
	UnderProvisioned float64
}

// String formats the report on one line.
func (r CostReport) String() string {
	return fmt.Sprintf("%-7s week seed %-3d cost %7.2f = %.2f x hindsight (%.2f), all on demand %.2f, short of demand %.2f%% of the busy time",
		r.Scenario, r.Seed, r.Cost, r.Cost/r.Hindsight, r.Hindsight, r.OnDemand, 100*r.UnderProvisioned)
}

// Parameters of the simulated weeks.
const (
	// startupMinutes is the time from an order until the server serves requests.
	startupMinutes = 5
	weekMinutes    = 7 * 24 * 60
	// perReplica is the number of concurrent requests that a replica runs within the latency targets.
	perReplica = 12.8
	// reclaimMinutes is the mean time between reclaims of an availability zone in minutes.
	reclaimMinutes = 2 * 24 * 60
)

// week simulates the capacity control over two weeks, of which the second is measured.
type week struct {
	scenario    Scenario
	random      *rand.Rand
	control     scale.Controller
	offers      []scale.Offer
	servers     []fleet.Backend
	starting    []startingReplica
	lastAddress int
	report      CostReport
	// withDemand counts the minutes with demand, underProvisioned those of them in which the replicas did
	// not cover it.
	withDemand       int
	underProvisioned int
}

// startingReplica is a replica that was ordered and does not serve yet.
type startingReplica struct {
	zone string
	// ready is the minute from which it serves.
	ready int
}

// RunCost simulates the purchases of two weeks and returns the report of the second.
func RunCost(s Scenario, seed uint64) CostReport {
	w := &week{scenario: s, random: rand.New(rand.NewPCG(seed, 3)), report: CostReport{Scenario: s.Name, Seed: seed}}
	for z := range s.Zones {
		price := int(s.Price * (0.9 + 0.08*float64(z)))
		w.offers = append(w.offers, scale.Offer{Zone: fmt.Sprint("z", z), SpotPrice: price, OnDemandPrice: 3 * int(s.Price)})
	}
	for minute := range 2 * weekMinutes {
		w.minute(minute)
	}
	w.report.UnderProvisioned = float64(w.underProvisioned) / float64(max(w.withDemand, 1))
	return w.report
}

// demand returns the number of concurrent requests in a minute: none before 5 h, a low level until
// 19 h, a peak until midnight, less at weekends, with random noise.
func (w *week) demand(minute int) float64 {
	hour := float64(minute%(24*60)) / 60
	peak := float64(w.scenario.Replicas) * perReplica * 0.7
	level := 0.0
	switch {
	case hour < 5:
	case hour < 19:
		level = 0.35 * math.Sin((hour-5)/14*math.Pi)
	case hour < 24:
		level = math.Sin((hour - 19) / 5 * math.Pi)
	}
	if day := minute / (24 * 60) % 7; day >= 5 {
		level *= 0.6
	}
	return max(0, level*peak*(1+0.06*w.random.NormFloat64()))
}

func (w *week) minute(minute int) {
	w.startServers(minute)
	w.reclaim()
	demand := w.demand(minute)
	now := clock.Instant(minute) * clock.Instant(clock.Minute)
	m := scale.DecideInputs{Now: now, Offers: append([]scale.Offer(nil), w.offers...), Servers: w.servers, Starting: map[string]int{}}
	for _, s := range w.starting {
		m.Starting[s.zone]++
	}
	for _, a := range w.control.Decide(m, demand, perReplica) {
		w.apply(minute, a)
	}
	if minute >= weekMinutes {
		w.addCosts(demand)
	}
}

func (w *week) startServers(minute int) {
	var remaining []startingReplica
	for _, s := range w.starting {
		if s.ready > minute {
			remaining = append(remaining, s)
			continue
		}
		w.lastAddress++
		w.servers = append(w.servers, fleet.Backend{Zone: s.zone, Address: fmt.Sprint(w.lastAddress), Version: "v"})
	}
	w.starting = remaining
}

// reclaim removes all replicas of a random availability zone, on average every reclaimMinutes.
func (w *week) reclaim() {
	if w.random.IntN(reclaimMinutes) != 0 {
		return
	}
	zone := w.offers[w.random.IntN(len(w.offers))].Zone
	var remaining []fleet.Backend
	for _, s := range w.servers {
		if s.Zone != zone {
			remaining = append(remaining, s)
		}
	}
	w.servers = remaining
}

func (w *week) apply(minute int, a scale.Action) {
	for range a.Start {
		w.starting = append(w.starting, startingReplica{zone: a.Zone, ready: minute + startupMinutes})
	}
	if a.Stop == "" {
		return
	}
	for i, s := range w.servers {
		if s.Address == a.Stop {
			w.servers = append(w.servers[:i:i], w.servers[i+1:]...)
			return
		}
	}
}

// perMinute converts a price in thousandths of the currency unit per hour to currency units per minute.
const perMinute = 1.0 / 1000 / 60

func (w *week) addCosts(demand float64) {
	price := make(map[string]int)
	for _, o := range w.offers {
		price[o.Zone] = o.SpotPrice
	}
	for _, s := range w.servers {
		w.report.Cost += float64(price[s.Zone]) * perMinute
	}
	for _, s := range w.starting {
		w.report.Cost += float64(price[s.zone]) * perMinute
	}
	required := int(math.Ceil(demand / perReplica))
	best := scale.Plan(scale.PlanInputs{Required: required, Offers: w.offers})
	w.report.Hindsight += float64(scale.Cost(best, w.offers)) * perMinute
	for i := range best {
		best[i].Reclaimable = false
	}
	w.report.OnDemand += float64(scale.Cost(best, w.offers)) * perMinute
	if required == 0 {
		return
	}
	w.withDemand++
	if float64(len(w.servers))*perReplica < demand {
		w.underProvisioned++
	}
}
