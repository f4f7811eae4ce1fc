// Package detour decides how a request reaches a backend server when its entry daemon cannot connect to
// the servers: through another entry daemon, the helper, that can. For each service, a daemon judges
// its own path by the connections that it opens for its requests:
//
//	path.Failed(detour.Failure{Server: "i-1", StartedAt: start, At: now}, servers)
//	switch path.Choose(now, request) {
//	case detour.Direct:  // send to a server
//	case detour.Around:  // send to helpers.Choose(now, draw, tried)
//	case detour.Nowhere: // no daemon reaches the servers
//	}
//
// A single server that crashed, is frozen or overloaded does not show that the path is cut: other servers
// accept connections meanwhile. While the path is cut, the daemon opens a connection to one server at a
// time to find out when it is restored, and then returns to it gradually.
//
// Helpers come from the leader, which offers a few of the daemons that report to it when a daemon asks.
// A daemon that reaches its servers sends nothing for all this but its address, once to each leader.
package detour

import (
	"slices"

	"swiftbeam/pkg/clock"
)

//go:generate ../../.tools/stringer -type=State,Way -output=enums_string.go

// State is the state of a path.
type State uint8

const (
	Open      State = iota // connections can be opened, as far as known
	Cut                    // no server accepts connections
	Returning              // a server accepted a connection after a cut
)

// Way is how to send a request.
type Way uint8

const (
	Direct Way = iota
	// Around sends the request through a helper.
	Around
	// Nowhere means that helpers do not reach the servers either.
	Nowhere
)

const (
	// minUnreached is the number of different servers to fail, one after the other, before the path counts as cut.
	minUnreached = 2
	// evidenceTime is how long a failure counts: a few requests of a daemon that gets one in 3 s.
	evidenceTime = 8 * clock.Second
	// probeInterval is the time between two probes of a path, and between two trials of a service that no
	// daemon reaches. It doubles each time that a path which seemed restored is cut again, up to
	// maxProbeInterval.
	probeInterval    = 500 * clock.Millisecond
	maxProbeInterval = 4 * clock.Second
	// returnTime is the time over which requests return to a restored path, and minReturnShare the share
	// that returns at once.
	returnTime     = clock.Second
	minReturnShare = 0.1
	// confirmTime is the time after which requests that must not run twice return to a restored path although
	// no other request has confirmed it.
	confirmTime = 2 * clock.Second
	// maxUnreached bounds the recorded failures.
	maxUnreached = 8
)

// Failure is a connection that could not be opened, or that failed before the server sent anything.
type Failure struct {
	Server string
	// StartedAt is when the connection was opened or last carried a response.
	StartedAt clock.Instant
	At        clock.Instant
	// Silent is set if the server's VM did not respond, and unset if it refused or reset the connection.
	Silent bool
}

// Path is what an entry daemon knows of its own path to the servers of one service. The zero value is an
// open path. It is not safe for concurrent use.
type Path struct {
	State State
	// Since is the time of the last change of State.
	Since clock.Instant

	failures []Failure
	// cutFrom is when the first connection was started that led to the last cut, silent whether one of them got
	// no response.
	cutFrom clock.Instant
	silent  bool
	// confirmed is set in state Returning after a response on a connection that was opened since the cut.
	confirmed bool
	probedAt  clock.Instant
	// relapses counts the cuts that followed a probe without a response in between.
	relapses int
	// resumedAt is when the daemon's own process last resumed after a pause.
	resumedAt clock.Instant
	// nobody is set while helpers do not reach the servers either; the next trial is due at retryAt.
	nobody  bool
	retryAt clock.Instant
}

// Failed records a failure. Servers is the number of servers that the service has. It reports whether the
// path is considered cut from now on.
func (p *Path) Failed(f Failure, servers int) bool {
	// While the process was paused, connections timed out without a chance to succeed.
	if f.StartedAt < p.resumedAt {
		return false
	}
	p.failures = slices.DeleteFunc(p.failures, func(o Failure) bool {
		return o.Server == f.Server || f.At.Sub(o.At) > evidenceTime || o.StartedAt < p.resumedAt
	})
	if len(p.failures) < maxUnreached {
		p.failures = append(p.failures, f)
	}
	if p.State == Cut {
		p.silent = p.silent || f.Silent
		return false
	}
	switch {
	case p.State == Returning && !p.confirmed:
		p.relapses++
		p.probedAt = f.At
	case len(p.failures) < min(minUnreached, servers):
		return false
	default:
		p.probedAt = 0
	}
	p.enter(Cut, f.At)
	p.cutFrom = p.failures[0].StartedAt
	p.silent = slices.ContainsFunc(p.failures, func(o Failure) bool { return o.Silent })
	return true
}

