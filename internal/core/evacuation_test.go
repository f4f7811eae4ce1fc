package core

import (
	"testing"
	"time"

	"swiftbeam/internal/enrol"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/rules"
	"swiftbeam/pkg/clock"
)

// acknowledged repeats an order at the daemons until one acknowledges it.
func (g *cluster) acknowledged(order func(c *Core) error) {
	g.t.Helper()
	var err error
	for range 100 {
		for _, c := range g.cores {
			if c == nil {
				continue
			}
			if err = order(c); err == nil {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.t.Fatalf("got %v, want an acknowledgement", err)
}

// isEvacuated returns whether a zone is evacuated, read at a daemon after a barrier.
func (g *cluster) isEvacuated(i int, zone string) bool {
	g.t.Helper()
	var err error
	for range 100 {
		list, listErr := g.cores[i].Evacuations(g.t.Context())
		for _, e := range list {
			if e.Zone == zone {
				return e.Evacuated
			}
		}
		if err = listErr; err == nil {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.t.Fatalf("core %d: %v", i, err)
	return false
}

// TestEvacuationsSurviveTwoLostDisks loses the leader and the disks of two of five daemons right after an evacuation, or
// a return, was acknowledged.
func TestEvacuationsSurviveTwoLostDisks(t *testing.T) {
	g := newCluster(t, 5)
	g.putRules(1)
	g.awaitHealthy(10 * time.Second)
	for _, want := range []bool{true, false} {
		g.acknowledged(func(c *Core) error {
			if want {
				return c.Evacuate(t.Context(), "a", "ana")
			}
			return c.ReturnZone(t.Context(), "a", "ana")
		})
		leader := g.leader()
		other := (leader + 1) % len(g.cores)
		g.crash(leader, true)
		g.crash(other, true)
		g.start(leader)
		g.start(other)
		g.awaitHealthy(10 * time.Second)
		for i := range g.cores {
			if got := g.isEvacuated(i, "a"); got != want {
				t.Errorf("core %d: got evacuated %v, want %v", i, got, want)
			}
		}
	}
}

// TestRepeatedEvacuationsAreAcknowledged guards against orders that are refused, or change the state, when they are sent
// again at other daemons because an acknowledgement was lost.
func TestRepeatedEvacuationsAreAcknowledged(t *testing.T) {
	g := newCluster(t, 3)
	g.putRules(1)
	revision := func() uint64 {
		list, err := g.cores[g.leader()].Evacuations(t.Context())
		if err != nil || len(list) != 1 {
			t.Fatalf("got %v, error %v, want one zone", list, err)
		}
		return list[0].Revision
	}
	last := uint64(0)
	for _, want := range []bool{true, false, true} {
		first := uint64(0)
		for i := range 6 {
			c := g.cores[i%3]
			g.acknowledged(func(*Core) error {
				if want {
					return c.Evacuate(t.Context(), "a", "")
				}
				return c.ReturnZone(t.Context(), "a", "")
			})
			if first == 0 {
				first = revision()
			}
		}
		if got := revision(); got != first || got <= last {
			t.Errorf("after repeated orders: got revision %d, want %d, above %d", got, first, last)
		}
		last = first
		if got := g.isEvacuated(0, "a"); got != want {
			t.Errorf("got evacuated %v, want %v", got, want)
		}
	}
}

// TestUnknownZone guards against a proper order that is refused because the daemon does not know all zones yet, and
// against a misspelled one that is acknowledged without effect.
func TestUnknownZone(t *testing.T) {
	g := newCluster(t, 1)
	c := g.cores[g.leader()]
	set := &rules.Set{Services: []rules.Service{{Name: "engine", Scaling: &rules.Scaling{ZonePrices: map[string]float64{"priced": 1}}}}}
	for _, test := range []struct {
		name, zone   string
		set          *rules.Set
		late, server bool
		want         bool
	}{
		{"just started", "nowhere", set, false, true, true},
		{"without rules", "nowhere", nil, true, true, true},
		{"without servers", "nowhere", set, true, false, true},
		{"misspelled", "nowhere", set, true, true, false},
		{"own zone", "z", set, true, true, true},
		{"zone with a price", "priced", set, true, true, true},
		{"zone with a server", "served", set, true, true, true},
	} {
		known := &Core{Settings: c.Settings, Store: c.Store, joiner: c.joiner, clock: c.clock, started: c.clock.Now(), log: c.log}
		if test.late {
			known.started = c.clock.Now().Add(-clock.Hour)
		}
		known.ruleSet.Store(test.set)
		if test.server {
			known.table.Merge(enrol.Record{ID: "i-1", Service: "engine", Address: "10.0.0.1:80", Zone: "served", Version: "v1", Sequence: 1})
		}
		c.joiner.CaughtUp.Store(true)
		if got := known.mayExist(test.zone); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
	if err := c.Evacuate(t.Context(), "", ""); fault.KindOf(err) != fault.Invalid {
		t.Errorf("empty name: got %v, want an invalid input", err)
	}
}

// TestEvacuatedZoneGetsNoOrders guards against replicas that are ordered where they get no requests, and against others that
// are not ordered in their place.
func TestEvacuatedZoneGetsNoOrders(t *testing.T) {
	g := newCluster(t, 1)
	c := g.cores[g.leader()]
	prices := map[string]float64{"a": 1, "b": 1, "c": 1, "d": 1}
	c.ruleSet.Store(&rules.Set{Services: []rules.Service{{Name: "engine", Scaling: &rules.Scaling{Least: 1, Most: 10, SpotPrice: 0.2, ZonePrices: prices}}}})
	for deadline := time.Now().Add(10 * time.Second); !c.maySend(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("got no duties in 10 s")
		}
	}
	g.acknowledged(func(c *Core) error { return c.Evacuate(t.Context(), "a", "") })
	c.orderReplicas(t.Context())
	ordered := func() map[string]int {
		g.cloud.mu.Lock()
		defer g.cloud.mu.Unlock()
		zones := make(map[string]int)
		for _, o := range g.cloud.orders {
			zones[o.order.Zone] = max(zones[o.order.Zone], o.order.Replicas)
		}
		return zones
	}
	for deadline := time.Now().Add(5 * time.Second); len(ordered()) < 3 && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
	}
	if got := ordered(); got["a"] != 0 || got["b"] == 0 || got["c"] == 0 || got["d"] == 0 {
		t.Errorf("got orders %v, want some in the zones b, c and d", got)
	}
}
