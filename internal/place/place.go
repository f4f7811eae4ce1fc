// Package place chooses the backend server for a request by the expected time to the first
// response. It is made for prompts whose lengths differ by a factor of a hundred and which share
// parts, on engines that prefill prompts one after the other between the decoding steps of running
// requests:
//
//	query := place.Query{Now: now, Tokens: 12000, Parts: parts}
//	choice := service.Choose(&query)
//	assignment := service.Start(now, choice, &query)
//	service.FirstResponse(assignment)       // the first event or the response arrived
//	service.Finish(now, assignment, place.Completed)
//
// The estimate adds the prompts that wait for prefill, the part of the prompt that the server has
// not cached, and the step time of its batch. The load from this daemon's own requests is exact;
// the load from other daemons is that of their last reports.
package place

import (
	"hash/maphash"
	"math"
	"slices"

	"swiftbeam/pkg/clock"
)

// Part is one part of a prompt. A prompt is a list of parts in order.
type Part struct {
	ID     string
	Tokens int
}

// Load is the load that requests put on a server.
type Load struct {
	Requests int
	// Prefill is the number of prompt tokens that wait for prefill.
	Prefill int
	// Memory is the number of tokens that running requests keep in the KV cache.
	Memory int
}

// Server is a backend server that may receive requests.
type Server struct {
	ID      string
	Address string
	Zone    string
	Version string
	Slots   int
	Spot    bool
	// Born is the start time of the server; another start is another Server.
	Born   clock.Instant
	Local  Load
	Remote Load
	// FailureRate is the moving average of the fraction of failed requests, from 0 to 1.
	FailureRate float64
	// EjectedUntil is the time until which a server that failed is not chosen. Probing is set while
	// a single request tests the server after that time.
	EjectedUntil clock.Instant
	Probing      bool
	ejections    int
	hash         uint64
}

// Costs describes the servers of a service, with times in milliseconds.
type Costs struct {
	// PrefillPerMs is the number of prompt tokens prefilled in a millisecond.
	PrefillPerMs float64
	// Step is the time of one step of an empty batch; StepPerRequest is what each request adds.
	Step           float64
	StepPerRequest float64
	// BaseLatency is the fixed part of the time to the first response.
	BaseLatency float64
	// OtherZone is the extra cost of a server in another availability zone.
	OtherZone float64
	// ServiceTime is the time that a request occupies a slot: a moving average of the observed times.
	ServiceTime float64
}

// EngineCosts and PlainCosts are the initial values before any observation: those of a current
// engine with a mid-sized model, and of a plain service that responds within 50 ms.
var (
	EngineCosts = Costs{PrefillPerMs: 50, Step: 4, StepPerRequest: 0.1, BaseLatency: 16, OtherZone: 4, ServiceTime: 1500}
	PlainCosts  = Costs{BaseLatency: 1, OtherZone: 4, ServiceTime: 50}
)

// Service holds the servers of one service. It is not safe for concurrent use.
type Service struct {
	Name    string
	Servers []*Server
	Costs   Costs
	Engine  bool

	// prefixHolders has the servers to which this daemon sent a prompt prefix, by prefixKey.
	prefixHolders map[uint64][]holder
}

// holder is a server that has prefilled a prompt prefix.
type holder struct {
	server *Server
	usedAt clock.Instant
}

// Query describes a request.
type Query struct {
	Now    clock.Instant
	Zone   string
	Tokens int
	Output int
	Parts  []Part
	// Avoid are the IDs of servers that were tried before.
	Avoid []string
	// Versions reports whether servers of a version may be chosen; nil allows all.
	Versions func(version string) bool
	// Blocked reports whether a server must not be chosen now; nil blocks none.
	Blocked func(*Server) bool
	// Draw is a random number that spreads requests over servers with similar scores.
	Draw uint64
}

