package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/crash"
	"swiftbeam/internal/detour"
	"swiftbeam/internal/dial"
	"swiftbeam/internal/event"
	"swiftbeam/internal/place"
	"swiftbeam/internal/pool"
	"swiftbeam/internal/retry"
	"swiftbeam/pkg/clock"
)

// attempt is one attempt of a request at a backend server.
type attempt struct {
	*exchange
	choice     place.Choice
	assignment *place.Assignment
	conn       *pool.Conn
	// helper is the entry daemon that the request goes through; nil if it goes to the server directly.
	helper *detour.Helper
	// sentAt is the time at which the request was sent, firstEventAt that of this attempt's first event.
	sentAt       clock.Instant
	firstEventAt clock.Instant
	// firstResponseAt is the time of the first event or response, unless the attempt resumes a stream.
	firstResponseAt clock.Instant
	// complete reports that the response was read to its end, so that the connection can be reused.
	complete bool
	// continues is set if the attempt goes on with a stream that another one began.
	continues bool
}

// maxExpectedWaitFraction is the part of the remaining time that the expected time to the first
// response may take; a request with a longer wait is refused at once.
const maxExpectedWaitFraction = 0.9

// forward attempts backend servers until one responds or no further attempt is allowed.
func (x *exchange) forward(ctx context.Context) {
	p := x.proxy
	p.mu.Lock()
	service := p.serviceState(x.service)
	since := p.Clock.Now()
	service.Budget.CountRequest(since)
	service.Requests++
	p.mu.Unlock()
	x.sequence.Last = event.NoID
	if x.route.Repeatable() {
		x.sequence.Last = x.request.After
	}
	for {
		if x.attempts > 0 && !x.admit(ctx) {
			return
		}
		result, ok := x.attempt(ctx)
		if !ok {
			return
		}
		if ctx.Err() != nil && x.r.Context().Err() != nil {
			x.abandon("the caller left")
			return
		}
		if x.finishAttempt(x.attemptState(result)) {
			if x.outcome == "served" {
				x.observeDuration(since)
			}
			return
		}
	}
}

// attemptState returns the state of the request after an attempt. A stream that no server can go on with is not repeatable.
func (x *exchange) attemptState(result retry.Result) retry.Attempt {
	repeatable := x.route.Repeatable() && (!x.responseStarted || x.sequence.Resumable())
	return retry.Attempt{Repeatable: repeatable, MayHaveRun: x.mayHaveRun, ResponseStarted: x.responseStarted, Result: result}
}

// attempt makes the next attempt, directly or through another entry daemon. It reports false if it has ended
// the request instead.
func (x *exchange) attempt(ctx context.Context) (retry.Result, bool) {
	p := x.proxy
	unsent := x.attemptState(retry.Unsent)
	if retry.Final(unsent) == retry.Refuse && !x.endsInTime() {
		x.refuseStopping()
		return 0, false
	}
	switch x.chooseWay() {
	case detour.Nowhere:
		x.giveUp(unsent, "no daemon reaches the servers")
		return 0, false
	case detour.Around:
		if x.awaitHelpers(ctx) {
			if result, ok := x.runAround(ctx); ok {
				return result, true
			}
			if x.pathState() == detour.Cut {
				x.giveUp(unsent, "the servers are unreachable, and no other daemon takes the request")
				return 0, false
			}
		} else {
			x.observeNoHelper()
		}
	}
	x.helper = ""
	choice := x.chooseServer()
	if choice.Server == nil {
		x.giveUp(unsent, "no server is ready")
		return 0, false
	}
	remaining := float64(x.deadline.Sub(p.Clock.Now()))
	if !x.mayHaveRun && !x.responseStarted && choice.Wait > maxExpectedWaitFraction*remaining {
		x.refuse("the queue is longer than the caller waits", clock.Duration(choice.Wait/2))
		return 0, false
	}
	a := &attempt{exchange: x, choice: choice}
	return a.run(ctx), true
}

// finishAttempt acts on the result of an attempt. It reports false when another attempt is to follow.
func (x *exchange) finishAttempt(a retry.Attempt) bool {
	switch action := retry.Decide(a); action {
	case retry.Forward:
		if x.responseStarted {
			x.outcome, x.ended = "served", true
			return true
		}
		x.sendSavedResponse(a)
		return true
	case retry.RetryOrRefuse, retry.RetryOrFail:
		if a.Result == retry.Incomplete || a.Result == retry.Failed {
			x.mayHaveRun = true
		}
		if x.mayRetry(a) {
			return false
		}
		x.giveUp(a, "no further attempt is allowed")
		return true
	case retry.Expired:
		x.fail(http.StatusGatewayTimeout, x.expiry())
		return true
	case retry.Truncate:
		x.truncate("the server's stream broke off")
		return true
	default:
		x.fail(http.StatusBadGateway, "the server's answer was lost")
		return true
	}
}

