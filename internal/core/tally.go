package core

import (
	"context"
	"math/rand/v2"
	"slices"

	"connectrpc.com/connect"

	"swiftbeam/internal/crash"
	"swiftbeam/internal/detour"
	"swiftbeam/internal/duty"
	"swiftbeam/internal/loads"
	"swiftbeam/internal/moves"
	"swiftbeam/internal/pace"
	"swiftbeam/internal/quota"
	"swiftbeam/internal/state"
	"swiftbeam/internal/turns"
	"swiftbeam/internal/usage"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// Intervals and timeouts of the leader's duties.
const (
	dutyInterval = 250 * clock.Millisecond
	// usageReportDelay is the time after the end of a window that entry daemons have to report it.
	usageReportDelay = 1500 * clock.Millisecond
	// incompletePercent is the percentage of the time until a usage report is due during which the
	// report waits for the counts of partitioned entry daemons. Afterwards it is sent without them.
	incompletePercent = 55
)

// dutyState is the state of the leader's duties, built from the reports of entry daemons.
type dutyState struct {
	// term is the term of the leadership that the state belongs to; zero before the first report.
	term      uint64
	loads     loads.Sums
	totals    sharedLoads
	pacer     pace.Pacer
	allocator quota.Allocator
	usageSums usage.Aggregator
	tenure    duty.Tenure
	// tenureTerm is the term of the leadership in which the duties were acquired. Other daemons may have held them
	// between two leaderships.
	tenureTerm     uint64
	services       map[string]*serviceState
	reportedCounts map[string]demandCounts
	evidence       moves.Aggregator
	limits         turns.Registry
	helpers        detour.Registry
	// calling contains the purposes for which calls to the cloud run now.
	calling map[string]bool
	// nextCallAt is the time of the next call that the rate of calls allows.
	nextCallAt clock.Instant
	// reportedWindow is the number of the last window that the cloud accepted.
	reportedWindow uint64
}

// Watch streams the state to a follower. It implements the Feed service.
func (c *Core) Watch(ctx context.Context, r *connect.Request[peerpb.WatchRequest], s *connect.ServerStream[peerpb.FeedEvent]) error {
	return c.Source.Watch(ctx, r, s)
}

// Tally processes the report of an entry daemon. It implements the Feed service.
func (c *Core) Tally(_ context.Context, r *connect.Request[peerpb.TallyRequest]) (*connect.Response[peerpb.TallyResponse], error) {
	if !c.isLeader() {
		return connect.NewResponse(&peerpb.TallyResponse{Leader: c.leaderAddress()}), nil
	}
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &c.duties
	// A leader that was out of contact with the quorum for a while and leads again in the same term
	// keeps its state, since no other leader can have granted quota in between. A new leader does not
	// have its predecessor's record of grants and orders, so it starts with an empty state.
	if term := c.Store.Status().Term; d.term != term {
		d.lead(term, quota.Allocator{
			Bounds: quota.Bounds(c.Settings.Quota), StartedAt: now,
			SpendingUnknown: !c.Settings.Found && now.Sub(c.started) < c.Settings.Quota.Window,
		})
		if d.allocator.SpendingUnknown {
			c.restoreSpending(now)
		}
	}
	return connect.NewResponse(c.receiveReport(now, r.Msg)), nil
}

// lead resets the state at the start of a leadership.
func (d *dutyState) lead(term uint64, allocator quota.Allocator) {
	d.term, d.allocator = term, allocator
	d.loads, d.totals = loads.Sums{}, sharedLoads{}
	d.services, d.reportedCounts = nil, nil
	d.evidence = moves.Aggregator{}
	d.evidence.SetShortMoves()
	d.limits = turns.Registry{}
	d.helpers = detour.Registry{}
}

// receiveReport processes the report of an entry daemon. Its cost does not depend on the number of
// entry daemons.
func (c *Core) receiveReport(now clock.Instant, m *peerpb.TallyRequest) *peerpb.TallyResponse {
	d := &c.duties
	name, run := m.GetName(), m.GetName()+"/"+m.GetBoot()
	out := &peerpb.TallyResponse{Leads: true, CountsRejections: true}
	report := quota.Report{Run: run, Last: m.GetLast(), SinceRestart: clock.Duration(m.GetSinceRestartMs())}
	if !m.GetQuotaOnly() {
		report.SinceLast = loads.Timeout
		if last := d.loads.ReportedAt(name); last > 0 {
			report.SinceLast = now.Sub(last)
		}
		c.receiveCounts(now, run, m)
		reported := make([]loads.Server, 0, len(m.GetLoads()))
		for _, l := range m.GetLoads() {
			reported = append(reported, wire.LoadFromPB(l))
		}
		d.loads.Receive(now, name, reported)
		out.Others, out.HasOthers = d.totals.others(now, &d.loads, name)
		out.Helpers = d.offerHelpers(now, m, reported)
	}
	c.exchangeLimits(m, out)
	evidence := wire.EvidenceFromPB(m.GetCrashes())
	evidence.Survivors = append(evidence.Survivors, d.excuse(evidence.Ends)...)
	c.crashes.Add(evidence)
	if !m.GetQuotaOnly() && !m.GetStopping() && !m.GetLast() {
		out.Checks = wire.ChecksToPB(c.crashes.Checks(run))
	}
	out.PauseMs = int64(d.pacer.Count(now))
	out.Entries, out.Rank = uint32(d.loads.Daemons(now)), uint32(d.loads.Rank(name))
	out.Followers = uint32(c.Source.Entries())
	set := c.ruleSet.Load()
	if set == nil {
		return out
	}
	for _, u := range m.GetUses() {
		report.Uses = append(report.Uses, wire.UseFromPB(u))
	}
	d.allocator.ExpectedDaemons = c.Source.Entries()
	for _, g := range d.allocator.Grant(now, set, report) {
		out.Grants = append(out.Grants, wire.GrantToPB(&g))
	}
	return out
}

// offerHelpers records how the daemon reaches the servers, and returns helpers if it asks for some.
func (d *dutyState) offerHelpers(now clock.Instant, m *peerpb.TallyRequest, reported []loads.Server) []*peerpb.Helper {
	name := m.GetName()
	if p := m.GetPeer(); p != nil {
		d.helpers.Register(now, name, p.GetAddress(), p.GetZone())
	}
	load := 0
	for i := range reported {
		load += reported[i].Load.Requests
	}
	d.helpers.Report(now, name, load, m.GetUnreached(), m.GetStopping() || m.GetLast())
	if !m.GetHelpersWanted() {
		return nil
	}
	var list []*peerpb.Helper
	for _, h := range d.helpers.Offer(now, name, m.GetUnreached(), rand.IntN) {
		list = append(list, wire.HelperToPB(&h))
	}
	return list
}

// maxLimits bounds the request limits of servers in one message. Further ones follow in the next.
const maxLimits = 32

// exchangeLimits records the request limits of servers in a report, and adds those that changed since the
// daemon's last one to the reply.
func (c *Core) exchangeLimits(m *peerpb.TallyRequest, out *peerpb.TallyResponse) {
	d := &c.duties
	d.limits.Receive(wire.LimitsFromPB(m.GetLimits()))
	known := m.GetLimitsKnown()
	if m.GetTerm() != d.term {
		known = 0
	}
	changed, number := d.limits.Since(known, maxLimits)
	out.Limits, out.LimitsKnown, out.Term = wire.LimitsToPB(changed), number, d.term
}

// excuse takes back the ends of brittle servers that had to turn too many requests away, of which the daemon that reports an
// end may not have known.
func (d *dutyState) excuse(ends []crash.End) []crash.Survivor {
	var list []crash.Survivor
	for i := range ends {
		if server, _ := crash.SplitStartID(ends[i].Server); d.limits.Excuses(server, ends[i].At) {
			list = append(list, ends[i].Excused())
		}
	}
	return list
}

// receiveCounts processes the usage counts, the evidence and the demand in a report.
func (c *Core) receiveCounts(now clock.Instant, run string, m *peerpb.TallyRequest) {
	d := &c.duties
	var windows []usage.Window
	for _, w := range m.GetWindows() {
		windows = append(windows, usage.Window{Number: w.GetNumber(), Counts: w.GetCounts()})
	}
	d.usageSums.Receive(now, run, windows)
	if m.GetLast() {
		d.usageSums.RemoveRun(run)
	}
	d.evidence.Receive(c.Follower.ClusterTime(), run, wire.SamplesFromPB(m.GetSamples()), c.move)
	d.receiveDemand(now, run, m.GetDemands())
}

const (
	// maxTotalsAgePerDaemon is the age up to which the total loads are sent to several daemons, as a
	// multiple of their number in milliseconds: with few daemons, all replies contain the present loads.
	maxTotalsAgePerDaemon = 0.3
	// totalsIntervalPerServer bounds the size of the replies: the time between two replies with the loads
	// of all servers to one daemon, in milliseconds for each server.
	totalsIntervalPerServer = 0.8
)

// sharedLoads contains the messages for the total loads, which many replies share.
type sharedLoads struct {
	at       clock.Instant
	messages []*peerpb.ServerLoad
	index    map[string]int
	// sentAt is the time of the last reply with the loads to each daemon.
	sentAt map[string]clock.Instant
}

// others returns the loads from all daemons but one, which has just reported. It reports false if it is
// too soon after the last such reply.
func (t *sharedLoads) others(now clock.Instant, sums *loads.Sums, name string) ([]*peerpb.ServerLoad, bool) {
	if last, ok := t.sentAt[name]; ok && float64(now.Sub(last)) < totalsIntervalPerServer*float64(len(t.messages)) {
		return nil, false
	}
	if t.index == nil || float64(now.Sub(t.at)) > maxTotalsAgePerDaemon*float64(sums.Daemons(now)) {
		t.at, t.messages, t.index = now, nil, make(map[string]int)
		for i, s := range sums.All() {
			t.messages = append(t.messages, wire.LoadToPB(&s))
			t.index[s.ID] = i
		}
	}
	if t.sentAt == nil {
		t.sentAt = make(map[string]clock.Instant)
	}
	t.sentAt[name] = now
	others := slices.Clone(t.messages)
	for _, s := range sums.Others(name) {
		if i, ok := t.index[s.ID]; ok {
			others[i] = wire.LoadToPB(&s)
		}
	}
	return others, true
}

// performDuties acquires the leader's duties from the replicated state, if it does not have them yet,
// and then reports usage and orders replicas. It does not wait for the cloud: usage reports and the
// orders for each availability zone have one call outstanding each, so that none waits for another when
// the cloud is slow.
func (c *Core) performDuties(ctx context.Context) {
	if !c.isLeader() || c.options.Cloud == nil || c.draining.Load() {
		c.endDuties()
		return
	}
	if term := c.Store.Status().Term; !c.holdsDuties(term) {
		c.endDuties()
		if !c.acquireDuties(ctx, term) {
			return
		}
	}
	if c.Settings.Duties.Usage {
		c.startCall("usage", func() { c.reportUsage(ctx) })
	}
	if c.Settings.Duties.Scaling {
		c.orderReplicas(ctx)
	}
}

// startCall runs calls to the cloud in the background, unless those for the same purpose still run.
func (c *Core) startCall(purpose string, calls func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.duties.calling[purpose] {
		return
	}
	if c.duties.calling == nil {
		c.duties.calling = make(map[string]bool)
	}
	c.duties.calling[purpose] = true
	c.tasks.Go(func() {
		calls()
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.duties.calling, purpose)
	})
}

