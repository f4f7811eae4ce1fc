package local

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"swiftbeam/internal/quorum"
	"swiftbeam/internal/state"
)

// BenchmarkCommit measures the time to commit a command with 3 and 5 voters that write to disk, for one
// writer and for 64 concurrent writers.
func BenchmarkCommit(b *testing.B) {
	for _, voters := range []int{3, 5} {
		for _, writers := range []int{1, 64} {
			b.Run(fmt.Sprintf("voters=%d/writers=%d", voters, writers), func(b *testing.B) { benchmarkCommit(b, voters, writers) })
		}
	}
}

func benchmarkCommit(b *testing.B, voters, writers int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d, err := Start(ctx, Options{Daemons: voters, Voters: voters, Folder: b.TempDir()})
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	leader := 0
	for i := range voters {
		if d.Daemon(i).Store.Status().Role == quorum.Leader {
			leader = i
		}
	}
	store := d.Daemon(leader).Store
	b.ResetTimer()
	var wait sync.WaitGroup
	for w := range writers {
		wait.Go(func() {
			for i := w; i < b.N; i += writers {
				if _, err := store.Propose(ctx, state.Barrier{}); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wait.Wait()
}
