package core

import (
	"context"

	"swiftbeam/internal/quota"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// spendingInterval is the interval at which the leader checks whether what accounts have spent is to be recorded.
const spendingInterval = 100 * clock.Millisecond

// recordSpending commits what accounts have spent of their quotas, as the leader and the entry daemons that know it may be
// lost together.
func (c *Core) recordSpending(ctx context.Context) {
	set := c.ruleSet.Load()
	if set == nil || !c.isLeader() || c.draining.Load() {
		return
	}
	now, clusterTime, term := c.clock.Now(), c.Follower.ClusterTime(), c.Store.Status().Term
	c.mu.Lock()
	var due []quota.Record
	if c.duties.term == term {
		due = c.duties.allocator.Due(now, clusterTime, set)
	}
	c.mu.Unlock()
	if len(due) == 0 {
		return
	}
	if _, err := c.propose(ctx, state.RecordSpending{Records: due}); err != nil {
		c.log.Info("could not record what accounts have spent", "accounts", len(due), "error", err.Error())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.duties.term == term {
		c.duties.allocator.Recorded(due)
	}
}

// restoreSpending takes over what was recorded before this process was restarted. The caller holds the lock.
func (c *Core) restoreSpending(now clock.Instant) {
	clusterTime := c.Follower.ClusterTime()
	var records []quota.Record
	c.Store.View(func(s *state.State) {
		for _, r := range s.Spending {
			records = append(records, r)
		}
	})
	c.duties.allocator.Restore(now, clusterTime, records)
	for _, r := range records {
		c.log.Info("record of spending restored", "account", r.Account, "ageMs", int64(clusterTime.Sub(r.At)))
	}
}
