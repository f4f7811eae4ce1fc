package proxy

import (
	"testing"

	"swiftbeam/pkg/clock"
)

// TestRequestsWaitAfterAPause guards against requests that a daemon sends after it was frozen, to a zone that was
// evacuated meanwhile.
func TestRequestsWaitAfterAPause(t *testing.T) {
	const skew = 5 * clock.Second
	w := &wake{}
	now := clock.Instant(10_000)
	if w.Hold(now) != 0 {
		t.Error("without ticks: got a wait, want none")
	}
	tick := func(n int) {
		for range n {
			now = now.Add(250)
			w.Tick(now)
			w.Heard(now, "core-0", now.Add(skew))
			if got := w.Hold(now.Add(200)); got != 0 {
				t.Errorf("while the process runs: got a wait of %v, want none", got)
			}
		}
	}
	tick(4)
	frozenAt := now
	now = now.Add(3 * clock.Second)
	if got := w.Hold(now); got != maxHold {
		t.Errorf("after a pause: got a wait of %v, want %v", got, maxHold)
	}
	w.Heard(now.Add(1), "core-0", frozenAt.Add(skew+400))
	if got, want := w.Hold(now.Add(1)), maxHold-1; got != want {
		t.Errorf("after an event that was sent during the pause: got a wait of %v, want %v", got, want)
	}
	if !w.Heard(now.Add(20), "core-0", now.Add(skew+19)) || w.Hold(now.Add(20)) != 0 {
		t.Error("after an event that was sent after the pause: got a wait, want none")
	}
	w.Tick(now)
	tick(4)
	now = now.Add(3 * clock.Second)
	w.Tick(now)
	if got := w.Hold(now.Add(maxHold)); got != 0 {
		t.Errorf("while no core daemon is heard: got a wait of %v after %v, want none", got, maxHold)
	}
	if !w.Heard(now.Add(5), "core-1", 77) {
		t.Error("the first event of a core daemon contains the whole state: got no end of the wait, want one")
	}
}
