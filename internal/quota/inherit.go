package quota

import (
	"strings"

	"swiftbeam/pkg/clock"
)

const (
	// authorityFraction is the part of a limit that a record authorizes beyond the exposure, leaseReserve the part of it
	// that leases leave to grants. With less than authorityScarce left, a record is needed without delay.
	authorityFraction = 0.1
	leaseReserve      = 0.05
	authorityScarce   = 0.03
	// authorityStep is the least part of a limit by which a record raises the authority for leases, authoritySurplus that
	// by which it lowers it.
	authorityStep    = 0.01
	authoritySurplus = 0.08
)

// RunRecord states that a run of an entry daemon may have grants of the leader, or that it has ended.
type RunRecord struct {
	// Run is NAME/BOOT.
	Run string
	// EndedAt is the time from which on the run spends nothing, by the clock that the daemons agree on; zero while it runs.
	EndedAt clock.Instant
}

// inheritance is what a new leader knows of the runs that had grants of earlier leaders.
type inheritance struct {
	// done is set once the records were taken over.
	done bool
	// runs is the number of recorded runs that could have spent something in the last window, live that of those not
	// known to have ended before they reported to this leader. missing contains those that did neither, by daemon.
	runs    int
	live    int
	missing map[string]string
	// endedUntil is the time until which the spending of ended runs is in the window.
	endedUntil clock.Instant
}

// Inherit takes over what earlier leaders have recorded. The records must include all that were ever stored.
func (al *Allocator) Inherit(now, clusterTime clock.Instant, records []Record, runs []RunRecord) {
	in := &al.inherited
	in.done, in.missing = true, make(map[string]string)
	for _, r := range runs {
		daemon, _, _ := strings.Cut(r.Run, "/")
		switch {
		case r.EndedAt == 0:
			in.runs++
			in.live++
			in.missing[daemon] = r.Run
		case clusterTime.Sub(r.EndedAt) < al.Bounds.Window:
			in.runs++
			in.endedUntil = max(in.endedUntil, now.Add(r.EndedAt.Sub(clusterTime)+al.Bounds.Window))
		}
	}
	if in.runs > 0 {
		al.SpendingUnknown = false
	}
	// All runs are recorded again, for members of the group that were upgraded since.
	for _, name := range in.missing {
		al.changeRun(RunRecord{Run: name})
	}
	for i := range records {
		au := &al.total(records[i].Account).authority
		au.inherited, au.granted = records[i].Authorized, records[i].Authorized
	}
	for _, r := range al.runs {
		al.join(now, r, 0)
		if !r.heir {
			continue
		}
		for account, h := range r.holdings {
			al.total(account).authority.hear(h)
		}
	}
}

// MissingRuns returns the number of recorded runs that have neither reported nor ended.
func (al *Allocator) MissingRuns() int { return len(al.inherited.missing) }

// join finds out whether a run is recorded already.
func (al *Allocator) join(now clock.Instant, r *run, sinceRestart clock.Duration) {
	in := &al.inherited
	if !in.done {
		return
	}
	earlier, ok := in.missing[r.daemon]
	delete(in.missing, r.daemon)
	switch {
	case ok && earlier == r.name:
		r.listed, r.heir = true, true
	case ok:
		in.live--
		end := now.Add(-sinceRestart)
		in.endedUntil = max(in.endedUntil, end.Add(al.Bounds.Window))
		al.changeRun(RunRecord{Run: earlier, EndedAt: end})
	}
	al.changeRun(RunRecord{Run: r.name})
}

// unheard returns what may have been spent in the window, or may still be, by runs that had grants of earlier leaders and
// have not reported to this one.
func (al *Allocator) unheard(now clock.Instant, t *totals) float64 {
	in := &al.inherited
	if t.authority.heard >= in.runs {
		return 0
	}
	until := in.endedUntil
	if t.authority.heard < in.live {
		until = max(until, al.StartedAt.Add(al.Bounds.Window+leaseAfter))
	}
	if !now.Before(until) {
		return 0
	}
	return max(t.authority.inherited-t.authority.heardExposure, 0)
}

func (al *Allocator) changeRun(r RunRecord) {
	if !al.RequireRecords {
		return
	}
	al.runChanges = append(al.runChanges, r)
	al.RecordNeeded = true
}

// DueRuns returns the records of runs that have begun or ended since RunsRecorded.
func (al *Allocator) DueRuns(now, clusterTime clock.Instant) []RunRecord {
	in := &al.inherited
	if now.Sub(al.StartedAt) > al.Bounds.Window+leaseAfter {
		for daemon, name := range in.missing {
			delete(in.missing, daemon)
			al.changeRun(RunRecord{Run: name, EndedAt: now})
		}
	}
	due := make([]RunRecord, 0, len(al.runChanges))
	for _, r := range al.runChanges {
		if r.EndedAt > 0 {
			r.EndedAt = clusterTime.Add(r.EndedAt.Sub(now))
		}
		due = append(due, r)
	}
	return due
}

// RunsRecorded notes that the records of runs that DueRuns returned were stored.
func (al *Allocator) RunsRecorded(runs []RunRecord) {
	al.runChanges = al.runChanges[len(runs):]
	for i := range runs {
		if r := al.runs[runs[i].Run]; r != nil && runs[i].EndedAt == 0 {
			r.listed = true
		}
	}
}
