// Package notice keeps what backend servers say of themselves in their answers: that they leave, that they want
// no requests from this daemon for a time, that they limit their requests, and that they are brittle.
//
//	board := &notice.Board{}
//	board.Observe(now, clusterTime, notice.Server{ID: "i-7", Born: born}, notice.Said{Rest: 3 * clock.Second})
//	if !board.Excludes(now, clusterTime, notice.Server{ID: "i-7", Born: born}) {
//		// the server may be chosen
//	}
//
// A notice belongs to one start of a server. It does not depend on the server's announcements, which may be
// late, or come from other daemons. Another start of the server ends all notices; before that, leaving has no
// end, a rest ends with its time, and limits and brittleness with the next answer that does not state them.
// What is known of a server that has gone is dropped some time later.
package notice

import (
	"swiftbeam/internal/frail"
	"swiftbeam/internal/turns"
	"swiftbeam/pkg/clock"
)

// Server identifies one start of a server.
type Server struct {
	ID string
	// Born is the time of the start; zero if it is not known, or the deployment does not announce it.
	Born clock.Instant
}

// Said is what one answer says.
type Said struct {
	// Answered reports that the server wrote the answer itself, so that what it lacks has ended.
	Answered bool
	Leaving  bool
	// Rest is the time for which the server wants no requests from this daemon.
	Rest clock.Duration
	// Limited and PerSecond are the limit of requests from all daemons, Brittle and Tolerated the number of
	// requests that it may turn away in a second.
	Limited   bool
	PerSecond float64
	Brittle   bool
	Tolerated float64
	// NoRoom reports that the server turned the request away.
	NoRoom bool
}

// Change is what an answer changed.
type Change struct{ Left, Rests, Limits bool }

// Board is one daemon's record. The zero value is ready to use. It is not safe for concurrent use.
type Board struct {
	// Limits has the limits, Gate the room of brittle servers, by the ID of the server.
	Limits turns.Limiter
	Gate   frail.Gate
	// Cold has the limits of servers that are cold, by the ID of the server.
	Cold turns.Limiter

	byID map[string]*entry
	// sweptAt is when entries of servers that have gone were last dropped.
	sweptAt clock.Instant
}

type entry struct {
	born      clock.Instant
	leaving   bool
	restUntil clock.Instant
	// removedAt is when the server was last removed from routing; zero while it is routed.
	removedAt clock.Instant
}

const (
	// retention is the time for which the notices of a removed server are kept, longer than a start can be silent
	// and return.
	retention = 5 * clock.Minute
	// sweepInterval is the least time between two looks for notices to drop.
	sweepInterval = 10 * clock.Second
)

// Routed records that a start of a server may get requests. It ends the notices of an earlier start.
func (b *Board) Routed(s Server) {
	b.endEarlier(s)
	if e := b.byID[s.ID]; e != nil && e.born == s.Born {
		e.removedAt = 0
	}
}

// Removed records that a start of a server gets no more requests. Its notices are kept for a time, as its
// announcements may only be late.
func (b *Board) Removed(now clock.Instant, s Server) {
	if e := b.entry(s); e != nil {
		e.removedAt = now
	}
	if now.Sub(b.sweptAt) < sweepInterval {
		return
	}
	b.sweptAt = now
	for id, e := range b.byID {
		if e.removedAt > 0 && now.Sub(e.removedAt) > retention && !e.restUntil.After(now) {
			b.forget(id)
		}
	}
}

func (b *Board) endEarlier(s Server) {
	e := b.byID[s.ID]
	switch {
	case e == nil || s.Born <= e.born:
	case e.born == 0:
		// The notices came before the announcement of the start.
		e.born = s.Born
	default:
		b.forget(s.ID)
		b.byID[s.ID] = &entry{born: s.Born}
	}
}

func (b *Board) forget(id string) {
	delete(b.byID, id)
	b.Limits.Forget(id)
	b.Cold.Forget(id)
	b.Gate.Forget(id)
}

