package proxy

import (
	"context"
	"maps"
	"sync"

	"swiftbeam/internal/rules"
	"swiftbeam/internal/spans"
	"swiftbeam/pkg/clock"
)

// stopRetryAfter is the Retry-After of a request that a stopping daemon refuses. Others can take it at once.
const stopRetryAfter = 50 * clock.Millisecond

// stop is the planned stop of a proxy.
type stop struct {
	once sync.Once
	// ended is canceled when all requests must end.
	ended context.Context
	end   context.CancelFunc
	mu    sync.Mutex
	// by is when that will be; zero while no stop is planned.
	by clock.Instant
	// certain is set once requests are taken only if they end by then in any case.
	certain bool
}

func (s *stop) init() {
	s.once.Do(func() { s.ended, s.end = context.WithCancel(context.Background()) })
}

// StopBy announces that EndRequests will be called at a time. Requests that will most likely take longer are refused from now
// on.
func (p *Proxy) StopBy(at clock.Instant) {
	p.stop.mu.Lock()
	defer p.stop.mu.Unlock()
	p.stop.by = at
}

// TakeOnlyCertain refuses from now on each request that may take longer than until the time of StopBy.
func (p *Proxy) TakeOnlyCertain() {
	p.stop.mu.Lock()
	defer p.stop.mu.Unlock()
	p.stop.certain = true
}

// EndRequests ends all requests with a final response, and streams that have begun without their end.
func (p *Proxy) EndRequests() {
	p.StopBy(p.Clock.Now())
	p.stop.init()
	p.stop.end()
}

// isStopped reports whether EndRequests was called.
func (p *Proxy) isStopped() bool {
	p.stop.init()
	return p.stop.ended.Err() != nil
}

// untilStop returns a context that ends with ctx and at the end of a planned stop.
func (p *Proxy) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	p.stop.init()
	ctx, cancel := context.WithCancel(ctx)
	stopWaiting := context.AfterFunc(p.stop.ended, cancel)
	return ctx, func() {
		stopWaiting()
		cancel()
	}
}

// endsInTime reports whether the request will end before the daemon does: most likely, or in any case after TakeOnlyCertain.
func (x *exchange) endsInTime() bool {
	p := x.proxy
	p.stop.mu.Lock()
	by, certain := p.stop.by, p.stop.certain
	p.stop.mu.Unlock()
	if by == 0 {
		return true
	}
	now := p.Clock.Now()
	longest := x.deadline.Sub(now)
	if !certain {
		longest = min(longest, x.usualDuration())
	}
	return !now.Add(longest).After(by)
}

// usualDuration returns a duration that few of the last requests of the route exceeded, or the maximum while it is unknown.
func (x *exchange) usualDuration() clock.Duration {
	p := x.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if recent := p.took[x.route.Name]; recent != nil {
		if usual, known := recent.Usual(); known {
			return usual
		}
	}
	return clock.MaxDuration
}

// observeDuration records how long the request took since it was ready to be sent to a server.
func (x *exchange) observeDuration(since clock.Instant) {
	p := x.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.took == nil {
		p.took = make(map[string]*spans.Recent)
	}
	recent := p.took[x.route.Name]
	if recent == nil {
		recent = &spans.Recent{}
		p.took[x.route.Name] = recent
	}
	recent.Add(p.Clock.Now().Sub(since))
}

// forgetRoutes drops the durations of routes that the rules lack. The caller holds the lock.
func (p *Proxy) forgetRoutes(set *rules.Set) {
	if len(p.took) == 0 {
		return
	}
	names := make(map[string]bool, len(set.Routes))
	for i := range set.Routes {
		names[set.Routes[i].Name] = true
	}
	maps.DeleteFunc(p.took, func(name string, _ *spans.Recent) bool { return !names[name] })
}
