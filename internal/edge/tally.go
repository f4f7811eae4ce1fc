package edge

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	"swiftbeam/internal/crash"
	"swiftbeam/internal/detour"
	"swiftbeam/internal/enrol"
	"swiftbeam/internal/loads"
	"swiftbeam/internal/notice"
	"swiftbeam/internal/pace"
	"swiftbeam/internal/place"
	"swiftbeam/internal/proxy"
	"swiftbeam/internal/quota"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/turns"
	"swiftbeam/internal/usage"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// Timing of the reports to the leader.
const (
	reportInterval = 250 * clock.Millisecond
	// reportIntervalPerEntry lengthens the interval where there are many entry daemons, in milliseconds
	// for each of them, up to maxReportInterval, which is below the time after which the leader takes a
	// daemon for disconnected.
	reportIntervalPerEntry = 1.1
	maxReportInterval      = 330 * clock.Millisecond
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
	// request waits for a grant. waiting contains the accounts of those requests.
	grantReceived chan struct{}
	waiting       map[string]bool
	// regularAt is the time of the last report that contained more than a request for quota.
	regularAt clock.Instant
	// interval is the time between complete reports, pause the minimum time between any two.
	interval clock.Duration
	pause    clock.Duration
	// term is that of the leader that replied last, and limitsKnown the number of the last change of request
	// limits that it sent.
	term        uint64
	limitsKnown uint64
	// registeredTerm is the term of the leader that has the address of this daemon.
	registeredTerm uint64
}

func (e *Edge) runReports(ctx context.Context) {
	for ctx.Err() == nil {
		interval, minPause := e.reporter.timing()
		pause, cancel := context.WithTimeout(ctx, interval.Std())
		select {
		case <-e.reporter.trigger:
		case <-pause.Done():
		}
		cancel()
		// A request that waits for a grant needs a report that was built after it started waiting.
		// Requests that arrive from here on wait for the next report.
		e.reporter.mu.Lock()
		grantReceived, waiting := e.reporter.grantReceived, e.reporter.waiting
		e.reporter.grantReceived, e.reporter.waiting = nil, nil
		e.reporter.mu.Unlock()
		granted := e.sendReport(ctx, waiting)
		if grantReceived != nil && granted {
			close(grantReceived)
		} else if grantReceived != nil {
			e.deferWaiters(grantReceived, waiting)
		}
		runner.Pause(ctx, minPause)
	}
}

// deferWaiters makes requests that wait for a grant wait for the next report as well.
func (e *Edge) deferWaiters(grantReceived chan struct{}, waiting map[string]bool) {
	e.reporter.mu.Lock()
	defer e.reporter.mu.Unlock()
	for account := range waiting {
		e.reporter.wait(account)
	}
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

// timing returns the interval of complete reports and the minimum pause between any two reports.
func (r *reporter) timing() (interval, pause clock.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.interval, reportInterval), max(r.pause, minReportPause)
}

func (r *reporter) wait(account string) {
	if r.waiting == nil {
		r.waiting = make(map[string]bool)
	}
	r.waiting[account] = true
}

// requestQuota triggers a report and reports whether the leader has granted quota within maxWait.
func (e *Edge) requestQuota(ctx context.Context, account string, maxWait clock.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, maxWait.Std())
	defer cancel()
	e.reporter.mu.Lock()
	if e.reporter.grantReceived == nil {
		e.reporter.grantReceived = make(chan struct{})
	}
	e.reporter.wait(account)
	grantReceived := e.reporter.grantReceived
	e.reporter.mu.Unlock()
	e.triggerReport()
	select {
	case <-grantReceived:
		return true
	case <-ctx.Done():
		return false
	}
}

// triggerReport requests a report before its interval has passed.
func (e *Edge) triggerReport() {
	select {
	case e.reporter.trigger <- struct{}{}:
	default:
	}
}

