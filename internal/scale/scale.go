// Package scale plans the replicas of a service: how many, at which price and in which availability
// zones. The plan is the cheapest that still meets the latency target after the loss of any one zone:
//
//	plan := scale.Plan(scale.PlanInputs{Required: 8, Offers: offers, Floor: 3})
//
// Forecast predicts the demand from a weekly pattern and the present trend. Controller starts and stops
// servers according to the forecast and the plan. Mix, which uses neither, divides a required number of
// replicas into spot and on-demand ones.
//
// The tests check these invariants of a plan: the replicas that remain after the loss of any one zone
// suffice, no purchase of spot replicas with at most the required number in each zone is cheaper, and
// nothing is bought in a zone that refuses starts.
package scale

import (
	"cmp"
	"slices"

	"swiftbeam/pkg/clock"
)

// Offer describes the replicas that may be bought in one availability zone.
type Offer struct {
	Zone string
	// SpotPrice is the hourly price of a reclaimable replica in thousandths of the currency unit, and
	// OnDemandPrice that of a replica that is never reclaimed.
	SpotPrice     int
	OnDemandPrice int
	// RefusedUntil is the instant until which the zone refuses starts.
	RefusedUntil clock.Instant
	// MaxReplicas limits the replicas of the zone; zero means no limit.
	MaxReplicas int
}

// PlanInputs are the inputs of Plan.
type PlanInputs struct {
	Now clock.Instant
	// Required is the number of replicas required for the latency target.
	Required int
	// Floor is the minimum number of replicas at any time.
	Floor  int
	Offers []Offer
}

// Purchase is a number of replicas in one zone.
type Purchase struct {
	Zone        string
	Replicas    int
	Reclaimable bool
}

// Plan returns the cheapest purchases that still have Required replicas after the loss of any one zone,
// and at least Floor at any time. With a single usable zone no plan survives its loss, and on-demand
// replicas are bought there.
func Plan(in PlanInputs) []Purchase {
	required := max(in.Required, in.Floor)
	offers := usableOffers(in)
	if required == 0 || len(offers) == 0 {
		return nil
	}
	if len(offers) == 1 {
		return []Purchase{{Zone: offers[0].Zone, Replicas: bounded(offers[0], required)}}
	}
	var best []Purchase
	bestCost := 0
	for zones := 2; zones <= len(offers); zones++ {
		purchases, ok := spread(offers[:zones], required)
		if cost := Cost(purchases, offers); ok && (best == nil || cost < bestCost) {
			best, bestCost = purchases, cost
		}
	}
	if best == nil {
		best, _ = spread(offers, required)
	}
	return best
}

// usableOffers returns the offers of zones that do not refuse starts, the cheapest first.
func usableOffers(in PlanInputs) []Offer {
	offers := slices.DeleteFunc(slices.Clone(in.Offers), func(o Offer) bool { return o.RefusedUntil.After(in.Now) })
	slices.SortStableFunc(offers, func(a, b Offer) int {
		return cmp.Or(cmp.Compare(a.SpotPrice, b.SpotPrice), cmp.Compare(a.Zone, b.Zone))
	})
	return offers
}

func bounded(o Offer, n int) int {
	if o.MaxReplicas > 0 {
		return min(n, o.MaxReplicas)
	}
	return n
}

// spread divides reclaimable replicas over all given zones, so that the required number remains when
// the zone with the most is lost. It reports false if the limits of the zones are too low.
func spread(offers []Offer, required int) ([]Purchase, bool) {
	largest := (required + len(offers) - 2) / (len(offers) - 1)
	total := required + largest
	var purchases []Purchase
	for _, o := range offers {
		n := bounded(o, min(largest, total))
		total -= n
		if n > 0 {
			purchases = append(purchases, Purchase{Zone: o.Zone, Replicas: n, Reclaimable: true})
		}
	}
	return purchases, total == 0
}

// Cost returns the hourly price of the purchases.
func Cost(purchases []Purchase, offers []Offer) int {
	sum := 0
	for _, b := range purchases {
		for _, o := range offers {
			if o.Zone != b.Zone {
				continue
			}
			price := o.OnDemandPrice
			if b.Reclaimable {
				price = o.SpotPrice
			}
			sum += b.Replicas * price
		}
	}
	return sum
}

// SurvivesZoneLoss reports whether the required number of replicas remains after the loss of any one
// zone.
func SurvivesZoneLoss(purchases []Purchase, required int) bool {
	total, largest := 0, 0
	for _, b := range purchases {
		total += b.Replicas
		largest = max(largest, b.Replicas)
	}
	return total-largest >= required
}

// Placement is the zone and the version of a server.
type Placement struct {
	Zone    string
	Version string
}

// OnlyInZone reports whether all replicas of a version are in one zone, so that the loss of the zone
// would remove the last one. During a version move this must not happen to its versions.
func OnlyInZone(servers []Placement, zone, version string) bool {
	inside, outside := 0, 0
	for _, s := range servers {
		if s.Version != version {
			continue
		}
		if s.Zone == zone {
			inside++
		} else {
			outside++
		}
	}
	return inside > 0 && outside == 0
}

// Backoff computes the pauses after refused starts in a zone. The pause doubles with each refusal.
type Backoff struct {
	refusals int
}

// Shortest and longest pause after refused starts.
const (
	firstBackoff = 10 * clock.Second
	maxBackoff   = 10 * clock.Minute
)

// Next records a refusal and returns the instant until which no start is tried in the zone.
func (b *Backoff) Next(now clock.Instant) clock.Instant {
	pause := min(firstBackoff<<min(b.refusals, 10), maxBackoff)
	b.refusals++
	return now.Add(pause)
}

// Reset clears the recorded refusals.
func (b *Backoff) Reset() { b.refusals = 0 }

// LoadQueue limits how many servers load weights from the weight store in parallel.
type LoadQueue struct {
	// MaxParallel is the maximum number of loads that run in parallel.
	MaxParallel int
	Running     int
	waiting     []string
}

// Enqueue queues the load of a server and returns the servers that may start loading now.
func (l *LoadQueue) Enqueue(server string) []string {
	l.waiting = append(l.waiting, server)
	return l.next()
}

// Done records that a server no longer loads weights from the weight store. It returns the waiting
// servers that may start now, as at most MaxParallel load at the same time.
func (l *LoadQueue) Done() []string {
	l.Running--
	return l.next()
}

func (l *LoadQueue) next() []string {
	var start []string
	for l.Running < l.MaxParallel && len(l.waiting) > 0 {
		start = append(start, l.waiting[0])
		l.waiting = l.waiting[1:]
		l.Running++
	}
	return start
}
