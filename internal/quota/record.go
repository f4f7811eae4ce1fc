package quota

import (
	"slices"
	"strings"

	"swiftbeam/internal/rules"
	"swiftbeam/internal/window"
	"swiftbeam/pkg/clock"
)

const (
	// recordFrom is the part of a limit from which on what was spent is recorded, recordStep the part that is spent
	// between two records. With less than recordFrom, unknownSpendingFraction covers it.
	recordFrom = 0.35
	recordStep = 0.1
	// recordedFraction is the part of the limit that is granted after a restart of all, with what was recorded: the rest is
	// for what was spent after the record.
	recordedFraction = 0.85
)

// Record is what an account has spent. It is kept where it survives the loss of the leader and of all entry daemons at
// once, who would know it otherwise.
type Record struct {
	Account string
	// At is the time of the record, by the clock that the daemons agree on.
	At clock.Instant
	// Spent is what was spent, or granted and not spent yet, in each part of the window before At, the latest first.
	Spent []float64

	unrecorded float64
	unspent    float64
}

// recorded is a quantity of a Record, which counts as spent until a time.
type recorded struct {
	until    clock.Instant
	quantity float64
}

// Due returns records of the accounts that have spent much since the last one. Call Recorded with those that were stored.
func (al *Allocator) Due(now, clusterTime clock.Instant, set *rules.Set) []Record {
	var due []Record
	for name, t := range al.totals {
		a := set.Account(name)
		if a == nil || a.Rate <= 0 {
			continue
		}
		limit, unspent := Limit(al.Bounds, a), max(t.counted-t.spent, 0)
		if t.unrecorded+max(unspent-t.recordedUnspent, 0) < recordStep*limit || t.counted+t.ended.Sum(now) < recordFrom*limit {
			continue
		}
		spent := t.recent.Parts(now)
		spent[0] += unspent
		due = append(due, Record{Account: name, At: clusterTime, Spent: spent, unrecorded: t.unrecorded, unspent: unspent})
	}
	slices.SortFunc(due, func(a, b Record) int { return strings.Compare(a.Account, b.Account) })
	return due
}

// Recorded notes that records were stored.
func (al *Allocator) Recorded(records []Record) {
	for i := range records {
		t := al.total(records[i].Account)
		t.unrecorded, t.recordedUnspent = max(t.unrecorded-records[i].unrecorded, 0), records[i].unspent
	}
}

// Restore takes over what was recorded before all processes were restarted.
func (al *Allocator) Restore(now, clusterTime clock.Instant, records []Record) {
	part := window.PartLength(al.Bounds.Window)
	for i := range records {
		t := al.total(records[i].Account)
		t.recordedAt = now.Add(records[i].At.Sub(clusterTime))
		for j, quantity := range records[i].Spent {
			until := t.recordedAt.Add(al.Bounds.Window - clock.Duration(max(j-1, 0))*part)
			if quantity > 0 && until.After(now) {
				t.recorded = append(t.recorded, recorded{until: until, quantity: quantity})
			}
		}
	}
}

// recordedUnknown returns what was recorded as spent in the window, and was not reported by the daemons that spent it.
func (t *totals) recordedUnknown(now clock.Instant, span clock.Duration) float64 {
	if len(t.recorded) == 0 {
		return 0
	}
	t.recorded = slices.DeleteFunc(t.recorded, func(r recorded) bool { return !r.until.After(now) })
	sum := 0.0
	for _, r := range t.recorded {
		sum += r.quantity
	}
	// What earlier runs reported leaves the window evenly, as far as known.
	reported := t.survived - (float64(now)*t.survived-t.survivedAt)/float64(span)
	return max(sum-max(reported, 0), 0)
}

// addSurvived notes what a run reported first that had spent it before the restart.
func (t *totals) addSurvived(now clock.Instant, quantity float64) {
	t.survived += quantity
	t.survivedAt += quantity * float64(now)
}
