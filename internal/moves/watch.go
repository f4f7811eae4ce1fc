package moves

import (
	"slices"

	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// evidence is the ledger of one move with the fault that was found in it.
type evidence struct {
	ledger  Evidence
	started clock.Instant
	fault   *Regression
}

// evidences holds the evidence of each service's newest move.
type evidences struct {
	// short tells that the moves are done within seconds.
	short bool
	all   map[string]*evidence
}

// of returns the evidence on a move, new when the move was started anew.
func (v *evidences) of(m *state.Move) *evidence {
	e := v.all[m.Service]
	if e != nil && e.started == m.Started && e.ledger.To == m.To {
		return e
	}
	e = &evidence{started: m.Started, ledger: Evidence{Service: m.Service, From: m.From, To: m.To, Method: DefaultTest}}
	if v.short {
		e.ledger.Method, e.ledger.SlowMargin = ShortTest, ShortMargin
	}
	if v.all == nil {
		v.all = make(map[string]*evidence)
	}
	v.all[m.Service] = e
	return e
}

// Monitor is what one daemon keeps of moves: how it splits its requests, what it saw of either
// version, and whether its brake holds the new one. The zero value is ready to use; its owner
// serialises the calls.
type Monitor struct {
	Classifier Classifier

	pacers map[string]*Pacer
	local  evidences
	totals map[Scope]*Tally
}

// UseShort sets the watch up for moves that are done within seconds.
func (w *Monitor) UseShort() { w.Classifier, w.local.short = ShortClassifier, true }

// Pick returns the version for a request.
func (w *Monitor) Pick(m *state.Move, service string, a Query) string {
	p := w.pacers[service]
	if p == nil {
		if w.pacers == nil {
			w.pacers = make(map[string]*Pacer)
		}
		p = &Pacer{}
		w.pacers[service] = p
	}
	return p.Pick(m, a)
}

// Stopped reports whether this daemon's evidence holds the new version back.
func (w *Monitor) Stopped(m *state.Move) bool {
	e := w.local.all[m.Service]
	return e != nil && e.started == m.Started && e.ledger.To == m.To && e.fault != nil
}

// Observe takes the end of a request; the move may be nil. It returns the fault on which the brake
// was pulled by this request.
func (w *Monitor) Observe(now clock.Instant, m *state.Move, o Observation) *Regression {
	old := m == nil || o.Version != m.To
	tally := w.Classifier.Classify(o, old)
	if m == nil || m.Stage.Ended() || o.Version != m.To && o.Version != m.From {
		return nil
	}
	scope := Scope{Service: o.Service, Version: o.Version, Route: o.Route, Account: o.Account}
	e := w.local.of(m)
	e.ledger.Add(now, scope, tally)
	if w.totals == nil {
		w.totals = make(map[Scope]*Tally)
	}
	if w.totals[scope] == nil {
		w.totals[scope] = &Tally{}
	}
	w.totals[scope].Add(tally)
	if old || e.fault != nil {
		return nil
	}
	e.fault = e.ledger.Find()
	return e.fault
}

// Totals returns what was counted in moves that run, and forgets the others.
func (w *Monitor) Totals(runs func(service string) bool) []Sample {
	var list []Sample
	for scope, t := range w.totals {
		if !runs(scope.Service) {
			delete(w.totals, scope)
			continue
		}
		list = append(list, Sample{Scope: scope, Tally: *t})
	}
	return list
}

// StoppedServices returns the services whose new version this daemon holds back, in order.
func (w *Monitor) StoppedServices() []string {
	var list []string
	for service, e := range w.local.all {
		if e.fault != nil {
			list = append(list, service)
		}
	}
	slices.Sort(list)
	return list
}

// Sample is a cumulative tally that a daemon reports.
type Sample struct {
	Scope
	Tally
}

// Aggregator is what the leader keeps of the reports of all daemons. The zero value is ready to use;
// its owner serialises the calls.
type Aggregator struct {
	global evidences
	// heard are the totals that each daemon reported last.
	heard map[string]map[Scope]Tally
}

// UseShort sets the board up for moves that are done within seconds.
func (b *Aggregator) UseShort() { b.global.short = true }

// Receive takes the totals of a daemon's run. move returns the running move of a service, or nil.
func (b *Aggregator) Receive(now clock.Instant, daemon string, list []Sample, move func(service string) *state.Move) {
	if b.heard == nil {
		b.heard = make(map[string]map[Scope]Tally)
	}
	last := b.heard[daemon]
	next := make(map[Scope]Tally, len(list))
	for _, s := range list {
		next[s.Scope] = s.Tally
		t := s.Since(last[s.Scope])
		m := move(s.Service)
		if t == (Tally{}) || m == nil || m.Stage.Ended() || s.Version != m.To && s.Version != m.From {
			continue
		}
		b.global.of(m).ledger.Add(now, s.Scope, t)
	}
	b.heard[daemon] = next
}

// Evaluate completes in with the evidence on a move's routes.
func (b *Aggregator) Evaluate(m *state.Move, routes []string, in Inputs) Inputs {
	e := b.global.of(m)
	if e.fault == nil {
		e.fault = e.ledger.Find()
	}
	in.Routes, in.Regression = e.ledger.CountRoutes(routes), e.fault
	in.WeakEvidence, in.Faults = e.ledger.FindWeak(), e.ledger.Faults()
	return in
}
