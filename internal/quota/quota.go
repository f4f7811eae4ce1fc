// Package quota enforces the quotas of client accounts across all entry daemons. In any window an
// account may spend its rate times the window, plus its burst. The leader of the core has one
// Allocator, which grants parts of what is unspent; an entry daemon has a Limiter, which spends its
// grants locally:
//
//	grants := allocator.Grant(now, set, "entry-1/boot", uses, since)  // on the leader, for each report
//	limiter.Receive(now, grants)                                   // on the entry daemon
//	ok := limiter.Spend(now, account, level, tokens)
//
// Each grant contains a lease: what the daemon may spend in a window if it loses contact with the
// leader. The leases of all daemons add up to at most the limit, so the quota is also enforced while
// there is no leader. A new leader computes what was spent before from the first reports of the daemons.
//
// Where an account requests more than its quota, urgent requests are served first: each less urgent
// level leaves a reserve of the limit to the levels before it.
//
// The package is designed for accounts that send many times their quota through all daemons at once,
// with requests whose sizes differ by a factor of a hundred, next to accounts within their quotas.
package quota

import (
	"strings"

	"swiftbeam/internal/rules"
	"swiftbeam/internal/window"
	"swiftbeam/pkg/clock"
)

// Bounds is the amount by which a quota may be exceeded in a window: Overrun is a fraction of the quota,
// and Slack a number of tokens that is added for accounts that count tokens.
type Bounds struct {
	Window  clock.Duration
	Overrun float64
	Slack   float64
}

const (
	// excessFraction is the part of the excess allowed by Bounds that is added to the limit for grants;
	// the rest covers requests in transit between daemon and server.
	excessFraction = 0.8
	// unknownSpendingFraction is the part of the limit that is granted in the first window after the
	// leader and the entry daemons were restarted together, when it is unknown what was spent before.
	unknownSpendingFraction = 0.6
	// grantLookahead is the time for which a daemon is granted the demand of its callers.
	grantLookahead = 900 * clock.Millisecond
	// regularReportInterval is the minimum time between regular reports; a report that comes sooner
	// requests a grant for a waiting request.
	regularReportInterval = 150 * clock.Millisecond
	// maxLookaheadFactor bounds grants that look ahead, in multiples of the demand since the last
	// report.
	maxLookaheadFactor = 3.5
	// unspentReports is the number of reports whose usual demand a daemon keeps in unspent grants when
	// it has no requests.
	unspentReports    = 4
	usualDemandWeight = 0.3
	// scarceFraction is the part of a limit below which what remains is scarce: grants then cover only
	// the reported demand, not that of the next grantLookahead.
	scarceFraction = 0.35
	// disconnectedAfter is the time without a report after which the leader assumes that a daemon spends
	// from its lease; a daemon does so only after leaseAfter without contact.
	disconnectedAfter = 450 * clock.Millisecond
	leaseAfter        = 600 * clock.Millisecond
	// firstContactWait is how long a request waits at a daemon that has not had contact with a leader
	// yet.
	firstContactWait = 500 * clock.Millisecond
	// lateAfter is the time without contact after which the next reply of the leader counts as late. A
	// request then waits until the daemon may spend from its lease.
	lateAfter = 350 * clock.Millisecond
	// grantWait is how long a request waits for a grant while the leader responds.
	grantWait = 100 * clock.Millisecond
	// collectTime is how long a new leader collects reports before it grants.
	collectTime = 350 * clock.Millisecond
	// unreportedFactor is what a daemon that has not reported to a new leader is assumed to have spent,
	// as a multiple of the limit divided by the number of daemons.
	unreportedFactor = 1.25
	// leaseFraction is the part of the remaining limit that is leased; the rest is available for grants
	// to other daemons until the next reports.
	leaseFraction = 0.6
	// evenFraction is the part of the limit that is counted as spent in equal amounts by all daemons
	// when leases are computed. It gives a lease to a daemon without callers, which can then serve some
	// if callers move to it.
	evenFraction = 0.25
)

// Levels is the number of urgency levels; level 0 is served first.
const Levels = 3

// reserves is the part of the limit that each level leaves to the more urgent ones.
var reserves = [Levels]float64{0, 0.06, 0.12}

// Amounts are quantities by level.
type Amounts [Levels]float64

// Sum returns the sum over all levels.
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
	return plain*(1+excessFraction*b.Overrun) + excessFraction*slack
}

// Use is the report of an entry daemon about an account.
type Use struct {
	Account string
	// Requested is what callers requested since the last report.
	Requested Amounts
	// Unspent is what remains of earlier grants; Spent is what was spent in the last window.
	Unspent Amounts
	Spent   float64
}

// Grant is a part of a quota for one entry daemon.
type Grant struct {
	Account  string
	Quantity Amounts
	// Lease is what the daemon may spend in a window without a leader.
	Lease float64
	// Scarce requests that the daemon return its unspent grants at the next report. If many daemons each
	// kept less than one request requires, much of the limit would remain unused.
	Scarce bool
}

// daemonGrant is the record of one account at one daemon: its last report, and its lease.
type daemonGrant struct {
	spent      float64
	unspent    float64
	lease      float64
	reportedAt clock.Instant
}