func (q *Query) excludes(s *Server) bool {
	return q.Versions != nil && !q.Versions(s.Version) || q.Blocked != nil && q.Blocked(s)
}

// Choice is a server with the expected time to its first response in milliseconds.
type Choice struct {
	Server *Server
	Wait   float64
	// Cached is the estimated number of prompt tokens in the cache of the server.
	Cached int
}

//go:generate ../../.tools/stringer -type=Result -output=result_string.go

// Result is how an assignment ended.
type Result uint8

const (
	Completed Result = iota
	// Failed: the server did not give a complete response without an error.
	Failed
	// Rejected: the server did not run the request.
	Rejected
	// Inconclusive: the request did not reach the server, or its caller left.
	Inconclusive
)

// Assignment is a request that was sent to a server.
type Assignment struct {
	Server    *Server
	prefill   int
	memory    int
	Started   clock.Instant
	responded bool
}

// Limits of the record of cached prefixes, and of the ejection of failing servers.
const (
	// prefixLifetime is the time after which a cached prompt is assumed to be evicted.
	prefixLifetime = 40 * clock.Second
	maxHolders     = 3
	maxPrefixes    = 8192
	// preferredCachedFraction is the part of a shared prompt that is assumed to be cached at its
	// preferred servers where this daemon has not sent it there itself.
	preferredCachedFraction = 0.8
	// repeatedPrefillWeight is the score penalty for a repeated prefill of shared parts, as a multiple
	// of the time of that prefill. It represents the cost for other requests.
	repeatedPrefillWeight = 1.0
	// averageWeight is the weight of a new observation in moving averages.
	averageWeight = 0.15
	// ejectionTime is how long a failing server is ejected; it doubles with each consecutive ejection.
	ejectionTime    = clock.Second
	maxEjectionTime = 8 * clock.Second
	// maxFailureRate is the failure rate above which a server is ejected.
	maxFailureRate = 0.5
	// maxEjectedFraction is the part of the servers that may be ejected at the same time.
	maxEjectedFraction = 0.5
)

var hashSeed = maphash.MakeSeed()

// prefixKey returns a hash of the prompt up to and including part i.
func prefixKey(parts []Part, i int) uint64 {
	var h maphash.Hash
	h.SetSeed(hashSeed)
	for _, p := range parts[:i+1] {
		_, _ = h.WriteString(p.ID)
		_ = h.WriteByte(0)
	}
	return h.Sum64()
}

// stableHash is equal on all daemons, unlike a hash with hashSeed, so that all daemons prefer the
// same servers for a prompt.
func stableHash(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>32
}

// Add adds a server.
func (s *Service) Add(server *Server) {
	server.hash = stableHash(server.ID)
	s.Servers = append(s.Servers, server)
}

// Remove removes a server, so that it is not chosen any more.
func (s *Service) Remove(id string) {
	s.Servers = slices.DeleteFunc(s.Servers, func(o *Server) bool { return o.ID == id })
}

// Choose returns the server with the lowest score, or none if no server may be chosen. The score is
// the expected time to the first response plus penalties, in milliseconds.
func (s *Service) Choose(q *Query) Choice {
	cached := s.cachedTokens(q)
	shared := sharedTokens(q.Parts)
	first, second := s.preferred(q)
	best, sound := Choice{Wait: math.Inf(1)}, Choice{}
	lowest, lowestSound := math.Inf(1), math.Inf(1)
	mayEject := s.mayEject(q.Now)
	for i, server := range s.Servers {
		if q.excludes(server) || slices.Contains(q.Avoid, server.ID) {
			continue
		}
		ejected := server.ejected(q.Now)
		if mayEject && ejected {
			continue
		}
		tokens := cached[server]
		if server == first || server == second {
			tokens = max(tokens, int(preferredCachedFraction*float64(shared)))
		}
		wait := s.expectedWait(server, q.Tokens-tokens)
		score := wait
		if s.Engine {
			// A repeated prefill also evicts other parts from the server's cache.
			score += repeatedPrefillWeight * float64(max(shared-tokens, 0)) / s.Costs.PrefillPerMs
		}
		if server.Zone != q.Zone {
			score += s.Costs.OtherZone
		}
		score += float64((q.Draw>>(uint(i)%32))&3) * 0.25
		if score < lowest {
			lowest = score
			best = Choice{Server: server, Wait: wait, Cached: tokens}
		}
		if score < lowestSound && !ejected && server.Local.Requests+server.Remote.Requests < server.Slots {
			lowestSound = score
			sound = Choice{Server: server, Wait: wait, Cached: tokens}
		}
	}
	// Where most servers are ejected, the few others are used as long as they have free slots.
	if !mayEject && sound.Server != nil {
		return sound
	}
	return best
}

