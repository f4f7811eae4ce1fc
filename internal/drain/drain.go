// Package drain decides what happens to the streams of a backend server that is taken back:
// finish in place, move by exporting the KV cache, or move by recomputing.
//
//	actions := drain.Plan(drain.Notice{Now: now, Deadline: at, Export: true}, streams)
//
// Streams that end in time stay. The others leave at once, the most urgent and shortest first,
// because each further token makes a later move dearer. Exports share the server's way out, so
// those that do not fit before the deadline are recomputed instead.
package drain

import (
	"cmp"
	"slices"

	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

//go:generate ../../.tools/stringer -type=Method -output=method_string.go

// Method is how a stream survives.
type Method uint8

// Ways to survive.
const (
	Finish Method = iota
	Export
	Recompute
)

// Notice is an announced reclaim of one server.
type Notice struct {
	Now      clock.Instant
	Deadline clock.Instant
	// Export reports whether the server can export KV caches.
	Export bool
	// ExportRate is the number of tokens exported in a millisecond.
	ExportRate float64
}

// Stream is one running stream on the server.
type Stream struct {
	ID       string
	Priority fleet.Priority
	// CachedTokens is the number of tokens in its KV cache, prompt included.
	CachedTokens int
	// Remaining is the number of tokens still to come, at most.
	Remaining int
	// Gap is the time between tokens in milliseconds.
	Gap float64
}

// Action tells what to do with one stream.
type Action struct {
	ID     string
	Method Method
}

// margin is kept free before the deadline.
const margin = 300 * clock.Millisecond

// Plan returns an action for each stream, in the order in which to start them.
func Plan(n Notice, streams []Stream) []Action {
	left := float64(n.Deadline.Sub(n.Now) - margin)
	order := slices.Clone(streams)
	slices.SortStableFunc(order, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.CachedTokens, b.CachedTokens))
	})
	actions := make([]Action, 0, len(order))
	exported := 0.0
	for _, s := range order {
		way := Recompute
		took := float64(s.CachedTokens) / max(n.ExportRate, 1e-9)
		switch {
		case float64(s.Remaining)*s.Gap <= left:
			way = Finish
		case n.Export && exported+took <= left:
			way = Export
			exported += took
		}
		actions = append(actions, Action{ID: s.ID, Method: way})
	}
	return actions
}
