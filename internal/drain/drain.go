// Package drain decides what happens to the streams of a backend server whose VM is being
// reclaimed: finish in place, export the KV cache to another server, or recompute there.
//
//	actions := drain.Plan(drain.Notice{Now: now, Deadline: at, Export: true, ExportRate: 50}, streams)
//
// Streams that end before the deadline stay. The others are moved at once, the most urgent first
// and those with the smallest KV cache first among equals, because each further token makes a
// later move more expensive. Exports share the server's outgoing bandwidth, so streams whose
// export does not fit before the deadline are recomputed instead.
package drain

import (
	"cmp"
	"slices"

	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

//go:generate ../../.tools/stringer -type=Method -output=method_string.go

// Method is how a stream continues when its server is reclaimed.
type Method uint8

// The methods.
const (
	// Finish lets the stream end on its present server.
	Finish Method = iota
	// Export copies the KV cache to another server, which continues the stream.
	Export
	// Recompute lets another server build the KV cache again from the prompt and the tokens so far.
	Recompute
)

// Notice announces the reclaim of one server.
type Notice struct {
	Now      clock.Instant
	Deadline clock.Instant
	// Export reports whether the server can export KV caches.
	Export bool
	// ExportRate is the number of tokens that the server exports in a millisecond.
	ExportRate float64
}

// Stream is one running stream on the server.
type Stream struct {
	ID       string
	Priority fleet.Priority
	// CachedTokens is the number of tokens in the KV cache of the stream, prompt included.
	CachedTokens int
	// Remaining is the upper bound of the tokens still to be generated.
	Remaining int
	// TokenGap is the mean time between two tokens in milliseconds.
	TokenGap float64
}

// Action is the decision for one stream.
type Action struct {
	ID     string
	Method Method
}

// safetyMargin is the time before the deadline by which all exports and finishing streams must have
// ended in the plan.
const safetyMargin = 300 * clock.Millisecond

// Plan returns one action for each stream, in the order in which to start them.
func Plan(n Notice, streams []Stream) []Action {
	available := float64(n.Deadline.Sub(n.Now) - safetyMargin)
	order := slices.Clone(streams)
	slices.SortStableFunc(order, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.CachedTokens, b.CachedTokens))
	})
	actions := make([]Action, 0, len(order))
	exportBusy := 0.0
	for _, s := range order {
		method := Recompute
		exportTime := float64(s.CachedTokens) / max(n.ExportRate, 1e-9)
		switch {
		case float64(s.Remaining)*s.TokenGap <= available:
			method = Finish
		case n.Export && exportBusy+exportTime <= available:
			method = Export
			exportBusy += exportTime
		}
		actions = append(actions, Action{ID: s.ID, Method: method})
	}
	return actions
}
