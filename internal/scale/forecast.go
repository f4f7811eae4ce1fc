package scale

import (
	"math"

	"swiftbeam/pkg/clock"
)

// patternInterval is the length of one interval of the weekly pattern.
const patternInterval = 15 * clock.Minute

// intervalsPerWeek is the number of intervals of the weekly pattern.
const intervalsPerWeek = int(7 * clock.Day / patternInterval)

// Forecast predicts the demand of a service from its weekly pattern and the present trend. Demand is
// the number of concurrent requests. The zero value has no observations and predicts zero.
type Forecast struct {
	// pattern is the mean demand in each interval of the week; known marks the intervals with
	// observations.
	pattern [intervalsPerWeek]float64
	known   [intervalsPerWeek]bool
	// ratio is the moving average of the observed demand divided by the pattern, which is the mean demand
	// in the same interval of the week; zero before it is known.
	ratio float64
	// last is the last observed demand.
	last float64
}

// patternWeight is the weight of a new observation in the mean of its interval.
const patternWeight = 0.3

// ratioWeight is the weight of a new observation in the ratio of demand to pattern.
const ratioWeight = 0.2

// Bounds of the observed ratio of demand to pattern. Without them an hour of low demand would remove
// the next peak from the forecast.
const (
	minRatio = 0.7
	maxRatio = 3
)

// Observe records the demand at an instant.
func (f *Forecast) Observe(at clock.Instant, demand float64) {
	s := intervalOf(at)
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

// At predicts the demand at a later instant: the pattern at that time of the week scaled by the
// present trend, or the last observed demand if that interval has no observation.
func (f *Forecast) At(at clock.Instant) float64 {
	s := intervalOf(at)
	if !f.known[s] {
		return f.last
	}
	return f.pattern[s] * f.trend()
}

// trend returns the ratio of the present demand to the pattern, or 1 before it is known.
func (f *Forecast) trend() float64 {
	if f.ratio == 0 {
		return 1
	}
	return f.ratio
}

func intervalOf(at clock.Instant) int {
	week := clock.Duration(at) % (7 * clock.Day)
	return int(week / patternInterval)
}

// headroom is the part by which the planned capacity exceeds the forecast demand.
const headroom = 0.08

// Replicas returns the number of replicas required, with headroom, for the last observed demand or the
// largest demand forecast from now until ahead has passed, whichever is larger. Without demand it is zero.
func (f *Forecast) Replicas(now clock.Instant, ahead clock.Duration, perReplica float64) int {
	peak := f.last
	for at := now; !at.After(now.Add(ahead)); at = at.Add(patternInterval / 3) {
		peak = max(peak, f.At(at))
	}
	if peak <= 0 {
		return 0
	}
	return int(math.Ceil(peak * (1 + headroom) / perReplica))
}
