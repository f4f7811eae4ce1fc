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

// door holds the admission gates of all services.
type door struct {
	entry *Entry

	mu      sync.Mutex
	gates   map[string]*limit.Gate
	tickets uint64
	waiting map[uint64]chan limit.Verdict
}

// overcommit is the part by which admitted requests may exceed the slots of the servers, in
// percent, so that engines always have a next request.
const overcommit = 25

// enter waits until a request may run. An error means that it did not.
func (d *door) enter(ctx context.Context, service string, account fleet.ClientAccount, r fleet.Route) error {
	ticket, wait, err := d.ask(service, account, r)
	if err != nil || wait == nil {
		return err
	}
	select {
	case v := <-wait:
		return refusal(v, clock.Second)
	case <-ctx.Done():
	}
	if d.abandon(service, ticket) {
		return refusal(limit.TooLate, clock.Second)
	}
	return refusal(<-wait, clock.Second)
}

func (d *door) ask(service string, account fleet.ClientAccount, r fleet.Route) (uint64, chan limit.Verdict, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.entry.Clock.Now()
	g := d.gate(service)
	d.refresh(g, service, account)
	d.tickets++
	result := g.Arrive(now, limit.Request{
		Ticket: d.tickets, Account: account.Name, Priority: r.Priority, Deadline: now.Add(admissionWait(r)),
	})
	if result.Evicted != 0 {
		d.answer(result.Evicted, limit.QueueFull)
	}
	switch result.Verdict {
	case limit.Admitted:
		return d.tickets, nil, nil
	case limit.Queued:
		wait := make(chan limit.Verdict, 1)
		d.waiting[d.tickets] = wait
		return d.tickets, wait, nil
	}
	return 0, nil, refusal(result.Verdict, result.RetryAfter)
}

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

func (d *door) gate(service string) *limit.Gate {
	if d.gates == nil {
		d.gates = make(map[string]*limit.Gate)
		d.waiting = make(map[uint64]chan limit.Verdict)
	}
	g := d.gates[service]
	if g == nil {
		g = &limit.Gate{MaxQueue: d.entry.Settings.Limits.Queue}
		d.gates[service] = g
	}
	return g
}

// refresh takes over the present capacity, shares, and load at other daemons.
func (d *door) refresh(g *limit.Gate, service string, account fleet.ClientAccount) {
	g.Capacity = d.capacity(service)
	g.SetLoads(account.Name, account.Share, d.entry.Roster.RemoteRunning(service))
}

// capacity returns this daemon's part of the slots of a service.
func (d *door) capacity(service string) int {
	slots := d.entry.Roster.Slots(service) * (100 + overcommit) / 100
	daemons := d.entry.Roster.CountDaemons()
	return (slots + daemons - 1) / daemons
}

func (d *door) leave(service, account string, took clock.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ticket := range d.gate(service).Finish(d.entry.Clock.Now(), account, took) {
		d.answer(ticket, limit.Admitted)
	}
}

// tick starts waiting requests where capacity grew and refuses those that wait too long.
func (d *door) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.entry.Clock.Now()
	for service, g := range d.gates {
		g.Capacity = d.capacity(service)
		for _, ticket := range g.Expire(now) {
			d.answer(ticket, limit.TooLate)
		}
		for _, ticket := range g.Fill(now) {
			d.answer(ticket, limit.Admitted)
		}
	}
}

func (d *door) answer(ticket uint64, v limit.Verdict) {
	if wait := d.waiting[ticket]; wait != nil {
		wait <- v
		delete(d.waiting, ticket)
	}
}

// abandon takes back a waiting request and reports whether it was still waiting.
func (d *door) abandon(service string, ticket uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.gate(service).Cancel(ticket) {
		return false
	}
	delete(d.waiting, ticket)
	return true
}

// loads returns the running requests of each client account.
func (d *door) loads() []*peerpb.AccountLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*peerpb.AccountLoad
	for service, g := range d.gates {
		for name, a := range g.Accounts {
			if a.Running > 0 {
				list = append(list, &peerpb.AccountLoad{Service: service, Account: name, Running: uint32(a.Running)})
			}
		}
	}
	return list
}
