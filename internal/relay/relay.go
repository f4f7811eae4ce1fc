// Package relay carries accepted streaming requests from model engines to callers. A request is
// accepted once a mirror in another availability zone holds it; its tokens are shown once the
// mirror has them. When an engine fails, stalls or is taken back, the relay resumes the request
// at another engine.
//
//	record, err := relay.Accept(ctx, request, need)   // an error means not run
//	tokens, end, err := record.Next(ctx, 0)
//	record, err = relay.Find(ctx, id, account)        // at any daemon
package relay

import (
	"context"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"swiftbeam/internal/drain"
	"swiftbeam/internal/engine"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/limit"
	"swiftbeam/internal/member"
	"swiftbeam/internal/moves"
	"swiftbeam/internal/peers"
	"swiftbeam/internal/ring"
	"swiftbeam/internal/roster"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/stream"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// Bounds of the relay.
const (
	// KeepEnded is how long a complete answer can be resumed.
	KeepEnded = 30 * clock.Second
	// ResumeGrace is how long a request goes on without a caller.
	ResumeGrace = 15 * clock.Second
	// StallTimeout is the time without a token after which a connection counts as silent.
	StallTimeout = 3 * clock.Second
	sweepPause   = clock.Second
	leaveRing    = 1024
)

// Versions chooses the version of a request and takes evidence.
type Versions interface {
	// Pick returns the version for a request and how many of its servers to use, zero for all.
	Pick(service, route, id string) (version string, first int)
	// Settled returns the version that serves outside of any move.
	Settled(service string) string
	// Avoids reports whether no new work may go to the version.
	Avoids(service, version string) bool
	Observe(moves.Observation)
}

// Relay is the service. Set the exported fields before Start.
type Relay struct {
	Self     member.Daemon
	Clock    clock.Clock
	Net      *peers.Net
	Roster   *roster.Roster
	Engine   *engine.Client
	Versions Versions
	Log      logr.Logger
	Table    stream.Table
	// Route returns the route of a service by name.
	Route func(service, route string) fleet.Route
	Stats Stats

	mu      sync.Mutex
	budget  limit.Budget
	runs    map[string]*run
	mirrors map[string]*mirror
	left    *ring.Ring[fleet.Backend]
	// taking serialises take-overs, so that a request is taken over once.
	taking sync.Mutex
	ctx    context.Context
	group  *runner.Group
}

// Start begins to carry requests until ctx ends.
func (r *Relay) Start(ctx context.Context, g *runner.Group) error {
	r.ctx, r.group = ctx, g
	r.runs = make(map[string]*run)
	r.budget = limit.NewBudget(retryPercent, maxRetries)
	r.mirrors = make(map[string]*mirror)
	r.left = ring.New[fleet.Backend](leaveRing)
	r.Table.Keep = KeepEnded
	g.Go(func() { r.watchServers(ctx) })
	g.Go(func() { runner.Every(ctx, sweepPause, r.sweep) })
	return nil
}

// Stop waits until no request is running, or ctx ends.
func (r *Relay) Stop(ctx context.Context) error {
	for r.Running() > 0 && ctx.Err() == nil {
		runner.Pause(ctx, acquireStep)
	}
	return nil
}

// Running returns the number of requests that this daemon relays now.
func (r *Relay) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// Accept takes a request on. After an error nothing of it was sent to an engine.
func (r *Relay) Accept(ctx context.Context, q stream.Request, done func()) (*stream.Record, error) {
	record := stream.NewRecord(q)
	record.Hold(r.Self.ID, 1)
	m, ok := r.place(ctx, record, "")
	if !ok {
		return nil, fault.New(fault.Unavailable, "no other daemon could take a copy of the request").
			Remedy("retry").After(1)
	}
	r.Table.Put(record)
	r.launch(record, m, done)
	return record, nil
}

func (r *Relay) launch(record *stream.Record, m *mirror, done func()) {
	ctx, cancel := context.WithCancel(r.ctx)
	x := &run{
		relay: r, record: record, cancel: cancel, mirror: m, done: done,
		orders: ring.New[drain.Method](1), readAt: r.Clock.Now(), startedAt: r.Clock.Now(),
	}
	x.route = r.Route(record.Service, record.Route)
	x.sent = len(record.State().Tokens)
	r.mu.Lock()
	r.budget.Earn()
	r.runs[record.ID] = x
	r.mu.Unlock()
	r.group.Go(func() {
		defer cancel()
		x.carry(ctx)
	})
}

// The retry budget: retries in 100 requests, and the most that are saved up.
const (
	retryPercent = 20
	maxRetries   = 50
)

// mayRetry reports whether the retry budget allows another attempt now. Reclaims do not count.
func (r *Relay) mayRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Spend()
}

