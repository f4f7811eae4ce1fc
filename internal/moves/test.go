package moves

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mathext"

	"swiftbeam/internal/state"
)

// Count holds yes and no observations.
type Count struct {
	Requests uint64
	Hits     uint64
}

// Add returns the sum of two counts.
func (c Count) Add(o Count) Count {
	return Count{Requests: c.Requests + o.Requests, Hits: c.Hits + o.Hits}
}

// Test is a sequential test of a new version's rate against an old one's.
type Test struct {
	// FalseAlarm bounds the chance that a version as good as the old one is ever found worse.
	FalseAlarm float64
	// Margin is the difference of rates that is tolerated.
	Margin float64
	// Tests is the number of tests that share FalseAlarm.
	Tests int
}

// DefaultTest bounds the false alarms of a whole move to one in a thousand.
var DefaultTest = Test{FalseAlarm: 1e-3, Margin: 0.01, Tests: 60}

// WeakTest is the weaker test on which a version is paused; a false alarm only delays a move.
var WeakTest = Test{FalseAlarm: 0.05, Margin: 0.01, Tests: 5}

// ShortClassifier, ShortTest and ShortMargin are for moves that are done within seconds. Times are compared
// with the median, which is known after few requests and stands far from a version that is several
// times slower; the wider margin is for servers that start with empty caches. One good version in a
// hundred may be taken back, as few requests have to show a bad one.
var (
	ShortClassifier = Classifier{SlowQuantile: 0.5, Tolerance: 2, WarmUp: 10}
	ShortTest       = Test{FalseAlarm: 1e-2, Margin: 0.01, Tests: 20}
)

// ShortMargin is the difference of the rates of slow answers that is tolerated in short moves.
const ShortMargin = 0.15

// priorRequests and priorHits keep the old rate from being taken as zero on little evidence.
const (
	priorRequests = 20
	priorHits     = 0.2
	// oldErrors is the number of standard errors added to the old rate.
	oldErrors = 2
)

// Worse reports whether the new rate is above the old one by more than the margin. The
// likelihood ratio against the old rate, averaged over all higher rates, is a martingale when
// the rates are equal; by Ville's inequality it ever exceeds 1/a with a chance of at most a, so
// the test may be read after every request.
func (t Test) Worse(old, fresh Count) bool {
	if fresh.Hits == 0 {
		return false
	}
	return logRatio(t.baseline(old), fresh) > math.Log(float64(t.Tests)/t.FalseAlarm)
}

// baseline returns the highest rate that the old version's counts support, with the margin.
func (t Test) baseline(old Count) float64 {
	n := float64(old.Requests) + priorRequests
	rate := (float64(old.Hits) + priorHits) / n
	rate += oldErrors*math.Sqrt(rate*(1-rate)/n) + t.Margin
	return min(rate, 0.95)
}

// logRatio returns the logarithm of the likelihood of counts, averaged over rates above base,
// divided by their likelihood at base.
func logRatio(base float64, c Count) float64 {
	x, n := float64(c.Hits), float64(c.Requests)
	// The mass above base, as the mass below its complement: 1 minus the mass below base would
	// lose all digits for counts far below base.
	above := mathext.RegIncBeta(n-x+1, x+1, 1-base)
	if above <= 0 {
		return math.Inf(-1)
	}
	mixture := mathext.Lbeta(x+1, n-x+1) + math.Log(above) - math.Log(1-base)
	return mixture - x*math.Log(base) - (n-x)*math.Log(1-base)
}

// FixedWindow is the simpler method that Test was compared with: a normal test of two
// proportions on each full window.
type FixedWindow struct {
	// StdErrors is the number of standard errors that count as a difference.
	StdErrors float64
	// MinRequests is the number of new requests that a window must hold.
	MinRequests uint64
}

// Worse reports whether the new rate is significantly above the old one.
func (f FixedWindow) Worse(old, fresh Count) bool {
	if fresh.Requests < f.MinRequests || old.Requests == 0 {
		return false
	}
	n, m := float64(fresh.Requests), float64(old.Requests)
	p, q := float64(fresh.Hits)/n, float64(old.Hits)/m
	pooled := (float64(fresh.Hits) + float64(old.Hits)) / (n + m)
	deviation := math.Sqrt(pooled * (1 - pooled) * (1/n + 1/m))
	return deviation > 0 && (p-q)/deviation > f.StdErrors
}

// Regression is evidence against a version.
type Regression struct {
	Reason  state.Reason
	Route   string
	Account string
	Old     Count
	New     Count
}

// Evidence formats the finding for operators.
func (f *Regression) Evidence() string {
	scope := "route " + f.Route
	if f.Account != "" {
		scope += ", client account " + f.Account
	}
	return fmt.Sprintf("%v on %s: %d of %d requests of the new version against %d of %d of the old one",
		f.Reason, scope, f.New.Hits, f.New.Requests, f.Old.Hits, f.Old.Requests)
}