// Allocator is the state of all accounts on the leader. It is not safe for concurrent use.
type Allocator struct {
	Bounds Bounds
	// StartedAt is when this leader began to allocate quotas.
	StartedAt clock.Instant
	// ExpectedDaemons is the number of entry daemons that should report. In its first window a new leader
	// assumes that each of those that have not reported has spent unreportedFactor.
	ExpectedDaemons int
	// SpendingUnknown is set on a leader whose process was restarted less than a window before, so that
	// the entry daemons may have been restarted too.
	SpendingUnknown bool

	accounts map[string]map[string]*daemonGrant
}

// Grant processes the report of one run of an entry daemon, named NAME/BOOT, and returns its grants;
// none while a new leader collects reports.
func (al *Allocator) Grant(now clock.Instant, set *rules.Set, entry string, uses []Use, sinceLastReport clock.Duration) []Grant {
	if al.accounts == nil {
		al.accounts = make(map[string]map[string]*daemonGrant)
	}
	collecting := !al.SpendingUnknown && now.Sub(al.StartedAt) < collectTime
	var grants []Grant
	for _, u := range uses {
		a := set.Account(u.Account)
		if a == nil || a.Rate <= 0 {
			continue
		}
		entries := al.accounts[a.Name]
		if entries == nil {
			entries = make(map[string]*daemonGrant)
			al.accounts[a.Name] = entries
		}
		own := entries[entry]
		if own == nil {
			own = &daemonGrant{}
			entries[entry] = own
		}
		own.spent, own.unspent, own.reportedAt = u.Spent, u.Unspent.Sum(), now
		limit := Limit(al.Bounds, a)
		if al.SpendingUnknown && now.Sub(al.StartedAt) < al.Bounds.Window {
			limit *= unknownSpendingFraction
		}
		remaining, spent := al.remaining(now, entries, limit)
		g := Grant{Account: a.Name}
		if collecting {
			continue
		}
		g.Scarce = remaining < scarceFraction*limit
		if g.Scarce {
			sinceLastReport = 0
		}
		g.Quantity = grantByLevel(u, remaining, limit, sinceLastReport)
		own.unspent += g.Quantity.Sum()
		own.lease = al.lease(entries, own, remaining-g.Quantity.Sum(), spent, limit)
		g.Lease = own.lease
		grants = append(grants, g)
	}
	return grants
}

// grantByLevel grants from the remaining limit, the urgent levels first.
func grantByLevel(u Use, remaining, limit float64, sinceLastReport clock.Duration) Amounts {
	var granted Amounts
	ahead := 1.0
	if sinceLastReport >= regularReportInterval {
		ahead = min(max(float64(grantLookahead)/float64(sinceLastReport), 1), maxLookaheadFactor)
	}
	for level := range granted {
		quantity := min(u.Requested[level]*ahead-u.Unspent[level], remaining-reserves[level]*limit)
		if quantity > 0 {
			granted[level] = quantity
			remaining -= quantity
		}
	}
	return granted
}

// lease returns what a daemon may spend in a window without a leader: what it has spent, its unspent
// grants, and its part of the remaining limit. All leases together stay within the limit.
func (al *Allocator) lease(entries map[string]*daemonGrant, own *daemonGrant, remaining, spent, limit float64) float64 {
	even := evenFraction * limit / float64(max(al.ExpectedDaemons, len(entries), 1))
	part := (own.spent + even) / (spent + evenFraction*limit)
	lease := own.spent + own.unspent + leaseFraction*max(remaining, 0)*part
	for _, s := range entries {
		if s != own {
			limit -= max(s.lease, s.spent+s.unspent)
		}
	}
	return max(min(lease, limit), 0)
}

// remaining returns the part of the limit that is not spent, granted or leased, and what was spent.
func (al *Allocator) remaining(now clock.Instant, entries map[string]*daemonGrant, limit float64) (remaining, spent float64) {
	remaining = limit
	for name, s := range entries {
		sinceContact := now.Sub(s.reportedAt)
		switch {
		case sinceContact > al.Bounds.Window+leaseAfter:
			delete(entries, name)
			continue
		case sinceContact <= disconnectedAfter:
			remaining -= s.spent + s.unspent
		case restarted(entries, name, s):
			remaining -= s.spent
		default:
			remaining -= max(s.lease, s.spent+s.unspent)
		}
		spent += s.spent
	}
	if unreported := al.ExpectedDaemons - len(entries); unreported > 0 && now.Sub(al.StartedAt) < al.Bounds.Window {
		remaining -= unreportedFactor * limit * float64(unreported) / float64(al.ExpectedDaemons)
	}
	return remaining, spent
}

// restarted reports whether a later run of the same daemon has reported.
func restarted(entries map[string]*daemonGrant, name string, s *daemonGrant) bool {
	daemon, _, _ := strings.Cut(name, "/")
	for other, o := range entries {
		if other != name && o.reportedAt.After(s.reportedAt) && strings.HasPrefix(other, daemon+"/") {
			return true
		}
	}
	return false
}

