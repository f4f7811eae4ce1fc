// Package usage counts the requests of client accounts by the reporting window in which they began.
// Entry daemons count and report; the leader sums the reports of all of them:
//
//	counter.Count(trueTime, "workshop")
//	aggregator.Receive(now, "entry-1/boot-7", counter.Windows)
//	if aggregator.Complete(ended) { counts := aggregator.Sum(number) }
//
// Each report contains all recent windows completely, so that neither a lost report nor a change of
// the leader loses counts.
package usage

import (
	"maps"
	"slices"

	"swiftbeam/pkg/clock"
)

// reportedWindows is the number of windows in each report: those that a new leader may still have to
// report.
const reportedWindows = 6

// Window contains the counts of one reporting window.
type Window struct {
	Number uint64
	Counts map[string]uint64
}

// Counter counts the requests of one entry daemon. It is not safe for concurrent use.
type Counter struct {
	Length  clock.Duration
	Windows []Window
}

// WindowNumber returns the number of the window that contains an instant.
func WindowNumber(at clock.Instant, length clock.Duration) uint64 {
	return uint64(at) / uint64(max(length, 1))
}

// Count adds a request that began at an instant of true time.
func (c *Counter) Count(at clock.Instant, account string) {
	number := WindowNumber(at, c.Length)
	i := slices.IndexFunc(c.Windows, func(w Window) bool { return w.Number == number })
	if i < 0 {
		c.Windows = append(c.Windows, Window{Number: number, Counts: make(map[string]uint64)})
		i = len(c.Windows) - 1
		if i >= reportedWindows {
			c.Windows = slices.Delete(c.Windows, 0, 1)
			i--
		}
	}
	c.Windows[i].Counts[account]++
}

// Aggregator sums the reports of all entry daemons. It is not safe for concurrent use.
type Aggregator struct {
	// windows contains the counts by window number, run of a daemon and account.
	windows    map[uint64]map[string]map[string]uint64
	reportedAt map[string]clock.Instant
}

const (
	// maxDelay is how long after the end of a window a report may still lack its last requests.
	maxDelay = 300 * clock.Millisecond
	// runTimeout is the time without a report after which a run of a daemon counts as ended. It is
	// longer than most partitions.
	runTimeout = 15 * clock.Second
)

// Receive records the windows that an entry daemon reported. Run identifies the daemon and its present
// process: a restarted daemon reports as another run.
func (a *Aggregator) Receive(now clock.Instant, run string, windows []Window) {
	if a.windows == nil {
		a.windows = make(map[uint64]map[string]map[string]uint64)
		a.reportedAt = make(map[string]clock.Instant)
	}
	a.reportedAt[run] = now
	for _, w := range windows {
		runs := a.windows[w.Number]
		if runs == nil {
			runs = make(map[string]map[string]uint64)
			a.windows[w.Number] = runs
		}
		runs[run] = w.Counts
	}
}

// RemoveRun records that a run of a daemon has ended and reported all of its counts.
func (a *Aggregator) RemoveRun(run string) { delete(a.reportedAt, run) }

// Complete reports whether all running entry daemons have reported at least maxDelay after a window ended.
func (a *Aggregator) Complete(ended clock.Instant) bool {
	for run, at := range a.reportedAt {
		if ended.Sub(at) > runTimeout {
			delete(a.reportedAt, run)
		} else if at.Before(ended.Add(maxDelay)) {
			return false
		}
	}
	return true
}

// Sum returns the counts of a window over all runs.
func (a *Aggregator) Sum(number uint64) map[string]uint64 {
	total := make(map[string]uint64)
	for _, counts := range a.windows[number] {
		for account, n := range counts {
			total[account] += n
		}
	}
	return total
}

// DropBefore removes the windows with a number below the given one.
func (a *Aggregator) DropBefore(number uint64) {
	maps.DeleteFunc(a.windows, func(n uint64, _ map[string]map[string]uint64) bool { return n < number })
}
