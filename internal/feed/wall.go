package feed

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"swiftbeam/pkg/clock"
)

const (
	// stepPatience is how long a step of the VM's time of day must last before it is believed; steps
	// of clocks that are set wrongly for a while are shorter.
	stepPatience = 30 * clock.Second
	// stepLeast is the difference that counts as a step instead of the drift of a clock.
	stepLeast = 100 * clock.Millisecond
)

// WallClock is this VM's time of day without its short steps, so that the daemons go on agreeing on the
// time while many of their clocks are wrong.
type WallClock struct {
	Clock clock.Clock
	Log   logr.Logger
	// TimeOfDay reads the VM's clock; nil means time.Now.
	TimeOfDay func() clock.Instant

	mu     sync.Mutex
	known  bool
	offset clock.Duration
	// steppedAt is the instant at which the clock left offset; zero while it has not.
	steppedAt clock.Instant
}

// Now returns the time of day.
func (w *WallClock) Now() clock.Instant {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Now()
	day := clock.FromTime(time.Now())
	if w.TimeOfDay != nil {
		day = w.TimeOfDay()
	}
	seen := day.Sub(now)
	step := seen - w.offset
	switch {
	case !w.known || step < stepLeast && step > -stepLeast:
		w.known, w.offset, w.steppedAt = true, seen, 0
	case w.steppedAt == 0:
		w.steppedAt = now
		w.Log.Info("time of day stepped", "stepMs", int64(step))
	case now.Sub(w.steppedAt) >= stepPatience:
		w.Log.Info("time of day follows its step", "stepMs", int64(step), "afterMs", int64(now.Sub(w.steppedAt)))
		w.offset, w.steppedAt = seen, 0
	}
	return now.Add(w.offset)
}