// holdsDuties reports whether the duties were acquired in the leadership of a term.
func (c *Core) holdsDuties(term uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.duties.tenure.Fence != 0 && c.duties.tenureTerm == term
}

// endDuties records that this daemon does not hold the duties.
func (c *Core) endDuties() {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.duties.tenure
	if t.Fence != 0 {
		c.log.Info("duties ended", "fence", t.Fence)
	}
	t.End()
}

// acquireDuties acquires the duties for the leadership of a term by a commit, which assigns the fencing number.
func (c *Core) acquireDuties(ctx context.Context, term uint64) bool {
	result, err := c.propose(ctx, state.TakeOrder{Operation: "duties", Target: "cloud", Holder: string(c.Store.Self.ID) + "/" + c.boot})
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	clock.Refresh(c.clock)
	c.duties.tenure.Begin(c.clock.Now(), result.Fence)
	c.duties.tenureTerm = term
	c.duties.reportedWindow = 0
	c.log.Info("duties begun", "fence", result.Fence)
	return true
}

// reportUsage records the usage windows that have ended and reports them to the cloud. Counts are
// committed before they are sent, so every repeated report contains the same numbers.
func (c *Core) reportUsage(ctx context.Context) {
	length := c.Settings.Duties.UsageWindow
	now := c.Follower.ClusterTime()
	c.mu.Lock()
	reported := c.duties.reportedWindow
	c.mu.Unlock()
	ended := usage.WindowNumber(now.Add(-usageReportDelay), length)
	first := max(usage.WindowNumber(now.Add(-c.Settings.Duties.UsageDue-length), length), c.firstKeptUsage())
	for number := max(first, reported+1); number < ended; number++ {
		if !c.reportWindow(ctx, number) {
			return
		}
		c.mu.Lock()
		c.duties.reportedWindow = number
		c.mu.Unlock()
	}
	c.mu.Lock()
	c.duties.usageSums.DropBefore(first - 1)
	c.mu.Unlock()
}

