// Package proxy is the HTTP reverse proxy of an entry daemon. It forwards the requests of callers
// to backend servers:
//
//	p := &proxy.Proxy{Clock: c, Dialect: dialect, Pool: pool, ClusterTime: c.Now}
//	p.SetRules(set)
//	server := &http.Server{Handler: p}
//
// The proxy matches each request to a route, its key to a client account, and its size to the
// account's quota. It then attempts one backend server after another for as long as package retry
// allows. Responses reach the caller unchanged; event streams are flushed event by event.
package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"swiftbeam/internal/crash"
	"swiftbeam/internal/detour"
	"swiftbeam/internal/hops"
	"swiftbeam/internal/moves"
	"swiftbeam/internal/notice"
	"swiftbeam/internal/place"
	"swiftbeam/internal/pool"
	"swiftbeam/internal/quota"
	"swiftbeam/internal/retry"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/spool"
	"swiftbeam/internal/state"
	"swiftbeam/internal/turns"
	"swiftbeam/internal/usage"
	"swiftbeam/pkg/clock"
)

// Request holds what a Dialect read from the headers of a caller's request.
type Request struct {
	// ID is the attempt ID that the caller chose; a response must carry the same ID.
	ID string
	// Key is the caller's API key.
	Key string
	// Wait is how long the caller waits for the response; zero when the request names no time.
	Wait  clock.Duration
	Model string
	// Sized reports whether the caller sent the sizes of its prompt and output, in tokens.
	Sized  bool
	Prompt int
	Output int
	Parts  []place.Part
	// After is the ID of the last stream event that the caller received; -1 for none.
	After int64
	// Header holds the headers to forward.
	Header http.Header
}

// AttemptInfo is what the proxy adds to the headers of a forwarded attempt.
type AttemptInfo struct {
	// Server is the ID of the backend server that the attempt is sent to.
	Server    string
	Account   string
	Remaining clock.Duration
	// Urgency orders the requests in the queue of an engine; 0 is served first.
	Urgency int
	// After is the ID of the last event that the caller received; -1 for none.
	After int64
}

// ResponseInfo is what the headers of a response report.
type ResponseInfo struct {
	// ID is the ID of the attempt that the response belongs to.
	ID string
	// NotRun reports that the server did not run the request, Moved that the request reached
	// another server than the one named in it.
	NotRun bool
	Moved  bool
	// Signed reports that a backend server produced the response.
	Signed bool
	// Leaving reports that the server drains and takes no new requests.
	Leaving bool
	// RetryAfter is the time for which the server wants no requests from this daemon; zero for none.
	RetryAfter clock.Duration
	// Limited reports that the server limits its requests, to Limit a second from all daemons together.
	Limited bool
	Limit   float64
	// Brittle reports that the server falls over when it has to turn away more than Tolerated requests a second.
	Brittle   bool
	Tolerated float64
}

// Dialect translates between the types of this package and the headers on the wire.
type Dialect interface {
	ParseRequest(r *http.Request) (Request, error)
	// SetHeaders adds the headers of an attempt to h.
	SetHeaders(h http.Header, a *Request, o AttemptInfo)
	ParseResponse(status int, h http.Header) ResponseInfo
	RetryAfter(h http.Header, d clock.Duration)
}

// Counts holds the counters of a Proxy.
type Counts struct {
	Requests  atomic.Int64
	Refused   atomic.Int64
	Failed    atomic.Int64
	Attempts  atomic.Int64
	Truncated atomic.Int64
	Abandoned atomic.Int64
	Events    atomic.Int64
	// Blocked counts the refused requests that would crash servers.
	Blocked atomic.Int64
	// Detours counts the attempts through other entry daemons, Assisted the attempts made for them.
	Detours  atomic.Int64
	Assisted atomic.Int64
}

