package scale

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "swiftbeam/internal/repro"
	"swiftbeam/pkg/clock"
)

// TestStatefulPlan compares plans with an exhaustive search over all purchases of few replicas.
func TestStatefulPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := PlanInputs{Now: 100, Required: rapid.IntRange(0, 5).Draw(t, "need"), Floor: rapid.IntRange(0, 2).Draw(t, "floor")}
		for i := range rapid.IntRange(2, 4).Draw(t, "zones") {
			o := Offer{Zone: fmt.Sprint("z", i), SpotPrice: rapid.IntRange(400, 900).Draw(t, "price"), OnDemandPrice: 1800}
			if rapid.IntRange(0, 4).Draw(t, "refused") == 0 {
				o.RefusedUntil = 200
			}
			in.Offers = append(in.Offers, o)
		}
		need := max(in.Required, in.Floor)
		buys := Plan(in)
		open := usable(in)
		for _, b := range buys {
			for _, o := range in.Offers {
				if o.Zone == b.Zone && o.RefusedUntil.After(in.Now) {
					t.Fatalf("got %d replicas in %s, which refuses starts", b.Replicas, b.Zone)
				}
			}
		}
		if need == 0 && len(buys) > 0 {
			t.Fatalf("got %v for no need, want nothing", buys)
		}
		if len(open) < 2 || need == 0 {
			return
		}
		if !SurvivesZoneLoss(buys, need) {
			t.Fatalf("got %v, which does not hold %d after the loss of a zone", buys, need)
		}
		if got, want := Cost(buys, open), cheapest(open, need); got > want {
			t.Fatalf("got cost %d of %v, want %d", got, buys, want)
		}
	})
}

// cheapest tries every purchase of at most need replicas a zone.
func cheapest(offers []Offer, need int) int {
	best := math.MaxInt
	counts := make([]int, len(offers))
	var try func(i int)
	try = func(i int) {
		if i == len(offers) {
			var buys []Purchase
			for j, n := range counts {
				buys = append(buys, Purchase{Zone: offers[j].Zone, Replicas: n, Reclaimable: true})
			}
			if SurvivesZoneLoss(buys, need) {
				best = min(best, Cost(buys, offers))
			}
			return
		}
		for counts[i] = 0; counts[i] <= need; counts[i]++ {
			try(i + 1)
		}
		counts[i] = 0
	}
	try(0)
	return best
}

func TestForecastIsAheadOfTheNightPeak(t *testing.T) {
	f := &Forecast{}
	demand := func(at clock.Instant) float64 {
		if hour := int(at.Sub(0) / clock.Hour % 24); hour >= 20 && hour < 23 {
			return 200
		}
		return 0
	}
	for at := clock.Instant(0); at < clock.Instant(8*clock.Day); at = at.Add(15 * clock.Minute) {
		f.Observe(at, demand(at))
	}
	evening := clock.Instant(8 * clock.Day).Add(19*clock.Hour + 50*clock.Minute)
	if got, want := f.Replicas(evening, 20*clock.Minute, 12), int(math.Ceil(200*(1+headroom)/12)); got != want {
		t.Errorf("got %d replicas before the peak, want %d", got, want)
	}
	if got := f.Replicas(evening.Add(6*clock.Hour), 20*clock.Minute, 12); got != 0 {
		t.Errorf("got %d replicas at night, want none", got)
	}
}

func TestLoadsKeepToTheRateOfTheStore(t *testing.T) {
	l := &LoadQueue{MaxParallel: 2}
	started := len(l.Enqueue("a")) + len(l.Enqueue("b")) + len(l.Enqueue("c"))
	if started != 2 || l.Running != 2 {
		t.Errorf("got %d started, want 2", started)
	}
	if got := l.Done(); len(got) != 1 || got[0] != "c" {
		t.Errorf("got %v after a load ended, want [c]", got)
	}
}

func TestBackoffGrowsAndEnds(t *testing.T) {
	b := &Backoff{}
	var last clock.Duration
	for range 12 {
		pause := b.Next(0).Sub(0)
		if pause < last || pause > maxBackoff {
			t.Fatalf("got pause %v after %v", pause, last)
		}
		last = pause
	}
	b.Reset()
	if got, want := b.Next(0).Sub(0), firstBackoff; got != want {
		t.Errorf("got pause %v after a start, want %v", got, want)
	}
}
