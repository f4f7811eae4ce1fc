// Package spans estimates how long a request takes by how long the last ones took:
//
//	var took spans.Recent
//	took.Add(800 * clock.Millisecond)
//	if usual, known := took.Usual(); known && usual > remaining {
//		// the request will most likely not end in time
//	}
package spans

import (
	"slices"

	"swiftbeam/pkg/clock"
)

const (
	// size is the number of durations that a Recent keeps.
	size = 32
	// minKnown is the number of durations from which an estimate is made.
	minKnown = 8
	// longer is the number of kept durations that may be longer than the estimate, when all are known.
	longer = 2
)

// Recent has the durations of the last requests. The zero value is ready to use. It is not safe for concurrent use.
type Recent struct {
	durations [size]clock.Duration
	count     int
}

// Add records how long a request took.
func (r *Recent) Add(took clock.Duration) {
	r.durations[r.count%size] = took
	r.count++
}

// Usual returns a duration that few of the last requests exceeded. It reports false while too few are known.
func (r *Recent) Usual() (clock.Duration, bool) {
	if r.count < minKnown {
		return 0, false
	}
	n := min(r.count, size)
	sorted := r.durations
	slices.Sort(sorted[:n])
	return sorted[n-1-longer*n/size], true
}
