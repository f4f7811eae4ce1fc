package core

import (
	"context"

	"swiftbeam/internal/fault"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// PutRules commits newer rules. Rules that are not newer are acknowledged and change nothing.
func (c *Core) PutRules(ctx context.Context, set *rules.Set) error {
	ctx, cancel := context.WithTimeout(ctx, foundingTime.Std()+orderTimeout.Std())
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

// propose commits a command within the time that callers wait.
func (c *Core) propose(ctx context.Context, body state.Body) (state.Result, error) {
	short, cancel := context.WithTimeout(ctx, orderTimeout.Std())
	defer cancel()
	began := c.clock.Now()
	result, err := c.Store.Propose(short, body)
	if c.commits != nil && err == nil {
		c.commits.Update(int64(c.clock.Now().Sub(began)))
	}
	return result, err
}

// awaitVoters returns once the group has all its voters, so that an acknowledged change survives
// the losses of the settings; a group that stays small does not wait longer than its founding.
func (c *Core) awaitVoters(ctx context.Context) {
	for ctx.Err() == nil && c.clock.Now().Sub(c.started) < foundingTime {
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

// Rules returns the newest rules after a commit that shows that they are the newest.
func (c *Core) Rules(ctx context.Context) (state.Rules, error) {
	if _, err := c.propose(ctx, state.Barrier{}); err != nil {
		c.log.Info("rules not read", "error", err.Error())
		return state.Rules{}, err
	}
	var newest state.Rules
	c.Store.View(func(s *state.State) { newest = s.Rules })
	if newest.Version == 0 {
		return newest, fault.New(fault.Unavailable, "there are no rules yet").Remedy("send some").After(1)
	}
	return newest, nil
}

// Rollout returns the newest rollout of a service.
func (c *Core) Rollout(ctx context.Context, service string) (state.Rollout, error) {
	if _, err := c.propose(ctx, state.Barrier{}); err != nil {
		return state.Rollout{}, err
	}
	found := c.rollout(service)
	if found == nil {
		return state.Rollout{}, fault.New(fault.Missing, "no rollout of service %q", service).Remedy("start one")
	}
	return *found, nil
}

// Rejected logs an input that cannot be used.
func (c *Core) LogRejected(what string, err error) {
	c.log.Info("input rejected", "what", what, "error", err.Error())
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
