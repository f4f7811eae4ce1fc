package loads

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"swiftbeam/internal/place"
	"swiftbeam/pkg/clock"
)

// TestSumsMatchTheReports compares the sums with those over the last reports of all daemons, some of
// which stop reporting.
func TestSumsMatchTheReports(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var sums Sums
	last := make(map[string][]Server)
	reportedAt := make(map[string]clock.Instant)
	for step := range 5000 {
		now := clock.Instant(10 * step)
		name := fmt.Sprint("entry-", random.IntN(30))
		if step > 2500 && random.IntN(3) > 0 {
			name = fmt.Sprint("entry-", random.IntN(3))
		}
		var servers []Server
		for id := range 8 {
			if random.IntN(2) == 0 {
				servers = append(servers, Server{ID: fmt.Sprint("i-", id), Load: place.Load{Requests: random.IntN(5), Prefill: random.IntN(9000), Memory: random.IntN(9000)}})
			}
		}
		sums.Receive(now, name, servers)
		last[name], reportedAt[name] = servers, now
		want := make(map[string]place.Load)
		daemons := 0
		for daemon, list := range last {
			if now.Sub(reportedAt[daemon]) > Timeout {
				continue
			}
			daemons++
			for _, s := range list {
				l := want[s.ID]
				want[s.ID] = place.Load{Requests: l.Requests + s.Load.Requests, Prefill: l.Prefill + s.Load.Prefill, Memory: l.Memory + s.Load.Memory}
			}
		}
		if got := sums.Daemons(now); got != daemons {
			t.Fatalf("step %d: got %d daemons, want %d", step, got, daemons)
		}
		if got := len(sums.All()); got != len(want) {
			t.Fatalf("step %d: got %d servers, want %d", step, got, len(want))
		}
		for _, s := range sums.All() {
			if s.Load != want[s.ID] {
				t.Fatalf("step %d, %s: got %+v, want %+v", step, s.ID, s.Load, want[s.ID])
			}
		}
		for i, s := range sums.Others(name) {
			own, all := servers[i].Load, want[s.ID]
			others := place.Load{Requests: all.Requests - own.Requests, Prefill: all.Prefill - own.Prefill, Memory: all.Memory - own.Memory}
			if s.Load != others {
				t.Fatalf("step %d, %s: got %+v from other daemons, want %+v", step, s.ID, s.Load, others)
			}
		}
	}
}
