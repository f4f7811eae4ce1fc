// Package route chooses a backend server for a request. A Pool contains the servers of one version of
// a service; a Policy picks one of them:
//
//	choice := pool.Choose(route.Score{}, &query)
//	pool.Started(choice.Server, query.Prefixes)
//	pool.Finished(now, choice.Server, outcome)
//
// The score of a server is the expected time to first token: the wait behind its corrected load, the
// prefill of the part of the prompt that it has not cached, and the network latency to its
// availability zone. Load reports are delayed, so each pool adds what was sent since the report by
// this daemon and, as an estimate, by the others. A choice considers the servers that have the longest
// known prefix in their cache, the preferred servers of the prefix, and a few random ones; therefore
// daemons that choose independently do not all pick the server that appears idle.
package route

import (
	"slices"

	"swiftbeam/internal/member"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

//go:generate ../../.tools/stringer -type=Reason -linecomment -output=reason_string.go

// Reason is the reason for which a backend server was chosen.
type Reason uint8

// Reasons for a choice. The trailing comments are the printed names.
const (
	// NoServer: the pool is empty.
	NoServer Reason = iota
	// ByPrefix: the server has a prefix of the prompt in its cache.
	ByPrefix
	// ByPreferred: the server is a preferred server of the prompt's prefix.
	ByPreferred // ByHome
	// ByLoad: the server has the lowest load or score.
	ByLoad
	// ByRoundRobin: it was the server's turn.
	ByRoundRobin // ByTurn
	// ByRandom: the server was drawn at random, or is the better of two such servers.
	ByRandom // ByLuck
)

// Server is the routing state of a backend server.
type Server struct {
	Key         member.Key
	Zone        string
	Incarnation uint64
	Slots       int
	// Reported is the load of the last report: running and waiting requests.
	Reported   int
	ReportedAt clock.Instant
	// InFlight is the number of requests from this daemon that the server has now.
	InFlight int
	// SinceReport is the number of requests that this daemon sent since the last report, less those that
	// finished.
	SinceReport int
	// FirstToken and TokenGap are moving averages in milliseconds.
	FirstToken float64
	TokenGap   float64
	// SuspectUntil is the time until which a server that failed is not chosen.
	SuspectUntil clock.Instant

	// index is the position in Pool.Servers; prefixes are those recorded for the server.
	index    int
	prefixes []uint64
}

// Query describes a request to route.
type Query struct {
	Now clock.Instant
	// Zone is the availability zone of this daemon.
	Zone string
	// Prefixes are the hashes of the prefixes of the prompt, shortest first.
	Prefixes []uint64
	// Draw is a random number.
	Draw uint64
	// Avoid is the address of a server that failed this request.
	Avoid string
	// MaxServers limits the choice to the first servers in address order; zero means all.
	MaxServers int
}

// Choice is the result of a policy.
type Choice struct {
	Server *Server
	Reason Reason
	// Cached is the estimated number of leading prefixes in the cache of the server.
	Cached int
}

// Pool contains the servers of one version of one service. It is not safe for concurrent use.
type Pool struct {
	Servers []*Server
	// Daemons is the number of daemons that send requests to the servers of the pool.
	Daemons int
	Costs   Costs
	// ReclaimingUntil is the time until which an availability zone is considered under reclaim.
	ReclaimingUntil map[string]clock.Instant

	byKey map[member.Key]*Server
	// holders are the servers that have a prefix in their cache, by hash.
	holders  map[uint64][]*Server
	lastTurn int
}

// Costs are the weights of the parts of the score, in milliseconds.
type Costs struct {
	// PrefixBlock is the prefill time of one prefix block.
	PrefixBlock float64
	// Step is the delay that each running request adds to others in its batch.
	Step float64
	// Service is the time that a request occupies a slot.
	Service float64
	// OtherZone is the round-trip time to another availability zone.
	OtherZone float64
	// Reclaim is the penalty for an availability zone under reclaim.
	Reclaim float64
}

// DefaultCosts are the costs of a model engine with chunked prefill.
var DefaultCosts = Costs{PrefixBlock: 6, Step: 3, Service: 2000, OtherZone: 3, Reclaim: 400}

// maxHolders is the maximum number of servers recorded for one prefix.
const maxHolders = 4

// maxPrefixesPerServer is the maximum number of prefixes recorded for one server.
const maxPrefixesPerServer = 1024

// reclaimTime is how long an availability zone is considered under reclaim after a notice.
const reclaimTime = 30 * clock.Second

// Put adds a server or applies its latest report. A new incarnation replaces the server.
func (p *Pool) Put(b *fleet.Backend) {
	if p.byKey == nil {
		p.byKey = make(map[member.Key]*Server)
		p.holders = make(map[uint64][]*Server)
	}
	key := member.KeyOf(b)
	s := p.byKey[key]
	if s != nil && s.Incarnation != b.Incarnation {
		p.Remove(key)
		s = nil
	}
	if s == nil {
		s = &Server{Key: key, Zone: b.Zone, Incarnation: b.Incarnation}
		p.insert(s)
	}
	s.Slots = max(b.Slots, 1)
	s.Reported = b.Running + b.Waiting
	s.ReportedAt = b.HeardAt
	s.SinceReport = 0
	if b.Prefixes != nil {
		p.replacePrefixes(s, b.Prefixes)
	}
}

func (p *Pool) insert(s *Server) {
	p.byKey[s.Key] = s
	at, _ := slices.BinarySearchFunc(p.Servers, s.Key.Address, func(o *Server, address string) int {
		if o.Key.Address < address {
			return -1
		}
		if o.Key.Address > address {
			return 1
		}
		return 0
	})
	p.Servers = slices.Insert(p.Servers, at, s)
	p.reindex(at)
}

func (p *Pool) reindex(from int) {
	for i := from; i < len(p.Servers); i++ {
		p.Servers[i].index = i
	}
}

// Remove removes a server, so that it is not chosen any more.
func (p *Pool) Remove(key member.Key) {
	s := p.byKey[key]
	if s == nil {
		return
	}
	delete(p.byKey, key)
	p.Servers = slices.Delete(p.Servers, s.index, s.index+1)
	p.reindex(s.index)
	p.clearPrefixes(s)
}

// MarkReclaiming marks an availability zone as under reclaim for reclaimTime.
func (p *Pool) MarkReclaiming(now clock.Instant, zone string) {
	if p.ReclaimingUntil == nil {
		p.ReclaimingUntil = make(map[string]clock.Instant)
	}
	p.ReclaimingUntil[zone] = now.Add(reclaimTime)
}

// Find returns the server with the key, or nil.
func (p *Pool) Find(key member.Key) *Server { return p.byKey[key] }

// Choose picks a server by the policy, or none from an empty pool. It does not allocate.
func (p *Pool) Choose(policy Policy, q *Query) Choice {
	if len(p.Servers) == 0 {
		return Choice{}
	}
	return policy.Choose(p, q)
}

// Started records that a request with the given prefixes was sent to s.
func (p *Pool) Started(s *Server, prefixes []uint64) {
	s.InFlight++
	s.SinceReport++
	for _, h := range prefixes {
		p.recordPrefix(s, h)
	}
}

// Outcome is how a request at a server ended. A time of zero was not observed.
type Outcome struct {
	FirstToken clock.Duration
	TokenGap   float64
	Failed     bool
}

// suspectTime is how long a server that failed a request is not chosen.
const suspectTime = 2 * clock.Second

// averageWeight is the weight of a new observation in moving averages.
const averageWeight = 0.2

// Finished records the end of a request at s.
func (p *Pool) Finished(now clock.Instant, s *Server, o Outcome) {
	s.InFlight--
	s.SinceReport--
	if o.Failed {
		s.SuspectUntil = now.Add(suspectTime)
		return
	}
	if o.FirstToken > 0 {
		s.FirstToken = movingAverage(s.FirstToken, float64(o.FirstToken))
	}
	if o.TokenGap > 0 {
		s.TokenGap = movingAverage(s.TokenGap, o.TokenGap)
	}
}

func movingAverage(old, observed float64) float64 {
	if old == 0 {
		return observed
	}
	return old + averageWeight*(observed-old)
}

// recordPrefix records that s has cached a prefix. It drops the oldest record beyond maxHolders or
// maxPrefixesPerServer.
func (p *Pool) recordPrefix(s *Server, hash uint64) {
	servers := p.holders[hash]
	if slices.Contains(servers, s) {
		return
	}
	if len(servers) >= maxHolders {
		servers = append(servers[:0], servers[1:]...)
	}
	p.holders[hash] = append(servers, s)
	s.prefixes = append(s.prefixes, hash)
	if len(s.prefixes) > maxPrefixesPerServer {
		p.removePrefix(s, s.prefixes[0])
		s.prefixes = s.prefixes[1:]
	}
}

func (p *Pool) removePrefix(s *Server, hash uint64) {
	servers := slices.DeleteFunc(p.holders[hash], func(o *Server) bool { return o == s })
	if len(servers) == 0 {
		delete(p.holders, hash)
		return
	}
	p.holders[hash] = servers
}

func (p *Pool) clearPrefixes(s *Server) {
	for _, h := range s.prefixes {
		p.removePrefix(s, h)
	}
	s.prefixes = nil
}

// replacePrefixes replaces the recorded prefixes of s.
func (p *Pool) replacePrefixes(s *Server, prefixes []uint64) {
	p.clearPrefixes(s)
	for _, h := range prefixes {
		p.recordPrefix(s, h)
	}
}

// CacheEvent is a change of the prompt cache of an engine.
type CacheEvent struct {
	Sequence uint64
	Added    []uint64
	Removed  []uint64
}

// Cache tracks the cache events of one server. After a gap in the sequence the cache is considered
// unknown until the server reports all its prefixes.
type Cache struct {
	// Next is the expected sequence number.
	Next uint64
}

// Apply applies one event and reports whether the sequence has no gap before it. It ignores repeated
// events; after a gap it drops the recorded prefixes.
func (c *Cache) Apply(p *Pool, s *Server, e CacheEvent) bool {
	if e.Sequence < c.Next {
		return true
	}
	known := e.Sequence == c.Next
	c.Next = e.Sequence + 1
	if !known {
		p.clearPrefixes(s)
	}
	for _, h := range e.Added {
		p.recordPrefix(s, h)
	}
	for _, h := range e.Removed {
		p.removePrefix(s, h)
		s.prefixes = slices.DeleteFunc(s.prefixes, func(o uint64) bool { return o == h })
	}
	return known
}
