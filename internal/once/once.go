// Package once runs calls that must not be repeated. It writes a call to the replicated journal
// before it sends the first byte, and the outcome of the call afterwards:
//
//	key := state.OnceKey{Account: account, Route: route, Key: idempotencyKey}
//	answer, err := executor.Do(ctx, once.Call{OnceKey: key, Service: service, ...})
//
// After an error of kind Unknown the call may have run; after errors of other kinds it did not
// run. The right to send a call ends at a deadline that is set before the journal entry is
// proposed, so that a daemon which was paused in between does not send late. No other daemon sends
// the same call: it returns the outcome from the journal, or queries the backend servers for it.
package once

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/crash"
	"swiftbeam/internal/dial"
	"swiftbeam/internal/engine"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/moves"
	"swiftbeam/internal/roster"
	"swiftbeam/internal/route"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/spool"
	"swiftbeam/internal/state"
	"swiftbeam/internal/store"
	"swiftbeam/internal/valid"
	"swiftbeam/pkg/clock"
)

// Limits of a call.
const (
	// SendWindow is how long after its start a call may be sent to a backend server.
	SendWindow = 2 * clock.Second
	// PendingWait is how long a repeated request waits for the outcome of the first.
	PendingWait = 10 * clock.Second
	// QueryTimeout bounds one query of a backend server for an outcome.
	QueryTimeout = 2 * clock.Second
	// RecordTimeout is the longest time for which a response is delayed until the outcome is
	// recorded.
	RecordTimeout = 2 * clock.Second
	// CleanupTimeout bounds one attempt to record an outcome, which continues in the background after
	// RecordTimeout.
	CleanupTimeout = clock.Minute
	// MaxAnswerBytes is the maximum size of a backend server's response body.
	MaxAnswerBytes  = 16 << 20
	maxSendAttempts = 3
)

// Call is a call to a plain service.
type Call struct {
	state.OnceKey
	Request string // request ID
	Service string
	// Version returns the version of the service to send the call to.
	Version func() string
	Method  string
	Path    string
	Type    string // Content-Type header
	Body    []byte
	Timeout clock.Duration
	// Suspects are the traits of the call that might crash servers.
	Suspects []crash.Suspect
}

// Answer is the response of a backend server.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed reports that the answer is the recorded outcome of an earlier request with the same
	// key.
	Replayed bool

	// memory is that of Body; nil if the journal has it.
	memory *spool.Body
}

// Release returns the memory of the answer once it is not used any more.
func (a *Answer) Release() { a.memory.Release() }

// Interrupt sets a function that is called when the answer gives up its memory to others, for instance to end a write to a
// caller that does not read. It must not block.
func (a *Answer) Interrupt(f func()) {
	if a.memory != nil {
		a.memory.Interrupt(f)
	}
}

// Journal is the replicated record of calls; store.Store implements it.
type Journal interface {
	Propose(ctx context.Context, body state.Body) (state.Result, error)
	View(f func(*state.State))
	Changed() <-chan struct{}
}

var _ Journal = (*store.Store)(nil)

// Guard collects which calls crash servers; guard.Guard implements it.
type Guard interface {
	Sent(service string)
	Succeeded(service string, suspects []crash.Suspect, sentAt clock.Instant)
	Broke(ctx context.Context, address string, b crash.Break)
	// AwaitVerdict returns an error if calls with the traits must not be sent to another server.
	AwaitVerdict(ctx context.Context, suspects []crash.Suspect) error
}

// Servers selects backend servers; roster.Roster implements it.
type Servers interface {
	TryAcquire(n roster.Requirements) *roster.Grant
	// Addresses returns the addresses of the servers of a service whose lease has not expired,
	// including those that receive no new work.
	Addresses(service string) []string
	// Alive reports whether the daemon run that holder identifies was contacted within its lease.
	Alive(holder string) bool
}

