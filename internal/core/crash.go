package core

import (
	"swiftbeam/internal/crash"
	"swiftbeam/internal/state"
)

// crashTraffic returns the traffic of a service as the entry daemons reported it.
func (c *Core) crashTraffic(service string) crash.Traffic {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.duties.services[service]
	if m == nil {
		return crash.Traffic{}
	}
	return crash.Traffic{PerSecond: m.rate(now, &m.sent), Completed: m.completed}
}

// crashChanges returns the changes of the traits of requests that crash servers since a revision.
func (c *Core) crashChanges(since uint64) crash.Changes {
	var changes crash.Changes
	c.Store.View(func(s *state.State) { changes = s.Crashes.Since(since) })
	return changes
}
