package quota

import (
	"swiftbeam/internal/rules"
	"swiftbeam/internal/window"
	"swiftbeam/pkg/clock"
)

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
	Total     float64
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
	allowance.Total += quantity
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

// NextCheck returns how long a request that is not covered waits for a grant before it tries to spend
// again: until the daemon may spend from its lease, or until the outage of the leader has lasted too long
// to wait for its end. A reply of the leader ends the wait sooner.
func (l *Limiter) NextCheck(now clock.Instant) clock.Duration {
	sinceContact := now.Sub(l.ContactAt)
	switch {
	case l.ContactAt == 0:
		return outageWait
	case sinceContact < leaseAfter:
		return leaseAfter - sinceContact + leaseMargin
	}
	return max(min(outageWait, maxOutage-sinceContact), grantWait)
}

// InLongOutage reports whether the leader has not replied for so long that requests do not wait for it.
func (l *Limiter) InLongOutage(now clock.Instant) bool {
	return l.ContactAt > 0 && now.Sub(l.ContactAt) >= maxOutage
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
// returned to the leader. If accounts is not empty, the report contains only those.
func (l *Limiter) TakeReport(now clock.Instant, accounts map[string]bool) []Use {
	var uses []Use
	for name, a := range l.Accounts {
		if len(accounts) > 0 && !accounts[name] {
			continue
		}
		a.returnSurplus()
		uses = append(uses, Use{Account: name, Requested: a.Requested, Unspent: a.Unspent, Spent: a.Spent.Sum(now), Total: a.Total, Lease: a.Lease})
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