// Executor is the service that runs the calls. Set the exported fields before use.
type Executor struct {
	// Self identifies this run of the daemon in the journal, as the holder of the calls that it
	// sends.
	Self    string
	Clock   clock.Clock
	Journal Journal
	Servers Servers
	// HTTP opens a new connection for each call.
	HTTP *http.Client
	// Dial opens connections to backend servers; nil for those of a net.Dialer.
	Dial dial.Func
	// Guard keeps calls that crash servers from further ones; it may be nil. OnTrial reports whether a move to
	// a version is in progress.
	Guard   Guard
	OnTrial func(service, version string) bool
	// Observe receives the result of each call as evidence on its version; it may be nil.
	Observe func(moves.Observation)
	Stats   Stats
	// MemoryBytes is the memory of the process, of which long answers use a part; zero if unknown.
	MemoryBytes int64

	bodies     spool.Spool
	bodiesOnce sync.Once

	ctx   context.Context
	group *runner.Group
}

// Stats counts the calls by their result.
type Stats struct {
	Answered atomic.Int64
	Replayed atomic.Int64
	NotRun   atomic.Int64
	// Unsure counts the calls whose outcome stayed unknown.
	Unsure atomic.Int64
	// Settled counts the calls whose outcome was found by querying backend servers.
	Settled atomic.Int64
}

// Start enables calls until ctx ends.
func (c *Executor) Start(ctx context.Context, g *runner.Group) error {
	c.ctx, c.group = ctx, g
	return nil
}

// Do runs a call, or returns the recorded outcome of an earlier request with the same key.
func (c *Executor) Do(ctx context.Context, q Call) (Answer, error) {
	sendBy := c.Clock.Now().Add(SendWindow)
	result, err := c.begin(q, sendBy)
	if err != nil {
		return Answer{}, err
	}
	switch result.Code {
	case state.Done:
		return c.run(q, sendBy)
	case state.KeyReused:
		return Answer{}, fault.New(fault.Invalid, "the idempotency key was used with a different request").
			Remedy("use a new key for each request")
	case state.Full:
		c.Stats.NotRun.Add(1)
		return Answer{}, fault.New(fault.Exhausted, "the journal of calls is full").Remedy("retry later").WithRetryAfter(60)
	}
	return c.replay(ctx, q, result.Once)
}

// begin proposes the start of the call to the journal; the result reports whether this daemon may run
// it. It does not use the caller's context, because a proposal that was sent must be followed up even
// when the caller disconnects.
func (c *Executor) begin(q Call, sendBy clock.Instant) (state.Result, error) {
	requestDigest := digest(q)
	ctx, cancel := context.WithTimeout(c.ctx, sendBy.Sub(c.Clock.Now()).Std())
	defer cancel()
	result, err := c.Journal.Propose(ctx, state.OnceBegin{
		OnceKey: q.OnceKey, Digest: requestDigest, Request: q.Request, Holder: c.Self,
	})
	if err == nil {
		return result, nil
	}
	c.Stats.NotRun.Add(1)
	c.recordLater(q, state.OnceEnd{Outcome: state.NotRun})
	return result, fault.New(fault.Unavailable, "cannot write to the journal of calls: %v", err).
		Remedy("retry with the same key").WithRetryAfter(1)
}

func digest(q Call) []byte {
	h := sha256.New()
	_, _ = io.WriteString(h, q.Method+" "+q.Path+"\n")
	_, _ = h.Write(q.Body)
	return h.Sum(nil)
}

// run sends a call that the journal allowed this daemon to run, and records its outcome.
func (c *Executor) run(q Call, sendBy clock.Instant) (Answer, error) {
	answer, sentTo, err := c.send(q, sendBy)
	switch {
	case err == nil:
		c.Stats.Answered.Add(1)
		c.record(q, answeredEnd(answer))
		return answer, nil
	case sentTo == "":
		c.Stats.NotRun.Add(1)
		c.record(q, state.OnceEnd{Outcome: state.NotRun})
		return Answer{}, err
	}
	if answer, ok := c.queryOutcome(sentTo, BackendKey(q.OnceKey)); ok {
		c.Stats.Settled.Add(1)
		c.record(q, answeredEnd(answer))
		return answer, nil
	}
	c.Stats.Unsure.Add(1)
	c.record(q, state.OnceEnd{Outcome: state.Unsure})
	return Answer{}, outcomeUnknown(q.Request)
}

