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
	// SoldOut is the instant until which no spot replica is asked for.
	SoldOut clock.Instant
}

// Want is the number of replicas to order in a zone.
type Want struct {
	Zone     string
	OnDemand int
	Spot     int
}

// Bounds of the replicas in one zone, of both kinds together.
type Bounds struct {
	Least int
	Most  int
	// Boot is the time after which an ordered replica serves.
	Boot clock.Duration
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
	wants   map[string]*Want
	since   map[string]orderedAt
	enough  clock.Instant
	startAt clock.Instant
}

// orderedAt are the instants of the last larger orders of a zone.
type orderedAt struct{ spot, onDemand clock.Instant }

const (
	// keepSurplus is how long on-demand replicas stay after spot replicas suffice.
	keepSurplus = 3 * clock.Second
	// bootSlack is the time beyond the boot time in which an ordered replica is still expected.
	bootSlack = 2 * clock.Second
	// firstSurvey is the time in which a new leader hears from all servers.
	firstSurvey = 2 * clock.Second
)

// Decide returns what to order in each zone, ordered by name.
func (m *Mix) Decide(now clock.Instant, need int, b Bounds, zones []Zone) []Want {
	if m.wants == nil {
		m.wants = make(map[string]*Want)
		m.since = make(map[string]orderedAt)
		m.startAt = now
	}
	if now.Sub(m.startAt) < firstSurvey {
		return nil
	}
	for _, z := range zones {
		if m.wants[z.Name] == nil {
			m.wants[z.Name] = &Want{Zone: z.Name, OnDemand: z.OnDemand, Spot: z.Spot}
		}
	}
	m.wantSpot(now, need, b, zones)
	m.wantOnDemand(now, need, b, zones)
	var out []Want
	for _, z := range zones {
		out = append(out, *m.wants[z.Name])
	}
	slices.SortFunc(out, func(x, y Want) int { return cmp.Compare(x.Zone, y.Zone) })
	return out
}

// wantSpot spreads spot replicas evenly, so that what remains without any one zone meets the need.
func (m *Mix) wantSpot(now clock.Instant, need int, b Bounds, zones []Zone) {
	if b.SpotPrice <= 0 || len(zones) == 0 {
		return
	}
	others := max(len(zones)-1, 1)
	each := (need + others - 1) / others
	for _, z := range zones {
		w := m.wants[z.Name]
		count := max(min(each, b.Most-w.OnDemand), 0)
		if count < w.Spot && count+w.OnDemand < max(b.Least, 1) {
			count = max(b.Least, 1) - w.OnDemand
		}
		if z.SoldOut.After(now) {
			// Ask for no more than there are, and again later.
			count = min(count, z.Spot)
		}
		if count > w.Spot {
			at := m.since[z.Name]
			at.spot = now
			m.since[z.Name] = at
		}
		w.Spot = count
	}
}

// coming returns the replicas that serve or are expected soon.
func (m *Mix) coming(now clock.Instant, b Bounds, z Zone) (spot, onDemand int) {
	w, at := m.wants[z.Name], m.since[z.Name]
	spot, onDemand = z.Spot, z.OnDemand
	if at.spot > 0 && now.Sub(at.spot) < b.Boot+bootSlack {
		spot = max(spot, w.Spot)
	}
	if at.onDemand > 0 && now.Sub(at.onDemand) < b.Boot+bootSlack {
		onDemand = max(onDemand, w.OnDemand)
	}
	return spot, onDemand
}

// safe returns the spot replicas that remain without the zone that has most.
func safe(spots []int) int {
	total, most := 0, 0
	for _, n := range spots {
		total += n
		most = max(most, n)
	}
	return total - most
}

// wantOnDemand fills what spot replicas leave open, and gives it back once they suffice.
func (m *Mix) wantOnDemand(now clock.Instant, need int, b Bounds, zones []Zone) {
	var serving, expected []int
	have := 0
	for _, z := range zones {
		spot, _ := m.coming(now, b, z)
		serving = append(serving, z.Spot)
		expected = append(expected, spot)
		have += m.wants[z.Name].OnDemand
	}
	low := max(need-safe(expected), 0)
	high := max(need-safe(serving), 0)
	switch {
	case have < low:
		m.enough = 0
		m.add(now, low-have, b, zones)
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
		if z.SoldOut.After(now) && z.Spot+w.OnDemand < b.Least {
			m.order(now, w, b.Least-z.Spot)
		}
	}
}

func (m *Mix) order(now clock.Instant, w *Want, onDemand int) {
	if onDemand > w.OnDemand {
		at := m.since[w.Zone]
		at.onDemand = now
		m.since[w.Zone] = at
	}
	w.OnDemand = onDemand
}

// add orders more on demand, one at a time where there are fewest, the cheapest first.
func (m *Mix) add(now clock.Instant, n int, b Bounds, zones []Zone) {
	for range n {
		best := -1
		lowest := math.Inf(1)
		for i, z := range zones {
			w := m.wants[z.Name]
			if w.OnDemand+max(z.Spot, 0) >= b.Most {
				continue
			}
			if cost := float64(w.OnDemand) + z.Price/10; cost < lowest {
				best, lowest = i, cost
			}
		}
		if best < 0 {
			return
		}
		w := m.wants[zones[best].Name]
		m.order(now, w, w.OnDemand+1)
	}
}

// drop gives on-demand replicas back, the dearest first.
func (m *Mix) drop(n int, b Bounds, zones []Zone) {
	byPrice := slices.Clone(zones)
	slices.SortFunc(byPrice, func(x, y Zone) int { return cmp.Compare(y.Price, x.Price) })
	for _, z := range byPrice {
		w := m.wants[z.Name]
		for n > 0 && w.OnDemand > 0 && w.OnDemand-1+z.Spot >= max(b.Least, 1) {
			w.OnDemand--
			n--
		}
	}
}

// Work is what one second asks of the engines of a service.
type Work struct {
	// Prefill are prompt tokens to read, Output the tokens to generate.
	Prefill float64
	Output  float64
}

const (
	// utilization is the part of an engine's time that may be in use on the mean, so that first
	// answers come in time while requests arrive in clumps.
	utilization = 0.5
	// prefillRate and outputRate are the tokens that an engine reads or generates in a second, at
	// a batch of two dozen.
	prefillRate = 55_000
	outputRate  = 4_000
)

// Need returns the replicas that carry the work.
func Need(w Work) int {
	return int(math.Ceil((w.Prefill/prefillRate + w.Output/outputRate) / utilization))
}
