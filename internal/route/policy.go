package route

import "hash/fnv"

// Policy chooses among the servers of a pool, which is not empty. Policies keep their state in
// the pool.
type Policy interface {
	Choose(p *Pool, q *Query) Choice
}

// RoundRobin takes the servers in turn.
type RoundRobin struct{}

// LeastOutstanding takes the server with the fewest requests of this daemon in flight.
type LeastOutstanding struct{}

// TwoChoices takes the less loaded of two random servers.
type TwoChoices struct{}

// Score takes the server with the least first-token time to expect.
type Score struct{}

// Choose returns the next server in turn.
func (RoundRobin) Choose(p *Pool, q *Query) Choice {
	n := p.reach(q)
	for range n {
		p.turn = (p.turn + 1) % n
		if s := p.Servers[p.turn]; usable(s, q) {
			return Choice{Server: s, Reason: ByRoundRobin}
		}
	}
	return Choice{Server: p.Servers[p.turn%n], Reason: ByRoundRobin}
}

// Choose returns the server with the fewest requests in flight.
func (LeastOutstanding) Choose(p *Pool, q *Query) Choice {
	n := p.reach(q)
	best := p.Servers[int(q.Draw%uint64(n))]
	for _, s := range p.Servers[:n] {
		if !usable(s, q) {
			continue
		}
		if s.InFlight < best.InFlight || !usable(best, q) {
			best = s
		}
	}
	return Choice{Server: best, Reason: ByLoad}
}

// Choose returns the less loaded of two random servers.
func (TwoChoices) Choose(p *Pool, q *Query) Choice {
	n := uint64(p.reach(q))
	a, b := p.Servers[q.Draw%n], p.Servers[(q.Draw/n)%n]
	if !usable(a, q) || usable(b, q) && b.InFlight+b.Reported < a.InFlight+a.Reported {
		a = b
	}
	return Choice{Server: a, Reason: ByRandom}
}

// samples is the number of random servers that Score looks at in a large pool.
const samples = 8

// scanAll is the size up to which Score looks at every server.
const scanAll = 16

// Choose returns the server with the lowest score of those it looks at.
func (Score) Choose(p *Pool, q *Query) Choice {
	best := search{pool: p, query: q}
	best.tryHolders()
	n := uint64(p.reach(q))
	best.tryHomes(n)
	if n <= scanAll {
		for _, s := range p.Servers[:n] {
			best.try(s, 0, ByLoad)
		}
		return best.choice(n)
	}
	draw := q.Draw
	for range samples {
		draw = draw*6364136223846793005 + 1442695040888963407
		best.try(p.Servers[(draw>>33)%n], 0, ByLoad)
	}
	return best.choice(n)
}

// search keeps the best server seen so far.
type search struct {
	pool   *Pool
	query  *Query
	found  Choice
	lowest float64
}

// tryHolders looks at the servers that hold the longest known prefixes.
func (b *search) tryHolders() {
	levels := 0
	for i := len(b.query.Prefixes) - 1; i >= 0 && levels < 2; i-- {
		holders := b.pool.holders[b.query.Prefixes[i]]
		for _, s := range holders {
			if b.query.MaxServers == 0 || s.index < b.query.MaxServers {
				b.try(s, i+1, ByPrefix)
			}
		}
		if len(holders) > 0 {
			levels++
		}
	}
}

// homes is the number of home servers of a prefix: the second takes over where the first is
// loaded, so that a popular prefix is cached twice instead of everywhere.
const homes = 2

// homeSalt separates the home servers of a prefix.
const homeSalt = 0x9e3779b97f4a7c15

// homeCredit is the part of a prompt that a home server is taken to hold, in percent, where
// this daemon has not sent the prompt itself.
const homeCredit = 80

// tryHomes looks at the servers to which all daemons send the prompt's prefix.
func (b *search) tryHomes(n uint64) {
	if len(b.query.Prefixes) == 0 {
		return
	}
	key := b.query.Prefixes[0]
	for i := range homes {
		s := b.pool.Servers[home(key, n)]
		b.try(s, len(b.query.Prefixes)*homeCredit/(100*(i+1)), ByPreferred)
		key ^= homeSalt
	}
}

func (b *search) try(s *Server, cached int, why Reason) {
	if !usable(s, b.query) || s == b.found.Server {
		return
	}
	score := b.pool.score(s, b.query, cached)
	if b.found.Server == nil || score < b.lowest {
		b.lowest = score
		b.found = Choice{Server: s, Reason: why, Cached: cached}
	}
}

// choice returns the best server, or any when all are suspect.
func (b *search) choice(n uint64) Choice {
	if b.found.Server == nil {
		return Choice{Server: b.pool.Servers[b.query.Draw%n], Reason: ByRandom}
	}
	return b.found
}

// score returns the first-token time in milliseconds to expect from s.
func (p *Pool) score(s *Server, q *Query, cached int) float64 {
	load := p.load(s)
	cost := load * p.Costs.Step
	if over := load - float64(s.Slots) + 1; over > 0 {
		cost += over * p.Costs.Service / float64(s.Slots)
	}
	cost += float64(len(q.Prefixes)-cached) * p.Costs.PrefixBlock
	if s.Zone != q.Zone {
		cost += p.Costs.OtherZone
	}
	if p.ReclaimingUntil[s.Zone].After(q.Now) {
		cost += p.Costs.Reclaim
	}
	return cost
}

// load estimates the requests at s now: its report, and what all daemons sent since. Others are
// taken to send as much as this one.
func (p *Pool) load(s *Server) float64 {
	load := float64(s.Reported) + float64(s.SinceReport)*float64(max(p.Daemons, 1))
	return max(load, float64(s.InFlight))
}

func (p *Pool) reach(q *Query) int {
	if q.MaxServers > 0 && q.MaxServers < len(p.Servers) {
		return q.MaxServers
	}
	return len(p.Servers)
}

func usable(s *Server, q *Query) bool {
	return !s.SuspectUntil.After(q.Now) && s.Key.Address != q.Avoid
}

// home maps a prefix to a server index so that all daemons agree without messages. It is the
// jump consistent hash of Lamping and Veach: few prefixes move when the pool grows at its end.
func home(key, n uint64) uint64 {
	b, j := int64(-1), int64(0)
	for j < int64(n) {
		b = j
		key = key*2862933555777941757 + 1
		j = int64(float64(b+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return uint64(b)
}

// BlockBytes is the length of prompt text that one prefix hash covers.
const BlockBytes = 256

// MaxPrefixes bounds the prefixes of one prompt.
const MaxPrefixes = 32

// Prefixes appends the hashes of the prompt's prefixes in steps of BlockBytes to buffer.
func Prefixes(buffer []uint64, prompt string) []uint64 {
	h := fnv.New64a()
	for at := 0; at+BlockBytes <= len(prompt) && len(buffer) < MaxPrefixes; at += BlockBytes {
		_, _ = h.Write([]byte(prompt[at : at+BlockBytes]))
		buffer = append(buffer, h.Sum64())
	}
	return buffer
}
