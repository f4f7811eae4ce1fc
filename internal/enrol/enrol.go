// Package enrol merges the announcements of backend servers. Each core daemon receives some of them
// directly. Entry daemons receive the records of all core daemons and merge them:
//
//	t := &enrol.Table{}
//	changed := t.Merge(record)
//
// Of two records of a server, the one with the later start time wins, then one in the state Leaving or
// Gone, then the one with the higher sequence. Of two servers at one address, only the one that started
// last is usable. Merging is commutative and idempotent, so records may arrive late, twice or out of
// order. Records from outside the process are checked first, by Record.Check and Table.Admit. The record of a deregistered server is kept as a tombstone, so that a late announcement does
// not add the server again.
package enrol

import (
	"swiftbeam/internal/crash"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/valid"
	"swiftbeam/pkg/clock"
)

//go:generate ../../.tools/stringer -type=State -output=state_string.go

// State is the state of a backend server, which decides whether it may receive requests.
type State uint8

// States of a backend server. Of two records with the same sequence, the one with the later state in
// this list wins.
const (
	Ready   State = iota
	Silent        // announcements are overdue; the next one makes it ready again
	Leaving       // drains: it finishes its requests and gets no new ones
	Gone          // deregistered itself
)

// Record describes one start of a backend server.
type Record struct {
	ID      string
	Service string
	Address string
	Zone    string
	Version string
	Slots   int
	State   State
	// Born is the start time of the server; zero if unknown.
	Born clock.Instant
	// Sequence is the number of the announcement.
	Sequence uint64
	// Spot reports whether the cloud may reclaim the server's VM.
	Spot bool
	// ReclaimAt is the time at which the server's VM is reclaimed; zero if unknown.
	ReclaimAt clock.Instant
	// ColdFor is the remaining time for which the server is cold, as it was announced. ColdUntil is the end of that time.
	ColdFor   clock.Duration
	ColdUntil clock.Instant
	// HeardAt is the time of the last announcement, UpAt that of an earlier one, at which the server was up: the last one
	// alone may have been late.
	HeardAt clock.Instant
	UpAt    clock.Instant
}

// Limits of the table.
const (
	// SilentIntervals is the number of intervals without an announcement after which a server counts
	// as silent. Announcements may be seconds late.
	SilentIntervals = 4
	// RecordRetention is the time for which a record is kept without announcements. It is longer
	// than a partition can delay an announcement.
	RecordRetention = 2 * clock.Minute
)

// Table contains the records by server ID. The zero value is ready to use. It is not safe for
// concurrent use.
type Table struct {
	ByID map[string]*Record
	// latest is the latest known start of a server at each address, also if that server has moved to
	// another address since.
	latest map[string]start
}

// start identifies one start of a server.
type start struct {
	time       clock.Instant
	id         string
	receivedAt clock.Instant
}

// newer reports whether a replaces b, a record of the same ID.
func newer(a, b *Record) bool {
	if a.Born != b.Born {
		return a.Born > b.Born
	}
	// After a start of a server is marked as leaving or gone, later announcements of this start do
	// not make it ready again.
	if (a.State >= Leaving || b.State >= Leaving) && a.State != b.State {
		return a.State > b.State
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return a.State > b.State
}

// Admit returns an error if the record contradicts the one in force of the same start: a server keeps its service
// and its address until it ends. A silent record is not in force, so that a wrong one does not last.
func (t *Table) Admit(r *Record) error {
	if old := t.ByID[r.ID]; old != nil && old.State != Silent && r.contradicts(old) {
		return fault.New(fault.Invalid, "the announcement of %s changes its service or address, %q at %s, without a new start", valid.Quote(r.ID), old.Service, old.Address).
			Remedy("send the time of the new start")
	}
	return nil
}

// contradicts reports whether the record and another one of the same start differ in what a server keeps.
func (r *Record) contradicts(o *Record) bool {
	return r.Born != 0 && r.Born == o.Born && r.Address != "" && o.Address != "" && (r.Service != o.Service || r.Address != o.Address)
}

// UsableAt returns the server that may receive new requests at an address, or nil.
func (t *Table) UsableAt(address string) *Record {
	r := t.ByID[t.latest[address].id]
	if r == nil || r.Address != address || !t.Usable(r) {
		return nil
	}
	return r
}

// Merge adds a record, and reports whether it replaced the server's record in the table.
func (t *Table) Merge(r Record) bool {
	if t.ByID == nil {
		t.ByID = make(map[string]*Record)
		t.latest = make(map[string]start)
	}
	if last := t.latest[r.Address]; r.Address != "" && !(start{time: r.Born, id: r.ID}).before(last) {
		t.latest[r.Address] = start{time: r.Born, id: r.ID, receivedAt: r.HeardAt}
	}
	old := t.ByID[r.ID]
	if old != nil && !newer(&r, old) && (old.State != Silent || !r.contradicts(old)) {
		return false
	}
	if old != nil && old.Born == r.Born {
		r.UpAt = old.UpAt
		if r.State == Silent {
			r.HeardAt = old.HeardAt
		}
		if r.State == Silent || r.Address == "" {
			r.ColdUntil = old.ColdUntil
		}
		if r.Sequence > old.Sequence {
			r.UpAt = crash.UpAt(old.UpAt, old.HeardAt, r.HeardAt)
		}
		if r.ReclaimAt == 0 {
			r.ReclaimAt = old.ReclaimAt
		}
	}
	if old != nil && r.Address == "" {
		r.CopyServer(old)
	}
	t.ByID[r.ID] = &r
	return true
}

// CopyServer copies what a server keeps from its start to its end.
func (r *Record) CopyServer(from *Record) {
	r.Address, r.Service, r.Zone, r.Version = from.Address, from.Service, from.Zone, from.Version
	r.Slots, r.Spot = from.Slots, from.Spot
}

func (s start) before(o start) bool {
	return s.time < o.time || s.time == o.time && s.id < o.id
}

// Usable reports whether the server may receive new requests: it is ready, and no other server
// started later at its address.
func (t *Table) Usable(r *Record) bool { return r.State == Ready && t.isLatest(r) }

// isLatest reports whether the record is the latest start at the server's address.
func (t *Table) isLatest(r *Record) bool {
	last := t.latest[r.Address]
	return last.time == r.Born && last.id == r.ID
}

// IsServing reports whether a server probably serves requests: it is ready, or it is silent and its
// last announcement is not older than timeout, and no other server started later at its address.
func (t *Table) IsServing(r *Record, now clock.Instant, timeout clock.Duration) bool {
	return t.isLatest(r) && (r.State == Ready || r.State == Silent && now.Sub(r.HeardAt) <= timeout)
}

// Expire marks the ready servers whose last announcement is older than since as silent, and returns
// them. Records without announcements, tombstones included, are removed after RecordRetention.
func (t *Table) Expire(now, since clock.Instant) []*Record {
	var silent []*Record
	for id, r := range t.ByID {
		if now.Sub(r.HeardAt) > RecordRetention {
			delete(t.ByID, id)
			continue
		}
		if r.State == Ready && r.HeardAt.Before(since) {
			r.State = Silent
			silent = append(silent, r)
		}
	}
	for address, last := range t.latest {
		if t.ByID[last.id] == nil && now.Sub(last.receivedAt) > RecordRetention {
			delete(t.latest, address)
		}
	}
	return silent
}
