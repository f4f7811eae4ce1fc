package duty

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// arrival is a call that the cloud receives.
type arrival struct {
	at     clock.Instant
	holder int
	fence  uint64
}

// world plays daemons that acquire the duties from each other, and what the cloud receives.
type world struct {
	rng      *rand.Rand
	settings Settings
	now      clock.Instant
	tenures  []*Tenure
	// boots contains the number of the present process of each daemon.
	boots    []int
	contacts []clock.Instant
	leader   int
	// group is the replicated state that grants the duties, index that of its last command.
	group    state.State
	index    uint64
	arrivals []arrival
	// open contains the calls that have not ended, as functions that report whether they have.
	open []func() bool
}

func newWorld(seed uint64, daemons int, s Settings) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 57)), settings: s, contacts: make([]clock.Instant, daemons), boots: make([]int, daemons)}
	for range daemons {
		w.tenures = append(w.tenures, &Tenure{})
	}
	for i := range daemons {
		w.restart(i)
	}
	return w
}

// send lets a daemon make a call. A quarter of the calls take up to MaxTransit to arrive; of the others some get no response, and some are
// not sent after all.
func (w *world) send(holder int) {
	t := w.tenures[holder]
	call := t.Sent(w.now, w.settings)
	a := arrival{at: w.now.Add(clock.Duration(w.rng.IntN(20))), holder: holder, fence: t.Fence}
	outcome := Answered
	switch w.rng.IntN(8) {
	case 0, 1:
		a.at = w.now.Add(clock.Duration(w.rng.Int64N(int64(w.settings.MaxTransit))))
	case 2:
		outcome = Unanswered
	case 3:
		outcome = Unsent
	}
	if outcome != Unsent {
		w.arrivals = append(w.arrivals, a)
	}
	endsAt := a.at.Add(clock.Duration(w.rng.IntN(50)))
	if outcome == Unanswered {
		endsAt = w.now.Add(w.settings.MaxTransit)
	}
	w.open = append(w.open, func() bool {
		if w.now.Before(endsAt) {
			return false
		}
		t.Ended(w.now, call, outcome)
		return true
	})
}

// changeLeader makes some daemon the leader, at times after a restart of the old or the new one. The others have no contact with a
// quorum from then on.
func (w *world) changeLeader() {
	if w.rng.IntN(4) == 0 {
		w.restart(w.leader)
	}
	w.leader = w.rng.IntN(len(w.tenures))
	if w.rng.IntN(4) == 0 {
		w.restart(w.leader)
	}
	if w.rng.IntN(4) == 0 {
		// A request for the duties that was delayed is granted to a daemon that no longer waits for it.
		w.grant(w.rng.IntN(len(w.tenures)))
	}
	t := w.tenures[w.leader]
	t.End()
	t.Begin(w.now, w.grant(w.leader))
}

// grant commits a daemon's request for the duties and returns the fencing number.
func (w *world) grant(holder int) uint64 {
	w.index++
	name := fmt.Sprintf("%d/%d", holder, w.boots[holder])
	return w.group.Apply(w.index, state.Command{At: w.now, Body: state.TakeOrder{Operation: "duties", Target: "cloud", Holder: name}}).Fence
}

// restart starts a daemon's process anew. Calls of the old one that are in transit still arrive.
func (w *world) restart(holder int) {
	w.boots[holder]++
	w.tenures[holder] = &Tenure{}
	w.tenures[holder].Start(w.now, w.settings)
}

// play lets the daemons call the cloud for some time while the leader changes each 0.6 to 3.6 s.
func (w *world) play(length clock.Duration) {
	nextChange := clock.Instant(0)
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(50) {
		if !w.now.Before(nextChange) {
			w.changeLeader()
			nextChange = w.now.Add(600 + clock.Duration(w.rng.IntN(3000)))
		}
		w.contacts[w.leader] = w.now
		w.open = slices.DeleteFunc(w.open, func(ended func() bool) bool { return ended() })
		for i, t := range w.tenures {
			if t.MaySend(w.now, w.contacts[i], w.settings) {
				w.send(i)
			}
		}
	}
}

// TestCallsInTransitDoNotTakeTurns guards against leases that count from the sending of a call, which may arrive later.
func TestCallsInTransitDoNotTakeTurns(t *testing.T) {
	s := Settings{Lease: 3 * clock.Second, MaxPause: 300, MaxTransit: 1000, MaxContactAge: 300}
	for seed := range uint64(200) {
		w := newWorld(seed, 3, s)
		w.play(clock.Minute)
		if len(w.arrivals) < 50 {
			t.Fatalf("seed %d: got %d calls, want at least 50", seed, len(w.arrivals))
		}
		checkTurns(t, seed, w.arrivals, s.Lease)
	}
}

// checkTurns checks that fencing numbers do not decrease and that holders do not take turns within the lease, in the order in which calls
// arrive. It returns how often the holder changed, and how often it was one that had called before.
func checkTurns(t *testing.T, seed uint64, arrivals []arrival, lease clock.Duration) (changes, returns int) {
	t.Helper()
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	lastOf := make(map[int]clock.Instant)
	for i, a := range arrivals {
		last, called := lastOf[a.holder]
		lastOf[a.holder] = a.at
		if i == 0 {
			continue
		}
		before := arrivals[i-1]
		if a.fence < before.fence {
			t.Errorf("seed %d, call at %d: got fence %d after %d", seed, a.at, a.fence, before.fence)
		}
		if before.holder == a.holder {
			continue
		}
		changes++
		if !called {
			continue
		}
		returns++
		if a.at.Sub(last) < lease {
			t.Errorf("seed %d: holder %d has a call at %d, %v after its last one with a call of holder %d between, want at least %v",
				seed, a.holder, a.at, a.at.Sub(last), before.holder, lease)
		}
	}
	return changes, returns
}
