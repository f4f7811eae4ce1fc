package core

import (
	"testing"

	"swiftbeam/internal/enrol"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/scale"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// TestCrashedServersStopCounting checks that spot replicas that crash without deregistering stop
// counting as serving, so that others are ordered, also when another server starts at the address
// of a crashed one.
func TestCrashedServersStopCounting(t *testing.T) {
	steady := &clock.Manual{}
	steady.Set(100_000)
	c := &Core{clock: steady}
	s := &rules.Service{Name: "engine", Scaling: &rules.Scaling{ZonePrices: map[string]float64{"a": 1}}}
	announce := func(id, address string, born clock.Instant) {
		c.table.Merge(enrol.Record{ID: id, Service: "engine", Address: address, Zone: "a", Spot: true, Born: born, Sequence: uint64(steady.Now()), HeardAt: steady.Now()})
	}
	spots := func() int { return c.zones(s, nil, &serviceState{})[0].Spot }
	announce("i-1", "10.0.0.1:80", 1)
	announce("i-2", "10.0.0.2:80", 2)
	announce("i-3", "10.0.0.3:80", 3)
	if got, want := spots(), 3; got != want {
		t.Errorf("at the start: got %d, want %d", got, want)
	}
	for range 6 {
		steady.Advance(clock.Second)
		announce("i-1", "10.0.0.1:80", 1)
		c.table.Expire(steady.Now(), steady.Now().Add(-5*clock.Second))
	}
	if got, want := spots(), 3; got != want {
		t.Errorf("6 s after the crash, which may be a partition: got %d, want %d", got, want)
	}
	announce("i-4", "10.0.0.2:80", 4)
	if got, want := spots(), 3; got != want {
		t.Errorf("with a new server at the address of a crashed one: got %d, want %d", got, want)
	}
	steady.Advance(3 * clock.Second)
	if got, want := spots(), 2; got != want {
		t.Errorf("9 s after the crash: got %d, want %d", got, want)
	}
}

// TestReplicasAreKeptUntilTheDemandIsKnown guards against a leader that removes replicas before it has seen what the
// traffic needs: at the start of a service, and after each election.
func TestReplicasAreKeptUntilTheDemandIsKnown(t *testing.T) {
	zones := []scale.Zone{{Name: "a", OnDemand: 7}, {Name: "b", OnDemand: 5}}
	m := (&dutyState{}).service(1000, "engine")
	if m.observeInitial(1000, nil); m.initialAt != 0 {
		t.Errorf("before any replica: got the initial time %d, want none", m.initialAt)
	}
	m.observeInitial(1000, zones[:1])
	m.observeInitial(2000, zones)
	if got, want := m.initialNeed, 12; got != want {
		t.Errorf("initial need, of which 5 announced themselves a second later: got %d, want %d", got, want)
	}
	for _, c := range []struct {
		demandAt, now clock.Instant
		want          bool
	}{
		{0, 15_000, false}, {0, 1000 + clock.Instant(initialTime), true},
		{15_000, 16_000, false}, {15_000, 15_000 + clock.Instant(shortSpan), true},
	} {
		m.demandAt = c.demandAt
		if got := m.isDemandKnown(c.now); got != c.want {
			t.Errorf("demand since %d at %d: got known %v, want %v", c.demandAt, c.now, got, c.want)
		}
	}
}

// TestDemandCountsFromItsBegin guards against a requirement that grows for the whole span of the average, as the time
// before the first request counts as idle.
func TestDemandCountsFromItsBegin(t *testing.T) {
	d := &dutyState{}
	m := d.service(1000, "engine")
	d.receiveDemand(1000, "entry-1/1", []*peerpb.ServiceDemand{{Service: "engine"}})
	for i := range clock.Instant(13) {
		d.receiveDemand(15_000+250*i, "entry-1/1", []*peerpb.ServiceDemand{{Service: "engine", Prefill: uint64(200_000 * (i + 1))}})
	}
	// 800,000 tokens a second.
	want := scale.RequiredReplicas(scale.TokenDemand{Prefill: 800_000})
	if got := m.requiredReplicas(18_000); got < want || got > want*5/4 {
		t.Errorf("3 s after the first request: got %d replicas, want %d to %d", got, want, want*5/4)
	}
}

// TestLostReplicasAreNotStarting guards against replicas of a reclaimed zone that count as starting, as the last order named
// more than are left: on-demand replicas then come seconds late.
func TestLostReplicasAreNotStarting(t *testing.T) {
	for _, c := range []struct {
		ordered, before, present, want int
	}{
		{14, 34, 14, 0}, {14, 34, 0, 0}, {14, 0, 0, 14}, {14, 0, 5, 9}, {14, 10, 0, 4}, {14, 10, 12, 2}, {14, 10, 14, 0},
	} {
		o := acceptedOrder{count: c.ordered, present: c.before}
		if got := o.starting(c.present); got != c.want {
			t.Errorf("%d ordered with %d present, %d now: got %d starting, want %d", c.ordered, c.before, c.present, got, c.want)
		}
	}
}
