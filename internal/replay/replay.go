package replay

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"

	"swiftbeam/internal/moves"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// faultyLimit is the number of faulty responses of the new version after which Result.After50 is measured:
// a regressed version must receive no requests soon afterwards, regardless of its share.
const faultyLimit = 50

// tick is the time between two reports and decisions, as on the daemons.
const tick = 500 * clock.Millisecond

// Options of a run.
type Options struct {
	// Method compares the versions; nil means the method of the daemons.
	Method moves.Method
	// Short replays the cases as rollouts that end within seconds, with the short-term method of the entry
	// daemons in place of Method.
	Short bool
	// Bound is the bound on requests to a version that is not proven yet, over all daemons.
	Bound moves.Bound
}

// Result is the outcome of a case.
type Result struct {
	Case   *Case
	Stage  state.Stage
	Reason state.Reason
	// Evidence is the text that operators see.
	Evidence string
	EndedAt  clock.Duration
	// InTime reports whether the move ended by its deadline.
	InTime bool
	// NewRequests counts the requests that the new version received, and All those of both versions.
	NewRequests int
	All         int
	// Exposure is the largest part of a route's requests that went to the new version before its
	// first faulty response.
	Exposure float64
	// Clearance is the time from the first faulty response to the last request that was sent to the
	// new version; zero if there was no faulty response.
	Clearance clock.Duration
	// FaultyResponses counts the faulty responses of the new version, and After50 is the time from the
	// 50th of them to the last request that was sent to the new version.
	FaultyResponses int
	After50         clock.Duration
	// Pause is the time from the first faulty response to the first pause of the new version.
	Pause clock.Duration
}

// Mismatch describes how the outcome differs from the expected one; it is empty if they agree.
func (r Result) Mismatch() string {
	got := "running"
	switch r.Stage {
	case state.Finished:
		got = "finished"
	case state.RolledBack:
		got = "rolledBack"
	case state.Cancelled:
		got = "cancelled"
	}
	if got != r.Case.Expect {
		return fmt.Sprintf("got %s (%v), want %s", got, r.Reason, r.Case.Expect)
	}
	if got == "finished" && !r.InTime {
		return "finished too late"
	}
	return ""
}

// run is the state of one running case.
type run struct {
	*Case
	now           clock.Instant
	random        *rand.Rand
	move          *state.Move
	announced     state.Move // the move as the daemons have received it; decisions reach them one tick later
	daemons       []*daemon
	global        *moves.Evidence
	regression    *moves.Regression
	pending       map[int][]outcome
	delayed       []report
	readyNew      int
	result        Result
	routeAll      map[string]int
	routeNew      map[string]int
	firstFaultyAt clock.Instant
	faultyLimitAt clock.Instant
	short         bool
	bound         moves.Bound
}

// daemon is a simulated daemon. It evaluates requests and stops the new version locally on the evidence
// of its own requests.
type daemon struct {
	pacer       moves.Pacer
	evidence    *moves.Evidence
	evaluatedAt clock.Instant
	stopped     bool
}

// outcome is an observation that is made in a later tick.
type outcome struct {
	observation moves.Observation
	daemon      int
	faulty      bool
}

type report struct {
	scope moves.Scope
	tally moves.Tally
}

// RunAll replays cases concurrently and returns their results in the order of the cases.
func RunAll(cases []*Case, o Options) []Result {
	results := make([]Result, len(cases))
	var wait sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, c := range cases {
		wait.Go(func() {
			slots <- struct{}{}
			results[i] = Run(c, o)
			<-slots
		})
	}
	wait.Wait()
	return results
}

