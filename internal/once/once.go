// Package once runs calls that must not be repeated. A call is written to the replicated journal
// before its first byte leaves, and its outcome afterwards:
//
//	answer, err := caller.Do(ctx, once.Call{Key: key, ...})
//
// An error of kind Unknown says that the call may have run; errors of other kinds say that it
// did not run. The right to send ends at a deadline that is set before the journal is asked, so
// that a daemon which was paused in between does not send late. No other daemon ever sends the
// same call; it answers from the journal, or asks the backend servers for the outcome.
package once

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/engine"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/moves"
	"swiftbeam/internal/roster"
	"swiftbeam/internal/route"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/internal/store"
	"swiftbeam/pkg/clock"
)

// Bounds of a call.
const (
	// PermitTime is how long after its start a call may still be sent.
	PermitTime = 2 * clock.Second
	// PendingWait is how long a resent call waits for the outcome of the first.
	PendingWait = 10 * clock.Second
	// AskTimeout bounds one question for an outcome.
	AskTimeout = 2 * clock.Second
	// RecordTimeout bounds the recording of an outcome before the answer goes out without it.
	RecordTimeout = 2 * clock.Second
	// CleanupTimeout bounds the recording of an outcome in the background.
	CleanupTimeout = clock.Minute
	// MaxAnswerBytes bounds the answer of a backend server.
	MaxAnswerBytes = 16 << 20
	maxSendTries   = 3
)

// Call is a call to a plain service.
type Call struct {
	state.OnceKey
	Request string
	Service string
	// Version returns the version to use.
	Version func() string
	Method  string
	Path    string
	Type    string
	Body    []byte
	Timeout clock.Duration
}

// Answer is the answer of a backend server.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed reports that the answer came from the journal.
	Replayed bool
}

// Journal is the replicated journal.
type Journal interface {
	Propose(ctx context.Context, body state.Body) (state.Result, error)
	View(f func(*state.State))
	Changed() <-chan struct{}
}

var _ Journal = (*store.Store)(nil)

// Servers chooses backend servers.
type Servers interface {
	TryAcquire(n roster.Requirements) *roster.Grant
	// Addresses returns all known servers of a service, also those that receive no new work.
	Addresses(service string) []string
	// Alive reports whether a holder was heard within its lease.
	Alive(holder string) bool
}

// Caller is the service. Set the exported fields before use.
type Caller struct {
	// Self names this run of the daemon as a holder of calls.
	Self    string
	Clock   clock.Clock
	Journal Journal
	Servers Servers
	HTTP    *http.Client
	// Observe takes the end of each call as evidence on its version; nil means nobody does.
	Observe func(moves.Observation)
	Stats   Stats

	ctx   context.Context
	group *runner.Group
}

// Stats count the calls by their end.
type Stats struct {
	Answered atomic.Int64
	Replayed atomic.Int64
	NotRun   atomic.Int64
	Unsure   atomic.Int64
	Settled  atomic.Int64
}

// Start allows calls until ctx ends.
func (c *Caller) Start(ctx context.Context, g *runner.Group) error {
	c.ctx, c.group = ctx, g
	return nil
}

// Do runs a call, or answers it from the journal.
func (c *Caller) Do(ctx context.Context, q Call) (Answer, error) {
	permit := c.Clock.Now().Add(PermitTime)
	result, err := c.begin(q, permit)
	if err != nil {
		return Answer{}, err
	}
	switch result.Code {
	case state.Done:
		return c.run(q, permit)
	case state.KeyReused:
		return Answer{}, fault.New(fault.Invalid, "the idempotency key was used with another request").
			Remedy("use a new key for each request")
	case state.Full:
		c.Stats.NotRun.Add(1)
		return Answer{}, fault.New(fault.Exhausted, "the journal of calls is full").Remedy("retry later").After(60)
	}
	return c.replay(ctx, q, result.Once)
}

// begin asks the journal for the right to run the call. It does not use the caller's context,
// because a proposal that was sent must be followed up.
func (c *Caller) begin(q Call, permit clock.Instant) (state.Result, error) {
	digest := digest(q)
	ctx, cancel := context.WithTimeout(c.ctx, permit.Sub(c.Clock.Now()).Std())
	defer cancel()
	result, err := c.Journal.Propose(ctx, state.OnceBegin{
		OnceKey: q.OnceKey, Digest: digest, Request: q.Request, Holder: c.Self,
	})
	if err == nil {
		return result, nil
	}
	c.Stats.NotRun.Add(1)
	c.recordLater(q, state.OnceEnd{Outcome: state.NotRun})
	return result, fault.New(fault.Unavailable, "the journal of calls cannot be written: %v", err).
		Remedy("retry with the same key").After(1)
}

