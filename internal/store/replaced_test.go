package store

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/go-logr/logr"

	"swiftbeam/internal/disk"
	"swiftbeam/internal/quorum"
	"swiftbeam/pkg/clock"
)

// sentMessages is a network that records the messages of a member.
type sentMessages struct {
	noPeers
	messages []quorum.Message
}

func (s *sentMessages) Send(_ quorum.Member, m []quorum.Message) {
	s.messages = append(s.messages, m...)
}

// TestReplacedFolderKeepsTheVote guards against two leaders in one term after the data folder of a running voter was replaced.
func TestReplacedFolderKeepsTheVote(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		folder, failing := filepath.Join(t.TempDir(), "data"), false
		c, network := &clock.Manual{}, &sentMessages{}
		c.Set(1_000_000)
		s := &Store{
			Settings: quorum.Settings{ElectionTimeout: 600, Heartbeat: 120, Voters: 3, BatchBytes: 1 << 20, Seed: 1},
			Self:     quorum.Member{Name: "a", Address: "a:1"}, Folder: folder, Clock: c, Network: network, Log: logr.Discard(),
			OpenDisk: disk.Files{Write: func(f *os.File, data []byte) (int, error) {
				if failing {
					return 0, errors.New("input/output error")
				}
				return f.Write(data)
			}}.Open,
		}
		if err := s.Open(""); err != nil {
			t.Fatal(err)
		}
		self, b, d := s.Self, quorum.Member{ID: "b", Name: "b", Voter: true}, quorum.Member{ID: "d", Name: "d", Voter: true}
		self.Voter = true
		s.handle([]quorum.Event{bootstrapEvent{members: []quorum.Member{self, b, d}}, contactEvent{member: b}, contactEvent{member: d}})
		vote := func(from quorum.ID) bool {
			network.messages = nil
			s.handle([]quorum.Event{quorum.Receive{Message: quorum.Message{Kind: quorum.Vote, From: from, To: s.Self.ID, Term: 2, Index: 1, LogTerm: 1}}})
			return slices.ContainsFunc(network.messages, func(m quorum.Message) bool { return m.Kind == quorum.VoteReply && !m.Reject })
		}
		if !vote("b") {
			t.Fatal("got no vote for the first candidate, want one")
		}
		if replaced {
			if err := os.Rename(folder, folder+".old"); err != nil {
				t.Fatal(err)
			}
		}
		failing = true
		s.handle([]quorum.Event{quorum.Receive{Message: quorum.Message{Kind: quorum.Append, From: "b", To: s.Self.ID, Term: 2, Index: 1, LogTerm: 1, Entries: []quorum.Entry{{Index: 2, Term: 2, Kind: quorum.Noop}}}}})
		failing = false
		if s.Status().Failed == "" {
			t.Fatal("got a usable data folder, want one that failed")
		}
		c.Advance(2 * reopenInterval)
		if vote("d") {
			t.Errorf("replaced %v: got votes for two candidates of term 2, want one", replaced)
		}
		if replaced {
			if err := errors.Join(os.RemoveAll(folder), os.Rename(folder+".old", folder)); err != nil {
				t.Fatal(err)
			}
			c.Advance(2 * reopenInterval)
		}
		if !vote("b") {
			t.Errorf("replaced %v: got no vote for the first candidate once the folder is usable again, want it repeated", replaced)
		}
		_ = s.log.Close()
	}
}
