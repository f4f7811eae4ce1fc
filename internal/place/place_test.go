package place

import (
	"fmt"
	"testing"

	"swiftbeam/pkg/clock"
)

func service(n int) *Service {
	s := &Service{Name: "engine", Engine: true, Costs: EngineCosts}
	for i := range n {
		s.Add(&Server{ID: fmt.Sprintf("i-%d", i), Zone: "z", Slots: 64})
	}
	return s
}

// prompt returns a prompt of a session. Its last part belongs to the request alone.
func prompt(session, request, tokens int) []Part {
	return []Part{{"common", 500}, {fmt.Sprintf("session-%d", session), 4800}, {fmt.Sprintf("own-%d", request), tokens}}
}

// simulatedEngines prefills the prompts of each server one after the other and tracks which parts are
// cached.
type simulatedEngines struct {
	free      map[string]float64
	cached    map[string]map[string]bool
	prefilled int
	waits     []float64
}

func (e *simulatedEngines) send(now float64, server *Server, parts []Part) float64 {
	if e.free == nil {
		e.free, e.cached = map[string]float64{}, map[string]map[string]bool{}
	}
	if e.cached[server.ID] == nil {
		e.cached[server.ID] = map[string]bool{}
	}
	path, uncached := "", 0
	for _, p := range parts {
		path += "/" + p.ID
		if !e.cached[server.ID][path] {
			uncached += p.Tokens
			e.cached[server.ID][path] = true
		}
	}
	e.prefilled += uncached
	start := max(now, e.free[server.ID])
	e.free[server.ID] = start + float64(uncached)/50
	wait := e.free[server.ID] - now
	e.waits = append(e.waits, wait)
	return wait
}

// simulate sends prompts of 60 sessions at a fixed rate to the servers that choose returns. It
// returns the number of prefilled tokens and the mean wait in milliseconds.
func simulate(choose func(s *Service, q *Query) Choice) (prefilled int, mean float64) {
	s := service(8)
	engines := &simulatedEngines{}
	type running struct {
		assignment *Assignment
		first      float64
		end        float64
	}
	var inFlight []running
	for i := range 2000 {
		now := float64(i) * 40
		var rest []running
		for _, r := range inFlight {
			if r.first <= now {
				s.FirstResponse(r.assignment)
			}
			if r.end <= now {
				s.Finish(clock.Instant(now), r.assignment, Completed)
			} else {
				rest = append(rest, r)
			}
		}
		inFlight = rest
		parts := prompt(i*7%60, i, 500+i*37%3000)
		total := 0
		for _, p := range parts {
			total += p.Tokens
		}
		q := &Query{Now: clock.Instant(now), Zone: "z", Tokens: total, Parts: parts, Draw: uint64(i) * 0x9e3779b97f4a7c15}
		c := choose(s, q)
		wait := engines.send(now, c.Server, parts)
		inFlight = append(inFlight, running{s.Start(clock.Instant(now), c, q), now + wait, now + wait + 1500})
	}
	for _, w := range engines.waits {
		mean += w
	}
	return engines.prefilled, mean / float64(len(engines.waits))
}

// TestPrefixAffinityReducesPrefill compares Choose with a random choice: it prefills fewer tokens and
// has shorter waits.
func TestPrefixAffinityReducesPrefill(t *testing.T) {
	prefilled, wait := simulate(func(s *Service, q *Query) Choice { return s.Choose(q) })
	randomPrefilled, randomWait := simulate(func(s *Service, q *Query) Choice {
		return Choice{Server: s.Servers[q.Draw>>7%uint64(len(s.Servers))]}
	})
	if prefilled > randomPrefilled*8/10 {
		t.Errorf("got %d tokens prefilled, want at most 80%% of the %d of random choice", prefilled, randomPrefilled)
	}
	if wait > randomWait*9/10 {
		t.Errorf("got a mean wait of %.0f ms, want at most 90%% of the %.0f ms of random choice", wait, randomWait)
	}
}

// TestPopularPromptSpreads sends the prompts of one session faster than one server can prefill them.
func TestPopularPromptSpreads(t *testing.T) {
	s := service(4)
	used := map[string]int{}
	for i := range 40 {
		q := &Query{Now: 1000, Zone: "z", Tokens: 15_300, Parts: prompt(1, i, 10_000), Draw: uint64(i)}
		c := s.Choose(q)
		used[c.Server.ID]++
		s.Start(1000, c, q)
	}
	for id, n := range used {
		if n > 20 {
			t.Errorf("got %d of 40 requests at %s, want at most half", n, id)
		}
	}
}

