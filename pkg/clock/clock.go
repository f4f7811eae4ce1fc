// Package clock provides instants and durations in whole milliseconds, and clocks.
//
// Code that makes decisions takes the current instant as an argument and does not read a clock, so that
// tests and simulations control time:
//
//	now := c.Now()
//	if now.After(lease) {
//		// the lease has expired
//	}
package clock

import (
	"strconv"
	"sync/atomic"
	"time"
)

// Instant is a point in time in milliseconds since the Unix epoch.
type Instant int64

// Duration is a length of time in milliseconds.
type Duration int64

// Common durations.
const (
	Millisecond Duration = 1
	Second      Duration = 1000
	Minute      Duration = 60 * Second
	Hour        Duration = 60 * Minute
	Day         Duration = 24 * Hour
)

// MaxDuration is the longest duration that FromMilliseconds returns. Neither its time.Duration nor its sum with
// a present instant overflows.
const MaxDuration = 36_500 * Day

// Clock returns the current instant.
type Clock interface {
	Now() Instant
}

// Add returns the instant d after i.
func (i Instant) Add(d Duration) Instant { return i + Instant(d) }

// Sub returns the duration from o to i.
func (i Instant) Sub(o Instant) Duration { return Duration(i - o) }

// After reports whether i is later than o.
func (i Instant) After(o Instant) bool { return i > o }

// Before reports whether i is earlier than o.
func (i Instant) Before(o Instant) bool { return i < o }

// Time returns i as a time.Time in UTC.
func (i Instant) Time() time.Time { return time.UnixMilli(int64(i)).UTC() }

// String formats i in RFC 3339 with milliseconds, in UTC.
func (i Instant) String() string { return i.Time().Format("2006-01-02T15:04:05.000Z07:00") }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) * time.Millisecond }

// String formats d in milliseconds.
func (d Duration) String() string { return strconv.FormatInt(int64(d), 10) + "ms" }

// FromTime returns the instant of t, rounded down to a millisecond.
func FromTime(t time.Time) Instant { return Instant(t.UnixMilli()) }

// FromStd returns d in milliseconds, rounded towards zero.
func FromStd(d time.Duration) Duration { return Duration(d / time.Millisecond) }

// FromMilliseconds returns a number of milliseconds as a duration, rounded towards zero and limited to
// MaxDuration in both directions; NaN is zero. A plain conversion of other numbers depends on the processor.
func FromMilliseconds(n float64) Duration {
	if n != n {
		return 0
	}
	return Duration(min(max(n, -float64(MaxDuration)), float64(MaxDuration)))
}

// Real is the clock of a process. It starts at the time of day and advances with the monotonic clock, so
// that a later step of the wall clock neither shortens nor extends a lease. The monotonic clock leaves out the time for which
// the VM is suspended; Refresh adds it.
type Real struct {
	start time.Time
	// suspended is the time for which the VM was suspended since the start.
	suspended atomic.Int64
	// atStart is the difference of the system's clocks at the start, difference returns the present one.
	atStart    time.Duration
	difference func() (time.Duration, bool)
}

// Refresher is a clock that misses some time until Refresh is called.
type Refresher interface {
	Refresh()
}

// Refresh calls the Refresh method of a clock that has one.
func Refresh(c Clock) {
	if r, ok := c.(Refresher); ok {
		r.Refresh()
	}
}

// Start returns a Real that starts at the current time of day.
func Start() *Real { return start(suspendedTime) }

func start(difference func() (time.Duration, bool)) *Real {
	r := &Real{start: time.Now(), difference: difference}
	// A pause between the readings of the two clocks makes their difference too small.
	for range 3 {
		d, _ := difference()
		r.atStart = max(r.atStart, d)
	}
	return r
}

// Now returns the current instant.
func (r *Real) Now() Instant {
	return FromTime(r.start.Add(time.Since(r.start) + time.Duration(r.suspended.Load())))
}

// Refresh adds the time for which the VM was suspended since the last call. The clock does not go back.
func (r *Real) Refresh() {
	d, ok := r.difference()
	if !ok {
		return
	}
	for now := int64(d - r.atStart); ; {
		last := r.suspended.Load()
		if now <= last || r.suspended.CompareAndSwap(last, now) {
			return
		}
	}
}

// Manual is a clock that is set explicitly, for tests and simulations. The zero value is at the Unix
// epoch. It is safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// Now returns the instant to which the clock is set.
func (m *Manual) Now() Instant { return Instant(m.now.Load()) }

// Advance moves the clock forward by d.
func (m *Manual) Advance(d Duration) { m.now.Add(int64(d)) }

// Set sets the clock to i.
func (m *Manual) Set(i Instant) { m.now.Store(int64(i)) }
