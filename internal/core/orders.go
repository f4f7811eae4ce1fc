package core

import (
	"context"
	"fmt"

	"swiftbeam/internal/fault"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// PutRules commits a new version of the rules. A version that is not newer than the present one is
// acknowledged and changes nothing.
func (c *Core) PutRules(ctx context.Context, set *rules.Set) error {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout.Std()+commitTimeout.Std())
	defer cancel()
	result, err := c.propose(ctx, state.PutRules{Version: set.Version, Text: set.Text})
	if err != nil {
		c.log.Info("rules not committed", "version", set.Version, "error", err.Error())
		return err
	}
	c.awaitVoters(ctx)
	c.log.Info("rules acknowledged", "version", set.Version, "newest", result.Version, "stale", result.Code == state.Stale)
	return nil
}

// propose commits a command within commitTimeout, before the client tries another daemon.
func (c *Core) propose(ctx context.Context, body state.Body) (state.Result, error) {
	short, cancel := context.WithTimeout(ctx, commitTimeout.Std())
	defer cancel()
	began := c.clock.Now()
	result, err := c.Store.Propose(short, body)
	if c.commitTimes != nil && err == nil {
		c.commitTimes.Update(int64(c.clock.Now().Sub(began)))
	}
	return result, err
}

// maxOrderTries is the number of times that an operator's order is decided anew because another one came between.
const maxOrderTries = 4

// repeatStale calls propose, which decides on an operator's order by the state that this daemon has seen and commits it, until no
// other order has come between.
func repeatStale(propose func() (state.Result, error)) (state.Result, error) {
	for range maxOrderTries {
		if result, err := propose(); err != nil || result.Code != state.Stale {
			return result, err
		}
	}
	return state.Result{}, fault.New(fault.Unavailable, "other orders for the same came between").Remedy("send the order again").WithRetryAfter(1)
}

// awaitVoters waits until the group has all its voters, so that an acknowledged change survives as
// many lost daemons as the settings require. It waits only within bootstrapTimeout of the daemon's
// start, so a group that stays smaller still acknowledges.
func (c *Core) awaitVoters(ctx context.Context) {
	for ctx.Err() == nil && c.clock.Now().Sub(c.started) < bootstrapTimeout {
		voters := 0
		for _, m := range c.Store.Status().Members {
			if m.Voter {
				voters++
			}
		}
		if voters > 2*c.Settings.Losses {
			return
		}
		runner.Pause(ctx, 20*clock.Millisecond)
	}
}

// Rules returns the newest rules. It first commits a barrier, which proves that no newer rules were
// committed before the call.
func (c *Core) Rules(ctx context.Context) (state.Rules, error) {
	if _, err := c.propose(ctx, state.Barrier{}); err != nil {
		c.log.Info("rules not read", "error", err.Error())
		return state.Rules{}, err
	}
	var newest state.Rules
	c.Store.View(func(s *state.State) { newest = s.Rules })
	if newest.Version == 0 {
		return newest, fault.New(fault.Unavailable, "there are no rules yet").Remedy("put the rules first").WithRetryAfter(1)
	}
	return newest, nil
}

// Rollout returns the newest rollout of a service, after committing a barrier.
func (c *Core) Rollout(ctx context.Context, service string) (state.Rollout, error) {
	if _, err := c.propose(ctx, state.Barrier{}); err != nil {
		return state.Rollout{}, err
	}
	found := c.rollout(service)
	if found == nil {
		return state.Rollout{}, fault.New(fault.Missing, "service %q has no rollout", service).Remedy("start one")
	}
	return *found, nil
}

// LogRejected logs an invalid request of an operator or backend server. Of the requests about one backend server
// it logs the first.
func (c *Core) LogRejected(kind, id, reason string) {
	if id == "" {
		c.log.Info("input rejected", "what", kind, "error", reason)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejections.Add(c.clock.Now(), id) {
		c.log.Info("input rejected", "what", kind, "server", fmt.Sprintf("%.64s", id), "error", reason)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
