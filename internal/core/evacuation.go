package core

import (
	"context"

	"swiftbeam/internal/fault"
	"swiftbeam/internal/state"
	"swiftbeam/internal/valid"
	"swiftbeam/pkg/clock"
)

// rosterTime is the time from the start of a core daemon after which it has received the announcements of all backend
// servers, so that a zone which none of them names is unknown.
const rosterTime = 10 * clock.Second

// Evacuate commits an operator's request to send nothing more to the backend servers of an availability zone. A repeated
// request is acknowledged and changes nothing.
func (c *Core) Evacuate(ctx context.Context, zone, by string) error {
	if err := checkZone(zone); err != nil {
		return err
	}
	if !c.mayExist(zone) {
		return fault.New(fault.Invalid, "no server, daemon or price is in the availability zone %s", valid.Quote(zone)).
			Remedy("check the name, for instance against the zones of the rules")
	}
	return c.changeEvacuation(ctx, zone, "zone evacuated", func(seen *clock.Instant) state.Body {
		return state.EvacuateZone{Zone: zone, By: operatorName(by), At: c.Follower.ClusterTime(), Seen: seen}
	})
}

// ReturnZone commits an operator's request to end the evacuation of an availability zone.
func (c *Core) ReturnZone(ctx context.Context, zone, by string) error {
	if err := checkZone(zone); err != nil {
		return err
	}
	return c.changeEvacuation(ctx, zone, "zone returned", func(seen *clock.Instant) state.Body {
		return state.ReturnZone{Zone: zone, By: operatorName(by), At: c.Follower.ClusterTime(), Seen: seen}
	})
}

func checkZone(zone string) error {
	if zone == "" || !valid.IsText(zone) {
		return fault.New(fault.Invalid, "%s is no name of an availability zone", valid.Quote(zone)).Remedy("send 1 to 256 printable characters")
	}
	return nil
}

// operatorName returns the name of an operator as it is recorded. An unusable one does not hold up the order.
func operatorName(by string) string {
	if !valid.IsText(by) {
		return ""
	}
	return by
}

// changeEvacuation commits an order about a zone, with the message for the log once it is committed.
func (c *Core) changeEvacuation(ctx context.Context, zone, message string, order func(seen *clock.Instant) state.Body) error {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout.Std()+commitTimeout.Std())
	defer cancel()
	result, err := repeatStale(func() (state.Result, error) {
		var seen clock.Instant
		c.Store.View(func(s *state.State) { seen = s.Evacuations[zone].Since })
		return c.propose(ctx, order(&seen))
	})
	if err != nil {
		c.log.Info("evacuation not committed", "zone", zone, "what", message, "error", err.Error())
		return err
	}
	c.awaitVoters(ctx)
	c.log.Info(message, "zone", zone, "revision", result.Version, "repeated", result.Code == state.Existing)
	return nil
}

// mayExist reports whether an availability zone is known, or may be as this daemon does not know all of them yet.
func (c *Core) mayExist(zone string) bool {
	set := c.ruleSet.Load()
	if set == nil || zone == c.Settings.Zone || !c.joiner.CaughtUp.Load() || c.clock.Now().Sub(c.started) < rosterTime {
		return true
	}
	for _, m := range c.Store.Status().Members {
		if m.Zone == zone {
			return true
		}
	}
	for i := range set.Services {
		if s := set.Services[i].Scaling; s != nil {
			if _, ok := s.ZonePrices[zone]; ok {
				return true
			}
		}
	}
	known := false
	c.Store.View(func(s *state.State) { _, known = s.Evacuations[zone] })
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.table.ByID {
		known = known || r.Zone == zone
	}
	return known || len(c.table.ByID) == 0
}

// evacuated returns the availability zones that are evacuated.
func (c *Core) evacuated() map[string]bool {
	zones := make(map[string]bool)
	c.Store.View(func(s *state.State) {
		for _, e := range s.Evacuations {
			if e.Evacuated {
				zones[e.Zone] = true
			}
		}
	})
	return zones
}

// Evacuations returns the evacuated zones and those that were, after committing a barrier.
func (c *Core) Evacuations(ctx context.Context) ([]state.Evacuation, error) {
	if _, err := c.propose(ctx, state.Barrier{}); err != nil {
		return nil, err
	}
	return c.sharedState().Evacuations, nil
}