// Connected records that a probe opened a connection. It reports whether State changed.
func (p *Path) Connected(now clock.Instant) bool {
	if p.State != Cut {
		return false
	}
	p.failures = p.failures[:0]
	if p.nobody {
		// It was the servers that nobody reached, so that there is no load to return gradually.
		p.enter(Open, now)
		return true
	}
	p.enter(Returning, now)
	return true
}

// Answered records a response on a connection that was opened at a time. It reports whether State changed.
func (p *Path) Answered(now, openedAt clock.Instant) bool {
	if p.State == Open && len(p.failures) == 0 || openedAt < p.evidenceSince() {
		return false
	}
	p.failures, p.relapses = p.failures[:0], 0
	switch p.State {
	case Cut:
		p.enter(Returning, now)
		p.confirmed = true
		return true
	case Returning:
		p.confirmed = true
		if now.Sub(p.Since) >= returnTime {
			p.enter(Open, now)
			return true
		}
	}
	return false
}

// evidenceSince returns the time from which an opened connection contradicts the failures.
func (p *Path) evidenceSince() clock.Instant {
	if p.State == Open && len(p.failures) > 0 {
		return p.failures[0].StartedAt
	}
	return p.cutFrom
}

// Resumed records that the daemon's own process was paused until now.
func (p *Path) Resumed(now clock.Instant) { p.resumedAt = now }

func (p *Path) enter(s State, now clock.Instant) {
	p.State, p.Since = s, now
	p.confirmed, p.nobody = false, false
}

// Suspect reports whether servers have failed and none has responded since.
func (p *Path) Suspect(now clock.Instant) bool {
	n := len(p.failures)
	return p.State == Cut || n > 0 && now.Sub(p.failures[n-1].At) <= evidenceTime
}

// Request is what matters of a request for its way.
type Request struct {
	// Repeatable is set if the request may run twice. Such requests test a restored path.
	Repeatable bool
	// Unreached is the number of servers that the request could not be sent to.
	Unreached int
	// Draw is a random number from 0 to 1.
	Draw float64
}

// Choose returns the way for a request that needs a new connection.
func (p *Path) Choose(now clock.Instant, r Request) Way {
	if p.nobody {
		if now.Before(p.retryAt) {
			return Nowhere
		}
		p.retryAt = now.Add(probeInterval)
		return Around
	}
	switch {
	case p.State == Cut, r.Unreached >= minUnreached:
		return Around
	case p.State == Returning:
		restored := now.Sub(p.Since)
		share := max(minReturnShare, float64(restored)/float64(returnTime))
		if !r.Repeatable && !p.confirmed && restored < confirmTime || r.Draw >= share {
			return Around
		}
	}
	return Direct
}

// TrustedSince returns the time since which an idle connection must have carried a response to be used. Idle
// connections to VMs that do not respond show no error yet.
func (p *Path) TrustedSince() clock.Instant {
	if p.State != Cut || !p.silent {
		return 0
	}
	return p.cutFrom
}

// ProbeDue reports whether a probe is due: an attempt to open a connection to one server.
func (p *Path) ProbeDue(now clock.Instant) bool {
	interval := min(probeInterval<<min(p.relapses, 3), maxProbeInterval)
	if p.State != Cut || p.probedAt > 0 && now.Sub(p.probedAt) < interval {
		return false
	}
	p.probedAt = now
	return true
}

// NobodyReached records that helpers did not reach the servers either. It reports whether this was not known.
func (p *Path) NobodyReached(now clock.Instant) bool {
	if p.State != Cut {
		return false
	}
	known := p.nobody
	p.nobody, p.retryAt = true, now.Add(probeInterval)
	return !known
}

// Helped records that a helper reached a server.
func (p *Path) Helped() { p.nobody = false }