// Limiter limits what one entry daemon spends. It is not safe for concurrent use.
type Limiter struct {
	Window clock.Duration
	// Entries is the number of entry daemons.
	Entries  int
	Accounts map[string]*Allowance
	// ContactAt is the time of the last reply of the leader that contained grants.
	ContactAt clock.Instant
}

// Allowance is the state of one account.
type Allowance struct {
	Unspent   Amounts
	Requested Amounts
	Lease     float64
	Spent     window.Sliding
	// usualDemand is the moving average of what callers request between two reports.
	usualDemand Amounts
	scarce      bool
}

// Receive adds the grants of the leader. A reply without grants does not count as contact: a new leader
// sends those while it collects reports.
func (l *Limiter) Receive(now clock.Instant, grants []Grant) {
	if len(grants) > 0 {
		l.ContactAt = now
	}
	for _, g := range grants {
		a := l.allowance(g.Account)
		for level := range a.Unspent {
			a.Unspent[level] += g.Quantity[level]
		}
		a.Lease, a.scarce = g.Lease, g.Scarce
	}
}

func (l *Limiter) allowance(account string) *Allowance {
	if l.Accounts == nil {
		l.Accounts = make(map[string]*Allowance)
	}
	a := l.Accounts[account]
	if a == nil {
		a = &Allowance{Spent: window.Sliding{Span: l.Window}}
		l.Accounts[account] = a
	}
	return a
}

// RecordDemand records that a caller requested a quantity.
func (l *Limiter) RecordDemand(a *rules.Account, level int, quantity float64) {
	l.allowance(a.Name).Requested[level] += quantity
}

// Spend spends a quantity for a level. It returns false if the unspent grants do not cover it. Without
// contact with the leader for leaseAfter, the lease may cover it too.
func (l *Limiter) Spend(now clock.Instant, a *rules.Account, level int, quantity float64) bool {
	if a.Rate <= 0 {
		return true
	}
	allowance := l.allowance(a.Name)
	if !allowance.consume(level, quantity) {
		leased := allowance.Lease * (1 - reserves[level])
		if now.Sub(l.ContactAt) <= leaseAfter || allowance.Spent.Sum(now)+quantity > leased {
			return false
		}
	}
	allowance.Spent.Add(now, quantity)
	return true
}

// consume spends what was granted for the level, then what was granted for less urgent ones.
func (a *Allowance) consume(level int, quantity float64) bool {
	unspent := 0.0
	for _, granted := range a.Unspent[level:] {
		unspent += granted
	}
	if unspent < quantity {
		return false
	}
	for i := level; i < Levels && quantity > 0; i++ {
		part := min(quantity, a.Unspent[i])
		a.Unspent[i] -= part
		quantity -= part
	}
	return true
}

// MaxWait returns how long a request that is not covered may wait: for a grant, or until the daemon
// may spend from its lease.
func (l *Limiter) MaxWait(now clock.Instant) clock.Duration {
	sinceContact := now.Sub(l.ContactAt)
	switch {
	case l.ContactAt == 0:
		return firstContactWait
	case sinceContact > lateAfter && sinceContact < leaseAfter:
		return leaseAfter - sinceContact + grantWait/4
	}
	return grantWait
}

// SetRules includes all accounts with a quota in the reports, so that the daemon has their leases
// before they are required.
func (l *Limiter) SetRules(set *rules.Set) {
	for i := range set.Accounts {
		if set.Accounts[i].Rate > 0 {
			l.allowance(set.Accounts[i].Name)
		}
	}
}

// TakeReport returns what to report, and begins a new report. What is unlikely to be used soon is
// returned to the leader.
func (l *Limiter) TakeReport(now clock.Instant) []Use {
	var uses []Use
	for name, a := range l.Accounts {
		a.returnSurplus()
		uses = append(uses, Use{Account: name, Requested: a.Requested, Unspent: a.Unspent, Spent: a.Spent.Sum(now)})
		a.Requested = Amounts{}
	}
	return uses
}

// returnSurplus drops unspent grants that are unlikely to be used soon. The next report contains only
// the rest, so the leader can grant the difference again.
func (a *Allowance) returnSurplus() {
	for level := range a.Unspent {
		a.usualDemand[level] += usualDemandWeight * (a.Requested[level] - a.usualDemand[level])
		if a.scarce {
			a.Unspent[level] = 0
		}
		if keep := unspentReports * a.usualDemand[level]; a.Unspent[level] > keep && a.Requested[level] == 0 {
			a.Unspent[level] = max(keep, a.Unspent[level]/2)
		}
		if a.Unspent[level] < 1 {
			a.Unspent[level] = 0
		}
	}
}

// Restore adds the demand of a report that got no reply to the next report.
func (l *Limiter) Restore(account string, requested Amounts) {
	a := l.allowance(account)
	for level := range requested {
		a.Requested[level] += requested[level]
	}
}

// RetryAfter returns the time after which a refused quantity is likely to be granted.
func RetryAfter(a *rules.Account, quantity float64) clock.Duration {
	wait := clock.Duration(1000 * quantity / max(a.Rate, 1))
	return min(max(wait, 250*clock.Millisecond), 3*clock.Second)
}
