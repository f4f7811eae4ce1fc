package usage

import (
	"testing"

	"swiftbeam/pkg/clock"
)

// TestSumOverRunsAndRepeats loses and repeats reports, and restarts a daemon.
func TestSumOverRunsAndRepeats(t *testing.T) {
	first := Counter{Length: 5 * clock.Second}
	second := Counter{Length: 5 * clock.Second}
	book := &Aggregator{}
	at := clock.Instant(1_000_000)
	for i := range 100 {
		first.Count(at.Add(clock.Duration(i*100)), "a")
		if i%10 == 0 {
			book.Receive(at, "entry/1", first.Windows)
			book.Receive(at, "entry/1", first.Windows)
		}
	}
	book.Receive(at, "entry/1", first.Windows)
	second.Count(at, "a")
	book.Receive(at, "entry/2", second.Windows)
	if got := book.Sum(WindowNumber(at, 5*clock.Second))["a"]; got != 51 {
		t.Errorf("got %d, want 50 of the first run and 1 of the second", got)
	}
	book.DropBefore(WindowNumber(at, 5*clock.Second) + 1)
	if got := book.Sum(WindowNumber(at, 5*clock.Second))["a"]; got != 0 {
		t.Errorf("got %d of a dropped window, want 0", got)
	}
	for i := range 20 {
		first.Count(at.Add(clock.Duration(i)*5*clock.Second), "a")
	}
	if got := len(first.Windows); got > keepWindows {
		t.Errorf("got %d windows kept, want at most %d", got, keepWindows)
	}
}

// TestCompleteWaitsForThoseCutOff reports a window when a daemon that was cut off has reported
// again, and does not wait for one that has ended.
func TestCompleteWaitsForThoseCutOff(t *testing.T) {
	book := &Aggregator{}
	const ended = clock.Instant(100_000)
	book.Receive(ended.Add(-20*clock.Second), "crashed/1", nil)
	book.Receive(ended.Add(-2*clock.Second), "cut/1", nil)
	book.Receive(ended.Add(500), "well/1", nil)
	if book.Complete(ended) {
		t.Error("got complete, want to wait for the daemon that is cut off")
	}
	book.Receive(ended.Add(3*clock.Second), "cut/1", nil)
	book.Receive(ended.Add(-500), "stopped/1", nil)
	book.RemoveRun("stopped/1")
	if !book.Complete(ended) {
		t.Error("got incomplete, want complete without the daemon that crashed")
	}
}
