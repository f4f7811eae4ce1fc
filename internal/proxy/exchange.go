package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/conns"
	"swiftbeam/internal/crash"
	"swiftbeam/internal/event"
	"swiftbeam/internal/hops"
	"swiftbeam/internal/intake"
	"swiftbeam/internal/quota"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/spool"
	"swiftbeam/pkg/clock"
)

// exchange is the state of one request of a caller.
type exchange struct {
	proxy    *Proxy
	w        http.ResponseWriter
	r        *http.Request
	request  Request
	rules    *rules.Set
	route    *rules.Route
	account  *rules.Account
	service  string
	body     []byte
	arrived  clock.Instant
	deadline clock.Instant
	// suspects are the traits of the request that might crash servers. They contain the request itself if
	// identified is set.
	suspects   []crash.Suspect
	identified bool
	// breaks counts the servers that broke off soon after they began the request.
	breaks int
	// trial is set if the request is the trial of a blocked trait.
	trial bool
	// hop describes the attempt if the request came from another entry daemon; nil otherwise.
	hop *hops.Request
	// unreached counts the servers that could not be connected to.
	unreached int
	// triedHelpers are the names of the helpers that did not take the request or were lost. brokenHelpers are those
	// whose answer broke off, for which the helper or the server may be the cause. helper is the last one asked.
	triedHelpers    []string
	brokenHelpers   []string
	helper          string
	askedForHelpers bool
	// turnUntil is the time until which the attempt may be sent to a cold server; zero if the server is warm.
	turnUntil clock.Instant
	// noRoom is set if brittle servers had no room for the last attempt.
	noRoom bool
	// hopRetryAfter is the longest time that a helper named until a server takes requests.
	hopRetryAfter clock.Duration
	// idleOnly restricts the next attempt to connections that are open and were used since idleSince.
	idleOnly  bool
	idleSince clock.Instant

	tried    []string
	attempts int
	// allowVersion reports whether a version of the service may serve the next attempt; nil allows
	// all.
	allowVersion    func(version string) bool
	mayHaveRun      bool // a backend server may have run the request
	responseStarted bool // the head of a stream was sent to the caller
	// ended is set once the response to the caller is whole. A response that is not is cut off at the end, so that it does
	// not look complete.
	ended        bool
	usageCounted bool // the request was counted in the account's usage
	// sequence is the stream as the caller has it.
	sequence        event.Sequence
	firstResponseAt clock.Instant
	saved           *savedResponse
	// lastResponse describes the last response of a server, joined counts those whose events were sent to the caller.
	lastResponse responseInfo
	joined       int

	// quotaUsed is what the request counts against the account's quota, in requests or tokens.
	quotaUsed    float64
	outcome      string
	status       int
	detail       string
	server       string
	version      string
	expectedWait float64
}

// responseInfo describes a response for the log.
type responseInfo struct {
	Status      int
	ContentType string
	Framing     framing
	// Ending is how reading the response ended; empty if it was not read.
	Ending string
}

// savedResponse is a complete response of a backend server, kept while another attempt is made.
type savedResponse struct {
	status int
	header http.Header
	body   *spool.Body
}

func (x *exchange) serve() {
	p := x.proxy
	// Without this, net/http adds a Date header; responses are passed on as the backend server sent
	// them.
	x.w.Header()["Date"] = nil
	x.rules = p.awaitRules(x.r.Context())
	if x.rules == nil {
		x.refuse("no rules yet", noRulesRetryAfter)
		return
	}
	if !x.resolve() {
		return
	}
	if l := p.Limits; l != nil {
		account := x.accountName()
		if !l.Enter(account) {
			x.refuse("too many requests are running at this daemon; retry later", busyRetryAfter)
			return
		}
		defer l.Leave(account)
	}
	x.deadline = x.arrived.Add(min(x.request.Wait, x.route.Timeout))
	ctx, stopWaiting := p.untilStop(x.r.Context())
	defer stopWaiting()
	ctx, cancel := context.WithTimeout(ctx, x.deadline.Sub(p.Clock.Now()).Std())
	defer cancel()
	if !x.endsInTime() {
		x.refuseStopping()
		return
	}
	x.suspects = x.findParts()
	if !x.admit(ctx) || !x.takeQuota(ctx) {
		return
	}
	x.forward(ctx)
}

