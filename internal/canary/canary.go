// Package canary applies version moves on a daemon. Each daemon evaluates the requests that it
// relays, stops sending to a new version on its own evidence, and reports to the leader. The leader
// decides on the stages from the evidence of all daemons and commits them to the replicated state.
//
//	version, replicas := controller.Pick("luthier-model", "quick", requestID)
//	controller.Observe(observation)
package canary

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"swiftbeam/internal/moves"
	"swiftbeam/internal/peers"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/roster"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/internal/store"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// Intervals and timeouts of the controller.
const (
	// ReportInterval is the time between two reports, or on the leader between two decisions.
	ReportInterval = 500 * clock.Millisecond
	reportTimeout  = clock.Second
	proposeTimeout = 2 * clock.Second
)

// Controller is the service that applies version moves. Set the exported fields before Start.
type Controller struct {
	Self   string
	Clock  clock.Clock
	Store  *store.Store
	Net    *peers.Net
	Roster *roster.Roster
	Log    logr.Logger
	// Leased reports whether this daemon may send traffic to the new version of a running move.
	Leased func() bool

	mu         sync.Mutex
	monitor    moves.Monitor
	aggregator moves.Aggregator
}

// Start starts the rounds of reports and, on the leader, decisions.
func (c *Controller) Start(ctx context.Context, g *runner.Group) error {
	g.Go(func() { runner.Every(ctx, ReportInterval, func() { c.round(ctx) }) })
	return nil
}

// SettledVersion returns the version of a service that is in force when no move is running.
func (c *Controller) SettledVersion(service string) string {
	var version string
	c.Store.View(func(s *state.State) { version = s.SettledVersion(service) })
	return version
}

// move returns a copy of the move of a service, or nil.
func (c *Controller) move(service string) *state.Move {
	var found *state.Move
	c.Store.View(func(s *state.State) {
		if m := s.Moves[service]; m != nil {
			copied := *m
			found = &copied
		}
	})
	return found
}

// Pick returns the version for a request and the number of its servers among which the request is
// placed, zero for all.
func (c *Controller) Pick(service, route, id string) (string, int) {
	settled := c.SettledVersion(service)
	m := c.move(service)
	if m == nil {
		return settled, 0
	}
	ready := c.Roster.CountReady(service, m.To)
	query := moves.Query{
		Now: c.Clock.Now(), Settled: settled, Route: route, Draw: draw(id),
		ReadyOld: c.Roster.CountReady(service, m.From), ReadyNew: ready, Stopped: ready == 0 || c.Avoids(service, m.To),
	}
	c.mu.Lock()
	version := c.monitor.Pick(m, service, query)
	c.mu.Unlock()
	if version != m.To || m.Stage != state.Trial {
		return version, 0
	}
	return version, moves.ReplicasForShare(moves.Burst(query.Now, m, query.ReadyOld, ready), query.ReadyOld, ready)
}

// draw maps a request ID to a number that is the same on all daemons.
func draw(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64() >> 8
}

// Avoids reports whether a version must receive no new work: its move was rolled back or cancelled,
// this daemon stopped it on local evidence, or the daemon has no lease and the version is not
// settled.
func (c *Controller) Avoids(service, version string) bool {
	m := c.move(service)
	if m == nil || m.To != version || m.Stage == state.Finished {
		return false
	}
	if m.Stage.Ended() || !c.Leased() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.monitor.Stopped(m)
}

// OnTrial reports whether a move to the version is in progress.
func (c *Controller) OnTrial(service, version string) bool {
	m := c.move(service)
	return m != nil && m.To == version && !m.Stage.Ended()
}

// Observe adds the outcome of a request to the evidence.
func (c *Controller) Observe(o moves.Observation) {
	m := c.move(o.Service)
	c.mu.Lock()
	defer c.mu.Unlock()
	if regression := c.monitor.Observe(c.Clock.Now(), m, o); regression != nil {
		c.Log.Info("stopped sending to new version on local evidence", "service", o.Service, "version", o.Version, "evidence", regression.Evidence())
	}
}

// Collect adds the report of a daemon to the leader's evidence.
func (c *Controller) Collect(r *peerpb.ReportRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aggregator.Receive(c.Clock.Now(), r.GetDaemon(), wire.SamplesFromPB(r.GetSamples()), c.move)
}

func (c *Controller) round(ctx context.Context) {
	status := c.Store.Status()
	if status.Role == quorum.Leader {
		c.Collect(c.report())
		c.decide(ctx)
	} else if status.LeaderAt != "" {
		c.send(ctx, status.LeaderAt)
	}
}

func (c *Controller) report() *peerpb.ReportRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &peerpb.ReportRequest{Daemon: c.Self}
	for _, sample := range c.monitor.Totals(c.moving) {
		r.Samples = append(r.Samples, wire.SampleToPB(&sample))
	}
	return r
}

// moving reports whether a version move of the service is in progress.
func (c *Controller) moving(service string) bool {
	m := c.move(service)
	return m != nil && !m.Stage.Ended()
}

func (c *Controller) send(ctx context.Context, leader string) {
	r := c.report()
	if len(r.GetSamples()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout.Std())
	defer cancel()
	_, _ = c.Net.Client(leader).Report(ctx, connect.NewRequest(r))
}

// decide commits the next step of each move. Only the leader calls it.
func (c *Controller) decide(ctx context.Context) {
	for _, step := range c.steps() {
		proposeCtx, cancel := context.WithTimeout(ctx, proposeTimeout.Std())
		result, err := c.Store.Propose(proposeCtx, step)
		cancel()
		if err == nil && result.Code == state.Done {
			c.Log.Info("version move", "service", step.Service, "version", step.Version,
				"stage", step.Stage.String(), "share", step.Share, "reason", step.Reason.String(), "evidence", step.Evidence)
		}
	}
}

func (c *Controller) steps() []state.MoveStep {
	running, routes := c.running()
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var steps []state.MoveStep
	for i := range running {
		m := &running[i]
		in := moves.Inputs{ReadyOld: c.Roster.CountReady(m.Service, m.From), ReadyNew: c.Roster.CountReady(m.Service, m.To)}
		step, ok := moves.Decide(now, m, c.aggregator.Evaluate(m, routes[m.Service], in))
		if ok {
			steps = append(steps, step)
		}
	}
	return steps
}

// running returns the moves that have not ended, sorted by service, and the routes of their services.
func (c *Controller) running() ([]state.Move, map[string][]string) {
	var list []state.Move
	routes := make(map[string][]string)
	c.Store.View(func(s *state.State) {
		for name, m := range s.Moves {
			if m.Stage.Ended() {
				continue
			}
			list = append(list, *m)
			for _, r := range s.Document.Services[name].Routes {
				routes[name] = append(routes[name], r.Name)
			}
		}
	})
	slices.SortFunc(list, func(a, b state.Move) int { return cmp.Compare(a.Service, b.Service) })
	return list, routes
}

// Dump is the state of a controller in a dump.
type Dump struct {
	Moves  []state.Move
	Braked []string
}

// Dump returns the running moves and the services whose new version this daemon stopped locally.
func (c *Controller) Dump() any {
	running, _ := c.running()
	c.mu.Lock()
	defer c.mu.Unlock()
	return Dump{Moves: running, Braked: c.monitor.StoppedServices()}
}