// TestFailingServerIsEjected fails all requests at one of four servers. That server must receive at most
// 20 of 400 requests while it fails, and at least 100 of 2000 after it recovers.
func TestFailingServerIsEjected(t *testing.T) {
	s := service(4)
	failing := s.Servers[0]
	now := clock.Instant(1000)
	sent := 0
	for i := range 400 {
		now += 20
		q := &Query{Now: now, Zone: "z", Tokens: 800, Draw: uint64(i) * 77}
		c := s.Choose(q)
		a := s.Start(now, c, q)
		if c.Server == failing {
			sent++
		}
		result := Completed
		if c.Server == failing {
			result = Failed
		}
		s.Finish(now, a, result)
	}
	if sent > 20 {
		t.Errorf("got %d of 400 requests at the failing server, want at most 20", sent)
	}
	recovered := 0
	for i := range 2000 {
		now += 20
		q := &Query{Now: now, Zone: "z", Tokens: 800, Draw: uint64(i) * 77}
		c := s.Choose(q)
		if c.Server == failing {
			recovered++
		}
		s.Finish(now, s.Start(now, c, q), Completed)
	}
	if recovered < 100 {
		t.Errorf("got %d of 2000 requests at the recovered server, want at least 100", recovered)
	}
}

// TestEjectedServersAreUsedWhenAllFail checks that a request gets a server when all are unreachable.
func TestEjectedServersAreUsedWhenAllFail(t *testing.T) {
	s := service(3)
	for _, server := range s.Servers {
		server.Unreachable(1000)
	}
	if c := s.Choose(&Query{Now: 1001, Zone: "z", Tokens: 10}); c.Server == nil {
		t.Error("got no server, want any")
	}
}

// TestFewSoundServersAreUsedUntilTheyAreFull checks a service most of whose servers cannot be connected to: requests go
// to the others while these have free slots, and to all of them after that.
func TestFewSoundServersAreUsedUntilTheyAreFull(t *testing.T) {
	s := service(10)
	for _, server := range s.Servers[:7] {
		server.Unreachable(1000)
	}
	slots := 0
	for _, server := range s.Servers[7:] {
		slots += server.Slots
	}
	for i := range slots {
		q := &Query{Now: 1100, Zone: "z", Tokens: 10, Draw: uint64(i) * 7919}
		c := s.Choose(q)
		if c.Server.EjectedUntil > 0 {
			t.Fatalf("request %d of %d: got %s, which cannot be connected to", i, slots, c.Server.ID)
		}
		s.Start(1100, c, q)
	}
	if c := s.Choose(&Query{Now: 1100, Zone: "z", Tokens: 10}); c.Server == nil {
		t.Error("request beyond the free slots: got no server, want any")
	}
}

// TestUnsentRequestsProveNothing checks that attempts which did not reach their server neither count as service time
// nor admit an ejected server again.
func TestUnsentRequestsProveNothing(t *testing.T) {
	s := service(3)
	before := s.Costs.ServiceTime
	unreachable := s.Servers[0]
	for now := clock.Instant(1000); now < 20_000; now += 900 {
		q := &Query{Now: now, Zone: "z", Tokens: 10, Avoid: []string{s.Servers[1].ID, s.Servers[2].ID}}
		c := s.Choose(q)
		if c.Server != unreachable {
			continue
		}
		a := s.Start(now, c, q)
		unreachable.Unreachable(now + 800)
		s.Finish(now+800, a, Inconclusive)
		if got := unreachable.EjectedUntil; got <= now+800 {
			t.Fatalf("end of the ejection after a failed probe at %d: got %d, want a later time", now+800, got)
		}
	}
	if got := s.Costs.ServiceTime; got != before {
		t.Errorf("service time after attempts that were not sent: got %.0f ms, want %.0f", got, before)
	}
	if got, want := unreachable.EjectedUntil, clock.Instant(20_000); got < want {
		t.Errorf("end of the ejection after failed probes: got %d, want at least %d, as each doubles it", got, want)
	}
}

// TestBarredVersionGetsNothing checks that a version that the query excludes receives no requests.
func TestBarredVersionGetsNothing(t *testing.T) {
	s := service(4)
	s.Servers[0].Version, s.Servers[1].Version = "v2", "v2"
	for i := range 100 {
		q := &Query{Now: 1000, Zone: "z", Tokens: 1000, Draw: uint64(i), Versions: func(v string) bool { return v != "v2" }}
		c := s.Choose(q)
		if c.Server.Version == "v2" {
			t.Fatalf("got %s of the excluded version", c.Server.ID)
		}
		s.Start(1000, c, q)
	}
}

// TestRemoteLoadCounts checks that the load from other daemons' requests counts: a server that they have
// loaded is not chosen.
func TestRemoteLoadCounts(t *testing.T) {
	s := service(2)
	s.Servers[0].Remote = Load{Requests: 20, Prefill: 50_000}
	for i := range 20 {
		if c := s.Choose(&Query{Now: 1000, Zone: "z", Tokens: 1000, Draw: uint64(i)}); c.Server != s.Servers[1] {
			t.Fatalf("got %s, want the idle server", c.Server.ID)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{9, 90, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := service(n)
			b.ReportAllocs()
			for i := range b.N {
				q := &Query{Now: 1000, Zone: "z", Tokens: 12_000, Parts: prompt(i%100, i, 6000), Draw: uint64(i)}
				c := s.Choose(q)
				s.Finish(1000, s.Start(1000, c, q), Completed)
			}
		})
	}
}