// Proxy is the HTTP handler for callers. Set the exported fields before use.
type Proxy struct {
	Zone    string
	Clock   clock.Clock
	Dialect Dialect
	Pool    *pool.Pool
	Log     logr.Logger
	// ClusterTime returns the time of day that most daemons agree on.
	ClusterTime func() clock.Instant
	// RequestQuota requests a quota grant for an account from the leader without delay. It reports whether
	// the leader has replied within maxWait.
	RequestQuota func(ctx context.Context, account string, maxWait clock.Duration) bool
	Retries      retry.Budget
	// Exposure bounds the requests of all daemons to a version that is not proven yet.
	Exposure moves.Bound
	Counts   Counts
	// ObserveFirstResponse is called with the time to the first event or response of each request;
	// it may be nil.
	ObserveFirstResponse func(took clock.Duration)
	// ReportCrashes requests a report to the leader without delay; it may be nil.
	ReportCrashes func()
	// Draining makes each response ask the caller to close its connection.
	Draining atomic.Bool
	// Peers is how requests go through other entry daemons, Room bounds those that come from them.
	Peers Peers
	Room  detour.Room

	// bodies has the memory for responses.
	bodies     spool.Spool
	bodiesOnce sync.Once

	rules atomic.Pointer[rules.Set]
	// rulesArrived is closed when the first rules arrive; nil while no request waits for them.
	rulesArrived chan struct{}

	mu       sync.Mutex
	monitor  moves.Monitor
	services map[string]*ServiceState
	notices  notice.Board
	crashes  crash.Watch
	// crashesLearned is closed at the next change of crashes; nil while no request waits for it.
	crashesLearned chan struct{}
	helpers        detour.Helpers
	// helpersLearned is closed when the leader offers helpers; nil while no request waits for them.
	helpersLearned chan struct{}
	closed         bool
	limiter        quota.Limiter
	counter        usage.Counter
	requests       sync.WaitGroup
	inFlight       atomic.Int64
}

// ServiceState is the routing state of a service with its retry budget and counters.
type ServiceState struct {
	place.Service
	// Path is what the daemon knows of its path to the servers.
	Path        detour.Path
	Budget      retry.Budget
	Connections int
	// Rollout is the service's rollout of the highest revision received, or nil.
	Rollout *state.Rollout
	// EventTokens is the usual number of tokens in one stream event.
	EventTokens int
	// Requests counts the callers' requests for the service.
	Requests uint64
	// Sent counts the attempts that were sent to servers, Completed those that a server completed.
	Sent      uint64
	Completed uint64
	// Prompt counts the prompt tokens that the chosen servers had not cached, Output the tokens
	// they generated.
	Prompt uint64
	Output uint64
}

// Waiting times and Retry-After hints.
const (
	// noRulesRetryAfter is the time within which a starting daemon receives the rules when all core
	// daemons start at the same time.
	noRulesRetryAfter = clock.Second
	// firstRulesTimeout is how long a request waits for the first rules: well below the time after
	// which a caller gives up on a request without a response.
	firstRulesTimeout = 600 * clock.Millisecond
	// noQuotaRetryAfter is the time within which a leader is usually elected.
	noQuotaRetryAfter = 500 * clock.Millisecond
	// noServerRetryAfter is the time within which a crashed server is usually replaced or reachable
	// again.
	noServerRetryAfter = 500 * clock.Millisecond
	// noRoomRetryAfter is the time in which requests that brittle servers have now end.
	noRoomRetryAfter = clock.Second
	// maxRetryAfter bounds the Retry-After of a refusal, as callers give up after a longer wait.
	maxRetryAfter  = 3 * clock.Second
	defaultTimeout = clock.Minute
)

// defaultMaxBody bounds a request body, in bytes, where the rules set no limit.
const defaultMaxBody = 4 << 20

// SetWindows sets the lengths of the windows over which usage is counted and quotas are enforced.
func (p *Proxy) SetWindows(usageWindow, quotaWindow clock.Duration) {
	p.counter.Length = usageWindow
	p.limiter.Window = quotaWindow
	p.monitor.SetShortMoves()
}

// Rules returns the traffic rules in force, or nil.
func (p *Proxy) Rules() *rules.Set { return p.rules.Load() }

