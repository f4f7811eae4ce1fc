package duty

import (
	"testing"

	"swiftbeam/pkg/clock"
)

// TestHoldersDoNotTakeTurns guards against lower fencing numbers and calls within the lease while the leader changes back and forth.
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
				tenures[i].Ended(now, tenures[i].Sent(now, s), Answered)
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

// TestFirstCallOfAHolder guards against a new holder that waits for the lease, and returning or restarted ones that do not.
func TestFirstCallOfAHolder(t *testing.T) {
	s := Settings{Lease: 3 * clock.Second, MaxPause: 300, MaxTransit: 1000, MaxContactAge: 300}
	var newHolder, returning, restarted Tenure
	restarted.Start(-1000, s)
	restarted.Begin(0, 4)
	newHolder.Start(-60_000, s)
	returning.Start(-60_000, s)
	returning.Begin(-50_000, 1)
	returning.Ended(-100, returning.Sent(-100, s), Answered)
	returning.End()
	newHolder.Begin(0, 2)
	returning.Begin(0, 3)
	for _, test := range []struct {
		name   string
		tenure *Tenure
		want   clock.Instant
	}{{"new", &newHolder, 1300}, {"back", &returning, 3200}, {"restarted", &restarted, 3300}} {
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

// TestNewHolderWaitsForTheContactOfTheOldOne guards against a lower fence after a transfer of leadership, or an election by voters that were
// restarted, right after the last contact of the old holder.
func TestNewHolderWaitsForTheContactOfTheOldOne(t *testing.T) {
	for _, thaw := range []clock.Duration{0, 100, 300, 1000} {
		s := Settings{Lease: 3 * clock.Second, MaxPause: thaw, MaxTransit: 1000, MaxContactAge: 300}
		var old, next Tenure
		old.Start(-60_000, s)
		next.Start(-60_000, s)
		old.Begin(-50_000, 1)
		next.Begin(0, 2)
		arrivesBy, first := clock.Instant(-1), clock.Instant(-1)
		for now := clock.Instant(0); now < 5_000; now++ {
			if old.MaySend(now, 0, s) {
				arrivesBy = now.Add(s.MaxTransit)
			}
			if first < 0 && next.MaySend(now, now, s) {
				first = now
			}
		}
		if arrivesBy < 0 || first.Before(arrivesBy) {
			t.Errorf("thaw %v: got the first call of the new holder at %v ms, want it after those of the old one, which arrive by %v ms", thaw, int64(first), int64(arrivesBy))
		}
	}
}

// TestSameFenceNeedsNoLease guards against a wait for the whole lease when no other daemon held the duties in between, and against one that is
// skipped after another holder.
func TestSameFenceNeedsNoLease(t *testing.T) {
	s := Settings{Lease: 3 * clock.Second, MaxPause: 300, MaxTransit: 1000, MaxContactAge: 300}
	for _, test := range []struct {
		name    string
		sent    bool
		between uint64 // acquired and lost again without a call
		fence   uint64
		want    clock.Instant
	}{
		{"the same fence", true, 0, 1, 1300},
		{"the same fence, never used", false, 0, 1, 3300},
		{"another holder in between", true, 0, 3, 3200},
		{"another holder before a grant that was not used", true, 3, 3, 3200},
	} {
		var tenure Tenure
		start := clock.Instant(-60_000)
		if !test.sent {
			start = -1000
		}
		tenure.Start(start, s)
		tenure.Begin(start, 1)
		if test.sent {
			tenure.Ended(-100, tenure.Sent(-120, s), Answered)
		}
		tenure.End()
		if test.between > 0 {
			tenure.Begin(-50, test.between)
			tenure.End()
		}
		tenure.Begin(0, test.fence)
		first := clock.Instant(-1)
		for now := clock.Instant(0); now < 10_000 && first < 0; now += 10 {
			if tenure.MaySend(now, now, s) {
				first = now
			}
		}
		if first != test.want {
			t.Errorf("%s: got the first call at %v ms, want %v ms", test.name, int64(first), int64(test.want))
		}
	}
}
