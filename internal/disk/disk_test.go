package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"swiftbeam/internal/fault"
	"swiftbeam/internal/quorum"
)

func entry(index uint64) quorum.Entry {
	return quorum.Entry{Index: index, Term: 1, Kind: quorum.Command, Data: fmt.Appendf(nil, "command %d", index)}
}

func open(t testing.TB, folder string) (*Log, Loaded) {
	t.Helper()
	l, loaded, err := Open(folder)
	if err != nil {
		t.Fatalf("got error %v, want none", err)
	}
	t.Cleanup(func() { l.Close() })
	return l, loaded
}

func write(t testing.TB, l *Log, from, to uint64) {
	t.Helper()
	for i := from; i <= to; i++ {
		l.Append([]quorum.Entry{entry(i)})
	}
	if err := l.Sync(); err != nil {
		t.Fatalf("got error %v, want none", err)
	}
}

func TestReopen(t *testing.T) {
	folder := t.TempDir()
	l, first := open(t, folder)
	l.AppendHard(quorum.HardState{Term: 3, Vote: "a"})
	write(t, l, 1, 5)
	write(t, l, 4, 6) // replaces entries 4 and 5
	_, got := open(t, folder)
	if got.Identity != first.Identity {
		t.Errorf("got identity %q, want %q", got.Identity, first.Identity)
	}
	if want := (quorum.HardState{Term: 3, Vote: "a"}); got.Hard != want {
		t.Errorf("got hard state %+v, want %+v", got.Hard, want)
	}
	if len(got.Entries) != 6 || got.Entries[5].Index != 6 {
		t.Errorf("got %d entries, want 6", len(got.Entries))
	}
}

// TestTruncationAtEveryByte truncates the log at each byte of the last write, as a crash may. Open must
// return exactly the entries that were synced before, and the last one only if it is complete.
func TestTruncationAtEveryByte(t *testing.T) {
	source := t.TempDir()
	l, _ := open(t, source)
	write(t, l, 1, 3)
	synced := l.Bytes
	write(t, l, 4, 4)
	data, err := os.ReadFile(filepath.Join(source, logName))
	if err != nil {
		t.Fatal(err)
	}
	synced -= l.Bytes - int64(len(data)) // subtracts the bytes written to other files
	for length := synced; length <= int64(len(data)); length++ {
		folder := copyFolder(t, source, data[:length])
		_, got := open(t, folder)
		want := 3
		if length == int64(len(data)) {
			want = 4
		}
		if len(got.Entries) != want {
			t.Fatalf("truncated at %d of %d: got %d entries, want %d", length, len(data), len(got.Entries), want)
		}
	}
}

// TestCorruptionBeforeTheLastRecord checks that Open fails when a bit of any byte of an early record is
// flipped, because the acknowledged entries after it would be lost.
func TestCorruptionBeforeTheLastRecord(t *testing.T) {
	source := t.TempDir()
	l, _ := open(t, source)
	write(t, l, 1, 8)
	data, err := os.ReadFile(filepath.Join(source, logName))
	if err != nil {
		t.Fatal(err)
	}
	for at := range len(data) / 8 {
		corrupted := append([]byte(nil), data...)
		corrupted[at] ^= 0x40
		_, _, err := Open(copyFolder(t, source, corrupted))
		if got, want := fault.KindOf(err), fault.Damaged; got != want {
			t.Fatalf("bit flipped in byte %d: got kind %v (%v), want %v", at, got, err, want)
		}
	}
}

