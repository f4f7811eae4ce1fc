package usage

import (
	"testing"

	"swiftbeam/pkg/clock"
)

// TestSumOverRunsAndRepeats loses and repeats reports and restarts a daemon. Each request must be
// counted once.
func TestSumOverRunsAndRepeats(t *testing.T) {
	first := Counter{Length: 5 * clock.Second}
	second := Counter{Length: 5 * clock.Second}
	aggregator := &Aggregator{}
	at := clock.Instant(1_000_000)
	for i := range 100 {
		first.Count(at.Add(clock.Duration(i*100)), "a")
		if i%10 == 0 {
			aggregator.Receive(at, "entry/1", first.Windows)
			aggregator.Receive(at, "entry/1", first.Windows)
		}
	}
	aggregator.Receive(at, "entry/1", first.Windows)
	second.Count(at, "a")
	aggregator.Receive(at, "entry/2", second.Windows)
	if got := aggregator.Sum(WindowNumber(at, 5*clock.Second))["a"]; got != 51 {
		t.Errorf("got %d requests, want 50 of the first run and 1 of the second", got)
	}
	aggregator.DropBefore(WindowNumber(at, 5*clock.Second) + 1)
	if got := aggregator.Sum(WindowNumber(at, 5*clock.Second))["a"]; got != 0 {
		t.Errorf("got %d requests in a dropped window, want 0", got)
	}
	for i := range 20 {
		first.Count(at.Add(clock.Duration(i)*5*clock.Second), "a")
	}
	if got := len(first.Windows); got > keepWindows {
		t.Errorf("got %d windows kept, want at most %d", got, keepWindows)
	}
}

// TestCompleteWaitsForPartitionedDaemons checks that a window is complete only when a daemon that was
// partitioned has reported again, and that daemons that crashed or stopped are not waited for.
func TestCompleteWaitsForPartitionedDaemons(t *testing.T) {
	aggregator := &Aggregator{}
	const ended = clock.Instant(100_000)
	aggregator.Receive(ended.Add(-20*clock.Second), "crashed/1", nil)
	aggregator.Receive(ended.Add(-2*clock.Second), "cut/1", nil)
	aggregator.Receive(ended.Add(500), "well/1", nil)
	if aggregator.Complete(ended) {
		t.Error("got complete, want incomplete until the partitioned daemon reports")
	}
	aggregator.Receive(ended.Add(3*clock.Second), "cut/1", nil)
	aggregator.Receive(ended.Add(-500), "stopped/1", nil)
	aggregator.RemoveRun("stopped/1")
	if !aggregator.Complete(ended) {
		t.Error("got incomplete, want complete without the crashed and the stopped daemon")
	}
}