// expectedWait estimates the time to the first response in milliseconds.
func (s *Service) expectedWait(server *Server, uncached int) float64 {
	requests := server.Local.Requests + server.Remote.Requests
	c := &s.Costs
	excess := requests + 1 - max(server.Slots, 1)
	queue := 0.0
	if excess > 0 {
		queue = float64(excess) * c.ServiceTime / float64(max(server.Slots, 1))
	}
	if !s.Engine {
		load := float64(requests) / float64(max(server.Slots, 1))
		return c.BaseLatency + c.ServiceTime + queue + 0.1*c.ServiceTime*load
	}
	ahead := float64(server.Local.Prefill + server.Remote.Prefill)
	step := c.Step + c.StepPerRequest*float64(requests)
	return c.BaseLatency + step + queue + (ahead+float64(max(uncached, 0)))/c.PrefillPerMs
}

// sharedTokens returns the number of tokens of all parts but the last, which belongs to this request
// alone.
func sharedTokens(parts []Part) int {
	total := 0
	for i := range len(parts) - 1 {
		total += parts[i].Tokens
	}
	return total
}

// cachedTokens returns the number of cached tokens of the prompt by server, as far as this daemon has
// sent them.
func (s *Service) cachedTokens(q *Query) map[*Server]int {
	if len(q.Parts) == 0 {
		return nil
	}
	var cached map[*Server]int
	total := 0
	for i := range q.Parts {
		total += q.Parts[i].Tokens
		holders := s.prefixHolders[prefixKey(q.Parts, i)]
		for _, h := range holders {
			if q.Now.Sub(h.usedAt) > prefixLifetime {
				continue
			}
			if cached == nil {
				cached = make(map[*Server]int, maxHolders)
			}
			cached[h.server] = total
		}
	}
	return cached
}

// preferred returns the two servers that all daemons prefer for requests that share a prompt, by
// rendezvous hashing: those with the highest hashes over the prompt's last shared part and the
// server. The second is used where the first is loaded, so that a popular prompt is prefilled at two
// servers and not at every one.
func (s *Service) preferred(q *Query) (first, second *Server) {
	if len(q.Parts) < 2 {
		return nil, nil
	}
	seed := stableHash(q.Parts[len(q.Parts)-2].ID)
	var highest, next uint64
	for _, server := range s.Servers {
		if server.ejected(q.Now) || q.excludes(server) {
			continue
		}
		mix := (seed ^ server.hash) * 0x9e3779b97f4a7c15
		mix ^= mix >> 31
		mix *= 0xbf58476d1ce4e5b9
		mix ^= mix >> 29
		switch {
		case first == nil || mix > highest:
			first, second, highest, next = server, first, mix, highest
		case second == nil || mix > next:
			second, next = server, mix
		}
	}
	return first, second
}

func (s *Server) ejected(now clock.Instant) bool {
	return s.EjectedUntil.After(now) || s.EjectedUntil > 0 && s.Probing
}

