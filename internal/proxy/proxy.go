// Package proxy takes the requests of callers at an entry daemon and forwards them to backend
// servers:
//
//	f := &proxy.Proxy{Clock: c, Dialect: dialect, Pool: pool, TrueTime: c.Now}
//	f.SetRules(set)
//	server := &http.Server{Handler: f}
//
// A request is matched to its route, its key to a client account, and its size to the account's
// quota; then attempts at backend servers follow one another as package retry decides. Answers
// of backend servers go to the caller unchanged, event streams as their events arrive.
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

	"swiftbeam/internal/moves"
	"swiftbeam/internal/place"
	"swiftbeam/internal/pool"
	"swiftbeam/internal/quota"
	"swiftbeam/internal/retry"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/state"
	"swiftbeam/internal/usage"
	"swiftbeam/pkg/clock"
)

// Request is a request as its caller described it.
type Request struct {
	// ID names this attempt of the caller.
	ID string
	// Key is the caller's API key.
	Key string
	// Wait is how long the caller waits; zero when it did not say.
	Wait  clock.Duration
	Model string
	// Sized tells that the caller gave the sizes of its prompt and answer, in tokens.
	Sized  bool
	Prompt int
	Output int
	Parts  []place.Part
	// After is the last event that the caller has of a stream; -1 when it has none.
	After int64
	// Header are the headers to pass on.
	Header http.Header
}

// AttemptInfo is what an attempt adds to the headers of a request.
type AttemptInfo struct {
	// Server is the ID of the backend server that is meant.
	Server    string
	Account   string
	Remaining clock.Duration
	// Urgency orders requests at an engine; 0 is first.
	Urgency int
	// After is the last event that the caller has; -1 when it has none.
	After int64
}

// ResponseInfo are what the headers of an answer tell.
type ResponseInfo struct {
	// ID is the attempt that is answered.
	ID string
	// NotRun tells that the server did not run the request, Moved that it is not the one meant.
	NotRun bool
	Moved  bool
	// Signed tells that a backend server made the answer.
	Signed bool
}

// Dialect translates between the types of this package and the headers on the wire.
type Dialect interface {
	ParseRequest(r *http.Request) (Request, error)
	// SetHeaders adds the headers of an attempt to h.
	SetHeaders(h http.Header, a *Request, o AttemptInfo)
	ParseResponse(status int, h http.Header) ResponseInfo
	RetryAfter(h http.Header, d clock.Duration)
}

// Counts are the counters of a Proxy.
type Counts struct {
	Requests  atomic.Int64
	Refused   atomic.Int64
	Failed    atomic.Int64
	Attempts  atomic.Int64
	Truncated atomic.Int64
	Abandoned atomic.Int64
	Events    atomic.Int64
}

// Proxy is the handler for callers. Set the exported fields before use.
type Proxy struct {
	Zone    string
	Clock   clock.Clock
	Dialect Dialect
	Pool    *pool.Pool
	Log     logr.Logger
	// ClusterTime returns the time of day that the daemons agree on.
	ClusterTime func() clock.Instant
	// RequestQuota asks for a grant at once; it returns when one came, or after patience.
	RequestQuota func(ctx context.Context, patience clock.Duration)
	Retries      retry.Budget
	Counts       Counts
	// ObserveFirstResponse takes the time to the first answer of each request; it may be nil.
	ObserveFirstResponse func(took clock.Duration)
	// Draining tells callers to use other connections.
	Draining atomic.Bool

	rules atomic.Pointer[rules.Set]
	// learned is closed when the first rules come; nil while nobody waits.
	learned chan struct{}

	mu       sync.Mutex
	watch    moves.Monitor
	services map[string]*ServiceState
	purse    quota.Limiter
	counter  usage.Counter
	active   sync.WaitGroup
	inFlight atomic.Int64
}

// ServiceState is a service with the budget for further attempts at its servers.
type ServiceState struct {
	place.Service
	Budget      retry.Budget
	Connections int
	// Rollout is the newest rollout of the service, or nil.
	Rollout *state.Rollout
	// EventTokens is the usual number of tokens in one event.
	EventTokens int
	// Requests counts the requests for the service.
	Requests uint64
	// Prompt counts the prompt tokens that servers had to read, Output the tokens they generated.
	Prompt uint64
	Output uint64
}

// Retry-After hints.
const (
	// unknownRulesRetry is the time in which a starting daemon learns the rules when all core
	// daemons start with it.
	unknownRulesRetry = clock.Second
	// rulesWait is how long a request waits for the first rules: well below the time after which a
	// caller gives up a request that was not answered.
	rulesWait = 600 * clock.Millisecond
	// noServerRetry is the time in which a crashed server is usually replaced or found again.
	noServerRetry = 500 * clock.Millisecond
	// maxRetryAfter bounds a hint, as a caller gives up after that.
	maxRetryAfter = 3 * clock.Second
	defaultWait   = clock.Minute
)

// maxBodyDefault bounds a request body before the rules are known.
const maxBodyDefault = 4 << 20

