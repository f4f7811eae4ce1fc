package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/place"
	"swiftbeam/internal/pool"
	"swiftbeam/internal/retry"
	"swiftbeam/pkg/clock"
)

// attempt is one try at a backend server.
type attempt struct {
	*exchange
	choice place.Choice
	flight *place.Assignment
	conn   *pool.Conn
	// first is the instant of the first answer of this attempt.
	first clock.Instant
	// whole tells that the answer was read to its end, so that the connection may be kept.
	whole bool
}

// hopelessPart is the part of the time left that the first answer may be expected to take; a request
// that needs more is refused at once.
const hopelessPart = 0.9

// forward sends the request to backend servers until one answers or none may be tried.
func (x *exchange) forward(ctx context.Context) {
	f := x.front
	f.mu.Lock()
	g := f.group(x.service)
	g.Budget.Arrived(f.Clock.Now())
	g.Requests++
	f.mu.Unlock()
	x.events = x.ask.After
	for {
		choice := x.choose()
		if choice.Server == nil {
			x.giveUp(retry.Attempt{Repeatable: x.route.Repeatable(), RanBefore: x.ran, Begun: x.begun, Result: retry.Unsent}, "no server is ready")
			return
		}
		left := float64(x.until.Sub(f.Clock.Now()))
		if !x.ran && !x.begun && choice.Wait > hopelessPart*left {
			x.refuse("the queue is longer than the caller waits", clock.Duration(choice.Wait/2))
			return
		}
		a := &attempt{exchange: x, choice: choice}
		result := a.run(ctx)
		if ctx.Err() != nil && x.r.Context().Err() != nil {
			x.abandon("the caller left")
			return
		}
		state := retry.Attempt{Repeatable: x.route.Repeatable(), RanBefore: x.ran, Begun: x.begun, Result: result}
		if x.settle(state) {
			return
		}
	}
}

// settle carries out what follows an attempt. It reports false when another attempt is to be made.
func (x *exchange) settle(a retry.Attempt) bool {
	switch action := retry.Decide(a); action {
	case retry.Pass:
		x.pass(a)
		return true
	case retry.Again, retry.Resend:
		if a.Result == retry.Broken || a.Result == retry.Failed {
			x.ran = true
		}
		if x.mayTryAgain(a) {
			return false
		}
		x.giveUp(a, "no further attempt is allowed")
		return true
	case retry.Expired:
		x.fail(http.StatusGatewayTimeout, "no answer in time")
		return true
	case retry.Cut:
		x.cut("the server's stream broke off")
		return true
	default:
		x.fail(http.StatusBadGateway, "the server's answer was lost")
		return true
	}
}

// giveUp ends a request for which no further attempt is possible.
func (x *exchange) giveUp(a retry.Attempt, why string) {
	switch retry.Final(a) {
	case retry.Cut:
		x.cut(why)
	case retry.Pass:
		x.pass(a)
	case retry.Refuse:
		x.refuse(why, noServerRetry)
	default:
		if x.saved != nil {
			x.pass(a)
			return
		}
		x.fail(http.StatusBadGateway, why)
	}
}

// mayTryAgain checks the attempts of the route, the time and the budget. Attempts that reached no
// server are free.
func (x *exchange) mayTryAgain(a retry.Attempt) bool {
	f := x.front
	now := f.Clock.Now()
	if !now.Before(x.until) || len(x.avoid) > maxTries {
		return false
	}
	if a.Result == retry.Unsent {
		return true
	}
	if a.Result != retry.Moved && x.attempts >= max(x.route.Attempts, 1) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.group(x.service).Budget.Take(now)
}

// maxTries bounds the servers that are tried one after the other where none can be reached.
const maxTries = 4

// choose picks a server.
func (x *exchange) choose() place.Choice {
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(x.service)
	x.pickVersions(g)
	choice := g.Choose(x.query())
	if choice.Server == nil && x.otherVersions(g.Rollout) {
		choice = g.Choose(x.query())
	}
	return choice
}

