package store

import (
	"context"
	"errors"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"swiftbeam/internal/disk"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// noPeers is a network without other members.
type noPeers struct{}

func (noPeers) Send(quorum.Member, []quorum.Message) {}

func (noPeers) ProposeAt(context.Context, string, []byte) (uint64, []byte, error) {
	return 0, nil, errors.New("no other member")
}

// startSingle runs a group of a single voter. While full is set, its data folder can be neither opened
// nor synced.
func startSingle(t *testing.T, folder string, every uint64, full *atomic.Bool) (*Store, func()) {
	t.Helper()
	s := &Store{
		Settings: quorum.Settings{ElectionTimeout: 60, Heartbeat: 20, Voters: 1, BatchBytes: 1 << 20, Seed: 1},
		Self:     quorum.Member{Name: "a", Address: "a:1"},
		Folder:   folder, Clock: clock.Start(), Network: noPeers{}, Log: logr.Discard(), SnapshotEvery: every,
	}
	s.OpenDisk = func(folder string) (*disk.Log, disk.Loaded, error) {
		if full.Load() {
			return nil, disk.Loaded{}, errors.New("no space left")
		}
		return disk.Files{Sync: func(f *os.File) error {
			if full.Load() {
				return errors.New("no space left")
			}
			return f.Sync()
		}}.Open(folder)
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

func putRules(s *Store, version uint64, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_, err := s.Propose(ctx, state.PutRules{Version: version, Text: []byte("rules")})
	return err
}

// TestFullDiskAcknowledgesNothingAndRecovers checks that a voter acknowledges nothing while its disk
// is full, works again once there is space, and has all acknowledged changes after a restart.
func TestFullDiskAcknowledgesNothingAndRecovers(t *testing.T) {
	var full atomic.Bool
	folder := t.TempDir()
	s, stop := startSingle(t, folder, 8, &full)
	if err := putRules(s, 1, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	full.Store(true)
	if err := putRules(s, 2, 300*time.Millisecond); err == nil {
		t.Error("got an acknowledgement with a full disk, want an error")
	}
	full.Store(false)
	deadline := time.Now().Add(5 * time.Second)
	err := putRules(s, 3, time.Second)
	for err != nil && time.Now().Before(deadline) {
		err = putRules(s, 3, time.Second)
	}
	if err != nil {
		t.Fatalf("got error %v after space was freed on the disk, want none", err)
	}
	stop()
	s, stop = startSingle(t, folder, 8, &full)
	defer stop()
	if err := putRules(s, 2, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	var got uint64
	s.View(func(v *state.State) { got = v.Rules.Version })
	if got != 3 {
		t.Errorf("got version %d after a restart, want 3", got)
	}
}

// TestLargeCommandsCompactTheLog checks that the log is compacted by the size of its commands long
// before it reaches the number of entries for a snapshot.
func TestLargeCommandsCompactTheLog(t *testing.T) {
	var full atomic.Bool
	s, stop := startSingle(t, t.TempDir(), 1<<20, &full)
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
		t.Errorf("got a log of %d entries of 100 KB, want at most 8", got)
	}
}

// TestSlowDiskIsLogged guards against a daemon that starts or commits late without a trace of its cause.
func TestSlowDiskIsLogged(t *testing.T) {
	lines := make(chan string, 100)
	s := &Store{
		Settings: quorum.Settings{ElectionTimeout: 60, Heartbeat: 20, Voters: 1, BatchBytes: 1 << 20, Seed: 1},
		Self:     quorum.Member{Name: "a", Address: "a:1"}, Folder: t.TempDir(), Clock: clock.Start(), Network: noPeers{},
		Log: funcr.New(func(_, line string) { lines <- line }, funcr.Options{}),
		OpenDisk: disk.Files{Sync: func(f *os.File) error {
			time.Sleep(100 * time.Millisecond)
			return f.Sync()
		}}.Open,
	}
	if err := s.Open(""); err != nil {
		t.Fatal(err)
	}
	s.handle([]quorum.Event{bootstrapEvent{members: []quorum.Member{s.Self}}})
	if err := s.log.Close(); err != nil {
		t.Error(err)
	}
	close(lines)
	var got []string
	for line := range lines {
		if strings.Contains(line, "data folder is slow") {
			got = append(got, line)
		}
	}
	if len(got) != 2 || !strings.Contains(got[0], `"call"="open"`) || !strings.Contains(got[1], `"call"="sync"`) {
		t.Errorf("got lines %q, want one of the opening and one of the first sync", got)
	}
}
