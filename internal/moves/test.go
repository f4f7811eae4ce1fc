package moves

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mathext"

	"swiftbeam/internal/state"
)

// Count is a number of requests and how many of them show one kind of fault.
type Count struct {
	Requests uint64
	Hits     uint64
}

// Add returns the sum of two counts.
func (c Count) Add(o Count) Count {
	return Count{Requests: c.Requests + o.Requests, Hits: c.Hits + o.Hits}
}

func (c Count) rate() float64 {
	if c.Requests == 0 {
		return 0
	}
	return float64(c.Hits) / float64(c.Requests)
}

// Test is a sequential test of the new version's fault rate against the old one's.
type Test struct {
	// FalseAlarm bounds the probability that a version with the old one's rate is ever found worse.
	FalseAlarm float64
	// Margin is the tolerated difference of the rates.
	Margin float64
	// Tests is the number of tests that share FalseAlarm.
	Tests int
}

// DefaultTest allows a false alarm in one of a thousand moves.
var DefaultTest = Test{FalseAlarm: 1e-3, Margin: 0.01, Tests: 60}

// WeakTest is the weaker test that pauses a version, as a false alarm only delays the move.
var WeakTest = Test{FalseAlarm: 0.05, Margin: 0.01, Tests: 5}

// ShortTest is for moves that are done within seconds. A healthy version may be rolled back in one of a
// hundred moves, as a regression must be detected after few requests.
var ShortTest = Test{FalseAlarm: 1e-2, Margin: 0.01, Tests: 20}

// priorRequests and priorHits are added to the old version's counts, so that its rate is not taken
// as zero after few requests.
const (
	priorRequests = 20
	priorHits     = 0.2
	// oldStdErrors is the number of standard errors added to the old rate.
	oldStdErrors = 2
)

// Worse reports whether the new rate exceeds the old one by more than the margin. The likelihood
// ratio against the old rate, averaged over all higher rates, is a martingale if the rates are
// equal. By Ville's inequality, the probability that it ever exceeds 1/a is at most a, so the test
// may be repeated after every request.
func (t Test) Worse(oldCount, newCount Count) bool {
	base := t.baseline(oldCount)
	// Up to the baseline, the ratio is at most 1, and logRatio loses its precision far below.
	if newCount.rate() <= base {
		return false
	}
	return logRatio(base, newCount) > math.Log(float64(t.Tests)/t.FalseAlarm)
}

// baseline returns the highest rate that the old version's counts support, with the margin.
func (t Test) baseline(old Count) float64 {
	n := float64(old.Requests) + priorRequests
	rate := (float64(old.Hits) + priorHits) / n
	rate += oldStdErrors*math.Sqrt(rate*(1-rate)/n) + t.Margin
	return min(rate, 0.95)
}

// logRatio returns the logarithm of the ratio of two likelihoods of the count: the average over rates
// above base, and that at base.
func logRatio(base float64, c Count) float64 {
	x, n := float64(c.Hits), float64(c.Requests)
	// The mass above base is computed as the mass below its complement. If it were computed as 1
	// minus the mass below base, it would lose all precision for counts far below base.
	above := mathext.RegIncBeta(n-x+1, x+1, 1-base)
	if above <= 0 {
		return math.Inf(-1)
	}
	mixture := mathext.Lbeta(x+1, n-x+1) + math.Log(above) - math.Log(1-base)
	return mixture - x*math.Log(base) - (n-x)*math.Log(1-base)
}

// FixedWindow is a simpler method for comparison with Test: a normal test of two proportions on each
// full window.
type FixedWindow struct {
	// StdErrors is the number of standard errors that count as a difference.
	StdErrors float64
	// MinRequests is the number of requests to the new version that a window must contain.
	MinRequests uint64
}

// Worse reports whether the new rate is significantly above the old one.
func (f FixedWindow) Worse(oldCount, newCount Count) bool {
	if newCount.Requests < f.MinRequests || oldCount.Requests == 0 {
		return false
	}
	n, m := float64(newCount.Requests), float64(oldCount.Requests)
	p, q := float64(newCount.Hits)/n, float64(oldCount.Hits)/m
	pooled := (float64(newCount.Hits) + float64(oldCount.Hits)) / (n + m)
	deviation := math.Sqrt(pooled * (1 - pooled) * (1/n + 1/m))
	return deviation > 0 && (p-q)/deviation > f.StdErrors
}

// Regression is a detected regression of the new version on a route, or of one client account on it.
type Regression struct {
	Reason  state.Reason
	Route   string
	Account string
	Old     Count
	New     Count
}

// Evidence describes the regression to operators.
func (f *Regression) Evidence() string {
	scope := "all routes"
	if f.Route != "" {
		scope = "route " + f.Route
	}
	if f.Account != "" {
		scope += ", client account " + f.Account
	}
	return fmt.Sprintf("%v on %s: %d of %d requests of the new version against %d of %d of the old one",
		f.Reason, scope, f.New.Hits, f.New.Requests, f.Old.Hits, f.Old.Requests)
}
