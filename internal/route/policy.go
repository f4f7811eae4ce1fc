package route

import "hash/fnv"

// Policy chooses a server of a pool that is not empty. Policies keep their state in the pool.
type Policy interface {
	Choose(p *Pool, q *Query) Choice
}

// RoundRobin chooses the servers in turn.
type RoundRobin struct{}

// LeastOutstanding chooses the server with the fewest requests of this daemon in flight.
type LeastOutstanding struct{}

// TwoChoices chooses the less loaded of two random servers.
type TwoChoices struct{}

// Score chooses the server with the lowest expected time to first token.
type Score struct{}

// Choose returns the next server in turn.
func (RoundRobin) Choose(p *Pool, q *Query) Choice {
	n := p.candidates(q)
	for range n {
		p.lastTurn = (p.lastTurn + 1) % n
		if s := p.Servers[p.lastTurn]; usable(s, q) {
			return Choice{Server: s, Reason: ByRoundRobin}
		}
	}
	return Choice{Server: p.Servers[p.lastTurn%n], Reason: ByRoundRobin}
}

// Choose returns the server with the fewest requests in flight.
func (LeastOutstanding) Choose(p *Pool, q *Query) Choice {
	n := p.candidates(q)
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
	n := uint64(p.candidates(q))
	a, b := p.Servers[q.Draw%n], p.Servers[(q.Draw/n)%n]
	if !usable(a, q) || usable(b, q) && b.InFlight+b.Reported < a.InFlight+a.Reported {
		a = b
	}
	return Choice{Server: a, Reason: ByRandom}
}

// sampleSize is the number of random servers that Score considers in a large pool.
const sampleSize = 8

// maxFullScan is the pool size up to which Score considers every server.
const maxFullScan = 16

// Choose returns the server with the lowest score among those that it considers.
func (Score) Choose(p *Pool, q *Query) Choice {
	best := search{pool: p, query: q}
	best.tryHolders()
	n := uint64(p.candidates(q))
	best.tryPreferred(n)
	if n <= maxFullScan {
		for _, s := range p.Servers[:n] {
			best.try(s, 0, ByLoad)
		}
		return best.choice(n)
	}
	draw := q.Draw
	for range sampleSize {
		draw = draw*6364136223846793005 + 1442695040888963407
		best.try(p.Servers[(draw>>33)%n], 0, ByLoad)
	}
	return best.choice(n)
}

// search is the state of one choice by score: the best server so far and its score.
type search struct {
	pool   *Pool
	query  *Query
	best   Choice
	lowest float64
}

// tryHolders considers the servers that have cached the two longest known prefixes.
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

// preferredCount is the number of preferred servers of a prefix. The second is used where the first is
// loaded, so that a popular prefix is cached at two servers and not at every one.
const preferredCount = 2

// preferredSalt makes the hashes of the preferred servers of a prefix differ.
const preferredSalt = 0x9e3779b97f4a7c15

// preferredCredit is the percentage of a prompt that is assumed to be cached at its first preferred
// server where this daemon has not sent the prompt itself; half of it at the second.
const preferredCredit = 80

// tryPreferred considers the servers that all daemons prefer for the prefix of the prompt.
func (b *search) tryPreferred(n uint64) {
	if len(b.query.Prefixes) == 0 {
		return
	}
	key := b.query.Prefixes[0]
	for i := range preferredCount {
		s := b.pool.Servers[jumpHash(key, n)]
		b.try(s, len(b.query.Prefixes)*preferredCredit/(100*(i+1)), ByPreferred)
		key ^= preferredSalt
	}
}

func (b *search) try(s *Server, cached int, reason Reason) {
	if !usable(s, b.query) || s == b.best.Server {
		return
	}
	score := b.pool.score(s, b.query, cached)
	if b.best.Server == nil || score < b.lowest {
		b.lowest = score
		b.best = Choice{Server: s, Reason: reason, Cached: cached}
	}
}

// choice returns the best server, or a random one if no usable server was found.
func (b *search) choice(n uint64) Choice {
	if b.best.Server == nil {
		return Choice{Server: b.pool.Servers[b.query.Draw%n], Reason: ByRandom}
	}
	return b.best
}

// score returns the expected time to first token of s in milliseconds.
func (p *Pool) score(s *Server, q *Query, cached int) float64 {
	load := p.load(s)
	cost := load * p.Costs.Step
	if excess := load - float64(s.Slots) + 1; excess > 0 {
		cost += excess * p.Costs.Service / float64(s.Slots)
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

// load estimates the present number of requests at s: its last report, plus the requests that all daemons
// have sent since. The other daemons are assumed to send as many as this one. The estimate is at least the
// number of this daemon's requests in flight.
func (p *Pool) load(s *Server) float64 {
	load := float64(s.Reported) + float64(s.SinceReport)*float64(max(p.Daemons, 1))
	return max(load, float64(s.InFlight))
}

func (p *Pool) candidates(q *Query) int {
	if q.MaxServers > 0 && q.MaxServers < len(p.Servers) {
		return q.MaxServers
	}
	return len(p.Servers)
}

func usable(s *Server, q *Query) bool {
	return !s.SuspectUntil.After(q.Now) && s.Key.Address != q.Avoid
}

// jumpHash maps a prefix to a server index, equal on all daemons without messages. It is the jump
// consistent hash of Lamping and Veach: few prefixes move when servers are added at the end of the
// pool.
func jumpHash(key, n uint64) uint64 {
	b, j := int64(-1), int64(0)
	for j < int64(n) {
		b = j
		key = key*2862933555777941757 + 1
		j = int64(float64(b+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return uint64(b)
}

// BlockBytes is the length of prompt text by which each prefix is longer than the one before.
const BlockBytes = 256

// MaxPrefixes is the maximum number of prefixes of one prompt.
const MaxPrefixes = 32

// Prefixes appends the hashes of the prefixes of the prompt, in steps of BlockBytes, to buffer.
func Prefixes(buffer []uint64, prompt string) []uint64 {
	h := fnv.New64a()
	for at := 0; at+BlockBytes <= len(prompt) && len(buffer) < MaxPrefixes; at += BlockBytes {
		_, _ = h.Write([]byte(prompt[at : at+BlockBytes]))
		buffer = append(buffer, h.Sum64())
	}
	return buffer
}
