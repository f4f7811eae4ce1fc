// Package lease decides whether a daemon may accept requests and send traffic to versions that are
// not settled. It depends on the daemon's contact with the quorum and with the other daemons.
//
//	status := lease.Decide(now, lease.Inputs{ContactAt: contact, Lease: 3 * clock.Second, ...})
//	if !status.Accepts() {
//		// Refuse the request as not run; the readiness check fails.
//	}
package lease

import "swiftbeam/pkg/clock"

//go:generate ../../.tools/stringer -type=Status -output=status_string.go

// Status is the state of a daemon that determines what it may do.
type Status uint8

// Statuses of a daemon.
const (
	CatchingUp Status = iota // has not yet applied what was committed when it started
	Leased                   // contacted the quorum within the lease
	Leaderless               // no quorum, but in contact with a majority of the daemons
	Isolated                 // in contact with neither the quorum nor a majority of the daemons
	Draining                 // is being stopped
)

// Inputs determine the status.
type Inputs struct {
	CaughtUp bool
	Draining bool
	// ContactAt is the instant of the last contact with the quorum, which is valid for Lease.
	ContactAt clock.Instant
	Lease     clock.Duration
	// Daemons is the number of all daemons and Live of those within their lease, each including this
	// one.
	Daemons int
	Live    int
}

// Decide returns the status at the instant now.
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

// AllowsVersionMoves reports whether the daemon may send traffic to versions that are not settled.
func (s Status) AllowsVersionMoves() bool { return s == Leased }
