package gauge

import (
	"fmt"
	"math"
	"math/rand/v2"

	"swiftbeam/internal/scale"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// CostReport compares what the capacity control spent in a week with other ways to buy. All of
// them keep the need after the loss of any one availability zone.
type CostReport struct {
	Scenario string
	Seed     uint64
	// Cost is what was spent, Hindsight the cheapest purchase of each minute with the demand
	// known, OnDemand the same with replicas that are never taken back; in currency units.
	Cost      float64
	Hindsight float64
	OnDemand  float64
	// Short is the part of the busy minutes in which the replicas did not carry the demand.
	Short float64
}

// String formats the report on one line.
func (r CostReport) String() string {
	return fmt.Sprintf("%-7s week seed %-3d cost %7.2f = %.2f x hindsight (%.2f), all on demand %.2f, short of demand %.2f%% of the busy time",
		r.Scenario, r.Seed, r.Cost, r.Cost/r.Hindsight, r.Hindsight, r.OnDemand, 100*r.Short)
}

// Shape of the weeks.
const (
	// startMinutes is the time from an order to a server that serves.
	startMinutes = 5
	weekMinutes  = 7 * 24 * 60
	// perReplica is the number of requests that a replica runs at once within the target.
	perReplica = 12.8
	// reclaimEvery is the mean time between reclaims of a zone in minutes.
	reclaimEvery = 2 * 24 * 60
)

// week is one run of the capacity control over two weeks; the second one is measured.
type week struct {
	scenario Scenario
	random   *rand.Rand
	control  scale.Controller
	offers   []scale.Offer
	servers  []fleet.Backend
	starting []onTheWay
	next     int
	report   CostReport
	busy     int
	short    int
}

// onTheWay is a replica on its way.
type onTheWay struct {
	zone  string
	ready int
}

// RunCost simulates the purchases of two weeks and reports the second.
func RunCost(s Scenario, seed uint64) CostReport {
	w := &week{scenario: s, random: rand.New(rand.NewPCG(seed, 3)), report: CostReport{Scenario: s.Name, Seed: seed}}
	for z := range s.Zones {
		price := int(s.Price * (0.9 + 0.08*float64(z)))
		w.offers = append(w.offers, scale.Offer{Zone: fmt.Sprint("z", z), SpotPrice: price, OnDemandPrice: 3 * int(s.Price)})
	}
	for minute := range 2 * weekMinutes {
		w.minute(minute)
	}
	w.report.Short = float64(w.short) / float64(max(w.busy, 1))
	return w.report
}

// demand is the number of requests that run at a minute: nothing in the small hours, a day, and a
// night peak, less at weekends, with noise.
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
	w.arrive(minute)
	w.reclaim()
	demand := w.demand(minute)
	now := clock.Instant(minute) * clock.Instant(clock.Minute)
	m := scale.DecideInputs{Now: now, Offers: append([]scale.Offer(nil), w.offers...), Servers: w.servers, Starting: map[string]int{}}
	for _, s := range w.starting {
		m.Starting[s.zone]++
	}
	for _, a := range w.control.Decide(m, demand, perReplica) {
		w.act(minute, a)
	}
	if minute >= weekMinutes {
		w.account(demand)
	}
}

func (w *week) arrive(minute int) {
	var rest []onTheWay
	for _, s := range w.starting {
		if s.ready > minute {
			rest = append(rest, s)
			continue
		}
		w.next++
		w.servers = append(w.servers, fleet.Backend{Zone: s.zone, Address: fmt.Sprint(w.next), Version: "v"})
	}
	w.starting = rest
}

// reclaim takes all replicas of a zone back now and then.
func (w *week) reclaim() {
	if w.random.IntN(reclaimEvery) != 0 {
		return
	}
	zone := w.offers[w.random.IntN(len(w.offers))].Zone
	var rest []fleet.Backend
	for _, s := range w.servers {
		if s.Zone != zone {
			rest = append(rest, s)
		}
	}
	w.servers = rest
}

func (w *week) act(minute int, a scale.Action) {
	for range a.Start {
		w.starting = append(w.starting, onTheWay{zone: a.Zone, ready: minute + startMinutes})
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

// thousandths of the currency unit in an hour, for each minute.
const perMinute = 1.0 / 1000 / 60

func (w *week) account(demand float64) {
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
	need := int(math.Ceil(demand / perReplica))
	best := scale.Plan(scale.PlanInputs{Required: need, Offers: w.offers})
	w.report.Hindsight += float64(scale.Cost(best, w.offers)) * perMinute
	for i := range best {
		best[i].Reclaimable = false
	}
	w.report.OnDemand += float64(scale.Cost(best, w.offers)) * perMinute
	if need == 0 {
		return
	}
	w.busy++
	if float64(len(w.servers))*perReplica < demand {
		w.short++
	}
}
