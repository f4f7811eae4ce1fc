// Package gauge measures routing and drain decisions in a simulation on a virtual clock: the same
// arrivals and reclaims run under each routing policy against a small model of an engine. The report
// contains latencies, prefix hits, recomputed tokens and cost.
//
//	report := gauge.Run(gauge.Minik, "score", 1)
//	fmt.Println(report.FirstTokenP95, report.RecomputedPerMille)
//
// Daemons choose independently: each has its own pool, receives delayed load reports, and sees only
// the requests that it sent itself. With the score policy a reclaim is handled by package drain; with
// the baseline policies streams run until their engine is terminated and are recomputed elsewhere.
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

// Scenario is a simulated deployment and its load.
type Scenario struct {
	Name     string
	Replicas int
	Daemons  int
	Zones    int
	// Rate is the number of requests per second.
	Rate float64
	// Seconds is the length of the run. The notice of the reclaim comes after half of it.
	Seconds float64
	// Notice is the time from the notice to the reclaim in milliseconds.
	Notice float64
	// OneWay is the one-way network latency between availability zones in milliseconds.
	OneWay float64
	// FirstToken and Gap are the latency targets in milliseconds.
	FirstToken float64
	Gap        float64
	// Price is the price of a replica for an hour in thousandths of the currency unit.
	Price float64
}

// Barros and Minik have the sizes of the deployments in the specification.
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

// Policies are the names of the policies that Run measures: three baselines, then score.
var Policies = []string{"roundRobin", "leastOutstanding", "twoChoices", "score"}

// Report contains the measurements of one run. Latencies are in milliseconds.
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

// kind is the kind of an event.
type kind uint8

const (
	arrival kind = iota
	prefilled
	chunk
	reports
	notice
	reclaim
)

type event struct {
	at    float64
	order int
	kind  kind
	job   *job
	epoch int
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event; package heap calls it.
func (q *eventQueue) Push(v any) { *q = append(*q, v.(event)) }

// Pop removes the last event; package heap calls it.
func (q *eventQueue) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}

// simulation is the state of one run.
type simulation struct {
	Scenario
	policy        route.Policy
	drainOnNotice bool
	random        *rand.Rand
	now           float64
	events        eventQueue
	order         int
	engines       []*engine
	pools         []*route.Pool
	jobs          []*job
	sums          sums
}

type sums struct {
	blocks, hits, recomputed, streamed int
}

// reportEvery is the interval between load reports in milliseconds, and reportLag their age.
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

// Run simulates a scenario under one policy and returns the measurements.
func Run(s Scenario, policy string, seed uint64) Report {
	sim := &simulation{Scenario: s, policy: policyOf(policy), drainOnNotice: policy == "score", random: rand.New(rand.NewPCG(seed, 7))}
	for i := range s.Replicas {
		sim.engines = append(sim.engines, newEngine(i, i%s.Zones))
	}
	for range s.Daemons {
		p := &route.Pool{Costs: routeCosts(s), Daemons: s.Daemons}
		sim.pools = append(sim.pools, p)
	}
	sim.drawTrace()
	sim.schedule(0, event{kind: reports})
	sim.schedule(1000*s.Seconds/2, event{kind: notice})
	sim.schedule(1000*s.Seconds/2+s.Notice, event{kind: reclaim})
	for sim.events.Len() > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		sim.handle(e)
	}
	return sim.report(policy, seed)
}

func routeCosts(s Scenario) route.Costs {
	return route.Costs{PrefixBlock: prefillBlock, Step: gapEach * 4, Service: 120 * gapBase, OtherZone: 2 * s.OneWay, Reclaim: 400}
}

func (sim *simulation) schedule(when float64, e event) {
	sim.order++
	e.at, e.order = when, sim.order
	heap.Push(&sim.events, e)
}

// Parameters of the generated load.
const (
	// promptGroups is the number of prompt families that share a prefix.
	promptGroups = 120
	// urgentFraction is the fraction of urgent requests; their responses are short.
	urgentFraction = 0.7
)

// drawTrace generates the arrivals: prompts of families of different popularity and length, with short
// and long responses.
func (sim *simulation) drawTrace() {
	zipf := rand.NewZipf(sim.random, 1.1, 4, promptGroups-1)
	for at := 0.0; at < 1000*sim.Seconds; {
		at += sim.random.ExpFloat64() * 1000 / sim.Rate
		group := zipf.Uint64()
		j := &job{id: len(sim.jobs), at: at, daemon: sim.random.IntN(sim.Daemons), urgent: sim.random.Float64() < urgentFraction}
		shared := 6 + int(group%18)
		for b := range shared + 2 {
			h := group<<32 | uint64(b)
			if b >= shared {
				h = uint64(j.id)<<32 | uint64(b) | 1<<63
			}
			j.prefixes = append(j.prefixes, h)
		}
		j.tokens = 40 + sim.random.IntN(60)
		if !j.urgent {
			j.tokens = 200 + sim.random.IntN(500)
		}
		sim.jobs = append(sim.jobs, j)
		sim.schedule(at, event{kind: arrival, job: j})
	}
}

