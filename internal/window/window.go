// Package window sums over a sliding window of time:
//
//	w := window.Sliding{Span: 8 * clock.Second}
//	w.Add(now, 12000)
//	spent := w.Sum(now)
//
// The window is kept in parts and reaches up to one part further back than its span, so that the
// sum is never below that of the span itself.
package window

import "swiftbeam/pkg/clock"

// parts divide the span of a window.
const parts = 16

// Sliding is one sum. Set Span before use; the owner serialises the calls.
type Sliding struct {
	Span clock.Duration

	sums [parts + 1]float64
	at   int64
}

// Add counts a quantity at the instant now.
func (w *Sliding) Add(now clock.Instant, quantity float64) {
	w.roll(now)
	w.sums[w.at%(parts+1)] += quantity
}

// Sum returns what was counted in the span before now.
func (w *Sliding) Sum(now clock.Instant) float64 {
	w.roll(now)
	total := 0.0
	for _, s := range w.sums {
		total += s
	}
	return total
}

func (w *Sliding) roll(now clock.Instant) {
	at := int64(now) / max(int64(w.Span)/parts, 1)
	if at-w.at > parts {
		w.sums = [parts + 1]float64{}
		w.at = at
	}
	for w.at < at {
		w.at++
		w.sums[w.at%(parts+1)] = 0
	}
}
