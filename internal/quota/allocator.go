package quota

import (
	"container/list"
	"strings"

	"swiftbeam/internal/rules"
	"swiftbeam/internal/window"
	"swiftbeam/pkg/clock"
)

// Allocator is the state of all accounts on the leader. The cost of a report does not depend on the
// number of daemons: the sums over all of them are updated with each report. It is not safe for
// concurrent use.
type Allocator struct {
	Bounds Bounds
	// StartedAt is when this leader began to allocate quotas.
	StartedAt clock.Instant
	// ExpectedDaemons is the number of entry daemons that should report. In its first window a new leader
	// assumes that those that have not reported have spent some of the limit.
	ExpectedDaemons int
	// SpendingUnknown is set on a leader whose process was restarted less than a window before, so that
	// the entry daemons may have been restarted too.
	SpendingUnknown bool

	totals map[string]*totals
	// runs contains the runs of daemons by NAME/BOOT, latest the last run of each daemon by name, which
	// may have ended.
	runs   map[string]*run
	latest map[string]*run
	// connected and lost contain the runs in order of their last report, the oldest first.
	connected list.List
	lost      list.List
	// restarted contains the start times of the runs whose predecessor this leader has no report of.
	// unknownWindows is the sum of the parts of the window before those times, as of unknownAt.
	restarted      []clock.Instant
	unknownWindows float64
	unknownAt      clock.Instant
}

// Report is what one run of an entry daemon reports.
type Report struct {
	// Run is NAME/BOOT.
	Run  string
	Uses []Use
	// SinceRestart is the time since the daemon was restarted; zero if this is its first run.
	SinceRestart clock.Duration
	// SinceLast is the time since the daemon's previous report.
	SinceLast clock.Duration
	// Last is set in the last report of a run that ends.
	Last bool
}

// totals are the sums over all runs for one account.
type totals struct {
	spent float64
	// counted is what counts as spent or granted.
	counted float64
	// exposure is what the runs could spend in a window if they all lost contact with the leader now.
	exposure float64
	holders  int
	// ended is what the runs spent that have ended.
	ended window.Sliding
	// recent is what all runs spent, by the time of their reports. unrecorded is the part of it since the last Record, which
	// contained recordedUnspent as granted and not spent.
	recent          window.Sliding
	unrecorded      float64
	recordedUnspent float64
	// recorded is what was spent before all processes were restarted, as of the time recordedAt. survived is the part
	// of it that runs reported which were not restarted, survivedAt the sum of these parts times their times.
	recorded   []recorded
	recordedAt clock.Instant
	survived   float64
	survivedAt float64
}

// run is the record of one run of an entry daemon.
type run struct {
	name       string
	daemon     string
	reportedAt clock.Instant
	lost       bool
	// ended is set after the run's last report, or when a later run has reported. Reports that arrive
	// later are ignored.
	ended    bool
	holdings map[string]*holding
	element  *list.Element
}

// holding is the part of one account at one run: its last report, and its lease.
type holding struct {
	spent   float64
	unspent float64
	// lease is the largest lease that the run may still use: the last one sent to it, or the one that
	// it last reported if that is larger.
	lease float64
	// total is what the run had spent at its last report since its start. recent is what it spent in the
	// last window by the time of its reports; nil if it has spent nothing.
	total  float64
	recent *window.Sliding
	// reportedSpent, counted and exposure are what the totals contain for this holding.
	reportedSpent float64
	counted       float64
	exposure      float64
}

// Grant processes a report and returns the grants for it; none while a new leader collects reports.
func (al *Allocator) Grant(now clock.Instant, set *rules.Set, report Report) []Grant {
	al.expire(now)
	r := al.receive(now, report)
	if r.ended {
		return nil
	}
	collecting := !al.SpendingUnknown && now.Sub(al.StartedAt) < collectTime
	var grants []Grant
	for i := range report.Uses {
		u := &report.Uses[i]
		a := set.Account(u.Account)
		if a == nil || a.Rate <= 0 {
			continue
		}
		h := r.holdings[a.Name]
		t := al.total(a.Name)
		if h == nil {
			h = &holding{}
			r.holdings[a.Name] = h
			t.holders++
		}
		al.count(now, t, h, u, report.SinceRestart)
		if report.Last {
			h.unspent = 0
		}
		al.update(t, r, h)
		if collecting || report.Last {
			continue
		}
		grants = append(grants, al.grant(now, r, h, u, a, report.SinceLast))
	}
	if report.Last {
		al.end(now, r)
	}
	return grants
}

