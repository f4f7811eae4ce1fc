// Package gauge measures the decisions of the data path on a virtual clock: the same recorded
// arrivals and reclaims run under each routing policy before a small model engine, and the
// report gives the measures of the brief.
//
//	report := gauge.Run(gauge.Minik, "score", 1)
//	fmt.Println(report.FirstTokenP95, report.RecomputedPerMille)
//
// Daemons decide apart: each has its own pool, hears load reports late, and sees only what it
// sent itself. With the score policy a reclaim is handled by package drain; under the baselines
// streams run until their engine is gone and are computed anew elsewhere.
package gauge

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"swiftbeam/internal/drain"
	"swiftbeam/internal/route"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// Scenario is a deployment under load.
type Scenario struct {
	Name     string
	Replicas int
	Daemons  int
	Zones    int
	// Rate is the number of requests a second.
	Rate float64
	// Seconds is the length of the run; the availability zone is taken back after half of it.
	Seconds float64
	// Notice is the time between the notice and the reclaim, in milliseconds.
	Notice float64
	// OneWay is the delay between availability zones in milliseconds.
	OneWay float64
	// FirstToken and Gap are the latency targets in milliseconds.
	FirstToken float64
	Gap        float64
	// Price is the price of a replica hour in thousandths of the currency unit.
	Price float64
}

// Scenarios with the sizes of the brief.
var (
	Barros = Scenario{
		Name: "barros", Replicas: 10, Daemons: 8, Zones: 4, Rate: 11, Seconds: 120, Notice: 3000,
		OneWay: 1.5, FirstToken: 450, Gap: 37, Price: 560,
	}
	Minik = Scenario{
		Name: "minik", Replicas: 20, Daemons: 8, Zones: 4, Rate: 26, Seconds: 120, Notice: 3000,
		OneWay: 1, FirstToken: 450, Gap: 37, Price: 470,
	}
)

// Policies are the names of the policies that can be measured.
var Policies = []string{"roundRobin", "leastOutstanding", "twoChoices", "score"}

// Report holds the measures of one run.
type Report struct {
	Scenario           string
	Policy             string
	Seed               uint64
	Replicas           int
	Requests           int
	FirstTokenP50      float64
	FirstTokenP95      float64
	GapP95             float64
	WithinTarget       float64
	RecomputedPerMille float64
	PrefixHitRate      float64
	ReplicaHours       float64
	Cost               float64
}

// String formats the report on one line.
func (r Report) String() string {
	return fmt.Sprintf("%-7s %-16s seed %-3d first token p50 %4.0f p95 %5.0f ms, gap p95 %4.1f ms, within target %5.1f%%, recomputed %6.2f/1000, prefix hits %4.1f%%, cost %.0f",
		r.Scenario, r.Policy, r.Seed, r.FirstTokenP50, r.FirstTokenP95, r.GapP95, 100*r.WithinTarget, r.RecomputedPerMille, 100*r.PrefixHitRate, r.Cost)
}

// kind of a timed event.
type kind uint8

const (
	arrival kind = iota
	prefilled
	chunk
	reports
	notice
	reclaim
)

type timed struct {
	at    float64
	order int
	kind  kind
	job   *job
	epoch int
}

type agenda []timed

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push adds an event; package heap calls it.
func (a *agenda) Push(v any) { *a = append(*a, v.(timed)) }

// Pop removes the last event; package heap calls it.
func (a *agenda) Pop() any {
	old := *a
	v := old[len(old)-1]
	*a = old[:len(old)-1]
	return v
}

// field is one run.
type field struct {
	Scenario
	policy  route.Policy
	drains  bool
	random  *rand.Rand
	now     float64
	agenda  agenda
	order   int
	engines []*engine
	pools   []*route.Pool
	jobs    []*job
	sums    sums
}

type sums struct {
	blocks, hits, recomputed, streamed int
}

// reportLag is the age of a load report in milliseconds, and reportEvery the pause between two.
const (
	reportEvery = 500
	reportLag   = 250
)

func policyOf(name string) route.Policy {
	switch name {
	case "roundRobin":
		return route.RoundRobin{}
	case "leastOutstanding":
		return route.LeastOutstanding{}
	case "twoChoices":
		return route.TwoChoices{}
	}
	return route.Score{}
}

// Run measures one policy.
func Run(s Scenario, policy string, seed uint64) Report {
	f := &field{Scenario: s, policy: policyOf(policy), drains: policy == "score", random: rand.New(rand.NewPCG(seed, 7))}
	for i := range s.Replicas {
		f.engines = append(f.engines, newEngine(i, i%s.Zones))
	}
	for range s.Daemons {
		p := &route.Pool{Costs: costs(s), Daemons: s.Daemons}
		f.pools = append(f.pools, p)
	}
	f.arrivals()
	f.at(0, timed{kind: reports})
	f.at(1000*s.Seconds/2, timed{kind: notice})
	f.at(1000*s.Seconds/2+s.Notice, timed{kind: reclaim})
	for f.agenda.Len() > 0 {
		e := heap.Pop(&f.agenda).(timed)
		f.now = e.at
		f.handle(e)
	}
	return f.report(policy, seed)
}