// expiry says why a request got no answer in time.
func (x *exchange) expiry() string {
	if x.proxy.isStopped() {
		return "no answer before this daemon stopped"
	}
	return "no answer in time"
}

// giveUp ends a request for which no further attempt is possible.
func (x *exchange) giveUp(a retry.Attempt, message string) {
	switch retry.Final(a) {
	case retry.Truncate:
		x.truncate(message)
	case retry.Forward:
		x.sendSavedResponse(a)
	case retry.Refuse:
		wait, ok := x.untilServer()
		if x.hopRetryAfter > 0 {
			wait, ok = x.hopRetryAfter, true
		}
		if x.noRoom && !ok {
			wait, ok = noRoomRetryAfter, true
		}
		if ok {
			x.refuse("the servers take no requests now", clock.Duration(float64(wait)*(1+returnSpread*rand.Float64())))
			return
		}
		if x.allEvacuated() {
			x.refuse("all availability zones of the servers are evacuated", clock.Duration(float64(evacuatedRetryAfter)*(1+returnSpread*rand.Float64())))
			return
		}
		x.refuse(message, noServerRetryAfter)
	default:
		if x.saved != nil {
			x.sendSavedResponse(a)
			return
		}
		x.fail(http.StatusBadGateway, message)
	}
}

// mayRetry checks the time, the attempts of the route, the traits of the request and the retry budget. After an attempt of which no
// byte was sent it checks neither the route's attempts nor the budget; after a Moved one, only the budget.
func (x *exchange) mayRetry(a retry.Attempt) bool {
	p := x.proxy
	now := p.Clock.Now()
	if !now.Before(x.deadline) || len(x.tried) > maxServersTried || p.isStopped() {
		return false
	}
	if a.Result == retry.Unsent {
		return true
	}
	if a.Result != retry.Moved && x.attempts >= max(x.route.Attempts, 1) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.Result == retry.Incomplete && (x.breaks >= maxBreaks || p.crashes.Suspected(x.suspects)) {
		return false
	}
	return p.serviceState(x.service).Budget.Take(now)
}

// run makes the attempt and passes the events of a stream to the caller as they arrive.
func (a *attempt) run(ctx context.Context) retry.Result {
	x, p := a.exchange, a.proxy
	server := a.choice.Server
	x.server, x.version, x.expectedWait = server.ID, server.Version, a.choice.Wait
	x.lastResponse = responseInfo{}
	x.tried = append(x.tried, server.ID)
	p.mu.Lock()
	service := p.serviceState(x.service)
	a.assignment = service.Start(p.Clock.Now(), a.choice, x.query())
	service.Prompt += uint64(max(x.request.Prompt-a.choice.Cached, 0))
	eventsBefore := x.sequence.Events
	maxConnections := service.Connections
	entries := max(p.limiter.Entries, 1)
	p.mu.Unlock()
	// The limit applies to all entry daemons together; each opens an equal part.
	maxConnections = max(maxConnections/entries, 1)
	result := a.roundTrip(ctx, server, maxConnections)
	if result == retry.Complete && len(x.body) <= maxRememberedBody {
		x.identify()
	}
	p.mu.Lock()
	failed := result == retry.Incomplete || result == retry.Failed || result == retry.TimedOut && x.deadline.Sub(x.arrived) > clock.Second
	if ctx.Err() != nil && (x.r.Context().Err() != nil || p.isStopped()) {
		failed = false
	}
	service.Finish(p.Clock.Now(), a.assignment, placeResult(result, failed))
	a.observeEnd(service, result, failed, x.sequence.Events-eventsBefore)
	a.observeCompletion(service, result)
	service.Output += uint64((x.sequence.Events - eventsBefore) * service.EventTokens)
	p.mu.Unlock()
	return result
}

// placeResult returns the result of an attempt as evidence about its server.
func placeResult(result retry.Result, failed bool) place.Result {
	switch {
	case failed:
		return place.Failed
	case result == retry.Complete:
		return place.Completed
	case result == retry.NotRun || result == retry.Moved:
		return place.Rejected
	}
	return place.Inconclusive
}