func digest(q Call) []byte {
	h := sha256.New()
	_, _ = io.WriteString(h, q.Method+" "+q.Path+"\n")
	_, _ = h.Write(q.Body)
	return h.Sum(nil)
}

// run sends a call for which this daemon holds the right.
func (c *Caller) run(q Call, permit clock.Instant) (Answer, error) {
	answer, sentTo, err := c.send(q, permit)
	switch {
	case err == nil:
		c.Stats.Answered.Add(1)
		c.record(q, ended(answer))
		return answer, nil
	case sentTo == "":
		c.Stats.NotRun.Add(1)
		c.record(q, state.OnceEnd{Outcome: state.NotRun})
		return Answer{}, err
	}
	if answer, ok := c.ask(sentTo, BackendKey(q.OnceKey)); ok {
		c.Stats.Settled.Add(1)
		c.record(q, ended(answer))
		return answer, nil
	}
	c.Stats.Unsure.Add(1)
	c.record(q, state.OnceEnd{Outcome: state.Unsure})
	return Answer{}, unsure(q.Request)
}

func ended(a Answer) state.OnceEnd {
	e := state.OnceEnd{Outcome: state.Answered, Status: a.Status, ContentType: a.ContentType}
	if len(a.Body) <= state.MaxOnceBodyBytes {
		e.Body = a.Body
	}
	return e
}

func unsure(request string) error {
	return fault.New(fault.Unknown, "the call was sent and its outcome is unknown; request %s", request).
		Remedy("resend with the same key to ask for the outcome; it will not run again").After(5)
}

// send tries servers until one was reached. The name of the server that may have got the call
// is returned with every error after its first byte left.
func (c *Caller) send(q Call, permit clock.Instant) (Answer, string, error) {
	avoid := ""
	for range maxSendTries {
		version := q.Version()
		g := c.Servers.TryAcquire(roster.Requirements{Service: q.Service, Version: version, Avoid: avoid})
		if g == nil {
			break
		}
		if c.Clock.Now().After(permit) || c.ctx.Err() != nil {
			g.Release(route.Outcome{})
			break
		}
		started := c.Clock.Now()
		answer, err := c.post(q, g.Address)
		g.Release(route.Outcome{Failed: err != nil})
		c.observe(q, version, c.Clock.Now().Sub(started), err != nil || answer.Status >= http.StatusInternalServerError)
		if err == nil || !engine.NotSent(err) {
			return answer, g.Address, err
		}
		avoid = g.Address
	}
	return Answer{}, "", fault.New(fault.Unavailable, "no backend server of %s could be reached", q.Service).
		Remedy("retry with the same key").After(1)
}

func (c *Caller) observe(q Call, version string, took clock.Duration, failed bool) {
	if c.Observe == nil {
		return
	}
	c.Observe(moves.Observation{
		Service: q.Service, Version: version, Route: q.Route, Account: q.Account,
		Failed: failed, FirstToken: float64(max(took, 1)),
	})
}

// post sends the call once. The body is not replayable, so that the HTTP client cannot repeat
// the call by itself on a connection that broke.
func (c *Caller) post(q Call, address string) (Answer, error) {
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

func (c *Caller) read(r *http.Request) (Answer, error) {
	response, err := c.HTTP.Do(r)
	if err != nil {
		return Answer{}, errors.Wrap(err, "call backend server")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return Answer{}, errors.Wrap(err, "read answer")
	}
	if len(data) > MaxAnswerBytes {
		return Answer{}, errors.New("answer is too long")
	}
	return Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: data}, nil
}

// BackendKey is the key that a backend server sees; it is unique over client accounts and
// routes.
func BackendKey(k state.OnceKey) string { return k.Account + "/" + k.Route + "/" + k.Key }