func costs(s Scenario) route.Costs {
	return route.Costs{PrefixBlock: prefillBlock, Step: gapEach * 4, Service: 120 * gapBase, OtherZone: 2 * s.OneWay, Reclaim: 400}
}

func (f *field) at(when float64, e timed) {
	f.order++
	e.at, e.order = when, f.order
	heap.Push(&f.agenda, e)
}

// Shape of the load.
const (
	// groups is the number of prompt families that share a prefix.
	groups = 120
	// urgentPart of the requests are short.
	urgentPart = 0.7
)

// arrivals draws the trace: prompts of families of uneven size, short and long answers.
func (f *field) arrivals() {
	zipf := rand.NewZipf(f.random, 1.1, 4, groups-1)
	for at := 0.0; at < 1000*f.Seconds; {
		at += f.random.ExpFloat64() * 1000 / f.Rate
		group := zipf.Uint64()
		j := &job{id: len(f.jobs), at: at, daemon: f.random.IntN(f.Daemons), urgent: f.random.Float64() < urgentPart}
		shared := 6 + int(group%18)
		for b := range shared + 2 {
			h := group<<32 | uint64(b)
			if b >= shared {
				h = uint64(j.id)<<32 | uint64(b) | 1<<63
			}
			j.prefixes = append(j.prefixes, h)
		}
		j.tokens = 40 + f.random.IntN(60)
		if !j.urgent {
			j.tokens = 200 + f.random.IntN(500)
		}
		f.jobs = append(f.jobs, j)
		f.at(at, timed{kind: arrival, job: j})
	}
}

func (f *field) handle(e timed) {
	switch e.kind {
	case arrival:
		f.dispatch(e.job, "")
	case prefilled:
		f.decode(e)
	case chunk:
		f.generate(e)
	case reports:
		f.publish()
	case notice:
		f.notify()
	case reclaim:
		f.takeBack()
	}
}

// publish tells all daemons the load of each engine.
func (f *field) publish() {
	for _, e := range f.engines {
		if e.dead || e.leaving {
			continue
		}
		b := f.backend(e)
		for _, p := range f.pools {
			p.Put(&b)
		}
	}
	if f.now < 1000*f.Seconds {
		f.at(f.now+reportEvery, timed{kind: reports})
	}
}

func (f *field) backend(e *engine) fleet.Backend {
	return fleet.Backend{
		Service: "s", Version: "v", Address: fmt.Sprintf("10.0.%03d.1:1", e.backend), Zone: fmt.Sprint(e.zone),
		Incarnation: 1, Slots: slots, Running: e.running, Waiting: len(e.waiting),
		HeardAt: clock.Instant(f.now - reportLag),
	}
}

// dispatch sends a job to an engine by the policy of its daemon.
func (f *field) dispatch(j *job, avoid string) {
	p := f.pools[j.daemon]
	c := p.Choose(f.policy, &route.Query{
		Now: clock.Instant(f.now), Zone: fmt.Sprint(j.daemon % f.Zones), Prefixes: j.prefixes,
		Draw: f.random.Uint64(), Avoid: avoid,
	})
	if c.Server == nil {
		f.at(f.now+100, timed{kind: arrival, job: j})
		return
	}
	p.Started(c.Server, j.prefixes)
	j.server, j.engine = c.Server, f.engineAt(c.Server.Key.Address)
	j.epoch++
	if j.started == 0 {
		j.started = j.at
	}
	e := j.engine
	if e.dead {
		f.fail(j)
		return
	}
	e.active[j] = true
	if e.running >= slots {
		e.waiting = append(e.waiting, j)
		return
	}
	f.begin(j)
}

func (f *field) engineAt(address string) *engine {
	var n int
	_, _ = fmt.Sscanf(address, "10.0.%03d.1:1", &n)
	return f.engines[n]
}

// begin prefills a job that got a slot.
func (f *field) begin(j *job) {
	e := j.engine
	e.running++
	hits := e.touch(j.prefixes)
	missing := float64(len(j.prefixes) - hits)
	if j.restored {
		missing = 0
	} else if j.done > 0 {
		missing += float64(j.done) / tokensPerBlock
		j.recompute += j.done + (len(j.prefixes)-hits)*tokensPerBlock
	}
	if j.moves == 0 {
		f.sums.blocks += len(j.prefixes)
		f.sums.hits += hits
	}
	j.restored = false
	free := max(f.now, e.prefillFree) + missing*prefillBlock
	e.prefillFree = free
	f.at(free+e.gap(), timed{kind: prefilled, job: j, epoch: j.epoch})
}

func (f *field) decode(e timed) {
	j := e.job
	if e.epoch != j.epoch {
		return
	}
	if j.first == 0 {
		j.first = f.now
	}
	f.count(j, 1)
	f.next(j)
}

func (f *field) count(j *job, tokens int) {
	if j.last > 0 {
		j.gapSum += f.now - j.last
		j.gaps += tokens
	}
	j.last = f.now
	j.done += tokens
	f.sums.streamed += tokens
}

