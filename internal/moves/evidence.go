package moves

import (
	"cmp"
	"maps"
	"slices"

	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// Scope identifies the requests that a tally counts.
type Scope struct {
	Service string
	Version string
	Route   string
	Account string
}

// bucketSpan is the time that one bucket of Evidence covers.
const bucketSpan = clock.Second

// windows are the lengths, in buckets, of the newest evidence that is tested; zero means all since
// the start. Short windows detect late regressions that a long history without faults would hide.
var windows = []int{3, 10, 30, 0}

// Evidence stores the tallies of one move and detects regressions in them.
type Evidence struct {
	Service  string
	From     string
	To       string
	Method   Method
	Criteria Criteria

	total   map[Scope]*Tally
	buckets []bucket
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
	addTo(e.total, s, &t)
	n := len(e.buckets)
	if n == 0 || now.Sub(e.buckets[n-1].at) >= bucketSpan {
		e.buckets = append(e.buckets, bucket{at: now, tallies: make(map[Scope]*Tally)})
		if longest := slices.Max(windows); len(e.buckets) > longest {
			e.buckets = slices.Delete(e.buckets, 0, len(e.buckets)-longest)
		}
	}
	addTo(e.buckets[len(e.buckets)-1].tallies, s, &t)
}

func addTo(m map[Scope]*Tally, s Scope, t *Tally) {
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
	old := e.oldRoutes()
	for _, length := range windows {
		if f := e.findIn(e.window(length), old, method); f != nil {
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
	return e.findIn(e.window(weakWindow), e.oldRoutes(), WeakTest)
}

// weakWindow is the length of the evidence that FindWeakEvidence tests, in buckets.
const weakWindow = 10

// Faults counts the faults of the new version. A response with several kinds of faults counts for
// each of them.
func (e *Evidence) Faults() uint64 {
	var sum uint64
	counted := make(map[state.Reason]bool, len(e.Criteria.Slow)+2)
	for _, f := range e.pooled(e.total, e.oldRoutes()) {
		// Of several limits, the first includes the values beyond the others.
		if !counted[f.reason] {
			sum += f.new.Hits
		}
		counted[f.reason] = true
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
			addTo(sum, s, t)
		}
	}
	return sum
}

// oldRoutes returns the tallies of the old version by route, over all client accounts. They are the
// reference for what is slow or short.
func (e *Evidence) oldRoutes() map[string]*Tally {
	routes := make(map[string]*Tally)
	for s, t := range e.total {
		if s.Version != e.From {
			continue
		}
		if routes[s.Route] == nil {
			routes[s.Route] = &Tally{}
		}
		routes[s.Route].Add(t)
	}
	return routes
}

// findIn compares the new version with the old one on each route, for all client accounts together and
// for each account, and at last on all routes together. It returns the first regression that method
// detects, or nil.
func (e *Evidence) findIn(tallies map[Scope]*Tally, old map[string]*Tally, method Method) *Regression {
	sums := make(map[Scope]*Tally, len(tallies))
	for s, t := range tallies {
		if s.Version != e.To {
			continue
		}
		if s.Account != "" {
			addTo(sums, s, t)
			s.Account = ""
		}
		addTo(sums, s, t)
	}
	var all []finding
	for _, s := range slices.SortedFunc(maps.Keys(sums), compareScopes) {
		findings := e.findings(s, old, sums[s])
		if r := worse(findings, s, method); r != nil {
			return r
		}
		if s.Account == "" {
			all = pooled(all, findings)
		}
	}
	return worse(all, Scope{}, method)
}

// findings compares a tally of the new version with the old version in the same scope. If there is no
// evidence on the old one for a client account, it is compared with that of all accounts.
func (e *Evidence) findings(s Scope, old map[string]*Tally, newTally *Tally) []finding {
	reference := old[s.Route]
	if reference == nil {
		reference = &Tally{}
	}
	s.Version = e.From
	same := e.total[s]
	if same == nil || s.Account == "" {
		same = reference
	}
	return e.Criteria.findings(reference, same, newTally)
}

// pooled compares the versions on all routes together.
func (e *Evidence) pooled(tallies map[Scope]*Tally, old map[string]*Tally) []finding {
	routes := make(map[Scope]*Tally)
	for s, t := range tallies {
		if s.Version == e.To {
			s.Account = ""
			addTo(routes, s, t)
		}
	}
	var sum []finding
	for _, s := range slices.SortedFunc(maps.Keys(routes), compareScopes) {
		sum = pooled(sum, e.findings(s, old, routes[s]))
	}
	return sum
}

// worse returns the first finding in which method detects a regression, or nil.
func worse(list []finding, s Scope, method Method) *Regression {
	for _, f := range list {
		m := method
		if t, ok := method.(Test); ok && f.margin > 0 {
			t.Margin = f.margin
			m = t
		}
		if m.Worse(f.old, f.new) {
			return &Regression{Reason: f.reason, Route: s.Route, Account: s.Account, Old: f.old, New: f.new}
		}
	}
	return nil
}

func compareScopes(a, b Scope) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Account, b.Account))
}

// Counts sums up one version's requests and faults of each kind over all routes.
type Counts struct {
	Requests   uint64
	Failed     uint64
	SlowFirst  uint64
	SlowTokens uint64
	Short      uint64
}

// CountFaults returns the counts of both versions. Those of the old one are scaled to the routes of the
// new one's requests.
func (e *Evidence) CountFaults() (oldCounts, newCounts Counts) {
	for s, t := range e.total {
		switch s.Version {
		case e.From:
			oldCounts.Requests += t.Requests
		case e.To:
			newCounts.Requests += t.Requests
		}
	}
	counted := make(map[state.Reason]bool)
	for _, f := range e.pooled(e.total, e.oldRoutes()) {
		if counted[f.reason] {
			continue
		}
		counted[f.reason] = true
		oldCounts.set(f.reason, f.old.Hits)
		newCounts.set(f.reason, f.new.Hits)
	}
	return oldCounts, newCounts
}

func (c *Counts) set(reason state.Reason, hits uint64) {
	switch reason {
	case state.MoreErrors:
		c.Failed = hits
	case state.SlowerFirstToken:
		c.SlowFirst = hits
	case state.SlowerTokens:
		c.SlowTokens = hits
	case state.ShorterAnswers:
		c.Short = hits
	}
}

// CountRoutes returns the requests to either version on each of the routes.
func (e *Evidence) CountRoutes(routes []string) []RouteCounts {
	counts := make(map[string]*RouteCounts, len(routes))
	list := make([]RouteCounts, len(routes))
	for i, r := range routes {
		list[i].Route = r
		counts[r] = &list[i]
	}
	for s, t := range e.total {
		switch c := counts[s.Route]; {
		case c == nil:
		case s.Version == e.From:
			c.Old += t.Requests
		case s.Version == e.To:
			c.New += t.Requests
		}
	}
	return list
}
