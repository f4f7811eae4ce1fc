package scale

import (
	"math"
	"testing"
	"time"

	"swiftbeam/pkg/clock"
)

// cloudSim simulates a cloud that boots the ordered replicas, reclaims all spot replicas of a zone at
// once, and has no spot replicas available for a while after that.
type cloudSim struct {
	now          clock.Instant
	mix          Mix
	zones        []Zone
	booting      []boot
	soldOutUntil clock.Instant
	cost         float64
}

type boot struct {
	zone int
	spot bool
	at   clock.Instant
}

const (
	bootTime    = 4 * clock.Second
	soldOutTime = 14 * clock.Second
	stepTime    = 250 * clock.Millisecond
)

func newCloudSim(onDemand int) *cloudSim {
	w := &cloudSim{now: 1_000_000}
	for i, price := range []float64{1, 0.8, 1.25, 0.9} {
		w.zones = append(w.zones, Zone{Name: string(rune('a' + i)), Price: price, OnDemand: onDemand})
	}
	return w
}

func (w *cloudSim) serving() int {
	n := 0
	for _, z := range w.zones {
		n += z.Spot + z.OnDemand
	}
	return n
}

func (w *cloudSim) step(required int) {
	w.stepIn(required, Bounds{Min: 1, Max: 6, SpotPrice: 0.18})
}

// stepIn advances the time by a step and orders what Decide returns within the bounds.
func (w *cloudSim) stepIn(required int, bounds Bounds) {
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
	for i, want := range w.mix.Decide(w.now, required, bounds, w.zones) {
		w.order(i, want)
	}
	for _, z := range w.zones {
		w.cost += z.Price * (float64(z.OnDemand) + 0.18*float64(z.Spot)) * float64(stepTime) / 1000
	}
}

func (w *cloudSim) order(i int, want ZoneTarget) {
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
	if missing := want.Spot - z.Spot - spot; missing > 0 {
		if w.soldOutUntil.After(w.now) {
			z.SoldOutUntil = w.now.Add(2 * clock.Second)
			return
		}
		for range missing {
			w.booting = append(w.booting, boot{zone: i, spot: true, at: w.now.Add(bootTime)})
		}
	}
	if want.Spot < z.Spot {
		z.Spot = want.Spot
	}
}

// reclaim removes all spot replicas of a zone and makes spot replicas unavailable for a while.
func (w *cloudSim) reclaim(i int) {
	w.zones[i].Spot = 0
	w.soldOutUntil = w.now.Add(soldOutTime)
}

// TestMixSurvivesTheLossOfAZone reclaims the spot replicas of one zone after the other while no others are
// available. After each loss, fewer replicas than required may serve for at most the boot time of a
// replica and one second.
func TestMixSurvivesTheLossOfAZone(t *testing.T) {
	const required = 6
	w := newCloudSim(2)
	for range 80 {
		w.step(required)
	}
	if got := w.serving(); got < required {
		t.Fatalf("got %d replicas after 20 s, want at least %d", got, required)
	}
	for _, zone := range []int{0, 2, 1} {
		w.reclaim(zone)
		short := 0
		for range 24 {
			w.step(required)
			if w.serving() < required {
				short++
			}
		}
		// After the first loss the remaining replicas should suffice at once. After a further one it may
		// take one boot time until enough replicas serve.
		if got := clock.Duration(short) * stepTime; got > bootTime+clock.Second {
			t.Errorf("zone %d reclaimed: got %v with fewer replicas than required, want at most a boot time and 1 s", zone, got)
		}
	}
}

// TestMixIsCheap checks that a constant requirement costs at most half of its on-demand price.
func TestMixIsCheap(t *testing.T) {
	const required = 6
	w := newCloudSim(2)
	for range 60 {
		w.step(required)
	}
	w.cost = 0
	for range 240 {
		w.step(required)
	}
	onDemand := required * 0.8 * 60.0
	if w.cost > 0.5*onDemand {
		t.Errorf("got cost %.0f in a minute, want at most half of the on-demand cost %.0f", w.cost, onDemand)
	}
}

