// Package relay relays the token streams of accepted requests from model engines to callers. A
// request is accepted once a mirror, a daemon in another availability zone if there is one, has
// stored it; a token becomes visible once the mirror has stored it. When an engine fails, stalls or
// is reclaimed, the relay resumes the request at another engine.
//
//	record, err := r.Accept(ctx, request, done)   // an error means that the request was not run
//	tokens, end, err := record.Next(ctx, 0)
//	record, err = r.Find(ctx, id, account, have)  // on any daemon, for a caller that resumes
package relay

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"swiftbeam/internal/drain"
	"swiftbeam/internal/engine"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/guard"
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

// Limits of the relay.
const (
	// EndedRetention is how long the record of an ended request is kept for callers that resume.
	EndedRetention = 30 * clock.Second
	// ResumeGrace is how long a request continues without a connected caller.
	ResumeGrace = 15 * clock.Second
	// StallTimeout is the time without a token after which a stream counts as stalled.
	StallTimeout     = 3 * clock.Second
	sweepInterval    = clock.Second
	removedQueueSize = 1024
)

// Versions selects the version that serves a request and receives evidence on versions.
type Versions interface {
	// Pick returns the version for a request and the number of its servers to use; zero means all.
	Pick(service, route, id string) (version string, first int)
	// SettledVersion returns the version that serves when no move is running.
	SettledVersion(service string) string
	// Avoids reports whether the version must not receive new work.
	Avoids(service, version string) bool
	// OnTrial reports whether a move to the version is in progress.
	OnTrial(service, version string) bool
	Observe(moves.Observation)
}

// Relay is the service that relays streams. Set the exported fields before Start.
type Relay struct {
	Self     member.Daemon
	Clock    clock.Clock
	Net      *peers.Net
	Roster   *roster.Roster
	Engine   *engine.Client
	Versions Versions
	// Guard keeps requests that crash engines from further ones.
	Guard *guard.Guard
	Log   logr.Logger
	Table stream.Table
	// Route returns a route of a service by their names.
	Route func(service, route string) fleet.Route
	Stats Stats

	mu       sync.Mutex
	budget   limit.Budget
	sessions map[string]*session
	mirrors  map[string]*mirror
	removed  *ring.Ring[fleet.Backend]
	// takeOverMu serialises take-overs, so that a request is taken over only once.
	takeOverMu sync.Mutex
	ctx        context.Context
	group      *runner.Group
}

// Start enables the relay until ctx ends.
func (r *Relay) Start(ctx context.Context, g *runner.Group) error {
	r.ctx, r.group = ctx, g
	r.sessions = make(map[string]*session)
	r.budget = limit.NewBudget(retryPercent, maxRetries)
	r.mirrors = make(map[string]*mirror)
	r.removed = ring.New[fleet.Backend](removedQueueSize)
	r.Table.Retention = EndedRetention
	g.Go(func() { r.watchServers(ctx) })
	g.Go(func() { runner.Every(ctx, sweepInterval, r.sweep) })
	return nil
}

// Stop waits until no request is running or ctx ends.
func (r *Relay) Stop(ctx context.Context) error {
	for r.Running() > 0 && ctx.Err() == nil {
		runner.Pause(ctx, pollInterval)
	}
	return nil
}

// Running returns the number of requests that this daemon relays.
func (r *Relay) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sessions)
}

// Accept stores a request at a mirror and starts to relay it. done, if not nil, is called when the
// daemon no longer relays the request. After an error nothing of the request was sent to an engine,
// and done is not called.
func (r *Relay) Accept(ctx context.Context, q stream.Request, done func()) (*stream.Record, error) {
	record := stream.NewRecord(q)
	record.SetHolder(r.Self.Holder(), 1)
	m, err := r.selectMirror(ctx, record, "")
	if err != nil {
		return nil, fault.New(fault.Unavailable, "no other daemon could store a copy of the request: %v", err).
			Remedy("retry").WithRetryAfter(1)
	}
	r.Table.Put(record)
	r.startSession(record, m, done)
	return record, nil
}

