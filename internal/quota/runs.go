package quota

import (
	"slices"
	"strings"

	"swiftbeam/internal/window"
	"swiftbeam/pkg/clock"
)

const (
	// largeRun is the part of a limit from which on a run is recorded by itself. A run that is not has at most that.
	largeRun = 1.0 / 8
	// recordedAhead is the part of a limit that a recorded run may be granted until the next record.
	recordedAhead = 1.0 / 16
	// recordRenewal is the age at which runs are recorded again, well before the replicated state drops the record.
	recordRenewal = 20 * clock.Second
)

// RunRecord is what one run of an entry daemon had spent of an account, and what it may spend until the next record.
type RunRecord struct {
	// Run is NAME/BOOT.
	Run string
	// Total is what the run had spent since its start, Spent the part of it in each part of the window, the latest first.
	Total float64
	Spent []float64
	// Unspent is what the run may spend beyond Total while it is in contact with the leader. Lease is what it may spend in a
	// window without contact.
	Unspent float64
	Lease   float64
}

// bound is what the record of a run allows.
type bound struct {
	listed bool
	// total is the largest total that the run may reach by grants, lease its largest lease.
	total float64
	lease float64
	// leaseWanted is the lease that the run would have without the bound.
	leaseWanted float64
	// lacking is what grants lacked since the last record.
	lacking float64
}

// runRecords is what is recorded of the runs that hold a large part of one account.
type runRecords struct {
	// large contains the runs that are recorded or should be. Their number is bounded, as the exposure of all runs is.
	large map[*run]*holding
	// recordedAt is the time of the last record. dropped is set if it contains runs that have been dropped since.
	recordedAt clock.Instant
	dropped    bool
	// ended is what runs spent that ended under earlier leaders. replaced is the number of recorded runs whose daemons have
	// reported to this leader with newer ones.
	ended    window.Sliding
	replaced int
}

// left returns what a run may be granted until the next record.
func (h *holding) left(limit float64) float64 {
	if h.bound.listed {
		return max(h.bound.total-h.total-h.unspent, 0)
	}
	return max(largeRun*limit-h.spent-h.unspent, 0)
}

// cut reduces a grant to what the record of the run allows, the least urgent levels first. It reports false if that does not
// cover the requests that the grant did.
func (h *holding) cut(quantity *Amounts, u *Use, limit float64) bool {
	left := h.left(limit)
	excess := quantity.Sum() - left
	if excess <= 0 {
		return true
	}
	h.bound.lacking = max(h.bound.lacking, excess)
	needed := 0.0
	for level := Levels - 1; level >= 0; level-- {
		needed += min(max(u.Requested[level]-u.Unspent[level], 0), quantity[level])
		part := min(quantity[level], max(excess, 0))
		quantity[level] -= part
		excess -= part
	}
	return needed <= left
}

// cutLease reduces a lease to what the record of the run allows.
func (h *holding) cutLease(lease, limit float64) float64 {
	h.bound.leaseWanted = lease
	if h.bound.listed {
		return min(lease, h.bound.lease)
	}
	return min(lease, largeRun*limit)
}

// isLarge reports whether a run should be recorded.
func (h *holding) isLarge(limit float64) bool {
	return h.spent+h.unspent+h.bound.lacking > largeRun*limit/2 || max(h.bound.leaseWanted, h.lease) > largeRun*limit
}

// watch notes a run that should be recorded.
func (rr *runRecords) watch(r *run, h *holding, limit float64) {
	if !h.isLarge(limit) {
		return
	}
	if rr.large == nil {
		rr.large = make(map[*run]*holding)
	}
	rr.large[r] = h
}

func (rr *runRecords) drop(r *run, h *holding) {
	rr.dropped = rr.dropped || h.bound.listed
	delete(rr.large, r)
}

