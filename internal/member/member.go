// Package member keeps the leases of backend servers and daemons. A backend server announces itself to
// any daemon. Daemons forward announcements to each other by gossip, so that an announcement survives
// the loss of the daemon that received it.
//
//	t := &member.Table{Lease: 5 * clock.Second}
//	changes := t.Announce(now, backend)
//	changes = append(changes, t.Tick(now)...)
//
// Of two records of a server, the one with the higher incarnation wins, then the one with the higher
// sequence. Within an incarnation, a state never returns to an earlier one, except that a new
// announcement renews an expired lease. Merging is commutative and idempotent, so gossip may arrive
// late, twice or out of order. A forwarded record keeps its age and cannot extend a lease.
package member

import (
	"cmp"
	"slices"

	"swiftbeam/internal/crash"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// Key identifies a backend server across incarnations.
type Key struct {
	Service string
	Address string
}

// KeyOf returns the key of b.
func KeyOf(b *fleet.Backend) Key { return Key{Service: b.Service, Address: b.Address} }

// Daemon is another swiftbeam daemon, as described by its last gossip message.
type Daemon struct {
	ID string
	// Boot identifies one run of the process. A daemon that restarts from its disk keeps its ID.
	Boot     string
	Name     string
	Address  string
	Zone     string
	Region   string
	Applied  uint64
	Draining bool
	HeardAt  clock.Instant
}

// Holder returns an identifier of this run of the daemon. It is recorded as the holder of calls and
// orders, which end with the process and are not continued after a restart.
func (d *Daemon) Holder() string { return d.ID + "/" + d.Boot }

// Change is a change of the table that affects routing.
type Change interface{ change() }

// Joined reports a server that may receive work: a new incarnation or one with a renewed lease.
type Joined struct{ Backend *fleet.Backend }

// Updated reports a newer announcement of a known server, for instance with another load.
type Updated struct{ Backend *fleet.Backend }

// Removed reports a server that must receive no new work. Its State is the reason.
type Removed struct{ Backend *fleet.Backend }

func (Joined) change()  {}
func (Updated) change() {}
func (Removed) change() {}

// Table contains all records. It is not safe for concurrent use.
type Table struct {
	// Lease is how long a backend server or daemon counts as live after the last contact.
	Lease    clock.Duration
	Backends map[Key]*fleet.Backend
	Daemons  map[string]*Daemon
	// Recent are the keys of the servers that were changed by an announcement or a reclaim notice to this
	// daemon since the last TakeRecent.
	Recent map[Key]bool
}

// tombstoneLeases is how long a record is kept after the last contact, in leases, so that late gossip
// does not restore an expired server.
const tombstoneLeases = 12

// Announce merges an announcement that this daemon received from a backend server.
func (t *Table) Announce(now clock.Instant, b fleet.Backend) []Change {
	b.HeardAt = now
	changes := t.merge(now, b)
	if len(changes) > 0 {
		t.Recent[KeyOf(&b)] = true
	}
	return changes
}

// MergeGossip merges the records in a gossip message of another daemon.
func (t *Table) MergeGossip(now clock.Instant, from Daemon, backends []fleet.Backend) []Change {
	t.ensureMaps()
	from.HeardAt = now
	t.Daemons[from.ID] = &from
	var changes []Change
	for _, b := range backends {
		changes = append(changes, t.merge(now, b)...)
	}
	return changes
}

func (t *Table) merge(now clock.Instant, b fleet.Backend) []Change {
	t.ensureMaps()
	if now.Sub(b.HeardAt) > t.Lease {
		return nil
	}
	key := KeyOf(&b)
	old := t.Backends[key]
	if old == nil || b.Incarnation > old.Incarnation {
		t.Backends[key] = &b
		return incarnationChanges(old, &b)
	}
	if b.Incarnation < old.Incarnation || b.Sequence <= old.Sequence {
		return nil
	}
	previous := old.State
	b.State = mergeState(previous, b.State)
	if previous == fleet.Reclaimed && b.ReclaimAt == 0 {
		b.ReclaimAt = old.ReclaimAt
	}
	b.UpAt = crash.UpAt(old.UpAt, old.HeardAt, b.HeardAt)
	*old = b
	switch {
	case previous == fleet.Ready && b.State != fleet.Ready:
		return []Change{Removed{Backend: old}}
	case previous == fleet.Expired && b.State == fleet.Ready:
		return []Change{Joined{Backend: old}}
	}
	return []Change{Updated{Backend: old}}
}

// mergeState returns the state after a newer announcement in the same incarnation. An expired server
// takes the reported state; otherwise the later state is kept.
func mergeState(previous, reported fleet.BackendState) fleet.BackendState {
	if previous == fleet.Expired {
		return reported
	}
	return max(previous, reported)
}

func incarnationChanges(old, b *fleet.Backend) []Change {
	var changes []Change
	if old != nil && old.State != fleet.Expired {
		expired := *old
		expired.State = fleet.Expired
		changes = append(changes, Removed{Backend: &expired})
	}
	if b.State != fleet.Ready {
		return append(changes, Removed{Backend: b})
	}
	return append(changes, Joined{Backend: b})
}

// Reclaim marks the servers at address as reclaimed; their VM is terminated at the given instant.
func (t *Table) Reclaim(address string, at clock.Instant) []Change {
	var changes []Change
	for _, b := range t.Backends {
		if b.Address != address || b.State >= fleet.Reclaimed {
			continue
		}
		b.State = fleet.Reclaimed
		b.ReclaimAt = at
		b.Sequence++
		t.Recent[KeyOf(b)] = true
		changes = append(changes, Removed{Backend: b})
	}
	return changes
}

// Tick expires leases and deletes old records.
func (t *Table) Tick(now clock.Instant) []Change {
	var changes []Change
	for key, b := range t.Backends {
		sinceContact := now.Sub(b.HeardAt)
		if sinceContact > t.Lease && b.State != fleet.Expired {
			b.State = fleet.Expired
			changes = append(changes, Removed{Backend: b})
		}
		if sinceContact > tombstoneLeases*t.Lease {
			delete(t.Backends, key)
		}
	}
	for id, d := range t.Daemons {
		if now.Sub(d.HeardAt) > tombstoneLeases*t.Lease {
			delete(t.Daemons, id)
		}
	}
	return changes
}

// TakeRecent returns the records of the servers in Recent and clears it.
func (t *Table) TakeRecent() []fleet.Backend {
	var recent []fleet.Backend
	for key := range t.Recent {
		if b := t.Backends[key]; b != nil {
			recent = append(recent, *b)
		}
	}
	clear(t.Recent)
	return recent
}

// All returns the records whose lease has not expired, ordered by service and address.
func (t *Table) All() []fleet.Backend {
	var all []fleet.Backend
	for _, b := range t.Backends {
		if b.State != fleet.Expired {
			all = append(all, *b)
		}
	}
	slices.SortFunc(all, func(a, b fleet.Backend) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
	})
	return all
}

// Live returns the daemons contacted within the lease, ordered by ID.
func (t *Table) Live(now clock.Instant) []Daemon {
	var live []Daemon
	for _, d := range t.Daemons {
		if now.Sub(d.HeardAt) <= t.Lease {
			live = append(live, *d)
		}
	}
	slices.SortFunc(live, func(a, b Daemon) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// CountLive returns the number of daemons contacted within the lease. It does not allocate.
func (t *Table) CountLive(now clock.Instant) int {
	count := 0
	for _, d := range t.Daemons {
		if now.Sub(d.HeardAt) <= t.Lease {
			count++
		}
	}
	return count
}

func (t *Table) ensureMaps() {
	if t.Backends == nil {
		t.Backends = make(map[Key]*fleet.Backend)
		t.Daemons = make(map[string]*Daemon)
		t.Recent = make(map[Key]bool)
	}
}
