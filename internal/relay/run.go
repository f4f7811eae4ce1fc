package relay

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/crash"
	"swiftbeam/internal/drain"
	"swiftbeam/internal/engine"
	"swiftbeam/internal/moves"
	"swiftbeam/internal/ring"
	"swiftbeam/internal/roster"
	"swiftbeam/internal/route"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/stream"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// Stats counts what the relay did.
type Stats struct {
	Resumed   atomic.Int64
	Stalled   atomic.Int64
	TakenOver atomic.Int64
	Abandoned atomic.Int64
	// Drained counts the decisions on streams of reclaimed servers, indexed by drain.Method.
	Drained [3]atomic.Int64
}

// session is one request while this daemon relays it.
type session struct {
	relay  *Relay
	record *stream.Record
	route  fleet.Route
	// suspects are the traits of the request that might crash engines.
	suspects []crash.Suspect
	cancel   context.CancelFunc
	// decisions receives the method by which the stream is drained from its server.
	decisions *ring.Ring[drain.Method]
	done      func()
	// callerSeenAt, abandoned and superseded are guarded by the mutex of the relay.
	callerSeenAt clock.Instant
	abandoned    bool
	// superseded is set when another daemon has taken over the request.
	superseded bool
	startedAt  clock.Instant
	// failures counts failed attempts; only the goroutine of the session uses it.
	failures int

	mu               sync.Mutex
	mirror           *mirror // nil while there is none
	acked            int     // number of tokens that the mirror has stored
	resends          int     // rejections by the present mirror
	nextMirrorSearch clock.Instant
	address          string // of the server of the running attempt
	firstToken       clock.Instant
	lastToken        clock.Instant
	attemptTokens    int // tokens received in the running attempt
}

// maxFailures is the number of failed attempts after which a request fails; moves at a reclaim do
// not count.
const maxFailures = 8

// run relays the request until it ends, at one engine after another.
func (s *session) run(ctx context.Context) {
	defer s.relay.removeSession(s)
	if s.done != nil {
		defer s.done()
	}
	call := s.engineCall()
	avoid := ""
	for s.failures < maxFailures && ctx.Err() == nil {
		out := s.attempt(ctx, call, avoid)
		avoid, call.ImportFrom = out.address, out.importFrom
		switch {
		case out.finished:
			s.showRemaining()
			return
		case out.refusal != "":
			s.record.Fail(s.relay.Clock.Now(), out.refusal)
			s.showRemaining()
			return
		case !out.moved:
			s.failures++
			s.backOff(ctx)
			if err := s.relay.Guard.AwaitVerdict(ctx, s.suspects); err != nil {
				s.record.Fail(s.relay.Clock.Now(), err.Error())
				s.showRemaining()
				return
			}
		}
		s.relay.Stats.Resumed.Add(1)
	}
	s.endUnfinished()
}

// backOff waits before the next attempt: longer after each failure, and another second when the
// retry budget is exhausted. An accepted request never fails for lack of retry budget.
func (s *session) backOff(ctx context.Context) {
	runner.Pause(ctx, clock.Duration(s.failures)*pollInterval)
	if !s.relay.spendRetry() {
		runner.Pause(ctx, clock.Second)
	}
}

func (s *session) engineCall() engine.Call {
	return engine.Call{
		ID: s.record.ID, Body: s.record.Prompt(), Chat: s.record.Chat, Priority: int(s.route.Priority),
	}
}

// showRemaining makes the last tokens of the record visible once the mirror has stored them, or without
// the mirror after twice its timeout. If the daemon stops before, they stay hidden: a caller that had them could not
// resume at the mirror.
func (s *session) showRemaining() {
	s.notifyMirror()
	for deadline := s.relay.Clock.Now().Add(2 * mirrorTimeout); s.relay.Clock.Now().Before(deadline); {
		if _, end, _ := s.peek(); end.Done {
			return
		}
		if s.relay.ctx.Err() != nil {
			return
		}
		runner.Pause(s.relay.ctx, clock.Millisecond)
	}
	s.record.Show(len(s.record.State().Tokens))
}

// peek returns the end of the record without waiting for further tokens.
func (s *session) peek() ([]string, stream.End, error) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return s.record.Next(ctx, s.record.State().Visible)
}

