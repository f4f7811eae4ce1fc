package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"

	"swiftbeam/internal/quota"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/setup"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// spender is an entry daemon that spends as much as the leader grants it.
type spender struct {
	g       *cluster
	name    string
	boot    string
	limiter quota.Limiter
	// spent are the times at which requests were served.
	spent []time.Time
}

// exchange requests n requests of an account, reports to the leader and spends what it grants.
func (s *spender) exchange(account *rules.Account, n int) {
	for range n {
		s.limiter.RecordDemand(account, 0, 1)
	}
	m := &peerpb.TallyRequest{Name: s.name, Boot: s.boot}
	for _, u := range s.limiter.TakeReport(clock.FromTime(time.Now()), nil) {
		m.Uses = append(m.Uses, wire.UseToPB(&u))
	}
	for _, c := range s.g.cores {
		if c == nil {
			continue
		}
		response, err := c.Tally(s.g.t.Context(), connect.NewRequest(m))
		if err != nil || !response.Msg.GetLeads() {
			continue
		}
		var grants []quota.Grant
		for _, g := range response.Msg.GetGrants() {
			grants = append(grants, wire.GrantFromPB(g))
		}
		s.limiter.Receive(clock.FromTime(time.Now()), grants)
	}
	for range n {
		if s.limiter.Spend(clock.FromTime(time.Now()), account, 0, 1) {
			s.spent = append(s.spent, time.Now())
		}
	}
}

// TestNewLeaderCountsSpendingOfALostEntry guards against a quota that is granted again when the entry daemon that spent it is
// lost together with the leader.
func TestNewLeaderCountsSpendingOfALostEntry(t *testing.T) {
	const window = 3 * clock.Second
	g := newCluster(t, 3, func(s *setup.Node) { s.Quota = setup.Quota{Window: window, Overrun: 0.1} })
	account := rules.Account{Name: "a", Rate: 100, Burst: 100}
	g.putRules(1)
	for _, c := range g.cores {
		c.ruleSet.Store(&rules.Set{Version: 1, Accounts: []rules.Account{account}})
	}
	var entries []*spender
	for i := range 4 {
		s := &spender{g: g, name: fmt.Sprint("entry-", i), boot: "b", limiter: quota.Limiter{Window: window}}
		s.limiter.SetRules(&rules.Set{Accounts: []rules.Account{account}})
		entries = append(entries, s)
	}
	step := func(demand ...int) {
		for i, s := range entries {
			s.exchange(&account, demand[i])
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.leader()
	for began := time.Now(); time.Since(began) < (window + clock.Second).Std(); {
		step(0, 0, 0, 0)
	}
	// spend sends requests to the entry daemons until n were served.
	spend := func(n int, within time.Duration, demand ...int) bool {
		served := func() int {
			sum := 0
			for _, s := range entries {
				sum += len(s.spent)
			}
			return sum
		}
		first := served()
		for end := time.Now().Add(within); served()-first < n; {
			if time.Now().After(end) {
				return false
			}
			step(demand...)
		}
		return true
	}
	if !spend(300, 10*time.Second, 50, 0, 0, 0) {
		t.Fatalf("before the loss: got %d requests, want 300", len(entries[0].spent))
	}
	g.crash(g.leader(), false)
	spent := entries[0].spent
	entries = entries[1:]
	if !spend(500, 60*time.Second, 50, 50, 50) {
		t.Error("after the loss: got fewer than 500 requests in a minute")
	}
	for _, s := range entries {
		spent = append(spent, s.spent...)
	}
	slices.SortFunc(spent, time.Time.Compare)
	first, most := 0, 0
	for i, at := range spent {
		for at.Sub(spent[first]) > window.Std() {
			first++
		}
		most = max(most, i-first+1)
	}
	if allowed := 440; most > allowed {
		t.Errorf("got %d requests in a window, want at most %d", most, allowed)
	}
}