func copyFolder(t *testing.T, source string, log []byte) string {
	t.Helper()
	folder := t.TempDir()
	identity, err := os.ReadFile(filepath.Join(source, identityName))
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{identityName: identity, logName: log} {
		if err := os.WriteFile(filepath.Join(folder, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

func TestLogIsUnusableAfterFailedSync(t *testing.T) {
	l, _ := open(t, t.TempDir())
	l.files.Sync = func(*os.File) error { return errors.New("no space left on device") }
	l.Append([]quorum.Entry{entry(1)})
	first := l.Sync()
	if got, want := fault.KindOf(first), fault.Damaged; got != want {
		t.Fatalf("got kind %v, want %v", got, want)
	}
	l.files.Sync = (*os.File).Sync
	l.Append([]quorum.Entry{entry(2)})
	if err := l.Sync(); err == nil {
		t.Error("got no error after a failed sync, want the first error again")
	}
}

func TestSnapshotReplacesTheLog(t *testing.T) {
	folder := t.TempDir()
	l, _ := open(t, folder)
	write(t, l, 1, 10)
	snap := quorum.Snapshot{Index: 8, Term: 1, Data: []byte("state")}
	if err := l.SaveSnapshot(snap, quorum.HardState{Term: 2}, []quorum.Entry{entry(9), entry(10)}); err != nil {
		t.Fatalf("got error %v, want none", err)
	}
	write(t, l, 11, 11)
	_, got := open(t, folder)
	if got.Snapshot.Index != 8 || string(got.Snapshot.Data) != "state" {
		t.Errorf("got snapshot %d %q, want 8 %q", got.Snapshot.Index, got.Snapshot.Data, "state")
	}
	if len(got.Entries) != 3 || got.Entries[0].Index != 9 {
		t.Errorf("got %d entries, want 9 to 11", len(got.Entries))
	}
}

func TestOpenFailsForLogWithoutIdentity(t *testing.T) {
	folder := t.TempDir()
	l, _ := open(t, folder)
	write(t, l, 1, 1)
	if err := os.Remove(filepath.Join(folder, identityName)); err != nil {
		t.Fatal(err)
	}
	_, _, err := Open(folder)
	if got, want := fault.KindOf(err), fault.Damaged; got != want {
		t.Errorf("got kind %v, want %v", got, want)
	}
}

// BenchmarkOpen measures opening a folder with a log of 1,000 entries of 2 KB.
func BenchmarkOpen(b *testing.B) {
	folder := b.TempDir()
	l, _ := open(b, folder)
	for i := uint64(1); i <= 1000; i++ {
		e := entry(i)
		e.Data = make([]byte, 2048)
		l.Append([]quorum.Entry{e})
	}
	if err := l.Sync(); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		again, _, err := Open(folder)
		if err != nil {
			b.Fatal(err)
		}
		again.Close()
	}
}

// BenchmarkSync measures appending and syncing one entry of 2 KB.
func BenchmarkSync(b *testing.B) {
	l, _ := open(b, b.TempDir())
	e := entry(1)
	e.Data = make([]byte, 2048)
	for b.Loop() {
		l.Append([]quorum.Entry{e})
		if err := l.Sync(); err != nil {
			b.Fatal(err)
		}
	}
}

// TestFailedSnapshotTakesNoSpace guards against a log that can never be written again because the incomplete file of a
// snapshot fills the disk.
func TestFailedSnapshotTakesNoSpace(t *testing.T) {
	const space = 4 << 10
	folder := t.TempDir()
	used := func() int {
		t.Helper()
		entries, err := os.ReadDir(folder)
		if err != nil {
			t.Fatal(err)
		}
		total := 0
		for _, e := range entries {
			info, err := e.Info()
			if err != nil {
				t.Fatal(err)
			}
			total += int(info.Size())
		}
		return total
	}
	files := Files{Write: func(f *os.File, data []byte) (int, error) {
		if free := space - used(); len(data) > free {
			n, _ := f.Write(data[:free])
			return n, syscall.ENOSPC
		}
		return f.Write(data)
	}}
	l, _, err := files.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	write(t, l, 1, 5)
	snap := quorum.Snapshot{Index: 5, Term: 1, Data: make([]byte, space)}
	if err := l.SaveSnapshot(snap, quorum.HardState{Term: 1}, nil); err == nil {
		t.Fatal("got no error for a snapshot that is larger than the disk, want one")
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	l, loaded, err := files.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if len(loaded.Entries) != 5 {
		t.Errorf("got %d entries after the failure, want 5", len(loaded.Entries))
	}
	write(t, l, 6, 6)
}
