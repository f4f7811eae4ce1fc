package proxy

import (
	"context"
	"slices"
	"time"

	"swiftbeam/internal/place"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// SetEvacuation applies a change of the evacuation of an availability zone if it is newer than the last
// one of that zone, and reports whether it was.
func (p *Proxy) SetEvacuation(e state.Evacuation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, known := p.evacuations[e.Zone]; known && old.Revision >= e.Revision {
		return false
	}
	if p.evacuations == nil {
		p.evacuations = make(map[string]state.Evacuation)
	}
	p.evacuations[e.Zone] = e
	if !e.Evacuated {
		p.zoneReturns(e.Zone)
	}
	return true
}

// EvacuatedZones returns the names of the evacuated zones in order.
func (p *Proxy) EvacuatedZones() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evacuatedZones()
}

// evacuatedZones is EvacuatedZones for callers that hold the lock.
func (p *Proxy) evacuatedZones() []string {
	var zones []string
	for _, e := range p.evacuations {
		if e.Evacuated {
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// isEvacuated reports whether nothing may be sent to a server because of its zone. The caller holds the lock.
func (p *Proxy) isEvacuated(s *place.Server) bool { return p.evacuations[s.Zone].Evacuated }

// avoids reports whether the request must not be sent to a server because of its zone: this daemon or the one that the
// request came from knows of the evacuation. The caller holds the lock.
func (x *exchange) avoids(s *place.Server) bool {
	return x.proxy.isEvacuated(s) || x.hop != nil && slices.Contains(x.hop.AvoidZones, s.Zone)
}

// allEvacuated reports whether the service has servers, and all are in evacuated zones.
func (x *exchange) allEvacuated() bool {
	p := x.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	servers := p.serviceState(x.service).Servers
	return len(servers) > 0 && !slices.ContainsFunc(servers, func(s *place.Server) bool { return !x.avoids(s) })
}

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
