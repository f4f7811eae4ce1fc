package turns

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"swiftbeam/pkg/clock"
)

// coldWorld is a number of entry daemons before servers of which some turn cold. Daemons learn of it at different times,
// their clocks differ, and requests take different times to arrive.
type coldWorld struct {
	random  *rand.Rand
	daemons []*Limiter
	skew    []clock.Duration
	// learnsAt is when each daemon learns that the servers are cold.
	learnsAt []clock.Instant
	// ranked is when each daemon next learns its rank; after cutAt, those of cut learn nothing more.
	ranked []clock.Instant
	cut    int
	cutAt  clock.Instant
	// restarted daemons lose what they know at restartAt.
	restarted int
	restartAt clock.Instant
	// arrivals are the times at which requests reach each cold server.
	arrivals [][]clock.Instant
	// sent and refused count the requests while servers are cold.
	sent, refused int
}

const (
	coldServers  = 15
	coldFrom     = clock.Instant(1_002_000)
	coldTime     = 3 * clock.Second
	coldFeedTime = 150
	coldTransit  = 60
)

// play sends requests at a rate. Each goes to a cold server that its daemon may use, as these are empty, otherwise to one
// of the warm servers, if there are any.
func (w *coldWorld) play(perSecond, rate float64, burst Burst, warm, bounded bool) {
	w.arrivals = make([][]clock.Instant, coldServers)
	until := coldFrom.Add(coldTime)
	restarted := false
	for now := coldFrom - 500; now < until; now++ {
		if !restarted && w.restarted > 0 && now >= w.restartAt {
			restarted = true
			for i := range w.restarted {
				w.daemons[i], w.learnsAt[i], w.ranked[i] = &Limiter{}, now, now.Add(clock.Duration(100+w.random.IntN(300)))
			}
		}
		for i, d := range w.daemons {
			local := now.Add(w.skew[i])
			if now == w.learnsAt[i] && bounded {
				for s := range coldServers {
					d.Observe(Limit{
						Server: fmt.Sprint("i-", s), Limited: true, PerSecond: perSecond, Until: until, Carried: burst.Carried(perSecond), ObservedAt: local,
					})
				}
			}
			if now >= w.ranked[i] && (w.cutAt == 0 || now < w.cutAt || i >= w.cut) {
				member := Member{Rank: i, Count: len(w.daemons)}
				if w.cutAt > 0 && now >= w.cutAt.Add(2000) {
					member = Member{Rank: i - w.cut, Count: len(w.daemons) - w.cut}
				}
				d.Join(local, member)
				w.ranked[i] = now.Add(reportInterval)
			}
		}
		for range w.count(rate) {
			w.request(now, warm)
		}
	}
}

func (w *coldWorld) count(rate float64) int {
	n := int(rate / 1000)
	if w.random.Float64() < rate/1000-float64(n) {
		n++
	}
	return n
}

func (w *coldWorld) request(now clock.Instant, warm bool) {
	i := w.random.IntN(len(w.daemons))
	if now < w.learnsAt[i] {
		// The servers that return are not known yet.
		return
	}
	local := now.Add(w.skew[i])
	w.sent++
	for _, s := range w.random.Perm(coldServers) {
		server := fmt.Sprint("i-", s)
		if w.daemons[i].Allows(local, server) {
			w.daemons[i].Take(local, server)
			w.arrivals[s] = append(w.arrivals[s], now.Add(clock.Duration(1+w.random.IntN(coldTransit))))
			return
		}
	}
	if !warm {
		w.refused++
	}
}