func (a *attempt) roundTrip(ctx context.Context, server *place.Server, maxConnections int) retry.Result {
	x, p := a.exchange, a.proxy
	conn, err := a.connect(ctx, server, maxConnections)
	if err != nil {
		return retry.Unsent
	}
	p.awaitCurrent(ctx)
	// The server or an operator may have said so while the request waited for the connection.
	p.mu.Lock()
	takes := p.notices.Takes(p.Clock.Now(), noticeServer(server)) && !x.avoids(server) && p.notices.Cold.MaySend(p.ClusterTime(), server.ID, x.turnUntil)
	p.mu.Unlock()
	if !takes {
		conn.Release(conn.UsedAt > 0)
		return retry.Unsent
	}
	a.conn = conn
	stopAbort := context.AfterFunc(ctx, conn.Abort)
	defer func() {
		conn.Release(stopAbort() && a.complete)
	}()
	p.Counts.Attempts.Add(1)
	a.sentAt = p.Clock.Now()
	sent, err := conn.Send(a.requestHead(server), x.body)
	if err != nil && !sent {
		return retry.Unsent
	}
	x.attempts++
	if err != nil {
		a.observeSilence(server, err)
		return a.failed(ctx, server, "request not sent whole", err)
	}
	response, err := conn.Receive(x.r.Method, func(h http.Header) bool { return p.Dialect.ParseResponse(0, h).ID == x.request.ID })
	if err != nil {
		a.observeSilence(server, err)
		a.observeBreak(ctx, server)
		return a.failed(ctx, server, "no answer", err)
	}
	p.mu.Lock()
	p.observeAnswer(x.service, conn.OpenedAt)
	p.mu.Unlock()
	return a.handleResponse(ctx, server, response)
}

// errNoIdle reports that there is no open connection to a server that can be used.
var errNoIdle = errors.New("no idle connection")

// connect returns a connection to the server. Where that fails, it records what the failure shows.
func (a *attempt) connect(ctx context.Context, server *place.Server, maxConnections int) (*pool.Conn, error) {
	x, p := a.exchange, a.proxy
	if x.idleOnly {
		if conn := p.Pool.GetIdle(server.Address, x.idleSince); conn != nil {
			return conn, nil
		}
		x.tried = x.tried[:len(x.tried)-1]
		return nil, errNoIdle
	}
	startedAt := p.Clock.Now()
	p.mu.Lock()
	suspect := p.serviceState(x.service).Path.Suspect(startedAt)
	p.mu.Unlock()
	dialCtx := ctx
	if suspect {
		var cancel context.CancelFunc
		dialCtx, cancel = context.WithTimeout(ctx, suspectDialTimeout.Std())
		defer cancel()
	}
	conn, err := p.Pool.Get(dialCtx, server.Address, maxConnections)
	if err == nil && conn.UsedAt == 0 {
		p.mu.Lock()
		p.observeOpened(x.service)
		p.mu.Unlock()
	}
	if err == nil || errors.Is(err, pool.ErrFull) || ctx.Err() != nil {
		return conn, err
	}
	now := p.Clock.Now()
	x.unreached++
	p.mu.Lock()
	server.Unreachable(now)
	if p.notices.Limits.IsBrittle(server.ID) {
		p.notices.Gate.Down(now, server.ID)
	}
	// A silent path says nothing about the server; one that refuses connections has ended and may return cold.
	if !suspect || errors.Is(err, syscall.ECONNREFUSED) {
		p.suspectCold(x.service, server)
	}
	ejected, serviceTime := server.EjectedUntil.Sub(now), p.serviceState(x.service).Costs.ServiceTime
	p.mu.Unlock()
	p.Log.Info("could not connect to backend server", "id", x.request.ID, "server", server.ID, "service", x.service, "address", server.Address,
		"error", err.Error(), "tookMs", int64(now.Sub(startedAt)), "ejectedMs", int64(ejected), "serviceTimeMs", int(serviceTime))
	p.observeFailure(x.service, detour.Failure{Server: server.Address, StartedAt: startedAt, At: now, Silent: dial.IsTimeout(err)})
	return nil, err
}

// observeSilence records what the end of a connection without a response shows of the path to the server.
func (a *attempt) observeSilence(server *place.Server, err error) {
	x, p := a.exchange, a.proxy
	now := p.Clock.Now()
	switch {
	case errors.Is(err, syscall.ETIMEDOUT):
		p.observeFailure(x.service, detour.Failure{Server: server.Address, StartedAt: a.sentAt, At: now, Silent: true})
	case a.conn.UsedAt == 0 && errors.Is(err, syscall.ECONNRESET):
		p.observeFailure(x.service, detour.Failure{Server: server.Address, StartedAt: a.conn.OpenedAt, At: now, Broke: true})
	}
}

