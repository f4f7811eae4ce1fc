package duty

import (
	"testing"

	"swiftbeam/pkg/clock"
)

// TestHoldersDoNotTakeTurns plays two daemons between which the lead goes back and forth, with a
// majority that each loses sight of, and looks at the order of their calls.
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
		// The lead changes at uneven times; the old leader still believes in it for a while.
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
		t.Fatalf("got %d calls, want the holders to work", len(calls))
	}
	lastOf := [2]clock.Instant{-60_000, -60_000}
	highest := uint64(0)
	for i, c := range calls {
		if c.fence < highest {
			t.Errorf("call at %d: got fence %d after %d", c.at, c.fence, highest)
		}
		highest = c.fence
		if i > 0 && calls[i-1].holder != c.holder && c.at.Sub(lastOf[c.holder]) < s.Lease {
			t.Errorf("holder %d came back at %d, %v after its last call, want at least %v", c.holder, c.at, c.at.Sub(lastOf[c.holder]), s.Lease)
		}
		lastOf[c.holder] = c.at
	}
}

// TestNewHolderBeginsSoon lets a daemon that never held the duties begin when the calls of the one
// before it have arrived, and one that just lost them wait for the lease.
func TestNewHolderBeginsSoon(t *testing.T) {
	s := Settings{Lease: 3 * clock.Second, MaxPause: 300, MaxTransit: 1000, MaxContactAge: 300}
	var fresh, back Tenure
	fresh.Start(-60_000)
	back.Start(-60_000)
	back.Begin(-50_000, 1)
	back.Sent(-100)
	back.End()
	fresh.Begin(0, 2)
	back.Begin(0, 3)
	for _, test := range []struct {
		name   string
		tenure *Tenure
		want   clock.Instant
	}{{"new", &fresh, 1300}, {"back", &back, 3200}} {
		first := clock.Instant(-1)
		for now := clock.Instant(0); now < 10_000 && first < 0; now += 100 {
			if test.tenure.MaySend(now, now, s) {
				first = now
			}
		}
		if first != test.want {
			t.Errorf("%s holder: got the first call at %v, want %v", test.name, int64(first), int64(test.want))
		}
	}
}
