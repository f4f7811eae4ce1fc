package moves

import (
	"slices"

	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// moveEvidence is the evidence on one move and the regression that was detected in it, if any.
type moveEvidence struct {
	evidence    Evidence
	started     clock.Instant
	evaluatedAt clock.Instant
	regression  *Regression
}

// moveEvidences contains the evidence on each service's newest move.
type moveEvidences struct {
	// shortMoves selects the test for moves that are done within seconds.
	shortMoves bool
	all        map[string]*moveEvidence
}

// of returns the evidence on a move. When the service has started another move, it discards the
// evidence on the earlier one.
func (v *moveEvidences) of(m *state.Move) *moveEvidence {
	e := v.all[m.Service]
	if e != nil && e.started == m.Started && e.evidence.To == m.To {
		return e
	}
	e = &moveEvidence{started: m.Started, evidence: Evidence{Service: m.Service, From: m.From, To: m.To, Method: DefaultTest, Criteria: DefaultCriteria}}
	if v.shortMoves {
		e.evidence.Method, e.evidence.Criteria = ShortTest, ShortCriteria
	}
	if v.all == nil {
		v.all = make(map[string]*moveEvidence)
	}
	v.all[m.Service] = e
	return e
}

// Monitor is a daemon's own view of the version moves: how it splits its requests, what it observed
// of either version, and whether it stopped the new one locally. The zero value is ready to use; its
// owner serialises the calls.
type Monitor struct {
	pacers map[string]*Pacer
	local  moveEvidences
	totals map[Scope]*Tally
}

// SetShortMoves configures the monitor for moves that are done within seconds.
func (w *Monitor) SetShortMoves() { w.local.shortMoves = true }

// Pick returns the version for a request.
func (w *Monitor) Pick(m *state.Move, service string, q Query) string {
	p := w.pacers[service]
	if p == nil {
		if w.pacers == nil {
			w.pacers = make(map[string]*Pacer)
		}
		p = &Pacer{}
		w.pacers[service] = p
	}
	return p.Pick(m, q)
}

// Stopped reports whether this daemon sends nothing to the new version because of its own evidence.
func (w *Monitor) Stopped(m *state.Move) bool {
	e := w.local.all[m.Service]
	return e != nil && e.started == m.Started && e.evidence.To == m.To && e.regression != nil
}

// Observe adds the outcome of a request to the evidence; the move may be nil. If this request makes
// the daemon stop the new version, Observe returns the regression that was detected.
func (w *Monitor) Observe(now clock.Instant, m *state.Move, o Observation) *Regression {
	if m == nil || m.Stage.Ended() || o.Version != m.To && o.Version != m.From {
		return nil
	}
	scope, tally := Scope{Service: o.Service, Version: o.Version, Route: o.Route, Account: o.Account}, o.Tally()
	e := w.local.of(m)
	e.evidence.Add(now, scope, tally)
	if w.totals == nil {
		w.totals = make(map[Scope]*Tally)
	}
	addTo(w.totals, scope, &tally)
	if o.Version != m.To || e.regression != nil || now.Sub(e.evaluatedAt) < evaluationInterval {
		return nil
	}
	e.evaluatedAt = now
	e.regression = e.evidence.FindRegression()
	return e.regression
}

// evaluationInterval is the minimum time between two evaluations of a daemon's own evidence, whose cost
// grows with the number of scopes.
const evaluationInterval = 100 * clock.Millisecond

// Totals returns the totals of running moves and removes those of other moves.
func (w *Monitor) Totals(runs func(service string) bool) []Sample {
	var list []Sample
	for scope, t := range w.totals {
		if !runs(scope.Service) {
			delete(w.totals, scope)
			continue
		}
		var copied Tally
		copied.Add(t)
		list = append(list, Sample{Scope: scope, Tally: copied})
	}
	return list
}

// StoppedServices returns the names of the services whose new version this daemon stopped locally,
// sorted.
func (w *Monitor) StoppedServices() []string {
	var list []string
	for service, e := range w.local.all {
		if e.regression != nil {
			list = append(list, service)
		}
	}
	slices.Sort(list)
	return list
}

// Sample is a cumulative tally in the report of a daemon.
type Sample struct {
	Scope
	Tally
}

// Aggregator adds up the reports of all daemons on the leader. The zero value is ready to use; its
// owner serialises the calls.
type Aggregator struct {
	global moveEvidences
	// lastTotals are the totals in the last report of each daemon.
	lastTotals map[string]map[Scope]Tally
}

// SetShortMoves configures the aggregator for moves that are done within seconds.
func (a *Aggregator) SetShortMoves() { a.global.shortMoves = true }

// Receive adds the increase of a daemon's totals since its last report to the evidence. Totals that
// decreased start from zero again, as after a restart of the daemon. move returns the running move of
// a service, or nil.
func (a *Aggregator) Receive(now clock.Instant, daemon string, list []Sample, move func(service string) *state.Move) {
	if a.lastTotals == nil {
		a.lastTotals = make(map[string]map[Scope]Tally)
	}
	last := a.lastTotals[daemon]
	next := make(map[Scope]Tally, len(list))
	for _, s := range list {
		next[s.Scope] = s.Tally
		earlier := last[s.Scope]
		t := s.Since(&earlier)
		m := move(s.Service)
		if t.IsZero() || m == nil || m.Stage.Ended() || s.Version != m.To && s.Version != m.From {
			continue
		}
		a.global.of(m).evidence.Add(now, s.Scope, t)
	}
	a.lastTotals[daemon] = next
}

// Evaluate returns a copy of in with the evidence on a move and its routes added.
func (a *Aggregator) Evaluate(m *state.Move, routes []string, in Inputs) Inputs {
	e := a.global.of(m)
	if e.regression == nil {
		e.regression = e.evidence.FindRegression()
	}
	in.Routes, in.Regression = e.evidence.CountRoutes(routes), e.regression
	in.Old, in.New = e.evidence.CountFaults()
	in.WeakEvidence, in.Faults = e.evidence.FindWeakEvidence(), e.evidence.Faults()
	return in
}
