// Package quota holds the requests of client accounts to their quotas over all entry daemons. In
// any window an account may spend its rate for that time and its burst. The leader of the core
// keeps one Allocator and grants parts of what is left; an entry daemon spends its grants without
// asking:
//
//	grants := allocator.Grant(now, set, "entry-1/boot", uses, since)  // at the leader, for each report
//	limiter.Receive(now, grants)                                   // at the entry daemon
//	ok := limiter.Spend(now, account, level, tokens)
//
// Each grant names a lease: what the daemon may spend in a window should it lose the leader. The
// leases of all daemons add up to the limit, so the quota also holds while there is no leader, and
// a new leader learns from the first reports what was spent before.
//
// Where an account asks for more than its quota, urgent requests go first: what is left of the limit
// is kept from less urgent ones below a reserve for each level.
//
// The load that it answers: an account that sends many times its quota through all daemons at
// once, with requests whose sizes differ a hundredfold, next to accounts within their quotas.
package quota

import (
	"strings"

	"swiftbeam/internal/rules"
	"swiftbeam/internal/window"
	"swiftbeam/pkg/clock"
)

// Bounds tell how far a quota may be exceeded in a window.
type Bounds struct {
	Window  clock.Duration
	Overrun float64
	Slack   float64
}

const (
	// excessPart is the part of the allowed excess that is used; the rest covers requests on their
	// way between daemon and server.
	excessPart = 0.8
	// unknownPart is the part of the limit that is granted while nobody knows what was spent before
	// the leader and the entry daemons were restarted together.
	unknownPart = 0.6
	// grantAhead is the time for which a daemon is granted what its callers ask for.
	grantAhead = 900 * clock.Millisecond
	// regularReport is the least time between reports that do not ask for a grant in a hurry.
	regularReport = 150 * clock.Millisecond
	maxAhead      = 3.5
	// surplusReports is the demand, in reports, that a daemon keeps without using it.
	surplusReports = 4
	usualWeight    = 0.3
	// scarcePart is the part of a limit below which only requests that wait are granted.
	scarcePart = 0.35
	// lostAfter is the silence after which the leader takes a daemon to live on its lease; a
	// daemon begins to do so only after leaseAfter.
	lostAfter  = 450 * clock.Millisecond
	leaseAfter = 600 * clock.Millisecond
	// firstWait is how long a request waits at a daemon that has not heard from a leader yet.
	firstWait = 500 * clock.Millisecond
	// overdue is the silence after which the next answer of the leader is late.
	overdue = 350 * clock.Millisecond
	// grantWait is how long a request waits for a grant while the leader answers.
	grantWait = 100 * clock.Millisecond
	// listenFirst is how long a new leader listens before it grants.
	listenFirst = 350 * clock.Millisecond
	// unheardPart is what a daemon that has not reported to a new leader is taken to have spent, in
	// even parts of the limit.
	unheardPart = 1.25
	// leasePart is the part of what is left that is leased; the rest may be granted to others before
	// they report again.
	leasePart = 0.6
	// evenPart is the part of the limit that counts as spent evenly when it is leased, so that a
	// daemon without callers can serve some when they move to it.
	evenPart = 0.25
)

// Levels is the number of levels of urgency; level 0 goes first.
const Levels = 3

// reserves are the parts of the limit that a level leaves to those before it.
var reserves = [Levels]float64{0, 0.06, 0.12}

// Amounts are quantities by level.
type Amounts [Levels]float64

// Sum returns the quantity of all levels.
func (a *Amounts) Sum() float64 {
	total := 0.0
	for _, q := range a {
		total += q
	}
	return total
}

// Limit returns what an account may spend in a window.
func Limit(b Bounds, a *rules.Account) float64 {
	slack := 0.0
	if a.ByTokens {
		slack = b.Slack
	}
	plain := a.Rate*float64(b.Window)/1000 + a.Burst
	return plain*(1+excessPart*b.Overrun) + excessPart*slack
}

// Use is what an entry daemon reports of an account.
type Use struct {
	Account string
	// Requested is what callers asked for since the last report.
	Requested Amounts
	// Unspent is what is left of earlier grants, Spent what went in the last window.
	Unspent Amounts
	Spent   float64
}

// Grant is a part of a quota for one entry daemon.
type Grant struct {
	Account  string
	Quantity Amounts
	// Lease is what the daemon may spend in a window without a leader.
	Lease float64
	// Scarce asks to give back at the next report what is not spent by then: many daemons that
	// each hold less than a request needs would keep much of a limit unused.
	Scarce bool
}

// standing is what the leader knows of one account at one daemon.
type standing struct {
	spent float64
	held  float64
	lease float64
	at    clock.Instant
}

