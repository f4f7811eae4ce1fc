package replay

import (
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

// fifty is the number of faulty answers after which a version must be gone soon, whatever its share.
const fifty = 50

// tick is the pause between two reports and decisions, as on the daemons.
const tick = 500 * clock.Millisecond

// Options of a run.
type Options struct {
	// Method replaces the method that compares versions; nil means the one of the daemons.
	Method moves.Method
	// Short replays a move that is done within seconds, as entry daemons do.
	Short bool
}

// Result is what became of a case.
type Result struct {
	Case   *Case
	Stage  state.Stage
	Reason state.Reason
	// Evidence is what the operator is told.
	Evidence string
	EndedAt  clock.Duration
	InTime   bool
	// NewRequests counts the requests that the new version got, and All those of the run.
	NewRequests int
	All         int
	// Exposure is the largest part of a route's requests that went to the new version before its
	// first faulty answer.
	Exposure float64
	// Clearance is the time from the first faulty answer to the last request that was sent to the
	// new version; zero when there was no faulty answer.
	Clearance clock.Duration
	// FaultyResponses counts the faulty answers of the new version, and After50 is the time from the fiftieth of
	// them to the last request that was sent to the new version.
	FaultyResponses int
	After50         clock.Duration
	// Pause is the time from the first faulty answer to the first pause.
	Pause clock.Duration
}

// Mismatch tells how the outcome differs from the stated one; it is empty where it does not.
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

// run is one case under way.
type run struct {
	*Case
	now      clock.Instant
	random   *rand.Rand
	move     *state.Move
	seen     state.Move // as the daemons know it, a tick later
	daemons  []*daemon
	global   *moves.Evidence
	fault    *moves.Regression
	pending  map[int][]ended
	delayed  []report
	readyNew int
	result   Result
	routeAll map[string]int
	routeNew map[string]int
	firstBad clock.Instant
	bad50    clock.Instant
	short    bool
}

// daemon judges requests and brakes by itself.
type daemon struct {
	judge  moves.Classifier
	pacer  moves.Pacer
	ledger *moves.Evidence
	braked bool
}

// ended is a request that ends in a later tick.
type ended struct {
	observation moves.Observation
	daemon      int
	faulty      bool
}

type report struct {
	scope moves.Scope
	tally moves.Tally
}

// RunAll replays cases side by side and returns their results in the order of the cases.
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

// Run replays one case until its move ends or its time is over.
func Run(c *Case, o Options) Result {
	if o.Method == nil {
		o.Method = moves.DefaultTest
	}
	r := &run{
		Case: c, random: rand.New(rand.NewPCG(c.Traffic.Seed, 11)), pending: make(map[int][]ended),
		readyNew: c.ReadyNew, routeAll: make(map[string]int), routeNew: make(map[string]int),
		move: &state.Move{
			Service: c.Service, From: "old", To: "new", FinishBy: clock.Instant(c.FinishInMs), Trial: c.TrialPercent, Revision: 1,
		},
	}
	r.short = o.Short
	r.global = r.ledger(o.Method)
	for range c.Daemons {
		d := &daemon{ledger: r.ledger(o.Method)}
		if o.Short {
			d.judge = moves.ShortClassifier
		}
		r.daemons = append(r.daemons, d)
	}
	if o.Short {
		r.serveBefore()
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

// servedBefore is how long the daemons have served the old version before a short move.
const servedBefore = 20 * clock.Second

// serveBefore lets the daemons learn the times of the old version.
func (r *run) serveBefore() {
	for range int(r.Traffic.RatePerSecond * servedBefore.Std().Seconds()) {
		q := r.draw()
		r.daemons[q.Daemon].judge.Classify(moves.Observation{
			Service: r.Service, Version: "old", Route: q.Route, Failed: q.Old.Failed, FirstToken: q.Old.FirstTokenMs, TokenGap: q.Old.GapMs,
		}, true)
	}
}

func (r *run) ledger(m moves.Method) *moves.Evidence {
	l := &moves.Evidence{Service: r.Service, From: "old", To: "new", Method: m}
	if r.short {
		l.Method, l.SlowMargin = moves.ShortTest, moves.ShortMargin
	}
	return l
}

func (r *run) step() {
	r.happen()
	r.seen = *r.move
	r.arrive()
	r.end()
	r.decide()
	r.now = r.now.Add(tick)
}

func (r *run) happen() {
	for _, e := range r.Events {
		if at := clock.Instant(e.AtMs); at < r.now || at >= r.now.Add(tick) {
			continue
		}
		switch e.What {
		case "replicas":
			r.readyNew = e.ReadyNew
		case "newLeader":
			// A new leader starts from the totals that the daemons report again.
			r.fault = nil
		case "cancel":
			r.move.Stage, r.move.Reason = state.Cancelled, state.ByOperator
		}
	}
}

func (r *run) arrive() {
	if len(r.Requests) > 0 {
		r.arriveRecorded()
		return
	}
	mean := r.Traffic.RatePerSecond * float64(tick) / 1000
	for range poisson(r.random, mean) {
		r.send(r.draw())
	}
}

func (r *run) arriveRecorded() {
	for len(r.Requests) > 0 && clock.Instant(r.Requests[0].AtMs) < r.now.Add(tick) {
		r.send(r.Requests[0])
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

// draw makes a request with its outcome at either version.
func (r *run) draw() Request {
	q := Request{
		Daemon: r.random.IntN(r.Daemons), Draw: r.random.Uint64(),
		Route: pick(r.random, r.Traffic.Routes).Name, Account: pick(r.random, r.Traffic.Accounts).Name,
	}
	i := slices.IndexFunc(r.Traffic.Routes, func(s Source) bool { return s.Name == q.Route })
	q.Old = r.answer(&q, r.Traffic.Routes[i], "old")
	q.New = r.answer(&q, r.Traffic.Routes[i], "new")
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

// answer draws an outcome: log-normal latencies, the error rate of the deployment, and the
// faults of the version.
func (r *run) answer(q *Request, s Source, version string) Answer {
	a := Answer{
		FirstTokenMs: s.FirstTokenMs * math.Exp(0.35*r.random.NormFloat64()),
		GapMs:        s.GapMs * math.Exp(0.08*r.random.NormFloat64()),
		Tokens:       max(int(float64(s.Tokens)*math.Exp(0.3*r.random.NormFloat64())), 1),
		Failed:       100*r.random.Float64() < r.Traffic.ErrorPercent,
	}
	for _, f := range r.Faults {
		if r.shows(f, q, version) {
			a.apply(f, r.random)
		}
	}
	return a
}

func (a *Answer) apply(f Fault, random *rand.Rand) {
	if f.Slow > 0 {
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

// loadedPart is the load, as a part of that of an old replica, at which a fault under load shows.
const loadedPart = 0.7

func (r *run) shows(f Fault, q *Request, version string) bool {
	return f.Version == version && r.now >= clock.Instant(f.AfterMs) &&
		(f.Route == "" || f.Route == q.Route) && (f.Account == "" || f.Account == q.Account) &&
		(!f.UnderLoad || r.loadOfNew() >= loadedPart)
}

// loadOfNew returns the load of a replica of the new version against that of an old one.
func (r *run) loadOfNew() float64 {
	shareNow := r.seen.Share
	if r.seen.Stage == state.Trial {
		shareNow = moves.Burst(r.now, &r.seen, r.ReadyOld)
	}
	used := moves.ReplicasForShare(shareNow, r.ReadyOld, r.readyNew)
	if used == 0 || shareNow == 0 {
		return 0
	}
	share := float64(shareNow) / state.FullShare
	return share / float64(used) * float64(r.ReadyOld)
}

// send routes a request to a version and notes when its outcome is known.
func (r *run) send(q Request) {
	d := r.daemons[q.Daemon]
	version := d.pacer.Pick(&r.seen, moves.Query{
		Now: r.now, Settled: "old", Route: q.Route, ReadyOld: r.ReadyOld, Draw: q.Draw, Stopped: d.braked || r.readyNew == 0,
	})
	answer := q.Old
	if version == "new" {
		answer = q.New
	}
	o := moves.Observation{
		Service: r.Service, Version: version, Route: q.Route, Account: q.Account,
		Failed: answer.Failed, FirstToken: answer.FirstTokenMs, TokenGap: answer.GapMs, Tokens: answer.Tokens,
	}
	took := clock.Duration(answer.FirstTokenMs)
	if !answer.Failed {
		took += clock.Duration(answer.GapMs * float64(answer.Tokens))
	}
	end := ended{observation: o, daemon: q.Daemon, faulty: r.faulty(&q, version)}
	if r.short && !answer.Failed {
		first := end
		first.observation.TokenGap, first.observation.Tokens = 0, 0
		r.await(clock.Duration(answer.FirstTokenMs), first)
		end.observation.FirstToken, end.observation.Counted, end.faulty = 0, true, false
	}
	r.await(took, end)
	r.count(q.Route, version)
}

// await notes an outcome that is known after a time.
func (r *run) await(after clock.Duration, e ended) {
	when := int((clock.Duration(r.now) + after) / tick)
	r.pending[when] = append(r.pending[when], e)
}

// faulty tells whether a fault of the case applies to the request.
func (r *run) faulty(q *Request, version string) bool {
	return version == "new" && slices.ContainsFunc(r.Faults, func(f Fault) bool { return r.shows(f, q, "new") })
}

func (r *run) count(route, version string) {
	r.result.All++
	r.routeAll[route]++
	if version != "new" {
		return
	}
	r.result.NewRequests++
	r.routeNew[route]++
	if r.firstBad > 0 {
		r.result.Clearance = r.now.Sub(r.firstBad)
	}
	if r.bad50 > 0 {
		r.result.After50 = r.now.Sub(r.bad50)
	}
}

// end takes the outcomes that are known in this tick. The leader hears them a tick later.
func (r *run) end() {
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

func (r *run) observe(e ended) {
	d, o := r.daemons[e.daemon], e.observation
	if e.faulty && (o.Failed || r.showsUnfailed()) {
		if r.result.FaultyResponses++; r.result.FaultyResponses == fifty {
			r.bad50 = r.now
		}
	}
	if e.faulty && r.firstBad == 0 && (o.Failed || r.showsUnfailed()) {
		r.firstBad = r.now
		for route, n := range r.routeNew {
			r.result.Exposure = max(r.result.Exposure, float64(n)/float64(max(r.routeAll[route], 1)))
		}
	}
	tally := d.judge.Classify(o, o.Version == "old")
	scope := moves.Scope{Service: o.Service, Version: o.Version, Route: o.Route, Account: o.Account}
	d.ledger.Add(r.now, scope, tally)
	r.delayed = append(r.delayed, report{scope: scope, tally: tally})
	if o.Version == "new" && !d.braked && tally != (moves.Tally{Requests: 1}) {
		d.braked = d.ledger.Find() != nil
	}
}

// showsUnfailed reports whether the case has a fault that shows on answers which do not fail.
func (r *run) showsUnfailed() bool {
	return slices.ContainsFunc(r.Faults, func(f Fault) bool { return f.Version == "new" && (f.Slow > 0 || f.ShortPercent > 0) })
}

func (r *run) decide() {
	if r.move.Stage.Ended() {
		return
	}
	if r.fault == nil {
		r.fault = r.global.Find()
	}
	var routes []string
	for _, s := range r.Traffic.Routes {
		routes = append(routes, s.Name)
	}
	plan := moves.DefaultPlan
	if r.short {
		plan = moves.ShortPlan
	}
	step, ok := moves.Decide(r.now, r.move, moves.Inputs{
		Plan:     plan,
		ReadyOld: r.ReadyOld, ReadyNew: r.readyNew, Routes: r.global.CountRoutes(routes), Regression: r.fault,
		WeakEvidence: r.global.FindWeak(), Faults: r.global.Faults(),
	})
	if !ok {
		return
	}
	if step.Share == 0 && r.result.Pause == 0 && r.firstBad > 0 {
		r.result.Pause = r.now.Sub(r.firstBad)
	}
	state.ApplyStep(r.now, r.move, step)
}
