package route

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"swiftbeam/internal/member"
	_ "swiftbeam/internal/repro"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

func poolOf(size int) *Pool {
	p := &Pool{Costs: DefaultCosts, Daemons: 8}
	for i := range size {
		p.Put(backend(i, 1, i%7))
	}
	return p
}

func backend(i int, incarnation uint64, load int) *fleet.Backend {
	return &fleet.Backend{
		Service: "s", Version: "v", Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Zone: fmt.Sprint("z", i%4),
		Incarnation: incarnation, Slots: 16, Running: load,
	}
}

// TestStatefulPool checks after every change that a choice is a server of the pool that neither failed
// recently nor is avoided while there is another one, and that the prefix index contains only servers
// of the pool.
func TestStatefulPool(t *testing.T) {
	policies := []Policy{RoundRobin{}, LeastOutstanding{}, TwoChoices{}, Score{}}
	rapid.Check(t, func(t *rapid.T) {
		p := &Pool{Costs: DefaultCosts, Daemons: 3}
		present := map[member.Key]uint64{}
		failedAt := map[member.Key]clock.Instant{}
		now := clock.Instant(1000)
		draw := func(t *rapid.T, name string, highest int) int { return rapid.IntRange(0, highest).Draw(t, name) }
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				b := backend(draw(t, "server", 29), uint64(draw(t, "incarnation", 2)), draw(t, "load", 40))
				p.Put(b)
				key := member.KeyOf(b)
				if old, known := present[key]; !known || old != b.Incarnation {
					present[key] = b.Incarnation
					delete(failedAt, key)
				}
			},
			"remove": func(t *rapid.T) {
				key := member.KeyOf(backend(draw(t, "server", 29), 1, 0))
				p.Remove(key)
				delete(present, key)
				delete(failedAt, key)
			},
			"choose": func(t *rapid.T) {
				now = now.Add(clock.Duration(draw(t, "time", 1500)))
				q := &Query{Now: now, Draw: rapid.Uint64().Draw(t, "draw"), Zone: "z0", Prefixes: []uint64{1, uint64(draw(t, "prefix", 5)) + 2}}
				q.Avoid = backend(draw(t, "avoid", 29), 1, 0).Address
				c := p.Choose(rapid.SampledFrom(policies).Draw(t, "policy"), q)
				checkChoice(t, q, c, present, failedAt)
				if c.Server != nil {
					fails := draw(t, "fails", 3) == 0
					p.Started(c.Server, q.Prefixes)
					p.Finished(now, c.Server, Outcome{Failed: fails})
					if fails {
						failedAt[c.Server.Key] = now
					}
				}
			},
			"": func(t *rapid.T) { checkIndex(t, p, present) },
		})
	})
}

// checkChoice compares a choice with the servers and failures that the test itself recorded.
func checkChoice(t *rapid.T, q *Query, c Choice, present map[member.Key]uint64, failedAt map[member.Key]clock.Instant) {
	if c.Server == nil {
		if len(present) > 0 {
			t.Fatalf("got no server, want one of %d", len(present))
		}
		return
	}
	if _, ok := present[c.Server.Key]; !ok {
		t.Fatalf("got server %v, which is not in the pool", c.Server.Key)
	}
	unusable := func(key member.Key) bool {
		at, failed := failedAt[key]
		return failed && q.Now.Sub(at) < suspectTime || key.Address == q.Avoid
	}
	// A policy that considers a few random servers may find none of them usable.
	if c.Reason == ByRandom || !unusable(c.Server.Key) {
		return
	}
	for key := range present {
		if !unusable(key) {
			t.Fatalf("got server %v (%v), which failed or is avoided, want a usable one such as %v", c.Server.Key, c.Reason, key)
		}
	}
}

func checkIndex(t *rapid.T, p *Pool, present map[member.Key]uint64) {
	if got, want := len(p.Servers), len(present); got != want {
		t.Fatalf("got %d servers, want %d", got, want)
	}
	for i, s := range p.Servers {
		if s.index != i || present[s.Key] != s.Incarnation || s.InFlight != 0 {
			t.Fatalf("server %v: got index %d incarnation %d in flight %d, want %d, %d, 0", s.Key, s.index, s.Incarnation, s.InFlight, i, present[s.Key])
		}
	}
	for hash, servers := range p.holders {
		for _, s := range servers {
			if p.byKey[s.Key] != s {
				t.Fatalf("prefix %x is recorded for removed server %v", hash, s.Key)
			}
		}
	}
}

func TestCacheEventsAfterAGap(t *testing.T) {
	p := poolOf(1)
	s, cache := p.Servers[0], &Cache{Next: 1}
	steps := []struct {
		event    CacheEvent
		known    bool
		prefixes []uint64
	}{
		{CacheEvent{Sequence: 1, Added: []uint64{10, 11}}, true, []uint64{10, 11}},
		{CacheEvent{Sequence: 1, Added: []uint64{99}}, true, []uint64{10, 11}}, // repeated
		{CacheEvent{Sequence: 2, Removed: []uint64{10}}, true, []uint64{11}},
		{CacheEvent{Sequence: 4, Added: []uint64{12}}, false, []uint64{12}}, // 3 is missing
	}
	for _, step := range steps {
		if got := cache.Apply(p, s, step.event); got != step.known {
			t.Errorf("event %d: got known %v, want %v", step.event.Sequence, got, step.known)
		}
		if got, want := fmt.Sprint(s.prefixes), fmt.Sprint(step.prefixes); got != want {
			t.Errorf("event %d: got prefixes %s, want %s", step.event.Sequence, got, want)
		}
	}
}

func TestChoiceDoesNotAllocate(t *testing.T) {
	p := poolOf(1500)
	q := &Query{Now: 1, Zone: "z1", Draw: 12345, Prefixes: []uint64{1, 2, 3, 4}}
	p.Started(p.Servers[7], q.Prefixes[:2])
	got := testing.AllocsPerRun(100, func() {
		q.Draw++
		p.Choose(Score{}, q)
	})
	if got != 0 {
		t.Errorf("got %v allocations a choice, want 0", got)
	}
}

func BenchmarkChoice(b *testing.B) {
	for _, size := range []int{20, 200, 1500} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			p := poolOf(size)
			q := &Query{Now: 1, Zone: "z1"}
			for i := range 24 {
				q.Prefixes = append(q.Prefixes, uint64(i+1))
			}
			p.Started(p.Servers[7], q.Prefixes[:12])
			b.ReportAllocs()
			for b.Loop() {
				q.Draw = q.Draw*6364136223846793005 + 1
				p.Choose(Score{}, q)
			}
		})
	}
}
