package scale

import (
	"testing"

	"swiftbeam/pkg/clock"
)

// cloudWorld boots what is ordered, takes spot replicas back a zone at a time, and sells none for
// a while after that.
type cloudWorld struct {
	now     clock.Instant
	mix     Mix
	zones   []Zone
	booting []boot
	dry     clock.Instant
	cost    float64
}

type boot struct {
	zone int
	spot bool
	at   clock.Instant
}

const (
	bootTime = 4 * clock.Second
	dryTime  = 14 * clock.Second
	stepTime = 250 * clock.Millisecond
)

func newCloudWorld(onDemand int) *cloudWorld {
	w := &cloudWorld{now: 1_000_000}
	for i, price := range []float64{1, 0.8, 1.25, 0.9} {
		w.zones = append(w.zones, Zone{Name: string(rune('a' + i)), Price: price, OnDemand: onDemand})
	}
	return w
}

func (w *cloudWorld) serving() int {
	n := 0
	for _, z := range w.zones {
		n += z.Spot + z.OnDemand
	}
	return n
}

func (w *cloudWorld) step(need int) {
	w.now = w.now.Add(stepTime)
	var rest []boot
	for _, b := range w.booting {
		switch {
		case b.at.After(w.now):
			rest = append(rest, b)
		case b.spot:
			w.zones[b.zone].Spot++
		default:
			w.zones[b.zone].OnDemand++
		}
	}
	w.booting = rest
	for i := range w.zones {
		w.zones[i].SpotStarting = 0
		for _, b := range w.booting {
			if b.zone == i && b.spot {
				w.zones[i].SpotStarting++
			}
		}
	}
	for i, want := range w.mix.Decide(w.now, need, Bounds{Min: 1, Max: 6, SpotPrice: 0.18}, w.zones) {
		w.order(i, want)
	}
	for _, z := range w.zones {
		w.cost += z.Price * (float64(z.OnDemand) + 0.18*float64(z.Spot)) * float64(stepTime) / 1000
	}
}

func (w *cloudWorld) order(i int, want ZoneTarget) {
	z := &w.zones[i]
	onDemand, spot := 0, z.SpotStarting
	for _, b := range w.booting {
		if b.zone == i && !b.spot {
			onDemand++
		}
	}
	for range want.OnDemand - z.OnDemand - onDemand {
		w.booting = append(w.booting, boot{zone: i, at: w.now.Add(bootTime)})
	}
	if want.OnDemand < z.OnDemand {
		z.OnDemand = want.OnDemand
	}
	if lacking := want.Spot - z.Spot - spot; lacking > 0 {
		if w.dry.After(w.now) {
			z.SoldOutUntil = w.now.Add(2 * clock.Second)
			return
		}
		for range lacking {
			w.booting = append(w.booting, boot{zone: i, spot: true, at: w.now.Add(bootTime)})
		}
	}
	if want.Spot < z.Spot {
		z.Spot = want.Spot
	}
}

// reclaim takes all spot replicas of a zone.
func (w *cloudWorld) reclaim(i int) {
	w.zones[i].Spot = 0
	w.dry = w.now.Add(dryTime)
}

// TestMixSurvivesTheLossOfAZone takes zones back one after the other while none may be had anew.
func TestMixSurvivesTheLossOfAZone(t *testing.T) {
	const need = 6
	w := newCloudWorld(2)
	for range 80 {
		w.step(need)
	}
	if got := w.serving(); got < need {
		t.Fatalf("got %d replicas after 20 s, want at least %d", got, need)
	}
	for _, zone := range []int{0, 2, 1} {
		w.reclaim(zone)
		short := 0
		for range 24 {
			w.step(need)
			if w.serving() < need {
				short++
			}
		}
		// What remains meets the need at once; a boot may be waited for only after the next loss.
		if got := clock.Duration(short) * stepTime; got > bootTime+clock.Second {
			t.Errorf("zone %d taken back: got %v below the need, want at most a boot", zone, got)
		}
	}
}

// TestMixIsCheap bounds the cost on a steady need against on-demand replicas alone.
func TestMixIsCheap(t *testing.T) {
	const need = 6
	w := newCloudWorld(2)
	for range 60 {
		w.step(need)
	}
	w.cost = 0
	for range 240 {
		w.step(need)
	}
	onDemand := need * 0.8 * 60.0
	if w.cost > 0.5*onDemand {
		t.Errorf("got a cost of %.0f in a minute, want at most half of %.0f on demand", w.cost, onDemand)
	}
}

// TestMixKeepsTheLeast holds every zone to its least number of replicas.
func TestMixKeepsTheLeast(t *testing.T) {
	w := newCloudWorld(1)
	for i := range 200 {
		if i == 100 {
			w.reclaim(3)
		}
		w.step(1)
		for _, z := range w.zones {
			if i > 60 && i < 100 && z.Spot+z.OnDemand < 1 {
				t.Fatalf("step %d: zone %s has no replica, want at least one", i, z.Name)
			}
		}
	}
}