// sendReport sends a report to the leader and applies the reply. With accounts, the report only requests
// quota for them, unless a complete report is due. It reports whether the leader granted quota.
func (e *Edge) sendReport(ctx context.Context, accounts map[string]bool) bool {
	e.reporter.sending.Lock()
	defer e.reporter.sending.Unlock()
	interval, _ := e.reporter.timing()
	if now := e.clock.Now(); len(accounts) == 0 || now.Sub(e.reporter.regularAt) >= interval {
		accounts, e.reporter.regularAt = nil, now
	}
	report := e.buildReport(accounts)
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
		e.applyReply(report, response.Msg)
		e.checkServers(ctx, wire.ChecksFromPB(response.Msg.GetChecks()))
		if len(response.Msg.GetGrants()) > 0 {
			return true
		}
		// A new leader collects reports for a short time before it grants quota.
		e.restoreDemand(report)
	}
	return false
}

// buildReport returns a report. With accounts, it only requests quota for them; without, it contains all
// that the leader needs: evidence on rollouts, server loads, demand, quota use and usage counts.
func (e *Edge) buildReport(accounts map[string]bool) *peerpb.TallyRequest {
	now := e.clock.Now()
	m := &peerpb.TallyRequest{Name: e.Settings.Name, Boot: e.boot, Last: e.stopped.Load(), QuotaOnly: len(accounts) > 0}
	if !e.Settings.Found {
		m.SinceRestartMs = max(int64(now.Sub(e.startedAt)), 1)
	}
	if !m.GetQuotaOnly() {
		for _, s := range e.Proxy.Samples() {
			m.Samples = append(m.Samples, wire.SampleToPB(&s))
		}
		m.Limits = wire.LimitsToPB(e.Proxy.UnsentLimits(maxLimits))
		m.Unreached, m.HelpersWanted = e.Proxy.Unreached()
		m.Stopping = e.draining.Load()
		e.Proxy.UpdateCrashes(func(now clock.Instant, watch *crash.Watch) {
			evidence := watch.Report(now)
			m.Crashes = wire.EvidenceToPB(&evidence)
		})
	}
	e.reporter.mu.Lock()
	m.Term, m.LimitsKnown = e.reporter.term, e.reporter.limitsKnown
	if !m.GetQuotaOnly() && (m.GetTerm() == 0 || m.GetTerm() != e.reporter.registeredTerm) {
		m.Peer = &peerpb.PeerAddress{Address: e.Settings.Peers, Zone: e.Settings.Zone}
	}
	e.reporter.mu.Unlock()
	e.Proxy.WithState(func(services map[string]*proxy.ServiceState, limiter *quota.Limiter, counter *usage.Counter) {
		for _, u := range limiter.TakeReport(now, accounts) {
			m.Uses = append(m.Uses, wire.UseToPB(&u))
		}
		if !m.GetQuotaOnly() {
			addCounts(m, services, counter)
		}
	})
	return m
}

// addCounts adds the loads, the demand and the usage counts to a report.
func addCounts(m *peerpb.TallyRequest, services map[string]*proxy.ServiceState, counter *usage.Counter) {
	for name, svc := range services {
		for _, s := range svc.Servers {
			if s.Local != (place.Load{}) {
				m.Loads = append(m.Loads, wire.LoadToPB(&loads.Server{ID: s.ID, Load: s.Local}))
			}
		}
		m.Demands = append(m.Demands, &peerpb.ServiceDemand{
			Service: name, Prefill: svc.Prompt, Output: svc.Output, Requests: svc.Requests, Sent: svc.Sent, Completed: svc.Completed,
		})
	}
	for _, w := range counter.Windows {
		counts := make(map[string]uint64, len(w.Counts))
		for account, n := range w.Counts {
			counts[account] = n
		}
		m.Windows = append(m.Windows, &peerpb.UsageWindow{Number: w.Number, Counts: counts})
	}
}

