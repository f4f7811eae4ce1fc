package core

import (
	"context"

	"swiftbeam/internal/enrol"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// expireEvery is how often silent servers are looked for.
const expireEvery = 400 * clock.Millisecond

// Enrol takes an announcement of a backend server and passes on what it changes before it returns.
func (c *Core) Enrol(_ context.Context, r enrol.Record) error {
	now := c.clock.Now()
	r.HeardAt = now
	if r.ReclaimAt > 0 {
		r.ReclaimAt = now.Add(clock.Duration(r.ReclaimAt))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Born == 0 && c.bornKnown() {
		return fault.New(fault.Invalid, "the announcement of %q does not tell its start", r.ID).Remedy("send all fields")
	}
	c.take(r, true)
	return nil
}

// bornKnown reports whether servers of this deployment tell when they started.
func (c *Core) bornKnown() bool {
	for _, r := range c.table.ByID {
		if r.Born > 0 {
			return true
		}
	}
	return false
}

// take merges a record and publishes what followers need.
func (c *Core) take(r enrol.Record, direct bool) {
	old := c.table.ByID[r.ID]
	before := enrol.Record{}
	if old != nil {
		before = *old
	}
	if !c.table.Merge(r) {
		if old != nil && direct && old.Born == r.Born && old.State < enrol.Leaving {
			old.HeardAt = r.HeardAt
		}
		return
	}
	now := c.table.ByID[r.ID]
	moved := direct != c.direct[r.ID]
	c.direct[r.ID] = direct
	changed := old == nil || before.State != now.State || before.Born != now.Born || before.Address != now.Address ||
		before.ReclaimAt == 0 && now.ReclaimAt > 0
	if changed {
		c.log.Info("backend server", "server", now.ID, "service", now.Service, "address", now.Address, "zone", now.Zone,
			"state", now.State.String(), "sequence", now.Sequence, "born", int64(now.Born), "spot", now.Spot, "direct", direct)
	}
	c.Source.Publish(now, changed || direct && moved)
}

// Leave takes a backend server's word that it ends.
func (c *Core) Deregister(_ context.Context, id string, born clock.Instant) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := enrol.Record{ID: id, State: enrol.Gone, Born: born, HeardAt: c.clock.Now()}
	if old := c.table.ByID[id]; old != nil {
		r.Sequence = old.Sequence
		if born == 0 {
			r.Born = old.Born
		}
	}
	c.take(r, true)
	return nil
}

// hearServers merges what another core daemon heard.
func (c *Core) hearServers(list []*peerpb.ServerRecord) {
	if len(list) == 0 {
		return
	}
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range list {
		c.take(wire.RecordFromPB(now, m), false)
	}
}

// expire marks the servers silent that announced themselves here last and no longer do.
func (c *Core) expire() {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	since := now.Add(-enrol.SilentIntervals * announcedEvery)
	for _, r := range c.table.Expire(now, since) {
		if c.direct[r.ID] || c.leads() {
			c.log.Info("backend server silent", "server", r.ID, "service", r.Service, "address", r.Address, "lastSequence", r.Sequence)
			c.Source.Publish(r, true)
		}
	}
	for id := range c.direct {
		if c.table.ByID[id] == nil {
			delete(c.direct, id)
			c.Source.Withdraw(id)
		}
	}
}