func (sim *simulation) handle(e event) {
	switch e.kind {
	case arrival:
		sim.dispatch(e.job, "")
	case prefilled:
		sim.decode(e)
	case chunk:
		sim.generate(e)
	case reports:
		sim.reportLoads()
	case notice:
		sim.sendNotice()
	case reclaim:
		sim.reclaimZone()
	}
}

// reportLoads sends the load of each engine to all daemons.
func (sim *simulation) reportLoads() {
	for _, e := range sim.engines {
		if e.terminated || e.draining {
			continue
		}
		b := sim.backend(e)
		for _, p := range sim.pools {
			p.Put(&b)
		}
	}
	if sim.now < 1000*sim.Seconds {
		sim.schedule(sim.now+reportEvery, event{kind: reports})
	}
}

func (sim *simulation) backend(e *engine) fleet.Backend {
	return fleet.Backend{
		Service: "s", Version: "v", Address: fmt.Sprintf("10.0.%03d.1:1", e.backend), Zone: fmt.Sprint(e.zone),
		Incarnation: 1, Slots: slots, Running: e.running, Waiting: len(e.waiting),
		HeardAt: clock.Instant(sim.now - reportLag),
	}
}

// dispatch sends a job to an engine by the policy of its daemon.
func (sim *simulation) dispatch(j *job, avoid string) {
	p := sim.pools[j.daemon]
	c := p.Choose(sim.policy, &route.Query{
		Now: clock.Instant(sim.now), Zone: fmt.Sprint(j.daemon % sim.Zones), Prefixes: j.prefixes,
		Draw: sim.random.Uint64(), Avoid: avoid,
	})
	if c.Server == nil {
		sim.schedule(sim.now+100, event{kind: arrival, job: j})
		return
	}
	p.Started(c.Server, j.prefixes)
	j.server, j.engine = c.Server, sim.engineAt(c.Server.Key.Address)
	j.epoch++
	if j.started == 0 {
		j.started = j.at
	}
	e := j.engine
	if e.terminated {
		sim.fail(j)
		return
	}
	e.active[j] = true
	if e.running >= slots {
		e.waiting = append(e.waiting, j)
		return
	}
	sim.begin(j)
}

func (sim *simulation) engineAt(address string) *engine {
	var n int
	_, _ = fmt.Sscanf(address, "10.0.%03d.1:1", &n)
	return sim.engines[n]
}

// begin starts the prefill of a job that got a slot.
func (sim *simulation) begin(j *job) {
	e := j.engine
	e.running++
	hits := e.lookUp(j.prefixes)
	missing := float64(len(j.prefixes) - hits)
	if j.restored {
		missing = 0
	} else if j.done > 0 {
		missing += float64(j.done) / tokensPerBlock
		j.recompute += j.done + (len(j.prefixes)-hits)*tokensPerBlock
	}
	if j.moves == 0 {
		sim.sums.blocks += len(j.prefixes)
		sim.sums.hits += hits
	}
	j.restored = false
	free := max(sim.now, e.prefillFree) + missing*prefillBlock
	e.prefillFree = free
	sim.schedule(free+e.gap(), event{kind: prefilled, job: j, epoch: j.epoch})
}

func (sim *simulation) decode(e event) {
	j := e.job
	if e.epoch != j.epoch {
		return
	}
	if j.first == 0 {
		j.first = sim.now
	}
	sim.countTokens(j, 1)
	sim.scheduleNext(j)
}

func (sim *simulation) countTokens(j *job, tokens int) {
	if j.last > 0 {
		j.gapSum += sim.now - j.last
		j.gaps += tokens
	}
	j.last = sim.now
	j.done += tokens
	sim.sums.streamed += tokens
}

func (sim *simulation) scheduleNext(j *job) {
	remaining := min(j.tokens-j.done, chunkTokens)
	if remaining <= 0 {
		sim.finish(j)
		return
	}
	sim.schedule(sim.now+float64(remaining)*j.engine.gap(), event{kind: chunk, job: j, epoch: j.epoch})
}

func (sim *simulation) generate(e event) {
	if e.epoch != e.job.epoch {
		return
	}
	sim.countTokens(e.job, min(e.job.tokens-e.job.done, chunkTokens))
	sim.scheduleNext(e.job)
}

func (sim *simulation) finish(j *job) {
	sim.release(j, false)
	sim.sums.recomputed += j.recompute
}

