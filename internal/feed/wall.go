package feed

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"swiftbeam/pkg/clock"
)

const (
	// stepTimeout is how long a step of the VM's time of day must last before WallClock follows it;
	// a clock that is set wrongly for a while is corrected sooner.
	stepTimeout = 30 * clock.Second
	// minStep is the smallest change of the offset that counts as a step and not as clock drift.
	minStep = 100 * clock.Millisecond
)

// WallClock is this VM's time of day, smoothed over short steps of the VM's clock. The daemons
// thus agree on the time also while many of their clocks are wrong.
type WallClock struct {
	Clock clock.Clock
	Log   logr.Logger
	// TimeOfDay reads the VM's clock; nil means time.Now.
	TimeOfDay func() clock.Instant

	mu        sync.Mutex
	hasOffset bool
	offset    clock.Duration
	// steppedAt is the time at which the VM's clock departed from offset; zero while it agrees.
	steppedAt clock.Instant
}

// Now returns the smoothed time of day.
func (w *WallClock) Now() clock.Instant {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Now()
	timeOfDay := clock.FromTime(time.Now())
	if w.TimeOfDay != nil {
		timeOfDay = w.TimeOfDay()
	}
	currentOffset := timeOfDay.Sub(now)
	step := currentOffset - w.offset
	switch {
	case !w.hasOffset || step < minStep && step > -minStep:
		w.hasOffset, w.offset, w.steppedAt = true, currentOffset, 0
	case w.steppedAt == 0:
		w.steppedAt = now
		w.Log.Info("step of the VM's time of day ignored", "stepMs", int64(step))
	case now.Sub(w.steppedAt) >= stepTimeout:
		w.Log.Info("step of the VM's time of day followed", "stepMs", int64(step), "afterMs", int64(now.Sub(w.steppedAt)))
		w.offset, w.steppedAt = currentOffset, 0
	}
	return now.Add(w.offset)
}