// resolve matches the request to its route, account and service, and reads its body. If that fails, it
// ends the request and reports false.
func (x *exchange) resolve() bool {
	var err error
	if x.request, err = x.proxy.Dialect.ParseRequest(x.r); err != nil {
		x.reply(http.StatusBadRequest, "rejected", err.Error())
		return false
	}
	x.request.Header.Del(hops.Header)
	if x.request.Wait <= 0 {
		x.request.Wait = defaultTimeout
	}
	path := x.r.RequestURI
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	if x.route = x.rules.Match(x.r.Host, path); x.route == nil {
		x.reply(http.StatusNotFound, "rejected", "no route for "+x.r.Host+path+"; check host and path")
		return false
	}
	if len(x.rules.Accounts) > 0 {
		x.account = x.rules.AccountByKey(x.request.Key)
		if x.account == nil && !x.route.Anonymous {
			x.reply(http.StatusUnauthorized, "rejected", "unknown API key; ask the operator for one")
			return false
		}
	}
	x.service = x.route.PickService(rand.Uint64())
	return x.readBody()
}

func (x *exchange) readBody() bool {
	maxBody := int64(defaultMaxBody)
	if x.rules.Limits.BodyBytes > 0 {
		maxBody = x.rules.Limits.BodyBytes
	}
	deadline := x.arrived.Add(max(min(x.request.Wait, x.route.Timeout), minBodyTime))
	var err error
	x.body, err = intake.Read(x.r, maxBody, time.Now().Add(deadline.Sub(x.proxy.Clock.Now()).Std()))
	if err == nil {
		return true
	}
	// The rest of the body is not read.
	x.w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, intake.ErrTooLong):
		x.reply(http.StatusRequestEntityTooLarge, "rejected", "body over "+strconv.FormatInt(maxBody, 10)+" bytes; send less")
	case errors.Is(err, intake.ErrFull):
		x.refuse("too many long bodies arrive at the same time; retry later", noMemoryRetryAfter)
	default:
		x.abandon("body cut short")
	}
	return false
}

// takeQuota charges the request to the account's quota. If the daemon's grants do not cover it, it
// requests more from the leader and tries once again. If that fails too, it refuses the request and
// reports false.
func (x *exchange) takeQuota(ctx context.Context) bool {
	p := x.proxy
	if x.account == nil || x.account.Rate <= 0 {
		return true
	}
	quantity := 1.0
	defer func() { x.quotaUsed = quantity }()
	if x.account.ByTokens {
		quantity = x.account.PlainTokens
		if x.request.Sized {
			quantity = float64(x.request.Prompt + x.request.Output)
		}
	}
	level := x.quotaLevel()
	p.mu.Lock()
	p.limiter.RecordDemand(x.account, level, quantity)
	ok := p.limiter.Spend(p.Clock.Now(), x.account, level, quantity)
	p.mu.Unlock()
	if ok {
		return true
	}
	ok, checked := x.awaitQuota(ctx, level, quantity)
	switch {
	case ok:
		return true
	case checked:
		x.refuseOverQuota(quota.RetryAfter(x.account, quantity))
	default:
		x.refuse("the quota cannot be checked now; retry later", noQuotaRetryAfter)
	}
	return false
}

// awaitQuota requests a grant from the leader and spends it. While the leader does not reply, it waits for
// the end of the outage or until the lease covers the request. Checked reports whether the leader replied.
func (x *exchange) awaitQuota(ctx context.Context, level int, quantity float64) (ok, checked bool) {
	p := x.proxy
	if p.RequestQuota == nil {
		return false, true
	}
	now := p.Clock.Now()
	end := now.Add(quota.MaxWait(x.deadline.Sub(now)))
	for {
		p.mu.Lock()
		wait := p.limiter.NextCheck(now)
		p.mu.Unlock()
		checked = p.RequestQuota(ctx, x.account.Name, min(wait, end.Sub(now)))
		now = p.Clock.Now()
		p.mu.Lock()
		ok = p.limiter.Spend(now, x.account, level, quantity)
		long := p.limiter.InLongOutage(now)
		p.mu.Unlock()
		if ok || checked || long || !now.Before(end) || ctx.Err() != nil {
			return ok, checked
		}
	}
}

