// Package runner starts and stops the services of a process. Services are registered by name,
// started in order of registration and stopped in reverse order:
//
//	r := &runner.Runner{}
//	r.Add("member", table)
//	err := r.Start(ctx)
//	table, err := runner.Find[*member.Table](r, "member")
//	err = r.Stop(ctx)
package runner

import (
	"context"
	"sync"
	"time"

	"swiftbeam/internal/fault"
	"swiftbeam/pkg/clock"
)

// Starter is a service with goroutines. Start returns once the service is usable. The service
// starts its goroutines in g and ends them when ctx ends.
type Starter interface {
	Start(ctx context.Context, g *Group) error
}

// Stopper is a service that has work to finish before its context is cancelled.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Dumper is a service whose state can be inspected. The result contains no secrets and may be
// encoded as JSON after Dump returned.
type Dumper interface {
	Dump() any
}

// Group tracks the goroutines of a process so that a stop can wait for them. Unlike a sync.WaitGroup, it
// takes further goroutines while Wait is called, as handlers of requests start some during a stop. The
// zero value is ready to use.
type Group struct {
	mu      sync.Mutex
	running int
	// idle is closed when no goroutine is left; nil while nobody waits.
	idle chan struct{}
}

// Go runs f in a goroutine of the group.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	g.running++
	g.mu.Unlock()
	go func() {
		defer g.done()
		f()
	}()
}

func (g *Group) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running--; g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Wait returns when all goroutines of the group have ended. Those that start later are not waited for.
func (g *Group) Wait() {
	g.mu.Lock()
	if g.running == 0 {
		g.mu.Unlock()
		return
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	<-idle
}

// Runner manages the services of a process. The zero value is ready to use.
type Runner struct {
	mu     sync.RWMutex
	names  []string
	byName map[string]any
	group  Group
	cancel context.CancelFunc
}

// Add registers service under name. It panics if the name is registered already.
func (r *Runner) Add(name string, service any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byName == nil {
		r.byName = make(map[string]any)
	}
	if _, exists := r.byName[name]; exists {
		panic("kernel: service " + name + " is registered twice")
	}
	r.byName[name] = service
	r.names = append(r.names, name)
}

// Find returns the service registered under name as a T.
func Find[T any](r *Runner, name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	service, ok := r.byName[name].(T)
	if !ok {
		var zero T
		return zero, fault.New(fault.Missing, "no service %q of type %T", name, zero).
			Remedy("register it before the services that use it")
	}
	return service, nil
}

// Start starts all services in order of registration. When one fails, Start kills the ones that were
// started before and returns the error.
func (r *Runner) Start(ctx context.Context) error {
	ctx, r.cancel = context.WithCancel(ctx)
	for _, s := range r.services() {
		starter, ok := s.(Starter)
		if !ok {
			continue
		}
		if err := starter.Start(ctx, &r.group); err != nil {
			r.Kill()
			return err
		}
	}
	return nil
}

// Stop calls the Stop methods of the services in reverse order with ctx, then ends all services.
// It returns the first error.
func (r *Runner) Stop(ctx context.Context) error {
	var firstErr error
	services := r.services()
	for i := len(services) - 1; i >= 0; i-- {
		stopper, ok := services[i].(Stopper)
		if !ok {
			continue
		}
		if err := stopper.Stop(ctx); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	r.Kill()
	return firstErr
}

// Kill cancels the context of all services and waits for their goroutines, without calling their
// Stop methods.
func (r *Runner) Kill() {
	r.cancel()
	r.group.Wait()
}

// NamedState is the state of one service.
type NamedState struct {
	Name  string
	State any
}

// Dump returns the state of the service registered under name, or of all services that implement
// Dumper when name is empty.
func (r *Runner) Dump(name string) ([]NamedState, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var states []NamedState
	for _, n := range r.names {
		d, ok := r.byName[n].(Dumper)
		if ok && (name == "" || name == n) {
			states = append(states, NamedState{Name: n, State: d.Dump()})
		}
	}
	if name != "" && len(states) == 0 {
		return nil, fault.New(fault.Missing, "no service %q with a state", name).
			Remedy("omit the name to dump all services")
	}
	return states, nil
}

func (r *Runner) services() []any {
	r.mu.RLock()
	defer r.mu.RUnlock()
	services := make([]any, 0, len(r.names))
	for _, n := range r.names {
		services = append(services, r.byName[n])
	}
	return services
}

// Pause waits for d or until ctx ends.
func Pause(ctx context.Context, d clock.Duration) {
	timer := time.NewTimer(d.Std())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

const (
	// lagInterval is the interval at which EveryLag checks how late timers are.
	lagInterval = 250 * clock.Millisecond
	// PauseTime is how late a timer is at least after the process was paused, or its VM suspended.
	PauseTime = 400 * clock.Millisecond
)

// EveryLag calls f about each 250 ms until ctx ends, with the time by which the call is late: a little while the processor is used up,
// and much when the process was paused. It refreshes the clock.
func EveryLag(ctx context.Context, c clock.Clock, f func(late clock.Duration)) {
	clock.Refresh(c)
	last := c.Now()
	Every(ctx, lagInterval, func() {
		clock.Refresh(c)
		now := c.Now()
		late := max(now.Sub(last)-lagInterval, 0)
		last = now
		f(late)
	})
}

// Every calls f once per interval until ctx ends. A call that takes longer than the interval delays
// the next one.
func Every(ctx context.Context, interval clock.Duration, f func()) {
	ticker := time.NewTicker(interval.Std())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
