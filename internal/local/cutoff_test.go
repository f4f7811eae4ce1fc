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

// TestCallersOfADaemonCutOffFromServersAreServed cuts one of three daemons off from all backend servers. From 3 s later
// on, its callers must be served nine tenths as often as those of the others. Each request is a single attempt at one
// daemon.
func TestCallersOfADaemonCutOffFromServersAreServed(t *testing.T) {
	partition := &Partition{}
	ctx, d := startCluster(t, Options{Daemons: 3, BackendPartition: partition})
	startEngines(ctx, t, d, 4, nil)
	var runs fakes.RunLog
	for _, zone := range Zones[:3] {
		if _, err := d.StartPaymentServer(&runs, zone); err != nil {
			t.Fatal(err)
		}
	}
	waitUntil(ctx, t, d, "all servers are known", func() bool {
		return readyEverywhere(d, "luthier-model", 4) && readyEverywhere(d, "commission-ledger", 3)
	})
	type call struct {
		daemon int
		sentAt time.Time
		served bool
	}
	var mu sync.Mutex
	var calls []call
	var work sync.WaitGroup
	load, stop := context.WithCancel(ctx)
	defer stop()
	for i := range 3 {
		client := d.CallerAt(i)
		client.MaxAttempts = 1
		for kind := range 2 {
			work.Go(func() {
				for n := 0; load.Err() == nil; n++ {
					work.Go(func() {
						c := call{daemon: i, sentAt: time.Now()}
						var err error
						if kind == 0 {
							_, err = client.Stream(ctx, caller.Prompt{Model: "luthier-model", Prompt: fmt.Sprint("letter ", i, n), MaxTokens: 8}, nil)
						} else {
							_, err = client.Call(ctx, "/deposits", fmt.Sprint("key-", i, "-", n), []byte(`{"cents": 25000}`))
						}
						c.served = err == nil
						mu.Lock()
						defer mu.Unlock()
						calls = append(calls, c)
					})
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(time.Second)
	partition.SetIsolated(d.Settings(0).Listen.Peers, true)
	cutAt := time.Now()
	from, to := cutAt.Add(3*time.Second), cutAt.Add(6*time.Second)
	time.Sleep(time.Until(to))
	stop()
	work.Wait()
	share := func(selected func(daemon int) bool) float64 {
		sent, served := 0, 0
		for _, c := range calls {
			if c.sentAt.Before(from) || c.sentAt.After(to) || !selected(c.daemon) {
				continue
			}
			sent++
			if c.served {
				served++
			}
		}
		if sent < 10 {
			t.Fatalf("got %d calls, want at least 10", sent)
		}
		return float64(served) / float64(sent)
	}
	cut, others := share(func(daemon int) bool { return daemon == 0 }), share(func(daemon int) bool { return daemon != 0 })
	if others < 0.9 {
		t.Errorf("share served by daemons that reach the servers: got %.2f, want at least 0.9", others)
	}
	if cut < 0.9*others {
		t.Errorf("share served by the daemon that is cut off: got %.2f, want at least 0.9 of the others' %.2f", cut, others)
	}
}
