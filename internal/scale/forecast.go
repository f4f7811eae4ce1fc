package scale

import (
	"math"

	"swiftbeam/pkg/clock"
)

// slotTime is the length of one slot of the recurring pattern.
const slotTime = 15 * clock.Minute

// slotsPerWeek is the length of the pattern in slots.
const slotsPerWeek = int(7 * clock.Day / slotTime)

// Forecast learns the demand of a service from a weekly pattern and the present trend. Demand is
// in requests that run at once. The zero value knows nothing and forecasts zero.
type Forecast struct {
	// pattern is the mean demand of each slot of a week, and known tells which were seen.
	pattern [slotsPerWeek]float64
	known   [slotsPerWeek]bool
	// ratio is the present demand against the pattern.
	ratio float64
	last  float64
}

// patternWeight is the weight of a new week in the pattern.
const patternWeight = 0.3

// ratioWeight is the weight of a new observation in the ratio to the pattern.
const ratioWeight = 0.2

// Ratios to the pattern are kept within these bounds, so that a quiet hour does not make the
// next peak vanish.
const (
	minRatio = 0.7
	maxRatio = 3
)

// Observe takes the demand at an instant.
func (f *Forecast) Observe(at clock.Instant, demand float64) {
	s := slot(at)
	f.last = demand
	if f.known[s] && f.pattern[s] > 0 {
		r := min(max(demand/f.pattern[s], minRatio), maxRatio)
		f.ratio = f.trend() + ratioWeight*(r-f.trend())
	}
	if !f.known[s] {
		f.pattern[s], f.known[s] = demand, true
		return
	}
	f.pattern[s] += patternWeight * (demand - f.pattern[s])
}

// At returns the demand to expect at a later instant: the pattern of that time of the week
// scaled by the present trend, or the present demand where the pattern is not known.
func (f *Forecast) At(at clock.Instant) float64 {
	s := slot(at)
	if !f.known[s] {
		return f.last
	}
	return f.pattern[s] * f.trend()
}

// trend returns the present demand against the pattern; one before anything was observed.
func (f *Forecast) trend() float64 {
	if f.ratio == 0 {
		return 1
	}
	return f.ratio
}

func slot(at clock.Instant) int {
	week := clock.Duration(at) % (7 * clock.Day)
	return int(week / slotTime)
}

// headroom is the part by which capacity exceeds the forecast demand.
const headroom = 0.08

// Replicas returns the replicas that carry the demand from now until ahead has passed: the
// largest demand in that time with headroom. No demand needs none.
func (f *Forecast) Replicas(now clock.Instant, ahead clock.Duration, perReplica float64) int {
	peak := f.last
	for at := now; !at.After(now.Add(ahead)); at = at.Add(slotTime / 3) {
		peak = max(peak, f.At(at))
	}
	if peak <= 0 {
		return 0
	}
	return int(math.Ceil(peak * (1 + headroom) / perReplica))
}
