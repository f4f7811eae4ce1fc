// Package quota enforces the quotas of client accounts across all entry daemons. In any window an
// account may spend its rate times the window, plus its burst. The leader of the core has one
// Allocator, which grants parts of what is unspent; an entry daemon has a Limiter, which spends its
// grants locally:
//
//	report := quota.Report{Run: "entry-1/boot", Uses: limiter.TakeReport(now, nil)}
//	grants := allocator.Grant(now, set, report)  // on the leader
//	limiter.Receive(now, grants)                 // on the entry daemon
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
	"swiftbeam/internal/rules"
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
	// aheadFraction is the part of the remaining limit that all daemons together may be granted ahead of
	// demand.
	aheadFraction = 0.5
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
	// leaseMargin is the time after leaseAfter at which a waiting request tries its lease.
	leaseMargin = 25 * clock.Millisecond
	// outageWait is how long a request waits while the leader does not reply: an election, and the time
	// in which the new leader collects reports. maxOutage is the duration of an outage from which on no
	// request waits for its end; it then waits for grantWait only.
	outageWait = 1500 * clock.Millisecond
	maxOutage  = 3 * clock.Second
	grantWait  = 100 * clock.Millisecond
	// collectTime is how long a new leader collects reports before it grants.
	collectTime = 350 * clock.Millisecond
	// unreportedFactor bounds what a run that has not reported to a new leader is assumed to have spent, as
	// a multiple of the limit divided by the number of daemons. Within that it is unreportedOthers times
	// the average of the other daemons, at least unreportedMinimum.
	unreportedFactor  = 1.25
	unreportedOthers  = 2.0
	unreportedMinimum = 0.5
	// earlySpending allows for earlier runs that spent more at the end of the window than at its start.
	earlySpending = 1.33
	// unknownInterval is how often the assumed spending of earlier runs is computed anew.
	unknownInterval = 100 * clock.Millisecond
	// leaseFraction is the part of the remaining limit that is leased; the rest is available for grants
	// to other daemons until the next reports.
	leaseFraction = 0.5
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
	// Total is what was spent since the daemon started.
	Total float64
	// Lease is the lease that the daemon has now. It differs from the last one that the leader sent if
	// the reply was lost.
	Lease float64
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

// MaxWait returns how long a request may wait in total for a leader that does not reply, given the time
// that its caller waits.
func MaxWait(remaining clock.Duration) clock.Duration { return min(outageWait, remaining/3) }

// RetryAfter returns the time after which a refused quantity is likely to be granted.
func RetryAfter(a *rules.Account, quantity float64) clock.Duration {
	wait := clock.Duration(1000 * quantity / max(a.Rate, 1))
	return min(max(wait, 250*clock.Millisecond), 3*clock.Second)
}
