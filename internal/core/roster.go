package core

import (
	"context"
	"maps"

	"swiftbeam/internal/enrol"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// expireInterval is the interval between checks for servers that have stopped announcing themselves.
const expireInterval = 400 * clock.Millisecond

// Enrol processes the announcement of a backend server. A change is published to the followers before Enrol
// returns, and the departure of a server is recorded durably. The first announcement that a server leaves waits
// for that; others wait for nothing.
func (c *Core) Enrol(ctx context.Context, r enrol.Record) error {
	if err := c.checkRecord(&r); err != nil {
		return err
	}
	if err := c.checkFollowed(); err != nil {
		return err
	}
	if err := c.mergeAnnouncement(r); err != nil {
		return err
	}
	if r.State < enrol.Leaving {
		return nil
	}
	return c.recordDeparture(ctx, &r)
}

// checkRecord completes the record of an announcement. It returns an error if it cannot be one of a backend server.
func (c *Core) checkRecord(r *enrol.Record) error {
	r.HeardAt = c.clock.Now()
	if r.ReclaimAt > 0 {
		r.ReclaimAt = r.HeardAt.Add(clock.Duration(r.ReclaimAt))
	}
	if err := r.Check(r.HeardAt); err != nil {
		return err
	}
	if r.ColdFor > 0 {
		r.ColdUntil = r.HeardAt.Add(r.ColdFor)
	}
	return nil
}

// mergeAnnouncement merges the record of an announcement unless it contradicts what is known of the servers.
func (c *Core) mergeAnnouncement(r enrol.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.admit(r.HeardAt, &r); err != nil {
		return err
	}
	c.mergeRecord(r, true)
	return nil
}

// admit returns an error if the announcement contradicts what is known of the servers.
func (c *Core) admit(now clock.Instant, r *enrol.Record) error {
	if r.Born == 0 && c.expectsStartTime(now, r.ID) {
		return fault.New(fault.Invalid, "the announcement of %q lacks the start time", r.ID).Remedy("send all fields")
	}
	if err := c.table.Admit(r); err != nil {
		return err
	}
	if c.knowsService(r.Service) {
		return nil
	}
	// The rules may name the service later. Until then, the announcement replaces no server in use.
	for _, old := range []*enrol.Record{c.table.ByID[r.ID], c.table.UsableAt(r.Address)} {
		if old != nil && c.table.Usable(old) && c.knowsService(old.Service) {
			return fault.New(fault.Invalid, "the announcement of %q names the service %.64q, which is not in the rules, in place of %q at %s", r.ID, r.Service, old.ID, old.Address).
				Remedy("name a service of the rules")
		}
	}
	return nil
}

// knowsService reports whether the rules contain a service.
func (c *Core) knowsService(name string) bool {
	set := c.ruleSet.Load()
	return set != nil && set.Service(name) != nil
}

// expectsStartTime reports whether a server that sends no start time should: it has sent one, or at least as many
// servers that are heard from send one as do not.
func (c *Core) expectsStartTime(now clock.Instant, id string) bool {
	if r := c.table.ByID[id]; r != nil && r.Born > 0 && r.State != enrol.Silent {
		return true
	}
	c.withoutStart[id] = now
	with := 0
	for _, r := range c.table.ByID {
		if r.Born > 0 && r.State == enrol.Ready {
			with++
		}
	}
	return with >= len(c.withoutStart)
}

// mergeRecord merges a record into the table and publishes the result. Direct is set for a record that
// was received from the server itself rather than from another core daemon.
func (c *Core) mergeRecord(r enrol.Record, direct bool) {
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
	c.announcedDirectly[r.ID] = direct
	changed := old == nil || before.State != now.State || before.Born != now.Born || before.Address != now.Address ||
		before.ReclaimAt == 0 && now.ReclaimAt > 0 || c.coldChanged(&before, now)
	if changed {
		c.log.Info("backend server", "server", now.ID, "service", now.Service, "address", now.Address, "zone", now.Zone,
			"state", now.State.String(), "sequence", now.Sequence, "born", int64(now.Born), "spot", now.Spot, "direct", direct)
	}
	c.Source.Publish(now, changed)
}

// coldTolerance is the difference between two announced ends of a cold time that is due to the time on the way.
const coldTolerance = 300 * clock.Millisecond

// coldChanged reports whether a server turned cold, or warm before the announced time, in a service whose cold servers
// take few requests.
func (c *Core) coldChanged(before, now *enrol.Record) bool {
	set := c.ruleSet.Load()
	if set == nil {
		return false
	}
	if s := set.Service(now.Service); s == nil || s.ColdPerSecond <= 0 {
		return false
	}
	return now.ColdUntil.Sub(max(before.ColdUntil, now.HeardAt)) > coldTolerance || before.ColdUntil.Sub(max(now.ColdUntil, now.HeardAt)) > coldTolerance
}

// checkFollowed returns an error if entry daemons may not receive what this daemon publishes: they follow
// the members of the group, and a daemon without a leader may have been removed from it.
func (c *Core) checkFollowed() error {
	if c.leaderAddress() != "" || c.Source.Entries() > 0 {
		return nil
	}
	return noContactError()
}

func noContactError() error {
	return fault.New(fault.Unavailable, "this daemon has no contact with the group").Remedy("call another daemon").WithRetryAfter(1)
}

// Deregister marks a backend server as removed (state Gone), at the request of the server. It returns once the
// departure is recorded durably.
func (c *Core) Deregister(ctx context.Context, id string, startTime clock.Instant) error {
	r := enrol.Record{ID: id, State: enrol.Gone, Born: startTime, HeardAt: c.clock.Now()}
	if err := r.Check(r.HeardAt); err != nil {
		return err
	}
	if err := c.checkFollowed(); err != nil {
		return err
	}
	c.mergeFarewell(&r)
	return c.recordDeparture(ctx, &r)
}

// mergeFarewell completes and merges the record of a server that deregisters. Without a start time, it is about the
// last known start.
func (c *Core) mergeFarewell(r *enrol.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.table.ByID[r.ID]; old != nil {
		r.Sequence = old.Sequence
		if r.Born == 0 {
			r.Born = old.Born
		}
		if r.Born == old.Born {
			r.CopyServer(old)
		}
	}
	c.mergeRecord(*r, true)
}

// receiveServers merges the records that another core daemon received. An invalid one is left out.
func (c *Core) receiveServers(address string, list []*peerpb.ServerRecord) {
	if len(list) == 0 {
		return
	}
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range list {
		r, err := wire.RecordFromPB(now, m)
		if err == nil {
			err = c.table.Admit(&r)
		}
		if err == nil {
			c.mergeRecord(r, false)
		} else if c.rejections.Add(now, r.ID) {
			c.log.Error(err, "backend server rejected", "from", address)
		}
	}
}

// expire marks servers as silent that have stopped announcing themselves. Only the leader and the
// daemon that received a server's last announcement publish the change.
func (c *Core) expire() {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	since := now.Add(-enrol.SilentIntervals * announcementInterval)
	for _, r := range c.table.Expire(now, since) {
		if c.announcedDirectly[r.ID] || c.isLeader() {
			c.log.Info("backend server silent", "server", r.ID, "service", r.Service, "address", r.Address, "lastSequence", r.Sequence)
			c.Source.Publish(r, true)
		}
	}
	maps.DeleteFunc(c.withoutStart, func(_ string, at clock.Instant) bool { return at.Before(since) })
	for id := range c.announcedDirectly {
		if c.table.ByID[id] == nil {
			delete(c.announcedDirectly, id)
			c.Source.Remove(id)
			c.duties.limits.Forget(id)
		}
	}
}
