// Package runner runs the services of a process. Services are registered by name, started in
// order of registration and stopped in reverse; one service finds another by name and type:
//
//	k := &runner.Runner{}
//	k.Add("member", table)
//	table, err := runner.Find[*member.Table](k, "member")
package runner

import (
	"context"
	"sync"
	"time"

	"swiftbeam/internal/fault"
	"swiftbeam/pkg/clock"
)

// Starter is a service with goroutines. Start must return once the service is usable; the
// service ends all its work when ctx ends.
type Starter interface {
	Start(ctx context.Context, g *Group) error
}

// Stopper is a service that has work to finish before its context ends.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Dumper is a service that shows its state. The result holds no secrets and is safe to encode
// as JSON after Dump returned.
type Dumper interface {
	Dump() any
}

// Group counts the goroutines of a process so that a stop can wait for them.
type Group struct {
	wait sync.WaitGroup
}

// Go runs f in a goroutine that Wait waits for.
func (g *Group) Go(f func()) {
	g.wait.Go(f)
}

// Wait returns when all goroutines of the group have ended.
func (g *Group) Wait() { g.wait.Wait() }

// Runner holds the services of a process. The zero value is ready to use.
type Runner struct {
	mu     sync.RWMutex
	names  []string
	byName map[string]any
	group  Group
	cancel context.CancelFunc
}

// Add registers service under name. A second service of the same name is a defect and panics.
func (k *Runner) Add(name string, service any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.byName == nil {
		k.byName = make(map[string]any)
	}
	if _, taken := k.byName[name]; taken {
		panic("kernel: service " + name + " is registered twice")
	}
	k.byName[name] = service
	k.names = append(k.names, name)
}

// Find returns the service registered under name as a T.
func Find[T any](k *Runner, name string) (T, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	service, ok := k.byName[name].(T)
	if !ok {
		var zero T
		return zero, fault.New(fault.Missing, "no service %q of type %T", name, zero).
			Remedy("register it before the services that use it")
	}
	return service, nil
}

// Start starts all services in order. On an error the services started before are ended.
func (k *Runner) Start(ctx context.Context) error {
	ctx, k.cancel = context.WithCancel(ctx)
	for _, s := range k.list() {
		starter, ok := s.(Starter)
		if !ok {
			continue
		}
		if err := starter.Start(ctx, &k.group); err != nil {
			k.Kill()
			return err
		}
	}
	return nil
}

// Stop lets the services finish their work in reverse order within ctx, then ends them.
func (k *Runner) Stop(ctx context.Context) error {
	var first error
	services := k.list()
	for i := len(services) - 1; i >= 0; i-- {
		stopper, ok := services[i].(Stopper)
		if !ok {
			continue
		}
		if err := stopper.Stop(ctx); err != nil && first == nil {
			first = err
		}
	}
	k.Kill()
	return first
}

// Kill ends all services at once, without letting them finish.
func (k *Runner) Kill() {
	k.cancel()
	k.group.Wait()
}

// NamedState is the state of one service.
type NamedState struct {
	Name  string
	State any
}

// Dump returns the state of the service called name, or of all services when name is empty.
func (k *Runner) Dump(name string) ([]NamedState, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var states []NamedState
	for _, n := range k.names {
		d, ok := k.byName[n].(Dumper)
		if ok && (name == "" || name == n) {
			states = append(states, NamedState{Name: n, State: d.Dump()})
		}
	}
	if name != "" && len(states) == 0 {
		return nil, fault.New(fault.Missing, "no service %q with a state", name).
			Remedy("ask without a name to list the services")
	}
	return states, nil
}

func (k *Runner) list() []any {
	k.mu.RLock()
	defer k.mu.RUnlock()
	services := make([]any, 0, len(k.names))
	for _, n := range k.names {
		services = append(services, k.byName[n])
	}
	return services
}

// Pause returns after d or when ctx ends.
func Pause(ctx context.Context, d clock.Duration) {
	t := time.NewTimer(d.Std())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Every calls f at each interval until ctx ends. A call that takes longer delays the next.
func Every(ctx context.Context, interval clock.Duration, f func()) {
	timer := time.NewTicker(interval.Std())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			f()
		}
	}
}
