package local

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"swiftbeam/internal/fakes"
	"swiftbeam/pkg/caller"
)

// BenchmarkRelay measures the time per token of 16 concurrent streams of 200 tokens through a daemon with
// a mirror, from an engine that sends without pauses. The callers, both daemons and the engine share one
// process, so the result is an upper bound for the daemon alone.
func BenchmarkRelay(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	d, err := Start(ctx, Options{Daemons: 2, Voters: 1, Folder: b.TempDir()})
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	for name, text := range map[string]string{"accounts": AccountsSection, "luthier-model": ModelSection("v1", "")} {
		if err := d.Put(ctx, name, text); err != nil {
			b.Fatal(err)
		}
	}
	if _, err := d.StartEngine("v1", Zones[0], func(e *fakes.Engine) { e.TokenGap, e.PrefillPerBlock, e.Slots = 0, 0, 64 }); err != nil {
		b.Fatal(err)
	}
	if err := d.WaitUntil(ctx, "the engine is known", func() bool { return readyEverywhere(d, "luthier-model", 1) }); err != nil {
		b.Fatal(err)
	}
	const tokens, callers = 200, 16
	c := d.CallerAt(0)
	b.ResetTimer()
	var wait sync.WaitGroup
	for w := range callers {
		wait.Go(func() {
			for i := w; i < b.N; i += callers {
				p := caller.Prompt{Model: "luthier-model", Prompt: fmt.Sprint("p", i), MaxTokens: tokens}
				if _, err := c.Stream(ctx, p, nil); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wait.Wait()
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*tokens), "us/token")
}
