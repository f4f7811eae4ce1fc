package store

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"swiftbeam/internal/disk"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/internal/wire"
	"swiftbeam/pkg/clock"
)

// recorder is a network that keeps what a member sends.
type recorder struct {
	noPeers
	sent chan quorum.Message
}

func (r recorder) Send(_ quorum.Member, messages []quorum.Message) {
	for _, m := range messages {
		r.sent <- m
	}
}

// startFollower runs a member of a group whose other member is the leader.
func startFollower(t *testing.T, folder string) (s *Store, sent chan quorum.Message, stop func()) {
	t.Helper()
	return startFollowerOn(t, folder, disk.Files{})
}

// startFollowerOn is startFollower with other calls for files.
func startFollowerOn(t *testing.T, folder string, files disk.Files) (s *Store, sent chan quorum.Message, stop func()) {
	t.Helper()
	sent = make(chan quorum.Message, 1024)
	s = &Store{
		Settings: quorum.Settings{ElectionTimeout: 60_000, Heartbeat: 20, Voters: 3, BatchBytes: 1 << 20, Seed: 1},
		Self:     quorum.Member{Name: "a", Address: "a:1"}, Folder: folder, OpenDisk: files.Open,
		Clock: clock.Start(), Network: recorder{sent: sent}, Log: logr.Discard(), SnapshotEvery: 100,
	}
	if err := s.Open(""); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g runner.Group
	if err := s.Start(ctx, &g); err != nil {
		t.Fatal(err)
	}
	return s, sent, func() {
		cancel()
		g.Wait()
	}
}

// TestSnapshotsThatDoNotDecodeAreNotStored guards against a folder that cannot be opened again, and against an applied
// state that misses what the stored snapshot replaced. Such snapshots come from a leader with a fault.
func TestSnapshotsThatDoNotDecodeAreNotStored(t *testing.T) {
	image := state.State{Rules: state.Rules{Version: 7, Text: []byte("rules")}}
	image.Rebuild()
	image.Skip(40)
	whole := wire.EncodeState(&image)
	for _, test := range []struct {
		name  string
		index uint64
		data  []byte
	}{
		{"no image", 40, []byte("\xff\xff\xff")},
		{"cut short", 40, whole[:len(whole)-1]},
		{"empty", 40, nil},
		{"image of another index", 41, whole},
		{"index without end", math.MaxUint64, whole},
	} {
		t.Run(test.name, func(t *testing.T) {
			folder := t.TempDir()
			s, sent, stop := startFollower(t, folder)
			leader := quorum.Member{ID: "b.1", Name: "b", Address: "b:1", Voter: true}
			self := s.Self
			self.Voter = true
			install := func(index uint64, data []byte) {
				s.Deliver(leader, []quorum.Message{{
					Kind: quorum.Install, From: leader.ID, To: s.Self.ID, Term: 3,
					Snapshot: &quorum.Snapshot{Index: index, Term: 2, Members: []quorum.Member{self, leader}, Data: data},
				}})
			}
			install(test.index, test.data)
			select {
			case m := <-sent:
				t.Errorf("got %v of entry %d, want no reply", m.Kind, m.Index)
			case <-time.After(200 * time.Millisecond):
			}
			install(40, whole)
			select {
			case m := <-sent:
				if m.Kind != quorum.AppendReply || m.Reject || m.Index != 40 {
					t.Errorf("got %+v, want entry 40 acknowledged", m)
				}
			case <-time.After(5 * time.Second):
				t.Error("got no reply to a sound snapshot, want one")
			}
			stop()
			s, _, stop = startFollower(t, folder)
			defer stop()
			var got uint64
			s.View(func(v *state.State) { got = v.Rules.Version })
			if got != 7 {
				t.Errorf("got rules %d after a restart, want 7", got)
			}
		})
	}
}

// TestSnapshotOfAFailedInstallIsApplied guards against an applied state that lacks what a snapshot replaced: the disk fills
// up after the snapshot is stored and before the log is replaced, so that the folder has the snapshot when it is opened again.
func TestSnapshotOfAFailedInstallIsApplied(t *testing.T) {
	image := state.State{Rules: state.Rules{Version: 7, Text: []byte("rules")}}
	image.Rebuild()
	image.Skip(40)
	folder := t.TempDir()
	var full atomic.Bool
	s, sent, stop := startFollowerOn(t, folder, disk.Files{Rename: func(from, to string) error {
		if filepath.Base(to) == "log" && full.Swap(false) {
			return syscall.ENOSPC
		}
		return os.Rename(from, to)
	}})
	defer stop()
	full.Store(true)
	leader := quorum.Member{ID: "b.1", Name: "b", Address: "b:1", Voter: true}
	self := s.Self
	self.Voter = true
	deliver := func(m quorum.Message) {
		m.From, m.To, m.Term = leader.ID, s.Self.ID, 3
		s.Deliver(leader, []quorum.Message{m})
	}
	deliver(quorum.Message{Kind: quorum.Install, Snapshot: &quorum.Snapshot{Index: 40, Term: 2, Members: []quorum.Member{self, leader}, Data: wire.EncodeState(&image)}})
	entry := quorum.Entry{Index: 41, Term: 3, Kind: quorum.Noop}
	for deadline := time.Now().Add(5 * time.Second); s.Status().Applied < entry.Index; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got entry %d applied after 5 s, want %d", s.Status().Applied, entry.Index)
		}
		deliver(quorum.Message{Kind: quorum.Append, Index: 40, LogTerm: 2, Commit: 41, Entries: []quorum.Entry{entry}})
		for len(sent) > 0 {
			<-sent
		}
	}
	if full.Load() {
		t.Fatal("got no failed replacement of the log, want one")
	}
	var got uint64
	s.View(func(v *state.State) { got = v.Rules.Version })
	if got != 7 {
		t.Errorf("got rules %d after the snapshot, want 7", got)
	}
}
