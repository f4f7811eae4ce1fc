package quorum

import (
	"testing"

	"swiftbeam/pkg/clock"
)

// TestOldAnswersAreNoContact lets a leader stand still for five seconds while answers wait for it: when it
// goes on, they show contact with a quorum when it sent what they answer, and not now.
func TestOldAnswersAreNoContact(t *testing.T) {
	c := New(Settings{Self: "a", ElectionTimeout: 600, Heartbeat: 120, Seed: 1}, 0)
	c.members = []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	c.Role, c.Hard.Term, c.peers = Leader, 1, make(map[ID]*progress)
	c.trackPeers()
	answer := func(now clock.Instant, sent clock.Instant) {
		for _, from := range []ID{"b", "c"} {
			c.Step(now, Receive{Message: Message{Kind: AppendReply, From: from, To: "a", Term: 1, Sent: sent}})
		}
	}
	c.Step(100, Tick{})
	messages := c.Take().Messages
	if len(messages) != 2 || messages[0].Sent != 100 {
		t.Fatalf("got %+v, want two appends sent at 100", messages)
	}
	answer(103, 100)
	if got, want := c.ContactAt(), clock.Instant(100); got != want {
		t.Errorf("after an answer at once: got %v, want %v", int64(got), int64(want))
	}
	c.Step(220, Tick{})
	answer(6000, 220)
	if got, want := c.ContactAt(), clock.Instant(220); got != want {
		t.Errorf("after a standstill: got %v, want %v", int64(got), int64(want))
	}
}
