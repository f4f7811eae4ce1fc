// Package quota holds the requests of client accounts to their quotas over all entry daemons. The
// leader of the core owns one bucket an account and grants parts of it; an entry daemon spends
// what it was granted without asking:
//
//	grants := bank.Grant(now, "entry-1", uses)     // at the leader, for each report
//	purse.Receive(grants)                          // at the entry daemon
//	retryAfter, ok := purse.Spend(now, account, tokens)
//
// The load that it answers: an account that sends many times its quota through all daemons at
// once, with requests whose sizes differ a hundredfold, next to accounts within their quotas.
package quota

import (
	"swiftbeam/internal/rules"
	"swiftbeam/pkg/clock"
)

// Bounds tell how far a quota may be exceeded in a window.
type Bounds struct {
	Window  clock.Duration
	Overrun float64
	Slack   float64
}

const (
	// slackPart is the part of the allowed excess that is granted; the rest covers requests that
	// wait between their grant and their start.
	slackPart = 0.7
	// floorPart is the part of the rate that all entry daemons together may spend without a
	// leader.
	floorPart = 0.1
	// grantAhead is the time for which a daemon is granted what its callers ask for.
	grantAhead = 600 * clock.Millisecond
)

// Bucket is the state of one account at the leader.
type Bucket struct {
	Level float64
	At    clock.Instant
}

// Bank is the state of all accounts at the leader. Its owner serialises the calls.
type Bank struct {
	Bounds  Bounds
	Buckets map[string]*Bucket
}

// Use is what an entry daemon reports of an account.
type Use struct {
	Account string
	// Wanted is what callers asked for since the last report, Every the time since then.
	Wanted float64
	// Held is what is left of earlier grants.
	Held float64
}

// Grant is a part of a quota for one entry daemon.
type Grant struct {
	Account  string
	Quantity float64
}

// limits returns the rate per millisecond and the size of an account's bucket.
func limits(b Bounds, a *rules.Account) (rate, size float64) {
	rate = a.Rate * (1 + b.Overrun) * (1 - floorPart) / 1000
	slack := 0.0
	if a.ByTokens {
		slack = b.Slack
	}
	size = a.Burst*(1+b.Overrun) + slackPart*slack
	return rate, size
}

// Grant returns what an entry daemon may spend, given its uses since its last report.
func (b *Bank) Grant(now clock.Instant, set *rules.Set, uses []Use, every clock.Duration) []Grant {
	if b.Buckets == nil {
		b.Buckets = make(map[string]*Bucket)
	}
	var grants []Grant
	for _, u := range uses {
		a := set.Account(u.Account)
		if a == nil || a.Rate <= 0 {
			continue
		}
		rate, size := limits(b.Bounds, a)
		bucket := b.Buckets[a.Name]
		if bucket == nil {
			// A new leader does not know what was granted just before.
			bucket = &Bucket{Level: size / 2, At: now}
			b.Buckets[a.Name] = bucket
		}
		bucket.Level = min(size, bucket.Level+rate*float64(max(now.Sub(bucket.At), 0)))
		bucket.At = now
		ahead := u.Wanted * max(1, float64(grantAhead)/float64(max(every, 50)))
		quantity := min(ahead-u.Held, bucket.Level)
		if quantity <= 0 {
			continue
		}
		bucket.Level -= quantity
		grants = append(grants, Grant{Account: a.Name, Quantity: quantity})
	}
	return grants
}

// Purse is what one entry daemon may spend. Its owner serialises the calls.
type Purse struct {
	// Entries is the number of entry daemons.
	Entries  int
	Accounts map[string]*Allowance
}

// Allowance is what is left for one account.
type Allowance struct {
	Held   float64
	Wanted float64
	at     clock.Instant
}

// Receive adds grants.
func (p *Purse) Receive(grants []Grant) {
	for _, g := range grants {
		p.allowance(g.Account).Held += g.Quantity
	}
}

func (p *Purse) allowance(account string) *Allowance {
	if p.Accounts == nil {
		p.Accounts = make(map[string]*Allowance)
	}
	a := p.Accounts[account]
	if a == nil {
		a = &Allowance{}
		p.Accounts[account] = a
	}
	return a
}

// Want notes that a caller asked for a quantity.
func (p *Purse) Want(a *rules.Account, quantity float64) { p.allowance(a.Name).Wanted += quantity }

// Spend takes a quantity. It reports false when what is left does not cover it.
func (p *Purse) Spend(now clock.Instant, a *rules.Account, quantity float64) bool {
	if a.Rate <= 0 {
		return true
	}
	left := p.allowance(a.Name)
	// Without a leader each daemon goes on with its part of a floor.
	floor := a.Rate * floorPart / float64(max(p.Entries, 1)) / 1000
	if left.at > 0 {
		left.Held += floor * float64(max(now.Sub(left.at), 0))
	}
	left.at = now
	left.Held = min(left.Held, a.Burst+a.Rate)
	if left.Held < quantity {
		return false
	}
	left.Held -= quantity
	return true
}

// Uses returns what to report, and begins a new report.
func (p *Purse) Uses() []Use {
	var uses []Use
	for name, a := range p.Accounts {
		if a.Wanted > 0 {
			uses = append(uses, Use{Account: name, Wanted: a.Wanted, Held: a.Held})
			a.Wanted = 0
		}
	}
	return uses
}

// Restore keeps what a report asked for that was not answered.
func (p *Purse) Restore(account string, wanted float64) { p.allowance(account).Wanted += wanted }

// RetryAfter returns when a refused quantity is likely to be granted.
func RetryAfter(a *rules.Account, quantity float64) clock.Duration {
	wait := clock.Duration(1000 * quantity / max(a.Rate, 1))
	return min(max(wait, 250*clock.Millisecond), 3*clock.Second)
}