func answeredEnd(a Answer) state.OnceEnd {
	e := state.OnceEnd{Outcome: state.Answered, Status: a.Status, ContentType: a.ContentType}
	if len(a.Body) <= state.MaxOnceBodyBytes {
		e.Body = a.Body
	} else {
		e.BodyOmitted = true
	}
	return e
}

func outcomeUnknown(request string) error {
	return fault.New(fault.Unknown, "the call was sent and its outcome is unknown; request %s", request).
		Remedy("resend with the same key to ask for the outcome; it will not run again").WithRetryAfter(5)
}

// send tries backend servers until one was reached. With an error, the returned address is empty
// when the call was certainly not sent; otherwise it is the server that may have received the call.
func (c *Executor) send(q Call, sendBy clock.Instant) (Answer, string, error) {
	avoid := ""
	for range maxSendAttempts {
		version := q.Version()
		g := c.Servers.TryAcquire(roster.Requirements{Service: q.Service, Version: version, Avoid: avoid})
		if g == nil {
			break
		}
		if c.Clock.Now().After(sendBy) || c.ctx.Err() != nil {
			g.Release(route.Outcome{})
			break
		}
		started := c.Clock.Now()
		answer, err := c.post(q, g.Address)
		c.observeEnd(q, g, version, started, err)
		g.Release(route.Outcome{Failed: err != nil})
		c.observe(q, version, c.Clock.Now().Sub(started), err != nil || answer.Status >= http.StatusInternalServerError)
		if err == nil || !engine.NotSent(err) {
			return answer, g.Address, err
		}
		avoid = g.Address
	}
	return Answer{}, "", fault.New(fault.Unavailable, "no backend server of %s could be reached", q.Service).
		Remedy("retry with the same key").WithRetryAfter(1)
}

// observeEnd reports a call that was completed, or whose connection broke, as it may have crashed the server.
func (c *Executor) observeEnd(q Call, g *roster.Grant, version string, sentAt clock.Instant, err error) {
	if c.Guard == nil || err != nil && engine.NotSent(err) {
		return
	}
	c.Guard.Sent(q.Service)
	if err == nil {
		c.Guard.Succeeded(q.Service, q.Suspects, sentAt)
		return
	}
	c.Guard.Broke(c.ctx, g.Address, crash.Break{
		Service: q.Service, Server: g.StartID(), Run: crash.Run{SentAt: sentAt, Suspects: q.Suspects}, Explained: g.Leaving() || c.OnTrial(q.Service, version),
	})
}

func (c *Executor) observe(q Call, version string, took clock.Duration, failed bool) {
	if c.Observe == nil {
		return
	}
	c.Observe(moves.Observation{
		Service: q.Service, Version: version, Route: q.Route, Account: q.Account,
		Failed: failed, FirstToken: float64(max(took, 1)),
	})
}

// post sends the call once. It hides the type of the body from the HTTP client, so that the client
// cannot rewind the body and retry the call when a reused connection fails.
func (c *Executor) post(q Call, address string) (Answer, error) {
	ctx, cancel := context.WithTimeout(c.ctx, q.Timeout.Std())
	defer cancel()
	body := struct{ io.Reader }{bytes.NewReader(q.Body)}
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+address+q.Path, body)
	if err != nil {
		return Answer{}, errors.Wrap(err, "build call")
	}
	r.ContentLength = int64(len(q.Body))
	r.Header.Set("Content-Type", q.Type)
	if q.Key != "" {
		r.Header.Set("Idempotency-Key", BackendKey(q.OnceKey))
	}
	r.Header.Set("Swiftbeam-Request-Id", q.Request)
	return c.read(r)
}

