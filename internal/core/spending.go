package core

import (
	"context"
	"maps"
	"slices"
	"time"

	"swiftbeam/internal/fault"
	"swiftbeam/internal/quota"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// spendingInterval is the minimum time between two records of what accounts have spent, and the interval at which the leader
// checks whether one is due.
const spendingInterval = 100 * clock.Millisecond

// requestRecord requests a record of spending without delay.
func (c *Core) requestRecord() {
	select {
	case c.recordNeeded <- struct{}{}:
	default:
	}
}

// runRecords records what accounts have spent, as the leader and the entry daemons that know it may be lost together.
func (c *Core) runRecords(ctx context.Context) {
	ticker := time.NewTicker(spendingInterval.Std())
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-c.recordNeeded:
		}
		recorded, err := c.recordSpending(ctx)
		if err != nil {
			c.log.Info("could not record what accounts have spent", "error", err.Error())
		}
		if recorded {
			runner.Pause(ctx, spendingInterval)
		}
	}
}

// recordSpending commits what accounts have spent of their quotas, and reports whether there was anything to commit. A new
// leader first takes over what was recorded.
func (c *Core) recordSpending(ctx context.Context) (bool, error) {
	set := c.ruleSet.Load()
	if set == nil || !c.isLeader() {
		return false, nil
	}
	term := c.Store.Status().Term
	c.mu.Lock()
	current, inherited := c.duties.term == term, c.duties.inheritedSpending
	c.mu.Unlock()
	if !current {
		return false, nil
	}
	if !inherited {
		// Once this record is committed, all earlier ones are applied, and later ones of earlier leaders are stale.
		if err := c.proposeSpending(ctx, state.RecordSpending{Term: term}); err != nil {
			return true, err
		}
		c.inheritSpending(term)
		return true, nil
	}
	now, clusterTime := c.clock.Now(), c.Follower.ClusterTime()
	c.mu.Lock()
	var due []quota.Record
	if c.duties.term == term {
		due = c.duties.allocator.Due(now, clusterTime, set)
	}
	c.mu.Unlock()
	if len(due) == 0 {
		return false, nil
	}
	if err := c.proposeSpending(ctx, state.RecordSpending{Term: term, Records: due}); err != nil {
		return true, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.duties.term == term {
		c.duties.allocator.Recorded(due)
	}
	return true, nil
}

func (c *Core) proposeSpending(ctx context.Context, body state.RecordSpending) error {
	result, err := c.propose(ctx, body)
	if err == nil && result.Code != state.Done {
		return fault.New(fault.Unavailable, "spending was not recorded: %s", result.Detail).Remedy("none; the present leader records it")
	}
	return err
}

// inheritSpending takes over what earlier leaders recorded.
func (c *Core) inheritSpending(term uint64) {
	now, clusterTime := c.clock.Now(), c.Follower.ClusterTime()
	var records []quota.Record
	c.Store.View(func(s *state.State) { records = slices.Collect(maps.Values(s.Spending)) })
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.duties.term != term {
		return
	}
	al := &c.duties.allocator
	if al.SpendingUnknown {
		al.Restore(now, clusterTime, records)
	}
	al.Inherit(now, clusterTime, records)
	c.duties.inheritedSpending = true
	c.log.Info("records of spending taken over", "term", term, "accounts", len(records), "sumsOnly", al.SpendingUnknown, "ms", int64(now.Sub(al.StartedAt)))
}