// Run replays one case until its move ends or its deadline has passed.
func Run(c *Case, o Options) Result {
	if o.Method == nil {
		o.Method = moves.DefaultTest
	}
	r := &run{
		Case: c, random: rand.New(rand.NewPCG(c.Traffic.Seed, 11)), pending: make(map[int][]outcome),
		readyNew: c.ReadyNew, routeAll: make(map[string]int), routeNew: make(map[string]int),
		move: &state.Move{
			Service: c.Service, From: "old", To: "new", FinishBy: clock.Instant(c.FinishInMs), Trial: c.TrialPercent, Revision: 1,
		},
	}
	r.short, r.bound = o.Short, o.Bound
	r.bound.Slack /= float64(max(c.Daemons, 1))
	r.global = r.newEvidence(o.Method)
	for range c.Daemons {
		r.daemons = append(r.daemons, &daemon{evidence: r.newEvidence(o.Method)})
	}
	for r.now <= r.move.FinishBy.Add(tick) && !r.move.Stage.Ended() {
		r.step()
	}
	r.result.Case, r.result.Stage, r.result.Reason = c, r.move.Stage, r.move.Reason
	r.result.Evidence = r.move.Evidence
	r.result.EndedAt = clock.Duration(r.now)
	r.result.InTime = r.now <= r.move.FinishBy
	return r.result
}

func (r *run) newEvidence(m moves.Method) *moves.Evidence {
	e := &moves.Evidence{Service: r.Service, From: "old", To: "new", Method: m, Criteria: moves.DefaultCriteria}
	if r.short {
		e.Method, e.Criteria = moves.ShortTest, moves.ShortCriteria
	}
	return e
}

func (r *run) step() {
	r.applyEvents()
	r.announced = *r.move
	r.sendRequests()
	r.observeEnded()
	r.decide()
	r.now = r.now.Add(tick)
}

func (r *run) applyEvents() {
	for _, e := range r.Events {
		if at := clock.Instant(e.AtMs); at < r.now || at >= r.now.Add(tick) {
			continue
		}
		switch e.Kind {
		case "replicas":
			r.readyNew = e.ReadyNew
		case "newLeader":
			// A new leader receives the daemons' totals again and has detected nothing yet.
			r.regression = nil
		case "cancel":
			r.move.Stage, r.move.Reason = state.Cancelled, state.ByOperator
		}
	}
}

func (r *run) sendRequests() {
	if len(r.Requests) > 0 {
		r.sendRecorded()
		return
	}
	mean := r.Traffic.RatePerSecond * float64(tick) / 1000
	n := poisson(r.random, mean)
	for i := range n {
		r.send(r.draw(), r.now.Add(tick*clock.Duration(i)/clock.Duration(n)))
	}
}

func (r *run) sendRecorded() {
	for len(r.Requests) > 0 && clock.Instant(r.Requests[0].AtMs) < r.now.Add(tick) {
		r.send(r.Requests[0], clock.Instant(r.Requests[0].AtMs))
		r.Requests = r.Requests[1:]
	}
}

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for p := random.Float64(); p > math.Exp(-mean); p *= random.Float64() {
		n++
	}
	return n
}

// draw returns a random request with its outcome on either version.
func (r *run) draw() Request {
	q := Request{
		Daemon: r.random.IntN(r.Daemons), Draw: r.random.Uint64(),
		Route: pick(r.random, r.Traffic.Routes).Name, Account: pick(r.random, r.Traffic.Accounts).Name,
	}
	i := slices.IndexFunc(r.Traffic.Routes, func(s Source) bool { return s.Name == q.Route })
	q.Old = r.drawAnswer(&q, r.Traffic.Routes[i], "old")
	q.New = r.drawAnswer(&q, r.Traffic.Routes[i], "new")
	return q
}

func pick(random *rand.Rand, list []Source) Source {
	u := random.Float64()
	for _, s := range list {
		if u -= s.Part; u < 0 {
			return s
		}
	}
	return list[len(list)-1]
}

// defaultSpread is the spread of the times to the first token of a route that names none.
const defaultSpread = 0.35