func (r *Relay) forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.runs, id)
}

// Attend notes that a caller reads the request now.
func (r *Relay) Attend(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.runs[id]; x != nil {
		x.readAt = r.Clock.Now()
	}
}

// Mirror stores pieces for other daemons. It returns the IDs of the requests whose beginning it
// lacks, for instance because it was restarted.
func (r *Relay) Mirror(pieces []*peerpb.HeldRequest) []string {
	now := r.Clock.Now()
	var unknown []string
	for _, m := range pieces {
		p := wire.SegmentFromPB(m)
		record := r.Table.Get(p.ID)
		switch {
		case record == nil && p.First == 0:
			r.Table.Put(stream.Restore(now, p))
		case record == nil || !record.Merge(now, p):
			unknown = append(unknown, p.ID)
		}
	}
	return unknown
}

// Fetch answers other daemons that look for a request.
func (r *Relay) Fetch(ctx context.Context, q *peerpb.FetchRequest) *peerpb.FetchResponse {
	record := r.Table.Get(q.GetId())
	if record == nil || record.Account != q.GetAccount() {
		return &peerpb.FetchResponse{}
	}
	r.Attend(record.ID)
	live := r.holds(record.ID)
	if live {
		wait, cancel := context.WithTimeout(ctx, fetchWait.Std())
		_, _, _ = record.Next(wait, int(q.GetFirst()))
		cancel()
	}
	piece := record.Segment(int(q.GetFirst()))
	state := record.State()
	shown := max(state.Shown-piece.First, 0)
	if live && shown < len(piece.Tokens) {
		piece.Tokens, piece.Done = piece.Tokens[:shown], false
	}
	return &peerpb.FetchResponse{Found: true, Live: live || state.Done, Request: wire.SegmentToPB(piece)}
}

// holds reports whether this daemon relays the request.
func (r *Relay) holds(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id] != nil
}

// Find returns the record of a request that was accepted at any daemon. When its holder is
// gone, this daemon takes the request over from the mirror.
func (r *Relay) Find(ctx context.Context, id, account string) (*stream.Record, error) {
	if record := r.Table.Get(id); record != nil && record.Account == account {
		state := record.State()
		if r.holds(id) || state.Done {
			return record, nil
		}
	}
	found, live, silent := r.ask(ctx, id, account)
	if live != nil {
		return r.follow(live, found), nil
	}
	if own := r.Table.Get(id); own != nil && own.Account == account {
		mine := own.Segment(0)
		if found == nil || len(mine.Tokens) >= len(found.Tokens) {
			found = &mine
		}
	}
	if found == nil && silent > 0 {
		return nil, fault.New(fault.Unavailable, "%d daemons did not answer and may hold request %q", silent, id).
			Remedy("ask again").After(1)
	}
	if found == nil {
		return nil, fault.New(fault.Missing, "no request %q", id).
			Remedy("check the ID; a complete answer is kept for %v", KeepEnded.Std())
	}
	return r.takeOver(ctx, *found), nil
}

// ask looks for a request at all other daemons. It returns the longest copy, and the daemon that
// relays the request if one does, and the number of daemons that did not answer.
func (r *Relay) ask(ctx context.Context, id, account string) (*stream.Segment, *member.Daemon, int) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Std())
	defer cancel()
	others := r.Roster.Directory.Peers()
	pieces := make([]*stream.Segment, len(others))
	live := make([]bool, len(others))
	var silent atomic.Int64
	var wait sync.WaitGroup
	for i, d := range others {
		wait.Go(func() {
			response, err := r.Net.Client(d.Address).Fetch(ctx, connect.NewRequest(&peerpb.FetchRequest{Id: id, Account: account}))
			switch {
			case err != nil:
				silent.Add(1)
			case response.Msg.GetFound():
				p := wire.SegmentFromPB(response.Msg.GetRequest())
				pieces[i], live[i] = &p, response.Msg.GetLive()
			}
		})
	}
	wait.Wait()
	best, holder := bestCopy(pieces, live, others)
	return best, holder, int(silent.Load())
}