// SetRules puts traffic rules in force if they are newer than the current ones, and reports
// whether it did.
func (p *Proxy) SetRules(set *rules.Set) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.rules.Load(); old != nil && old.Version >= set.Version {
		return false
	}
	for i := range set.Services {
		p.configure(p.serviceState(set.Services[i].Name), &set.Services[i])
	}
	p.limiter.SetRules(set)
	p.rules.Store(set)
	if p.rulesArrived != nil {
		close(p.rulesArrived)
		p.rulesArrived = nil
	}
	return true
}

// awaitRules returns the rules in force. While there are none yet, it waits for up to
// firstRulesTimeout, after which most requests can still be served in time.
func (p *Proxy) awaitRules(ctx context.Context) *rules.Set {
	if set := p.rules.Load(); set != nil {
		return set
	}
	p.mu.Lock()
	if p.rulesArrived == nil {
		p.rulesArrived = make(chan struct{})
	}
	arrived := p.rulesArrived
	p.mu.Unlock()
	timer := time.NewTimer(firstRulesTimeout.Std())
	defer timer.Stop()
	select {
	case <-arrived:
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.rules.Load()
}

// UpdateService calls change with the state of a service while the proxy's lock is held.
func (p *Proxy) UpdateService(service string, change func(*ServiceState)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p.serviceState(service))
}

// Samples returns the evidence counted for the rollouts in progress.
func (p *Proxy) Samples() []moves.Sample {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.monitor.Totals(func(service string) bool {
		s := p.services[service]
		return s != nil && s.Rollout != nil && !s.Rollout.Stage.Ended()
	})
}

// UpdateLimits calls change with the time that the daemons agree on and the request limits of servers,
// while the proxy's lock is held.
func (p *Proxy) UpdateLimits(change func(now clock.Instant, limits *turns.Limiter)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p.ClusterTime(), &p.notices.Limits)
}

// LearnLimits records request limits of servers that other daemons observed.
func (p *Proxy) LearnLimits(list []turns.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range p.notices.Limits.Learn(list) {
		p.notices.Gate.RejectedElsewhere(p.Clock.Now(), server)
	}
}

// UpdateNotices calls change with what servers said of themselves while the proxy's lock is held.
func (p *Proxy) UpdateNotices(change func(*notice.Board)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.notices)
}

// UnsentLimits returns up to n request limits of servers that the leader does not have yet.
func (p *Proxy) UnsentLimits(n int) []turns.Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices.Limits.Unsent(p.ClusterTime(), n)
}

// UpdateCrashes calls change with the time that the daemons agree on and the traits of requests that crash
// servers, while the proxy's lock is held.
func (p *Proxy) UpdateCrashes(change func(now clock.Instant, watch *crash.Watch)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p.ClusterTime(), &p.crashes)
	if p.crashesLearned != nil {
		close(p.crashesLearned)
		p.crashesLearned = nil
	}
}

// WithState calls use with all mutable state while the proxy's lock is held.
func (p *Proxy) WithState(use func(services map[string]*ServiceState, limiter *quota.Limiter, counter *usage.Counter)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	use(p.services, &p.limiter, &p.counter)
}

func (p *Proxy) serviceState(name string) *ServiceState {
	if p.services == nil {
		p.services = make(map[string]*ServiceState)
	}
	s := p.services[name]
	if s == nil {
		s = &ServiceState{Service: place.Service{Name: name, Costs: place.PlainCosts}, Budget: p.Retries}
		p.services[name] = s
	}
	return s
}

func (p *Proxy) configure(s *ServiceState, service *rules.Service) {
	s.Connections = service.Connections
	if service.Engine != nil {
		s.EventTokens = max(service.Engine.EventTokens, 1)
	}
	if service.Engine != nil && !s.Engine {
		s.Engine = true
		s.Costs = place.EngineCosts
	}
}

// InFlight returns the number of requests in progress.
func (p *Proxy) InFlight() int64 { return p.inFlight.Load() }