func (f *field) next(j *job) {
	left := min(j.tokens-j.done, chunkTokens)
	if left <= 0 {
		f.finish(j)
		return
	}
	f.at(f.now+float64(left)*j.engine.gap(), timed{kind: chunk, job: j, epoch: j.epoch})
}

func (f *field) generate(e timed) {
	if e.epoch != e.job.epoch {
		return
	}
	f.count(e.job, min(e.job.tokens-e.job.done, chunkTokens))
	f.next(e.job)
}

func (f *field) finish(j *job) {
	f.release(j, false)
	f.sums.recomputed += j.recompute
}

// release frees the slot of a job and starts the next waiting one.
func (f *field) release(j *job, failed bool) {
	e := j.engine
	f.pools[j.daemon].Finished(clock.Instant(f.now), j.server, route.Outcome{Failed: failed})
	delete(e.active, j)
	if i := slices.Index(e.waiting, j); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return
	}
	e.running--
	if len(e.waiting) > 0 && !e.dead {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		f.begin(next)
	}
}

func (f *field) fail(j *job) {
	f.pools[j.daemon].Finished(clock.Instant(f.now), j.server, route.Outcome{Failed: true})
	f.dispatch(j, j.server.Key.Address)
}

// notify announces that the first availability zone is taken back.
func (f *field) notify() {
	deadline := clock.Instant(f.now + f.Notice)
	for _, e := range f.engines {
		if e.zone != 0 {
			continue
		}
		e.leaving = true
		b := f.backend(e)
		for _, p := range f.pools {
			key := p.Servers[0].Key
			key.Address = b.Address
			p.Remove(key)
			if f.drains {
				p.MarkReclaiming(clock.Instant(f.now), b.Zone)
			}
		}
		if f.drains {
			f.drain(e, deadline)
		}
	}
}

// exportRate is the number of tokens whose KV cache is exported in a millisecond.
const exportRate = 50

func (f *field) drain(e *engine, deadline clock.Instant) {
	jobs := ordered(e)
	streams := make([]drain.Stream, len(jobs))
	for i, j := range jobs {
		priority := fleet.Bulk
		if j.urgent {
			priority = fleet.Urgent
		}
		streams[i] = drain.Stream{
			ID: fmt.Sprint(j.id), Priority: priority, Held: j.done + len(j.prefixes)*tokensPerBlock,
			Remaining: j.tokens - j.done, Gap: e.gap(),
		}
	}
	notice := drain.Notice{Now: clock.Instant(f.now), Deadline: deadline, Export: true, ExportRate: exportRate}
	for _, a := range drain.Plan(notice, streams) {
		if a.Method == drain.Finish {
			continue
		}
		for _, j := range jobs {
			if fmt.Sprint(j.id) == a.ID {
				f.move(j, a.Method == drain.Export && j.done > 0)
			}
		}
	}
}

// ordered returns the jobs of an engine by ID.
func ordered(e *engine) []*job {
	var jobs []*job
	for j := range e.active {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return a.id - b.id })
	return jobs
}

func (f *field) move(j *job, exported bool) {
	f.release(j, false)
	j.moves++
	j.restored = exported
	f.dispatch(j, j.server.Key.Address)
}

// takeBack ends the engines of the first availability zone.
func (f *field) takeBack() {
	for _, e := range f.engines {
		if e.zone != 0 {
			continue
		}
		e.dead = true
		for _, j := range ordered(e) {
			f.move(j, false)
		}
	}
}

func (f *field) report(policy string, seed uint64) Report {
	var first, gaps []float64
	within := 0
	for _, j := range f.jobs {
		ttft := j.first - j.at
		first = append(first, ttft)
		gap := 0.0
		if j.gaps > 0 {
			gap = j.gapSum / float64(j.gaps)
			gaps = append(gaps, gap)
		}
		if ttft <= f.FirstToken && gap <= f.Gap {
			within++
		}
	}
	hours := float64(f.Replicas) * f.Seconds / 3600
	return Report{
		Scenario: f.Name, Policy: policy, Seed: seed, Replicas: f.Replicas, Requests: len(f.jobs),
		FirstTokenP50: quantile(first, 0.5), FirstTokenP95: quantile(first, 0.95), GapP95: quantile(gaps, 0.95),
		WithinTarget:       float64(within) / float64(len(f.jobs)),
		RecomputedPerMille: 1000 * float64(f.sums.recomputed) / float64(f.sums.streamed),
		PrefixHitRate:      float64(f.sums.hits) / float64(f.sums.blocks),
		ReplicaHours:       hours, Cost: hours * f.Price,
	}
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// CheapestReplicas returns the least number of replicas with which 95 in 100 requests meet the
// latency target, or limit when none does.
func CheapestReplicas(s Scenario, policy string, seed uint64, limit int) int {
	for n := s.Zones + 1; n < limit; n++ {
		s.Replicas = n
		if Run(s, policy, seed).WithinTarget >= targetPart {
			return n
		}
	}
	return limit
}

// targetPart is the part of the requests that must meet the latency target.
const targetPart = 0.95