func (x *exchange) query() *place.Query {
	return &place.Query{
		Now: x.front.Clock.Now(), Zone: x.front.Zone, Tokens: x.ask.Prompt, Output: x.ask.Output, Parts: x.ask.Parts,
		Avoid: x.avoid, Versions: x.versions, Draw: rand.Uint64(),
	}
}

// run makes the attempt and hands on what comes.
func (a *attempt) run(ctx context.Context) retry.Result {
	x, f := a.exchange, a.front
	server := a.choice.Server
	x.server, x.wait = server.ID, a.choice.Wait
	x.avoid = append(x.avoid, server.ID)
	f.mu.Lock()
	g := f.group(x.service)
	a.flight = g.Start(f.Clock.Now(), a.choice, x.query())
	g.Prompt += uint64(max(x.ask.Prompt-a.choice.Cached, 0))
	before := x.eventsN
	limit := g.Connections
	entries := max(f.purse.Entries, 1)
	f.mu.Unlock()
	// Each daemon opens its part of the connections that a server takes.
	limit = max(limit/entries, 1)
	result := a.exchangeWith(ctx, server, limit)
	f.mu.Lock()
	failed := result == retry.Broken || result == retry.Failed || result == retry.TimedOut && x.until.Sub(x.arrived) > clock.Second
	if ctx.Err() != nil && x.r.Context().Err() != nil {
		failed = false
	}
	g.Finish(f.Clock.Now(), a.flight, failed)
	a.observe(g, result, failed, x.eventsN-before)
	g.Output += uint64((x.eventsN - before) * g.EventTokens)
	f.mu.Unlock()
	return result
}

func (a *attempt) exchangeWith(ctx context.Context, server *place.Server, limit int) retry.Result {
	x, f := a.exchange, a.front
	conn, err := f.Pool.Get(ctx, server.Address, limit)
	if err != nil {
		if !errors.Is(err, pool.ErrFull) && ctx.Err() == nil {
			f.mu.Lock()
			server.Unreachable(f.Clock.Now())
			f.mu.Unlock()
			f.Log.Info("server not reached", "id", x.ask.ID, "server", server.ID, "address", server.Address, "error", err.Error())
		}
		return retry.Unsent
	}
	a.conn = conn
	stop := context.AfterFunc(ctx, conn.Abort)
	defer func() {
		conn.Release(stop() && a.whole)
	}()
	f.Counts.Attempts.Add(1)
	sent, err := conn.Send(a.head(server), x.body)
	if err != nil && !sent {
		return retry.Unsent
	}
	x.attempts++
	if err != nil {
		return a.lost(ctx, server, "request not sent whole", err)
	}
	response, err := conn.Receive(x.r.Method, func(h http.Header) bool { return f.Dialect.ParseResponse(0, h).ID == x.ask.ID })
	if err != nil {
		return a.lost(ctx, server, "no answer", err)
	}
	return a.take(ctx, server, response)
}

// lost tells how an attempt ended whose answer did not come.
func (a *attempt) lost(ctx context.Context, server *place.Server, what string, err error) retry.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		a.ran = true
		return retry.TimedOut
	}
	if ctx.Err() == nil {
		a.front.Log.Info("attempt failed", "id", a.ask.ID, "server", server.ID, "what", what, "error", err.Error(),
			"reused", a.conn.Reused, "events", a.eventsN)
	}
	return retry.Broken
}

// head writes the request line and the headers.
func (a *attempt) head(server *place.Server) []byte {
	x, f := a.exchange, a.front
	h := x.ask.Header.Clone()
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	f.Dialect.SetHeaders(h, &x.ask, AttemptInfo{
		Server: server.ID, Account: account, Remaining: x.until.Sub(f.Clock.Now()), Urgency: x.urgency(), After: x.events,
	})
	if x.body != nil || x.r.Method == http.MethodPost || x.r.Method == http.MethodPut {
		h.Set("Content-Length", strconv.Itoa(len(x.body)))
	}
	var b strings.Builder
	b.Grow(headSize)
	b.WriteString(x.r.Method + " " + x.r.RequestURI + " HTTP/1.1\r\nHost: " + x.r.Host + "\r\n")
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return []byte(b.String())
}