// mayEject reports whether ejected servers may be skipped because enough others remain.
func (s *Service) mayEject(now clock.Instant) bool {
	ejected := 0
	for _, server := range s.Servers {
		if server.ejected(now) {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedFraction*float64(len(s.Servers))
}

// Start records that a request is sent to the chosen server.
func (s *Service) Start(now clock.Instant, c Choice, q *Query) *Assignment {
	a := &Assignment{Server: c.Server, Started: now, memory: q.Tokens + q.Output/2}
	a.prefill = max(q.Tokens-c.Cached, 0)
	c.Server.Local.Requests++
	c.Server.Local.Prefill += a.prefill
	c.Server.Local.Memory += a.memory
	if c.Server.EjectedUntil > 0 {
		c.Server.Probing = true
	}
	for i := range q.Parts {
		s.recordPrefix(now, prefixKey(q.Parts, i), c.Server)
	}
	return a
}

func (s *Service) recordPrefix(now clock.Instant, k uint64, server *Server) {
	if s.prefixHolders == nil {
		s.prefixHolders = make(map[uint64][]holder)
	}
	holders := s.prefixHolders[k]
	for i := range holders {
		if holders[i].server == server {
			holders[i].usedAt = now
			return
		}
	}
	if len(holders) >= maxHolders {
		holders = append(holders[:0], holders[1:]...)
	}
	if len(s.prefixHolders) > maxPrefixes {
		s.evictPrefixes(now)
	}
	s.prefixHolders[k] = append(holders, holder{server: server, usedAt: now})
}

// evictPrefixes removes the prefixes that were not used recently, or all when that is not enough.
func (s *Service) evictPrefixes(now clock.Instant) {
	for k, holders := range s.prefixHolders {
		holders = slices.DeleteFunc(holders, func(h holder) bool { return now.Sub(h.usedAt) > prefixLifetime/4 })
		if len(holders) == 0 {
			delete(s.prefixHolders, k)
		} else {
			s.prefixHolders[k] = holders
		}
	}
	if len(s.prefixHolders) > maxPrefixes*3/4 {
		clear(s.prefixHolders)
	}
}

// FirstResponse records the first event of a response, or the response itself.
func (s *Service) FirstResponse(a *Assignment) {
	if a.responded {
		return
	}
	a.responded = true
	a.Server.Local.Prefill -= a.prefill
}

// Finish records the end of a request. A failure raises the failure rate of the server.
func (s *Service) Finish(now clock.Instant, a *Assignment, result Result) {
	s.FirstResponse(a)
	a.Server.Local.Requests--
	a.Server.Local.Memory -= a.memory
	if result == Inconclusive {
		a.Server.Probing = false
		return
	}
	if result == Completed {
		s.Costs.ServiceTime += averageWeight / 4 * (float64(now.Sub(a.Started)) - s.Costs.ServiceTime)
	}
	a.Server.recordResult(now, result == Failed)
}

// recordResult ejects a server that fails often, and admits it again after a successful probe.
func (s *Server) recordResult(now clock.Instant, failed bool) {
	observed := 0.0
	if failed {
		observed = 1
	}
	s.FailureRate += averageWeight * (observed - s.FailureRate)
	probed := s.Probing
	s.Probing = false
	switch {
	case !failed && probed:
		s.EjectedUntil, s.ejections, s.FailureRate = 0, 0, 0
	case failed && (probed || s.FailureRate > maxFailureRate):
		s.eject(now)
	}
}

func (s *Server) eject(now clock.Instant) {
	s.EjectedUntil = now.Add(min(ejectionTime<<min(s.ejections, 4), maxEjectionTime))
	s.ejections++
}

// Unreachable ejects a server at once because no connection to it could be opened.
func (s *Server) Unreachable(now clock.Instant) { s.eject(now) }

// Readmit ends the ejection of all servers. Call it when servers could not be reached for a reason that was
// not theirs and has ended.
func (s *Service) Readmit() {
	for _, server := range s.Servers {
		server.EjectedUntil, server.ejections, server.Probing = 0, 0, false
	}
}
