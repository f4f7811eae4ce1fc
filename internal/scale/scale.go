// Package scale plans the replicas of a service: how many, of which price and in which
// availability zones, so that the loss of any one zone still meets the latency target at the
// least cost.
//
//	plan := scale.Plan(scale.Inputs{Need: 8, Offers: offers, Floor: 3})
//
// Forecast, in forecast.go, gives the need ahead of time from a recurring pattern and the trend.
//
// Invariants held by the tests: the replicas that remain after the loss of any one zone meet the
// need; no plan of the same form is cheaper; nothing is bought where starts are refused.
package scale

import (
	"cmp"
	"slices"

	"swiftbeam/pkg/clock"
)

// Offer is what one availability zone sells.
type Offer struct {
	Zone string
	// SpotPrice is the price of a reclaimable replica hour in thousandths of the currency unit, and
	// OnDemand that of one which is never taken back.
	SpotPrice     int
	OnDemandPrice int
	// RefusedUntil is the instant until which the zone refuses starts.
	RefusedUntil clock.Instant
	// MaxReplicas bounds the replicas of the zone; zero means no bound.
	MaxReplicas int
}

// PlanInputs of a plan.
type PlanInputs struct {
	Now clock.Instant
	// Required is the number of replicas that meets the latency target.
	Required int
	// Floor is the least number of replicas at any time.
	Floor  int
	Offers []Offer
}

// Purchase is a number of replicas in one zone.
type Purchase struct {
	Zone        string
	Replicas    int
	Reclaimable bool
}

// Plan returns the cheapest purchase that still has Need replicas after the loss of any one
// zone, and at least Floor at any time. With a single zone on offer no plan survives its loss;
// all is bought there on demand then.
func Plan(in PlanInputs) []Purchase {
	need := max(in.Required, in.Floor)
	offers := usable(in)
	if need == 0 || len(offers) == 0 {
		return nil
	}
	if len(offers) == 1 {
		return []Purchase{{Zone: offers[0].Zone, Replicas: bounded(offers[0], need)}}
	}
	var best []Purchase
	bestCost := 0
	for zones := 2; zones <= len(offers); zones++ {
		buys, ok := spread(offers[:zones], need)
		if cost := Cost(buys, offers); ok && (best == nil || cost < bestCost) {
			best, bestCost = buys, cost
		}
	}
	if best == nil {
		best, _ = spread(offers, need)
	}
	return best
}

// usable returns the offers that can be bought, the cheapest first.
func usable(in PlanInputs) []Offer {
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

// spread buys in every given zone so that the others hold the need when the largest is lost. It
// reports false when the bounds of the zones are too low.
func spread(offers []Offer, need int) ([]Purchase, bool) {
	largest := (need + len(offers) - 2) / (len(offers) - 1)
	total := need + largest
	var buys []Purchase
	for _, o := range offers {
		n := bounded(o, min(largest, total))
		total -= n
		if n > 0 {
			buys = append(buys, Purchase{Zone: o.Zone, Replicas: n, Reclaimable: true})
		}
	}
	return buys, total == 0
}

// Cost returns the price of an hour of the purchase.
func Cost(buys []Purchase, offers []Offer) int {
	sum := 0
	for _, b := range buys {
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

// SurvivesZoneLoss reports whether the purchase holds the need after the loss of any one zone.
func SurvivesZoneLoss(buys []Purchase, need int) bool {
	total, largest := 0, 0
	for _, b := range buys {
		total += b.Replicas
		largest = max(largest, b.Replicas)
	}
	return total-largest >= need
}

// Placement answers whether a server may be taken away.
type Placement struct {
	Zone    string
	Version string
}

// OnlyInZone reports whether the loss of a zone would take the last replica of a version in a
// move. Loads are placed so that it never does.
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

// Backoff spaces the starts that a zone refuses.
type Backoff struct {
	refusals int
}

// Bounds of the pause after refused starts.
const (
	firstBackoff = 10 * clock.Second
	maxBackoff   = 10 * clock.Minute
)

// Next returns the instant until which the zone is not asked again.
func (b *Backoff) Next(now clock.Instant) clock.Instant {
	pause := min(firstBackoff<<min(b.refusals, 10), maxBackoff)
	b.refusals++
	return now.Add(pause)
}

// Reset forgets earlier refusals.
func (b *Backoff) Reset() { b.refusals = 0 }

// LoadQueue queues loads of weights against the rate of the weight store.
type LoadQueue struct {
	// MaxParallel is the number of loads that may run in parallel.
	MaxParallel int
	Running     int
	waiting     []string
}

// Enqueue queues the load of a server and returns the servers that may load now.
func (l *LoadQueue) Enqueue(server string) []string {
	l.waiting = append(l.waiting, server)
	return l.next()
}

// Done ends a load and returns the servers that may load now.
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
