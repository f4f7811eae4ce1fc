package scale

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "swiftbeam/internal/repro"
	"swiftbeam/pkg/clock"
)

// TestStatefulPlan compares the cost of plans for few replicas with an exhaustive search over all
// purchases.
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
		required := max(in.Required, in.Floor)
		purchases := Plan(in)
		open := usableOffers(in)
		for _, b := range purchases {
			for _, o := range in.Offers {
				if o.Zone == b.Zone && o.RefusedUntil.After(in.Now) {
					t.Fatalf("got %d replicas in %s, which refuses starts", b.Replicas, b.Zone)
				}
			}
		}
		if required == 0 && len(purchases) > 0 {
			t.Fatalf("got %v with no replicas required, want nothing", purchases)
		}
		if len(open) < 2 || required == 0 {
			return
		}
		if !SurvivesZoneLoss(purchases, required) {
			t.Fatalf("got %v, want %d replicas left after the loss of any zone", purchases, required)
		}
		if got, want := Cost(purchases, open), cheapest(open, required); got > want {
			t.Fatalf("got cost %d of %v, want at most %d", got, purchases, want)
		}
	})
}

// cheapest returns the lowest cost of all purchases of at most the required number in each zone.
func cheapest(offers []Offer, required int) int {
	best := math.MaxInt
	counts := make([]int, len(offers))
	var try func(i int)
	try = func(i int) {
		if i == len(offers) {
			var purchases []Purchase
			for j, n := range counts {
				purchases = append(purchases, Purchase{Zone: offers[j].Zone, Replicas: n, Reclaimable: true})
			}
			if SurvivesZoneLoss(purchases, required) {
				best = min(best, Cost(purchases, offers))
			}
			return
		}
		for counts[i] = 0; counts[i] <= required; counts[i]++ {
			try(i + 1)
		}
		counts[i] = 0
	}
	try(0)
	return best
}

// TestForecastIsAheadOfTheNightPeak checks that the replicas for a daily peak from 20:00 to 23:00 are
// forecast before it begins, and none after it.
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

func TestLoadQueueLimitsParallelLoads(t *testing.T) {
	l := &LoadQueue{MaxParallel: 2}
	started := len(l.Enqueue("a")) + len(l.Enqueue("b")) + len(l.Enqueue("c"))
	if started != 2 || l.Running != 2 {
		t.Errorf("got %d loads started, want 2", started)
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
			t.Fatalf("got pause %v after %v, want it not shorter and at most the maximum", pause, last)
		}
		last = pause
	}
	b.Reset()
	if got, want := b.Next(0).Sub(0), firstBackoff; got != want {
		t.Errorf("got pause %v after a successful start, want %v", got, want)
	}
}