// entry returns the entry of a start, or nil if a later one is known.
func (b *Board) entry(s Server) *entry {
	b.endEarlier(s)
	if e := b.byID[s.ID]; e != nil {
		if e.born != s.Born {
			return nil
		}
		return e
	}
	if b.byID == nil {
		b.byID = make(map[string]*entry)
	}
	e := &entry{born: s.Born}
	b.byID[s.ID] = e
	return e
}

// Observe records what a server said in an answer. The time of the daemon's own clock is now, that of the clock
// that the daemons agree on clusterTime.
func (b *Board) Observe(now, clusterTime clock.Instant, s Server, said Said) Change {
	var c Change
	if !said.Answered && !said.Leaving && said.Rest == 0 && !said.Limited && !said.Brittle {
		return c
	}
	if _, known := b.byID[s.ID]; !known && !said.Leaving && said.Rest == 0 && !said.Limited && !said.Brittle && !b.Limits.Knows(s.ID) {
		return c
	}
	e := b.entry(s)
	if e == nil {
		return c
	}
	c.Left = said.Leaving && !e.leaving
	e.leaving = e.leaving || said.Leaving
	if said.Rest > 0 {
		e.restUntil = max(e.restUntil, now.Add(said.Rest))
		c.Rests = true
	}
	if said.Answered || said.Limited || said.Brittle {
		c.Limits = b.Limits.Observe(turns.Limit{
			Server: s.ID, Limited: said.Limited, PerSecond: said.PerSecond, Brittle: said.Brittle, Tolerated: said.Tolerated, ObservedAt: clusterTime,
		})
	}
	if said.Brittle && said.NoRoom {
		b.Gate.Rejected(now, s.ID)
		b.Limits.Rejected(clusterTime, s.ID)
	}
	return c
}

// Leaves records that a server was announced to leave.
func (b *Board) Leaves(s Server) {
	if e := b.entry(s); e != nil {
		e.leaving = true
	}
}

// IsLeaving reports whether a server said that it leaves.
func (b *Board) IsLeaving(s Server) bool {
	e := b.byID[s.ID]
	return e != nil && e.born == s.Born && e.leaving
}

// Warming is what a cold server takes: PerSecond requests a second from all daemons together, until a time of the clock
// that the daemons agree on.
type Warming struct {
	PerSecond float64
	Burst     turns.Burst
	Until     clock.Instant
}

// SetCold records until when a server is cold, and reports whether it was warm before, or is now.
func (b *Board) SetCold(clusterTime clock.Instant, s Server, w Warming) (changed bool) {
	if e := b.byID[s.ID]; e != nil && e.born != s.Born {
		return false
	}
	known := b.Cold.Knows(s.ID)
	if w.PerSecond <= 0 || w.Until <= clusterTime {
		b.Cold.Forget(s.ID)
		return known
	}
	b.Cold.Observe(turns.Limit{
		Server: s.ID, Limited: true, PerSecond: w.PerSecond, Until: w.Until, Carried: w.Burst.Carried(w.PerSecond), ObservedAt: clusterTime,
	})
	return !known
}

// Takes reports whether a server that was chosen before still takes a request: it has not said since that it
// leaves or wants none.
func (b *Board) Takes(now clock.Instant, s Server) bool {
	e := b.byID[s.ID]
	return e == nil || e.born != s.Born || !e.leaving && !e.restUntil.After(now)
}

// Excludes reports whether a server must not be chosen now. Brittle servers are not excluded: Gate decides on each
// request.
func (b *Board) Excludes(now, clusterTime clock.Instant, s Server) bool {
	return !b.Takes(now, s) || !b.Limits.Allows(clusterTime, s.ID) || !b.Cold.Allows(clusterTime, s.ID)
}

// Wait returns the time until a server takes requests again, and false if it leaves.
func (b *Board) Wait(now, clusterTime clock.Instant, s Server) (clock.Duration, bool) {
	wait := max(b.Limits.Wait(clusterTime, s.ID), b.Cold.Wait(clusterTime, s.ID))
	e := b.byID[s.ID]
	if e == nil || e.born != s.Born {
		return wait, true
	}
	return max(wait, e.restUntil.Sub(now)), !e.leaving
}
