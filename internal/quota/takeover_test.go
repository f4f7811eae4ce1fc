package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"swiftbeam/pkg/clock"
)

// site simulates entry daemons whose leader is lost with some of them.
type site struct {
	deployment
	random  *rand.Rand
	daemons []*daemonAt
	leads   bool
}

// daemonAt is an entry daemon: its run, when it works again and when it is in contact again, and its part of the requests.
type daemonAt struct {
	boot        int
	startedAt   clock.Instant
	downUntil   clock.Instant
	cutUntil    clock.Instant
	frozenUntil clock.Instant
	part        float64
}

func newSite(seed uint64, entries int) *site {
	s := &site{deployment: *newDeployment(entries), random: rand.New(rand.NewPCG(seed, 7)), leads: true}
	sum := 0.0
	for range entries {
		d := &daemonAt{part: s.random.ExpFloat64()}
		if s.random.IntN(4) == 0 {
			d.part *= 20
		}
		sum += d.part
		s.daemons = append(s.daemons, d)
	}
	for i, d := range s.daemons {
		d.part /= sum
		s.limiters[i].SetRules(s.set)
	}
	s.takeOver()
	s.allocator.StartedAt -= 60_000
	return s
}

// takeOver begins the leadership of another process.
func (s *site) takeOver() {
	s.leads = true
	s.allocator = Allocator{Bounds: s.allocator.Bounds, StartedAt: s.now, ExpectedDaemons: len(s.daemons)}
}

func (s *site) exchange(i int, since clock.Duration) {
	d, l := s.daemons[i], s.limiters[i]
	if !s.leads || s.now.Before(d.cutUntil) {
		return
	}
	report := Report{Run: fmt.Sprint(i, "/", d.boot), Uses: l.TakeReport(s.now, nil), SinceLast: since}
	if d.boot > 0 {
		report.SinceRestart = max(s.now.Sub(d.startedAt), 1)
	}
	grants := s.allocator.Grant(s.now, s.set, report)
	if len(grants) == 0 {
		for _, u := range report.Uses {
			l.Restore(u.Account, u.Requested)
		}
	}
	l.Receive(s.now, grants)
}

// step simulates 50 ms in which requests arrive at the given rate per second. It returns how many, and how many were served.
func (s *site) step(n int, rate float64) (sent, served int) {
	s.now += 50
	for i, d := range s.daemons {
		if s.now.Before(d.downUntil) || s.now.Before(d.frozenUntil) {
			continue
		}
		if d.downUntil > 0 {
			d.downUntil, d.startedAt = 0, s.now
			d.boot++
			*s.limiters[i] = Limiter{Window: 8 * clock.Second}
			s.limiters[i].SetRules(s.set)
		}
		if (n+i)%5 == 0 {
			s.exchange(i, 250)
		}
		for wanted := rate * d.part / 20; s.random.Float64() < wanted; wanted-- {
			sent++
			if s.request(s.limiters[i], 0, func() { s.exchange(i, 50) }) {
				served++
			}
		}
	}
	s.spent = append(s.spent, float64(served)*requestTokens)
	return sent, served
}

// TestNewLeadersCountSpendingOfLostDaemons guards against quotas that are granted again when entry daemons that spent them are
// killed, cut off or frozen together with one leader or with two in a row.
func TestNewLeadersCountSpendingOfLostDaemons(t *testing.T) {
	for seed := range uint64(200) {
		s := newSite(seed, 2+int(seed%9))
		changeAt := 200 + s.random.IntN(120)
		gap := 10 + s.random.IntN(20)
		second := changeAt + gap + 8 + s.random.IntN(100)
		if seed%3 > 0 {
			second = 10_000
		}
		for n := range 700 {
			if n == changeAt || n == second {
				s.leads = false
				s.lose()
			}
			if n == changeAt+gap || n == second+gap {
				s.takeOver()
			}
			rate := 3.0
			if n >= 160 && n < 600 {
				rate = 80
			}
			s.step(n, rate)
		}
		if got := s.maxBySteps(); got > allowed {
			t.Errorf("seed %d: got %.0f tokens in 8 s, want at most %.0f", seed, got, float64(allowed))
		}
	}
}

// lose kills, cuts off or freezes some daemons, the busiest first.
func (s *site) lose() {
	for _, d := range s.daemons {
		if d.part < 0.5 && s.random.IntN(3) > 0 {
			continue
		}
		until := s.now.Add(clock.Duration(200 + s.random.IntN(3000)))
		switch s.random.IntN(3) {
		case 0:
			d.downUntil = until
		case 1:
			d.cutUntil = until
		case 2:
			d.frozenUntil = until
		}
	}
}

// TestCalmChangeOfLeaderRefusesNothing uses 80 percent of a quota over changes of leaders in which no entry daemon is lost.
func TestCalmChangeOfLeaderRefusesNothing(t *testing.T) {
	sent, refused := 0, 0
	for seed := range uint64(20) {
		s := newSite(seed, 9)
		for n := range 600 {
			if n == 300 || n == 400 {
				s.takeOver()
			}
			got, served := s.step(n, 0.8*145_000/requestTokens)
			// Requests wait while a new leader collects reports.
			if n < 200 || n >= 300 && n < 310 || n >= 400 && n < 410 {
				continue
			}
			sent += got
			refused += got - served
		}
	}
	if refused > sent/100 {
		t.Errorf("got %d of %d requests refused, want at most a hundredth", refused, sent)
	}
}

// checkQuota plays 60 seeds in which many requests come from step 205 on, while disturb changes the busy daemons at each step.
func checkQuota(t *testing.T, disturb func(s *site, n int, busy *daemonAt)) {
	t.Helper()
	for seed := range uint64(60) {
		s := newSite(seed, 2+int(seed%9))
		for n := range 700 {
			for _, d := range s.daemons {
				if d.part > 0.1 {
					disturb(s, n, d)
				}
			}
			rate := 3.0
			if n >= 205 {
				rate = 80
			}
			s.step(n, rate)
		}
		if got := s.maxBySteps(); got > allowed {
			t.Errorf("seed %d: got %.0f tokens in 8 s, want at most %.0f", seed, got, float64(allowed))
		}
	}
}

// TestLeasesOfKilledDaemonsCountAsSpent guards against quotas that are granted again when entry daemons that were cut off, and
// spent their leases, are killed.
func TestLeasesOfKilledDaemonsCountAsSpent(t *testing.T) {
	checkQuota(t, func(s *site, n int, busy *daemonAt) {
		switch n {
		case 200:
			busy.cutUntil = s.now.Add(2 * clock.Second)
		case 240:
			busy.downUntil = s.now.Add(clock.Second)
		}
	})
}

// TestQuotaHoldsInLongCuts guards against leases that are granted to others while daemons that are cut off for longer than a
// window spend them.
func TestQuotaHoldsInLongCuts(t *testing.T) {
	checkQuota(t, func(s *site, n int, busy *daemonAt) {
		if n == 200 {
			busy.cutUntil = s.now.Add(15 * clock.Second)
		}
	})
}
