// Package limit admits requests. A Gate bounds the requests that run at once, orders waiting
// ones by priority and by the share of their client account, and refuses early what cannot meet
// its deadline:
//
//	verdict := gate.Arrive(now, limit.Request{Ticket: 1, Account: "amati", Priority: fleet.Urgent})
//	started := gate.Leave(now, "amati", took)
//
// An account that uses less than its share goes before one that uses more; a share that nobody
// uses is lent. Load at other daemons counts, as far as they reported it, so that shares hold
// over all daemons without a message per request.
//
// Invariants held by the tests: at most Capacity requests run; no request waits while there is
// room; a refused request never runs; a waiting account below its share starts before any above.
package limit

import (
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

//go:generate ../../.tools/stringer -type=Verdict -output=verdict_string.go

// Verdict is the answer to an arrival.
type Verdict uint8

// Verdicts.
const (
	Admitted Verdict = iota
	Queued
	QueueFull
	TooLate
)

// Request is a request that wants to run.
type Request struct {
	Ticket   uint64
	Account  string
	Priority fleet.Priority
	// Deadline is the instant by which it must start.
	Deadline clock.Instant
}

// Account is the standing of one client account.
type Account struct {
	Share   int
	Running int
	// RemoteRunning is the number of its requests that other daemons reported as running.
	RemoteRunning int
	waiting       int
}

// Gate is the admission state of one service at one daemon. Its owner serialises the calls.
type Gate struct {
	// Capacity is the number of requests that may run at once.
	Capacity int
	// MaxQueue bounds the waiting requests.
	MaxQueue int
	Accounts map[string]*Account
	Running  int

	queue   []Request
	service float64
}

// bulkReserve is one in how many starts goes to the lowest waiting priority, so that none
// starves.
const bulkReserve = 8

// initialServiceMs is the service time assumed before any request finished.
const initialServiceMs = 500

// serviceWeight is the weight of a new observation of the service time.
const serviceWeight = 0.1

// Result of an arrival.
type Result struct {
	Verdict Verdict
	// RetryAfter tells when a refused request may be tried again.
	RetryAfter clock.Duration
	// Evicted is the ticket of a waiting request that had to make room, or zero. It is refused.
	Evicted uint64
}

// Arrive asks for a start.
func (g *Gate) Arrive(now clock.Instant, a Request) Result {
	account := g.account(a.Account)
	if g.Running < g.Capacity && len(g.queue) == 0 {
		g.start(account)
		return Result{}
	}
	wait := g.estimate(a)
	if a.Deadline != 0 && now.Add(wait).After(a.Deadline) {
		return Result{Verdict: TooLate, RetryAfter: max(wait, clock.Second)}
	}
	var evicted uint64
	if len(g.queue) >= g.MaxQueue {
		victim := g.victim(account)
		if victim < 0 {
			return Result{Verdict: QueueFull, RetryAfter: max(wait, clock.Second)}
		}
		evicted = g.queue[victim].Ticket
		g.removeAt(victim)
	}
	g.queue = append(g.queue, a)
	account.waiting++
	return Result{Verdict: Queued, Evicted: evicted}
}

// Finish records that a request of account ended after took, and returns the tickets to start.
func (g *Gate) Finish(now clock.Instant, account string, took clock.Duration) []uint64 {
	g.Running--
	g.account(account).Running--
	g.observe(took)
	return g.Fill(now)
}

// Fill returns the waiting tickets that may start now. Call it when Capacity grew.
func (g *Gate) Fill(now clock.Instant) []uint64 {
	var started []uint64
	for g.Running < g.Capacity && len(g.queue) > 0 {
		i := g.next(now)
		a := g.queue[i]
		g.removeAt(i)
		g.start(g.account(a.Account))
		started = append(started, a.Ticket)
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

// Cancel removes a waiting ticket and reports whether it was waiting.
func (g *Gate) Cancel(ticket uint64) bool {
	for i, a := range g.queue {
		if a.Ticket == ticket {
			g.removeAt(i)
			return true
		}
	}
	return false
}

// SetLoads sets the share of an account and what other daemons reported as running for each.
func (g *Gate) SetLoads(name string, share int, elsewhere map[string]int) {
	g.account(name).Share = share
	for other, a := range g.Accounts {
		a.RemoteRunning = elsewhere[other]
	}
}

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int { return len(g.queue) }

// next returns the index of the waiting request to start: by priority, then by the account that
// uses least of its share, then by arrival. Every few starts the lowest priority goes first.
func (g *Gate) next(clock.Instant) int {
	lowFirst := g.Running%bulkReserve == bulkReserve-1
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
	return g.use(a.Account) < g.use(b.Account)
}

// use returns the running requests of an account for each unit of its share.
func (g *Gate) use(account string) float64 {
	a := g.account(account)
	return float64(a.Running+a.RemoteRunning) / float64(max(a.Share, 1))
}

// victim returns the index of the newest request of the account that waits most above its
// share, or -1 when the newcomer's account is the one.
func (g *Gate) victim(newcomer *Account) int {
	worst := g.pressure(newcomer, 1)
	at := -1
	for i, a := range g.queue {
		if p := g.pressure(g.account(a.Account), 0); p > worst || p == worst && at >= 0 {
			worst, at = p, i
		}
	}
	return at
}

func (g *Gate) pressure(a *Account, extra int) float64 {
	return float64(a.waiting+extra) / float64(max(a.Share, 1))
}

// estimate returns the wait to expect of a request that arrives now.
func (g *Gate) estimate(a Request) clock.Duration {
	ahead := 1
	for _, w := range g.queue {
		if w.Priority <= a.Priority {
			ahead++
		}
	}
	service := g.service
	if service == 0 {
		service = initialServiceMs
	}
	return clock.Duration(float64(ahead) * service / float64(max(g.Capacity, 1)))
}

func (g *Gate) observe(took clock.Duration) {
	if g.service == 0 {
		g.service = float64(took)
		return
	}
	g.service += serviceWeight * (float64(took) - g.service)
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
