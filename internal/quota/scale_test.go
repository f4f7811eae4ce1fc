package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"swiftbeam/internal/rules"
	"swiftbeam/pkg/clock"
)

const manyDaemons = 300

// TestHotAccountAtManyDaemons simulates 40 accounts at 300 daemons, one of which sends six times its
// quota. Prompts differ by a factor of a hundred, and each daemon receives four requests a second.
func TestHotAccountAtManyDaemons(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	set := &rules.Set{}
	for i := range 40 {
		rate := 1_500_000 / float64(i+1)
		set.Accounts = append(set.Accounts, rules.Account{Name: fmt.Sprint("a", i), Rate: rate, Burst: rate, ByTokens: true})
	}
	bounds := Bounds{Window: 8 * clock.Second, Overrun: 0.1, Slack: 140_000}
	now := clock.Instant(1_000_000)
	allocator := Allocator{Bounds: bounds, StartedAt: now - 60_000, ExpectedDaemons: manyDaemons}
	limiters := make([]*Limiter, manyDaemons)
	for i := range limiters {
		limiters[i] = &Limiter{Entries: manyDaemons, Window: bounds.Window}
		limiters[i].SetRules(set)
	}
	const hot = 5
	type counts struct{ requests, served int }
	var usual counts
	spent := make([][]float64, 40)
	const steps = 2000
	for step := range steps {
		now += 10
		for i := range spent {
			spent[i] = append(spent[i], 0)
		}
		for i := step % 25; i < manyDaemons; i += 25 {
			report := Report{Run: fmt.Sprint(i, "/b"), Uses: limiters[i].TakeReport(now, nil), SinceLast: 250}
			limiters[i].Receive(now, allocator.Grant(now, set, report))
		}
		for account := range set.Accounts {
			a := &set.Accounts[account]
			demand := 0.5 * a.Rate
			if account == hot && step > 400 {
				demand = 6 * a.Rate
			}
			for tokens := demand / 100; tokens > 0; {
				size := 400 + 16_000*random.ExpFloat64()
				if random.Float64() > tokens/size {
					break
				}
				tokens -= size
				i := random.IntN(manyDaemons)
				l := limiters[i]
				l.RecordDemand(a, 1, size)
				ok := l.Spend(now, a, 1, size)
				if !ok {
					report := Report{Run: fmt.Sprint(i, "/b"), Uses: l.TakeReport(now, map[string]bool{a.Name: true})}
					l.Receive(now, allocator.Grant(now, set, report))
					ok = l.Spend(now, a, 1, size)
				}
				if ok {
					spent[account][step] += size
				}
				if account != hot {
					usual.requests++
					if ok {
						usual.served++
					}
				}
			}
		}
	}
	const window = 800
	most := func(account int) float64 {
		highest, sum := 0.0, 0.0
		for i, s := range spent[account] {
			sum += s
			if i >= window {
				sum -= spent[account][i-window]
			}
			highest = max(highest, sum)
		}
		return highest
	}
	for i := range set.Accounts {
		a := &set.Accounts[i]
		if got, want := most(i), (a.Rate*8+a.Burst)*1.1+140_000; got > want {
			t.Errorf("%s: got %.0f tokens in 8 s, want at most %.0f", a.Name, got, want)
		}
	}
	last := 0.0
	for _, s := range spent[hot][steps-window:] {
		last += s
	}
	if want := 0.9 * (set.Accounts[hot].Rate*8 + set.Accounts[hot].Burst); last < want {
		t.Errorf("hot account: got %.0f tokens served in 8 s, want at least %.0f", last, want)
	}
	if usual.served < usual.requests {
		t.Errorf("accounts within their quotas: got %d of %d requests served, want all", usual.served, usual.requests)
	}
}

// BenchmarkGrant measures a report with 40 accounts by the number of daemons.
func BenchmarkGrant(b *testing.B) {
	for _, daemons := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			set := &rules.Set{}
			var uses []Use
			for i := range 40 {
				a := rules.Account{Name: fmt.Sprint("a", i), Rate: 1e6, Burst: 1e6, ByTokens: true}
				set.Accounts = append(set.Accounts, a)
				uses = append(uses, Use{Account: a.Name, Requested: Amounts{0, 12_000, 0}})
			}
			allocator := Allocator{Bounds: Bounds{Window: 8 * clock.Second, Overrun: 0.1}, ExpectedDaemons: daemons}
			for i := range b.N {
				now := 1_000_000 + clock.Instant(250*i/daemons)
				allocator.Grant(now, set, Report{Run: fmt.Sprint(i%daemons, "/b"), Uses: uses, SinceLast: 250})
			}
		})
	}
}
