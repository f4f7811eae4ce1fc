package crash

import (
	"slices"

	"swiftbeam/pkg/clock"
)

const (
	// copiesDelay is the time after an end until the ends of other servers in the same outage have been reported.
	copiesDelay = 900 * clock.Millisecond
	// outageTime is the time within which the servers of an outage end.
	outageTime = clock.Second
	// minServedPart is the part of a second's requests that a service completes after an end if the servers that did not
	// end are up. The counts of daemons are up to a third of a second old.
	minServedPart = 0.5
)

// Copies returns the ends that copies of the same request caused at the same time, each as a request that began at the end of
// its server, so that Record.Ends counts them one by one. Such an end is that of an outage instead if servers without the
// request end as well, or if the service completes no requests afterwards.
//
// The leader adds them to the evidence: a Table that counted in another way than that of an earlier build would not be the same.
func (t *Table) Copies(now clock.Instant, traffic func(service string) Traffic) []End {
	var list []End
	for _, r := range t.sorted() {
		if r.Kind != Request || r.Blocked() || !t.servedSince(r, traffic(r.Service)) {
			continue
		}
		for _, b := range r.Breaks {
			if now.Sub(b.At) < copiesDelay || r.counted(&b) || !r.overlaps(&b) || t.inOutage(r, &b) {
				continue
			}
			end := End{
				Service: r.Service, Server: b.Server, Daemon: "copies/" + r.Trait.String(), At: b.At,
				Runs: []Run{{SentAt: b.At, Suspects: []Suspect{r.Suspect}}},
			}
			if t.find(&end) == nil {
				list = append(list, end)
			}
		}
	}
	return list
}

// servedSince reports whether the service completes requests since the last end under a trait.
func (t *Table) servedSince(r *Record, traffic Traffic) bool {
	before := r.Completed
	if traffic.Completed < t.Traffic[r.Service].Completed {
		// A new leader counts from zero.
		before = 0
	}
	return float64(traffic.Completed) >= float64(before)+max(minServedPart*traffic.PerSecond, 1)
}

// counted reports whether the end of the break's server counts by itself already.
func (r *Record) counted(b *BrokenRun) bool {
	return slices.ContainsFunc(r.Breaks, func(o BrokenRun) bool { return o.Server == b.Server && !o.SentAt.Before(o.At) })
}

// overlaps reports whether another server ended under a request that ran at the same time.
func (r *Record) overlaps(b *BrokenRun) bool {
	return slices.ContainsFunc(r.Breaks, func(o BrokenRun) bool {
		return o.Server != b.Server && o.SentAt.Before(b.At) && b.SentAt.Before(o.At)
	})
}

// inOutage reports whether a server without the trait ended at about the time of the break.
func (t *Table) inOutage(r *Record, b *BrokenRun) bool {
	return slices.ContainsFunc(t.Ends, func(e EndSummary) bool {
		if e.Service != r.Service || e.SurvivedAt > 0 || e.At.Sub(b.At) > outageTime || b.At.Sub(e.At) > outageTime {
			return false
		}
		return !slices.ContainsFunc(r.Breaks, func(o BrokenRun) bool { return o.Server == e.Server })
	})
}
