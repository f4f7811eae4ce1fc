package moves

import (
	"math"

	"swiftbeam/internal/state"
)

// Criteria define which responses are faulty: besides failed ones, those that are slow or short
// compared with a quantile of the old version on the same route.
type Criteria struct {
	// Slow are the limits of the times to the first token and between tokens. Several limits detect
	// both a version that is slightly slower in all responses and one that is much slower in a few.
	Slow []Limit
	// Short is the limit below which a response is short.
	Short Limit
	// WarmUp is the number of values of the old version from which on a quantile is used.
	WarmUp uint64
}

// Limit is a bound relative to a quantile of the old version.
type Limit struct {
	Quantile float64
	// Factor is how far beyond the quantile a value may be.
	Factor float64
	// Margin, if above zero, replaces the margin of a Test for the rate of values beyond the limit.
	Margin float64
}

// DefaultCriteria are for moves of minutes to hours. ShortCriteria are for moves that are done within
// seconds: the median is known after few requests and is far from the times of a version that is
// several times slower. The wider margin of its first limit allows for servers that start with empty
// caches.
var (
	DefaultCriteria = Criteria{
		Slow: []Limit{{Quantile: 0.95, Factor: 1.25}}, Short: Limit{Quantile: 0.02, Factor: 1.25}, WarmUp: 30,
	}
	ShortCriteria = Criteria{
		Slow:  []Limit{{Quantile: 0.5, Factor: 2, Margin: 0.1}, {Quantile: 0.5, Factor: 3.4, Margin: 0.02}},
		Short: Limit{Quantile: 0.02, Factor: 1.25}, WarmUp: 10,
	}
)

// finding compares one kind of fault of both versions in one scope.
type finding struct {
	reason state.Reason
	margin float64
	old    Count
	new    Count
}

// findings compares a scope of the new version with that of the old one. Reference is the old version
// on the route, whose quantiles are the limits. The result has the same length and order for all scopes;
// a comparison that is not possible yet has no requests.
func (c *Criteria) findings(reference, oldTally, newTally *Tally) []finding {
	list := []finding{{reason: state.MoreErrors, old: oldTally.failures(), new: newTally.failures()}}
	for _, l := range c.Slow {
		list = append(list,
			c.slower(state.SlowerFirstToken, l, &reference.First, &oldTally.First, &newTally.First),
			c.slower(state.SlowerTokens, l, &reference.Gap, &oldTally.Gap, &newTally.Gap))
	}
	return append(list, c.shorter(&reference.Length, &oldTally.Length, &newTally.Length))
}

// failures returns the requests and the failed ones. A request may have been counted in an earlier
// window than its failure, so there can be more failures than requests here.
func (t *Tally) failures() Count {
	return Count{Requests: max(t.Requests, t.Failed), Hits: t.Failed}
}

func (c *Criteria) slower(reason state.Reason, l Limit, reference, oldValues, newValues *Histogram) finding {
	f := finding{reason: reason, margin: l.Margin}
	if reference.total() < c.WarmUp {
		return f
	}
	bucket := reference.quantile(l.Quantile) + bucketSteps(l.Factor)
	f.old = Count{Requests: oldValues.total(), Hits: oldValues.above(bucket)}
	f.new = Count{Requests: newValues.total(), Hits: newValues.above(bucket)}
	return f
}

func (c *Criteria) shorter(reference, oldValues, newValues *Histogram) finding {
	f := finding{reason: state.ShorterAnswers, margin: c.Short.Margin}
	if reference.total() < c.WarmUp {
		return f
	}
	bucket := reference.quantile(c.Short.Quantile) - bucketSteps(c.Short.Factor)
	f.old = Count{Requests: oldValues.total(), Hits: oldValues.below(bucket)}
	f.new = Count{Requests: newValues.total(), Hits: newValues.below(bucket)}
	return f
}

func bucketSteps(factor float64) int32 {
	return int32(math.Round(bucketsPerOctave * math.Log2(factor)))
}

// pooled adds a route's findings to those of the service. The old count is scaled to the rate that the
// new version's requests would have on the old version, since the routes' shares of the traffic may
// differ between the versions.
func pooled(sum, route []finding) []finding {
	if sum == nil {
		sum = make([]finding, len(route))
	}
	for i, f := range route {
		s := &sum[i]
		s.reason, s.margin = f.reason, f.margin
		if f.old.Requests == 0 || f.new.Requests == 0 {
			continue
		}
		expected := s.old.rate()*float64(s.new.Requests) + f.old.rate()*float64(f.new.Requests)
		s.new = s.new.Add(f.new)
		s.old.Requests += f.old.Requests
		s.old.Hits = uint64(math.Round(expected / float64(s.new.Requests) * float64(s.old.Requests)))
	}
	return sum
}
