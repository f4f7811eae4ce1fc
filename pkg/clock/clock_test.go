package clock

import (
	"math"
	"testing"
	"time"
)

// TestNumbersBeyondADurationAreLimited guards against conversions whose result depends on the processor.
func TestNumbersBeyondADurationAreLimited(t *testing.T) {
	tests := []struct {
		n    float64
		want Duration
	}{
		{0, 0}, {1.9, 1}, {-1.9, -1}, {1e300, MaxDuration}, {-1e300, -MaxDuration}, {math.Inf(1), MaxDuration}, {math.Inf(-1), -MaxDuration},
		{math.NaN(), 0}, {math.MaxInt64, MaxDuration},
	}
	for _, test := range tests {
		if got := FromMilliseconds(test.n); got != test.want {
			t.Errorf("FromMilliseconds(%g): got %v, want %v", test.n, got, test.want)
		}
	}
	now := Start().Now()
	if end := now.Add(MaxDuration); !end.After(now) || MaxDuration.Std() <= 0 {
		t.Errorf("now plus MaxDuration: got %d with a standard duration of %v, want later and above zero", end, MaxDuration.Std())
	}
}

// TestSuspendedTimeCounts guards against leases that a VM prolongs by the time for which it was suspended.
func TestSuspendedTimeCounts(t *testing.T) {
	suspended, ok := 7*time.Second, true
	r := start(func() (time.Duration, bool) { return suspended, ok })
	r.Refresh()
	before := r.Now()
	if late := before.Sub(FromTime(time.Now())); late > Second {
		t.Errorf("got a clock %v ahead, want one that leaves out suspensions before the start", late)
	}
	suspended += 5 * time.Second
	r.Refresh()
	after := r.Now()
	if got := after.Sub(before); got < 5*Second || got > 6*Second {
		t.Errorf("got %v after a suspension of 5 s", got)
	}
	// The readings of the two clocks are some microseconds apart.
	suspended -= 30 * time.Microsecond
	r.Refresh()
	if got := r.Now(); got.Before(after) {
		t.Errorf("got the time %v after %v", got, after)
	}
	ok, suspended = false, 0
	r.Refresh()
	if got := r.Now(); got.Before(after) {
		t.Errorf("without a clock: got the time %v after %v", got, after)
	}
}

// TestClocksOfTheSystem checks that a clock that was just started and refreshed shows the time of day.
func TestClocksOfTheSystem(t *testing.T) {
	if _, ok := suspendedTime(); !ok {
		t.Fatal("the system has no boot clock")
	}
	r := Start()
	r.Refresh()
	if got := r.Now().Sub(FromTime(time.Now())); got < -Second || got > Second {
		t.Errorf("got a difference of %v to the time of day", got)
	}
}
