package store

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"swiftbeam/internal/quorum"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/internal/wire"
	"swiftbeam/pkg/clock"
)

// silentMember is a network whose member at address silent responds to no proposal; others commit at index.
type silentMember struct {
	noPeers
	silent string
	index  uint64
	asked  chan string
}

func (n silentMember) ProposeAt(ctx context.Context, address string, _ []byte) (uint64, []byte, error) {
	n.asked <- address
	if address == n.silent {
		<-ctx.Done()
		return 0, nil, ctx.Err()
	}
	return n.index, wire.EncodeResult(state.Result{Code: state.Done}), nil
}

// TestProposalsGoToTheNextLeader guards against a follower that waits for the response of a lost leader although it knows
// the next one.
func TestProposalsGoToTheNextLeader(t *testing.T) {
	n := silentMember{silent: "b:1", index: 40, asked: make(chan string, 10)}
	s := &Store{
		Settings: quorum.Settings{ElectionTimeout: 60_000, Heartbeat: 20, Voters: 3, BatchBytes: 1 << 20, Seed: 1},
		Self:     quorum.Member{Name: "a", Address: "a:1"}, Folder: t.TempDir(), Clock: clock.Start(), Network: n, Log: logr.Discard(),
	}
	if err := s.Open(""); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	var g runner.Group
	if err := s.Start(ctx, &g); err != nil {
		t.Fatal(err)
	}
	defer g.Wait()
	defer cancel()
	image := state.State{}
	image.Rebuild()
	image.Skip(n.index)
	self := s.Self
	self.Voter = true
	members := []quorum.Member{self, {ID: "b.1", Name: "b", Address: n.silent, Voter: true}, {ID: "c.1", Name: "c", Address: "c:1", Voter: true}}
	snapshot := &quorum.Snapshot{Index: n.index, Term: 2, Members: members, Data: wire.EncodeState(&image)}
	lead := func(m quorum.Member, term uint64) {
		s.Deliver(m, []quorum.Message{{Kind: quorum.Install, From: m.ID, To: s.Self.ID, Term: term, Snapshot: snapshot}})
	}
	lead(members[1], 3)
	done := make(chan error, 1)
	go func() {
		_, err := s.Propose(ctx, state.Barrier{})
		done <- err
	}()
	if got := <-n.asked; got != n.silent {
		t.Errorf("got the proposal sent to %s, want %s", got, n.silent)
	}
	lead(members[2], 4)
	if err := <-done; err != nil {
		t.Errorf("got %v, want the result of the next leader", err)
	}
	if got := len(n.asked); got != 1 {
		t.Errorf("got %d proposals after the first, want 1 at the next leader", got)
	}
}
