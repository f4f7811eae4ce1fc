// Package canary applies version moves on a daemon. Every daemon judges the requests that it
// relays, brakes on its own evidence, and reports to the leader; the leader decides the stages
// by the evidence of all and commits them to the replicated state.
//
//	version, first := p.Pick("luthier-model", requestID)
//	p.Observe(observation)
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

// Rhythm of the controller.
const (
	// ReportInterval is the pause between two reports and two decisions.
	ReportInterval = 500 * clock.Millisecond
	reportTimeout  = clock.Second
	proposeTimeout = 2 * clock.Second
)

// Controller is the service. Set the exported fields before Start.
type Controller struct {
	Self   string
	Clock  clock.Clock
	Store  *store.Store
	Net    *peers.Net
	Roster *roster.Roster
	Log    logr.Logger
	// Leased reports whether traffic may go to versions that are not settled.
	Leased func() bool

	mu    sync.Mutex
	watch moves.Monitor
	board moves.Aggregator
}

// Start begins to report and to decide.
func (p *Controller) Start(ctx context.Context, g *runner.Group) error {
	g.Go(func() { runner.Every(ctx, ReportInterval, func() { p.round(ctx) }) })
	return nil
}

// Settled returns the version that serves outside of any move.
func (p *Controller) Settled(service string) string {
	var version string
	p.Store.View(func(s *state.State) { version = s.Settled(service) })
	return version
}

// move returns a copy of the move of a service, or nil.
func (p *Controller) move(service string) *state.Move {
	var found *state.Move
	p.Store.View(func(s *state.State) {
		if m := s.Moves[service]; m != nil {
			c := *m
			found = &c
		}
	})
	return found
}

// Pick returns the version for a request and to how many of its servers it goes, zero for all.
func (p *Controller) Pick(service, route, id string) (string, int) {
	settled := p.Settled(service)
	m := p.move(service)
	if m == nil {
		return settled, 0
	}
	ready := p.Roster.CountReady(service, m.To)
	ask := moves.Query{
		Now: p.Clock.Now(), Settled: settled, Route: route, Draw: draw(id),
		ReadyOld: p.Roster.CountReady(service, m.From), Stopped: ready == 0 || p.Avoids(service, m.To),
	}
	p.mu.Lock()
	version := p.watch.Pick(m, service, ask)
	p.mu.Unlock()
	if version != m.To || m.Stage != state.Trial {
		return version, 0
	}
	return version, moves.ReplicasForShare(moves.Burst(ask.Now, m, ask.ReadyOld), ask.ReadyOld, ready)
}

// draw maps a request to a number that is the same at all daemons.
func draw(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64() >> 8
}

// Avoids reports whether no new work may go to a version: it was rolled back, this daemon's
// brake holds it, or the daemon has no lease and the version is not settled.
func (p *Controller) Avoids(service, version string) bool {
	m := p.move(service)
	if m == nil || m.To != version || m.Stage == state.Finished {
		return false
	}
	if m.Stage.Ended() || !p.Leased() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.watch.Stopped(m)
}

// Observe takes the end of a request as evidence.
func (p *Controller) Observe(o moves.Observation) {
	m := p.move(o.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	if fault := p.watch.Observe(p.Clock.Now(), m, o); fault != nil {
		p.Log.Info("brake pulled", "service", o.Service, "version", o.Version, "evidence", fault.Evidence())
	}
}

// Collect takes the report of a daemon.
func (p *Controller) Collect(r *peerpb.ReportRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.Receive(p.Clock.Now(), r.GetDaemon(), wire.SamplesFromPB(r.GetSamples()), p.move)
}

func (p *Controller) round(ctx context.Context) {
	status := p.Store.Status()
	if status.Role == quorum.Leader {
		p.Collect(p.report())
		p.decide(ctx)
	} else if status.LeaderAt != "" {
		p.send(ctx, status.LeaderAt)
	}
}

func (p *Controller) report() *peerpb.ReportRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &peerpb.ReportRequest{Daemon: p.Self}
	for _, sample := range p.watch.Totals(p.runs) {
		r.Samples = append(r.Samples, wire.SampleToPB(&sample))
	}
	return r
}

// runs reports whether a service is being moved.
func (p *Controller) runs(service string) bool {
	m := p.move(service)
	return m != nil && !m.Stage.Ended()
}

func (p *Controller) send(ctx context.Context, leader string) {
	r := p.report()
	if len(r.GetSamples()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout.Std())
	defer cancel()
	_, _ = p.Net.Client(leader).Report(ctx, connect.NewRequest(r))
}

// decide commits the next step of each move, as the leader.
func (p *Controller) decide(ctx context.Context) {
	for _, step := range p.steps() {
		propose, cancel := context.WithTimeout(ctx, proposeTimeout.Std())
		result, err := p.Store.Propose(propose, step)
		cancel()
		if err == nil && result.Code == state.Done {
			p.Log.Info("version move", "service", step.Service, "version", step.Version,
				"stage", step.Stage.String(), "share", step.Share, "reason", step.Reason.String(), "evidence", step.Evidence)
		}
	}
}

func (p *Controller) steps() []state.MoveStep {
	running, routes := p.running()
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var steps []state.MoveStep
	for i := range running {
		m := &running[i]
		in := moves.Inputs{ReadyOld: p.Roster.CountReady(m.Service, m.From), ReadyNew: p.Roster.CountReady(m.Service, m.To)}
		step, ok := moves.Decide(now, m, p.board.Evaluate(m, routes[m.Service], in))
		if ok {
			steps = append(steps, step)
		}
	}
	return steps
}

// running returns the moves that have not ended and the routes of their services.
func (p *Controller) running() ([]state.Move, map[string][]string) {
	var list []state.Move
	routes := make(map[string][]string)
	p.Store.View(func(s *state.State) {
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

// Dump is the shown state of a controller.
type Dump struct {
	Moves  []state.Move
	Braked []string
}

// Dump returns the running moves and the services whose new version this daemon holds back.
func (p *Controller) Dump() any {
	running, _ := p.running()
	p.mu.Lock()
	defer p.mu.Unlock()
	return Dump{Moves: running, Braked: p.watch.StoppedServices()}
}
