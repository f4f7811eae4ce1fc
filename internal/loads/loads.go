// Package loads adds up the load that entry daemons report for the backend servers:
//
//	sums := &loads.Sums{}
//	sums.Receive(now, "entry-1", []loads.Server{{ID: "i-7", Load: place.Load{Requests: 2}}})
//	others := sums.Others("entry-1")  // what the other daemons have sent to each server
//
// The sums are updated with each report, so that a report costs as much as the servers in it, however
// many daemons there are. The load of a daemon that stops reporting is dropped after Timeout. The
// package is made for hundreds of daemons that each report a few servers of hundreds several times a
// second.
package loads

import (
	"cmp"
	"container/list"
	"maps"
	"slices"

	"swiftbeam/internal/place"
	"swiftbeam/pkg/clock"
)

// Timeout is the time without a report after which an entry daemon counts as terminated.
const Timeout = 2 * clock.Second

// Server is the load on one backend server.
type Server struct {
	ID   string
	Load place.Load
}

// Sums contains the loads that the daemons reported last. The zero value is ready to use. It is not safe
// for concurrent use.
type Sums struct {
	daemons map[string]*daemon
	servers map[string]*total
	// order contains the daemons in order of their last report, the oldest first.
	order list.List
	// ranks are the positions of the daemons in the order of their names; nil after a daemon came or went.
	ranks map[string]int
}

type daemon struct {
	name       string
	reportedAt clock.Instant
	servers    []Server
	element    *list.Element
}

// total is the load on one server, and the number of daemons that reported it.
type total struct {
	load    place.Load
	daemons int
}

// Receive replaces the loads of a daemon.
func (s *Sums) Receive(now clock.Instant, name string, servers []Server) {
	if s.daemons == nil {
		s.daemons = make(map[string]*daemon)
		s.servers = make(map[string]*total)
	}
	d := s.daemons[name]
	if d == nil {
		d = &daemon{name: name}
		d.element = s.order.PushBack(d)
		s.daemons[name] = d
		s.ranks = nil
	}
	s.subtract(d)
	d.reportedAt, d.servers = now, servers
	s.order.MoveToBack(d.element)
	for i := range servers {
		t := s.servers[servers[i].ID]
		if t == nil {
			t = &total{}
			s.servers[servers[i].ID] = t
		}
		t.daemons++
		t.add(servers[i].Load, 1)
	}
	s.expire(now)
}

// Daemons returns the number of daemons that reported within Timeout.
func (s *Sums) Daemons(now clock.Instant) int {
	s.expire(now)
	return len(s.daemons)
}

// Rank returns the position of a daemon among those that reported within Timeout, from 0.
func (s *Sums) Rank(name string) int {
	if s.ranks == nil {
		s.ranks = make(map[string]int, len(s.daemons))
		for i, n := range slices.Sorted(maps.Keys(s.daemons)) {
			s.ranks[n] = i
		}
	}
	return s.ranks[name]
}

// ReportedAt returns the time of a daemon's last report; zero if there is none within Timeout.
func (s *Sums) ReportedAt(name string) clock.Instant {
	if d := s.daemons[name]; d != nil {
		return d.reportedAt
	}
	return 0
}

// All returns the load on each server, in order of the IDs.
func (s *Sums) All() []Server {
	all := make([]Server, 0, len(s.servers))
	for id, t := range s.servers {
		all = append(all, Server{ID: id, Load: t.load})
	}
	slices.SortFunc(all, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Others returns the load from other daemons on the servers that a daemon reported last.
func (s *Sums) Others(name string) []Server {
	d := s.daemons[name]
	if d == nil {
		return nil
	}
	others := make([]Server, 0, len(d.servers))
	for _, own := range d.servers {
		t := *s.servers[own.ID]
		t.add(own.Load, -1)
		others = append(others, Server{ID: own.ID, Load: t.load})
	}
	return others
}

func (s *Sums) expire(now clock.Instant) {
	for e := s.order.Front(); e != nil; e = s.order.Front() {
		d := e.Value.(*daemon)
		if now.Sub(d.reportedAt) <= Timeout {
			return
		}
		s.subtract(d)
		s.order.Remove(e)
		delete(s.daemons, d.name)
		s.ranks = nil
	}
}

func (s *Sums) subtract(d *daemon) {
	for _, own := range d.servers {
		t := s.servers[own.ID]
		t.add(own.Load, -1)
		if t.daemons--; t.daemons == 0 {
			delete(s.servers, own.ID)
		}
	}
	d.servers = nil
}

func (t *total) add(l place.Load, sign int) {
	t.load.Requests += sign * l.Requests
	t.load.Prefill += sign * l.Prefill
	t.load.Memory += sign * l.Memory
}
