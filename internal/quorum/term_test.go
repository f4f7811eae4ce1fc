package quorum

import (
	"math"
	"testing"

	"swiftbeam/pkg/clock"
)

// TestElectionsGoOnAfterAnImpossibleTerm guards against a message of a faulty member after whose term none is left.
func TestElectionsGoOnAfterAnImpossibleTerm(t *testing.T) {
	members := []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	for _, kind := range []MessageKind{Append, AppendReply, PreVote, PreVoteReply, Vote, VoteReply, Install, TimeoutNow} {
		for _, term := range []uint64{math.MaxUint64, math.MaxUint64 - 1, math.MaxInt64} {
			t.Run(kind.String(), func(t *testing.T) {
				group := make(map[ID]*Raft)
				for _, m := range members {
					group[m.ID] = Load(Settings{Self: m.ID, ElectionTimeout: 600, Heartbeat: 120, Seed: 1, BatchBytes: 1 << 20}, 0,
						HardState{Term: 3}, Snapshot{Index: 1, Term: 1, Members: members}, nil)
				}
				for _, id := range []ID{"a", "b"} {
					group[id].Step(1, Receive{Message: Message{
						Kind: kind, From: "c", To: id, Term: term, LogTerm: term, Force: true, Reject: true,
						Snapshot: &Snapshot{Index: 1, Term: 1, Members: members},
					}})
				}
				for now := clock.Instant(2); now < 20_000; now = now.Add(20) {
					for _, r := range group {
						r.Step(now, Tick{})
					}
					for range 4 {
						var messages []Message
						for _, r := range group {
							messages = append(messages, r.Take().Messages...)
						}
						for _, m := range messages {
							group[m.To].Step(now, Receive{Message: m})
						}
					}
					for _, r := range group {
						if r.Role == Leader && r.Commit > 1 {
							if r.Hard.Term > 100 {
								t.Errorf("got a leader of term %d after a message of term %d, want an early one", r.Hard.Term, term)
							}
							return
						}
					}
				}
				t.Errorf("got no leader after a message of term %d, want one", term)
			})
		}
	}
}

// TestFormingAGroupKeepsTheVote guards against a second vote in a term by a first voter that is asked before it forms the group.
func TestFormingAGroupKeepsTheVote(t *testing.T) {
	members := []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	c := New(Settings{Self: "c", ElectionTimeout: 600, Heartbeat: 120, Seed: 1}, 0)
	granted := func(from ID) bool {
		c.Step(1, Receive{Message: Message{Kind: Vote, From: from, To: "c", Term: 2, Index: 1, LogTerm: 1}})
		replies := c.Take().Messages
		if len(replies) != 1 {
			t.Fatalf("got %d replies to %s, want 1", len(replies), from)
		}
		return !replies[0].Reject
	}
	if !granted("a") {
		t.Fatal("got no vote for the first candidate, want one")
	}
	c.Bootstrap(members)
	c.Take()
	if granted("b") {
		t.Error("got votes for two candidates of term 2, want one")
	}
	if got, want := c.Hard, (HardState{Term: 2, Vote: "a"}); got != want {
		t.Errorf("got %+v after forming the group, want %+v", got, want)
	}
}
