package entry

import (
	"context"
	"sync"

	"swiftbeam/internal/fault"
	"swiftbeam/internal/limit"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// admission manages the admission queues of all services, one limit.Gate for each.
type admission struct {
	entry *Entry

	mu      sync.Mutex
	gates   map[string]*limit.Gate // by service
	tickets uint64
	waiting map[uint64]chan limit.Verdict // by ticket
}

// overcommit is the percentage by which admitted requests may exceed the slots of the servers, so
// that an engine always has a next request queued.
const overcommit = 25

// admit waits until a request may run. After an error the request was not admitted.
func (a *admission) admit(ctx context.Context, service string, account fleet.ClientAccount, r fleet.Route) error {
	ticket, wait, err := a.arrive(service, account, r)
	if err != nil || wait == nil {
		return err
	}
	select {
	case v := <-wait:
		return refusal(v, clock.Second)
	case <-ctx.Done():
	}
	if a.cancel(service, ticket) {
		return refusal(limit.TooLate, clock.Second)
	}
	return refusal(<-wait, clock.Second)
}

// arrive registers a request at the gate of its service. It returns a nil channel when the request
// was admitted at once, and an error when it was rejected at once; otherwise the channel receives
// the result.
func (a *admission) arrive(service string, account fleet.ClientAccount, r fleet.Route) (uint64, chan limit.Verdict, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.entry.Clock.Now()
	g := a.gate(service)
	a.refresh(g, service, account)
	a.tickets++
	result := g.Arrive(now, limit.Request{
		Ticket: a.tickets, Account: account.Name, Priority: r.Priority, Deadline: now.Add(admissionWait(r)),
	})
	if result.Evicted != 0 {
		a.resolve(result.Evicted, limit.QueueFull)
	}
	switch result.Verdict {
	case limit.Admitted:
		return a.tickets, nil, nil
	case limit.Queued:
		wait := make(chan limit.Verdict, 1)
		a.waiting[a.tickets] = wait
		return a.tickets, wait, nil
	}
	return 0, nil, refusal(result.Verdict, result.RetryAfter)
}

// refusal returns the error for a request that was not admitted; nil for an admitted one.
func refusal(v limit.Verdict, after clock.Duration) error {
	seconds := int((after + clock.Second - 1) / clock.Second)
	switch v {
	case limit.QueueFull:
		return fault.New(fault.Exhausted, "too many requests of the client account are waiting").
			Remedy("retry after the stated time").After(seconds)
	case limit.TooLate:
		return fault.New(fault.Exhausted, "the request would not start in time").
			Remedy("retry after the stated time").After(seconds)
	}
	return nil
}

func (a *admission) gate(service string) *limit.Gate {
	if a.gates == nil {
		a.gates = make(map[string]*limit.Gate)
		a.waiting = make(map[uint64]chan limit.Verdict)
	}
	g := a.gates[service]
	if g == nil {
		g = &limit.Gate{MaxQueue: a.entry.Settings.Limits.Queue}
		a.gates[service] = g
	}
	return g
}

// refresh updates a gate with the present capacity, the share of the client account, and the running
// requests at other daemons.
func (a *admission) refresh(g *limit.Gate, service string, account fleet.ClientAccount) {
	g.Capacity = a.capacity(service)
	g.SetLoads(account.Name, account.Share, a.entry.Roster.RemoteRunning(service))
}

// capacity returns this daemon's part of the slots of a service, overcommit included.
func (a *admission) capacity(service string) int {
	slots := a.entry.Roster.Slots(service) * (100 + overcommit) / 100
	daemons := a.entry.Roster.CountDaemons()
	return (slots + daemons - 1) / daemons
}

// finish reports the end of an admitted request and admits waiting ones in its place.
func (a *admission) finish(service, account string, took clock.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, ticket := range a.gate(service).Finish(a.entry.Clock.Now(), account, took) {
		a.resolve(ticket, limit.Admitted)
	}
}

// tick admits waiting requests where the capacity has grown and rejects those that have waited too
// long.
func (a *admission) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.entry.Clock.Now()
	for service, g := range a.gates {
		g.Capacity = a.capacity(service)
		for _, ticket := range g.Expire(now) {
			a.resolve(ticket, limit.TooLate)
		}
		for _, ticket := range g.Fill(now) {
			a.resolve(ticket, limit.Admitted)
		}
	}
}

// resolve passes the result of the admission to a waiting request.
func (a *admission) resolve(ticket uint64, v limit.Verdict) {
	if wait := a.waiting[ticket]; wait != nil {
		wait <- v
		delete(a.waiting, ticket)
	}
}

// cancel removes a waiting request and reports whether it was still waiting.
func (a *admission) cancel(service string, ticket uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.gate(service).Cancel(ticket) {
		return false
	}
	delete(a.waiting, ticket)
	return true
}

// loads returns the number of running requests of each service and client account.
func (a *admission) loads() []*peerpb.AccountLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []*peerpb.AccountLoad
	for service, g := range a.gates {
		for name, load := range g.Accounts {
			if load.Running > 0 {
				list = append(list, &peerpb.AccountLoad{Service: service, Account: name, Running: uint32(load.Running)})
			}
		}
	}
	return list
}
