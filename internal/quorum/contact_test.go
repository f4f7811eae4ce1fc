package quorum

import (
	"testing"

	"swiftbeam/pkg/clock"
)

// TestDelayedRepliesDoNotProveContact pauses a leader for over five seconds while replies are queued.
// When it resumes, they must count as contact with a quorum at the time when it sent the requests, not
// at the time when it reads the replies.
func TestDelayedRepliesDoNotProveContact(t *testing.T) {
	c := New(Settings{Self: "a", ElectionTimeout: 600, Heartbeat: 120, Seed: 1}, 0)
	c.members = []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	c.Role, c.Hard.Term, c.peers = Leader, 1, make(map[ID]*progress)
	c.trackPeers()
	reply := func(now clock.Instant, sent clock.Instant) {
		for _, from := range []ID{"b", "c"} {
			c.Step(now, Receive{Message: Message{Kind: AppendReply, From: from, To: "a", Term: 1, Sent: sent}})
		}
	}
	c.Step(100, Tick{})
	messages := c.Take().Messages
	if len(messages) != 2 || messages[0].Sent != 100 {
		t.Fatalf("got messages %+v, want two appends sent at 100", messages)
	}
	reply(103, 100)
	if got, want := c.ContactAt(), clock.Instant(100); got != want {
		t.Errorf("contact after an immediate reply: got %v, want %v", int64(got), int64(want))
	}
	c.Step(220, Tick{})
	reply(6000, 220)
	if got, want := c.ContactAt(), clock.Instant(220); got != want {
		t.Errorf("contact after a process pause: got %v, want %v", int64(got), int64(want))
	}
}

// TestDelayedVotesDoNotProveContact pauses a candidate while the votes for it are queued. It may not take itself for a leader in
// contact with a quorum, which may have elected another one meanwhile.
func TestDelayedVotesDoNotProveContact(t *testing.T) {
	for _, test := range []struct {
		name        string
		pause, want clock.Instant
	}{{"no pause", 0, 2000}, {"a pause of 5 s", 5000, 2000}} {
		c := New(Settings{Self: "a", ElectionTimeout: 600, Heartbeat: 120, Seed: 1}, 0)
		c.members = []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
		c.Step(2000, Tick{})
		c.Step(2000, Receive{Message: Message{Kind: PreVoteReply, From: "b", To: "a", Term: 1}})
		c.Step(2000+test.pause, Receive{Message: Message{Kind: VoteReply, From: "b", To: "a", Term: 1}})
		if c.Role != Leader {
			t.Fatalf("%s: got role %v, want a leader", test.name, c.Role)
		}
		if got := c.ContactAt(); got != test.want {
			t.Errorf("%s: got contact at %v, want %v", test.name, int64(got), int64(test.want))
		}
	}
}

// TestRepliesToAnEarlierTermDoNotProveContact guards against contact at the time of a message of an earlier process of the leader, whose
// clock was ahead.
func TestRepliesToAnEarlierTermDoNotProveContact(t *testing.T) {
	members := []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	follower := Load(Settings{Self: "b", ElectionTimeout: 600, Heartbeat: 120, Seed: 1}, 0, HardState{Term: 1}, Snapshot{Index: 1, Term: 1, Members: members}, nil)
	leader := Load(Settings{Self: "a", ElectionTimeout: 600, Heartbeat: 120, Seed: 1}, 0, HardState{Term: 1}, Snapshot{Index: 1, Term: 1, Members: members}, nil)
	leader.Step(2000, Tick{})
	leader.Step(2000, Receive{Message: Message{Kind: PreVoteReply, From: "c", To: "a", Term: 2}})
	leader.Step(2000, Receive{Message: Message{Kind: VoteReply, From: "c", To: "a", Term: 2}})
	if leader.Role != Leader {
		t.Fatalf("got role %v, want a leader", leader.Role)
	}
	const aheadByMinute = 62_000
	follower.Step(2000, Receive{Message: Message{Kind: Append, From: "a", To: "b", Term: 2, Index: 1, LogTerm: 1, Sent: 2000}})
	follower.Step(2010, Receive{Message: Message{Kind: Append, From: "a", To: "b", Term: 1, Index: 1, LogTerm: 1, Sent: aheadByMinute}})
	for _, m := range follower.Take().Messages {
		leader.Step(2020, Receive{Message: m})
	}
	leader.Step(2400, Tick{})
	if got, want := leader.ContactAt(), clock.Instant(2000); got != want {
		t.Errorf("400 ms after the last reply: got contact at %v, want %v", int64(got), int64(want))
	}
}