func (c *Executor) read(r *http.Request) (Answer, error) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	response, err := c.HTTP.Do(r.WithContext(ctx))
	if err != nil {
		return Answer{}, errors.Wrap(err, "call backend server")
	}
	defer response.Body.Close()
	if err := valid.CheckStatus(response.StatusCode); err != nil {
		return Answer{}, errors.Wrap(err, "read response")
	}
	body, err := c.spool().Read(ctx, spool.Source{Reader: response.Body, Length: response.ContentLength, Server: r.URL.Host, Interrupt: cancel})
	if err != nil {
		return Answer{}, errors.Wrap(err, "read response")
	}
	if endsWithConnection(response) {
		if err := c.confirmAlive(r.Context(), r.URL.Host); err != nil {
			body.Release()
			return Answer{}, err
		}
	}
	return Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body.Join(), memory: body}, nil
}

// endsWithConnection reports whether nothing but the end of the connection marks the end of a response.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !r.Uncompressed
}

// confirmAlive returns an error unless the server accepts connections after it has ended one. The system closes the
// connections of a process that was killed in the same way as those of complete responses.
func (c *Executor) confirmAlive(ctx context.Context, address string) error {
	runner.Pause(ctx, dial.EndPause)
	open := c.Dial
	if open == nil {
		open = (&net.Dialer{}).DialContext
	}
	ctx, cancel := context.WithTimeout(ctx, QueryTimeout.Std())
	defer cancel()
	conn, err := open(ctx, "tcp", address)
	if err != nil {
		// The error must not look like one of the call itself, which was sent.
		return errors.Newf("the response ended with its connection, and the server accepts no other: %v", err)
	}
	return conn.Close()
}

// spool returns the memory for answers until they are released.
func (c *Executor) spool() *spool.Spool {
	c.bodiesOnce.Do(func() { c.bodies.MaxBytes, c.bodies.TotalBytes = MaxAnswerBytes, spool.TotalFor(c.MemoryBytes) })
	return &c.bodies
}

// BackendKey returns the idempotency key that is sent to backend servers; it is unique across
// client accounts and routes.
func BackendKey(k state.OnceKey) string { return k.Account + "/" + k.Route + "/" + k.Key }

// queryOutcome queries a server over a new connection for the outcome of a call that was sent. Only
// a recorded outcome counts: a server without one may still be about to run the call.
func (c *Executor) queryOutcome(address, key string) (Answer, bool) {
	if key == "" || address == "" {
		return Answer{}, false
	}
	ctx, cancel := context.WithTimeout(c.ctx, QueryTimeout.Std())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/calls/"+url.PathEscape(key), nil)
	if err != nil {
		return Answer{}, false
	}
	answer, err := c.read(r)
	if err == nil && answer.Status >= http.StatusMultipleChoices {
		answer.Release()
	}
	return answer, err == nil && answer.Status < http.StatusMultipleChoices
}

// record writes an outcome to the journal. After RecordTimeout it returns, and the write continues in
// the background.
func (c *Executor) record(q Call, e state.OnceEnd) {
	done := make(chan struct{})
	c.group.Go(func() {
		defer close(done)
		c.propose(q, e)
	})
	select {
	case <-done:
	case <-time.After(RecordTimeout.Std()):
	case <-c.ctx.Done():
	}
}

func (c *Executor) recordLater(q Call, e state.OnceEnd) {
	c.group.Go(func() { c.propose(q, e) })
}

func (c *Executor) propose(q Call, e state.OnceEnd) {
	e.OnceKey, e.Request = q.OnceKey, q.Request
	ctx, cancel := context.WithTimeout(c.ctx, CleanupTimeout.Std())
	defer cancel()
	_, _ = c.Journal.Propose(ctx, e)
}

