// Package usage counts the requests of client accounts that began in each reporting window. Entry
// daemons count and report; the holder of the duty adds up what all of them reported:
//
//	counter.Began(trueTime, "workshop")
//	book.Hear("entry-1/boot-7", counter.Windows)
//	counts := book.Sum(number)
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

// Number returns the window of an instant.
func Number(at clock.Instant, length clock.Duration) uint64 {
	return uint64(at) / uint64(max(length, 1))
}

// Began counts a request that began at an instant of true time.
func (c *Counter) Began(at clock.Instant, account string) {
	number := Number(at, c.Length)
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

// Book adds up the reports of all entry daemons. Its owner serialises the calls.
type Book struct {
	windows map[uint64]map[string]map[string]uint64
}

// Hear takes the windows that a run of an entry daemon reported.
func (b *Book) Hear(run string, windows []Window) {
	if b.windows == nil {
		b.windows = make(map[uint64]map[string]map[string]uint64)
	}
	for _, w := range windows {
		runs := b.windows[w.Number]
		if runs == nil {
			runs = make(map[string]map[string]uint64)
			b.windows[w.Number] = runs
		}
		runs[run] = w.Counts
	}
}

// Sum returns the counts of a window over all runs.
func (b *Book) Sum(number uint64) map[string]uint64 {
	total := make(map[string]uint64)
	for _, counts := range b.windows[number] {
		for account, n := range counts {
			total[account] += n
		}
	}
	return total
}

// Drop forgets the windows before number.
func (b *Book) Drop(number uint64) {
	maps.DeleteFunc(b.windows, func(n uint64, _ map[string]map[string]uint64) bool { return n < number })
}