// count records what a run reports about its part.
func (al *Allocator) count(now clock.Instant, t *totals, h *holding, u *Use, sinceRestart clock.Duration) {
	spent := u.Total - h.total
	if h.recent == nil && u.Spent > 0 {
		h.recent = &window.Sliding{Span: al.Bounds.Window}
		spent = u.Spent
		if sinceRestart == 0 || now.Add(-sinceRestart).Before(t.recordedAt) {
			t.addSurvived(now, spent)
		}
	}
	if spent > 0 && h.recent != nil {
		h.recent.Add(now, spent)
		t.recent.Add(now, spent)
		t.unrecorded += spent
	}
	h.spent, h.unspent, h.lease, h.total = u.Spent, u.Unspent.Sum(), u.Lease, u.Total
}

// grant grants a part of one account and computes the lease.
func (al *Allocator) grant(now clock.Instant, r *run, h *holding, u *Use, a *rules.Account, sinceLast clock.Duration) Grant {
	t := al.total(a.Name)
	limit := Limit(al.Bounds, a)
	past := t.recordedUnknown(now, al.Bounds.Window)
	if al.SpendingUnknown && now.Sub(al.StartedAt) < al.Bounds.Window {
		if len(t.recorded) > 0 {
			limit *= recordedFraction
		} else {
			limit *= unknownSpendingFraction
		}
	}
	daemons := max(al.ExpectedDaemons, t.holders, 1)
	ended := t.ended.Sum(now) + past
	remaining := limit - ended - t.counted - al.unreported(now, t, limit)
	// Leases of other daemons are reserved: they may use them while this daemon uses its grants.
	available := min(remaining, limit-ended-(t.exposure-h.exposure)-h.counted)
	g := Grant{Account: a.Name, Scarce: remaining < scarceFraction*limit}
	ahead := 0.0
	if !g.Scarce {
		ahead = aheadFraction * remaining / float64(daemons)
	}
	g.Quantity = grantByLevel(u, available, limit, ahead, sinceLast)
	h.unspent += g.Quantity.Sum()
	even := evenFraction * limit / float64(daemons)
	part := (h.spent + even) / (t.spent + evenFraction*limit)
	rest := max(remaining-g.Quantity.Sum(), 0)
	// Leases are reserved, so they shrink faster than what remains when that is scarce.
	rest *= min(rest/(scarceFraction*limit), 1)
	g.Lease = h.spent + h.unspent + leaseFraction*rest*part
	g.Lease = max(min(g.Lease, limit-ended-(t.exposure-h.exposure)), 0)
	h.lease = max(h.lease, g.Lease)
	al.update(t, r, h)
	return g
}

// grantByLevel grants what is available, the urgent levels first: what was requested since the last
// report, and up to ahead more.
func grantByLevel(u *Use, available, limit, ahead float64, sinceLast clock.Duration) Amounts {
	var granted Amounts
	factor := 1.0
	if sinceLast >= regularReportInterval {
		factor = min(max(float64(grantLookahead)/float64(sinceLast), 1), maxLookaheadFactor)
	}
	for level := range granted {
		requested := u.Requested[level]
		expected := min(requested*factor, requested+ahead)
		quantity := min(expected-u.Unspent[level], available-reserves[level]*limit)
		if quantity > 0 {
			granted[level] = quantity
			available -= quantity
			ahead = max(ahead-max(expected-requested, 0), 0)
		}
	}
	return granted
}

// unreported returns what is assumed to have been spent, in the first window of a new leader, by the
// daemons that have not reported yet and by the earlier runs of those that were restarted.
func (al *Allocator) unreported(now clock.Instant, t *totals, limit float64) float64 {
	if al.ExpectedDaemons == 0 || now.Sub(al.StartedAt) >= al.Bounds.Window {
		return 0
	}
	missing := float64(max(al.ExpectedDaemons-t.holders, 0))
	if !al.SpendingUnknown {
		missing += al.unknownRuns(now)
	}
	// A missing run is assumed to have spent up to twice as much as the others did on average.
	equal := limit / float64(al.ExpectedDaemons)
	others := t.spent / float64(max(t.holders-len(al.restarted), 1))
	each := min(unreportedFactor*equal, max(unreportedOthers*others, unreportedMinimum*equal))
	return each * min(missing, float64(al.ExpectedDaemons))
}