// startSession starts the session of a request. m may be nil.
func (r *Relay) startSession(record *stream.Record, m *mirror, done func()) {
	ctx, cancel := context.WithCancel(r.ctx)
	s := &session{
		relay: r, record: record, cancel: cancel, mirror: m, done: done,
		decisions: ring.New[drain.Method](1), callerSeenAt: r.Clock.Now(), startedAt: r.Clock.Now(),
	}
	s.route = r.Route(record.Service, record.Route)
	s.suspects = guard.CompletionSuspects(record.Account, record.Service, record.Body, record.Chat)
	s.acked = len(record.State().Tokens)
	r.mu.Lock()
	r.budget.Earn()
	r.sessions[record.ID] = s
	r.mu.Unlock()
	r.group.Go(func() {
		defer cancel()
		s.run(ctx)
	})
}

// Retry budget: retries per 100 requests, and the maximum number of retries that can be saved up.
const (
	retryPercent = 20
	maxRetries   = 50
)

// spendRetry takes one retry from the budget and reports whether there was one. Attempts after a
// reclaim need no budget.
func (r *Relay) spendRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Spend()
}

func (r *Relay) removeSession(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sessions[s.record.ID] == s {
		delete(r.sessions, s.record.ID)
	}
}

// MarkRead records that a caller is reading the stream of a request, so that the request is not cancelled
// after ResumeGrace.
func (r *Relay) MarkRead(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.sessions[id]; s != nil {
		s.callerSeenAt = r.Clock.Now()
	}
}

// Mirror stores segments for other daemons. It returns the IDs of the requests whose segment it
// rejected: it lacks their earlier tokens, for instance after a restart, or has the tokens of a later run.
func (r *Relay) Mirror(segments []*peerpb.HeldRequest) []string {
	now := r.Clock.Now()
	var unknown []string
	for _, message := range segments {
		segment := wire.SegmentFromPB(message)
		if !r.Table.Merge(now, segment) {
			unknown = append(unknown, segment.ID)
			continue
		}
		r.endSuperseded(segment.ID)
	}
	return unknown
}

// endSuperseded ends the session of a request if another daemon's record has replaced its own.
func (r *Relay) endSuperseded(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.sessions[id]; s != nil && s.record != r.Table.Get(id) {
		s.superseded = true
		s.cancel()
	}
}

// Fetch serves other daemons that search for a request or follow its stream. While this daemon relays the
// request, Fetch waits up to fetchWaitTime for a token and returns only visible tokens.
func (r *Relay) Fetch(ctx context.Context, q *peerpb.FetchRequest) *peerpb.FetchResponse {
	record := r.relayed(q.GetId())
	live := record != nil
	if !live {
		record = r.Table.Get(q.GetId())
	}
	if record == nil || record.Account != q.GetAccount() {
		return &peerpb.FetchResponse{}
	}
	r.MarkRead(record.ID)
	if live {
		wait, cancel := context.WithTimeout(ctx, fetchWaitTime.Std())
		_, _, _ = record.Next(wait, int(q.GetFirst()))
		cancel()
	}
	segment := record.Segment(int(q.GetFirst()))
	state := record.State()
	visible := max(state.Visible-segment.First, 0)
	if live && visible < len(segment.Tokens) {
		segment.Tokens, segment.Done = segment.Tokens[:visible], false
	}
	return &peerpb.FetchResponse{Found: true, Live: live || state.Done, Request: wire.SegmentToPB(segment)}
}

// relayed returns the record of a request that this daemon relays, or nil.
func (r *Relay) relayed(id string) *stream.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.sessions[id]; s != nil {
		return s.record
	}
	return nil
}

