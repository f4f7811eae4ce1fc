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
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"swiftbeam/internal/abort"
	"swiftbeam/internal/crash"
	"swiftbeam/internal/detour"
	"swiftbeam/internal/event"
	"swiftbeam/internal/intake"
	"swiftbeam/internal/moves"
	"swiftbeam/internal/notice"
	"swiftbeam/internal/place"
	"swiftbeam/internal/pool"
	"swiftbeam/internal/quota"
	"swiftbeam/internal/retry"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/spans"
	"swiftbeam/internal/spool"
	"swiftbeam/internal/state"
	"swiftbeam/internal/turns"
	"swiftbeam/internal/usage"
	"swiftbeam/pkg/clock"
)

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
	// ColdBurst bounds the requests of all daemons to a cold server in a second.
	ColdBurst turns.Burst
	Counts    Counts
	// ObserveFirstResponse is called with the time to the first event or response of each request;
	// it may be nil.
	ObserveFirstResponse func(took clock.Duration)
	// ReportCrashes requests a report to the leader without delay; it may be nil.
	ReportCrashes func()
	// Draining makes each response ask the caller to close its connection.
	Draining atomic.Bool
	stop     stop
	// Peers is how requests go through other entry daemons, Room bounds those that come from them.
	Peers Peers
	Room  detour.Room

	// Limits bounds the requests that are handled; nil for no bound.
	Limits *intake.Limits
	// MemoryBytes is the memory of the process, of which long responses use a part; zero if unknown.
	MemoryBytes int64
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
	// evacuations are the availability zones that are evacuated or were, by name.
	evacuations map[string]state.Evacuation
	wake        wake
	// caughtUp is closed when a core daemon is heard after a pause; nil while no request waits for that.
	caughtUp chan struct{}
	crashes  crash.Watch
	// crashesLearned is closed at the next change of crashes; nil while no request waits for it.
	crashesLearned chan struct{}
	helpers        detour.Helpers
	// helpersLearned is closed when the leader offers helpers; nil while no request waits for them.
	helpersLearned chan struct{}
	closed         bool
	limiter        quota.Limiter
	counter        usage.Counter
	// took is how long the last requests of each route took at the servers.
	took     map[string]*spans.Recent
	requests sync.WaitGroup
	inFlight atomic.Int64
}

// ServiceState is the routing state of a service with its retry budget and counters.
type ServiceState struct {
	place.Service
	// Path is what the daemon knows of its path to the servers.
	Path        detour.Path
	Budget      retry.Budget
	Connections int
	// ColdPerSecond is the number of requests a second that a cold server takes from all daemons; zero for no limit.
	ColdPerSecond float64
	// ColdStart is how long a server is cold after its start.
	ColdStart clock.Duration
	// Rollout is the service's rollout of the highest revision received, or nil.
	Rollout *state.Rollout
	// Starts is what the daemon has learned of the first events of streams, by the version of the server.
	Starts map[string]*event.Starts
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
	// evacuatedRetryAfter is the Retry-After while all zones of a service are evacuated, which an operator ends.
	evacuatedRetryAfter = 2 * clock.Second
	// noRoomRetryAfter is the time in which requests that brittle servers have now end.
	noRoomRetryAfter = clock.Second
	// minBodyTime is how long a body may take to arrive even if the time of its request is shorter, so that the caller
	// gets a response rather than a closed connection.
	minBodyTime = 10 * clock.Second
	// noMemoryRetryAfter is the time in which bodies that do not end lose their memory to others.
	noMemoryRetryAfter = clock.Second
	// busyRetryAfter is the time in which a part of the running requests ends.
	busyRetryAfter = clock.Second
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
	p.forgetRoutes(set)
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
	s.ColdPerSecond, s.ColdStart = service.ColdPerSecond, service.ColdStart
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
	if !x.ended {
		abort.Response(w, r)
	}
}

// maxStarts bounds the versions of a service whose first events are remembered.
const maxStarts = 16

// startsOf returns what is known of the first events of a version's streams.
func (s *ServiceState) startsOf(version string) *event.Starts {
	starts := s.Starts[version]
	if starts == nil {
		if s.Starts == nil || len(s.Starts) >= maxStarts {
			s.Starts = make(map[string]*event.Starts)
		}
		starts = &event.Starts{}
		s.Starts[version] = starts
	}
	return starts
}
