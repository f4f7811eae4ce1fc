package moves

import (
	"cmp"
	"slices"

	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// Kinds of faults of a request; they index Tally.Hits.
const (
	failed = iota
	slowFirst
	slowGap
	short
	kinds
)

// reasons are the rollback reasons, indexed by the kind of fault.
var reasons = [kinds]state.Reason{state.MoreErrors, state.SlowerFirstToken, state.SlowerTokens, state.ShorterAnswers}

// Observation is the outcome of one request, or what is known of it when its response begins.
type Observation struct {
	Service string
	Version string
	Route   string
	Account string
	Failed  bool
	// FirstToken and TokenGap are in milliseconds; zero means not observed. They are only compared
	// with others of the same service and route, so a caller may use another unit for all of these.
	FirstToken float64
	TokenGap   float64
	// Tokens is the length of a complete response; zero means not observed.
	Tokens int
	// Counted is true if the request was observed before, when its response began.
	Counted bool
}

// Tally counts the requests of one version on one route for one client account, and those with each
// kind of fault.
type Tally struct {
	Requests uint64
	Hits     [kinds]uint64
}

// Add adds o to t.
func (t *Tally) Add(o Tally) {
	t.Requests += o.Requests
	for k := range t.Hits {
		t.Hits[k] += o.Hits[k]
	}
}

// NewTally returns a tally with the given counts.
func NewTally(requests, failures, slowFirsts, slowGaps, shorts uint64) Tally {
	return Tally{Requests: requests, Hits: [kinds]uint64{failures, slowFirsts, slowGaps, shorts}}
}

// Counts returns the counts of failed, slow and short responses.
func (t *Tally) Counts() (failures, slowFirsts, slowGaps, shorts uint64) {
	return t.Hits[failed], t.Hits[slowFirst], t.Hits[slowGap], t.Hits[short]
}

// Since returns what was added to t after the earlier total o. A total that decreased was reset in
// between and is returned unchanged.
func (t Tally) Since(o Tally) Tally {
	if t.Requests < o.Requests {
		return t
	}
	t.Requests -= o.Requests
	for k := range t.Hits {
		t.Hits[k] -= min(o.Hits[k], t.Hits[k])
	}
	return t
}

// count returns the number of requests and of those with one kind of fault. A request may have been
// counted in an earlier window than its fault, so there can be more faults than requests here.
func (t Tally) count(kind int) Count {
	return Count{Requests: max(t.Requests, t.Hits[kind]), Hits: t.Hits[kind]}
}

// Scope identifies the requests that a tally counts.
type Scope struct {
	Service string
	Version string
	Route   string
	Account string
}

// Classifier decides which kinds of faults an observation shows. It compares the observation with
// quantiles of the old version, which it tracks for each route.
type Classifier struct {
	// SlowQuantile is the quantile of the old version's times above which a time is slow. Tolerance
	// is the factor by which a value may be beyond a quantile without being a fault. WarmUp is the
	// number of observations before a quantile is used. Where a field is zero, slowQuantile,
	// tolerance or warmUp applies.
	SlowQuantile float64
	Tolerance    float64
	WarmUp       int

	byRoute map[Scope]*thresholds
}

type thresholds struct {
	first quantile
	gap   quantile
	short quantile
}

// Defaults of a Classifier. The quantiles of the old version bound what is slow and what is short.
const (
	slowQuantile  = 0.95
	shortQuantile = 0.02
	tolerance     = 1.25
	warmUp        = 30
)

// Classify returns the tally of one observation. Observations of the old version update the
// thresholds.
func (c *Classifier) Classify(o Observation, old bool) Tally {
	if c.byRoute == nil {
		c.byRoute = make(map[Scope]*thresholds)
	}
	key := Scope{Service: o.Service, Route: o.Route}
	t := c.byRoute[key]
	if t == nil {
		slow := cmp.Or(c.SlowQuantile, slowQuantile)
		t = &thresholds{first: quantile{at: slow}, gap: quantile{at: slow}, short: quantile{at: shortQuantile}}
		c.byRoute[key] = t
	}
	tally := Tally{Requests: 1}
	if o.Counted {
		tally.Requests = 0
	}
	if o.Failed {
		tally.Hits[failed] = 1
		return tally
	}
	factor, warm := cmp.Or(c.Tolerance, tolerance), cmp.Or(c.WarmUp, warmUp)
	tally.Hits[slowFirst] = above(&t.first, o.FirstToken, factor, warm, old)
	tally.Hits[slowGap] = above(&t.gap, o.TokenGap, factor, warm, old)
	tally.Hits[short] = below(&t.short, float64(o.Tokens), factor, warm, old)
	return tally
}

func above(q *quantile, value, factor float64, warm int, learn bool) uint64 {
	if value == 0 {
		return 0
	}
	hit := q.count >= warm && value > q.value*factor
	if learn {
		q.observe(value)
	}
	return hitCount(hit)
}

func below(q *quantile, value, factor float64, warm int, learn bool) uint64 {
	if value == 0 {
		return 0
	}
	hit := q.count >= warm && value < q.value/factor
	if learn {
		q.observe(value)
	}
	return hitCount(hit)
}

func hitCount(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// quantile estimates one quantile of a stream of values, with a step size that adapts to them.
type quantile struct {
	at    float64
	value float64
	step  float64
	count int
}

func (q *quantile) observe(v float64) {
	q.count++
	if q.count == 1 {
		q.value, q.step = v, max(v*0.1, 1e-6)
		return
	}
	q.step += 0.02 * (max(abs(v-q.value)*0.1, 1e-6) - q.step)
	if v > q.value {
		q.value += q.step * q.at
	} else {
		q.value -= q.step * (1 - q.at)
	}
}

func abs(v float64) float64 {
	if v < 0 {
		return -v
	}
	return v
}

// bucketSpan is the time that one bucket of Evidence covers.
const bucketSpan = clock.Second

// windows are the lengths, in buckets, of the newest evidence that is tested; zero means all since
// the start. Short windows detect late regressions that a long history without faults would hide.
var windows = []int{3, 10, 30, 0}

// Evidence stores the tallies of one move and detects regressions in them.
type Evidence struct {
	Service string
	From    string
	To      string
	Method  Method
	// SlowMargin, if above zero, replaces the margin of a Test for the rates of slow responses.
	SlowMargin float64

	total   map[Scope]*Tally
	buckets []bucket
	scratch []Scope
}

// Method compares the fault rates of two versions.
type Method interface {
	// Worse reports whether the new version's rate is significantly above the old one's.
	Worse(oldCount, newCount Count) bool
}

type bucket struct {
	at      clock.Instant
	tallies map[Scope]*Tally
}

// Add adds a tally to the totals and to the newest bucket.
func (e *Evidence) Add(now clock.Instant, s Scope, t Tally) {
	if e.total == nil {
		e.total = make(map[Scope]*Tally)
	}
	addTo(e.total, s, t)
	n := len(e.buckets)
	if n == 0 || now.Sub(e.buckets[n-1].at) >= bucketSpan {
		e.buckets = append(e.buckets, bucket{at: now, tallies: make(map[Scope]*Tally)})
		if longest := slices.Max(windows); len(e.buckets) > longest {
			e.buckets = slices.Delete(e.buckets, 0, len(e.buckets)-longest)
		}
	}
	addTo(e.buckets[len(e.buckets)-1].tallies, s, t)
}

func addTo(m map[Scope]*Tally, s Scope, t Tally) {
	if m[s] == nil {
		m[s] = &Tally{}
	}
	m[s].Add(t)
}

// FindRegression returns the first detected regression, or nil.
func (e *Evidence) FindRegression() *Regression {
	method := e.Method
	if t, ok := method.(Test); ok && e.Faults() >= relaxAfterFaults {
		t.FalseAlarm *= falseAlarmFactor
		method = t
	}
	for _, length := range windows {
		if f := e.findIn(e.window(length), method); f != nil {
			return f
		}
	}
	return nil
}

const (
	// relaxAfterFaults is a number of faults of the new version. Once it is reached, less evidence is
	// required, because each further fault affects a caller. It is below 50: after 50 faults the new
	// version must soon stop receiving requests.
	relaxAfterFaults = 40
	// falseAlarmFactor is the factor by which the allowed rate of false alarms rises once there are
	// relaxAfterFaults faults.
	falseAlarmFactor = 5
)

// FindWeakEvidence returns the first regression that WeakTest detects, or nil. It is a reason to pause
// the version.
func (e *Evidence) FindWeakEvidence() *Regression {
	return e.findIn(e.window(weakWindow), WeakTest)
}

// weakWindow is the length of the evidence that FindWeakEvidence tests, in buckets.
const weakWindow = 10

// Faults counts the faults of the new version. A response with several kinds of faults counts for
// each of them.
func (e *Evidence) Faults() uint64 {
	var sum uint64
	for s, t := range e.total {
		if s.Version != e.To {
			continue
		}
		for _, hits := range t.Hits {
			sum += hits
		}
	}
	return sum
}

// window returns the sums of the newest buckets, or of all evidence for length zero.
func (e *Evidence) window(length int) map[Scope]*Tally {
	if length == 0 {
		return e.total
	}
	sum := make(map[Scope]*Tally)
	for _, b := range e.buckets[max(len(e.buckets)-length, 0):] {
		for s, t := range b.tallies {
			addTo(sum, s, *t)
		}
	}
	return sum
}

// findIn compares the new version with the old one on each route, for all client accounts together and
// for each account. It returns the first regression that method detects, or nil.
func (e *Evidence) findIn(tallies map[Scope]*Tally, method Method) *Regression {
	sums := make(map[Scope]*Tally, len(tallies))
	for s, t := range tallies {
		addTo(sums, s, *t)
		s.Account = ""
		addTo(sums, s, *t)
	}
	e.scratch = e.scratch[:0]
	for s := range sums {
		if s.Version == e.To {
			e.scratch = append(e.scratch, s)
		}
	}
	slices.SortFunc(e.scratch, compareScopes)
	for _, s := range e.scratch {
		if f := e.compare(s, sums, method); f != nil {
			return f
		}
	}
	return nil
}

// compare tests a scope of the new version against the same scope of the old one.
func (e *Evidence) compare(s Scope, sums map[Scope]*Tally, method Method) *Regression {
	newTally := sums[s]
	s.Version = e.From
	old := e.oldTally(s)
	for kind := range kinds {
		if e.methodOf(kind, method).Worse(old.count(kind), newTally.count(kind)) {
			return &Regression{Reason: reasons[kind], Route: s.Route, Account: s.Account, Old: old.count(kind), New: newTally.count(kind)}
		}
	}
	return nil
}

func (e *Evidence) methodOf(kind int, method Method) Method {
	if t, ok := method.(Test); ok && e.SlowMargin > 0 && (kind == slowFirst || kind == slowGap) {
		t.Margin = e.SlowMargin
		return t
	}
	return method
}

// oldTally returns all the evidence on the old version in a scope. If there is none for a client
// account, it returns that of the route over all client accounts.
func (e *Evidence) oldTally(s Scope) Tally {
	if t := e.total[s]; t != nil && s.Account != "" {
		return *t
	}
	return e.routeTotal(s)
}

// routeTotal returns the sum of a version's tallies on a route over all client accounts.
func (e *Evidence) routeTotal(s Scope) Tally {
	var sum Tally
	for o, t := range e.total {
		if o.Version == s.Version && o.Route == s.Route && o.Service == s.Service {
			sum.Add(*t)
		}
	}
	return sum
}

func compareScopes(a, b Scope) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Account, b.Account))
}

// Sum returns the tally of a version over all routes and client accounts.
func (e *Evidence) Sum(version string) Tally {
	var sum Tally
	for s, t := range e.total {
		if s.Version == version {
			sum.Add(*t)
		}
	}
	return sum
}

// CountRoutes returns the requests to either version on each of the routes.
func (e *Evidence) CountRoutes(routes []string) []RouteCounts {
	counts := make([]RouteCounts, 0, len(routes))
	for _, r := range routes {
		old := e.routeTotal(Scope{Service: e.Service, Version: e.From, Route: r})
		newTally := e.routeTotal(Scope{Service: e.Service, Version: e.To, Route: r})
		counts = append(counts, RouteCounts{Route: r, Old: old.Requests, New: newTally.Requests})
	}
	return counts
}
