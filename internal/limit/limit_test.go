package limit

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "swiftbeam/internal/repro"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// gateModel tracks the running and waiting requests of a gate by ticket.
type gateModel struct {
	gate    *Gate
	running map[uint64]Request
	waiting map[uint64]Request
	next    uint64
	now     clock.Instant
}

var accountNames = []string{"large", "small", "other"}

// TestStatefulGate checks that no more requests run than the capacity, that none waits while there is
// room, that each ticket has exactly one outcome, and that a request never starts before a waiting
// one of the same priority whose account uses less of its share.
func TestStatefulGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &gateModel{
			gate:    &Gate{Capacity: rapid.IntRange(1, 6).Draw(t, "capacity"), MaxQueue: rapid.IntRange(1, 8).Draw(t, "queue")},
			running: map[uint64]Request{}, waiting: map[uint64]Request{},
		}
		m.gate.SetLoads("large", 5, nil)
		m.gate.SetLoads("small", 1, nil)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive, "arrive again": m.arrive, "leave": m.leave, "expire": m.expire, "abandon": m.abandon,
			"grow": func(t *rapid.T) {
				m.gate.Capacity = rapid.IntRange(1, 6).Draw(t, "capacity")
				m.start(t, m.gate.Fill(m.now))
			},
			"": m.check,
		})
	})
}

func (m *gateModel) arrive(t *rapid.T) {
	m.next++
	a := Request{
		Ticket: m.next, Account: rapid.SampledFrom(accountNames).Draw(t, "account"),
		Priority: fleet.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
		Deadline: m.now.Add(clock.Duration(rapid.IntRange(100, 5000).Draw(t, "deadline"))),
	}
	r := m.gate.Arrive(m.now, a)
	if r.Evicted != 0 {
		if _, ok := m.waiting[r.Evicted]; !ok {
			t.Fatalf("evicted ticket %d was not waiting", r.Evicted)
		}
		delete(m.waiting, r.Evicted)
	}
	switch r.Verdict {
	case Admitted:
		m.running[a.Ticket] = a
	case Queued:
		m.waiting[a.Ticket] = a
	default:
		if r.RetryAfter <= 0 {
			t.Fatalf("got a refusal without a time to retry after")
		}
	}
}

func (m *gateModel) start(t *rapid.T, tickets []uint64) {
	for _, ticket := range tickets {
		a, ok := m.waiting[ticket]
		if !ok {
			t.Fatalf("started ticket %d was not waiting", ticket)
		}
		delete(m.waiting, ticket)
		m.running[ticket] = a
	}
}

func (m *gateModel) leave(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("no request runs")
	}
	var tickets []uint64
	for ticket := range m.running {
		tickets = append(tickets, ticket)
	}
	slices.Sort(tickets)
	ticket := rapid.SampledFrom(tickets).Draw(t, "ticket")
	account := m.running[ticket].Account
	delete(m.running, ticket)
	before := m.runningPerShare()
	started := m.gate.Finish(m.now, account, clock.Duration(rapid.IntRange(1, 900).Draw(t, "took")))
	if len(started) == 1 {
		m.checkFair(t, m.waiting[started[0]], before)
	}
	m.start(t, started)
}

// runningPerShare returns the number of running requests of each account per unit of its share.
func (m *gateModel) runningPerShare() map[string]float64 {
	perShare := map[string]float64{}
	for _, a := range m.running {
		perShare[a.Account] += 1 / float64(m.gate.account(a.Account).Share)
	}
	return perShare
}

func (m *gateModel) checkFair(t *rapid.T, started Request, perShare map[string]float64) {
	const rounding = 1e-9
	for _, w := range m.waiting {
		if w.Priority == started.Priority && perShare[w.Account] < perShare[started.Account]-rounding {
			t.Fatalf("%s with %.2f requests per unit of its share started before %s with %.2f", started.Account, perShare[started.Account], w.Account, perShare[w.Account])
		}
	}
}

func (m *gateModel) expire(t *rapid.T) {
	m.now = m.now.Add(clock.Duration(rapid.IntRange(0, 2000).Draw(t, "time")))
	for _, ticket := range m.gate.Expire(m.now) {
		if a, ok := m.waiting[ticket]; !ok || !m.now.After(a.Deadline) {
			t.Fatalf("got ticket %d expired at %d, want only waiting ones after their deadline, here %d", ticket, m.now, a.Deadline)
		}
		delete(m.waiting, ticket)
	}
}

func (m *gateModel) abandon(t *rapid.T) {
	ticket := uint64(rapid.IntRange(1, 40).Draw(t, "ticket"))
	_, waiting := m.waiting[ticket]
	if got := m.gate.Cancel(ticket); got != waiting {
		t.Fatalf("cancel of ticket %d: got %v, want %v", ticket, got, waiting)
	}
	delete(m.waiting, ticket)
}

func (m *gateModel) check(t *rapid.T) {
	if got, want := m.gate.Running, len(m.running); got != want {
		t.Fatalf("got %d running, want %d", got, want)
	}
	if got, want := m.gate.Waiting(), len(m.waiting); got != want {
		t.Fatalf("got %d waiting, want %d", got, want)
	}
	if m.gate.Waiting() > m.gate.MaxQueue {
		t.Fatalf("got %d waiting, want at most %d", m.gate.Waiting(), m.gate.MaxQueue)
	}
	if m.gate.Running < m.gate.Capacity && m.gate.Waiting() > 0 {
		t.Fatalf("got %d waiting while %d of %d run, want none", m.gate.Waiting(), m.gate.Running, m.gate.Capacity)
	}
}

// TestLargeAccountCannotStarveSmallOnes fills the queue from one account: a request of another account
// must evict one of them and start next.
func TestLargeAccountCannotStarveSmallOnes(t *testing.T) {
	g := &Gate{Capacity: 4, MaxQueue: 20}
	g.SetLoads("large", 4, nil)
	g.SetLoads("small", 1, nil)
	now := clock.Instant(0)
	ticket := uint64(0)
	arrive := func(account string) (uint64, Result) {
		ticket++
		return ticket, g.Arrive(now, Request{Ticket: ticket, Account: account, Deadline: now.Add(clock.Hour)})
	}
	for range 60 {
		arrive("large")
	}
	small, r := arrive("small")
	if got, want := r.Verdict, Queued; got != want {
		t.Fatalf("got %v for the small account at a full queue, want %v", got, want)
	}
	if r.Evicted == 0 {
		t.Error("got no eviction from the large account, want one")
	}
	started := g.Finish(now, "large", 100)
	if got, want := started, []uint64{small}; !slices.Equal(got, want) {
		t.Errorf("got started %v, want %v", got, want)
	}
}

func TestBudgetLimitsRetries(t *testing.T) {
	b := &Budget{Percent: 20, Max: 10}
	spent := 0
	for range 1000 {
		b.Earn()
		if b.Spend() {
			spent++
		}
	}
	if got, want := spent, 200; got != want {
		t.Errorf("got %d retries for 1000 requests, want %d", got, want)
	}
	for range 1000 {
		b.Earn()
	}
	burst := 0
	for b.Spend() {
		burst++
	}
	if got, want := burst, 10; got != want {
		t.Errorf("got a burst of %d retries, want %d", got, want)
	}
}
