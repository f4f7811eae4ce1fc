package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

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

// Stats count what the relay did.
type Stats struct {
	Resumed   atomic.Int64
	Stalled   atomic.Int64
	TakenOver atomic.Int64
	Abandoned atomic.Int64
	// Drained counts decisions at reclaims by drain.Method.
	Drained [3]atomic.Int64
}

// run is one request that this daemon relays.
type run struct {
	relay  *Relay
	record *stream.Record
	route  fleet.Route
	cancel context.CancelFunc
	// orders are decisions of a reclaim.
	orders *ring.Ring[drain.Method]
	done   func()
	// readAt, abandoned and superseded are guarded by the mutex of the relay.
	readAt    clock.Instant
	abandoned bool
	// superseded is set when another daemon took the request over.
	superseded bool
	startedAt  clock.Instant
	// failures counts failed attempts; only the goroutine of the run uses it.
	failures int

	mu         sync.Mutex
	mirror     *mirror
	sent       int
	resends    int
	lookAt     clock.Instant
	at         string
	firstToken clock.Instant
	lastToken  clock.Instant
	fresh      int
}

// attemptsMax bounds the failures, reclaims not counted, that a request survives.
const attemptsMax = 8

// carry relays the request until it ends.
func (x *run) carry(ctx context.Context) {
	defer x.relay.forget(x.record.ID)
	if x.done != nil {
		defer x.done()
	}
	call := x.call()
	avoid := ""
	for x.failures < attemptsMax && ctx.Err() == nil {
		out := x.attempt(ctx, call, avoid)
		avoid, call.ImportFrom = out.address, out.importFrom
		switch {
		case out.finished:
			x.settle(ctx)
			return
		case out.refusal != "":
			x.record.Fail(x.relay.Clock.Now(), out.refusal)
			x.settle(ctx)
			return
		case !out.moved:
			x.failures++
			x.backOff(ctx)
		}
		x.relay.Stats.Resumed.Add(1)
	}
	x.giveUp()
}

// backOff waits before the next attempt: longer after each failure, and for a second where the
// retry budget is spent. An accepted request is never dropped for want of budget.
func (x *run) backOff(ctx context.Context) {
	runner.Pause(ctx, clock.Duration(x.failures)*acquireStep)
	if !x.relay.mayRetry() {
		runner.Pause(ctx, clock.Second)
	}
}

func (x *run) call() engine.Call {
	return engine.Call{
		ID: x.record.ID, Body: x.record.Body, Chat: x.record.Chat, Priority: int(x.route.Priority),
	}
}

// settle shows the rest of the record once the mirror has it.
func (x *run) settle(ctx context.Context) {
	x.touch()
	for deadline := x.relay.Clock.Now().Add(2 * mirrorTimeout); x.relay.Clock.Now().Before(deadline); {
		if _, end, _ := x.peek(); end.Done {
			return
		}
		runner.Pause(ctx, clock.Millisecond)
	}
	x.record.Show(len(x.record.State().Tokens))
}

// peek returns the shown tokens without waiting.
func (x *run) peek() ([]string, stream.End, error) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return x.record.Next(ctx, x.record.State().Shown)
}

func (x *run) giveUp() {
	x.relay.mu.Lock()
	abandoned, superseded := x.abandoned, x.superseded
	x.relay.mu.Unlock()
	if superseded {
		x.relay.Table.Drop(x.record.ID)
		x.record.Move()
		return
	}
	if abandoned {
		x.relay.Stats.Abandoned.Add(1)
		x.record.Fail(x.relay.Clock.Now(), "cancelled: no caller read the answer")
	} else if x.relay.ctx.Err() == nil {
		x.record.Fail(x.relay.Clock.Now(), "no model engine completed the answer; send the request again")
	}
	x.record.Show(len(x.record.State().Tokens))
}

// outcome is the end of one attempt.
type outcome struct {
	finished   bool
	moved      bool
	refusal    string
	address    string
	importFrom string
}

// attempt relays the request at one engine.
func (x *run) attempt(ctx context.Context, call engine.Call, avoid string) outcome {
	wait, cancelWait := context.WithTimeout(ctx, x.route.Timeout.Std())
	grant, version, err := x.acquire(wait, avoid)
	cancelWait()
	if err != nil {
		return outcome{}
	}
	call.Version = version
	call.Resume = x.record.State().Tokens
	x.begin(grant.Address, version)
	out := x.stream(ctx, grant, call)
	out.address = grant.Address
	x.finish(grant, version, out)
	return out
}