// unknownRuns returns the number of earlier runs that this leader has no report of, each weighted with
// the part of the window before its end.
func (al *Allocator) unknownRuns(now clock.Instant) float64 {
	if now.Sub(al.unknownAt) < unknownInterval {
		return al.unknownWindows
	}
	al.unknownAt, al.unknownWindows = now, 0
	for _, at := range al.restarted {
		rest := 1 - float64(now.Sub(at))/float64(al.Bounds.Window)
		al.unknownWindows += min(max(rest*earlySpending, 0), 1)
	}
	return al.unknownWindows
}

func (al *Allocator) total(account string) *totals {
	t := al.totals[account]
	if t == nil {
		t = &totals{ended: window.Sliding{Span: al.Bounds.Window}, recent: window.Sliding{Span: al.Bounds.Window}}
		if al.totals == nil {
			al.totals = make(map[string]*totals)
		}
		al.totals[account] = t
	}
	return t
}

// receive returns the record of a run that reports now. An earlier run of the same daemon has ended.
func (al *Allocator) receive(now clock.Instant, report Report) *run {
	name := report.Run
	daemon, _, _ := strings.Cut(name, "/")
	if last := al.latest[daemon]; last != nil && last.ended && last.name == name {
		return last
	}
	r := al.runs[name]
	if r == nil {
		r = &run{name: name, daemon: daemon, holdings: make(map[string]*holding)}
		if al.runs == nil {
			al.runs, al.latest = make(map[string]*run), make(map[string]*run)
		}
		if earlier := al.latest[daemon]; earlier != nil {
			if !earlier.ended {
				al.end(now, earlier)
			}
		} else if report.SinceRestart > 0 && report.SinceRestart < al.Bounds.Window {
			al.restarted = append(al.restarted, now.Add(-report.SinceRestart))
		}
		al.runs[name], al.latest[daemon] = r, r
		r.element = al.connected.PushBack(r)
	}
	r.reportedAt = now
	if r.lost {
		r.lost = false
		al.lost.Remove(r.element)
		r.element = al.connected.PushBack(r)
	} else {
		al.connected.MoveToBack(r.element)
	}
	return r
}

// expire marks the runs as lost that have not reported for disconnectedAfter, and drops those whose
// spending is older than a window.
func (al *Allocator) expire(now clock.Instant) {
	for e := al.connected.Front(); e != nil; e = al.connected.Front() {
		r := e.Value.(*run)
		if now.Sub(r.reportedAt) <= disconnectedAfter {
			break
		}
		r.lost = true
		al.connected.Remove(e)
		r.element = al.lost.PushBack(r)
		al.updateAll(r)
	}
	for e := al.lost.Front(); e != nil; e = al.lost.Front() {
		r := e.Value.(*run)
		if now.Sub(r.reportedAt) <= al.Bounds.Window+leaseAfter {
			break
		}
		al.drop(r)
	}
}

// end drops a run that has ended, and keeps what it spent. What was unspent at its last report may have
// been spent since, and the whole lease if the run was out of contact.
func (al *Allocator) end(now clock.Instant, r *run) {
	for account, h := range r.holdings {
		t := al.total(account)
		unseen, reported := h.unspent, 0.0
		if h.recent != nil {
			t.ended.Merge(now, h.recent)
			reported = h.recent.Sum(now)
		}
		if r.lost {
			unseen = max(unseen, h.counted-reported)
		}
		t.ended.Add(now, unseen)
		t.recent.Add(now, unseen)
	}
	al.drop(r)
	r.ended = true
}

// drop removes a run and its parts. It may report again later, after a long partition.
func (al *Allocator) drop(r *run) {
	if r.lost {
		al.lost.Remove(r.element)
	} else {
		al.connected.Remove(r.element)
	}
	for account, h := range r.holdings {
		t := al.total(account)
		t.spent -= h.reportedSpent
		t.counted -= h.counted
		t.exposure -= h.exposure
		if t.holders--; t.holders == 0 {
			t.spent, t.counted, t.exposure = 0, 0, 0
		}
	}
	delete(al.runs, r.name)
	r.holdings = nil
}

// update brings the totals in line with a holding.
func (al *Allocator) update(t *totals, r *run, h *holding) {
	counted := h.spent + h.unspent
	exposure := max(h.lease, counted)
	if r.lost {
		counted = exposure
	}
	t.spent += h.spent - h.reportedSpent
	t.counted += counted - h.counted
	t.exposure += exposure - h.exposure
	h.reportedSpent, h.counted, h.exposure = h.spent, counted, exposure
}

func (al *Allocator) updateAll(r *run) {
	for account, h := range r.holdings {
		al.update(al.total(account), r, h)
	}
}