// drawAnswer returns a random outcome: log-normal latencies, the error rate of the deployment, and
// the faults of the version.
func (r *run) drawAnswer(q *Request, s Source, version string) Answer {
	a := Answer{
		FirstTokenMs: s.FirstTokenMs * math.Exp(cmp.Or(s.Spread, defaultSpread)*r.random.NormFloat64()),
		GapMs:        s.GapMs * math.Exp(0.08*r.random.NormFloat64()),
		Tokens:       max(int(float64(s.Tokens)*math.Exp(0.3*r.random.NormFloat64())), 1),
		Failed:       100*r.random.Float64() < cmp.Or(s.ErrorPercent, r.Traffic.ErrorPercent),
	}
	for _, f := range r.Faults {
		if r.applies(f, q, version) {
			a.apply(f, r.random)
		}
	}
	return a
}

func (a *Answer) apply(f Fault, random *rand.Rand) {
	switch {
	case f.Slow > 0 && f.SlowPercent > 0 && 100*random.Float64() >= f.SlowPercent:
		a.unaffected = true
	case f.Slow > 0:
		a.FirstTokenMs *= f.Slow
		a.GapMs *= f.Slow
	}
	if f.ShortPercent > 0 {
		a.Tokens = max(a.Tokens*f.ShortPercent/100, 1)
	}
	if 100*random.Float64() < f.ErrorPercent {
		a.Failed = true
	}
}

// underLoadFraction is the load, as a fraction of that of an old replica, from which a fault with
// UnderLoad applies.
const underLoadFraction = 0.7

func (r *run) applies(f Fault, q *Request, version string) bool {
	return f.Version == version && r.now >= clock.Instant(f.AfterMs) && (f.ForMs == 0 || r.now < clock.Instant(f.AfterMs+f.ForMs)) &&
		(f.Route == "" || f.Route == q.Route) && (f.Account == "" || f.Account == q.Account) &&
		(!f.UnderLoad || r.loadOfNew() >= underLoadFraction)
}

// loadOfNew returns the load of a replica of the new version as a fraction of that of an old one.
func (r *run) loadOfNew() float64 {
	shareNow := r.announced.Share
	if r.announced.Stage == state.Trial {
		shareNow = moves.Burst(r.now, &r.announced, r.ReadyOld, r.readyNew)
	}
	used := moves.ReplicasForShare(shareNow, r.ReadyOld, r.readyNew)
	if used == 0 || shareNow == 0 {
		return 0
	}
	share := float64(shareNow) / state.FullShare
	return share / float64(used) * float64(r.ReadyOld)
}

// send sends a request to a version and schedules the observation of its outcome.
func (r *run) send(q Request, at clock.Instant) {
	d := r.daemons[q.Daemon]
	version := d.pacer.Pick(&r.announced, moves.Query{
		Now: at, Settled: "old", Route: q.Route, ReadyOld: r.ReadyOld, ReadyNew: r.readyNew, Draw: q.Draw, Stopped: d.stopped || r.readyNew == 0, Bound: r.bound,
	})
	answer := q.Old
	if version == "new" {
		answer = q.New
	}
	o := moves.Observation{
		Service: r.Service, Version: version, Route: q.Route, Account: q.Account,
		Failed: answer.Failed, FirstToken: answer.FirstTokenMs, TokenGap: answer.GapMs, Tokens: answer.Tokens,
	}
	duration := clock.Duration(answer.FirstTokenMs)
	if !answer.Failed {
		duration += clock.Duration(answer.GapMs * float64(answer.Tokens))
	}
	end := outcome{observation: o, daemon: q.Daemon, faulty: r.faulty(&q, version) && !answer.unaffected}
	if r.short && !answer.Failed {
		first := end
		first.observation.TokenGap, first.observation.Tokens = 0, 0
		r.schedule(clock.Duration(answer.FirstTokenMs), first)
		end.observation.FirstToken, end.observation.Counted, end.faulty = 0, true, false
	}
	r.schedule(duration, end)
	r.count(q.Route, version)
}