// acquire chooses a server, staying with the version of the tokens so far where possible.
func (x *run) acquire(ctx context.Context, avoid string) (*roster.Grant, string, error) {
	prompt := string(x.record.Body)
	prefixes := route.Prefixes(nil, prompt)
	need := func() roster.Requirements {
		n := roster.Requirements{Service: x.record.Service, Prefixes: prefixes, Avoid: avoid}
		n.Version, n.MaxServers = x.version()
		return n
	}
	version := ""
	grant, err := x.relay.Roster.Acquire(ctx, func() roster.Requirements {
		n := need()
		version = n.Version
		return n
	})
	return grant, version, err
}

// version returns the version for the next attempt and how many of its servers to use. A
// started answer stays with its version; after a failure the settled version is used.
func (x *run) version() (string, int) {
	versions := x.relay.Versions
	state := x.record.State()
	pinned := state.Version
	usable := pinned != "" && !versions.Avoids(x.record.Service, pinned) && x.relay.Roster.CountReady(x.record.Service, pinned) > 0
	switch {
	case x.failures > 0:
		return versions.Settled(x.record.Service), 0
	case usable && len(state.Tokens) > 0:
		return pinned, 0
	}
	return versions.Pick(x.record.Service, x.record.Route, x.record.ID)
}

func (x *run) begin(address, version string) {
	x.record.SetVersion(version)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.at = address
	x.startedAt = x.relay.Clock.Now()
	x.firstToken, x.lastToken, x.fresh = 0, 0, 0
}

// result is the end of an engine call.
type result struct {
	end engine.End
	err error
}

// stream runs the engine call until it ends, stalls, or a reclaim moves it.
func (x *run) stream(ctx context.Context, grant *roster.Grant, call engine.Call) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan result, 1)
	x.relay.group.Go(func() {
		end, err := x.relay.Engine.Stream(ctx, grant.Address, call, x.token)
		ended <- result{end: end, err: err}
	})
	watch := time.NewTicker(stallCheck.Std())
	defer watch.Stop()
	for {
		select {
		case r := <-ended:
			return x.conclude(r, grant.Address)
		case way := <-x.orders.Out():
			return x.move(ctx, cancel, way, grant, ended)
		case <-watch.C:
			if x.stalled() {
				x.relay.Stats.Stalled.Add(1)
				cancel()
				<-ended
				x.cancelAt(grant.Address)
				return outcome{}
			}
		}
	}
}

func (x *run) conclude(r result, address string) outcome {
	if r.err == nil && r.end.Finish == exportedFinish {
		return outcome{moved: true, importFrom: address}
	}
	if r.err == nil {
		x.record.End(x.relay.Clock.Now(), r.end.Finish)
		return outcome{finished: true}
	}
	var status *engine.StatusError
	if errors.As(r.err, &status) && status.Status < http.StatusInternalServerError && status.Status != http.StatusTooManyRequests {
		return outcome{refusal: status.Text}
	}
	return outcome{}
}

// exportedFinish is the finish reason of a stream whose KV cache was exported.
const exportedFinish = "exported"

// move carries out the decision of a reclaim.
func (x *run) move(ctx context.Context, cancel context.CancelFunc, way drain.Method, grant *roster.Grant, ended chan result) outcome {
	if way == drain.Export {
		if target := x.exportTarget(grant.Address); target != "" {
			timeout, stop := context.WithTimeout(ctx, StallTimeout.Std())
			err := x.relay.Engine.Export(timeout, grant.Address, x.record.ID, target)
			stop()
			if err == nil {
				return x.conclude(<-ended, grant.Address)
			}
		}
	}
	cancel()
	r := <-ended
	if r.err == nil {
		return x.conclude(r, grant.Address)
	}
	x.cancelAt(grant.Address)
	return outcome{moved: true}
}

// exportTarget names a server of the same version for an exported KV cache.
func (x *run) exportTarget(from string) string {
	g := x.relay.Roster.TryAcquire(roster.Requirements{
		Service: x.record.Service, Version: x.record.State().Version, Avoid: from,
	})
	if g == nil || g.Address == from {
		return ""
	}
	g.Release(route.Outcome{})
	return g.Address
}

// cancelAt ends the request at an engine over a fresh connection.
func (x *run) cancelAt(address string) {
	ctx, cancel := context.WithTimeout(x.relay.ctx, mirrorTimeout.Std())
	defer cancel()
	_ = x.relay.Engine.Cancel(ctx, address, x.record.ID)
}

