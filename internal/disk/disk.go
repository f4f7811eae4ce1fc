// Package disk stores the log, the hard state and the newest snapshot of a voter in one data folder.
// Appended records are durable once Sync has returned without an error:
//
//	log, loaded, err := disk.Open(folder)
//	log.Append(entries)
//	err = log.Sync()
//
// Records carry checksums. Open truncates an incomplete record at the end of the log. It fails if
// valid records follow a corrupted one, because acknowledged entries are missing then. After a failed
// write or sync, the log accepts no further operation.
package disk

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/fault"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/wire"
)

const (
	logName      = "log"
	snapshotName = "snapshot"
	identityName = "identity"
	headerBytes  = 9
	// maxRecordBytes is the maximum length of a record; a greater length field is corrupted.
	maxRecordBytes = 256 << 20
)

// Types of records.
const (
	recordHard byte = iota + 1
	recordEntry
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Loaded is the content of a data folder when it was opened.
type Loaded struct {
	Identity string
	Hard     quorum.HardState
	Snapshot quorum.Snapshot
	Entries  []quorum.Entry
	// TruncatedBytes is the length of the incomplete record that was removed from the end of the log.
	TruncatedBytes int64
}

// Files are the calls that change files. A nil field stands for the call of package os; tests replace it by one that fails.
type Files struct {
	OpenFile func(name string, flag int, perm os.FileMode) (*os.File, error)
	Write    func(f *os.File, data []byte) (int, error)
	Truncate func(f *os.File, size int64) error
	Sync     func(f *os.File) error
	Rename   func(from, to string) error
}

func (f Files) withDefaults() Files {
	if f.OpenFile == nil {
		f.OpenFile = os.OpenFile
	}
	if f.Write == nil {
		f.Write = (*os.File).Write
	}
	if f.Truncate == nil {
		f.Truncate = (*os.File).Truncate
	}
	if f.Sync == nil {
		f.Sync = (*os.File).Sync
	}
	if f.Rename == nil {
		f.Rename = os.Rename
	}
	return f
}

// Log writes to a data folder. It is not safe for concurrent use.
type Log struct {
	// Bytes is the number of bytes written.
	Bytes int64

	folder string
	files  Files
	file   *os.File
	buffer []byte
	failed error
}

// Open reads the data folder. It creates the folder if it does not exist.
func Open(folder string) (*Log, Loaded, error) { return Files{}.Open(folder) }

// Open is the function Open with these calls.
func (f Files) Open(folder string) (*Log, Loaded, error) {
	var loaded Loaded
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, loaded, errors.Wrapf(err, "create data folder %s", folder)
	}
	l := &Log{folder: folder, files: f.withDefaults()}
	if err := l.load(&loaded); err != nil {
		return nil, loaded, err
	}
	return l, loaded, nil
}

func (l *Log) load(loaded *Loaded) error {
	if err := l.loadIdentity(loaded); err != nil {
		return err
	}
	if err := l.loadSnapshot(loaded); err != nil {
		return err
	}
	return l.loadLog(loaded)
}

func (l *Log) path(name string) string { return filepath.Join(l.folder, name) }

// loadIdentity reads the random string that becomes part of the daemon's member ID from the data folder.
// A folder without one gets a new one, so that a daemon that lost its disk joins as a new member; a
// folder that contains a log but no such string is reported as damaged.
func (l *Log) loadIdentity(loaded *Loaded) error {
	data, err := os.ReadFile(l.path(identityName))
	if err == nil {
		loaded.Identity = strings.TrimSpace(string(data))
		return nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "read identity")
	}
	if _, err := os.Stat(l.path(logName)); err == nil {
		return fault.New(fault.Damaged, "data folder %s has a log but no identity", l.folder).
			Remedy("restore the identity file, or empty the folder to join as a new member")
	}
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return errors.Wrap(err, "generate identity")
	}
	loaded.Identity = hex.EncodeToString(random[:])
	return l.replaceFile(identityName, []byte(loaded.Identity+"\n"))
}

func (l *Log) loadSnapshot(loaded *Loaded) error {
	data, err := os.ReadFile(l.path(snapshotName))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read snapshot")
	}
	_, body, size := parseRecord(data)
	if size == 0 || size != len(data) {
		return corruptedError(l.path(snapshotName), 0)
	}
	loaded.Snapshot, err = wire.DecodeSnapshot(body)
	if err != nil {
		return corruptedError(l.path(snapshotName), 0)
	}
	return nil
}

