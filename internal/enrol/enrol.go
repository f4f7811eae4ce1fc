// Package enrol merges what backend servers say of themselves. Each core daemon hears some of
// the announcements; entry daemons hear all core daemons and merge what they are told:
//
//	t := &enrol.Table{}
//	changed := t.Merge(record)
//
// Records of one server merge by the instant of its start, then by sequence; at one address the
// server that started last is the present one. Merging is commutative and idempotent, so records
// may arrive late, twice or out of order. Gone servers leave a tombstone behind, so that a late
// announcement does not bring them back.
package enrol

import "swiftbeam/pkg/clock"

//go:generate ../../.tools/stringer -type=State -output=state_string.go

// State tells whether a backend server may receive work.
type State uint8

// States of a backend server. A later state outweighs an earlier one of the same sequence.
const (
	Ready   State = iota
	Silent        // nothing was heard from it for a while; the next announcement ends that
	Leaving       // it finishes what it has
	Gone          // it said that it ends
)

// Record is what is known of one start of a backend server.
type Record struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Version  string
	Slots    int
	State    State
	Born     clock.Instant
	Sequence uint64
	// Spot servers may be reclaimed.
	Spot bool
	// ReclaimAt is the instant at which a reclaimed server ends; zero when unknown.
	ReclaimAt clock.Instant
	// ColdFor is how much longer the server is slow after its start.
	ColdFor clock.Duration
	HeardAt clock.Instant
}

// Times of the table.
const (
	// SilentIntervals is the number of announcement intervals without one after which a server
	// counts as silent: announcements may come seconds late.
	SilentIntervals = 4
	// TombstoneLifetime outlasts announcements held up by a partition.
	TombstoneLifetime = 2 * clock.Minute
)

// Table holds the records by ID. The zero value is ready to use; its owner serialises the calls.
type Table struct {
	ByID map[string]*Record
	// latest is the last start that was heard of at each address, also of a server that has moved.
	latest map[string]start
}

// start names one start of a server.
type start struct {
	born clock.Instant
	id   string
	at   clock.Instant
}

// newer reports whether a replaces b, a record of the same ID.
func newer(a, b *Record) bool {
	if a.Born != b.Born {
		return a.Born > b.Born
	}
	// An end that was announced holds whatever comes later of the same start.
	if (a.State >= Leaving || b.State >= Leaving) && a.State != b.State {
		return a.State > b.State
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return a.State > b.State
}

// Merge takes a record and reports whether it changed what the table holds.
func (t *Table) Merge(r Record) bool {
	if t.ByID == nil {
		t.ByID = make(map[string]*Record)
		t.latest = make(map[string]start)
	}
	if last := t.latest[r.Address]; r.Address != "" && !(start{born: r.Born, id: r.ID}).before(last) {
		t.latest[r.Address] = start{born: r.Born, id: r.ID, at: r.HeardAt}
	}
	old := t.ByID[r.ID]
	if old != nil && !newer(&r, old) {
		return false
	}
	if old != nil && old.Born == r.Born && r.ReclaimAt == 0 {
		r.ReclaimAt = old.ReclaimAt
	}
	if old != nil && r.Address == "" {
		r.Address, r.Service, r.Zone, r.Version = old.Address, old.Service, old.Zone, old.Version
		r.Slots, r.Spot = old.Slots, old.Spot
	}
	t.ByID[r.ID] = &r
	return true
}

func (s start) before(o start) bool {
	return s.born < o.born || s.born == o.born && s.id < o.id
}

// Usable reports whether new work may go to the server: it is ready and nothing started later
// at its address.
func (t *Table) Usable(r *Record) bool { return r.State == Ready && t.isLatest(r) }

// isLatest reports whether nothing started later at the server's address.
func (t *Table) isLatest(r *Record) bool {
	last := t.latest[r.Address]
	return last.born == r.Born && last.id == r.ID
}

// IsServing reports whether a server is there, as far as is known: it is ready, or silent for less than
// patience, and no other has started at its address since.
func (t *Table) IsServing(r *Record, now clock.Instant, patience clock.Duration) bool {
	return t.isLatest(r) && (r.State == Ready || r.State == Silent && now.Sub(r.HeardAt) <= patience)
}

// Expire marks the servers silent that were last heard before since, and returns them. Records
// that end a server are dropped after TombstoneFor.
func (t *Table) Expire(now, since clock.Instant) []*Record {
	var silent []*Record
	for id, r := range t.ByID {
		if now.Sub(r.HeardAt) > TombstoneLifetime {
			delete(t.ByID, id)
			continue
		}
		if r.State == Ready && r.HeardAt.Before(since) {
			r.State = Silent
			silent = append(silent, r)
		}
	}
	for address, last := range t.latest {
		if t.ByID[last.id] == nil && now.Sub(last.at) > TombstoneLifetime {
			delete(t.latest, address)
		}
	}
	return silent
}