// isDue reports whether a record is due, as a run may soon be granted no more.
func (rr *runRecords) isDue(now clock.Instant, limit float64) bool {
	if rr.dropped || len(rr.large) > 0 && now.Sub(rr.recordedAt) >= recordRenewal {
		return true
	}
	for r, h := range rr.large {
		if r.lost {
			continue
		}
		if !h.bound.listed || h.bound.lacking > 0 || h.left(limit) < recordedAhead*limit/2 || h.bound.leaseWanted > h.bound.lease+recordedAhead*limit/4 {
			return true
		}
	}
	return false
}

// take returns the records of the runs that hold a large part of the limit.
func (rr *runRecords) take(now clock.Instant, limit float64) []RunRecord {
	rr.recordedAt, rr.dropped = now, false
	var records []RunRecord
	for r, h := range rr.large {
		if !h.isLarge(limit) && !r.lost {
			h.bound.listed = false
			delete(rr.large, r)
			continue
		}
		record := RunRecord{Run: r.name, Total: h.total, Unspent: h.unspent, Lease: max(h.lease, h.bound.leaseWanted)}
		if !r.lost {
			record.Unspent += recordedAhead*limit + h.bound.lacking
			h.bound.lacking = 0
		}
		if h.recent != nil {
			record.Spent = h.recent.Parts(now)
		}
		// The record may be stored or not until that is known, so the lower bound counts.
		h.bound.total = min(h.bound.total, record.Total+record.Unspent)
		h.bound.lease = min(h.bound.lease, record.Lease)
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b RunRecord) int { return strings.Compare(a.Run, b.Run) })
	return records
}

// runsRecorded notes that the record of an account was stored.
func (al *Allocator) runsRecorded(record *Record) {
	for i := range record.Runs {
		rr := &record.Runs[i]
		if r := al.runs[rr.Run]; r != nil && r.holdings[record.Account] != nil {
			r.holdings[record.Account].bound.set(rr)
		}
	}
}

func (b *bound) set(rr *RunRecord) { b.listed, b.total, b.lease = true, rr.Total+rr.Unspent, rr.Lease }

// Inherit takes over what earlier leaders recorded. The records must include all that were stored.
func (al *Allocator) Inherit(now, clusterTime clock.Instant, records []Record) {
	al.inherited = true
	if al.SpendingUnknown {
		// Restore has taken over the sums.
		return
	}
	for i := range records {
		record := &records[i]
		at := now.Add(record.At.Sub(clusterTime))
		rr := &al.total(record.Account).runs
		rr.ended.AddParts(now, at, record.Ended)
		for j := range record.Runs {
			al.inheritRun(now, at, record.Account, &record.Runs[j])
		}
	}
}

// inheritRun takes over the record of a run, which counts as out of contact until it reports. If its daemon has reported with a
// newer one, it has ended.
func (al *Allocator) inheritRun(now, at clock.Instant, account string, record *RunRecord) {
	t := al.total(account)
	daemon, _, _ := strings.Cut(record.Run, "/")
	newer := al.latest[daemon]
	replaced := newer != nil && newer.name != record.Run
	r := al.runs[record.Run]
	if r == nil {
		r = &run{name: record.Run, daemon: daemon, reportedAt: now, lost: true, inherited: true, holdings: make(map[string]*holding)}
		r.element = al.lost.PushBack(r)
		if al.runs == nil {
			al.runs, al.latest = make(map[string]*run), make(map[string]*run)
		}
		al.runs[r.name] = r
		if !replaced {
			al.latest[daemon] = r
		}
	}
	h := r.holdings[account]
	if h == nil {
		h = &holding{unspent: record.Unspent, lease: record.Lease, total: record.Total, recent: &window.Sliding{Span: al.Bounds.Window}}
		h.recent.AddParts(now, at, record.Spent)
		h.spent = h.recent.Sum(now)
		t.recent.AddParts(now, at, record.Spent)
		r.holdings[account] = h
		t.holders++
		al.update(t, r, h)
	}
	h.bound.set(record)
	if t.runs.large == nil {
		t.runs.large = make(map[*run]*holding)
	}
	t.runs.large[r] = h
	if replaced {
		al.end(now, r)
	}
}
