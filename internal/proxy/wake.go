package proxy

import (
	"context"
	"time"

	"swiftbeam/pkg/clock"
)

// wake notices that the process was paused, after which an order of an operator may have been missed. It
// is not safe for concurrent use.
type wake struct {
	// tickedAt is when the process last showed that it runs; zero if nobody ticks.
	tickedAt clock.Instant
	// wokeAt is when a pause ended after which no core daemon was heard yet; zero if there is none.
	wokeAt clock.Instant
	// offsets are the differences between the time of day in the last event of each core daemon and the time at
	// which it arrived.
	offsets map[string]clock.Duration
}

const (
	// pausedTime is the time without a tick after which the process was paused.
	pausedTime = 650 * clock.Millisecond
	// maxHold bounds how long requests are held after a pause. Core daemons send an event at least every 400 ms;
	// without one in this time the daemon is cut off from them and serves with what it knows.
	maxHold = 600 * clock.Millisecond
	// freshTime is how much later than usual an event of a core daemon may arrive. Events that were sent during
	// the pause arrive later.
	freshTime = 200 * clock.Millisecond
)

// Tick records that the process runs.
func (w *wake) Tick(now clock.Instant) {
	if w.tickedAt > 0 && now.Sub(w.tickedAt) > pausedTime {
		w.wokeAt = now
	}
	w.tickedAt = now
}

// Hold returns how long a request must wait for a core daemon to be heard.
func (w *wake) Hold(now clock.Instant) clock.Duration {
	if w.tickedAt > 0 && now.Sub(w.tickedAt) > pausedTime {
		w.Tick(now)
	}
	if w.wokeAt == 0 {
		return 0
	}
	return max(maxHold-now.Sub(w.wokeAt), 0)
}

// Heard records an event that a core daemon sent at sentAt of its own time of day. It reports whether requests that were
// held may go on.
func (w *wake) Heard(now clock.Instant, address string, sentAt clock.Instant) bool {
	w.Hold(now)
	offset := sentAt.Sub(now)
	last, known := w.offsets[address]
	if w.wokeAt > 0 && known && offset < last-freshTime {
		return false
	}
	if w.offsets == nil {
		w.offsets = make(map[string]clock.Duration)
	}
	w.offsets[address] = offset
	held := w.wokeAt > 0
	w.wokeAt = 0
	return held
}

// Tick records that the process runs. After a gap, requests wait until a core daemon was heard.
func (p *Proxy) Tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake.Tick(p.Clock.Now())
}

// Heard records that an event of a core daemon has been applied.
func (p *Proxy) Heard(address string, sentAt clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wake.Heard(p.Clock.Now(), address, sentAt) && p.caughtUp != nil {
		close(p.caughtUp)
		p.caughtUp = nil
	}
}

// awaitCurrent returns when the daemon knows the orders of operators again after the process was paused, and after
// maxHold at the latest.
func (p *Proxy) awaitCurrent(ctx context.Context) {
	p.mu.Lock()
	hold := p.wake.Hold(p.Clock.Now())
	if hold <= 0 {
		p.mu.Unlock()
		return
	}
	if p.caughtUp == nil {
		p.caughtUp = make(chan struct{})
	}
	caughtUp := p.caughtUp
	p.mu.Unlock()
	timer := time.NewTimer(hold.Std())
	defer timer.Stop()
	select {
	case <-caughtUp:
	case <-timer.C:
	case <-ctx.Done():
	}
}
