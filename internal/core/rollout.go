package core

import (
	"context"

	"swiftbeam/internal/enrol"
	"swiftbeam/internal/moves"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// stepEvery is how often the leader looks at the rollouts; entry daemons report as often.
const stepEvery = 250 * clock.Millisecond

// StartRollout commits the order to move a service to another version.
func (c *Core) StartRollout(ctx context.Context, service, target string, within clock.Duration) error {
	now := c.Follower.ClusterTime()
	_, err := c.propose(ctx, state.StartRollout{Service: service, Target: target, At: now, FinishBy: now.Add(within)})
	c.log.Info("rollout ordered", "service", service, "target", target, "withinMs", int64(within), "error", errorText(err))
	return err
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

// move returns the rollout of a service as a move, or nil.
func (c *Core) move(service string) *state.Move {
	if r := c.rollout(service); r != nil {
		return &r.Move
	}
	return nil
}

// stepRollouts commits the next step of each rollout, as the leader.
func (c *Core) stepRollouts(ctx context.Context) {
	if !c.leads() || c.draining.Load() {
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
		in := c.desk.board.Evaluate(&r.Move, c.routesTo(r.Service), c.sides(r))
		rate := c.desk.market(c.clock.Now(), r.Service).rate(c.clock.Now())
		c.mu.Unlock()
		if r.Trial == 0 {
			r.Trial = moves.TrialPercent(c.Settings.Exposure.Part, c.Settings.Exposure.Slack, rate*r.FinishBy.Sub(r.Started).Std().Seconds())
		}
		step, ok := moves.Decide(now, &r.Move, in)
		if !ok {
			continue
		}
		_, err := c.propose(ctx, state.StepRollout{MoveStep: step, At: now, Trial: r.Trial})
		c.log.Info("rollout step", "service", step.Service, "target", step.Version, "stage", step.Stage.String(), "share", step.Share, "trialPercent", r.Trial,
			"reason", step.Reason.String(), "evidence", step.Evidence, "readyNew", in.ReadyNew, "readyOld", in.ReadyOld,
			"runningOld", in.RunningOld, "error", errorText(err))
	}
}

// rate returns the requests a second for the service.
func (m *market) rate(now clock.Instant) float64 {
	span := max(min(longDemand, now.Sub(m.since)), clock.Second)
	return m.requests.Sum(now) / span.Std().Seconds()
}

// sides counts the servers on both sides of a rollout and what runs on the old ones.
func (c *Core) sides(r *state.Rollout) moves.Inputs {
	in := moves.Inputs{Plan: moves.ShortPlan}
	old := make(map[string]bool)
	for _, server := range c.table.ByID {
		if server.Service != r.Service {
			continue
		}
		usable := server.State == enrol.Ready
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
	for _, e := range c.desk.entries {
		for _, l := range e.loads {
			if old[l.GetId()] {
				in.RunningOld += int(l.GetRequests())
			}
		}
	}
	return in
}

// routesTo returns the names of the routes that lead to a service.
func (c *Core) routesTo(service string) []string {
	set := c.set.Load()
	if set == nil {
		return nil
	}
	var names []string
	for i := range set.Routes {
		if leadsTo(&set.Routes[i], service) {
			names = append(names, set.Routes[i].Name)
		}
	}
	return names
}

func leadsTo(r *rules.Route, service string) bool {
	for _, s := range r.Split {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}
