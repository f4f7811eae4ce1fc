package core

import (
	"testing"

	"swiftbeam/internal/enrol"
	"swiftbeam/internal/rules"
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
