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

// prompt is a prompt of a session whose last part belongs to the request alone.
func prompt(session, request, tokens int) []Part {
	return []Part{{"common", 500}, {fmt.Sprintf("session-%d", session), 4800}, {fmt.Sprintf("own-%d", request), tokens}}
}

// engineWorld reads prompts one after the other at each server and knows which parts are cached.
type engineWorld struct {
	free   map[string]float64
	cached map[string]map[string]bool
	read   int
	waits  []float64
}

func (e *engineWorld) send(now float64, server *Server, parts []Part) float64 {
	if e.free == nil {
		e.free, e.cached = map[string]float64{}, map[string]map[string]bool{}
	}
	if e.cached[server.ID] == nil {
		e.cached[server.ID] = map[string]bool{}
	}
	path, unread := "", 0
	for _, p := range parts {
		path += "/" + p.ID
		if !e.cached[server.ID][path] {
			unread += p.Tokens
			e.cached[server.ID][path] = true
		}
	}
	e.read += unread
	start := max(now, e.free[server.ID])
	e.free[server.ID] = start + float64(unread)/50
	wait := e.free[server.ID] - now
	e.waits = append(e.waits, wait)
	return wait
}

// play sends sessions' prompts at a pace to servers that choose picks, and returns the tokens read
// and the mean wait.
func play(choose func(s *Service, q *Query) Choice) (read int, mean float64) {
	s := service(8)
	world := &engineWorld{}
	type running struct {
		flight *Assignment
		first  float64
		end    float64
	}
	var inFlight []running
	for i := range 2000 {
		now := float64(i) * 40
		var rest []running
		for _, r := range inFlight {
			if r.first <= now {
				s.FirstResponse(r.flight)
			}
			if r.end <= now {
				s.Finish(clock.Instant(now), r.flight, false)
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
		wait := world.send(now, c.Server, parts)
		inFlight = append(inFlight, running{s.Start(clock.Instant(now), c, q), now + wait, now + wait + 1500})
	}
	for _, w := range world.waits {
		mean += w
	}
	return world.read, mean / float64(len(world.waits))
}

// TestAffinityReadsLess compares with random choice: fewer tokens read, shorter waits.
func TestAffinityReadsLess(t *testing.T) {
	read, wait := play(func(s *Service, q *Query) Choice { return s.Choose(q) })
	turnRead, turnWait := play(func(s *Service, q *Query) Choice {
		return Choice{Server: s.Servers[q.Draw>>7%uint64(len(s.Servers))]}
	})
	if read > turnRead*8/10 {
		t.Errorf("got %d tokens read, want at most 80%% of the %d of random choice", read, turnRead)
	}
	if wait > turnWait*9/10 {
		t.Errorf("got a mean wait of %.0f ms, want at most 90%% of the %.0f ms of random choice", wait, turnWait)
	}
}

// TestHotKeySpreads sends one session's prompts faster than one server can read them.
func TestHotKeySpreads(t *testing.T) {
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

// TestFailingServerIsLeftOut fails all requests at one server, then lets it recover.
func TestFailingServerIsLeftOut(t *testing.T) {
	s := service(4)
	bad := s.Servers[0]
	now := clock.Instant(1000)
	sent := 0
	for i := range 400 {
		now += 20
		q := &Query{Now: now, Zone: "z", Tokens: 800, Draw: uint64(i) * 77}
		c := s.Choose(q)
		f := s.Start(now, c, q)
		if c.Server == bad {
			sent++
		}
		s.Finish(now, f, c.Server == bad)
	}
	if sent > 20 {
		t.Errorf("got %d of 400 requests at the failing server, want at most 20", sent)
	}
	back := 0
	for i := range 2000 {
		now += 20
		q := &Query{Now: now, Zone: "z", Tokens: 800, Draw: uint64(i) * 77}
		c := s.Choose(q)
		if c.Server == bad {
			back++
		}
		s.Finish(now, s.Start(now, c, q), false)
	}
	if back < 100 {
		t.Errorf("got %d of 2000 requests at the recovered server, want it back", back)
	}
}

// TestAllFailingAreUsedStill leaves no request without a server because all have failed.
func TestAllFailingAreUsedStill(t *testing.T) {
	s := service(3)
	for _, server := range s.Servers {
		server.Unreachable(1000)
	}
	if c := s.Choose(&Query{Now: 1001, Zone: "z", Tokens: 10}); c.Server == nil {
		t.Error("got no server, want any")
	}
}

// TestBarredVersionGetsNothing keeps all requests from a version in a rollout.
func TestBarredVersionGetsNothing(t *testing.T) {
	s := service(4)
	s.Servers[0].Version, s.Servers[1].Version = "v2", "v2"
	for i := range 100 {
		q := &Query{Now: 1000, Zone: "z", Tokens: 1000, Draw: uint64(i), Versions: func(v string) bool { return v != "v2" }}
		c := s.Choose(q)
		if c.Server.Version == "v2" {
			t.Fatalf("got %s of the barred version", c.Server.ID)
		}
		s.Start(1000, c, q)
	}
}

// TestLoadOfOthersCounts avoids the server that other daemons keep busy.
func TestLoadOfOthersCounts(t *testing.T) {
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
				s.Finish(1000, s.Start(1000, c, q), false)
			}
		})
	}
}
