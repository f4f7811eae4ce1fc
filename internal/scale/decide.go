package scale

import (
	"cmp"
	"slices"

	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// DecideInputs is what one service has and may buy.
type DecideInputs struct {
	Now    clock.Instant
	Floor  int
	Offers []Offer
	// Servers are the present servers of the service that may receive work, of all versions.
	Servers []fleet.Backend
	// Starting are the replicas ordered in each zone that have not announced themselves.
	Starting map[string]int
	// Versions are those that must keep a server outside of any one zone, because they move.
	Versions []string
}

// Action changes the capacity of a service.
type Action struct {
	Zone string
	// Start is the number of replicas to start; Stop is the address of a server to stop.
	Start int
	Stop  string
}

// stopDelay is how long a surplus must last before a server is stopped.
const stopDelay = 5 * clock.Minute

// Controller decides the actions of one service over time. The zero value is ready to use.
type Controller struct {
	Forecast Forecast
	Backoffs map[string]*Backoff
	// refusedUntil keeps the zones out that refused a start.
	refusedUntil map[string]clock.Instant
	surplusSince clock.Instant
}

// lead is how far ahead capacity is planned: a VM must start and load its weights in that time.
const lead = 10 * clock.Minute

// Decide returns the actions that lead from the present servers to the plan. Demand is the number
// of requests that run or wait now, and perReplica what one replica carries.
func (c *Controller) Decide(m DecideInputs, demand, perReplica float64) []Action {
	c.Forecast.Observe(m.Now, demand)
	need := c.Forecast.Replicas(m.Now, lead, perReplica)
	for i := range m.Offers {
		m.Offers[i].RefusedUntil = c.refusedUntil[m.Offers[i].Zone]
	}
	want := make(map[string]int)
	for _, b := range Plan(PlanInputs{Now: m.Now, Required: need, Floor: m.Floor, Offers: m.Offers}) {
		want[b.Zone] += b.Replicas
	}
	have := make(map[string]int)
	for i := range m.Servers {
		have[m.Servers[i].Zone]++
	}
	actions := starts(want, have, m.Starting)
	if len(actions) > 0 {
		c.surplusSince = 0
		return actions
	}
	return c.stops(m, want, have)
}

func starts(want, have, starting map[string]int) []Action {
	var actions []Action
	for zone, n := range want {
		if lacking := n - have[zone] - starting[zone]; lacking > 0 {
			actions = append(actions, Action{Zone: zone, Start: lacking})
		}
	}
	slices.SortFunc(actions, func(a, b Action) int { return cmp.Compare(a.Zone, b.Zone) })
	return actions
}

// stops returns the servers above the plan, once a surplus has lasted.
func (c *Controller) stops(m DecideInputs, want, have map[string]int) []Action {
	var actions []Action
	for _, b := range m.Servers {
		if have[b.Zone] > want[b.Zone] && !c.lastOfMove(m, b) {
			have[b.Zone]--
			actions = append(actions, Action{Zone: b.Zone, Stop: b.Address})
		}
	}
	switch {
	case len(actions) == 0:
		c.surplusSince = 0
		return nil
	case c.surplusSince == 0:
		c.surplusSince = m.Now
		return nil
	case m.Now.Sub(c.surplusSince) < stopDelay:
		return nil
	}
	c.surplusSince = 0
	return actions
}

// lastOfMove reports whether b is the only server, or the only one outside of some zone, of a
// version in a move.
func (c *Controller) lastOfMove(m DecideInputs, b fleet.Backend) bool {
	if !slices.Contains(m.Versions, b.Version) {
		return false
	}
	var others []Placement
	for _, s := range m.Servers {
		if s.Version == b.Version && s.Address != b.Address {
			others = append(others, Placement{Zone: s.Zone, Version: s.Version})
		}
	}
	return len(others) == 0 || OnlyInZone(others, others[0].Zone, b.Version)
}

// RecordRefusal records that a zone refused a start.
func (c *Controller) RecordRefusal(now clock.Instant, zone string) {
	if c.Backoffs == nil {
		c.Backoffs = make(map[string]*Backoff)
		c.refusedUntil = make(map[string]clock.Instant)
	}
	if c.Backoffs[zone] == nil {
		c.Backoffs[zone] = &Backoff{}
	}
	c.refusedUntil[zone] = c.Backoffs[zone].Next(now)
}

// RecordStart records that a zone took a start.
func (c *Controller) RecordStart(zone string) {
	if b := c.Backoffs[zone]; b != nil {
		b.Reset()
	}
}