// ask asks a server over a fresh connection for the outcome of a call that was sent. Only a
// recorded outcome counts; a server that knows nothing may still be about to run the call.
func (c *Caller) ask(address, key string) (Answer, bool) {
	if key == "" || address == "" {
		return Answer{}, false
	}
	ctx, cancel := context.WithTimeout(c.ctx, AskTimeout.Std())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/calls/"+url.PathEscape(key), nil)
	if err != nil {
		return Answer{}, false
	}
	r.Close = true
	answer, err := c.read(r)
	return answer, err == nil && answer.Status < http.StatusMultipleChoices
}

// record writes an outcome to the journal, in the background if that takes long.
func (c *Caller) record(q Call, e state.OnceEnd) {
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

func (c *Caller) recordLater(q Call, e state.OnceEnd) {
	c.group.Go(func() { c.propose(q, e) })
}

func (c *Caller) propose(q Call, e state.OnceEnd) {
	e.OnceKey, e.Request = q.OnceKey, q.Request
	ctx, cancel := context.WithTimeout(c.ctx, CleanupTimeout.Std())
	defer cancel()
	_, _ = c.Journal.Propose(ctx, e)
}

// replay answers a call that another request with the same key began. Where the first request
// has no outcome, because its holder is gone or got no answer, the backend servers are asked.
func (c *Caller) replay(ctx context.Context, q Call, r *state.OnceRecord) (Answer, error) {
	r = c.awaitOutcome(ctx, q.OnceKey, r)
	switch {
	case r == nil || r.Outcome == state.NotRun:
		c.Stats.NotRun.Add(1)
		return Answer{}, fault.New(fault.Unavailable, "the first request with this key was not run").
			Remedy("retry with the same key").After(1)
	case r.Outcome == state.Answered:
		c.Stats.Replayed.Add(1)
		return Answer{Status: r.Status, ContentType: r.ContentType, Body: r.Body, Replayed: true}, nil
	}
	first := q
	first.Request = r.Request
	answer, ok := c.askAll(q)
	switch {
	case !ok && r.Outcome == state.Pending && !c.holderLives(r):
		c.record(first, state.OnceEnd{Outcome: state.Unsure})
		return Answer{}, unsure(r.Request)
	case !ok:
		return Answer{}, unsure(r.Request)
	}
	c.Stats.Settled.Add(1)
	c.record(first, ended(answer))
	answer.Replayed = true
	return answer, nil
}

// awaitOutcome waits while the holder of a call lives and has not recorded the outcome.
func (c *Caller) awaitOutcome(ctx context.Context, key state.OnceKey, r *state.OnceRecord) *state.OnceRecord {
	ctx, cancel := context.WithTimeout(ctx, PendingWait.Std())
	defer cancel()
	for r != nil && r.Outcome == state.Pending && ctx.Err() == nil && c.holderLives(r) {
		changed := c.Journal.Changed()
		if r = c.look(key); r == nil || r.Outcome != state.Pending {
			break
		}
		select {
		case <-changed:
		case <-time.After(holderCheck.Std()):
		case <-ctx.Done():
		}
	}
	return r
}

// holderCheck is the pause between two looks at the holder of a pending call.
const holderCheck = 250 * clock.Millisecond

func (c *Caller) holderLives(r *state.OnceRecord) bool {
	return r.Holder == c.Self || c.Servers.Alive(r.Holder)
}

// askAll asks every server of the service for a recorded outcome.
func (c *Caller) askAll(q Call) (Answer, bool) {
	for _, address := range c.Servers.Addresses(q.Service) {
		if answer, ok := c.ask(address, BackendKey(q.OnceKey)); ok {
			return answer, true
		}
	}
	return Answer{}, false
}

func (c *Caller) look(key state.OnceKey) *state.OnceRecord {
	var found *state.OnceRecord
	c.Journal.View(func(s *state.State) {
		if r := s.Once[key]; r != nil {
			copied := *r
			found = &copied
		}
	})
	return found
}

// Forward runs a call that may be repeated: a read on another server after any failure, other
// calls only while no byte has left.
func (c *Caller) Forward(q Call) (Answer, error) {
	permit := c.Clock.Now().Add(PermitTime)
	for try := 1; ; try++ {
		answer, sentTo, err := c.send(q, permit)
		if err == nil || sentTo == "" {
			return answer, err
		}
		if q.Method != http.MethodGet && q.Method != http.MethodHead || try == maxSendTries {
			return Answer{}, fault.New(fault.Unknown, "the call was sent and not answered: %v", err).Remedy("check its effect")
		}
	}
}