// release frees the slot or queue position of a job and starts the next waiting job.
func (sim *simulation) release(j *job, failed bool) {
	e := j.engine
	sim.pools[j.daemon].Finished(clock.Instant(sim.now), j.server, route.Outcome{Failed: failed})
	delete(e.active, j)
	if i := slices.Index(e.waiting, j); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return
	}
	e.running--
	if len(e.waiting) > 0 && !e.terminated {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		sim.begin(next)
	}
}

func (sim *simulation) fail(j *job) {
	sim.pools[j.daemon].Finished(clock.Instant(sim.now), j.server, route.Outcome{Failed: true})
	sim.dispatch(j, j.server.Key.Address)
}

// sendNotice announces the reclaim of the first availability zone.
func (sim *simulation) sendNotice() {
	deadline := clock.Instant(sim.now + sim.Notice)
	for _, e := range sim.engines {
		if e.zone != 0 {
			continue
		}
		e.draining = true
		b := sim.backend(e)
		for _, p := range sim.pools {
			key := p.Servers[0].Key
			key.Address = b.Address
			p.Remove(key)
			if sim.drainOnNotice {
				p.MarkReclaiming(clock.Instant(sim.now), b.Zone)
			}
		}
		if sim.drainOnNotice {
			sim.drain(e, deadline)
		}
	}
}

// exportRate is the number of tokens whose KV cache is exported per millisecond.
const exportRate = 50

func (sim *simulation) drain(e *engine, deadline clock.Instant) {
	jobs := jobsByID(e)
	streams := make([]drain.Stream, len(jobs))
	for i, j := range jobs {
		priority := fleet.Bulk
		if j.urgent {
			priority = fleet.Urgent
		}
		streams[i] = drain.Stream{
			ID: fmt.Sprint(j.id), Priority: priority, CachedTokens: j.done + len(j.prefixes)*tokensPerBlock,
			Remaining: j.tokens - j.done, TokenGap: e.gap(),
		}
	}
	notice := drain.Notice{Now: clock.Instant(sim.now), Deadline: deadline, Export: true, ExportRate: exportRate}
	for _, a := range drain.Plan(notice, streams) {
		if a.Method == drain.Finish {
			continue
		}
		for _, j := range jobs {
			if fmt.Sprint(j.id) == a.ID {
				sim.moveJob(j, a.Method == drain.Export && j.done > 0)
			}
		}
	}
}

// jobsByID returns the jobs of an engine, sorted by ID.
func jobsByID(e *engine) []*job {
	var jobs []*job
	for j := range e.active {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return a.id - b.id })
	return jobs
}

func (sim *simulation) moveJob(j *job, exported bool) {
	sim.release(j, false)
	j.moves++
	j.restored = exported
	sim.dispatch(j, j.server.Key.Address)
}

// reclaimZone terminates the engines of the first availability zone.
func (sim *simulation) reclaimZone() {
	for _, e := range sim.engines {
		if e.zone != 0 {
			continue
		}
		e.terminated = true
		for _, j := range jobsByID(e) {
			sim.moveJob(j, false)
		}
	}
}

func (sim *simulation) report(policy string, seed uint64) Report {
	var first, gaps []float64
	within := 0
	for _, j := range sim.jobs {
		firstToken := j.first - j.at
		first = append(first, firstToken)
		gap := 0.0
		if j.gaps > 0 {
			gap = j.gapSum / float64(j.gaps)
			gaps = append(gaps, gap)
		}
		if firstToken <= sim.FirstToken && gap <= sim.Gap {
			within++
		}
	}
	hours := float64(sim.Replicas) * sim.Seconds / 3600
	return Report{
		Scenario: sim.Name, Policy: policy, Seed: seed, Replicas: sim.Replicas, Requests: len(sim.jobs),
		FirstTokenP50: quantile(first, 0.5), FirstTokenP95: quantile(first, 0.95), GapP95: quantile(gaps, 0.95),
		WithinTarget:       float64(within) / float64(len(sim.jobs)),
		RecomputedPerMille: 1000 * float64(sim.sums.recomputed) / float64(sim.sums.streamed),
		PrefixHitRate:      float64(sim.sums.hits) / float64(sim.sums.blocks),
		ReplicaHours:       hours, Cost: hours * sim.Price,
	}
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// CheapestReplicas returns the smallest number of replicas with which 95% of the requests meet the
// latency targets, or limit if there is none below it.
func CheapestReplicas(s Scenario, policy string, seed uint64, limit int) int {
	for n := s.Zones + 1; n < limit; n++ {
		s.Replicas = n
		if Run(s, policy, seed).WithinTarget >= targetFraction {
			return n
		}
	}
	return limit
}

// targetFraction is the fraction of the requests that must meet the latency targets.
const targetFraction = 0.95