// token takes one token from the engine.
func (x *run) token(text string) {
	x.record.Append(text)
	now := x.relay.Clock.Now()
	x.mu.Lock()
	if x.firstToken == 0 {
		x.firstToken = now
	}
	x.lastToken = now
	x.fresh++
	x.mu.Unlock()
	x.touch()
}

func (x *run) stalled() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	last := max(x.lastToken, x.startedAt)
	limit := StallTimeout
	if x.firstToken == 0 {
		limit = max(limit, firstTokenStalls*x.route.FirstTokenTarget)
	}
	return x.relay.Clock.Now().Sub(last) > limit
}

// firstTokenStalls is the wait for a first token, in targets, after which the engine counts as
// silent.
const firstTokenStalls = 10

// finish reports how the attempt went to routing and to the version evidence.
func (x *run) finish(grant *roster.Grant, version string, out outcome) {
	x.mu.Lock()
	first, gap := x.latencies()
	x.at = ""
	x.mu.Unlock()
	failed := !out.finished && !out.moved && out.refusal == "" && x.relay.ctx.Err() == nil
	grant.Release(route.Outcome{FirstToken: clock.Duration(first), TokenGap: gap, Failed: failed})
	if out.moved || out.refusal != "" {
		return
	}
	o := moves.Observation{
		Service: x.record.Service, Version: version, Route: x.record.Route, Account: x.record.Account,
		Failed: failed, FirstToken: first, TokenGap: gap,
	}
	if out.finished {
		o.Tokens = len(x.record.State().Tokens)
	}
	x.relay.Versions.Observe(o)
}

// latencies returns the first-token time and the mean token gap of the attempt in milliseconds.
func (x *run) latencies() (first, gap float64) {
	if x.firstToken != 0 {
		first = float64(x.firstToken.Sub(x.startedAt))
	}
	if x.fresh > 1 {
		gap = float64(x.lastToken.Sub(x.firstToken)) / float64(x.fresh-1)
	}
	return max(first, 1), gap
}

// standing describes the run to the decision about a reclaim.
func (x *run) standing(id string) drain.Stream {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, gap := x.latencies()
	done := len(x.record.State().Tokens)
	return drain.Stream{
		ID: id, Priority: x.route.Priority, Held: done + len(x.record.Body)/bytesPerToken,
		Remaining: max(maxTokens(x.record.Body)-done, 1), Gap: max(gap, 1),
	}
}

// bytesPerToken estimates the tokens of a prompt.
const bytesPerToken = 4

// defaultMaxTokens is assumed where a request does not bound its answer.
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

func (x *run) address() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.at
}

// touch sends new tokens to the mirror. Without a mirror they are shown at once, and a mirror is
// looked for again now and then.
func (x *run) touch() {
	x.mu.Lock()
	m := x.mirror
	look := m == nil && !x.relay.Clock.Now().Before(x.lookAt)
	if look {
		x.lookAt = x.relay.Clock.Now().Add(mirrorPause)
	}
	x.mu.Unlock()
	if m != nil {
		m.touch(x)
		return
	}
	x.record.Show(len(x.record.State().Tokens))
	if look {
		x.moveMirror("")
	}
}

// mirrorPause is the pause between two searches for a mirror.
const mirrorPause = 500 * clock.Millisecond

func (x *run) mirrored() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sent
}

func (x *run) setMirrored(m *mirror, count int) {
	x.mu.Lock()
	current := x.mirror == m
	if current {
		x.sent = max(x.sent, count)
	}
	x.mu.Unlock()
	if current {
		x.record.Show(count)
	}
}

// resend sends the whole record again to a mirror that lacks its beginning. A mirror that took
// the request over keeps refusing; the run ends there.
func (x *run) resend(m *mirror) {
	x.mu.Lock()
	again := x.mirror == m && x.resends < maxResends
	x.resends++
	x.sent = 0
	x.mu.Unlock()
	if again {
		m.touch(x)
		return
	}
	x.relay.mu.Lock()
	x.superseded = true
	x.relay.mu.Unlock()
	x.cancel()
}

// maxResends bounds the refusals of one mirror before the run counts as taken over.
const maxResends = 3

// moveMirror chooses another mirror after the one with the given ID failed.
func (x *run) moveMirror(failed string) {
	x.relay.group.Go(func() {
		m, _ := x.relay.place(x.relay.ctx, x.record, failed)
		x.mu.Lock()
		x.mirror = m
		x.sent, x.resends = 0, 0
		x.mu.Unlock()
		x.touch()
	})
}

// stallCheck is the pause between two looks at the progress of a stream.
const stallCheck = 100 * clock.Millisecond
