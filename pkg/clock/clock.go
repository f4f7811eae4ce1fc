// Package clock holds instants and durations in whole milliseconds.
//
// Decision code receives instants as values and never reads a clock itself:
//
//	now := c.Now()
//	if now.After(lease) {
//		// the lease has run out
//	}
package clock

import (
	"strconv"
	"sync/atomic"
	"time"
)

// Instant is a point in time in milliseconds since the Unix epoch.
type Instant int64

// Duration is a span of time in milliseconds.
type Duration int64

// Spans of time.
const (
	Millisecond Duration = 1
	Second      Duration = 1000
	Minute      Duration = 60 * Second
	Hour        Duration = 60 * Minute
	Day         Duration = 24 * Hour
)

// Clock tells the present instant.
type Clock interface {
	Now() Instant
}

// Add returns i moved by d.
func (i Instant) Add(d Duration) Instant { return i + Instant(d) }

// Sub returns the span from o to i.
func (i Instant) Sub(o Instant) Duration { return Duration(i - o) }

// After reports whether i is later than o.
func (i Instant) After(o Instant) bool { return i > o }

// Before reports whether i is earlier than o.
func (i Instant) Before(o Instant) bool { return i < o }

// Time returns i as a standard time in UTC.
func (i Instant) Time() time.Time { return time.UnixMilli(int64(i)).UTC() }

// String formats i as RFC 3339 with milliseconds.
func (i Instant) String() string { return i.Time().Format("2006-01-02T15:04:05.000Z07:00") }

// Std returns d as a standard duration.
func (d Duration) Std() time.Duration { return time.Duration(d) * time.Millisecond }

// String formats d in milliseconds.
func (d Duration) String() string { return strconv.FormatInt(int64(d), 10) + "ms" }

// FromTime returns the instant of t, rounded down to a millisecond.
func FromTime(t time.Time) Instant { return Instant(t.UnixMilli()) }

// FromStd returns d rounded down to a millisecond.
func FromStd(d time.Duration) Duration { return Duration(d / time.Millisecond) }

// Real advances with the monotonic clock of the process, so that a step of the wall clock
// after Start neither shortens nor extends a lease.
type Real struct {
	start time.Time
}

// Start returns a Real anchored at the present wall time.
func Start() *Real { return &Real{start: time.Now()} }

// Now returns the present instant.
func (r *Real) Now() Instant {
	return FromTime(r.start.Add(time.Since(r.start)))
}

// Manual is a clock moved by its owner. The zero value stands at the epoch.
type Manual struct {
	now atomic.Int64
}

// Now returns the instant set last.
func (m *Manual) Now() Instant { return Instant(m.now.Load()) }

// Advance moves the clock by d.
func (m *Manual) Advance(d Duration) { m.now.Add(int64(d)) }

// Set moves the clock to i.
func (m *Manual) Set(i Instant) { m.now.Store(int64(i)) }