// SetWindows sets the lengths of the windows in which usage is counted and quotas hold.
func (f *Proxy) SetWindows(report, limit clock.Duration) {
	f.counter.Length = report
	f.purse.Window = limit
	f.watch.UseShort()
}

// Rules returns the traffic rules in force, or nil.
func (f *Proxy) Rules() *rules.Set { return f.rules.Load() }

// SetRules puts newer traffic rules in force. It reports false when they are not newer.
func (f *Proxy) SetRules(set *rules.Set) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.rules.Load(); old != nil && old.Version >= set.Version {
		return false
	}
	for i := range set.Services {
		f.configure(f.group(set.Services[i].Name), &set.Services[i])
	}
	f.purse.SetRules(set)
	f.rules.Store(set)
	if f.learned != nil {
		close(f.learned)
		f.learned = nil
	}
	return true
}

// awaitRules returns the rules in force. A daemon that has just started waits for its first ones, as
// most requests are still answered in time then.
func (f *Proxy) awaitRules(ctx context.Context) *rules.Set {
	if set := f.rules.Load(); set != nil {
		return set
	}
	f.mu.Lock()
	if f.learned == nil {
		f.learned = make(chan struct{})
	}
	learned := f.learned
	f.mu.Unlock()
	timer := time.NewTimer(rulesWait.Std())
	defer timer.Stop()
	select {
	case <-learned:
	case <-timer.C:
	case <-ctx.Done():
	}
	return f.rules.Load()
}

// UpdateService calls change with the service of that name while nothing else uses it.
func (f *Proxy) UpdateService(service string, change func(*ServiceState)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.group(service))
}

// Samples returns what was counted in the rollouts that run.
func (f *Proxy) Samples() []moves.Sample {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watch.Totals(func(service string) bool {
		g := f.services[service]
		return g != nil && g.Rollout != nil && !g.Rollout.Stage.Ended()
	})
}

// WithState calls use with all mutable state while nothing else uses it.
func (f *Proxy) WithState(use func(services map[string]*ServiceState, purse *quota.Limiter, counter *usage.Counter)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	use(f.services, &f.purse, &f.counter)
}

func (f *Proxy) group(name string) *ServiceState {
	if f.services == nil {
		f.services = make(map[string]*ServiceState)
	}
	g := f.services[name]
	if g == nil {
		g = &ServiceState{Service: place.Service{Name: name, Costs: place.PlainCosts}, Budget: f.Retries}
		f.services[name] = g
	}
	return g
}

func (f *Proxy) configure(g *ServiceState, s *rules.Service) {
	g.Connections = s.Connections
	if s.Engine != nil {
		g.EventTokens = max(s.Engine.EventTokens, 1)
	}
	if s.Engine != nil && !g.Engine {
		g.Engine = true
		g.Costs = place.EngineCosts
	}
}

// InFlight returns the number of requests that are being served.
func (f *Proxy) InFlight() int64 { return f.inFlight.Load() }

// Wait returns when no request is being served, or when ctx ends.
func (f *Proxy) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		f.active.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// ServeHTTP answers one request of a caller.
func (f *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	f.inFlight.Add(1)
	defer f.active.Done()
	defer f.inFlight.Add(-1)
	f.Counts.Requests.Add(1)
	x := &exchange{front: f, w: w, r: r, arrived: f.Clock.Now()}
	x.serve()
	x.log()
	if x.abort {
		// The connection ends without the rest of the answer.
		panic(http.ErrAbortHandler)
	}
}

// exchange is one request on its way.
type exchange struct {
	front   *Proxy
	w       http.ResponseWriter
	r       *http.Request
	ask     Request
	set     *rules.Set
	route   *rules.Route
	account *rules.Account
	service string
	body    []byte
	arrived clock.Instant
	until   clock.Instant

	avoid    []string
	attempts int
	// versions tells which versions of the service may serve the next attempt.
	versions func(version string) bool
	ran      bool // an attempt may have run
	begun    bool // a part of the answer went to the caller
	counted  bool // the request was counted as begun
	// events is the last event that the caller was sent.
	events  int64
	eventsN int
	first   clock.Instant
	saved   *answer

	// abort ends the caller's connection instead of completing the answer.
	abort bool
	// size is what the request counts against the account's quota.
	size    float64
	outcome string
	status  int
	detail  string
	server  string
	wait    float64
}

// answer is a whole answer of a backend server, kept while another attempt is made.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (x *exchange) serve() {
	f := x.front
	// The server adds a date by itself; answers go on as the backend server made them.
	x.w.Header()["Date"] = nil
	if f.Draining.Load() {
		x.w.Header().Set("Connection", "close")
	}
	x.set = f.awaitRules(x.r.Context())
	if x.set == nil {
		x.refuse("no rules yet", unknownRulesRetry)
		return
	}
	if !x.admit() {
		return
	}
	x.until = x.arrived.Add(min(x.ask.Wait, x.route.Timeout))
	ctx, cancel := context.WithTimeout(x.r.Context(), x.until.Sub(f.Clock.Now()).Std())
	defer cancel()
	if !x.spend(ctx) {
		return
	}
	x.forward(ctx)
}

