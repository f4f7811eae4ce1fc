package moves

import (
	"cmp"
	"slices"

	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// Fault counts by kind.
const (
	failed = iota
	slowFirst
	slowGap
	short
	kinds
)

// reasons name the kinds of faults.
var reasons = [kinds]state.Reason{state.MoreErrors, state.SlowerFirstToken, state.SlowerTokens, state.ShorterAnswers}

// Observation is one request that ended.
type Observation struct {
	Service string
	Version string
	Route   string
	Account string
	Failed  bool
	// FirstToken and TokenGap are in milliseconds; zero means not observed.
	FirstToken float64
	TokenGap   float64
	// Tokens is the length of a complete answer; zero means not observed.
	Tokens int
	// Counted tells that the request was observed before, when its answer began.
	Counted bool
}

// Tally counts the requests of one version on one route for one client account.
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

// Counts returns the counts of failed, slow and short answers.
func (t *Tally) Counts() (failures, slowFirsts, slowGaps, shorts uint64) {
	return t.Hits[failed], t.Hits[slowFirst], t.Hits[slowGap], t.Hits[short]
}

// Since returns what was added to t after the earlier total o. A total that shrank was started
// anew and counts whole.
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

// count returns the requests with those of one kind. A request may have been counted in an earlier
// window than its fault.
func (t Tally) count(kind int) Count {
	return Count{Requests: max(t.Requests, t.Hits[kind]), Hits: t.Hits[kind]}
}

// Scope names what a tally is about.
type Scope struct {
	Service string
	Version string
	Route   string
	Account string
}

// Classifier turns observations into yes or no by quantiles of the old version, one set for each
// route.
type Classifier struct {
	// SlowQuantile is the quantile of the old version's times, and Tolerance the factor beyond a quantile that
	// still counts as equal. WarmUp is the number of observations before a quantile is used. Zero
	// means slowQuantile, tolerance and warmUp.
	SlowQuantile float64
	Tolerance    float64
	WarmUp       int

	limits map[Scope]*thresholds
}

type thresholds struct {
	first quantile
	gap   quantile
	short quantile
}

// Quantiles of the old version that bound what is slow and what is short.
const (
	slowQuantile  = 0.95
	shortQuantile = 0.02
	// tolerance is the factor beyond the quantile that still counts as equal.
	tolerance = 1.25
	// warmUp is the number of observations before a threshold is used.
	warmUp = 30
)

// Classify returns the tally of one observation. Observations of the old version move the
// thresholds.
func (j *Classifier) Classify(o Observation, old bool) Tally {
	if j.limits == nil {
		j.limits = make(map[Scope]*thresholds)
	}
	key := Scope{Service: o.Service, Route: o.Route}
	t := j.limits[key]
	if t == nil {
		slow := cmp.Or(j.SlowQuantile, slowQuantile)
		t = &thresholds{first: quantile{at: slow}, gap: quantile{at: slow}, short: quantile{at: shortQuantile}}
		j.limits[key] = t
	}
	tally := Tally{Requests: 1}
	if o.Counted {
		tally.Requests = 0
	}
	if o.Failed {
		tally.Hits[failed] = 1
		return tally
	}
	factor, warm := cmp.Or(j.Tolerance, tolerance), cmp.Or(j.WarmUp, warmUp)
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
	return flag(hit)
}

func below(q *quantile, value, factor float64, warm int, learn bool) uint64 {
	if value == 0 {
		return 0
	}
	hit := q.count >= warm && value < q.value/factor
	if learn {
		q.observe(value)
	}
	return flag(hit)
}

func flag(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// quantile tracks one quantile of a stream with a step that adapts to the values.
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

// bucketSpan is the time that one bucket of an Evidence covers.
const bucketSpan = clock.Second

// windows are the lengths of the newest evidence that is tested, in buckets; zero is all since
// the start. Short windows find late faults that a long clean history would hide.
var windows = []int{3, 10, 30, 0}

// Evidence keeps the evidence of one move and finds faults in it.
type Evidence struct {
	Service string
	From    string
	To      string
	Method  Method
	// SlowMargin replaces the margin of a Test for the rates of slow answers where it is above zero.
	SlowMargin float64

	total   map[Scope]*Tally
	buckets []bucket
	scratch []Scope
}

// Method compares the rates of two versions.
type Method interface {
	Worse(old, fresh Count) bool
}

type bucket struct {
	at      clock.Instant
	tallies map[Scope]*Tally
}

// Add counts a tally.
func (l *Evidence) Add(now clock.Instant, s Scope, t Tally) {
	if l.total == nil {
		l.total = make(map[Scope]*Tally)
	}
	addTo(l.total, s, t)
	n := len(l.buckets)
	if n == 0 || now.Sub(l.buckets[n-1].at) >= bucketSpan {
		l.buckets = append(l.buckets, bucket{at: now, tallies: make(map[Scope]*Tally)})
		if longest := slices.Max(windows); len(l.buckets) > longest {
			l.buckets = slices.Delete(l.buckets, 0, len(l.buckets)-longest)
		}
	}
	addTo(l.buckets[len(l.buckets)-1].tallies, s, t)
}

func addTo(m map[Scope]*Tally, s Scope, t Tally) {
	if m[s] == nil {
		m[s] = &Tally{}
	}
	m[s].Add(t)
}

// Find returns the first fault that the evidence shows, or nil.
func (l *Evidence) Find() *Regression {
	method := l.Method
	if t, ok := method.(Test); ok && l.Faults() >= manyFaults {
		t.FalseAlarm *= manyAlarm
		method = t
	}
	for _, length := range windows {
		if f := l.findIn(l.window(length), method); f != nil {
			return f
		}
	}
	return nil
}

const (
	// manyFaults is the number of faulty answers of the new version from which on a weaker proof is
	// enough, as each further one hurts a caller; below the fifty after which it must be gone soon.
	manyFaults = 40
	// manyAlarm is the factor by which the weaker proof raises the rate of false alarms.
	manyAlarm = 5
)

// FindWeak returns the first evidence that a weaker test finds, to pause a version on.
func (l *Evidence) FindWeak() *Regression {
	return l.findIn(l.window(suspectWindow), WeakTest)
}

// suspectWindow is the length of the evidence that raises suspicion, in buckets.
const suspectWindow = 10

// Faults counts the faulty answers of the new version.
func (l *Evidence) Faults() uint64 {
	var sum uint64
	for s, t := range l.total {
		if s.Version != l.To {
			continue
		}
		for _, hits := range t.Hits {
			sum += hits
		}
	}
	return sum
}

// window returns the tallies of the newest buckets, or all for length zero.
func (l *Evidence) window(length int) map[Scope]*Tally {
	if length == 0 {
		return l.total
	}
	sum := make(map[Scope]*Tally)
	for _, b := range l.buckets[max(len(l.buckets)-length, 0):] {
		for s, t := range b.tallies {
			addTo(sum, s, *t)
		}
	}
	return sum
}

// findIn tests each route as a whole and each client account on it.
func (l *Evidence) findIn(tallies map[Scope]*Tally, method Method) *Regression {
	whole := make(map[Scope]*Tally, len(tallies))
	for s, t := range tallies {
		addTo(whole, s, *t)
		s.Account = ""
		addTo(whole, s, *t)
	}
	l.scratch = l.scratch[:0]
	for s := range whole {
		if s.Version == l.To {
			l.scratch = append(l.scratch, s)
		}
	}
	slices.SortFunc(l.scratch, compareScopes)
	for _, s := range l.scratch {
		if f := l.test(s, whole, method); f != nil {
			return f
		}
	}
	return nil
}

// test compares a scope of the new version with the same scope of the old one.
func (l *Evidence) test(s Scope, whole map[Scope]*Tally, method Method) *Regression {
	fresh := whole[s]
	s.Version = l.From
	old := l.old(s)
	for kind := range kinds {
		if l.methodOf(kind, method).Worse(old.count(kind), fresh.count(kind)) {
			return &Regression{Reason: reasons[kind], Route: s.Route, Account: s.Account, Old: old.count(kind), New: fresh.count(kind)}
		}
	}
	return nil
}

func (l *Evidence) methodOf(kind int, method Method) Method {
	if t, ok := method.(Test); ok && l.SlowMargin > 0 && (kind == slowFirst || kind == slowGap) {
		t.Margin = l.SlowMargin
		return t
	}
	return method
}

// old returns all the evidence on the old version in a scope. Without any for one client account
// the whole route stands in.
func (l *Evidence) old(s Scope) Tally {
	if t := l.total[s]; t != nil && s.Account != "" {
		return *t
	}
	return l.route(s)
}

// route sums the requests of a version on a route over all client accounts.
func (l *Evidence) route(s Scope) Tally {
	var sum Tally
	for o, t := range l.total {
		if o.Version == s.Version && o.Route == s.Route && o.Service == s.Service {
			sum.Add(*t)
		}
	}
	return sum
}

func compareScopes(a, b Scope) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Account, b.Account))
}

// CountRoutes returns the requests of each named route in all the evidence.
func (l *Evidence) CountRoutes(routes []string) []RouteCounts {
	seen := make([]RouteCounts, 0, len(routes))
	for _, r := range routes {
		old := l.route(Scope{Service: l.Service, Version: l.From, Route: r})
		fresh := l.route(Scope{Service: l.Service, Version: l.To, Route: r})
		seen = append(seen, RouteCounts{Route: r, Old: old.Requests, New: fresh.Requests})
	}
	return seen
}
