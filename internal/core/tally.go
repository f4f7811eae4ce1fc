package core

import (
	"context"

	"connectrpc.com/connect"

	"swiftbeam/internal/duty"
	"swiftbeam/internal/moves"
	"swiftbeam/internal/quota"
	"swiftbeam/internal/state"
	"swiftbeam/internal/usage"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// Times of the leader's work.
const (
	dutyEvery = 250 * clock.Millisecond
	// entryAge is the time without a report after which an entry daemon counts as gone.
	entryAge = 2 * clock.Second
	// usageWait is the time after the end of a window in which entry daemons report it.
	usageWait = 1500 * clock.Millisecond
	// lagPart is the part of the time until a report is due, in percent, for which it waits for entry
	// daemons that are cut off.
	lagPart = 55
	// cloudTimeout bounds a call to the cloud.
	cloudTimeout = clock.Second
)

// desk is what the leader keeps of the reports of entry daemons.
type desk struct {
	leading bool
	entries map[string]*report
	bank    quota.Allocator
	book    usage.Aggregator
	tenure  duty.Tenure
	markets map[string]*market
	demands map[string]counters
	board   moves.Aggregator
	// reported is the last window that the cloud took.
	reported uint64
}

// report is the last report of an entry daemon.
type report struct {
	at    clock.Instant
	loads []*peerpb.ServerLoad
}

// Watch streams to a follower.
func (c *Core) Watch(ctx context.Context, r *connect.Request[peerpb.WatchRequest], s *connect.ServerStream[peerpb.FeedEvent]) error {
	return c.Source.Watch(ctx, r, s)
}

// Tally takes the report of an entry daemon.
func (c *Core) Tally(_ context.Context, r *connect.Request[peerpb.TallyRequest]) (*connect.Response[peerpb.TallyResponse], error) {
	if !c.leads() {
		return connect.NewResponse(&peerpb.TallyResponse{Leader: c.leaderAt()}), nil
	}
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &c.desk
	if !d.leading {
		// What an earlier leader granted and ordered is not known here.
		d.leading = true
		d.entries = make(map[string]*report)
		d.markets, d.demands = nil, nil
		d.board = moves.Aggregator{}
		d.board.UseShort()
		d.bank = quota.Allocator{
			Bounds: quota.Bounds(c.Settings.Quota), Since: now,
			Unknown: !c.Settings.Found && now.Sub(c.started) < c.Settings.Quota.Window,
		}
	}
	name := r.Msg.GetName()
	every := entryAge
	if last := d.entries[name]; last != nil {
		every = now.Sub(last.at)
	}
	d.entries[name] = &report{at: now, loads: r.Msg.GetLoads()}
	var windows []usage.Window
	for _, w := range r.Msg.GetWindows() {
		windows = append(windows, usage.Window{Number: w.GetNumber(), Counts: w.GetCounts()})
	}
	d.book.Receive(now, name+"/"+r.Msg.GetBoot(), windows)
	if r.Msg.GetLast() {
		d.book.RemoveRun(name + "/" + r.Msg.GetBoot())
	}
	d.board.Receive(c.Follower.TrueTime(), name+"/"+r.Msg.GetBoot(), wire.SamplesFromPB(r.Msg.GetSamples()), c.move)
	d.hearDemand(now, name+"/"+r.Msg.GetBoot(), r.Msg.GetDemands())
	return connect.NewResponse(c.answer(now, name, r.Msg, every)), nil
}

func (c *Core) answer(now clock.Instant, name string, m *peerpb.TallyRequest, every clock.Duration) *peerpb.TallyResponse {
	d := &c.desk
	out := &peerpb.TallyResponse{Leads: true}
	others := make(map[string]*peerpb.ServerLoad)
	for entry, last := range d.entries {
		if now.Sub(last.at) > entryAge {
			delete(d.entries, entry)
			continue
		}
		out.Entries++
		if entry == name {
			continue
		}
		for _, l := range last.loads {
			sum := others[l.GetId()]
			if sum == nil {
				sum = &peerpb.ServerLoad{Id: l.GetId()}
				others[l.GetId()] = sum
				out.Others = append(out.Others, sum)
			}
			sum.Requests += l.GetRequests()
			sum.Prefill += l.GetPrefill()
			sum.Memory += l.GetMemory()
		}
	}
	set := c.set.Load()
	if set == nil {
		return out
	}
	var uses []quota.Use
	for _, u := range m.GetUses() {
		uses = append(uses, wire.UseFromPB(u))
	}
	d.bank.Expected = c.Source.Entries()
	for _, g := range d.bank.Grant(now, set, name+"/"+m.GetBoot(), uses, every) {
		out.Grants = append(out.Grants, wire.GrantToPB(&g))
	}
	return out
}

// attend does the duties of the leader.
func (c *Core) attend(ctx context.Context) {
	d := &c.desk
	if !c.leads() || c.options.Cloud == nil || c.draining.Load() {
		c.mu.Lock()
		if d.tenure.Fence != 0 {
			c.log.Info("duties ended", "fence", d.tenure.Fence)
		}
		d.tenure.End()
		if !c.leads() {
			d.leading = false
		}
		c.mu.Unlock()
		return
	}
	if d.tenure.Fence == 0 && !c.takeDuties(ctx) {
		return
	}
	if c.Settings.Duties.Usage {
		c.reportUsage(ctx)
	}
	if c.Settings.Duties.Scaling {
		c.buy(ctx)
	}
}

// takeDuties asks the log for the duties.
func (c *Core) takeDuties(ctx context.Context) bool {
	result, err := c.propose(ctx, state.TakeOrder{Operation: "duties", Target: "cloud", Holder: string(c.Store.Self.ID) + "/" + c.boot})
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.desk.tenure.Begin(c.clock.Now(), result.Fence)
	c.desk.reported = 0
	c.log.Info("duties begun", "fence", result.Fence)
	return true
}

// maySend reports whether a call to the cloud may leave now.
func (c *Core) maySend() bool {
	s := c.Settings.Duties
	return c.desk.tenure.MaySend(c.clock.Now(), c.Store.Status().ContactAt, duty.Settings{Lease: s.Lease, MaxPause: s.Thaw, MaxTransit: cloudTimeout, MaxContactAge: ElectionTimeout / 2})
}

// reportUsage records and reports the windows that have ended. Counts are in the log before they
// are sent, so that every repetition is the same.
func (c *Core) reportUsage(ctx context.Context) {
	length := c.Settings.Duties.UsageWindow
	now := c.Follower.TrueTime()
	ended := usage.WindowNumber(now.Add(-usageWait), length)
	first := usage.WindowNumber(now.Add(-c.Settings.Duties.UsageDue-length), length)
	for number := max(first, c.desk.reported+1); number < ended; number++ {
		if !c.reportWindow(ctx, number) {
			return
		}
		c.desk.reported = number
	}
	c.mu.Lock()
	c.desk.book.DropBefore(first - 1)
	c.mu.Unlock()
}

func (c *Core) reportWindow(ctx context.Context, number uint64) bool {
	// By the time that a new holder may send, the entry daemons have repeated their counts to it.
	if !c.maySend() {
		return false
	}
	recorded, ok := c.recorded(number)
	if !ok {
		age := c.Follower.TrueTime().Sub(clock.Instant(number+1) * clock.Instant(c.Settings.Duties.UsageWindow))
		c.mu.Lock()
		heard := len(c.desk.entries)
		complete := c.desk.book.Complete(c.clock.Now().Add(-age))
		counts := c.desk.book.Sum(number)
		c.mu.Unlock()
		if heard == 0 || !complete && age < lagPart*c.Settings.Duties.UsageDue/100 {
			return false
		}
		c.log.Info("usage counted", "window", number, "complete", complete, "ageMs", int64(age), "entries", heard)
		if _, err := c.propose(ctx, state.PutUsage{Number: number, Counts: counts}); err != nil {
			c.log.Info("usage not recorded", "window", number, "error", err.Error())
			return false
		}
		if recorded, ok = c.recorded(number); !ok {
			return false
		}
	}
	if !c.maySend() {
		return false
	}
	call, cancel := context.WithTimeout(ctx, cloudTimeout.Std())
	defer cancel()
	c.desk.tenure.Sent(c.clock.Now())
	fence := c.desk.tenure.Fence
	answer, err := c.options.Cloud.ReportUsage(call, duty.Holder{Name: c.Settings.Name, Fence: fence}, recorded)
	c.log.Info("usage reported", "window", number, "fence", fence, "answer", answer.String(), "error", errorText(err), "accounts", len(recorded.Counts))
	return answer == duty.Accepted
}

func (c *Core) recorded(number uint64) (state.Usage, bool) {
	var u state.Usage
	ok := false
	c.Store.View(func(s *state.State) { u, ok = s.Usage[number] })
	return u, ok
}