// failed logs an attempt without a complete response and returns its result: TimedOut after the
// deadline, otherwise Incomplete.
func (a *attempt) failed(ctx context.Context, server *place.Server, message string, err error) retry.Result {
	a.lastResponse.Ending = message
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || ctx.Err() != nil && a.proxy.isStopped() {
		a.mayHaveRun = true
		return retry.TimedOut
	}
	if ctx.Err() == nil {
		a.proxy.Log.Info("attempt failed", "id", a.request.ID, "server", server.ID, "what", message, "error", err.Error(),
			"reused", a.conn.Reused, "events", a.sequence.Events, "lastEvent", a.sequence.Last, "framing", a.lastResponse.Framing.String(), "account", a.accountName(), "parts", a.sharedParts(), "target", a.target(),
			"same", a.requestTrait().String())
	}
	return retry.Incomplete
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// sharedParts returns the IDs of the first parts of the prompt, without the last part, which other requests
// do not have.
func (x *exchange) sharedParts() []string {
	parts := x.request.Parts
	ids := make([]string, 0, maxLoggedParts)
	for i := 0; i < min(len(parts)-1, maxLoggedParts); i++ {
		ids = append(ids, parts[i].ID)
	}
	return ids
}

// maxLoggedTarget bounds the path and query of a request in a log line, in bytes.
const maxLoggedTarget = 64

func (x *exchange) target() string {
	return x.r.Method + " " + x.r.RequestURI[:min(len(x.r.RequestURI), maxLoggedTarget)]
}

// requestTrait returns the trait that the request shares with its repetitions.
func (x *exchange) requestTrait() crash.Trait {
	identity := crash.Identity{
		Account: x.accountName(), Method: x.r.Method, Host: x.r.Host, Target: x.r.RequestURI, Model: x.request.Model, Body: x.body,
	}
	for _, part := range x.request.Parts {
		identity.Parts = append(identity.Parts, part.ID)
	}
	return crash.RequestTrait(x.service, &identity)
}

// requestHead returns the request line and the headers as they are sent.
func (a *attempt) requestHead(server *place.Server) []byte {
	x, p := a.exchange, a.proxy
	h := x.request.Header.Clone()
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	p.Dialect.SetHeaders(h, &x.request, AttemptInfo{
		Server: server.ID, Account: account, Remaining: x.deadline.Sub(p.Clock.Now()), Urgency: a.urgency(), After: x.sequence.Last,
	})
	return x.head(h)
}

// head returns the caller's request line with headers.
func (x *exchange) head(h http.Header) []byte {
	if x.body != nil || x.r.Method == http.MethodPost || x.r.Method == http.MethodPut {
		h.Set("Content-Length", strconv.Itoa(len(x.body)))
	}
	var b strings.Builder
	b.Grow(typicalHeadBytes)
	b.WriteString(x.r.Method + " " + x.r.RequestURI + " HTTP/1.1\r\nHost: " + x.r.Host + "\r\n")
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return []byte(b.String())
}

// typicalHeadBytes is the usual size of a request's head in bytes.
const typicalHeadBytes = 768

// baseUrgency returns the urgency of the request by its priority. The account's priority, where set, goes before that of
// the route: of its requests, those on routes with the highest priority come first.
func (x *exchange) baseUrgency() int {
	if x.hop != nil {
		return x.hop.Urgency
	}
	priority := max(x.route.Priority, 0)
	if x.account == nil || x.account.Priority == nil {
		return min(2*priority, maxUrgency)
	}
	return min(2*max(*x.account.Priority, 0)+min(priority, 1), maxUrgency)
}

// urgency returns the request's urgency from 0 to 9. Within a priority, a request that will miss the target of its route in
// any case comes after those that can meet it.
func (a *attempt) urgency() int {
	x := a.exchange
	urgency := x.baseUrgency()
	if x.hop != nil {
		return urgency
	}
	expected := a.proxy.Clock.Now().Add(clock.Duration(a.choice.Wait))
	if x.route.Target > 0 && expected.Sub(x.arrived) > x.route.Target {
		// Two steps belong to each priority.
		urgency |= 1
	}
	return urgency
}

// maxUrgency is the urgency of the requests that engines serve last.
const maxUrgency = 9