// endUnfinished ends a session without a complete response: another daemon took the request over, no
// caller reads it, it failed too often, or the daemon is stopping.
func (s *session) endUnfinished() {
	s.relay.mu.Lock()
	abandoned, superseded := s.abandoned, s.superseded
	s.relay.mu.Unlock()
	if superseded {
		s.relay.Table.Remove(s.record)
		s.record.MarkMoved()
		return
	}
	switch {
	case abandoned:
		s.relay.Stats.Abandoned.Add(1)
		s.record.Fail(s.relay.Clock.Now(), "cancelled: no caller read the answer")
	case s.relay.ctx.Err() == nil:
		s.record.Fail(s.relay.Clock.Now(), "no model engine completed the answer; send the request again")
	default:
		return
	}
	s.showRemaining()
}

// outcome is the result of one attempt. An attempt that neither finished nor moved and has no
// refusal has failed.
type outcome struct {
	finished   bool
	moved      bool   // the stream was ended at its server because of a reclaim
	refusal    string // the engine's reason to reject the request itself
	address    string
	importFrom string // address of the engine that exported the KV cache
}

// attempt relays the request from one engine.
func (s *session) attempt(ctx context.Context, call engine.Call, avoid string) outcome {
	wait, cancelWait := context.WithTimeout(ctx, s.route.Timeout.Std())
	grant, version, err := s.acquire(wait, avoid)
	cancelWait()
	if err != nil {
		return outcome{}
	}
	call.Version = version
	call.Resume = s.record.State().Tokens
	s.beginAttempt(grant.Address, version)
	s.relay.Guard.Sent(s.record.Service)
	out := s.stream(ctx, grant, call)
	if out.finished {
		s.relay.Guard.Succeeded(s.record.Service, s.suspects, s.startedAt)
	}
	out.address = grant.Address
	s.finishAttempt(grant, version, out)
	return out
}

// acquire selects a server for the next attempt, and returns its version too.
func (s *session) acquire(ctx context.Context, avoid string) (*roster.Grant, string, error) {
	prompt := string(s.record.Prompt())
	prefixes := route.Prefixes(nil, prompt)
	requirements := func() roster.Requirements {
		n := roster.Requirements{Service: s.record.Service, Prefixes: prefixes, Avoid: avoid}
		n.Version, n.MaxServers = s.nextVersion()
		return n
	}
	version := ""
	grant, err := s.relay.Roster.Acquire(ctx, func() roster.Requirements {
		n := requirements()
		version = n.Version
		return n
	})
	return grant, version, err
}

// nextVersion returns the version for the next attempt and the number of its servers to use; zero means
// all. After a failure it is the settled version. Otherwise a response that has tokens continues with
// its version while that has ready servers and may receive new work.
func (s *session) nextVersion() (string, int) {
	versions := s.relay.Versions
	state := s.record.State()
	current := state.Version
	usable := current != "" && !versions.Avoids(s.record.Service, current) && s.relay.Roster.CountReady(s.record.Service, current) > 0
	switch {
	case s.failures > 0:
		return versions.SettledVersion(s.record.Service), 0
	case usable && len(state.Tokens) > 0:
		return current, 0
	}
	return versions.Pick(s.record.Service, s.record.Route, s.record.ID)
}

func (s *session) beginAttempt(address, version string) {
	s.record.SetVersion(version)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = address
	s.startedAt = s.relay.Clock.Now()
	s.firstToken, s.lastToken, s.attemptTokens = 0, 0, 0
}

// result is how an engine call ended.
type result struct {
	end engine.End
	err error
}

// stream runs the engine call until it ends, stalls, or is moved because of a reclaim.
func (s *session) stream(ctx context.Context, grant *roster.Grant, call engine.Call) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan result, 1)
	s.relay.group.Go(func() {
		end, err := s.relay.Engine.Stream(ctx, grant.Address, call, s.appendToken)
		ended <- result{end: end, err: err}
	})
	ticker := time.NewTicker(stallCheckInterval.Std())
	defer ticker.Stop()
	for {
		select {
		case r := <-ended:
			if r.err != nil && ctx.Err() == nil {
				s.observeBreak(ctx, r.err, grant, call.Version)
			}
			return s.deriveOutcome(r)
		case method := <-s.decisions.Out():
			return s.move(ctx, cancel, method, grant, ended)
		case <-ticker.C:
			if s.stalled() {
				s.relay.Stats.Stalled.Add(1)
				cancel()
				<-ended
				s.cancelAt(grant.Address)
				return outcome{}
			}
		}
	}
}

// observeBreak reports an engine call whose connection broke, as the request may have crashed the engine.
func (s *session) observeBreak(ctx context.Context, err error, grant *roster.Grant, version string) {
	var status *engine.StatusError
	if errors.As(err, &status) || errors.Is(err, engine.ErrToolCalls) || engine.NotSent(err) {
		return
	}
	s.mu.Lock()
	b := crash.Break{
		Service: s.record.Service, Server: grant.StartID(), Run: crash.Run{SentAt: s.startedAt, Suspects: s.suspects}, RespondedAt: s.firstToken,
		Explained: grant.Leaving() || s.relay.Versions.OnTrial(s.record.Service, version),
	}
	s.mu.Unlock()
	s.relay.Guard.Broke(ctx, grant.Address, b)
}

