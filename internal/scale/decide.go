package scale

import (
	"cmp"
	"slices"

	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// DecideInputs are the inputs of one decision about a service: its servers and what may be bought.
type DecideInputs struct {
	Now    clock.Instant
	Floor  int
	Offers []Offer
	// Servers are the servers of the service that may receive requests, of all versions.
	Servers []fleet.Backend
	// Starting is the number of ordered replicas in each zone that have not announced themselves yet.
	Starting map[string]int
	// Versions are the versions of a running version move. Each must keep a server outside of any one
	// zone.
	Versions []string
}

// Action changes the capacity of a service.
type Action struct {
	Zone string
	// Start is the number of replicas to start; Stop is the address of a server to stop.
	Start int
	Stop  string
}

// stopDelay is how long a surplus must last before servers are stopped.
const stopDelay = 5 * clock.Minute

// Controller decides when to start and stop the replicas of one service. The zero value is ready to
// use.
type Controller struct {
	Forecast Forecast
	Backoffs map[string]*Backoff
	// refusedUntil is the time until which a zone that refused a start is not used.
	refusedUntil map[string]clock.Instant
	surplusSince clock.Instant
}

// planAhead is how far ahead capacity is planned. Within it a VM must start and load its weights.
const planAhead = 10 * clock.Minute

// Decide returns the actions that change the present servers to the planned ones. Demand is the number
// of requests that run or wait now, and perReplica the number that one replica serves at once.
func (c *Controller) Decide(m DecideInputs, demand, perReplica float64) []Action {
	c.Forecast.Observe(m.Now, demand)
	required := c.Forecast.Replicas(m.Now, planAhead, perReplica)
	for i := range m.Offers {
		m.Offers[i].RefusedUntil = c.refusedUntil[m.Offers[i].Zone]
	}
	want := make(map[string]int)
	for _, b := range Plan(PlanInputs{Now: m.Now, Required: required, Floor: m.Floor, Offers: m.Offers}) {
		want[b.Zone] += b.Replicas
	}
	have := make(map[string]int)
	for i := range m.Servers {
		have[m.Servers[i].Zone]++
	}
	actions := startActions(want, have, m.Starting)
	if len(actions) > 0 {
		c.surplusSince = 0
		return actions
	}
	return c.stopActions(m, want, have)
}

func startActions(want, have, starting map[string]int) []Action {
	var actions []Action
	for zone, n := range want {
		if missing := n - have[zone] - starting[zone]; missing > 0 {
			actions = append(actions, Action{Zone: zone, Start: missing})
		}
	}
	slices.SortFunc(actions, func(a, b Action) int { return cmp.Compare(a.Zone, b.Zone) })
	return actions
}

// stopActions returns the actions that stop surplus servers, once the surplus has lasted for stopDelay.
func (c *Controller) stopActions(m DecideInputs, want, have map[string]int) []Action {
	var actions []Action
	for _, b := range m.Servers {
		if have[b.Zone] > want[b.Zone] && !c.isNeededByMove(m, b) {
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

// isNeededByMove reports whether b must not be stopped because of a running move: b belongs to one of
// its versions, which without it would have no server, or servers in a single zone only.
func (c *Controller) isNeededByMove(m DecideInputs, b fleet.Backend) bool {
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

// RecordRefusal records that a zone refused a start. The zone is not used until its backoff ends.
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

// RecordStart records that a zone accepted a start, which resets its backoff.
func (c *Controller) RecordStart(zone string) {
	if b := c.Backoffs[zone]; b != nil {
		b.Reset()
	}
}