// schedule adds an outcome that is observed after a delay.
func (r *run) schedule(delay clock.Duration, e outcome) {
	index := int((clock.Duration(r.now) + delay) / tick)
	r.pending[index] = append(r.pending[index], e)
}

// faulty reports whether a fault of the new version applies to the request.
func (r *run) faulty(q *Request, version string) bool {
	return version == "new" && slices.ContainsFunc(r.Faults, func(f Fault) bool { return r.applies(f, q, "new") })
}

func (r *run) count(route, version string) {
	r.result.All++
	r.routeAll[route]++
	if version != "new" {
		return
	}
	r.result.NewRequests++
	r.routeNew[route]++
	if r.firstFaultyAt > 0 {
		r.result.Clearance = r.now.Sub(r.firstFaultyAt)
	}
	if r.faultyLimitAt > 0 {
		r.result.After50 = r.now.Sub(r.faultyLimitAt)
	}
}

// observeEnded observes the outcomes that are known in this tick. The leader receives them a tick
// later.
func (r *run) observeEnded() {
	for _, t := range r.delayed {
		r.global.Add(r.now, t.scope, t.tally)
	}
	r.delayed = r.delayed[:0]
	index := int(clock.Duration(r.now) / tick)
	for _, e := range r.pending[index] {
		r.observe(e)
	}
	delete(r.pending, index)
}

func (r *run) observe(e outcome) {
	d, o := r.daemons[e.daemon], e.observation
	if e.faulty && (o.Failed || r.degradesSuccesses()) {
		if r.result.FaultyResponses++; r.result.FaultyResponses == faultyLimit {
			r.faultyLimitAt = r.now
		}
	}
	if e.faulty && r.firstFaultyAt == 0 && (o.Failed || r.degradesSuccesses()) {
		r.firstFaultyAt = r.now
		for route, n := range r.routeNew {
			r.result.Exposure = max(r.result.Exposure, float64(n)/float64(max(r.routeAll[route], 1)))
		}
	}
	tally := o.Tally()
	scope := moves.Scope{Service: o.Service, Version: o.Version, Route: o.Route, Account: o.Account}
	d.evidence.Add(r.now, scope, tally)
	r.delayed = append(r.delayed, report{scope: scope, tally: tally})
	if o.Version == "new" && !d.stopped && d.evaluatedAt != r.now {
		d.evaluatedAt = r.now
		d.stopped = d.evidence.FindRegression() != nil
	}
}

// degradesSuccesses reports whether a fault of the new version affects responses that do not fail.
func (r *run) degradesSuccesses() bool {
	return slices.ContainsFunc(r.Faults, func(f Fault) bool { return f.Version == "new" && (f.Slow > 0 || f.ShortPercent > 0) })
}

func (r *run) decide() {
	if r.move.Stage.Ended() {
		return
	}
	if r.regression == nil {
		r.regression = r.global.FindRegression()
	}
	var routes []string
	for _, s := range r.Traffic.Routes {
		routes = append(routes, s.Name)
	}
	plan := moves.DefaultPlan
	if r.short {
		plan = moves.ShortPlan
	}
	oldCounts, newCounts := r.global.CountFaults()
	step, ok := moves.Decide(r.now, r.move, moves.Inputs{
		Plan:     plan,
		ReadyOld: r.ReadyOld, ReadyNew: r.readyNew, Routes: r.global.CountRoutes(routes), Old: oldCounts, New: newCounts,
		Regression: r.regression, WeakEvidence: r.global.FindWeakEvidence(), Faults: r.global.Faults(),
	})
	if !ok {
		return
	}
	if step.Share == 0 && r.result.Pause == 0 && r.firstFaultyAt > 0 {
		r.result.Pause = r.now.Sub(r.firstFaultyAt)
	}
	state.ApplyStep(r.now, r.move, step)
}
