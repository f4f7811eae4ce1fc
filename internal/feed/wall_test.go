package feed

import (
	"testing"

	"github.com/go-logr/logr"

	"swiftbeam/pkg/clock"
)

// TestStepsOfTheTimeOfDay steps a clock back and forth for some seconds, which changes nothing, and
// then for good, which is followed in the end.
func TestStepsOfTheTimeOfDay(t *testing.T) {
	steady := &clock.Manual{}
	steady.Set(1_000)
	day := clock.Duration(50_000)
	w := &WallClock{Clock: steady, Log: logr.Discard(), TimeOfDay: func() clock.Instant { return steady.Now().Add(day) }}
	want := clock.Duration(50_000)
	check := func(what string) {
		t.Helper()
		if got := w.Now().Sub(steady.Now()); got != want {
			t.Errorf("%s: got an offset of %v, want %v", what, got, want)
		}
	}
	check("at the start")
	for _, step := range []clock.Duration{4_000, -4_000} {
		day += step
		for range 50 {
			steady.Advance(100)
			check("during a step")
		}
		day -= step
		steady.Advance(100)
		check("after a step")
	}
	day -= 7
	want -= 7
	steady.Advance(100)
	check("after some drift")
	day += 2_000
	for range 400 {
		steady.Advance(100)
		w.Now()
	}
	want += 2_000
	check("after a step that lasts")
}