// quotaLevel returns the quota level of the request within its account. Requests without token counts
// use little quota and get the most urgent level.
func (x *exchange) quotaLevel() int {
	if !x.request.Sized {
		return 0
	}
	return min(max(x.route.Priority, 0), quota.Levels-1)
}

// refuseOverQuota refuses a request that the account's quota does not cover.
func (x *exchange) refuseOverQuota(retryAfter clock.Duration) {
	x.proxy.Counts.Refused.Add(1)
	x.proxy.Dialect.RetryAfter(x.w.Header(), retryAfter)
	x.reply(http.StatusTooManyRequests, "over quota", "the quota of the account is used up; retry later")
}

// refuse ends a request that no backend server has run or will run.
func (x *exchange) refuse(message string, retryAfter clock.Duration) {
	p := x.proxy
	p.Counts.Refused.Add(1)
	p.Dialect.RetryAfter(x.w.Header(), min(retryAfter, maxRetryAfter))
	x.reply(http.StatusServiceUnavailable, "refused", message)
}

// refuseStopping refuses a request that would most likely not end before the daemon does.
func (x *exchange) refuseStopping() {
	x.refuse("this daemon is stopping; send it to another one", stopRetryAfter)
}

// fail ends a request that a backend server may have run.
func (x *exchange) fail(status int, message string) {
	x.proxy.Counts.Failed.Add(1)
	x.reply(status, "failed", message)
}

// abandon ends a request whose caller has disconnected.
func (x *exchange) abandon(message string) {
	x.proxy.Counts.Abandoned.Add(1)
	x.outcome, x.detail = "abandoned", message
}

// reply sends a response that the proxy itself produces. It cuts off a stream that has begun.
func (x *exchange) reply(status int, outcome, detail string) {
	if x.responseStarted {
		x.truncate(detail)
		return
	}
	x.status, x.outcome, x.detail, x.ended = status, outcome, detail, true
	h := x.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := detail + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.closeIfDraining()
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, text)
}

// closeIfDraining asks the caller to close its connection if the daemon stops, unless a further request has arrived on it.
func (x *exchange) closeIfDraining() {
	if x.proxy.Draining.Load() && !conns.HasNext(x.r) {
		x.w.Header().Set("Connection", "close")
	}
}

// log writes the log line of the request.
func (x *exchange) log() {
	x.proxy.Log.Info("request",
		"id", x.request.ID, "route", x.routeName(), "account", x.accountName(), "service", x.service,
		"outcome", x.outcome, "status", x.status, "detail", x.detail,
		"size", int(x.quotaUsed), "urgency", x.loggedUrgency(), "server", x.server, "version", x.version, "helper", x.helper, "attempts", x.attempts, "mayHaveRun", x.mayHaveRun, "events", x.sequence.Events,
		"lastStatus", x.lastResponse.Status, "lastType", x.lastResponse.ContentType, "framing", x.lastResponse.Framing.String(), "ending", x.lastResponse.Ending,
		"lastEvent", x.sequence.Last, "joined", x.joined, "expectedMs", int(x.expectedWait), "firstMs", x.firstResponseMs(), "tookMs", int64(x.proxy.Clock.Now().Sub(x.arrived)),
		"rulesVersion", x.rulesVersion())
}

func (x *exchange) firstResponseMs() int64 {
	if x.firstResponseAt == 0 {
		return -1
	}
	return int64(x.firstResponseAt.Sub(x.arrived))
}

// loggedUrgency returns the urgency of the request by its priority, -1 without a route.
func (x *exchange) loggedUrgency() int {
	if x.route == nil {
		return -1
	}
	return x.baseUrgency()
}

func (x *exchange) routeName() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}

func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

func (x *exchange) rulesVersion() uint64 {
	if x.rules == nil {
		return 0
	}
	return x.rules.Version
}
