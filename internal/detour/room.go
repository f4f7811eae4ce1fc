package detour

import (
	"slices"
	"sync"

	"swiftbeam/pkg/clock"
)

const (
	// maxRequests bounds the requests of others in progress at a helper. Each takes two connections and some
	// 50 KB of buffers.
	maxRequests = 256
	// maxBodyBytes bounds their bodies together.
	maxBodyBytes = 16 << 20
	// leastUrgentPart is the part of the room that the least urgent requests may take.
	leastUrgentPart = 0.5
	// maxLag is how late the helper's own timers may be for the most urgent requests, and minLag for the least
	// urgent. A processor that is used up delays the helper's own callers.
	maxLag = 100 * clock.Millisecond
	minLag = 25 * clock.Millisecond
	// leastUrgent is the urgency of the requests that are served last.
	leastUrgent = 9
)

// Room bounds what a helper does for other daemons, so that its own callers keep what they have. The zero
// value is ready to use. It is safe for concurrent use.
type Room struct {
	mu       sync.Mutex
	requests int
	bytes    int64
	lag      clock.Duration
	// late is how late the last timers were.
	late [lateTimers]clock.Duration
	next int
}

// Take takes room for a request of some urgency, from 0 for the most urgent to leastUrgent, with a body of
// some bytes. It reports false if there is none.
func (r *Room) Take(urgency int, bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rank := float64(min(max(urgency, 0), leastUrgent)) / leastUrgent
	part := 1 - rank*(1-leastUrgentPart)
	lag := float64(maxLag) - rank*float64(maxLag-minLag)
	if float64(r.requests) >= part*maxRequests || float64(r.bytes+bytes) > part*maxBodyBytes || float64(r.lag) > lag {
		return false
	}
	r.requests++
	r.bytes += bytes
	return true
}

// Release returns the room of a request.
func (r *Room) Release(bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests--
	r.bytes -= bytes
}

// Requests returns the number of requests of others in progress.
func (r *Room) Requests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests
}

const (
	// lagWeight is the weight of a new observation in the average lag.
	lagWeight = 0.4
	// lateTimers is the number of timers of which the latest one does not count.
	lateTimers = 4
)

// ObserveLag records how late a timer of the process was. One late timer shows a stall, several that the processor is
// used up.
func (r *Room) ObserveLag(late clock.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late[r.next] = late
	r.next = (r.next + 1) % lateTimers
	r.lag += clock.Duration(lagWeight * float64(secondLargest(r.late)-r.lag))
}

func secondLargest(list [lateTimers]clock.Duration) clock.Duration {
	slices.Sort(list[:])
	return list[lateTimers-2]
}
