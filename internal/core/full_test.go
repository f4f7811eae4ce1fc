package core

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"swiftbeam/internal/disk"
	"swiftbeam/internal/quota"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/state"
)

// Bounds of the operators while a majority of the disks has room: ackTime until a change is acknowledged, catchUpTime
// until a daemon whose disk has room again is a full member.
const (
	ackTime     = 4 * time.Second
	catchUpTime = 4 * time.Second
)

// fullDisk fails calls for the files of one daemon as a disk without space does.
type fullDisk struct {
	// failing returns whether a call fails; nil while there is space.
	failing atomic.Pointer[func(call string) bool]
}

func (d *fullDisk) fails(call string) bool {
	failing := d.failing.Load()
	return failing != nil && (*failing)(call)
}

func (d *fullDisk) files() disk.Files {
	return disk.Files{
		OpenFile: func(name string, flag int, perm os.FileMode) (*os.File, error) {
			if flag&os.O_CREATE != 0 && d.fails("create") {
				return nil, syscall.ENOSPC
			}
			return os.OpenFile(name, flag, perm)
		},
		Write: func(f *os.File, data []byte) (int, error) {
			if d.fails("write") {
				return 0, syscall.ENOSPC
			}
			if d.fails("part") {
				n, _ := f.Write(data[:len(data)/2])
				return n, syscall.ENOSPC
			}
			return f.Write(data)
		},
		Truncate: func(f *os.File, size int64) error {
			if d.fails("truncate") {
				return syscall.ENOSPC
			}
			return f.Truncate(size)
		},
		Sync: func(f *os.File) error {
			if d.fails("sync") {
				return syscall.ENOSPC
			}
			return f.Sync()
		},
		Rename: func(from, to string) error {
			if d.fails("rename " + filepath.Base(to)) {
				return syscall.ENOSPC
			}
			return os.Rename(from, to)
		},
	}
}

