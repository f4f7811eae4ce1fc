package feed

import (
	"testing"

	"github.com/go-logr/logr"

	"swiftbeam/pkg/clock"
)

// TestClockSteps checks that WallClock ignores steps of the VM's clock that last some seconds, follows
// drift, and follows a step that lasts.
func TestClockSteps(t *testing.T) {
	monotonic := &clock.Manual{}
	monotonic.Set(1_000)
	day := clock.Duration(50_000)
	w := &WallClock{Clock: monotonic, Log: logr.Discard(), TimeOfDay: func() clock.Instant { return monotonic.Now().Add(day) }}
	want := clock.Duration(50_000)
	checkOffset := func(when string) {
		t.Helper()
		if got := w.Now().Sub(monotonic.Now()); got != want {
			t.Errorf("%s: got an offset of %v, want %v", when, got, want)
		}
	}
	checkOffset("at the start")
	for _, step := range []clock.Duration{4_000, -4_000} {
		day += step
		for range 50 {
			monotonic.Advance(100)
			checkOffset("during a step")
		}
		day -= step
		monotonic.Advance(100)
		checkOffset("after a step")
	}
	day -= 7
	want -= 7
	monotonic.Advance(100)
	checkOffset("after some drift")
	day += 2_000
	for range 400 {
		monotonic.Advance(100)
		w.Now()
	}
	want += 2_000
	checkOffset("after a step that lasts")
}
