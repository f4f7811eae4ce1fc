package window

import (
	"testing"

	"swiftbeam/pkg/clock"
)

// TestSumIsNeverBelowTheSpan compares with an exact sum at uneven times.
func TestSumIsNeverBelowTheSpan(t *testing.T) {
	w := Sliding{Span: 8 * clock.Second}
	type item struct {
		at clock.Instant
		n  float64
	}
	var all []item
	now := clock.Instant(5_000)
	for i := range 3000 {
		now += clock.Instant(i*37%90 + 1)
		if i == 1500 {
			now += 30_000
		}
		n := float64(i%7 + 1)
		w.Add(now, n)
		all = append(all, item{now, n})
		exact, wide := 0.0, 0.0
		for _, it := range all {
			if now-it.at < 8_000 {
				exact += it.n
			}
			if now-it.at <= 8_500 {
				wide += it.n
			}
		}
		if got := w.Sum(now); got < exact || got > wide {
			t.Fatalf("at %d: got %.0f, want between %.0f and %.0f", now, got, exact, wide)
		}
	}
}
