// Package lease decides whether a daemon may accept requests and start version moves, from its
// contact with the quorum and with the other daemons.
//
//	standing := lease.Decide(now, lease.Inputs{ContactAt: contact, Lease: 3 * clock.Second, ...})
//	if !standing.Accepts() {
//		// refuse as not run; readiness fails
//	}
package lease

import "swiftbeam/pkg/clock"

//go:generate ../../.tools/stringer -type=Status -output=status_string.go

// Status is what a daemon may do.
type Status uint8

// Statuses of a daemon.
const (
	CatchingUp Status = iota // it has not applied what was committed when it started
	Leased                   // in contact with the quorum
	Leaderless               // no quorum, but most daemons see each other
	Isolated                 // cut off from the quorum and from most daemons
	Draining                 // it is being stopped
)

// Inputs are what the decision depends on.
type Inputs struct {
	CaughtUp  bool
	Draining  bool
	ContactAt clock.Instant
	Lease     clock.Duration
	// Daemons is the number of all daemons and Live the number heard lately, both with this one.
	Daemons int
	Live    int
}

// Decide returns the standing at the instant now.
func Decide(now clock.Instant, in Inputs) Status {
	switch {
	case in.Draining:
		return Draining
	case !in.CaughtUp:
		return CatchingUp
	case now.Sub(in.ContactAt) <= in.Lease:
		return Leased
	case 2*in.Live > in.Daemons:
		return Leaderless
	}
	return Isolated
}

// Accepts reports whether new requests may be accepted.
func (s Status) Accepts() bool { return s == Leased || s == Leaderless }

// AllowsVersionMoves reports whether traffic may go to versions that are not settled.
func (s Status) AllowsVersionMoves() bool { return s == Leased }
