package notice

import (
	"testing"

	"swiftbeam/internal/turns"
	"swiftbeam/pkg/clock"
)

func TestNoticesEndByTheirOwnRule(t *testing.T) {
	s := Server{ID: "i-1", Born: 5}
	plain := Said{Answered: true}
	tests := []struct {
		name string
		said Said
		// until is the time after which the notice ends by itself; zero for never. byAnswer is set if a plain answer
		// ends it.
		until    clock.Duration
		byAnswer bool
	}{
		{"leaving", Said{Answered: true, Leaving: true}, 0, false},
		{"rest", Said{Rest: 3 * clock.Second}, 3 * clock.Second, false},
		{"limit", Said{Answered: true, Limited: true, PerSecond: 0.1}, 0, true},
	}
	for _, test := range tests {
		b := &Board{}
		b.Limits.Join(900, turns.Member{Rank: 0, Count: 1000})
		now := clock.Instant(1000)
		b.Observe(now, now, s, test.said)
		if !b.Excludes(now+1, now+1, s) {
			t.Errorf("%s: the server is not excluded, want it to be", test.name)
		}
		b.Routed(s)
		if !b.Excludes(now+2, now+2, s) {
			t.Errorf("%s: the same start announced again ends it, want it to hold", test.name)
		}
		if test.until > 0 {
			if at := now.Add(test.until); b.Excludes(at, at, s) || !b.Excludes(at-1, at-1, s) {
				t.Errorf("%s: want it to end after %v", test.name, test.until)
			}
		}
		b.Observe(now+10, now+10, s, plain)
		if got := b.Excludes(now+11, now+11, s); got == test.byAnswer {
			t.Errorf("%s: excluded after an answer that does not state it: got %v, want %v", test.name, got, !test.byAnswer)
		}
		b.Observe(now+20, now+20, s, test.said)
		next := Server{ID: "i-1", Born: 6}
		b.Routed(next)
		if b.Excludes(now+21, now+21, next) {
			t.Errorf("%s: the next start of the server is excluded, want it not to be", test.name)
		}
		b.Observe(now+30, now+30, next, plain)
		b.Observe(now+31, now+31, s, test.said)
		if b.Excludes(now+32, now+32, next) {
			t.Errorf("%s: an answer of the earlier start that comes late excludes the next one", test.name)
		}
	}
}

func TestRestsDoNotShorten(t *testing.T) {
	b, s := &Board{}, Server{ID: "i-1"}
	b.Observe(1000, 1000, s, Said{Rest: 5 * clock.Second})
	b.Observe(1100, 1100, s, Said{Rest: clock.Second})
	if got, takes := b.Wait(1100, 1100, s); got != 4900 || !takes {
		t.Errorf("time until the server takes requests: got %v, %v, want 4,900 ms", got, takes)
	}
}

func TestLeavingServersHaveNoWaitingTime(t *testing.T) {
	b, s := &Board{}, Server{ID: "i-1", Born: 1}
	b.Leaves(s)
	if _, takes := b.Wait(1000, 1000, s); takes {
		t.Error("got a waiting time for a server that leaves, want none")
	}
	if b.Takes(1000, s) {
		t.Error("a server that leaves takes requests, want none")
	}
}

func TestNoticesOfRemovedServersAreDropped(t *testing.T) {
	b, plain, resting := &Board{}, Server{ID: "i-1", Born: 1}, Server{ID: "i-2", Born: 1}
	b.Observe(1000, 1000, plain, Said{Answered: true, Leaving: true, Limited: true, PerSecond: 1})
	b.Observe(1000, 1000, resting, Said{Rest: clock.Hour})
	b.Removed(2000, plain)
	b.Removed(2000, resting)
	b.Routed(plain)
	if !b.IsLeaving(plain) {
		t.Error("a server that returns within the retention does not leave, want it to")
	}
	b.Removed(3000, plain)
	end := clock.Instant(3000).Add(retention) + 1
	b.Removed(end, Server{ID: "i-3"})
	if b.IsLeaving(plain) || b.Limits.Knows(plain.ID) {
		t.Error("the notices of a server that has gone are kept, want them dropped")
	}
	if b.Takes(end, resting) {
		t.Error("the rest of a removed server has ended, want it to last its time")
	}
	if got, want := len(b.byID), 2; got != want {
		t.Errorf("servers on the board: got %d, want %d", got, want)
	}
}

// TestNoticeBeforeTheRecord records a notice of a server whose announcement has not arrived yet, so that its start is not known.
func TestNoticeBeforeTheRecord(t *testing.T) {
	b := &Board{}
	b.Observe(1000, 1000, Server{ID: "i-1"}, Said{Leaving: true})
	s := Server{ID: "i-1", Born: 5}
	b.Routed(s)
	if !b.IsLeaving(s) {
		t.Error("the server does not leave once its start is known, want it to")
	}
	b.Routed(Server{ID: "i-1", Born: 6})
	if b.IsLeaving(Server{ID: "i-1", Born: 6}) {
		t.Error("the next start leaves, want it not to")
	}
}

// TestColdServersWarmUp checks that a cold server is excluded without a turn, until the announced time or the next start.
func TestColdServersWarmUp(t *testing.T) {
	s, next := Server{ID: "i-1", Born: 5}, Server{ID: "i-1", Born: 6}
	b := &Board{}
	b.Routed(s)
	w := Warming{PerSecond: 0.1, Until: 4000}
	if got := b.SetCold(1000, s, w); !got {
		t.Errorf("change at the first announcement: got %v, want true", got)
	}
	if got := b.SetCold(1100, s, w); got {
		t.Errorf("change at the next announcement: got %v, want false", got)
	}
	if !b.Excludes(1200, 1200, s) {
		t.Errorf("a daemon without turns may choose a cold server, want it not to")
	}
	if got, ok := b.Wait(1200, 1200, s); got != 2800 || !ok {
		t.Errorf("wait: got %v, %v, want until the server is warm", got, ok)
	}
	if b.Excludes(4000, 4000, s) {
		t.Errorf("a server that has become warm is excluded, want it not to be")
	}
	if got := b.SetCold(1300, s, Warming{PerSecond: 0.1}); !got || b.Excludes(1300, 1300, s) {
		t.Errorf("warm before the announced time: got change %v, want the server not to be excluded", got)
	}
	b.SetCold(1400, s, w)
	b.Observe(1400, 1400, s, Said{Rest: 1})
	b.Routed(next)
	if b.Excludes(1500, 1500, next) {
		t.Errorf("the next start is excluded for the coldness of the one before, want it not to be")
	}
}