// deriveOutcome derives the outcome of an attempt from the end of its engine call.
func (s *session) deriveOutcome(r result) outcome {
	if r.err == nil && r.end.Finish == engine.Exported {
		// Nobody asked for an export.
		return outcome{}
	}
	if r.err == nil {
		s.record.End(s.relay.Clock.Now(), r.end.Finish)
		return outcome{finished: true}
	}
	if errors.Is(r.err, engine.ErrToolCalls) {
		return outcome{refusal: engine.ErrToolCalls.Error()}
	}
	var status *engine.StatusError
	if errors.As(r.err, &status) && len(s.record.State().Tokens) == 0 && refusesRequest(status.Status) {
		return outcome{refusal: cmp.Or(status.Text, "the model engine refused the request with status "+strconv.Itoa(status.Status))}
	}
	return outcome{}
}

// refusesRequest reports whether a status means that the request is invalid at any engine. One that another engine
// has begun to answer is valid, whatever a later one says.
func refusesRequest(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// move ends the engine call because its server will be reclaimed, so that another server continues the
// stream. With drain.Export, the engine sends the KV cache to that server. If no server can import it, or
// the export fails, the next server recomputes the KV cache.
func (s *session) move(ctx context.Context, cancel context.CancelFunc, method drain.Method, grant *roster.Grant, ended chan result) outcome {
	if method == drain.Export {
		if target := s.exportTarget(grant.Address); target != "" {
			timeout, stop := context.WithTimeout(ctx, StallTimeout.Std())
			defer stop()
			if s.relay.Engine.Export(timeout, grant.Address, s.record.ID, target) == nil {
				select {
				case r := <-ended:
					return s.movedOutcome(r, grant.Address)
				case <-timeout.Done():
				}
			}
		}
	}
	cancel()
	r := <-ended
	if r.err != nil {
		s.cancelAt(grant.Address)
		return outcome{moved: true}
	}
	return s.movedOutcome(r, grant.Address)
}

// movedOutcome is deriveOutcome after an export was requested.
func (s *session) movedOutcome(r result, address string) outcome {
	if r.err == nil && r.end.Finish == engine.Exported {
		return outcome{moved: true, importFrom: address}
	}
	return s.deriveOutcome(r)
}

// exportTarget returns the address of another server of the same version that can import the KV
// cache, or an empty string.
func (s *session) exportTarget(from string) string {
	g := s.relay.Roster.TryAcquire(roster.Requirements{
		Service: s.record.Service, Version: s.record.State().Version, Avoid: from,
	})
	if g == nil || g.Address == from {
		return ""
	}
	g.Release(route.Outcome{})
	return g.Address
}

// cancelAt cancels the request at an engine by a separate call.
func (s *session) cancelAt(address string) {
	ctx, cancel := context.WithTimeout(s.relay.ctx, mirrorTimeout.Std())
	defer cancel()
	_ = s.relay.Engine.Cancel(ctx, address, s.record.ID)
}

// appendToken receives one token from the engine.
func (s *session) appendToken(text string) {
	s.record.Append(text)
	now := s.relay.Clock.Now()
	s.mu.Lock()
	if s.firstToken == 0 {
		s.firstToken = now
	}
	s.lastToken = now
	s.attemptTokens++
	s.mu.Unlock()
	s.notifyMirror()
}

// stalled reports whether the engine has sent no token for too long.
func (s *session) stalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := max(s.lastToken, s.startedAt)
	limit := StallTimeout
	if s.firstToken == 0 {
		limit = max(limit, firstTokenFactor*s.route.FirstTokenTarget)
	}
	return s.relay.Clock.Now().Sub(last) > limit
}

// firstTokenFactor times the route's target for the first token is the time without a first token
// after which a stream counts as stalled, if that is longer than StallTimeout.
const firstTokenFactor = 10

