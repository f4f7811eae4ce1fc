// Package usage counts the requests of client accounts that began in each reporting window. Entry
// daemons count and report; the holder of the duty adds up what all of them reported:
//
//	counter.Began(trueTime, "workshop")
//	book.Receive(now, "entry-1/boot-7", counter.Windows)
//	if book.Complete(ended) { counts := book.Sum(number) }
//
// Reports repeat all recent windows whole, so that a lost report or a new holder loses nothing.
package usage

import (
	"maps"
	"slices"

	"swiftbeam/pkg/clock"
)

// keepWindows is the number of windows that a counter repeats: those that a new holder may still
// have to report.
const keepWindows = 6

// Window is the counts of one window.
type Window struct {
	Number uint64
	Counts map[string]uint64
}

// Counter counts at one entry daemon. Its owner serialises the calls.
type Counter struct {
	Length  clock.Duration
	Windows []Window
}

// WindowNumber returns the window of an instant.
func WindowNumber(at clock.Instant, length clock.Duration) uint64 {
	return uint64(at) / uint64(max(length, 1))
}

// Count counts a request that began at an instant of true time.
func (c *Counter) Count(at clock.Instant, account string) {
	number := WindowNumber(at, c.Length)
	i := slices.IndexFunc(c.Windows, func(w Window) bool { return w.Number == number })
	if i < 0 {
		c.Windows = append(c.Windows, Window{Number: number, Counts: make(map[string]uint64)})
		i = len(c.Windows) - 1
		if i >= keepWindows {
			c.Windows = slices.Delete(c.Windows, 0, 1)
			i--
		}
	}
	c.Windows[i].Counts[account]++
}

// Aggregator adds up the reports of all entry daemons. Its owner serialises the calls.
type Aggregator struct {
	windows map[uint64]map[string]map[string]uint64
	heardAt map[string]clock.Instant
}

const (
	// travelTime is how long after the end of a window a report may still lack its last requests.
	travelTime = 300 * clock.Millisecond
	// goneAfter is the time without a report after which a run of a daemon has ended; it is above
	// the length of most partitions.
	goneAfter = 15 * clock.Second
)

// Receive takes the windows that a run of an entry daemon reported.
func (b *Aggregator) Receive(now clock.Instant, run string, windows []Window) {
	if b.windows == nil {
		b.windows = make(map[uint64]map[string]map[string]uint64)
		b.heardAt = make(map[string]clock.Instant)
	}
	b.heardAt[run] = now
	for _, w := range windows {
		runs := b.windows[w.Number]
		if runs == nil {
			runs = make(map[string]map[string]uint64)
			b.windows[w.Number] = runs
		}
		runs[run] = w.Counts
	}
}

// RemoveRun notes that a run of a daemon ends and has reported all.
func (b *Aggregator) RemoveRun(run string) { delete(b.heardAt, run) }

// Complete reports whether all daemons that run have reported since a window ended.
func (b *Aggregator) Complete(ended clock.Instant) bool {
	for run, at := range b.heardAt {
		if ended.Sub(at) > goneAfter {
			delete(b.heardAt, run)
		} else if at.Before(ended.Add(travelTime)) {
			return false
		}
	}
	return true
}

// Sum returns the counts of a window over all runs.
func (b *Aggregator) Sum(number uint64) map[string]uint64 {
	total := make(map[string]uint64)
	for _, counts := range b.windows[number] {
		for account, n := range counts {
			total[account] += n
		}
	}
	return total
}

// DropBefore forgets the windows before number.
func (b *Aggregator) DropBefore(number uint64) {
	maps.DeleteFunc(b.windows, func(n uint64, _ map[string]map[string]uint64) bool { return n < number })
}