// acknowledge sends rules, and a record that no later one replaces, as an operator does: to one daemon after the other, with
// a second for each, until one acknowledges both. It reports how long that took.
func (g *cluster) acknowledge(version uint64, first int) (time.Duration, error) {
	start := time.Now()
	var err error
	for n := 0; time.Since(start) < 3*ackTime; n++ {
		if c := g.cores[(first+n)%len(g.cores)]; c != nil {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err = c.PutRules(ctx, &rules.Set{Version: version, Text: fmt.Appendf(nil, "rules %d", version)})
			if err == nil {
				_, err = c.propose(ctx, state.RecordSpending{Records: []quota.Record{{Account: fmt.Sprint("account-", version), At: 1}}})
			}
			cancel()
			if err == nil {
				return time.Since(start), nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start), err
}

// awaitAll waits until every daemon has applied the rules of the version and the given number of records.
func (g *cluster) awaitAll(version uint64, records int, within time.Duration) {
	g.t.Helper()
	deadline := time.Now().Add(within)
	for i, c := range g.cores {
		for {
			var gotVersion uint64
			var gotRecords int
			c.Store.View(func(s *state.State) { gotVersion, gotRecords = s.Rules.Version, len(s.Spending) })
			if gotVersion == version && gotRecords == records {
				break
			}
			if time.Now().After(deadline) {
				g.t.Errorf("core %d: got version %d and %d records after %v, want %d and %d", i, gotVersion, gotRecords, within, version, records)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// failCalls makes calls with these names fail.
func failCalls(names ...string) func(string) bool {
	return func(call string) bool { return slices.Contains(names, call) }
}

// failAfter makes first decide for a time, and then second.
func failAfter(wait time.Duration, first, second func(string) bool) func(string) bool {
	start := time.Now()
	return func(call string) bool {
		if time.Since(start) < wait {
			return first(call)
		}
		return second(call)
	}
}

// failSome makes one call in n fail.
func failSome(random *rand.Rand, n int) func(string) bool {
	seed := random.Uint64()
	var calls atomic.Uint64
	return func(string) bool { return rand.New(rand.NewPCG(seed, calls.Add(1))).IntN(n) == 0 }
}

// TestDisksFullOneAfterAnother guards against daemons that stay outside the group, or apply less than was committed, after
// their disks were full one after another.
func TestDisksFullOneAfterAnother(t *testing.T) {
	for seed, c := range []struct {
		name string
		// fail returns which calls fail on the disk.
		fail func(*rand.Rand) func(call string) bool
		// beside is what else happens to the daemon meanwhile.
		beside trouble
		// longer is added to the time for which each disk is full.
		longer time.Duration
	}{
		{"writes", func(*rand.Rand) func(string) bool { return failCalls("write", "create") }, none, 0},
		{"parts of writes", func(*rand.Rand) func(string) bool { return failCalls("part") }, none, 0},
		{"syncs", func(*rand.Rand) func(string) bool { return failCalls("sync") }, none, 0},
		{"new files", func(*rand.Rand) func(string) bool { return failCalls("create") }, none, 0},
		{"renames", func(*rand.Rand) func(string) bool { return failCalls("rename snapshot", "rename log") }, none, 0},
		{"truncation", func(*rand.Rand) func(string) bool { return failCalls("write", "truncate") }, none, 0},
		{"log behind a new snapshot", func(*rand.Rand) func(string) bool {
			return failAfter(time.Second, failCalls("write"), failCalls("rename log"))
		}, none, 2 * time.Second},
		{"now and then", func(r *rand.Rand) func(string) bool { return failSome(r, 6) }, none, 0},
		{"slow syncs in place of full disks", func(*rand.Rand) func(string) bool {
			return func(call string) bool {
				if call == "sync" {
					time.Sleep(400 * time.Millisecond)
				}
				return false
			}
		}, none, 0},
		{"killed", func(*rand.Rand) func(string) bool { return failCalls("part", "create") }, killed, 0},
		{"cut off", func(*rand.Rand) func(string) bool { return failCalls("write", "create") }, cutOff, 0},
		{"wiped", func(*rand.Rand) func(string) bool { return failCalls("write", "create") }, wiped, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := prepareCluster(t, 5)
			// Snapshots are taken, sent and installed while disks are full.
			g.snapshotEvery = 8
			for i := range g.cores {
				g.start(i)
			}
			g.putRules(1)
			g.awaitHealthy(10 * time.Second)
			random := rand.New(rand.NewPCG(1, uint64(seed)))
			version := uint64(1)
			for _, i := range random.Perm(5) {
				if random.IntN(2) == 0 {
					i = g.leader()
				}
				fail := c.fail(random)
				g.full[i].failing.Store(&fail)
				hold := c.longer + time.Duration(1000+random.IntN(2000))*time.Millisecond
				space := time.AfterFunc(hold, func() { g.full[i].failing.Store(nil) })
				version = g.changeRules(version, hold/3, random.IntN(5))
				end := g.disturb(i, c.beside)
				version = g.changeRules(version, hold-hold/3, random.IntN(5))
				space.Stop()
				g.full[i].failing.Store(nil)
				end()
				time.Sleep(time.Duration(random.IntN(3)) * 300 * time.Millisecond)
			}
			g.awaitHealthy(catchUpTime)
			// The first version had no record.
			g.awaitAll(version, int(version-1), catchUpTime)

			version++
			if _, err := g.acknowledge(version, random.IntN(5)); err != nil {
				t.Fatal(err)
			}
			lost := random.Perm(5)[:2]
			for _, i := range lost {
				g.crash(i, true)
			}
			for _, i := range lost {
				g.start(i)
			}
			g.awaitHealthy(catchUpTime)
			g.awaitAll(version, int(version-1), catchUpTime)
		})
	}
}

// trouble is what happens to a daemon beside its full disk.
type trouble int

const (
	none trouble = iota
	// killed daemons are started again at once, wiped ones without their files.
	killed
	wiped
	cutOff
)

// disturb causes trouble at daemon i. The returned function ends it, once the disk has space.
func (g *cluster) disturb(i int, beside trouble) (end func()) {
	switch beside {
	case killed, wiped:
		g.crash(i, beside == wiped)
		if err := g.tryStart(i); err == nil {
			return func() {}
		}
		return func() { g.start(i) }
	case cutOff:
		g.links.setCut(g.settings[i].Peers, true)
		return func() { g.links.setCut(g.settings[i].Peers, false) }
	}
	return func() {}
}

// changeRules sends new rules to the daemons in turn for a time and returns the last version. A change that is not
// acknowledged within ackTime is an error.
func (g *cluster) changeRules(version uint64, during time.Duration, first int) uint64 {
	g.t.Helper()
	const interval = 100 * time.Millisecond
	for start := time.Now(); time.Since(start) < during; time.Sleep(interval) {
		version++
		if took, err := g.acknowledge(version, first); err != nil || took > ackTime {
			g.t.Errorf("rules %d: acknowledged after %v, error %v, want an acknowledgement within %v", version, took, err, ackTime)
		}
		first++
	}
	return version
}

// TestGroupOfOneFormsOnceItsDiskHasRoom guards against a daemon without a group, and so without a leader, for as long as it
// runs, because its disk was full when it formed the group.
func TestGroupOfOneFormsOnceItsDiskHasRoom(t *testing.T) {
	g := prepareCluster(t, 1)
	// The disk is full from the first record on.
	log, _, err := disk.Open(g.settings[0].DataFolder)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	fail := failCalls("write")
	g.full[0].failing.Store(&fail)
	g.start(0)
	time.Sleep(time.Second)
	if got := g.cores[0].Store.Status().Failed; got == "" {
		t.Error("got a usable data folder while the disk is full, want a failed one")
	}
	g.full[0].failing.Store(nil)
	if took, err := g.acknowledge(1, 0); err != nil || took > ackTime {
		t.Errorf("acknowledged after %v, error %v, want an acknowledgement within %v", took, err, ackTime)
	}
}
