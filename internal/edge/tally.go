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

// Timing of the reports to the leader.
const (
	reportInterval = 250 * clock.Millisecond
	// reportTimeout is several round trips; after it the next report goes to the leader that the
	// core daemons announce.
	reportTimeout = 400 * clock.Millisecond
)

// reporter is the state of reporting to the leader.
type reporter struct {
	sending sync.Mutex
	leader  string
	// confirmedLeader is the last leader that accepted a report.
	confirmedLeader string
	trigger         chan struct{}
	mu              sync.Mutex
	// grantReceived is closed when the leader replies to the next report with grants; nil while no
	// request waits for a grant.
	grantReceived chan struct{}
}

func (e *Edge) runReports(ctx context.Context) {
	for ctx.Err() == nil {
		pause, cancel := context.WithTimeout(ctx, reportInterval.Std())
		select {
		case <-e.reporter.trigger:
		case <-pause.Done():
		}
		cancel()
		// A request that waits for a grant needs a report that was built after it started waiting.
		// Requests that arrive from here on wait for the next report.
		e.reporter.mu.Lock()
		grantReceived := e.reporter.grantReceived
		e.reporter.grantReceived = nil
		e.reporter.mu.Unlock()
		granted := e.sendReport(ctx)
		if grantReceived != nil && granted {
			close(grantReceived)
		} else if grantReceived != nil {
			e.deferWaiters(grantReceived)
		}
		runner.Pause(ctx, minReportPause)
	}
}

// deferWaiters makes requests that wait for a grant wait for the next report as well.
func (e *Edge) deferWaiters(grantReceived chan struct{}) {
	e.reporter.mu.Lock()
	defer e.reporter.mu.Unlock()
	if e.reporter.grantReceived == nil {
		e.reporter.grantReceived = grantReceived
		return
	}
	nextGrant := e.reporter.grantReceived
	go func() {
		<-nextGrant
		close(grantReceived)
	}()
}

// minReportPause is the minimum pause between two load reports to the leader. It applies even if a
// request that waits for quota triggers the next report.
const minReportPause = 10 * clock.Millisecond

// requestQuota triggers a report and returns when the leader has granted quota, or after maxWait.
func (e *Edge) requestQuota(ctx context.Context, maxWait clock.Duration) {
	ctx, cancel := context.WithTimeout(ctx, maxWait.Std())
	defer cancel()
	e.reporter.mu.Lock()
	if e.reporter.grantReceived == nil {
		e.reporter.grantReceived = make(chan struct{})
	}
	grantReceived := e.reporter.grantReceived
	e.reporter.mu.Unlock()
	select {
	case e.reporter.trigger <- struct{}{}:
	default:
	}
	select {
	case <-grantReceived:
	case <-ctx.Done():
	}
}

// sendReport sends a report to the leader and applies the reply. It reports whether the leader granted
// quota.
func (e *Edge) sendReport(ctx context.Context) bool {
	e.reporter.sending.Lock()
	defer e.reporter.sending.Unlock()
	report := e.buildReport()
	leader := e.reporter.leader
	if leader == "" {
		leader = e.Follower.Leader()
	}
	if leader == "" {
		e.restoreDemand(report)
		return false
	}
	reportCtx, cancel := context.WithTimeout(ctx, reportTimeout.Std())
	defer cancel()
	response, err := e.Net.FeedClient(leader).Tally(reportCtx, connect.NewRequest(report))
	switch {
	case err != nil:
		e.log.Info("could not report to leader", "address", leader, "error", err.Error())
		e.reporter.leader = ""
		e.restoreDemand(report)
	case !response.Msg.GetLeads():
		e.reporter.leader = response.Msg.GetLeader()
		e.restoreDemand(report)
	default:
		if e.reporter.confirmedLeader != leader {
			e.log.Info("reporting to leader", "address", leader)
		}
		e.reporter.leader, e.reporter.confirmedLeader = leader, leader
		e.applyReply(response.Msg)
		if len(response.Msg.GetGrants()) > 0 {
			return true
		}
		// A new leader collects reports for a short time before it grants quota.
		e.restoreDemand(report)
	}
	return false
}

// buildReport returns what the leader needs: evidence on rollouts, server loads, demand, quota use and
// usage counts.
func (e *Edge) buildReport() *peerpb.TallyRequest {
	m := &peerpb.TallyRequest{Name: e.Settings.Name, Boot: e.boot, Last: e.stopped.Load()}
	for _, s := range e.Proxy.Samples() {
		m.Samples = append(m.Samples, wire.SampleToPB(&s))
	}
	e.Proxy.WithState(func(services map[string]*proxy.ServiceState, limiter *quota.Limiter, counter *usage.Counter) {
		for name, svc := range services {
			for _, s := range svc.Servers {
				if s.Local != (place.Load{}) {
					m.Loads = append(m.Loads, &peerpb.ServerLoad{
						Id: s.ID, Requests: uint32(max(s.Local.Requests, 0)), Prefill: uint64(max(s.Local.Prefill, 0)), Memory: uint64(max(s.Local.Memory, 0)),
					})
				}
			}
			m.Demands = append(m.Demands, &peerpb.ServiceDemand{
				Service: name, Prefill: svc.Prompt, Output: svc.Output, Requests: svc.Requests,
			})
		}
		for _, u := range limiter.TakeReport(e.clock.Now()) {
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

// restoreDemand returns the requested quota of a failed report to the limiter, for the next report.
func (e *Edge) restoreDemand(m *peerpb.TallyRequest) {
	e.Proxy.WithState(func(_ map[string]*proxy.ServiceState, limiter *quota.Limiter, _ *usage.Counter) {
		for _, u := range m.GetUses() {
			limiter.Restore(u.GetAccount(), wire.UseFromPB(u).Requested)
		}
	})
}

func (e *Edge) applyReply(m *peerpb.TallyResponse) {
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
	e.Proxy.WithState(func(services map[string]*proxy.ServiceState, limiter *quota.Limiter, _ *usage.Counter) {
		limiter.Entries = entries
		limiter.Receive(e.clock.Now(), grants)
		for _, svc := range services {
			svc.Budget.Slack = retryBudgetFraction * r.Slack / float64(entries)
			for _, s := range svc.Servers {
				l := others[s.ID]
				s.Remote = place.Load{Requests: int(l.GetRequests()), Prefill: int(l.GetPrefill()), Memory: int(l.GetMemory())}
			}
		}
	})
}
