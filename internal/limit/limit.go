// Package limit decides on the admission of requests. A Gate limits the requests that run
// concurrently, orders waiting ones by priority and by the share of their client account, and refuses
// early those that cannot meet their deadline:
//
//	result := gate.Arrive(now, limit.Request{Ticket: 1, Account: "amati", Priority: fleet.Urgent})
//	started := gate.Finish(now, "amati", took)
//
// Of two waiting requests of the same priority, the one whose account uses less of its share starts
// first; an unused share is available to the other accounts. Load at other daemons counts as far as
// they reported it, so that shares apply across all daemons without a message per request.
//
// Invariants that the tests check: at most Capacity requests run; no request waits while there is
// room; a refused request never runs; requests of the same priority start in the order of their
// accounts' use of the share.
package limit

import (
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

//go:generate ../../.tools/stringer -type=Verdict -output=verdict_string.go

// Verdict is the admission result for a request.
type Verdict uint8

// Admission results. QueueFull and TooLate refuse the request.
const (
	Admitted Verdict = iota
	Queued
	QueueFull
	TooLate
)

// Request is a request for admission.
type Request struct {
	// Ticket identifies the request.
	Ticket   uint64
	Account  string
	Priority fleet.Priority
	// Deadline is the instant by which the request must start; zero means none.
	Deadline clock.Instant
}

// Account is the state of one client account.
type Account struct {
	Share   int
	Running int
	// RemoteRunning is the number of the account's requests that other daemons reported as running.
	RemoteRunning int
	waiting       int
}

// Gate is the admission state of one service at one daemon. It is not safe for concurrent use.
type Gate struct {
	// Capacity is the number of requests that may run concurrently.
	Capacity int
	// MaxQueue is the maximum number of requests that wait for this service at this daemon.
	MaxQueue int
	Accounts map[string]*Account
	Running  int

	queue []Request
	// serviceMs is the moving average of the service time, zero before any request finished.
	serviceMs float64
}

// When the number of running requests is one below a multiple of lowestPriorityEvery, the lowest
// waiting priority starts next instead of the highest. This is to keep it from starving.
const lowestPriorityEvery = 8

// initialServiceMs is the service time assumed before any request finished.
const initialServiceMs = 500

// serviceWeight is the weight of a new observation of the service time.
const serviceWeight = 0.1

// Result is the outcome of Arrive.
type Result struct {
	Verdict Verdict
	// RetryAfter is the time after which a refused request may be retried.
	RetryAfter clock.Duration
	// Evicted is the ticket of a waiting request that was removed to make room, or zero. That request
	// is refused.
	Evicted uint64
}

// Arrive admits, queues or refuses a request.
func (g *Gate) Arrive(now clock.Instant, r Request) Result {
	account := g.account(r.Account)
	if g.Running < g.Capacity && len(g.queue) == 0 {
		g.start(account)
		return Result{}
	}
	wait := g.estimate(r)
	if r.Deadline != 0 && now.Add(wait).After(r.Deadline) {
		return Result{Verdict: TooLate, RetryAfter: max(wait, clock.Second)}
	}
	var evicted uint64
	if len(g.queue) >= g.MaxQueue {
		candidate := g.evictionCandidate(account)
		if candidate < 0 {
			return Result{Verdict: QueueFull, RetryAfter: max(wait, clock.Second)}
		}
		evicted = g.queue[candidate].Ticket
		g.removeAt(candidate)
	}
	g.queue = append(g.queue, r)
	account.waiting++
	return Result{Verdict: Queued, Evicted: evicted}
}

// Finish records that a request of the account ended after the duration took, and returns the tickets
// that start now.
func (g *Gate) Finish(now clock.Instant, account string, took clock.Duration) []uint64 {
	g.Running--
	g.account(account).Running--
	g.observe(took)
	return g.Fill(now)
}

// Fill returns the waiting tickets that start now. Call it after Capacity has grown.
func (g *Gate) Fill(now clock.Instant) []uint64 {
	var started []uint64
	for g.Running < g.Capacity && len(g.queue) > 0 {
		i := g.nextInQueue(now)
		r := g.queue[i]
		g.removeAt(i)
		g.start(g.account(r.Account))
		started = append(started, r.Ticket)
	}
	return started
}

// Expire removes and returns the waiting tickets whose deadline has passed.
func (g *Gate) Expire(now clock.Instant) []uint64 {
	var late []uint64
	for i := len(g.queue) - 1; i >= 0; i-- {
		if d := g.queue[i].Deadline; d != 0 && now.After(d) {
			late = append(late, g.queue[i].Ticket)
			g.removeAt(i)
		}
	}
	return late
}

// Cancel removes a ticket from the queue and reports whether it was waiting.
func (g *Gate) Cancel(ticket uint64) bool {
	for i, r := range g.queue {
		if r.Ticket == ticket {
			g.removeAt(i)
			return true
		}
	}
	return false
}

// SetLoads sets the share of one account, and for all accounts the number of requests that other
// daemons reported as running.
func (g *Gate) SetLoads(name string, share int, remote map[string]int) {
	g.account(name).Share = share
	for other, a := range g.Accounts {
		a.RemoteRunning = remote[other]
	}
}

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int { return len(g.queue) }

// nextInQueue returns the index of the waiting request to start: ordered by priority, then by the
// account that uses least of its share, then by arrival. Depending on the number of running requests,
// the lowest priority goes first instead (see lowestPriorityEvery).
func (g *Gate) nextInQueue(clock.Instant) int {
	lowFirst := g.Running%lowestPriorityEvery == lowestPriorityEvery-1
	best := 0
	for i := 1; i < len(g.queue); i++ {
		if g.before(g.queue[i], g.queue[best], lowFirst) {
			best = i
		}
	}
	return best
}

func (g *Gate) before(a, b Request, lowFirst bool) bool {
	if a.Priority != b.Priority {
		return (a.Priority < b.Priority) != lowFirst
	}
	return g.runningPerShare(a.Account) < g.runningPerShare(b.Account)
}

// runningPerShare returns the number of running requests of an account per unit of its share.
func (g *Gate) runningPerShare(account string) float64 {
	a := g.account(account)
	return float64(a.Running+a.RemoteRunning) / float64(max(a.Share, 1))
}

// evictionCandidate returns the index of the newest request of the account that has the most waiting
// requests per unit of its share, or -1 when that is the account of the arriving request.
func (g *Gate) evictionCandidate(arriving *Account) int {
	highest := g.waitingPerShare(arriving, 1)
	candidate := -1
	for i, r := range g.queue {
		if p := g.waitingPerShare(g.account(r.Account), 0); p > highest || p == highest && candidate >= 0 {
			highest, candidate = p, i
		}
	}
	return candidate
}

func (g *Gate) waitingPerShare(a *Account, additional int) float64 {
	return float64(a.waiting+additional) / float64(max(a.Share, 1))
}

// estimate returns the expected wait of a request that arrives now.
func (g *Gate) estimate(r Request) clock.Duration {
	ahead := 1
	for _, w := range g.queue {
		if w.Priority <= r.Priority {
			ahead++
		}
	}
	service := g.serviceMs
	if service == 0 {
		service = initialServiceMs
	}
	return clock.Duration(float64(ahead) * service / float64(max(g.Capacity, 1)))
}

func (g *Gate) observe(took clock.Duration) {
	if g.serviceMs == 0 {
		g.serviceMs = float64(took)
		return
	}
	g.serviceMs += serviceWeight * (float64(took) - g.serviceMs)
}

func (g *Gate) start(a *Account) {
	a.Running++
	g.Running++
}

func (g *Gate) removeAt(i int) {
	g.account(g.queue[i].Account).waiting--
	g.queue = append(g.queue[:i], g.queue[i+1:]...)
}

func (g *Gate) account(name string) *Account {
	if g.Accounts == nil {
		g.Accounts = make(map[string]*Account)
	}
	a := g.Accounts[name]
	if a == nil {
		a = &Account{Share: 1}
		g.Accounts[name] = a
	}
	return a
}
