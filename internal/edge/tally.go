package edge

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	"swiftbeam/internal/place"
	"swiftbeam/internal/proxy"
	"swiftbeam/internal/quota"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/usage"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// Times of reports.
const (
	tallyEvery = 250 * clock.Millisecond
	// tallyTimeout is several round trips; after it another core daemon is asked.
	tallyTimeout = 400 * clock.Millisecond
)

// tally is the state of reporting to the leader.
type tally struct {
	sending sync.Mutex
	leader  string
	// confirmed is the last leader that took a report.
	confirmed string
	wake      chan struct{}
	mu        sync.Mutex
	// done is closed when the next report has been answered.
	done chan struct{}
}

func (e *Edge) runTally(ctx context.Context) {
	for ctx.Err() == nil {
		pause, cancel := context.WithTimeout(ctx, tallyEvery.Std())
		select {
		case <-e.tally.wake:
		case <-pause.Done():
		}
		cancel()
		// Those that wait for a grant wait for a report that begins after they asked.
		e.tally.mu.Lock()
		done := e.tally.done
		e.tally.done = nil
		e.tally.mu.Unlock()
		granted := e.sendTally(ctx)
		if done != nil && granted {
			close(done)
		} else if done != nil {
			e.keepWaiting(done)
		}
		runner.Pause(ctx, minTally)
	}
}

// keepWaiting lets those that wait for a grant wait for the next report as well.
func (e *Edge) keepWaiting(done chan struct{}) {
	e.tally.mu.Lock()
	defer e.tally.mu.Unlock()
	if e.tally.done == nil {
		e.tally.done = done
		return
	}
	later := e.tally.done
	go func() {
		<-later
		close(done)
	}()
}

// minTally is the least time between two reports.
const minTally = 10 * clock.Millisecond

// moreQuota reports at once and returns when the leader granted, or after patience.
func (e *Edge) moreQuota(ctx context.Context, patience clock.Duration) {
	ctx, cancel := context.WithTimeout(ctx, patience.Std())
	defer cancel()
	e.tally.mu.Lock()
	if e.tally.done == nil {
		e.tally.done = make(chan struct{})
	}
	done := e.tally.done
	e.tally.mu.Unlock()
	select {
	case e.tally.wake <- struct{}{}:
	default:
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// sendTally reports to the leader and takes its answer. It reports whether the leader granted.
func (e *Edge) sendTally(ctx context.Context) bool {
	e.tally.sending.Lock()
	defer e.tally.sending.Unlock()
	request := e.request()
	leader := e.tally.leader
	if leader == "" {
		leader = e.Follower.Leader()
	}
	if leader == "" {
		e.restore(request)
		return false
	}
	short, cancel := context.WithTimeout(ctx, tallyTimeout.Std())
	defer cancel()
	response, err := e.Net.FeedClient(leader).Tally(short, connect.NewRequest(request))
	switch {
	case err != nil:
		e.log.Info("leader not reached", "address", leader, "error", err.Error())
		e.tally.leader = ""
		e.restore(request)
	case !response.Msg.GetLeads():
		e.tally.leader = response.Msg.GetLeader()
		e.restore(request)
	default:
		if e.tally.confirmed != leader {
			e.log.Info("reports go to a leader", "address", leader)
		}
		e.tally.leader, e.tally.confirmed = leader, leader
		e.takeTally(response.Msg)
		if len(response.Msg.GetGrants()) > 0 {
			return true
		}
		// The leader has just begun; it grants soon.
		e.restore(request)
	}
	return false
}

// request builds a report.
func (e *Edge) request() *peerpb.TallyRequest {
	m := &peerpb.TallyRequest{Name: e.Settings.Name, Boot: e.boot, Last: e.stopped.Load()}
	for _, s := range e.Proxy.Samples() {
		m.Samples = append(m.Samples, wire.SampleToPB(&s))
	}
	e.Proxy.WithState(func(services map[string]*proxy.ServiceState, purse *quota.Limiter, counter *usage.Counter) {
		for name, g := range services {
			for _, s := range g.Servers {
				if s.Local != (place.Load{}) {
					m.Loads = append(m.Loads, &peerpb.ServerLoad{
						Id: s.ID, Requests: uint32(max(s.Local.Requests, 0)), Prefill: uint64(max(s.Local.Prefill, 0)), Memory: uint64(max(s.Local.Memory, 0)),
					})
				}
			}
			m.Demands = append(m.Demands, &peerpb.ServiceDemand{
				Service: name, Prefill: g.Prompt, Output: g.Output, Requests: g.Requests,
			})
		}
		for _, u := range purse.TakeReport(e.clock.Now()) {
			m.Uses = append(m.Uses, wire.UseToPB(&u))
		}
		for _, w := range counter.Windows {
			counts := make(map[string]uint64, len(w.Counts))
			for account, n := range w.Counts {
				counts[account] = n
			}
			m.Windows = append(m.Windows, &peerpb.UsageWindow{Number: w.Number, Counts: counts})
		}
	})
	return m
}

// restore keeps what a report that was not taken asked for.
func (e *Edge) restore(m *peerpb.TallyRequest) {
	e.Proxy.WithState(func(_ map[string]*proxy.ServiceState, purse *quota.Limiter, _ *usage.Counter) {
		for _, u := range m.GetUses() {
			purse.Restore(u.GetAccount(), wire.UseFromPB(u).Requested)
		}
	})
}

func (e *Edge) takeTally(m *peerpb.TallyResponse) {
	var grants []quota.Grant
	for _, g := range m.GetGrants() {
		grants = append(grants, wire.GrantFromPB(g))
	}
	others := make(map[string]*peerpb.ServerLoad, len(m.GetOthers()))
	for _, l := range m.GetOthers() {
		others[l.GetId()] = l
	}
	entries := int(max(m.GetEntries(), 1))
	r := e.Settings.Retries
	e.Proxy.WithState(func(services map[string]*proxy.ServiceState, purse *quota.Limiter, _ *usage.Counter) {
		purse.Entries = entries
		purse.Receive(e.clock.Now(), grants)
		for _, g := range services {
			g.Budget.Slack = retryPart * r.Slack / float64(entries)
			for _, s := range g.Servers {
				l := others[s.ID]
				s.Remote = place.Load{Requests: int(l.GetRequests()), Prefill: int(l.GetPrefill()), Memory: int(l.GetMemory())}
			}
		}
	})
}
