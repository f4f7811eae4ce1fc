package core

import (
	"swiftbeam/internal/crash"
	"swiftbeam/internal/enrol"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
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

// announcedAt returns the time up to which announcements of a start of a server have arrived, by the clock that the daemons
// agree on. It is zero if the start is not known, or if its start time is not, as another start cannot be told from it.
func (c *Core) announcedAt(_, startID string) clock.Instant {
	now, clusterTime := c.clock.Now(), c.Follower.ClusterTime()
	id, born := crash.SplitStartID(startID)
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.table.ByID[id]
	if r == nil || r.Born == 0 || int64(r.Born) != born || r.State != enrol.Ready || r.UpAt == 0 {
		return 0
	}
	return clusterTime.Add(r.UpAt.Sub(now))
}

// crashChanges returns the changes of the traits of requests that crash servers since a revision.
func (c *Core) crashChanges(since uint64) crash.Changes {
	var changes crash.Changes
	c.Store.View(func(s *state.State) { changes = s.Crashes.Since(since) })
	return changes
}