// Find returns the record of a request that was accepted by any daemon, if it continues what the caller has. When
// no daemon relays the request any more, this daemon takes it over from the best copy that it finds.
func (r *Relay) Find(ctx context.Context, id, account string, have stream.Position) (*stream.Record, error) {
	if record := r.relayed(id); record != nil && record.Account == account && have.In(record.State().Tokens) {
		return record, nil
	}
	own := r.Table.Get(id)
	if own != nil && own.Account != account {
		own = nil
	}
	if own != nil && own.State().Done && have.In(own.State().Tokens) {
		return own, nil
	}
	copies, unreachable := r.findCopies(ctx, id, account)
	if own != nil {
		copies = append(copies, foundCopy{Segment: own.Segment(0)})
	}
	switch best, lastEpoch := bestCopy(copies, have); {
	case best != nil && best.live:
		return r.follow(best), nil
	case best != nil:
		return r.takeOver(ctx, best.Segment, lastEpoch, have)
	case unreachable > 0:
		return nil, fault.New(fault.Unavailable, "%d daemons did not answer and may have request %q", unreachable, id).
			Remedy("retry").WithRetryAfter(1)
	case len(copies) > 0:
		return nil, fault.New(fault.Conflict, "no daemon has an answer to request %q that begins with the %d tokens received", id, have.Tokens).
			Remedy("read the answer from its beginning without a last event ID, or send the request again")
	}
	return nil, fault.New(fault.Missing, "no request %q", id).
		Remedy("check the ID; a complete answer is kept for %v", EndedRetention.Std())
}

// foundCopy is a copy of a request.
type foundCopy struct {
	stream.Segment
	// daemon is where the copy is, and live whether that daemon relays the request or has the complete answer.
	daemon member.Daemon
	live   bool
}

// findCopies searches all other daemons for a request. It returns the copies and the number of daemons that did not
// respond.
func (r *Relay) findCopies(ctx context.Context, id, account string) ([]foundCopy, int) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout.Std())
	defer cancel()
	var mu sync.Mutex
	var copies []foundCopy
	unreachable := 0
	var wait sync.WaitGroup
	for _, d := range r.Roster.Directory.Peers() {
		wait.Go(func() {
			response, err := r.Net.Client(d.Address).Fetch(ctx, connect.NewRequest(&peerpb.FetchRequest{Id: id, Account: account}))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				unreachable++
			case response.Msg.GetFound():
				copies = append(copies, foundCopy{Segment: wire.SegmentFromPB(response.Msg.GetRequest()), daemon: d, live: response.Msg.GetLive()})
			}
		})
	}
	wait.Wait()
	return copies, unreachable
}

// bestCopy returns the copy to continue from, or nil, and the last epoch of all copies. Of the copies that begin with
// what the caller has, it is that of the latest run; of these, one that is live, or else the longest.
func bestCopy(copies []foundCopy, have stream.Position) (best *foundCopy, lastEpoch uint64) {
	for i := range copies {
		c := &copies[i]
		lastEpoch = max(lastEpoch, c.Epoch)
		if have.In(c.Tokens) && (best == nil || c.betterThan(best)) {
			best = c
		}
	}
	return best, lastEpoch
}

func (c *foundCopy) betterThan(other *foundCopy) bool {
	switch {
	case c.Supersedes(&other.Segment):
		return true
	case other.Supersedes(&c.Segment):
		return false
	case c.live != other.live:
		return c.live
	}
	return len(c.Tokens) > len(other.Tokens)
}

// takeOver continues a request from a copy of its record. This daemon becomes its holder, in an epoch after
// lastEpoch.
func (r *Relay) takeOver(ctx context.Context, latest stream.Segment, lastEpoch uint64, have stream.Position) (*stream.Record, error) {
	r.takeOverMu.Lock()
	defer r.takeOverMu.Unlock()
	if record := r.relayed(latest.ID); record != nil && have.In(record.State().Tokens) {
		return record, nil
	}
	record := stream.Restore(r.Clock.Now(), latest)
	record.SetHolder(r.Self.Holder(), lastEpoch+1)
	m, err := r.selectMirror(ctx, record, "")
	if errors.Is(err, errSuperseded) {
		return nil, fault.New(fault.Unavailable, "another daemon has just taken request %q over", latest.ID).
			Remedy("retry").WithRetryAfter(1)
	}
	r.Table.Replace(record)
	r.endSuperseded(record.ID)
	r.Stats.TakenOver.Add(1)
	r.Log.Info("took over a request", "request", record.ID, "tokens", len(latest.Tokens))
	record.Show(len(latest.Tokens))
	r.startSession(record, m, nil)
	return record, nil
}