// Wait returns when no request is in progress, or when ctx ends.
func (p *Proxy) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		p.requests.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// ServeHTTP serves one request of a caller.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.requests.Add(1)
	p.inFlight.Add(1)
	defer p.requests.Done()
	defer p.inFlight.Add(-1)
	p.Counts.Requests.Add(1)
	x := &exchange{proxy: p, w: w, r: r, arrived: p.Clock.Now()}
	x.serve()
	x.releaseSaved()
	x.log()
	if x.abort {
		// net/http closes the connection without completing the response.
		panic(http.ErrAbortHandler)
	}
}

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
	usageCounted    bool // the request was counted in the account's usage
	// lastEvent is the ID of the last event that the caller has; -1 for none.
	lastEvent       int64
	eventCount      int
	firstResponseAt clock.Instant
	saved           *savedResponse

	// abort closes the caller's connection instead of completing the response.
	abort bool
	// quotaUsed is what the request counts against the account's quota, in requests or tokens.
	quotaUsed    float64
	outcome      string
	status       int
	detail       string
	server       string
	version      string
	expectedWait float64
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
	if p.Draining.Load() {
		x.w.Header().Set("Connection", "close")
	}
	x.rules = p.awaitRules(x.r.Context())
	if x.rules == nil {
		x.refuse("no rules yet", noRulesRetryAfter)
		return
	}
	if !x.resolve() {
		return
	}
	x.deadline = x.arrived.Add(min(x.request.Wait, x.route.Timeout))
	ctx, cancel := context.WithTimeout(x.r.Context(), x.deadline.Sub(p.Clock.Now()).Std())
	defer cancel()
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
	if x.r.ContentLength > maxBody {
		return x.bodyTooLarge(maxBody)
	}
	if x.r.ContentLength == 0 {
		return true
	}
	if x.r.ContentLength > 0 {
		x.body = make([]byte, x.r.ContentLength)
		if _, err := io.ReadFull(x.r.Body, x.body); err != nil {
			x.abandon("body cut short")
			return false
		}
		return true
	}
	var err error
	if x.body, err = io.ReadAll(io.LimitReader(x.r.Body, maxBody+1)); err != nil {
		x.abandon("body cut short")
		return false
	}
	if int64(len(x.body)) > maxBody {
		return x.bodyTooLarge(maxBody)
	}
	return true
}

// bodyTooLarge rejects a body over the limit. It returns false, the result of readBody in that case.
func (x *exchange) bodyTooLarge(maxBody int64) bool {
	x.reply(http.StatusRequestEntityTooLarge, "rejected", "body over "+strconv.FormatInt(maxBody, 10)+" bytes; send less")
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

// fail ends a request that a backend server may have run.
func (x *exchange) fail(status int, message string) {
	x.proxy.Counts.Failed.Add(1)
	x.reply(status, "failed", message)
}

// abandon ends a request whose caller has disconnected.
func (x *exchange) abandon(message string) {
	x.proxy.Counts.Abandoned.Add(1)
	x.outcome, x.detail = "abandoned", message
	x.abort = true
}

// reply sends a response that the proxy itself produces.
func (x *exchange) reply(status int, outcome, detail string) {
	x.status, x.outcome, x.detail = status, outcome, detail
	h := x.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := detail + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, text)
}

// log writes the log line of the request.
func (x *exchange) log() {
	x.proxy.Log.Info("request",
		"id", x.request.ID, "route", x.routeName(), "account", x.accountName(), "service", x.service,
		"outcome", x.outcome, "status", x.status, "detail", x.detail,
		"size", int(x.quotaUsed), "server", x.server, "version", x.version, "helper", x.helper, "attempts", x.attempts, "mayHaveRun", x.mayHaveRun, "events", x.eventCount,
		"expectedMs", int(x.expectedWait), "firstMs", x.firstResponseMs(), "tookMs", int64(x.proxy.Clock.Now().Sub(x.arrived)),
		"rulesVersion", x.rulesVersion())
}

func (x *exchange) firstResponseMs() int64 {
	if x.firstResponseAt == 0 {
		return -1
	}
	return int64(x.firstResponseAt.Sub(x.arrived))
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