// headSize is the usual size of a request's head in bytes.
const headSize = 768

// urgency is the rank of the request: the account's priority goes before the route's.
func (x *exchange) urgency() int {
	priority := x.route.Priority
	if x.account != nil && x.account.Priority != nil {
		priority = *x.account.Priority
	}
	return min(max(priority, 0), 9)
}

// maxAnswer bounds a plain answer that is held until it is whole.
const maxAnswer = 8 << 20

// take reads an answer and hands it on, or keeps it where another attempt may do better.
func (a *attempt) take(ctx context.Context, server *place.Server, r *http.Response) retry.Result {
	x, f := a.exchange, a.front
	defer r.Body.Close()
	signs := f.Dialect.ParseResponse(r.StatusCode, r.Header)
	if signs.NotRun || signs.Moved {
		_, err := io.CopyN(io.Discard, r.Body, maxAnswer)
		a.whole = errors.Is(err, io.EOF)
		f.Log.Info("server did not run the request", "id", x.ask.ID, "server", server.ID, "status", r.StatusCode)
		if signs.Moved {
			return retry.Moved
		}
		return retry.NotRun
	}
	good := r.StatusCode >= 200 && r.StatusCode < 300
	if good && (!signs.Signed || r.Header.Get("Content-Encoding") != "") {
		return a.lost(ctx, server, "answer without a signature", errors.Newf("status %d", r.StatusCode))
	}
	x.began()
	if good && strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		return a.stream(ctx, server, r)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnswer))
	if err != nil {
		return a.lost(ctx, server, "answer cut short", err)
	}
	a.whole = true
	x.saved = &answer{status: r.StatusCode, header: r.Header, body: body}
	a.answered()
	if r.StatusCode >= http.StatusInternalServerError {
		return retry.Failed
	}
	return retry.Whole
}

// answered notes the time of the first answer.
func (a *attempt) answered() {
	x, f := a.exchange, a.front
	a.first = f.Clock.Now()
	f.mu.Lock()
	g := f.group(x.service)
	g.First(a.flight)
	a.observeFirst(g)
	f.mu.Unlock()
	if x.first > 0 {
		return
	}
	x.first = a.first
	if f.Observe != nil {
		f.Observe(x.first.Sub(x.arrived))
	}
}

// began counts the request once as begun by a backend server.
func (x *exchange) began() {
	x.ran = true
	if x.counted || x.account == nil {
		return
	}
	x.counted = true
	f := x.front
	f.mu.Lock()
	f.counter.Count(f.TrueTime(), x.account.Name)
	f.mu.Unlock()
}

// pass hands on a whole answer.
func (x *exchange) pass(a retry.Attempt) {
	if x.begun {
		x.outcome = "served"
		return
	}
	s := x.saved
	x.copyHeader(s.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	x.status, x.outcome = s.status, "served"
	if a.Result == retry.Failed {
		x.outcome = "failed by server"
	}
	x.w.WriteHeader(s.status)
	if _, err := x.w.Write(s.body); err != nil {
		x.outcome, x.detail = "abandoned", err.Error()
	}
}

// copyHeader passes on the end-to-end headers of an answer.
func (x *exchange) copyHeader(from http.Header) {
	h := x.w.Header()
	passOn(h, from)
	if from.Get("Content-Type") == "" {
		h["Content-Type"] = nil
	}
}

// hopByHop are the headers that concern one connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// EndToEnd returns a copy of the headers that may be passed on.
func EndToEnd(from http.Header) http.Header {
	h := make(http.Header, len(from)+4)
	passOn(h, from)
	return h
}

// passOn copies the end-to-end headers of a message.
func passOn(to, from http.Header) {
	for name, values := range from {
		if !hopByHop[name] {
			to[name] = values
		}
	}
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
}

// cut ends a stream that has begun so that it does not look complete.
func (x *exchange) cut(why string) {
	x.front.Counts.Cut.Add(1)
	x.outcome, x.detail, x.abort = "cut", why, true
}