// firstKeptUsage returns the number of the first usage window whose record the replicated state has not dropped. The
// cloud may have earlier ones already, and a new count of them may differ.
func (c *Core) firstKeptUsage() uint64 {
	newest := uint64(0)
	c.Store.View(func(s *state.State) {
		for number := range s.Usage {
			newest = max(newest, number)
		}
	})
	return max(newest, state.UsageWindows) - state.UsageWindows + 1
}

func (c *Core) reportWindow(ctx context.Context, number uint64) bool {
	// A new holder of the duties may send only after a wait. In that time the entry daemons repeat
	// their counts to it.
	if !c.maySend() {
		return false
	}
	recorded, ok := c.recordedUsage(number)
	if !ok {
		age := c.Follower.ClusterTime().Sub(clock.Instant(number+1) * clock.Instant(c.Settings.Duties.UsageWindow))
		c.mu.Lock()
		reporting := c.duties.loads.Daemons(c.clock.Now())
		complete := c.duties.usageSums.Complete(c.clock.Now().Add(-age))
		counts := c.duties.usageSums.Sum(number)
		c.mu.Unlock()
		if reporting == 0 || !complete && age < incompletePercent*c.Settings.Duties.UsageDue/100 {
			return false
		}
		c.log.Info("usage counted", "window", number, "complete", complete, "ageMs", int64(age), "entries", reporting)
		if _, err := c.propose(ctx, state.PutUsage{Number: number, Counts: counts}); err != nil {
			c.log.Info("usage not recorded", "window", number, "error", err.Error())
			return false
		}
		if recorded, ok = c.recordedUsage(number); !ok {
			return false
		}
	}
	call := c.callCloud(ctx, func(ctx context.Context, h duty.Holder) (duty.Answer, error) {
		return c.options.Cloud.ReportUsage(ctx, h, recorded)
	})
	if call == nil {
		return false
	}
	c.log.Info("usage reported", append(call.fields(), "window", number, "accounts", len(recorded.Counts))...)
	return call.answer == duty.Accepted
}

func (c *Core) recordedUsage(number uint64) (state.Usage, bool) {
	var u state.Usage
	ok := false
	c.Store.View(func(s *state.State) { u, ok = s.Usage[number] })
	return u, ok
}
