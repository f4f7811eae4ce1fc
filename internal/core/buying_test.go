package core

import (
	"testing"

	"swiftbeam/internal/enrol"
	"swiftbeam/internal/rules"
	"swiftbeam/pkg/clock"
)

// TestCrashedServersDoNotCountForLong crashes spot replicas without a word, one of which is replaced at
// its address: they stop counting as replicas that serve, so that others are bought.
func TestCrashedServersDoNotCountForLong(t *testing.T) {
	steady := &clock.Manual{}
	steady.Set(100_000)
	c := &Core{clock: steady}
	s := &rules.Service{Name: "engine", Scaling: &rules.Scaling{ZonePrices: map[string]float64{"a": 1}}}
	announce := func(id, address string, born clock.Instant) {
		c.table.Merge(enrol.Record{ID: id, Service: "engine", Address: address, Zone: "a", Spot: true, Born: born, Sequence: uint64(steady.Now()), HeardAt: steady.Now()})
	}
	spots := func() int { return c.zones(s, nil, &market{})[0].Spot }
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
		t.Errorf("shortly after the crash, which may be a partition: got %d, want %d", got, want)
	}
	announce("i-4", "10.0.0.2:80", 4)
	if got, want := spots(), 3; got != want {
		t.Errorf("with one replaced at its address: got %d, want %d", got, want)
	}
	steady.Advance(3 * clock.Second)
	if got, want := spots(), 2; got != want {
		t.Errorf("9 s after the crash: got %d, want %d", got, want)
	}
}
