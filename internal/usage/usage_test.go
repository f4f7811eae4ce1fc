package usage

import (
	"testing"

	"swiftbeam/pkg/clock"
)

// TestSumOverRunsAndRepeats loses and repeats reports, and restarts a daemon.
func TestSumOverRunsAndRepeats(t *testing.T) {
	first := Counter{Length: 5 * clock.Second}
	second := Counter{Length: 5 * clock.Second}
	book := &Book{}
	at := clock.Instant(1_000_000)
	for i := range 100 {
		first.Began(at.Add(clock.Duration(i*100)), "a")
		if i%10 == 0 {
			book.Hear("entry/1", first.Windows)
			book.Hear("entry/1", first.Windows)
		}
	}
	book.Hear("entry/1", first.Windows)
	second.Began(at, "a")
	book.Hear("entry/2", second.Windows)
	if got := book.Sum(Number(at, 5*clock.Second))["a"]; got != 51 {
		t.Errorf("got %d, want 50 of the first run and 1 of the second", got)
	}
	book.Drop(Number(at, 5*clock.Second) + 1)
	if got := book.Sum(Number(at, 5*clock.Second))["a"]; got != 0 {
		t.Errorf("got %d of a dropped window, want 0", got)
	}
	for i := range 20 {
		first.Began(at.Add(clock.Duration(i)*5*clock.Second), "a")
	}
	if got := len(first.Windows); got > keepWindows {
		t.Errorf("got %d windows kept, want at most %d", got, keepWindows)
	}
}