func (l *Log) loadLog(loaded *Loaded) error {
	data, err := os.ReadFile(l.path(logName))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "read log")
	}
	valid, err := l.replay(data, loaded)
	if err != nil {
		return err
	}
	if len(loaded.Entries) > 0 && loaded.Entries[0].Index != loaded.Snapshot.Index+1 {
		return fault.New(fault.Damaged, "data folder %s has entries from %d on, but the state only up to %d", l.folder, loaded.Entries[0].Index, loaded.Snapshot.Index).
			Remedy("keep a copy of the data folder, then empty it; the daemon joins as a new member, and the quorum replaces the old one")
	}
	l.file, err = l.files.OpenFile(l.path(logName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	loaded.TruncatedBytes = int64(len(data) - valid)
	if err := l.files.Truncate(l.file, int64(valid)); err != nil {
		return errors.Wrap(err, "truncate incomplete record")
	}
	if _, err := l.file.Seek(int64(valid), 0); err != nil {
		return errors.Wrap(err, "seek log")
	}
	if err := l.files.Sync(l.file); err != nil {
		return errors.Wrap(err, "sync log")
	}
	return l.syncFolder()
}

// replay applies the records of the log to loaded and returns the length of the valid part.
func (l *Log) replay(data []byte, loaded *Loaded) (int, error) {
	at := 0
	for at < len(data) {
		kind, body, size := parseRecord(data[at:])
		if size == 0 {
			if containsValidRecord(data[at+1:]) {
				return 0, corruptedError(l.path(logName), at)
			}
			return at, nil
		}
		if err := loaded.applyRecord(kind, body); err != nil {
			return 0, corruptedError(l.path(logName), at)
		}
		at += size
	}
	return at, nil
}

func (d *Loaded) applyRecord(kind byte, body []byte) error {
	if kind == recordHard {
		hard, err := wire.DecodeHardState(body)
		d.Hard = hard
		return err
	}
	e, err := wire.DecodeEntry(body)
	if err != nil || e.Index <= d.Snapshot.Index {
		return err
	}
	for len(d.Entries) > 0 && d.Entries[len(d.Entries)-1].Index >= e.Index {
		d.Entries = d.Entries[:len(d.Entries)-1]
	}
	d.Entries = append(d.Entries, e)
	return nil
}

// parseRecord returns the first record of data. size is 0 if the record is incomplete or corrupted.
func parseRecord(data []byte) (kind byte, body []byte, size int) {
	if len(data) < headerBytes {
		return 0, nil, 0
	}
	length := int(binary.LittleEndian.Uint32(data))
	if length > maxRecordBytes || len(data) < headerBytes+length {
		return 0, nil, 0
	}
	size = headerBytes + length
	if crc32.Checksum(data[8:size], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return 0, nil, 0
	}
	return data[8], data[headerBytes:size], size
}

func containsValidRecord(data []byte) bool {
	for at := range data {
		kind, _, size := parseRecord(data[at:])
		if size > 0 && (kind == recordHard || kind == recordEntry) {
			return true
		}
	}
	return false
}

func corruptedError(path string, at int) error {
	return fault.New(fault.Damaged, "%s is corrupted at byte %d, before its end", path, at).
		Remedy("keep a copy of the data folder, then empty it; the daemon joins as a new member, and the quorum replaces the old one")
}

// AppendHard buffers the hard state for the next Sync.
func (l *Log) AppendHard(hard quorum.HardState) {
	l.buffer = appendRecord(l.buffer, recordHard, wire.EncodeHardState(hard))
}

// Append buffers entries for the next Sync. They replace all entries of the log from the index of the
// first one on.
func (l *Log) Append(entries []quorum.Entry) {
	for _, e := range entries {
		l.buffer = appendRecord(l.buffer, recordEntry, wire.EncodeEntry(e))
	}
}

func appendRecord(b []byte, kind byte, body []byte) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = append(b, 0, 0, 0, 0, kind)
	b = append(b, body...)
	binary.LittleEndian.PutUint32(b[start+4:], crc32.Checksum(b[start+8:], castagnoli))
	return b
}

// Sync writes the buffered records and returns once they are on disk. After an error the log is
// unusable, and every later call returns the same error.
func (l *Log) Sync() error {
	if l.failed != nil || len(l.buffer) == 0 {
		return l.failed
	}
	n, err := l.files.Write(l.file, l.buffer)
	l.Bytes += int64(n)
	l.buffer = l.buffer[:0]
	if err == nil {
		err = l.files.Sync(l.file)
	}
	return l.setFailed(err)
}

// SaveSnapshot stores a snapshot and replaces the log by the hard state and the entries that follow
// the snapshot.
func (l *Log) SaveSnapshot(snap quorum.Snapshot, hard quorum.HardState, rest []quorum.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	record := appendRecord(nil, recordEntry, wire.EncodeSnapshot(snap))
	if err := l.replaceFile(snapshotName, record); err != nil {
		return l.setFailed(err)
	}
	l.buffer = l.buffer[:0]
	body := appendRecord(nil, recordHard, wire.EncodeHardState(hard))
	for _, e := range rest {
		body = appendRecord(body, recordEntry, wire.EncodeEntry(e))
	}
	if err := l.replaceFile(logName, body); err != nil {
		return l.setFailed(err)
	}
	return l.setFailed(l.reopen())
}

func (l *Log) reopen() error {
	if err := l.file.Close(); err != nil {
		return err
	}
	var err error
	l.file, err = l.files.OpenFile(l.path(logName), os.O_RDWR|os.O_APPEND, 0o600)
	return err
}

// Close closes the log file without a sync.
func (l *Log) Close() error { return l.file.Close() }

func (l *Log) setFailed(err error) error {
	if err != nil && l.failed == nil {
		l.failed = fault.New(fault.Damaged, "data folder %s: %v", l.folder, err).
			Remedy("free space on the disk or replace it, and restart the daemon; until then it does not vote")
	}
	return l.failed
}

// replaceFile replaces a file of the folder atomically: after a crash it has either the old or the
// new content.
func (l *Log) replaceFile(name string, data []byte) error {
	temp := l.path(name + ".tmp")
	f, err := l.files.OpenFile(temp, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	n, err := l.files.Write(f, data)
	l.Bytes += int64(n)
	if err == nil {
		err = l.files.Sync(f)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = l.files.Rename(temp, l.path(name))
	}
	if err != nil {
		// On a full disk, the log needs the space of the incomplete file.
		_ = os.Remove(temp)
		return errors.Wrapf(err, "replace %s", l.path(name))
	}
	return l.syncFolder()
}

func (l *Log) syncFolder() error {
	f, err := os.Open(l.folder)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	err = l.files.Sync(f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "sync data folder")
}
