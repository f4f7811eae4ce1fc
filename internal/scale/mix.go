package scale

import (
	"cmp"
	"math"
	"slices"

	"swiftbeam/pkg/clock"
)

// Zone describes the replicas of one service in an availability zone, and their price.
type Zone struct {
	Name  string
	Price float64
	// OnDemand and Spot are the numbers of serving replicas, without those being reclaimed.
	OnDemand int
	Spot     int
	// SpotStarting is the number of ordered spot replicas that are expected to serve soon.
	SpotStarting int
	// SoldOutUntil is the instant until which no spot replicas are ordered here.
	SoldOutUntil clock.Instant
	// Evacuated zones receive no requests. They keep their targets, which nothing is ordered for, and their
	// replicas do not count as serving.
	Evacuated bool
}

// ZoneTarget is the number of replicas that a zone should have.
type ZoneTarget struct {
	Zone     string
	OnDemand int
	Spot     int
}

// Bounds limit the replicas in one zone, of both kinds together.
type Bounds struct {
	Min int
	Max int
	// SpotPrice is the price of a spot replica as a part of the on-demand price; zero if there are
	// no spot replicas.
	SpotPrice float64
}

// Mix decides how many spot and on-demand replicas each zone should have. It orders spot replicas in
// all zones, and on-demand replicas where those do not suffice. The cloud may reclaim all spot replicas
// of a zone at once and then have no spot replicas available in any zone for a while. Therefore the
// serving replicas must suffice without a part of those in the zone with the most spot replicas.
//
// Mix is designed for a load that varies within seconds, replicas that take seconds to boot, and
// on-demand replicas that cost as much as several spot replicas.
type Mix struct {
	targets map[string]*ZoneTarget
	// surplusSince is when more on-demand replicas than necessary were first seen; zero without surplus.
	surplusSince clock.Instant
	// peaks serves to find the maximum number of required replicas within peakRetention, which is its
	// first element. The elements are in order of time and of falling number, as a new number removes
	// all that are not above it.
	peaks []peak
}

type peak struct {
	at       clock.Instant
	required int
}

const (
	// surplusRetention is how long on-demand replicas are kept after spot replicas suffice.
	surplusRetention = 3 * clock.Second
	// peakRetention is how long the capacity for a peak is kept, as the peak may recur.
	peakRetention = 8 * clock.Second
	// lossFraction is the part of a zone's spot replicas whose loss the plan allows for. It is below 1,
	// as the required number contains a reserve of two fifths.
	lossFraction = 0.4
	// spotMargin is the factor by which spot replicas exceed the required number, as they cost little.
	spotMargin = 1.25
)

// Decide returns the target of each zone, in the order of zones.
func (m *Mix) Decide(now clock.Instant, required int, b Bounds, zones []Zone) []ZoneTarget {
	if m.targets == nil {
		m.targets = make(map[string]*ZoneTarget)
	}
	for _, z := range zones {
		if m.targets[z.Name] == nil {
			m.targets[z.Name] = &ZoneTarget{Zone: z.Name, OnDemand: z.OnDemand, Spot: z.Spot}
		}
		if w := m.targets[z.Name]; b.Max > 0 {
			w.OnDemand = min(w.OnDemand, b.Max)
			w.Spot = min(w.Spot, b.Max-w.OnDemand)
		}
	}
	required = m.recentPeak(now, required)
	serving := withoutEvacuated(zones)
	m.targetSpot(now, required, b, serving)
	m.targetOnDemand(now, required, b, serving)
	var out []ZoneTarget
	for _, z := range zones {
		out = append(out, *m.targets[z.Name])
	}
	return out
}

// Need returns the number of required replicas for which Decide orders the present ones: on-demand replicas count in full,
// spot replicas without the reserve for the loss of a zone. It stands for the demand while that is not known yet.
func Need(zones []Zone) int {
	onDemand, spot := 0, 0
	for _, z := range zones {
		onDemand += z.OnDemand
		spot += z.Spot
	}
	others := max(len(zones)-1, 1)
	return onDemand + int(float64(spot*others)/(spotMargin*float64(max(len(zones), 1))))
}

func withoutEvacuated(zones []Zone) []Zone {
	return slices.DeleteFunc(slices.Clone(zones), func(z Zone) bool { return z.Evacuated })
}

// recentPeak returns the largest number of required replicas within peakRetention.
func (m *Mix) recentPeak(now clock.Instant, required int) int {
	m.peaks = slices.DeleteFunc(m.peaks, func(p peak) bool { return now.Sub(p.at) > peakRetention || p.required <= required })
	m.peaks = append(m.peaks, peak{at: now, required: required})
	return m.peaks[0].required
}