// finishAttempt reports the result of the attempt to routing and to the evidence on versions.
func (s *session) finishAttempt(grant *roster.Grant, version string, out outcome) {
	s.mu.Lock()
	first, gap := s.latencies()
	s.address = ""
	s.mu.Unlock()
	failed := !out.finished && !out.moved && out.refusal == "" && s.relay.ctx.Err() == nil
	grant.Release(route.Outcome{FirstToken: clock.Duration(first), TokenGap: gap, Failed: failed})
	if out.moved || out.refusal != "" {
		return
	}
	o := moves.Observation{
		Service: s.record.Service, Version: version, Route: s.record.Route, Account: s.record.Account,
		Failed: failed, FirstToken: first, TokenGap: gap,
	}
	if out.finished {
		o.Tokens = len(s.record.State().Tokens)
	}
	s.relay.Versions.Observe(o)
}

// latencies returns the time to first token, 1 at least, and the mean token gap of the attempt in
// milliseconds.
func (s *session) latencies() (first, gap float64) {
	if s.firstToken != 0 {
		first = float64(s.firstToken.Sub(s.startedAt))
	}
	if s.attemptTokens > 1 {
		gap = float64(s.lastToken.Sub(s.firstToken)) / float64(s.attemptTokens-1)
	}
	return max(first, 1), gap
}

// drainStream describes the session for the decision on how to drain it.
func (s *session) drainStream(id string) drain.Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, gap := s.latencies()
	generated, prompt := len(s.record.State().Tokens), s.record.Prompt()
	return drain.Stream{
		ID: id, Priority: s.route.Priority, CachedTokens: generated + len(prompt)/bytesPerToken,
		Remaining: max(maxTokens(prompt)-generated, 1), TokenGap: max(gap, 1),
	}
}

// bytesPerToken is used to estimate the number of tokens of a prompt from its length.
const bytesPerToken = 4

// defaultMaxTokens is assumed when a request does not limit the length of its response.
const defaultMaxTokens = 1024

func maxTokens(body []byte) int {
	var q struct {
		MaxTokens           int `json:"max_tokens"`
		MaxCompletionTokens int `json:"max_completion_tokens"`
	}
	_ = json.Unmarshal(body, &q)
	if n := max(q.MaxTokens, q.MaxCompletionTokens); n > 0 {
		return n
	}
	return defaultMaxTokens
}

func (s *session) serverAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// notifyMirror lets the mirror send the new tokens. Without a mirror the tokens become visible at
// once, and a new mirror is searched for every mirrorSearchInterval.
func (s *session) notifyMirror() {
	s.mu.Lock()
	m := s.mirror
	search := m == nil && !s.relay.Clock.Now().Before(s.nextMirrorSearch)
	if search {
		s.nextMirrorSearch = s.relay.Clock.Now().Add(mirrorSearchInterval)
	}
	s.mu.Unlock()
	if m != nil {
		m.enqueue(s)
		return
	}
	s.record.Show(len(s.record.State().Tokens))
	if search {
		s.replaceMirror("")
	}
}

// mirrorSearchInterval is the minimum time between two searches for a mirror.
const mirrorSearchInterval = 500 * clock.Millisecond

// ackedCount returns the number of tokens that the mirror has stored.
func (s *session) ackedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acked
}

// setAcked records that m has stored the first count tokens, and makes them visible. It has no
// effect when m is no longer the mirror of the session.
func (s *session) setAcked(m *mirror, count int) {
	s.mu.Lock()
	current := s.mirror == m
	if current {
		s.acked = max(s.acked, count)
	}
	s.mu.Unlock()
	if current {
		s.record.Show(count)
	}
}

// resend sends the complete record again to a mirror that rejected a segment. A mirror that has taken
// over the request keeps rejecting; after maxResends the session ends as superseded.
func (s *session) resend(m *mirror) {
	s.mu.Lock()
	again := s.mirror == m && s.resends < maxResends
	s.resends++
	s.acked = 0
	s.mu.Unlock()
	if again {
		m.enqueue(s)
		return
	}
	s.supersede()
}

// supersede ends the session because another daemon has taken over the request.
func (s *session) supersede() {
	s.relay.mu.Lock()
	s.superseded = true
	s.relay.mu.Unlock()
	s.cancel()
}

// maxResends is the number of times that the record is sent again to one mirror that rejects it. After
// one more rejection, the mirror is assumed to serve the request itself.
const maxResends = 3

// replaceMirror selects another mirror after the one with the given ID failed.
func (s *session) replaceMirror(failed string) {
	s.relay.group.Go(func() {
		m, err := s.relay.selectMirror(s.relay.ctx, s.record, failed)
		if errors.Is(err, errSuperseded) {
			s.supersede()
			return
		}
		s.mu.Lock()
		s.mirror = m
		s.acked, s.resends = 0, 0
		s.mu.Unlock()
		s.notifyMirror()
	})
}

// stallCheckInterval is the time between two checks of a stream for progress.
const stallCheckInterval = 100 * clock.Millisecond