// bestCopy prefers the copy of a daemon that relays the request, then the longest.
func bestCopy(pieces []*stream.Segment, live []bool, others []member.Daemon) (*stream.Segment, *member.Daemon) {
	var best *stream.Segment
	for i, p := range pieces {
		if p == nil {
			continue
		}
		if live[i] {
			return p, &others[i]
		}
		if best == nil || len(p.Tokens) > len(best.Tokens) {
			best = p
		}
	}
	return best, nil
}

// takeOver relays a request from the copy of its mirror.
func (r *Relay) takeOver(ctx context.Context, p stream.Segment) *stream.Record {
	r.taking.Lock()
	defer r.taking.Unlock()
	if r.holds(p.ID) {
		return r.Table.Get(p.ID)
	}
	record := stream.Restore(r.Clock.Now(), p)
	record.Hold(r.Self.ID, 0)
	r.Table.Replace(record)
	r.Stats.TakenOver.Add(1)
	r.Log.Info("took over a request", "request", record.ID, "tokens", len(p.Tokens))
	m, _ := r.place(ctx, record, "")
	record.Show(len(p.Tokens))
	r.launch(record, m, nil)
	return record
}

// follow returns a record that copies the one at the daemon which relays it.
func (r *Relay) follow(d *member.Daemon, first *stream.Segment) *stream.Record {
	record := stream.Restore(r.Clock.Now(), *first)
	r.group.Go(func() { r.copyFrom(d, record) })
	return record
}

func (r *Relay) copyFrom(d *member.Daemon, record *stream.Record) {
	failures := 0
	for !record.State().Done && r.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(r.ctx, followTimeout.Std())
		response, err := r.Net.Client(d.Address).Fetch(ctx, connect.NewRequest(&peerpb.FetchRequest{
			Id: record.ID, Account: record.Account, First: uint32(len(record.State().Tokens)),
		}))
		cancel()
		if err == nil && response.Msg.GetFound() && response.Msg.GetLive() {
			failures = 0
			record.Merge(r.Clock.Now(), wire.SegmentFromPB(response.Msg.GetRequest()))
			continue
		}
		if failures++; failures > maxFollowFailures {
			record.Move()
			return
		}
		runner.Pause(r.ctx, acquireStep)
	}
}

// Bounds of following a record at another daemon.
const (
	followTimeout = 2 * clock.Second
	// askTimeout bounds the search for a request at the other daemons.
	askTimeout = 1500 * clock.Millisecond
	// fetchWait is how long a fetch waits for the next token; it ends well before the caller of
	// the fetch gives up.
	fetchWait         = clock.Second
	maxFollowFailures = 3
	acquireStep       = 50 * clock.Millisecond
)

// sweep cancels requests that no caller reads and forgets old answers.
func (r *Relay) sweep() {
	now := r.Clock.Now()
	r.mu.Lock()
	for _, x := range r.runs {
		if now.Sub(x.readAt) > ResumeGrace {
			x.abandoned = true
			x.cancel()
		}
	}
	r.mu.Unlock()
	r.Table.Sweep(now)
}

// ServerRemoved is told of backend servers that receive no more work.
func (r *Relay) ServerRemoved(b fleet.Backend) { r.left.Offer(b) }

func (r *Relay) watchServers(ctx context.Context) {
	for {
		b, err := r.left.Take(ctx)
		if err != nil {
			return
		}
		switch b.State {
		case fleet.Reclaimed:
			r.drainServer(&b)
		case fleet.Expired:
			r.orderAll(b.Address, drain.Recompute)
		}
	}
}

// drainServer decides about each stream on a server that is taken back.
func (r *Relay) drainServer(b *fleet.Backend) {
	now := r.Clock.Now()
	runs := r.runsAt(b.Address)
	streams := make([]drain.Stream, 0, len(runs))
	for id, x := range runs {
		streams = append(streams, x.standing(id))
	}
	notice := drain.Notice{Now: now, Deadline: b.ReclaimAt, Export: true, ExportRate: exportRate}
	for _, a := range drain.Plan(notice, streams) {
		r.Stats.Drained[a.Method].Add(1)
		if a.Method != drain.Finish {
			runs[a.ID].orders.Offer(a.Method)
		}
	}
}

// exportRate is the number of tokens whose KV cache an engine exports in a millisecond.
const exportRate = 50

func (r *Relay) orderAll(address string, way drain.Method) {
	for _, x := range r.runsAt(address) {
		x.orders.Offer(way)
	}
}

func (r *Relay) runsAt(address string) map[string]*run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make(map[string]*run)
	for id, x := range r.runs {
		if x.address() == address {
			runs[id] = x
		}
	}
	return runs
}