// admit matches the request to its route and account and reads its body.
func (x *exchange) admit() bool {
	var err error
	if x.ask, err = x.front.Dialect.ParseRequest(x.r); err != nil {
		x.reply(http.StatusBadRequest, "rejected", err.Error())
		return false
	}
	if x.ask.Wait <= 0 {
		x.ask.Wait = defaultWait
	}
	path := x.r.RequestURI
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	if x.route = x.set.Match(x.r.Host, path); x.route == nil {
		x.reply(http.StatusNotFound, "rejected", "no route for "+x.r.Host+path+"; check host and path")
		return false
	}
	if len(x.set.Accounts) > 0 {
		x.account = x.set.AccountByKey(x.ask.Key)
		if x.account == nil && !x.route.Anonymous {
			x.reply(http.StatusUnauthorized, "rejected", "unknown API key; ask the operator for one")
			return false
		}
	}
	x.service = x.route.PickService(rand.Uint64())
	return x.readBody()
}

func (x *exchange) readBody() bool {
	limit := int64(maxBodyDefault)
	if x.set.Limits.BodyBytes > 0 {
		limit = x.set.Limits.BodyBytes
	}
	if x.r.ContentLength > limit {
		return x.tooLarge(limit)
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
	if x.body, err = io.ReadAll(io.LimitReader(x.r.Body, limit+1)); err != nil {
		x.abandon("body cut short")
		return false
	}
	if int64(len(x.body)) > limit {
		return x.tooLarge(limit)
	}
	return true
}

// tooLarge rejects a body over the limit. It returns false, as readBody does then.
func (x *exchange) tooLarge(limit int64) bool {
	x.reply(http.StatusRequestEntityTooLarge, "rejected", "body over "+strconv.FormatInt(limit, 10)+" bytes; send less")
	return false
}

// spend takes the size of the request from the account's quota.
func (x *exchange) spend(ctx context.Context) bool {
	f := x.front
	if x.account == nil || x.account.Rate <= 0 {
		return true
	}
	quantity := 1.0
	defer func() { x.size = quantity }()
	if x.account.ByTokens {
		quantity = x.account.PlainTokens
		if x.ask.Sized {
			quantity = float64(x.ask.Prompt + x.ask.Output)
		}
	}
	level := x.level()
	f.mu.Lock()
	f.purse.RecordDemand(x.account, level, quantity)
	ok := f.purse.Spend(f.Clock.Now(), x.account, level, quantity)
	patience := f.purse.MaxWait(f.Clock.Now())
	f.mu.Unlock()
	if !ok && f.RequestQuota != nil {
		f.RequestQuota(ctx, patience)
		f.mu.Lock()
		ok = f.purse.Spend(f.Clock.Now(), x.account, level, quantity)
		f.mu.Unlock()
	}
	if !ok {
		x.limit(quota.RetryAfter(x.account, quantity))
	}
	return ok
}

// level is the urgency of the request within its account's quota. Requests without a prompt count
// little and go first.
func (x *exchange) level() int {
	if !x.ask.Sized {
		return 0
	}
	return min(max(x.route.Priority, 0), quota.Levels-1)
}

// limit refuses a request beyond the account's quota.
func (x *exchange) limit(after clock.Duration) {
	x.front.Counts.Refused.Add(1)
	x.front.Dialect.RetryAfter(x.w.Header(), after)
	x.reply(http.StatusTooManyRequests, "over quota", "the quota of the account is used up; retry later")
}

// refuse ends a request that has not run and will not.
func (x *exchange) refuse(why string, after clock.Duration) {
	f := x.front
	f.Counts.Refused.Add(1)
	f.Dialect.RetryAfter(x.w.Header(), min(after, maxRetryAfter))
	x.reply(http.StatusServiceUnavailable, "refused", why)
}

// fail ends a request that may have run.
func (x *exchange) fail(status int, why string) {
	x.front.Counts.Failed.Add(1)
	x.reply(status, "failed", why)
}

// abandon ends a request whose caller is gone.
func (x *exchange) abandon(why string) {
	x.front.Counts.Abandoned.Add(1)
	x.outcome, x.detail = "abandoned", why
	x.abort = true
}

// reply gives an answer of our own.
func (x *exchange) reply(status int, outcome, detail string) {
	x.status, x.outcome, x.detail = status, outcome, detail
	h := x.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := detail + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, text)
}

// log writes the one line of a request.
func (x *exchange) log() {
	x.front.Log.Info("request",
		"id", x.ask.ID, "route", x.routeName(), "account", x.accountName(), "service", x.service,
		"outcome", x.outcome, "status", x.status, "detail", x.detail,
		"size", int(x.size), "server", x.server, "attempts", x.attempts, "mayHaveRun", x.ran, "events", x.eventsN,
		"expectedMs", int(x.wait), "firstMs", x.firstMs(), "tookMs", int64(x.front.Clock.Now().Sub(x.arrived)),
		"rulesVersion", x.rulesVersion())
}

func (x *exchange) firstMs() int64 {
	if x.first == 0 {
		return -1
	}
	return int64(x.first.Sub(x.arrived))
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
	if x.set == nil {
		return 0
	}
	return x.set.Version
}
