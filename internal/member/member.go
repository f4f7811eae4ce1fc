// Package member keeps the leases of backend servers and daemons. A backend server announces
// itself to any daemon; daemons pass on what they heard, so that an announcement survives the
// loss of the daemon that heard it.
//
//	t := &member.Table{Lease: 5 * clock.Second}
//	changes := t.Announce(now, backend)
//	changes = append(changes, t.Tick(now)...)
//
// Records merge by incarnation, then sequence; a state only moves forward within one
// incarnation. Merging is commutative and idempotent, so gossip may arrive late, twice or out
// of order. A record that is passed on keeps its age and cannot extend a lease.
package member

import (
	"cmp"
	"slices"

	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// Key names a backend server whatever its incarnation.
type Key struct {
	Service string
	Address string
}

// KeyOf returns the key of b.
func KeyOf(b *fleet.Backend) Key { return Key{Service: b.Service, Address: b.Address} }

// Daemon is another swiftbeam process as this one hears it.
type Daemon struct {
	ID string
	// Boot names one run of the process; a daemon that restarts from its disk keeps its ID.
	Boot     string
	Name     string
	Address  string
	Zone     string
	Region   string
	Applied  uint64
	Draining bool
	HeardAt  clock.Instant
}

// Holder names this run of the daemon as the holder of work that does not survive a restart.
func (d *Daemon) Holder() string { return d.ID + "/" + d.Boot }

// Change is a difference that routing must learn of.
type Change interface{ change() }

// Joined tells of a new incarnation that may receive work.
type Joined struct{ Backend *fleet.Backend }

// Updated tells of a new load report.
type Updated struct{ Backend *fleet.Backend }

// Removed tells of a server that receives no new work; State says why.
type Removed struct{ Backend *fleet.Backend }

func (Joined) change()  {}
func (Updated) change() {}
func (Removed) change() {}

// Table holds all records. Its owner serialises the calls.
type Table struct {
	// Lease is how long a backend server or daemon counts as present after it was heard.
	Lease    clock.Duration
	Backends map[Key]*fleet.Backend
	Daemons  map[string]*Daemon
	// Recent are the keys heard directly since the last TakeRecent.
	Recent map[Key]bool
}

// tombstoneLeases is how long an expired record stays, in leases, so that late gossip does not
// bring it back.
const tombstoneLeases = 12

// Announce merges an announcement that a backend server made to this daemon.
func (t *Table) Announce(now clock.Instant, b fleet.Backend) []Change {
	b.HeardAt = now
	changes := t.merge(now, b)
	if len(changes) > 0 {
		t.Recent[KeyOf(&b)] = true
	}
	return changes
}

// MergeGossip merges records that another daemon passed on.
func (t *Table) MergeGossip(now clock.Instant, from Daemon, backends []fleet.Backend) []Change {
	t.prepare()
	from.HeardAt = now
	t.Daemons[from.ID] = &from
	var changes []Change
	for _, b := range backends {
		changes = append(changes, t.merge(now, b)...)
	}
	return changes
}

func (t *Table) merge(now clock.Instant, b fleet.Backend) []Change {
	t.prepare()
	if now.Sub(b.HeardAt) > t.Lease {
		return nil
	}
	key := KeyOf(&b)
	old := t.Backends[key]
	if old == nil || b.Incarnation > old.Incarnation {
		t.Backends[key] = &b
		return joined(old, &b)
	}
	if b.Incarnation < old.Incarnation || b.Sequence <= old.Sequence {
		return nil
	}
	was := old.State
	b.State = forward(was, b.State)
	if was == fleet.Reclaimed && b.ReclaimAt == 0 {
		b.ReclaimAt = old.ReclaimAt
	}
	*old = b
	switch {
	case was == fleet.Ready && b.State != fleet.Ready:
		return []Change{Removed{Backend: old}}
	case was == fleet.Expired && b.State == fleet.Ready:
		return []Change{Joined{Backend: old}}
	}
	return []Change{Updated{Backend: old}}
}

// forward returns the state after a report. Only an expired lease can be renewed.
func forward(was, reported fleet.BackendState) fleet.BackendState {
	if was == fleet.Expired {
		return reported
	}
	return max(was, reported)
}

func joined(old, b *fleet.Backend) []Change {
	var changes []Change
	if old != nil && old.State != fleet.Expired {
		gone := *old
		gone.State = fleet.Expired
		changes = append(changes, Removed{Backend: &gone})
	}
	if b.State != fleet.Ready {
		return append(changes, Removed{Backend: b})
	}
	return append(changes, Joined{Backend: b})
}

// Reclaim marks the servers at address as taken back at the given instant.
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

// Tick expires leases.
func (t *Table) Tick(now clock.Instant) []Change {
	var changes []Change
	for key, b := range t.Backends {
		silent := now.Sub(b.HeardAt)
		if silent > t.Lease && b.State != fleet.Expired {
			b.State = fleet.Expired
			changes = append(changes, Removed{Backend: b})
		}
		if silent > tombstoneLeases*t.Lease {
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

// TakeRecent returns the records heard directly since the last call.
func (t *Table) TakeRecent() []fleet.Backend {
	var fresh []fleet.Backend
	for key := range t.Recent {
		if b := t.Backends[key]; b != nil {
			fresh = append(fresh, *b)
		}
	}
	clear(t.Recent)
	return fresh
}

// All returns every record whose lease holds, ordered by service and address.
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

// Live returns the daemons heard within the lease, ordered by ID.
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

// CountLive returns the number of daemons heard within the lease. It does not allocate.
func (t *Table) CountLive(now clock.Instant) int {
	count := 0
	for _, d := range t.Daemons {
		if now.Sub(d.HeardAt) <= t.Lease {
			count++
		}
	}
	return count
}

func (t *Table) prepare() {
	if t.Backends == nil {
		t.Backends = make(map[Key]*fleet.Backend)
		t.Daemons = make(map[string]*Daemon)
		t.Recent = make(map[Key]bool)
	}
}
