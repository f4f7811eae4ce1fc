package store

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"swiftbeam/internal/disk"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// nobody is a network without other members.
type nobody struct{}

func (nobody) Send(quorum.Member, []quorum.Message) {}

func (nobody) ProposeAt(context.Context, string, []byte) (uint64, []byte, error) {
	return 0, nil, errors.New("there is nobody")
}

// start runs a group of one on a disk that fails while full is set.
func start(t *testing.T, folder string, every uint64, full *atomic.Bool) (*Store, func()) {
	t.Helper()
	s := &Store{
		Settings: quorum.Settings{ElectionTimeout: 60, Heartbeat: 20, Voters: 1, BatchBytes: 1 << 20, Seed: 1},
		Self:     quorum.Member{Name: "a", Address: "a:1"},
		Folder:   folder, Clock: clock.Start(), Network: nobody{}, Log: logr.Discard(), SnapshotEvery: every,
	}
	s.OpenDisk = func(folder string) (*disk.Log, disk.Loaded, error) {
		if full.Load() {
			return nil, disk.Loaded{}, errors.New("no space left")
		}
		log, loaded, err := disk.Open(folder)
		if err == nil {
			log.SyncFile = func(f *os.File) error {
				if full.Load() {
					return errors.New("no space left")
				}
				return f.Sync()
			}
		}
		return log, loaded, err
	}
	if err := s.Open(""); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g runner.Group
	if err := s.Start(ctx, &g); err != nil {
		t.Fatal(err)
	}
	if s.Unjoined() {
		self := s.Self
		self.Voter = true
		if err := s.Bootstrap(ctx, []quorum.Member{self}); err != nil {
			t.Fatal(err)
		}
	}
	return s, func() {
		cancel()
		g.Wait()
	}
}

func put(s *Store, version uint64, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_, err := s.Propose(ctx, state.PutRules{Version: version, Text: []byte("rules")})
	return err
}

// TestFullDiskAcknowledgesNothingAndRecovers fills the disk, frees it, and restarts the daemon.
func TestFullDiskAcknowledgesNothingAndRecovers(t *testing.T) {
	var full atomic.Bool
	folder := t.TempDir()
	s, stop := start(t, folder, 8, &full)
	if err := put(s, 1, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	full.Store(true)
	if err := put(s, 2, 300*time.Millisecond); err == nil {
		t.Error("got an acknowledgement on a full disk, want none")
	}
	full.Store(false)
	deadline := time.Now().Add(5 * time.Second)
	err := put(s, 3, time.Second)
	for err != nil && time.Now().Before(deadline) {
		err = put(s, 3, time.Second)
	}
	if err != nil {
		t.Fatalf("got %v after the disk was freed, want it to work again", err)
	}
	stop()
	s, stop = start(t, folder, 8, &full)
	defer stop()
	if err := put(s, 2, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	var got uint64
	s.View(func(v *state.State) { got = v.Rules.Version })
	if got != 3 {
		t.Errorf("got version %d after a restart, want 3", got)
	}
}

// TestLargeCommandsShortenTheLog keeps the log in memory short by its size.
func TestLargeCommandsShortenTheLog(t *testing.T) {
	var full atomic.Bool
	s, stop := start(t, t.TempDir(), 1<<20, &full)
	defer stop()
	text := make([]byte, 100<<10)
	for version := uint64(1); version <= 20; version++ {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if _, err := s.Propose(ctx, state.PutRules{Version: version, Text: text}); err != nil {
			t.Fatal(err)
		}
		cancel()
	}
	if got := s.Status().LogLength; got > 8 {
		t.Errorf("got %d entries kept, want at most 8 of 100 KB", got)
	}
}