// targetSpot spreads spot replicas evenly, so that those outside of any one zone exceed the required
// number. A zone that is sold out keeps its target.
func (m *Mix) targetSpot(now clock.Instant, required int, b Bounds, zones []Zone) {
	if b.SpotPrice <= 0 || len(zones) == 0 {
		return
	}
	others := max(len(zones)-1, 1)
	each := int(math.Ceil(spotMargin * float64(required) / float64(others)))
	for _, z := range zones {
		w := m.targets[z.Name]
		if z.SoldOutUntil.After(now) {
			continue
		}
		w.Spot = max(min(each, b.Max-w.OnDemand), 0)
	}
}

// afterLoss returns the number of spot replicas minus lossFraction of those in the zone with the most.
// After the loss of a complete zone the remaining ones can serve more than their share until ordered
// replicas have booted.
func afterLoss(spots []int) int {
	total, most := 0, 0
	for _, n := range spots {
		total += n
		most = max(most, n)
	}
	return total - int(math.Ceil(lossFraction*float64(most)))
}

// targetOnDemand adds on-demand replicas where spot replicas do not suffice, and removes them once
// they do.
func (m *Mix) targetOnDemand(now clock.Instant, required int, b Bounds, zones []Zone) {
	var serving, expected []int
	have := 0
	for _, z := range zones {
		serving = append(serving, z.Spot)
		expected = append(expected, z.Spot+z.SpotStarting)
		have += m.targets[z.Name].OnDemand
	}
	low := max(required-afterLoss(expected), 0)
	high := max(required-afterLoss(serving), 0)
	switch {
	case have < low:
		m.surplusSince = 0
		m.add(low-have, b, zones)
	case have > high:
		if m.surplusSince == 0 {
			m.surplusSince = now
		}
		if now.Sub(m.surplusSince) >= surplusRetention {
			m.remove(have-high, b, zones)
		}
	default:
		m.surplusSince = 0
	}
	for _, z := range zones {
		// A sold-out zone gets its minimum from on-demand replicas.
		w := m.targets[z.Name]
		if z.SoldOutUntil.After(now) && z.Spot+w.OnDemand < b.Min {
			w.OnDemand = b.Min - z.Spot
		}
	}
}

// add raises the on-demand targets one replica at a time, in the zone with the lowest sum of its on-demand
// target and a tenth of its price: among zones with equal targets, the cheapest.
func (m *Mix) add(n int, b Bounds, zones []Zone) {
	for range n {
		var best *ZoneTarget
		lowest := math.Inf(1)
		for _, z := range zones {
			w := m.targets[z.Name]
			if w.OnDemand+z.Spot >= b.Max {
				continue
			}
			if cost := float64(w.OnDemand) + z.Price/10; cost < lowest {
				best, lowest = w, cost
			}
		}
		if best == nil {
			return
		}
		best.OnDemand++
		best.Spot = min(best.Spot, b.Max-best.OnDemand)
	}
}

// remove lowers the on-demand targets, starting with the most expensive zone.
func (m *Mix) remove(n int, b Bounds, zones []Zone) {
	byPrice := slices.Clone(zones)
	slices.SortFunc(byPrice, func(x, y Zone) int { return cmp.Compare(y.Price, x.Price) })
	for _, z := range byPrice {
		w := m.targets[z.Name]
		for n > 0 && w.OnDemand > 0 && w.OnDemand-1+z.Spot >= max(b.Min, 1) {
			w.OnDemand--
			n--
		}
	}
}

// TokenDemand is the work for the engines of a service, in tokens per second.
type TokenDemand struct {
	// Prefill is the number of prompt tokens, Output that of generated tokens.
	Prefill float64
	Output  float64
}

const (
	// utilization is the mean part of an engine's time that may be in use. The rest keeps the time to
	// first token within its target while requests arrive in bursts.
	utilization = 0.6
	// prefillRate and outputRate are the prompt tokens and output tokens per second that an engine
	// processes at a batch size of 24.
	prefillRate = 55_000
	outputRate  = 4_000
	// maxRequired bounds the steps of a decision if the demand is wrong.
	maxRequired = 10_000
)

// RequiredReplicas returns the number of replicas required for a demand.
func RequiredReplicas(w TokenDemand) int {
	return int(min(math.Ceil((w.Prefill/prefillRate+w.Output/outputRate)/utilization), maxRequired))
}
