package window

import (
	"testing"

	"swiftbeam/pkg/clock"
)

// TestSumIsNeverBelowTheSpan compares with exact sums over the span and over the span plus one bucket,
// with quantities at uneven times and a gap of 30 s.
func TestSumIsNeverBelowTheSpan(t *testing.T) {
	w := Sliding{Span: 8 * clock.Second}
	type item struct {
		at       clock.Instant
		quantity float64
	}
	var items []item
	now := clock.Instant(5_000)
	for i := range 3000 {
		now += clock.Instant(i*37%90 + 1)
		if i == 1500 {
			now += 30_000
		}
		quantity := float64(i%7 + 1)
		w.Add(now, quantity)
		items = append(items, item{now, quantity})
		exact, withExtraBucket := 0.0, 0.0
		for _, it := range items {
			if now-it.at < 8_000 {
				exact += it.quantity
			}
			if now-it.at <= 8_500 {
				withExtraBucket += it.quantity
			}
		}
		if got := w.Sum(now); got < exact || got > withExtraBucket {
			t.Fatalf("at %d: got %.0f, want between %.0f and %.0f", now, got, exact, withExtraBucket)
		}
	}
}
