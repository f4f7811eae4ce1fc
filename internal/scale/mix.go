package scale

import (
	"cmp"
	"math"
	"slices"

	"swiftbeam/pkg/clock"
)

// Zone is what one availability zone has and sells of one service.
type Zone struct {
	Name  string
	Price float64
	// OnDemand and Spot are the replicas that serve; those being taken back are not counted.
	OnDemand int
	Spot     int
	// SpotStarting are ordered spot replicas that are expected to serve soon.
	SpotStarting int
	// SoldOutUntil is the instant until which no spot replica is asked for.
	SoldOutUntil clock.Instant
}

// ZoneTarget is the number of replicas to order in a zone.
type ZoneTarget struct {
	Zone     string
	OnDemand int
	Spot     int
}

// Bounds of the replicas in one zone, of both kinds together.
type Bounds struct {
	Min int
	Max int
	// SpotPrice is the price of a spot replica as a part of the on-demand price; zero where none
	// are sold.
	SpotPrice float64
}

// Mix orders spot replicas in all zones and on-demand ones where those do not suffice. Spot
// replicas are taken back a zone at a time, and for a while none may be had anywhere, so the
// replicas that serve must meet the need without the zone that has most spot replicas.
//
// It answers a load that varies within seconds on replicas that take seconds to boot, at prices
// where an on-demand replica costs several spot ones.
type Mix struct {
	wants  map[string]*ZoneTarget
	enough clock.Instant
	// peaks are the needs of the last seconds, newest last.
	peaks []peak
}

type peak struct {
	at   clock.Instant
	need int
}

const (
	// keepSurplus is how long on-demand replicas stay after spot replicas suffice.
	keepSurplus = 3 * clock.Second
	// keepPeak is how long a need is taken to come again.
	keepPeak = 8 * clock.Second
	// lossPart is the part of a zone's spot replicas whose loss must leave the need covered: the
	// need holds two fifths in reserve.
	lossPart = 0.4
	// spotMargin is the part by which spot replicas exceed the need, as they cost little.
	spotMargin = 1.25
)

// Decide returns what to order in each zone, in the order of zones.
func (m *Mix) Decide(now clock.Instant, need int, b Bounds, zones []Zone) []ZoneTarget {
	if m.wants == nil {
		m.wants = make(map[string]*ZoneTarget)
	}
	for _, z := range zones {
		if m.wants[z.Name] == nil {
			m.wants[z.Name] = &ZoneTarget{Zone: z.Name, OnDemand: z.OnDemand, Spot: z.Spot}
		}
	}
	need = m.recent(now, need)
	m.wantSpot(now, need, b, zones)
	m.wantOnDemand(now, need, b, zones)
	var out []ZoneTarget
	for _, z := range zones {
		out = append(out, *m.wants[z.Name])
	}
	return out
}

// recent returns the largest need of the last seconds.
func (m *Mix) recent(now clock.Instant, need int) int {
	m.peaks = slices.DeleteFunc(m.peaks, func(p peak) bool { return now.Sub(p.at) > keepPeak || p.need <= need })
	m.peaks = append(m.peaks, peak{at: now, need: need})
	return m.peaks[0].need
}

// wantSpot spreads spot replicas evenly, so that what remains without any one zone exceeds the
// need. A zone that is sold out keeps its order for later.
func (m *Mix) wantSpot(now clock.Instant, need int, b Bounds, zones []Zone) {
	if b.SpotPrice <= 0 || len(zones) == 0 {
		return
	}
	others := max(len(zones)-1, 1)
	each := int(math.Ceil(spotMargin * float64(need) / float64(others)))
	for _, z := range zones {
		w := m.wants[z.Name]
		if z.SoldOutUntil.After(now) {
			continue
		}
		w.Spot = max(min(each, b.Max-w.OnDemand), 0)
	}
}

// safe returns the spot replicas to count on: without a part of the zone that has most, as those
// that remain carry more than their share until ordered ones have booted.
func safe(spots []int) int {
	total, most := 0, 0
	for _, n := range spots {
		total += n
		most = max(most, n)
	}
	return total - int(math.Ceil(lossPart*float64(most)))
}

// wantOnDemand fills what spot replicas leave open, and gives it back once they suffice.
func (m *Mix) wantOnDemand(now clock.Instant, need int, b Bounds, zones []Zone) {
	var serving, expected []int
	have := 0
	for _, z := range zones {
		serving = append(serving, z.Spot)
		expected = append(expected, z.Spot+z.SpotStarting)
		have += m.wants[z.Name].OnDemand
	}
	low := max(need-safe(expected), 0)
	high := max(need-safe(serving), 0)
	switch {
	case have < low:
		m.enough = 0
		m.add(low-have, b, zones)
	case have > high:
		if m.enough == 0 {
			m.enough = now
		}
		if now.Sub(m.enough) >= keepSurplus {
			m.drop(have-high, b, zones)
		}
	default:
		m.enough = 0
	}
	for _, z := range zones {
		// A zone that had all its spot replicas taken back keeps its least number.
		w := m.wants[z.Name]
		if z.SoldOutUntil.After(now) && z.Spot+w.OnDemand < b.Min {
			w.OnDemand = b.Min - z.Spot
		}
	}
}

// add orders more on demand, one at a time where there are fewest, the cheapest first.
func (m *Mix) add(n int, b Bounds, zones []Zone) {
	for range n {
		var best *ZoneTarget
		lowest := math.Inf(1)
		for _, z := range zones {
			w := m.wants[z.Name]
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

// drop gives on-demand replicas back, the dearest first.
func (m *Mix) drop(n int, b Bounds, zones []Zone) {
	byPrice := slices.Clone(zones)
	slices.SortFunc(byPrice, func(x, y Zone) int { return cmp.Compare(y.Price, x.Price) })
	for _, z := range byPrice {
		w := m.wants[z.Name]
		for n > 0 && w.OnDemand > 0 && w.OnDemand-1+z.Spot >= max(b.Min, 1) {
			w.OnDemand--
			n--
		}
	}
}

// TokenDemand is what one second asks of the engines of a service.
type TokenDemand struct {
	// Prefill are prompt tokens to read, Output the tokens to generate.
	Prefill float64
	Output  float64
}

const (
	// utilization is the part of an engine's time that may be in use on the mean, so that first
	// answers come in time while requests arrive in clumps.
	utilization = 0.6
	// prefillRate and outputRate are the tokens that an engine reads or generates in a second, at
	// a batch of two dozen.
	prefillRate = 55_000
	outputRate  = 4_000
)

// RequiredReplicas returns the replicas that carry the work.
func RequiredReplicas(w TokenDemand) int {
	return int(math.Ceil((w.Prefill/prefillRate + w.Output/outputRate) / utilization))
}
