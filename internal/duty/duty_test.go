package duty

import (
	"testing"

	"swiftbeam/pkg/clock"
)

// TestHoldersDoNotTakeTurns changes the leader back and forth between two daemons; the old leader
// loses contact with the quorum. Fencing numbers must not decrease, and a daemon that gets the duties
// back must not send within the lease after its last call.
func TestHoldersDoNotTakeTurns(t *testing.T) {
	s := Settings{Lease: 3 * clock.Second, MaxPause: 300, MaxTransit: 1000, MaxContactAge: 300}
	var tenures [2]Tenure
	fence := uint64(0)
	type call struct {
		at     clock.Instant
		holder int
		fence  uint64
	}
	var calls []call
	leader := 0
	contact := [2]clock.Instant{}
	for now := clock.Instant(0); now < 60_000; now += 50 {
		// The leader changes at irregular times; the old one may send until its last contact is too old.
		if now%7_000 == 0 || now%11_000 == 0 {
			leader = 1 - leader
			fence++
			tenures[leader].Begin(now, fence)
		}
		contact[leader] = now
		for i := range tenures {
			if tenures[i].MaySend(now, contact[i], s) {
				tenures[i].Sent(now)
				calls = append(calls, call{at: now, holder: i, fence: tenures[i].Fence})
			}
		}
	}
	if len(calls) < 100 {
		t.Fatalf("got %d calls, want at least 100", len(calls))
	}
	lastOf := [2]clock.Instant{-60_000, -60_000}
	highest := uint64(0)
	for i, c := range calls {
		if c.fence < highest {
			t.Errorf("call at %d: got fence %d after %d", c.at, c.fence, highest)
		}
		highest = c.fence
		if i > 0 && calls[i-1].holder != c.holder && c.at.Sub(lastOf[c.holder]) < s.Lease {
			t.Errorf("holder %d: got a call at %d, %v after its last one with calls of the other holder between, want at least %v", c.holder, c.at, c.at.Sub(lastOf[c.holder]), s.Lease)
		}
		lastOf[c.holder] = c.at
	}
}

// TestFirstCallOfAHolder checks that a daemon that never held the duties sends as soon as all calls
// of the previous holder must have arrived, and that a daemon that recently lost the duties waits for
// the lease first.
func TestFirstCallOfAHolder(t *testing.T) {
	s := Settings{Lease: 3 * clock.Second, MaxPause: 300, MaxTransit: 1000, MaxContactAge: 300}
	var newHolder, returning Tenure
	newHolder.Start(-60_000)
	returning.Start(-60_000)
	returning.Begin(-50_000, 1)
	returning.Sent(-100)
	returning.End()
	newHolder.Begin(0, 2)
	returning.Begin(0, 3)
	for _, test := range []struct {
		name   string
		tenure *Tenure
		want   clock.Instant
	}{{"new", &newHolder, 1300}, {"back", &returning, 3200}} {
		first := clock.Instant(-1)
		for now := clock.Instant(0); now < 10_000 && first < 0; now += 100 {
			if test.tenure.MaySend(now, now, s) {
				first = now
			}
		}
		if first != test.want {
			t.Errorf("%s holder: got the first call at %v ms, want %v ms", test.name, int64(first), int64(test.want))
		}
	}
}
