package core

import (
	"context"

	"swiftbeam/internal/enrol"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/moves"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/state"
	"swiftbeam/internal/valid"
	"swiftbeam/internal/window"
	"swiftbeam/pkg/clock"
)

// stepInterval is the interval at which the leader evaluates the rollouts. Entry daemons report at the
// same interval.
const stepInterval = 250 * clock.Millisecond

// repeatPeriod is the time from the start of a rollout in which operators may repeat the order for it:
// they send an order for at most 4 s, and a call takes at most 1 s.
const repeatPeriod = 5 * clock.Second

// StartRollout commits an operator's request to move a service to another version. An order that is
// repeated after its rollout has ended is acknowledged and changes nothing.
func (c *Core) StartRollout(ctx context.Context, service, target string, within clock.Duration) error {
	if !valid.IsText(service) || !valid.IsText(target) {
		return fault.New(fault.Invalid, "the rollout of %s to %s has no usable names", valid.Quote(service), valid.Quote(target)).
			Remedy("send at most 256 printable characters each")
	}
	_, err := repeatStale(func() (state.Result, error) { return c.orderRollout(ctx, service, target, within) })
	c.log.Info("rollout ordered", "service", service, "target", target, "withinMs", int64(within), "error", errorText(err))
	return err
}

// orderRollout commits an order for a rollout, unless it is repeated after its end.
func (c *Core) orderRollout(ctx context.Context, service, target string, within clock.Duration) (state.Result, error) {
	// The barrier makes a rollout that was started at another daemon visible here.
	if result, err := c.propose(ctx, state.Barrier{}); err != nil {
		return result, err
	}
	now, seen := c.Follower.ClusterTime(), clock.Instant(0)
	if r := c.rollout(service); r != nil {
		seen = r.Started
		if r.Stage.Ended() && r.To == target && r.FinishBy.Sub(r.Started) == within && now.Sub(r.Started) < repeatPeriod {
			c.log.Info("rollout order repeated after its end", "service", service, "target", target, "stage", r.Stage.String())
			return state.Result{Code: state.Existing}, nil
		}
	}
	return c.propose(ctx, state.StartRollout{Service: service, Target: target, At: now, FinishBy: now.Add(within), Seen: &seen})
}

// rollout returns a copy of the newest rollout of a service, or nil.
func (c *Core) rollout(service string) *state.Rollout {
	var found *state.Rollout
	c.Store.View(func(s *state.State) {
		if r := s.Rollouts[service]; r != nil {
			copied := *r
			found = &copied
		}
	})
	return found
}

// move returns the version move of a service's newest rollout, or nil.
func (c *Core) move(service string) *state.Move {
	if r := c.rollout(service); r != nil {
		return &r.Move
	}
	return nil
}

// stepRollouts commits the next step of each running rollout, if this daemon is the leader.
func (c *Core) stepRollouts(ctx context.Context) {
	if !c.isLeader() || c.draining.Load() {
		return
	}
	var running []*state.Rollout
	c.Store.View(func(s *state.State) {
		for _, r := range s.Rollouts {
			if !r.Stage.Ended() {
				copied := *r
				running = append(running, &copied)
			}
		}
	})
	for _, r := range running {
		now := c.Follower.ClusterTime()
		c.mu.Lock()
		in := c.duties.evidence.Evaluate(&r.Move, c.routesTo(r.Service), c.rolloutInputs(r))
		expected := c.duties.service(c.clock.Now(), r.Service).requestRate(c.clock.Now()) * r.FinishBy.Sub(r.Started).Std().Seconds()
		in.Blind = 2*c.duties.loads.Daemons(c.clock.Now()) < c.Source.Entries()
		c.mu.Unlock()
		if r.Trial == 0 {
			r.Trial = moves.Bound(c.Settings.Exposure).TrialPercent(expected)
		}
		step, ok := moves.Decide(now, &r.Move, in)
		if !ok {
			continue
		}
		_, err := c.propose(ctx, state.StepRollout{MoveStep: step, At: now, Trial: r.Trial})
		c.log.Info("rollout step", "service", step.Service, "target", step.Version, "stage", step.Stage.String(), "share", step.Share, "trialPercent", r.Trial,
			"reason", step.Reason.String(), "evidence", step.Evidence, "readyNew", in.ReadyNew, "readyOld", in.ReadyOld,
			"runningOld", in.RunningOld, "old", countFields(&in.Old), "new", countFields(&in.New), "error", errorText(err))
	}
}

// countFields returns the counts of a version for a log line.
func countFields(c *moves.Counts) map[string]uint64 {
	return map[string]uint64{"requests": c.Requests, "failed": c.Failed, "slowFirst": c.SlowFirst, "slowTokens": c.SlowTokens, "short": c.Short}
}

// minRateSpan is the time from which on a new leader knows a service's rate of requests.
const minRateSpan = 3 * clock.Second

// requestRate returns the service's requests per second, averaged over longSpan, or zero if it is not
// known yet.
func (m *serviceState) requestRate(now clock.Instant) float64 { return m.rate(now, &m.requests) }

// rate returns the rate per second of what is counted within longSpan, or zero if it is not known yet.
func (m *serviceState) rate(now clock.Instant, counted *window.Sliding) float64 {
	span := min(longSpan, now.Sub(m.createdAt))
	if span < minRateSpan {
		return 0
	}
	return counted.Sum(now) / span.Std().Seconds()
}

// rolloutInputs counts the ready servers of the new and the old version of a rollout, and the requests
// that run on the old ones.
func (c *Core) rolloutInputs(r *state.Rollout) moves.Inputs {
	in := moves.Inputs{Plan: moves.ShortPlan}
	old := make(map[string]bool)
	evacuated := c.evacuated()
	for _, server := range c.table.ByID {
		if server.Service != r.Service {
			continue
		}
		usable := server.State == enrol.Ready && !evacuated[server.Zone]
		switch {
		case server.Version == r.To && usable:
			in.ReadyNew++
		case server.Version != r.To:
			old[server.ID] = true
			if usable && r.Keeps(server.Version) {
				in.ReadyOld++
			}
		}
	}
	for _, s := range c.duties.loads.All() {
		if old[s.ID] {
			in.RunningOld += s.Load.Requests
		}
	}
	return in
}

// routesTo returns the names of the routes that send requests to a service.
func (c *Core) routesTo(service string) []string {
	set := c.ruleSet.Load()
	if set == nil {
		return nil
	}
	var names []string
	for i := range set.Routes {
		if sendsTo(&set.Routes[i], service) {
			names = append(names, set.Routes[i].Name)
		}
	}
	return names
}

func sendsTo(r *rules.Route, service string) bool {
	for _, s := range r.Split {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}