// follow returns a record that is kept up to date from the daemon that relays the request.
func (r *Relay) follow(c *foundCopy) *stream.Record {
	record := stream.Restore(r.Clock.Now(), c.Segment)
	r.group.Go(func() { r.followFrom(c.daemon, record) })
	return record
}

func (r *Relay) followFrom(d member.Daemon, record *stream.Record) {
	failures := 0
	for !record.State().Done && r.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(r.ctx, followTimeout.Std())
		response, err := r.Net.Client(d.Address).Fetch(ctx, connect.NewRequest(&peerpb.FetchRequest{
			Id: record.ID, Account: record.Account, First: uint32(len(record.State().Tokens)),
		}))
		cancel()
		if err == nil && response.Msg.GetFound() && response.Msg.GetLive() {
			failures = 0
			if record.Merge(r.Clock.Now(), wire.SegmentFromPB(response.Msg.GetRequest())) {
				continue
			}
			// The daemon relays another run of the request.
			record.MarkMoved()
			return
		}
		if failures++; failures > maxFollowFailures {
			record.MarkMoved()
			return
		}
		runner.Pause(r.ctx, pollInterval)
	}
}

// Limits of calls between daemons and of polling.
const (
	followTimeout = 2 * clock.Second
	// searchTimeout bounds the search for a request on the other daemons.
	searchTimeout = 1500 * clock.Millisecond
	// fetchWaitTime is how long Fetch waits for the next token. It is well below followTimeout and
	// searchTimeout, so that the calling daemon receives a reply before its own timeout.
	fetchWaitTime     = clock.Second
	maxFollowFailures = 3
	// pollInterval is the pause between two checks of Stop, and after a fetch from another daemon that
	// failed. The pause before a request is retried is pollInterval times its number of failures.
	pollInterval = 50 * clock.Millisecond
)

// sweep cancels requests that no caller has read for ResumeGrace and removes old records.
func (r *Relay) sweep() {
	now := r.Clock.Now()
	r.mu.Lock()
	for _, s := range r.sessions {
		if now.Sub(s.callerSeenAt) > ResumeGrace {
			s.abandoned = true
			s.cancel()
		}
	}
	r.mu.Unlock()
	r.Table.Sweep(now)
}

// ServerRemoved is notified of backend servers that no longer receive new work.
func (r *Relay) ServerRemoved(b fleet.Backend) { r.removed.Offer(b) }

func (r *Relay) watchServers(ctx context.Context) {
	for {
		b, err := r.removed.Take(ctx)
		if err != nil {
			return
		}
		switch b.State {
		case fleet.Reclaimed:
			r.drainServer(&b)
		case fleet.Expired:
			r.drainAll(b.Address, drain.Recompute)
		}
	}
}

// drainServer decides how to drain each stream on a server whose VM is being reclaimed.
func (r *Relay) drainServer(b *fleet.Backend) {
	now := r.Clock.Now()
	sessions := r.sessionsAt(b.Address)
	streams := make([]drain.Stream, 0, len(sessions))
	for id, s := range sessions {
		streams = append(streams, s.drainStream(id))
	}
	notice := drain.Notice{Now: now, Deadline: b.ReclaimAt, Export: true, ExportRate: exportRate}
	for _, a := range drain.Plan(notice, streams) {
		r.Stats.Drained[a.Method].Add(1)
		if a.Method != drain.Finish {
			sessions[a.ID].decisions.Offer(a.Method)
		}
	}
}

// exportRate is the number of tokens whose KV cache an engine is assumed to export per millisecond.
const exportRate = 50

// drainAll drains all streams at address by the same method.
func (r *Relay) drainAll(address string, method drain.Method) {
	for _, s := range r.sessionsAt(address) {
		s.decisions.Offer(method)
	}
}

func (r *Relay) sessionsAt(address string) map[string]*session {
	r.mu.Lock()
	defer r.mu.Unlock()
	sessions := make(map[string]*session)
	for id, s := range r.sessions {
		if s.serverAddress() == address {
			sessions[id] = s
		}
	}
	return sessions
}