// most returns the largest number of requests that reached a server within a second.
func (w *coldWorld) most() int {
	most := 0
	for _, list := range w.arrivals {
		slices.Sort(list)
		first := 0
		for last, at := range list {
			for at.Sub(list[first]) >= clock.Second {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return most
}

func newColdWorld(daemons int, seed uint64) *coldWorld {
	w := &coldWorld{random: rand.New(rand.NewPCG(seed, uint64(daemons)))}
	for range daemons {
		w.daemons = append(w.daemons, &Limiter{})
		w.skew = append(w.skew, clock.Duration(w.random.IntN(2*maxSkew+1)-maxSkew))
		w.learnsAt = append(w.learnsAt, coldFrom.Add(clock.Duration(w.random.IntN(coldFeedTime))))
		w.ranked = append(w.ranked, coldFrom.Add(clock.Duration(-500+w.random.IntN(int(reportInterval)))))
	}
	return w
}

// TestColdServersReturnUnderLoad plays a zone whose servers return cold while many requests want them, with daemons that
// restart or are cut off meanwhile. In no second may a server get more than it tolerates, where without turns it would, and
// callers that have no other servers are still served at half of the rate at least that the servers tolerate.
func TestColdServersReturnUnderLoad(t *testing.T) {
	burst := Burst{Overrun: 1.5, Slack: 5}
	tests := []struct {
		name      string
		daemons   int
		perSecond float64
		rate      float64
		restarted int
		cut       int
	}{
		{name: "all connected", daemons: 82, perSecond: 10, rate: 1500},
		{name: "few daemons", daemons: 3, perSecond: 10, rate: 1500},
		{name: "hundreds of daemons", daemons: 390, perSecond: 10, rate: 3000},
		{name: "half restarted", daemons: 82, perSecond: 10, rate: 1500, restarted: 41},
		{name: "a third cut off", daemons: 82, perSecond: 10, rate: 1500, cut: 27},
		{name: "low rate", daemons: 82, perSecond: 1, rate: 600},
		{name: "high rate", daemons: 82, perSecond: 60, rate: 4000},
	}
	for _, test := range tests {
		allowed := burst.Overrun*test.perSecond + burst.Slack
		for seed := range uint64(3) {
			w := newColdWorld(test.daemons, seed)
			w.restarted, w.cut = test.restarted, test.cut
			if test.restarted > 0 {
				w.restartAt = coldFrom.Add(1000)
			}
			if test.cut > 0 {
				w.cutAt = coldFrom - 100
			}
			w.play(test.perSecond, test.rate, burst, false, true)
			if got := w.most(); float64(got) > allowed {
				t.Errorf("%s, seed %d: got %d requests in a second, want at most %v", test.name, seed, got, allowed)
			}
			least := 0.5 * min(test.rate, coldServers*test.perSecond) * coldTime.Std().Seconds() * 0.9
			if got := float64(w.sent - w.refused); got < least {
				t.Errorf("%s, seed %d: got %v requests served, want at least %v", test.name, seed, got, least)
			}
		}
		w := newColdWorld(test.daemons, 0)
		w.play(test.perSecond, test.rate, burst, false, false)
		if got := w.most(); float64(got) <= allowed {
			t.Errorf("%s without turns: got %d requests in a second, want more than %v", test.name, got, allowed)
		}
	}
}

// TestTurnsOfColdServersEnd checks that a limit with an end needs no message to end, that a turn may only be used for its
// time, and that a request whose server turns cold while it connects needs a turn.
func TestTurnsOfColdServersEnd(t *testing.T) {
	m := &Limiter{}
	m.Join(1000, Member{Rank: 0, Count: 1})
	m.Observe(Limit{Server: "i-7", Limited: true, PerSecond: 1, Carried: 1, Until: 5000, ObservedAt: 1000})
	if got := m.MaySend(1500, "i-7", 0); !got {
		t.Errorf("a request without a turn, where there is one: got %v, want true", got)
	}
	if got := m.MaySend(1600, "i-7", 0); got {
		t.Errorf("a second request in the same turn: got %v, want false", got)
	}
	until := m.Take(2000, "i-7")
	if got := m.MaySend(until, "i-7", until); !got {
		t.Errorf("within the turn: got %v, want true", got)
	}
	if got, want := m.Wait(4200, "i-7"), clock.Duration(0); got != want {
		t.Errorf("wait in a free turn: got %v, want %v", got, want)
	}
	m.Take(4200, "i-7")
	if got, want := m.Wait(4300, "i-7"), clock.Duration(700); got != want {
		t.Errorf("wait: got %v, want %v", got, want)
	}
	if got := m.Allows(5000, "i-7"); !got {
		t.Errorf("after the end: got %v, want true", got)
	}
	if got := m.Expire(5000); len(got) != 1 || m.Len() != 0 {
		t.Errorf("ended: got %v with %d left, want one with none left", got, m.Len())
	}
}