// TestMixKeepsTheMinimum checks that every zone keeps its minimum number of replicas.
func TestMixKeepsTheMinimum(t *testing.T) {
	w := newCloudSim(1)
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

// TestMixReplacesAnEvacuatedZone guards against replicas of an evacuated zone that count as serving, and against orders
// there. Enough others must be ordered in the next decision.
func TestMixReplacesAnEvacuatedZone(t *testing.T) {
	const required = 12
	for _, evacuated := range [][]int{{0}, {1, 3}, {0, 1, 2, 3}} {
		w := newCloudSim(2)
		for range 80 {
			w.step(required)
		}
		targets := w.mix.Decide(w.now, required, Bounds{Min: 1, Max: 40, SpotPrice: 0.3}, w.zones)
		for _, i := range evacuated {
			w.zones[i].Evacuated = true
		}
		for step := range 60 {
			w.now = w.now.Add(stepTime)
			after := w.mix.Decide(w.now, required, Bounds{Min: 1, Max: 40, SpotPrice: 0.3}, w.zones)
			serving := 0
			for i, z := range w.zones {
				switch {
				case z.Evacuated && after[i] != targets[i]:
					t.Fatalf("%v evacuated: got target %+v of zone %s, want %+v", evacuated, after[i], z.Name, targets[i])
				case !z.Evacuated:
					serving += after[i].Spot + after[i].OnDemand
				}
			}
			if len(evacuated) < len(w.zones) && serving < required {
				t.Fatalf("%v evacuated: got targets for %d replicas after %v, want %d", evacuated, serving, clock.Duration(step+1)*stepTime, required)
			}
		}
	}
}

// TestDecisionEndsForAnyDemand guards against a decision whose steps grow with a wrong demand or bound.
func TestDecisionEndsForAnyDemand(t *testing.T) {
	zones := []Zone{{Name: "a", Price: 1}, {Name: "b", Price: 2}}
	done := make(chan []ZoneTarget, 1)
	go func() {
		required := RequiredReplicas(TokenDemand{Prefill: math.Inf(1), Output: math.MaxFloat64})
		done <- (&Mix{}).Decide(1000, required, Bounds{Max: math.MaxInt32}, zones)
	}()
	select {
	case targets := <-done:
		for _, z := range targets {
			if z.OnDemand < 0 || z.Spot < 0 {
				t.Errorf("zone %s: got targets of %d and %d, want none below 0", z.Zone, z.OnDemand, z.Spot)
			}
		}
	case <-time.After(2 * time.Second):
		t.Error("got no decision in 2 s")
	}
}

// TestLoadThatIsAboutToStartFindsItsReplicas plays a service whose traffic starts 14 s after its 15 replicas did, needs 13
// of them, and loses the spot replicas of a zone 3 s later while no others are available. A decision by the demand alone
// replaces the replicas by fewer spot ones before the traffic starts, and has too few for the boot time of a replica.
func TestLoadThatIsAboutToStartFindsItsReplicas(t *testing.T) {
	const required, minimum, present = 13, 9, 15
	play := func(keeps bool) (short clock.Duration) {
		w := newCloudSim(0)
		for i, n := range []int{4, 4, 4, 3} {
			w.zones[i].OnDemand = n
		}
		bounds := Bounds{Min: 1, Max: 8, SpotPrice: 0.18}
		for at := clock.Duration(0); at < 30*clock.Second; at += stepTime {
			if at == 17*clock.Second {
				w.reclaim(1)
			}
			switch {
			case at >= 17*clock.Second:
				w.stepIn(required, bounds)
			case keeps:
				w.stepIn(present, bounds)
			default:
				w.stepIn(minimum, bounds)
			}
			if at >= 14*clock.Second && w.serving() < required {
				short += stepTime
			}
		}
		return short
	}
	before, after := play(false), play(true)
	if after > 0 || before < bootTime {
		t.Errorf("time with fewer replicas than required: got %v, and %v by the demand alone, want none, and a boot time", after, before)
	}
}

// TestNeedOfTheOrderedReplicas checks that the replicas that were ordered for a number stand for it, so that a new leader,
// which does not know the demand, neither removes replicas nor orders more with each election.
func TestNeedOfTheOrderedReplicas(t *testing.T) {
	for _, required := range []int{4, 12, 15} {
		w := newCloudSim(2)
		for range 80 {
			w.step(required)
		}
		before := w.serving()
		for range 4 {
			w.mix = Mix{}
			need := Need(w.zones)
			if need < required-1 || need > required+2 {
				t.Errorf("need of the replicas ordered for %d: got %d", required, need)
			}
			for range 40 {
				w.step(need)
			}
		}
		if got := w.serving(); got < required || got > before+len(w.zones) {
			t.Errorf("replicas after 4 elections, ordered for %d: got %d, want %d to %d", required, got, required, before+len(w.zones))
		}
	}
}

// TestOrdersStayWithinTheBounds guards against orders beyond the bounds while servers that have just ended count as serving.
func TestOrdersStayWithinTheBounds(t *testing.T) {
	const required = 10
	m := Mix{}
	for i, most := range []int{8, 5} {
		zones := []Zone{{Name: "a", OnDemand: 18}, {Name: "b"}}
		for _, z := range m.Decide(clock.Instant(1000*i), required, Bounds{Min: 1, Max: most, SpotPrice: 0.3}, zones) {
			if got := z.OnDemand + z.Spot; got > most {
				t.Errorf("zone %s: got %d on-demand and %d spot replicas, want at most %d", z.Zone, z.OnDemand, z.Spot, most)
			}
		}
	}
}
