package core

import (
	"context"
	"time"

	"swiftbeam/internal/fault"
	"swiftbeam/internal/quota"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

const (
	// spendingInterval is the interval at which the leader checks whether what accounts have spent is to be recorded,
	// spendingPause the minimum time between two records.
	spendingInterval = 100 * clock.Millisecond
	spendingPause    = 10 * clock.Millisecond
)

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
		if err := c.recordSpending(ctx); err != nil {
			c.log.Info("could not record what accounts have spent", "error", err.Error())
		}
		runner.Pause(ctx, spendingPause)
	}
}

// recordSpending commits what accounts have spent of their quotas. A new leader first takes over what was recorded.
func (c *Core) recordSpending(ctx context.Context) error {
	set := c.ruleSet.Load()
	if set == nil || !c.isLeader() || c.draining.Load() {
		return nil
	}
	term := c.Store.Status().Term
	c.mu.Lock()
	current, inherited := c.duties.term == term, c.duties.inheritedSpending
	c.mu.Unlock()
	if !current {
		return nil
	}
	if !inherited {
		// Once this record is committed, all earlier ones are applied, and no earlier leader can add one.
		if err := c.proposeSpending(ctx, state.RecordSpending{Term: term}); err != nil {
			return err
		}
		c.inheritSpending(term)
	}
	now, clusterTime := c.clock.Now(), c.Follower.ClusterTime()
	c.mu.Lock()
	if c.duties.term != term {
		c.mu.Unlock()
		return nil
	}
	body := state.RecordSpending{Term: term, Records: c.duties.allocator.Due(now, clusterTime, set), Runs: c.duties.allocator.DueRuns(now, clusterTime)}
	c.mu.Unlock()
	if len(body.Records) == 0 && len(body.Runs) == 0 {
		return nil
	}
	if err := c.proposeSpending(ctx, body); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.duties.term == term {
		c.duties.allocator.Recorded(body.Records)
		c.duties.allocator.RunsRecorded(body.Runs)
	}
	return nil
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
	var runs []quota.RunRecord
	c.Store.View(func(s *state.State) {
		for _, r := range s.Spending {
			records = append(records, r)
		}
		for run, endedAt := range s.QuotaRuns {
			runs = append(runs, quota.RunRecord{Run: run, EndedAt: endedAt})
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.duties.term != term {
		return
	}
	c.duties.inheritedSpending = true
	al := &c.duties.allocator
	if al.SpendingUnknown && len(runs) == 0 {
		al.Restore(now, clusterTime, records)
	}
	al.Inherit(now, clusterTime, records, runs)
	c.log.Info("records of spending taken over", "term", term, "accounts", len(records), "runs", len(runs), "missing", al.MissingRuns(), "ms", int64(now.Sub(al.StartedAt)))
	for _, r := range records {
		c.log.Info("record of spending taken over", "account", r.Account, "authorized", int64(r.Authorized), "ageMs", int64(clusterTime.Sub(r.At)))
	}
}
