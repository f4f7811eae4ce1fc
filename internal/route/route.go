// Package route chooses a backend server for a request. A Pool holds the servers of one version
// of a service; a Policy picks one of them:
//
//	choice := pool.Choose(route.Score{}, &query)
//	pool.Started(choice.Server)
//	pool.Finished(now, choice.Server, outcome)
//
// The score of a server is the first-token time to expect from it: waiting behind its corrected
// load, prefill of the prompt that it has not cached, and the way to its availability zone.
// Load reports lag, so each pool adds what was sent since the report by this daemon and, by
// estimate, by the others. A choice looks at the servers that hold the longest known prefix, at
// the home server of the prefix, and at a few random ones; daemons that decide apart therefore
// do not all pick the server that looks idle.
package route

import (
	"slices"

	"swiftbeam/internal/member"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

//go:generate ../../.tools/stringer -type=Reason -linecomment -output=reason_string.go

// Reason is what decided a choice.
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
	// ByRandom: the server was drawn at random.
	ByRandom // ByLuck
)

// Server is a backend server as routing sees it.
type Server struct {
	Key         member.Key
	Zone        string
	Incarnation uint64
	Slots       int
	// Reported is the load of the last report, running and waiting.
	Reported   int
	ReportedAt clock.Instant
	// InFlight counts the requests of this daemon that the server has now.
	InFlight int
	// SinceReport counts what this daemon sent, less what finished, since the last report.
	SinceReport int
	// FirstToken and TokenGap are moving averages in milliseconds.
	FirstToken float64
	TokenGap   float64
	// SuspectUntil keeps a server that failed out of choices for a while.
	SuspectUntil clock.Instant

	index    int
	prefixes []uint64
}

// Query describes a request to route.
type Query struct {
	Now clock.Instant
	// Zone is the availability zone of this daemon.
	Zone string
	// Prefixes are the hashes of the prompt's prefixes, the shortest first.
	Prefixes []uint64
	// Draw is a random number.
	Draw uint64
	// Avoid is the address of a server that failed this request.
	Avoid string
	// MaxServers limits the choice to the first servers in order of address; zero means all.
	MaxServers int
}

// Choice is the outcome of a policy.
type Choice struct {
	Server *Server
	Reason Reason
	// Cached is the number of leading prefixes that the server is believed to hold.
	Cached int
}

// Pool holds the servers of one version of one service. Its owner serialises the calls.
type Pool struct {
	Servers []*Server
	// Daemons is the number of daemons that send to the pool.
	Daemons int
	Costs   Costs
	// ReclaimingUntil is the instant until which an availability zone counts as under reclaim.
	ReclaimingUntil map[string]clock.Instant

	byKey   map[member.Key]*Server
	holders map[uint64][]*Server
	turn    int
}

// Costs weigh the parts of the score, in milliseconds.
type Costs struct {
	// PrefixBlock is the prefill time of one prefix block.
	PrefixBlock float64
	// Step is the delay that each running request adds to others in its batch.
	Step float64
	// Service is the time a request occupies a slot.
	Service float64
	// OtherZone is the delay to another availability zone and back.
	OtherZone float64
	// Reclaim is the penalty for an availability zone under reclaim.
	Reclaim float64
}

// DefaultCosts suit a model engine with chunked prefill.
var DefaultCosts = Costs{PrefixBlock: 6, Step: 3, Service: 2000, OtherZone: 3, Reclaim: 400}

// maxHolders bounds the servers remembered for one prefix.
const maxHolders = 4

// maxPrefixesPerServer bounds the prefixes remembered for one server.
const maxPrefixesPerServer = 1024

// hazardTime is how long an availability zone counts as under reclaim after a notice.
const hazardTime = 30 * clock.Second

// Put adds a server or takes over its newest report.
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
		p.resync(s, b.Prefixes)
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
	p.renumber(at)
}

func (p *Pool) renumber(from int) {
	for i := from; i < len(p.Servers); i++ {
		p.Servers[i].index = i
	}
}

// Remove takes a server out of all later choices.
func (p *Pool) Remove(key member.Key) {
	s := p.byKey[key]
	if s == nil {
		return
	}
	delete(p.byKey, key)
	p.Servers = slices.Delete(p.Servers, s.index, s.index+1)
	p.renumber(s.index)
	p.forget(s)
}

// MarkReclaiming marks an availability zone as under reclaim.
func (p *Pool) MarkReclaiming(now clock.Instant, zone string) {
	if p.ReclaimingUntil == nil {
		p.ReclaimingUntil = make(map[string]clock.Instant)
	}
	p.ReclaimingUntil[zone] = now.Add(hazardTime)
}

// Find returns the server with the key, or nil.
func (p *Pool) Find(key member.Key) *Server { return p.byKey[key] }

// Choose picks a server by policy. It does not allocate.
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
		p.hold(s, h)
	}
}

// Outcome is how a request at a server ended. Zero times were not observed.
type Outcome struct {
	FirstToken clock.Duration
	TokenGap   float64
	Failed     bool
}

// suspectTime keeps a server that failed a request out of choices.
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
		s.FirstToken = average(s.FirstToken, float64(o.FirstToken))
	}
	if o.TokenGap > 0 {
		s.TokenGap = average(s.TokenGap, o.TokenGap)
	}
}

func average(old, observed float64) float64 {
	if old == 0 {
		return observed
	}
	return old + averageWeight*(observed-old)
}

// hold remembers that s has cached a prefix.
func (p *Pool) hold(s *Server, hash uint64) {
	list := p.holders[hash]
	if slices.Contains(list, s) {
		return
	}
	if len(list) >= maxHolders {
		list = append(list[:0], list[1:]...)
	}
	p.holders[hash] = append(list, s)
	s.prefixes = append(s.prefixes, hash)
	if len(s.prefixes) > maxPrefixesPerServer {
		p.release(s, s.prefixes[0])
		s.prefixes = s.prefixes[1:]
	}
}

func (p *Pool) release(s *Server, hash uint64) {
	list := slices.DeleteFunc(p.holders[hash], func(o *Server) bool { return o == s })
	if len(list) == 0 {
		delete(p.holders, hash)
		return
	}
	p.holders[hash] = list
}

func (p *Pool) forget(s *Server) {
	for _, h := range s.prefixes {
		p.release(s, h)
	}
	s.prefixes = nil
}

// resync replaces what is known of the cache of s.
func (p *Pool) resync(s *Server, prefixes []uint64) {
	p.forget(s)
	for _, h := range prefixes {
		p.hold(s, h)
	}
}

// CacheEvent is a change of the prompt cache of an engine.
type CacheEvent struct {
	Sequence uint64
	Added    []uint64
	Removed  []uint64
}

// Cache follows the cache events of one server. After a gap in the sequence the cache counts as
// unknown until the server reports all its prefixes.
type Cache struct {
	Next uint64
}

// Apply takes one event and reports whether the cache is still known.
func (c *Cache) Apply(p *Pool, s *Server, e CacheEvent) bool {
	if e.Sequence < c.Next {
		return true
	}
	known := e.Sequence == c.Next
	c.Next = e.Sequence + 1
	if !known {
		p.forget(s)
	}
	for _, h := range e.Added {
		p.hold(s, h)
	}
	for _, h := range e.Removed {
		p.release(s, h)
		s.prefixes = slices.DeleteFunc(s.prefixes, func(o uint64) bool { return o == h })
	}
	return known
}