// Allocator is the state of all accounts at the leader. Its owner serialises the calls.
type Allocator struct {
	Bounds Bounds
	// StartedAt is when this leader began.
	StartedAt clock.Instant
	// ExpectedDaemons is the number of entry daemons that should report. In its first window a new leader
	// takes those that did not to have spent an even part.
	ExpectedDaemons int
	// SpendingUnknown is set at a leader that was itself restarted a moment before.
	SpendingUnknown bool

	accounts map[string]map[string]*standing
}

// Grant takes the report of a run of an entry daemon, named NAME/BOOT, and returns its grants; none
// while a new leader listens. Every is the time since its last report.
func (b *Allocator) Grant(now clock.Instant, set *rules.Set, entry string, uses []Use, every clock.Duration) []Grant {
	if b.accounts == nil {
		b.accounts = make(map[string]map[string]*standing)
	}
	listening := !b.SpendingUnknown && now.Sub(b.StartedAt) < listenFirst
	var grants []Grant
	for _, u := range uses {
		a := set.Account(u.Account)
		if a == nil || a.Rate <= 0 {
			continue
		}
		entries := b.accounts[a.Name]
		if entries == nil {
			entries = make(map[string]*standing)
			b.accounts[a.Name] = entries
		}
		mine := entries[entry]
		if mine == nil {
			mine = &standing{}
			entries[entry] = mine
		}
		mine.spent, mine.held, mine.at = u.Spent, u.Unspent.Sum(), now
		limit := Limit(b.Bounds, a)
		if b.SpendingUnknown && now.Sub(b.StartedAt) < b.Bounds.Window {
			limit *= unknownPart
		}
		left, spent := b.left(now, entries, limit)
		g := Grant{Account: a.Name}
		if listening {
			continue
		}
		g.Scarce = left < scarcePart*limit
		if g.Scarce {
			every = 0
		}
		g.Quantity = share(u, left, limit, every)
		mine.held += g.Quantity.Sum()
		mine.lease = b.lease(entries, mine, left-g.Quantity.Sum(), spent, limit)
		g.Lease = mine.lease
		grants = append(grants, g)
	}
	return grants
}

// share grants from what is left, the urgent levels first.
func share(u Use, left, limit float64, every clock.Duration) Amounts {
	var out Amounts
	ahead := 1.0
	if every >= regularReport {
		ahead = min(max(float64(grantAhead)/float64(every), 1), maxAhead)
	}
	for level := range out {
		quantity := min(u.Requested[level]*ahead-u.Unspent[level], left-reserves[level]*limit)
		if quantity > 0 {
			out[level] = quantity
			left -= quantity
		}
	}
	return out
}

// lease returns what a daemon may spend in a window without a leader: what it has spent and holds,
// and its part of what is left. All leases together stay within the limit.
func (b *Allocator) lease(entries map[string]*standing, mine *standing, left, spent, limit float64) float64 {
	even := evenPart * limit / float64(max(b.ExpectedDaemons, len(entries), 1))
	part := (mine.spent + even) / (spent + evenPart*limit)
	want := mine.spent + mine.held + leasePart*max(left, 0)*part
	for _, s := range entries {
		if s != mine {
			limit -= max(s.lease, s.spent+s.held)
		}
	}
	return max(min(want, limit), 0)
}

// left returns what of the limit is not spent, held or leased, and what was spent.
func (b *Allocator) left(now clock.Instant, entries map[string]*standing, limit float64) (left, spent float64) {
	left = limit
	for name, s := range entries {
		silent := now.Sub(s.at)
		switch {
		case silent > b.Bounds.Window+leaseAfter:
			delete(entries, name)
			continue
		case silent <= lostAfter:
			left -= s.spent + s.held
		case restarted(entries, name, s):
			left -= s.spent
		default:
			left -= max(s.lease, s.spent+s.held)
		}
		spent += s.spent
	}
	if unheard := b.ExpectedDaemons - len(entries); unheard > 0 && now.Sub(b.StartedAt) < b.Bounds.Window {
		left -= unheardPart * limit * float64(unheard) / float64(b.ExpectedDaemons)
	}
	return left, spent
}

// restarted reports whether a later run of the same daemon has reported.
func restarted(entries map[string]*standing, name string, s *standing) bool {
	daemon, _, _ := strings.Cut(name, "/")
	for other, o := range entries {
		if other != name && o.at.After(s.at) && strings.HasPrefix(other, daemon+"/") {
			return true
		}
	}
	return false
}

// Limiter is what one entry daemon may spend. Its owner serialises the calls.
type Limiter struct {
	Window clock.Duration
	// Entries is the number of entry daemons.
	Entries  int
	Accounts map[string]*Allowance
	// ContactAt is when the leader answered last.
	ContactAt clock.Instant
}