// replay returns the outcome of a call that an earlier request with the same key started. When the
// journal has no definite outcome, because the holder failed or received no response, replay queries
// the backend servers.
func (c *Executor) replay(ctx context.Context, q Call, r *state.OnceRecord) (Answer, error) {
	r = c.awaitOutcome(ctx, q.OnceKey, r)
	switch {
	case r == nil || r.Outcome == state.NotRun:
		c.Stats.NotRun.Add(1)
		return Answer{}, fault.New(fault.Unavailable, "the first request with this key was not run").
			Remedy("retry with the same key").WithRetryAfter(1)
	case r.Outcome == state.Answered && r.BodyOmitted:
		return c.replayOmitted(q, r)
	case r.Outcome == state.Answered:
		c.Stats.Replayed.Add(1)
		return Answer{Status: r.Status, ContentType: r.ContentType, Body: r.Body, Replayed: true}, nil
	}
	first := q
	first.Request = r.Request
	answer, ok := c.queryAll(q)
	switch {
	case !ok && r.Outcome == state.Pending && !c.holderAlive(r):
		c.record(first, state.OnceEnd{Outcome: state.Unsure})
		return Answer{}, outcomeUnknown(r.Request)
	case !ok:
		return Answer{}, outcomeUnknown(r.Request)
	}
	c.Stats.Settled.Add(1)
	c.record(first, answeredEnd(answer))
	answer.Replayed = true
	return answer, nil
}

// replayOmitted returns the outcome of a call whose response is too long for the journal.
func (c *Executor) replayOmitted(q Call, r *state.OnceRecord) (Answer, error) {
	if answer, ok := c.queryAll(q); ok {
		c.Stats.Replayed.Add(1)
		answer.Replayed = true
		return answer, nil
	}
	return Answer{}, fault.New(fault.Unknown, "the call was answered with status %d, and the response is not kept; request %s", r.Status, r.Request).
		Remedy("do not send it with another key; it has run")
}

// awaitOutcome waits, for PendingWait at most, while the holder of a call is alive and has not
// recorded the outcome.
func (c *Executor) awaitOutcome(ctx context.Context, key state.OnceKey, r *state.OnceRecord) *state.OnceRecord {
	ctx, cancel := context.WithTimeout(ctx, PendingWait.Std())
	defer cancel()
	for r != nil && r.Outcome == state.Pending && ctx.Err() == nil && c.holderAlive(r) {
		changed := c.Journal.Changed()
		if r = c.lookup(key); r == nil || r.Outcome != state.Pending {
			break
		}
		select {
		case <-changed:
		case <-time.After(holderCheckInterval.Std()):
		case <-ctx.Done():
		}
	}
	return r
}

// holderCheckInterval is the time between two checks whether the holder of a pending call is alive.
const holderCheckInterval = 250 * clock.Millisecond

func (c *Executor) holderAlive(r *state.OnceRecord) bool {
	return r.Holder == c.Self || c.Servers.Alive(r.Holder)
}

// queryAll queries the servers of the service for a recorded outcome.
func (c *Executor) queryAll(q Call) (Answer, bool) {
	for _, address := range c.Servers.Addresses(q.Service) {
		if answer, ok := c.queryOutcome(address, BackendKey(q.OnceKey)); ok {
			return answer, true
		}
	}
	return Answer{}, false
}

func (c *Executor) lookup(key state.OnceKey) *state.OnceRecord {
	var found *state.OnceRecord
	c.Journal.View(func(s *state.State) {
		if r := s.Once[key]; r != nil {
			copied := *r
			found = &copied
		}
	})
	return found
}

// Forward runs a call that needs no journal entry. A GET or HEAD is sent again after any
// failure, maxSendAttempts times in all; other calls only when no byte of them was sent.
func (c *Executor) Forward(q Call) (Answer, error) {
	sendBy := c.Clock.Now().Add(SendWindow)
	for attempt := 1; ; attempt++ {
		answer, sentTo, err := c.send(q, sendBy)
		if err == nil || sentTo == "" {
			return answer, err
		}
		if q.Method != http.MethodGet && q.Method != http.MethodHead || attempt == maxSendAttempts {
			return Answer{}, fault.New(fault.Unknown, "the call was sent but not answered: %v", err).
				Remedy("check whether it took effect before sending it again")
		}
		if c.Guard != nil {
			if err := c.Guard.AwaitVerdict(c.ctx, q.Suspects); err != nil {
				return Answer{}, fault.New(fault.Unknown, "the call was sent but not answered: %v", err).Remedy("change the call")
			}
		}
	}
}
