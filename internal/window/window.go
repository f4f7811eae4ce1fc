// Package window computes sums over a sliding window of time:
//
//	w := window.Sliding{Span: 8 * clock.Second}
//	w.Add(now, 12000)
//	spent := w.Sum(now)
//
// The window is divided into buckets and reaches up to one bucket further back than its span, so that
// the sum is never below the exact sum over the span.
package window

import "swiftbeam/pkg/clock"

// buckets is the number of buckets in the span of a window.
const buckets = 16

// Sliding is a sum over a sliding window. Set Span before use. It is not safe for concurrent use.
type Sliding struct {
	Span clock.Duration

	sums [buckets + 1]float64
	last int64
}

// Add adds a quantity at the instant now.
func (w *Sliding) Add(now clock.Instant, quantity float64) {
	w.advance(now)
	w.sums[w.last%(buckets+1)] += quantity
}

// Sum returns the sum of what was added in the span before now.
func (w *Sliding) Sum(now clock.Instant) float64 {
	w.advance(now)
	total := 0.0
	for _, s := range w.sums {
		total += s
	}
	return total
}

// Parts returns what was added in each bucket, the latest first. The first bucket lasts until now, and each of the others
// ends a bucket's length before the one that precedes it in the list.
func (w *Sliding) Parts(now clock.Instant) []float64 {
	w.advance(now)
	parts := make([]float64, 0, len(w.sums))
	for i := range int64(len(w.sums)) {
		parts = append(parts, w.sums[(w.last-i+buckets+1)%(buckets+1)])
	}
	return parts
}

// PartLength returns the length of a bucket of a window.
func PartLength(span clock.Duration) clock.Duration { return span / buckets }

// Merge adds all that was added to another window with the same span.
func (w *Sliding) Merge(now clock.Instant, other *Sliding) {
	w.advance(now)
	other.advance(now)
	for i, s := range other.sums {
		w.sums[i] += s
	}
}

func (w *Sliding) advance(now clock.Instant) {
	current := int64(now) / max(int64(w.Span)/buckets, 1)
	if current-w.last > buckets {
		w.sums = [buckets + 1]float64{}
		w.last = current
	}
	for w.last < current {
		w.last++
		w.sums[w.last%(buckets+1)] = 0
	}
}
