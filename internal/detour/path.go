// Package detour decides how a request reaches a backend server when its entry daemon cannot connect to
// the servers: through another entry daemon, the helper, that can. For each service, a daemon judges
// its own path by the connections that it opens for its requests:
//
//	path.Failed(detour.Failure{Server: "i-1", StartedAt: start, At: now}, servers)
//	path.Opened(now)
//	switch path.Choose(now, request) {
//	case detour.Direct:  // send to a server
//	case detour.Around:  // send to helpers.Choose(now, draw, tried)
//	case detour.Nowhere: // no daemon reaches the servers
//	}
//
// Servers that crashed, are frozen or overloaded do not show that the path is cut: others accept connections or
// respond meanwhile. While the path is cut, the daemon opens a connection to one server at a
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
	Cut                    // servers accept no connections
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
	// daemon reaches. The first probes follow each other after firstProbeInterval, which doubles, as the servers
	// that failed may have ended. It doubles further each time that a path which seemed restored is cut again,
	// up to maxProbeInterval.
	probeInterval      = 500 * clock.Millisecond
	firstProbeInterval = 50 * clock.Millisecond
	maxProbeInterval   = 4 * clock.Second
	// returnTime is the time over which requests return to a restored path, and minReturnShare the share
	// that returns at once. After a shorter cut all return at once.
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
	// Broke is set if the connection opened, and broke with its first request.
	Broke bool
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
	// probes counts the probes of the present cut, relapses the cuts that followed a probe without a response in
	// between.
	probes   int
	relapses int
	// resumedAt is when the daemon's own process last resumed after a pause.
	resumedAt clock.Instant
	// nobody is set while helpers do not reach the servers either; the next trial is due at retryAt.
	nobody  bool
	retryAt clock.Instant
	// helpedAt is when helpers reached the servers again after that.
	helpedAt clock.Instant
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
	relapse := p.State == Returning && !p.confirmed && f.Broke
	if !relapse && len(p.failures) < min(minUnreached, servers) {
		return false
	}
	if relapse {
		p.relapses++
	}
	p.enter(Cut, f.At)
	p.cutFrom = p.failures[0].StartedAt
	p.silent = slices.ContainsFunc(p.failures, func(o Failure) bool { return o.Silent })
	return true
}

// Ended records that a server refuses connections after one to it opened and broke. If it has ended, that shows nothing
// of the path; if the path is cut, a probe does not succeed.
func (p *Path) Ended(server string) {
	n := len(p.failures)
	p.failures = slices.DeleteFunc(p.failures, func(o Failure) bool { return o.Broke && o.Server == server })
	if len(p.failures) < n && p.State == Cut {
		p.probes, p.relapses = 0, max(p.relapses-1, 0)
	}
}

// Opened records that a connection was opened. It reports whether State changed.
func (p *Path) Opened(now clock.Instant) bool {
	// A connection that opened and broke is not contradicted by one that opened.
	p.failures = slices.DeleteFunc(p.failures, func(o Failure) bool { return !o.Broke })
	if p.State != Cut {
		return false
	}
	// If helpers did not reach the servers either, it was not this daemon's path, and there is no load to return
	// gradually.
	wasNobody := p.nobody || p.helpedAt > p.Since && now.Sub(p.helpedAt) <= 2*probeInterval
	if wasNobody || len(p.failures) == 0 && now.Sub(p.Since) < returnTime {
		p.enter(Open, now)
	} else {
		p.enter(Returning, now)
	}
	// Another cut needs failures of its own.
	p.failures = p.failures[:0]
	return true
}

// Answered records a response on a connection that was opened at a time. It reports whether State changed.
func (p *Path) Answered(now, openedAt clock.Instant) bool {
	if p.State == Open && len(p.failures) == 0 {
		return false
	}
	if openedAt < p.evidenceSince() {
		return p.answeredOverOldConnection(now)
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

// answeredOverOldConnection records a response on a connection that was open before the failures. It tells a path
// that is cut from servers that refuse connections because they ended, but not from a path on which new connections
// get no response.
func (p *Path) answeredOverOldConnection(now clock.Instant) bool {
	p.failures = slices.DeleteFunc(p.failures, func(o Failure) bool { return !o.Silent && !o.Broke })
	if p.State == Cut && !p.silent && len(p.failures) == 0 {
		p.enter(Open, now)
		return true
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
	p.confirmed, p.nobody, p.probes = false, false, 0
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
	interval := min(firstProbeInterval<<min(p.probes, 4), probeInterval)
	if p.relapses > 0 {
		interval = min(probeInterval<<min(p.relapses, 3), maxProbeInterval)
	}
	if p.State != Cut || (p.probes > 0 || p.relapses > 0) && now.Sub(p.probedAt) < interval {
		return false
	}
	p.probedAt = now
	p.probes++
	return true
}

// HasFailed reports whether a server has failed and no connection was opened since. Probes prefer others.
func (p *Path) HasFailed(server string) bool {
	return slices.ContainsFunc(p.failures, func(f Failure) bool { return f.Server == server })
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
func (p *Path) Helped(now clock.Instant) {
	if p.nobody {
		p.nobody, p.helpedAt = false, now
	}
}