// Allowance is the state of one account.
type Allowance struct {
	Unspent   Amounts
	Requested Amounts
	Lease     float64
	Spent     window.Sliding
	// usual is the moving average of what callers ask for between reports.
	usual  Amounts
	scarce bool
}

// Receive adds the grants of the leader. A leader that does not grant yet does not count.
func (p *Limiter) Receive(now clock.Instant, grants []Grant) {
	if len(grants) > 0 {
		p.ContactAt = now
	}
	for _, g := range grants {
		a := p.allowance(g.Account)
		for level := range a.Unspent {
			a.Unspent[level] += g.Quantity[level]
		}
		a.Lease, a.scarce = g.Lease, g.Scarce
	}
}

func (p *Limiter) allowance(account string) *Allowance {
	if p.Accounts == nil {
		p.Accounts = make(map[string]*Allowance)
	}
	a := p.Accounts[account]
	if a == nil {
		a = &Allowance{Spent: window.Sliding{Span: p.Window}}
		p.Accounts[account] = a
	}
	return a
}

// RecordDemand notes that a caller asked for a quantity.
func (p *Limiter) RecordDemand(a *rules.Account, level int, quantity float64) {
	p.allowance(a.Name).Requested[level] += quantity
}

// Spend takes a quantity for a level. It reports false when what is left does not cover it.
func (p *Limiter) Spend(now clock.Instant, a *rules.Account, level int, quantity float64) bool {
	if a.Rate <= 0 {
		return true
	}
	left := p.allowance(a.Name)
	if !left.take(level, quantity) {
		leased := left.Lease * (1 - reserves[level])
		if now.Sub(p.ContactAt) <= leaseAfter || left.Spent.Sum(now)+quantity > leased {
			return false
		}
	}
	left.Spent.Add(now, quantity)
	return true
}

// take spends what is held for a level, then what is held for less urgent ones.
func (a *Allowance) take(level int, quantity float64) bool {
	held := 0.0
	for _, h := range a.Unspent[level:] {
		held += h
	}
	if held < quantity {
		return false
	}
	for i := level; i < Levels && quantity > 0; i++ {
		part := min(quantity, a.Unspent[i])
		a.Unspent[i] -= part
		quantity -= part
	}
	return true
}

// MaxWait returns how long a request that is not covered may wait: for a grant, or until the
// daemon lives on its lease.
func (p *Limiter) MaxWait(now clock.Instant) clock.Duration {
	silent := now.Sub(p.ContactAt)
	switch {
	case p.ContactAt == 0:
		return firstWait
	case silent > overdue && silent < leaseAfter:
		return leaseAfter - silent + grantWait/4
	}
	return grantWait
}

// SetRules makes all accounts with a quota part of the reports, so that their leases are known before
// they are needed.
func (p *Limiter) SetRules(set *rules.Set) {
	for i := range set.Accounts {
		if set.Accounts[i].Rate > 0 {
			p.allowance(set.Accounts[i].Name)
		}
	}
}

// TakeReport returns what to report, and begins a new report. What is not likely to be used soon goes
// back to the leader.
func (p *Limiter) TakeReport(now clock.Instant) []Use {
	var uses []Use
	for name, a := range p.Accounts {
		a.giveBack()
		uses = append(uses, Use{Account: name, Requested: a.Requested, Unspent: a.Unspent, Spent: a.Spent.Sum(now)})
		a.Requested = Amounts{}
	}
	return uses
}

// giveBack drops what is held and not likely to be used soon; the next report tells the leader.
func (a *Allowance) giveBack() {
	for level := range a.Unspent {
		a.usual[level] += usualWeight * (a.Requested[level] - a.usual[level])
		if a.scarce {
			a.Unspent[level] = 0
		}
		if keep := surplusReports * a.usual[level]; a.Unspent[level] > keep && a.Requested[level] == 0 {
			a.Unspent[level] = max(keep, a.Unspent[level]/2)
		}
		if a.Unspent[level] < 1 {
			a.Unspent[level] = 0
		}
	}
}

// Restore keeps what a report asked for that was not answered.
func (p *Limiter) Restore(account string, wanted Amounts) {
	a := p.allowance(account)
	for level := range wanted {
		a.Requested[level] += wanted[level]
	}
}

// RetryAfter returns when a refused quantity is likely to be granted.
func RetryAfter(a *rules.Account, quantity float64) clock.Duration {
	wait := clock.Duration(1000 * quantity / max(a.Rate, 1))
	return min(max(wait, 250*clock.Millisecond), 3*clock.Second)
}