// restoreDemand returns the requested quota of a failed report to the limiter, for the next report.
func (e *Edge) restoreDemand(m *peerpb.TallyRequest) {
	e.Proxy.WithState(func(_ map[string]*proxy.ServiceState, limiter *quota.Limiter, _ *usage.Counter) {
		for _, u := range m.GetUses() {
			limiter.Restore(u.GetAccount(), wire.UseFromPB(u).Requested)
		}
	})
}

// maxLimits bounds the request limits of servers in one report. Further ones follow in the next.
const maxLimits = 32

func (e *Edge) applyReply(report *peerpb.TallyRequest, m *peerpb.TallyResponse) {
	var grants []quota.Grant
	for _, g := range m.GetGrants() {
		grants = append(grants, wire.GrantFromPB(g))
	}
	others := make(map[string]place.Load, len(m.GetOthers()))
	for _, l := range m.GetOthers() {
		others[l.GetId()] = wire.LoadFromPB(l).Load
	}
	entries := int(max(m.GetEntries(), 1))
	e.reporter.mu.Lock()
	e.reporter.interval = min(clock.Duration(reportIntervalPerEntry*float64(entries)), maxReportInterval)
	e.reporter.pause = min(clock.Duration(m.GetPauseMs()), pace.MaxPause)
	newLeader := e.reporter.term != m.GetTerm()
	e.reporter.term, e.reporter.limitsKnown = m.GetTerm(), m.GetLimitsKnown()
	if report.GetPeer() != nil {
		e.reporter.registeredTerm = m.GetTerm()
	}
	e.reporter.mu.Unlock()
	if report.GetHelpersWanted() {
		e.learnHelpers(wire.HelpersFromPB(m.GetHelpers()))
	}
	e.Proxy.UpdateLimits(func(now clock.Instant, limits *turns.Limiter) {
		limits.Sent(wire.LimitsFromPB(report.GetLimits()))
		if newLeader {
			limits.NewLeader()
		}
		limits.Counted = m.GetCountsRejections()
		limits.Join(now, turns.Member{Rank: int(m.GetRank()), Count: entries})
	})
	e.Proxy.UpdateNotices(func(b *notice.Board) {
		// Soon after an election few daemons have reported, and each would take itself for one of few.
		b.Cold.Join(e.Follower.ClusterTime(), turns.Member{Rank: int(m.GetRank()), Count: max(entries, int(m.GetFollowers()))})
	})
	e.Proxy.LearnLimits(wire.LimitsFromPB(m.GetLimits()))
	r := e.Settings.Retries
	e.Proxy.WithState(func(services map[string]*proxy.ServiceState, limiter *quota.Limiter, _ *usage.Counter) {
		limiter.Entries = entries
		limiter.Receive(e.clock.Now(), grants)
		for _, svc := range services {
			svc.Budget.Slack = retryBudgetFraction * r.Slack / float64(entries)
		}
		if !m.GetHasOthers() {
			return
		}
		for _, svc := range services {
			for _, s := range svc.Servers {
				s.Remote = others[s.ID]
			}
		}
	})
}

// checkServers finds out whether servers accept connections that other daemons reported to have ended.
func (e *Edge) checkServers(ctx context.Context, checks []crash.Check) {
	for _, check := range checks {
		id, born := crash.SplitStartID(check.Server)
		e.mu.Lock()
		address := ""
		if r := e.table.ByID[id]; r != nil && int64(r.Born) == born && e.table.IsServing(r, e.clock.Now(), enrol.RecordRetention) {
			address = r.Address
		}
		e.mu.Unlock()
		if address != "" {
			e.group.Go(func() { e.Proxy.CheckServer(ctx, address, check) })
		}
	}
}

// learnHelpers takes over the leader's offer of helpers.
func (e *Edge) learnHelpers(offered []detour.Helper) {
	var names []string
	for _, h := range offered {
		names = append(names, h.Name)
	}
	e.log.Info("helpers offered by leader", "helpers", names)
	e.Proxy.UpdateHelpers(func(h *detour.Helpers) { h.Learn(e.clock.Now(), offered) })
}
