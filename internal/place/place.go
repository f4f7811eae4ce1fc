// Package place chooses the backend server for a request by the first-answer time to expect from
// it. It answers a load of prompts that differ a hundredfold in length and share parts, on
// engines that read prompts one after the other between the tokens of running requests:
//
//	choice := service.Choose(&place.Query{Now: now, Tokens: 12000, Parts: parts})
//	flight := service.Start(now, choice, &query)
//	service.First(flight)               // the first event or answer came
//	service.Finish(now, flight, failed)
//
// The estimate adds the prompts that wait to be read, the part of the prompt that the server has
// not cached, and the pace of its batch. The daemon's own requests are known exactly, those of
// the others by their last reports.
package place

import (
	"hash/maphash"
	"math"
	"slices"

	"swiftbeam/pkg/clock"
)

// Part is one part of a prompt, in order.
type Part struct {
	ID     string
	Tokens int
}

// Load is what requests put on a server.
type Load struct {
	Requests int
	// Prefill are the prompt tokens that are still to be read.
	Prefill int
	// Memory are the tokens that running requests keep.
	Memory int
}

// Server is a backend server that may receive work.
type Server struct {
	ID      string
	Address string
	Zone    string
	Version string
	Slots   int
	Spot    bool
	Local   Load
	Remote  Load
	// FailureRate is the moving average of failed requests, from 0 to 1.
	FailureRate float64
	// EjectedUntil keeps a server that failed out of choices; Probing is set while a single request
	// tries it after that.
	EjectedUntil clock.Instant
	Probing      bool
	outs         int
	seed         uint64
}

// Costs describe the engines of a service.
type Costs struct {
	// PrefillPerMs is the number of prompt tokens read in a millisecond.
	PrefillPerMs float64
	// Step is the time of one step of an empty batch, and StepEach what each request adds.
	Step           float64
	StepPerRequest float64
	// BaseLatency is the fixed time to a first answer.
	BaseLatency float64
	// OtherZone is the extra cost of a server in another availability zone.
	OtherZone float64
	// ServiceTime is the time for which a plain request holds a slot; it follows what is observed.
	ServiceTime float64
}

// EngineCosts and PlainCosts are starting points before anything was observed: the figures of a
// current engine for a mid-sized model, and of a service that answers within 50 ms.
var (
	EngineCosts = Costs{PrefillPerMs: 50, Step: 4, StepPerRequest: 0.1, BaseLatency: 16, OtherZone: 4, ServiceTime: 1500}
	PlainCosts  = Costs{BaseLatency: 1, OtherZone: 4, ServiceTime: 50}
)

// Service holds the servers of one service. Its owner serialises the calls.
type Service struct {
	Name    string
	Servers []*Server
	Costs   Costs
	Engine  bool

	warm map[uint64][]holder
}

// holder is a server that has read a prompt up to some part.
type holder struct {
	server *Server
	at     clock.Instant
}

// Query describes a request.
type Query struct {
	Now    clock.Instant
	Zone   string
	Tokens int
	Output int
	Parts  []Part
	// Avoid are the IDs of servers that were tried.
	Avoid []string
	// Versions reports whether servers of a version may be chosen; nil allows all.
	Versions func(version string) bool
	Draw     uint64
}

// Choice is a server with the time to its first answer to expect, in milliseconds.
type Choice struct {
	Server *Server
	Wait   float64
	// Cached is the number of prompt tokens that the server is believed to hold.
	Cached int
}

// Assignment is a request at a server.
type Assignment struct {
	Server   *Server
	prefill  int
	memory   int
	Started  clock.Instant
	answered bool
}

// Bounds of what is remembered, and of health.
const (
	// warmFor is the time after which a cached prompt is taken to have yielded to others.
	warmFor     = 40 * clock.Second
	maxHolders  = 3
	maxPrefixes = 8192
	// homeBelief is the part of a shared prompt that its home server is taken to hold where this
	// daemon has not sent it there.
	homeBelief = 0.8
	// readCost is what it costs others that a shared part is read again, against the time it takes.
	readCost = 1.0
	// averageWeight is the weight of a new observation in moving averages.
	averageWeight = 0.15
	// outFor is how long a server that fails is left out; it doubles with each time in a row.
	outFor    = clock.Second
	maxOutFor = 8 * clock.Second
	// faultLimit is the average of failures above which a server is left out.
	faultLimit = 0.5
	// maxOutPart is the part of the servers that may be left out at once.
	maxOutPart = 0.5
)

var hashSeed = maphash.MakeSeed()

// key returns the identity of a prompt up to and including part i.
func key(parts []Part, i int) uint64 {
	var h maphash.Hash
	h.SetSeed(hashSeed)
	for _, p := range parts[:i+1] {
		_, _ = h.WriteString(p.ID)
		_ = h.WriteByte(0)
	}
	return h.Sum64()
}

// shareSeed makes home servers equal on all daemons, unlike hashSeed.
func shareSeed(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>32
}

// Add takes a new server.
func (s *Service) Add(server *Server) {
	server.seed = shareSeed(server.ID)
	s.Servers = append(s.Servers, server)
}

// Remove takes a server out of all later choices.
func (s *Service) Remove(id string) {
	s.Servers = slices.DeleteFunc(s.Servers, func(o *Server) bool { return o.ID == id })
}

// Choose returns the server with the least time to expect, or no server.
func (s *Service) Choose(q *Query) Choice {
	cached := s.cached(q)
	common := shared(q.Parts)
	home, second := s.homes(q)
	best := Choice{Wait: math.Inf(1)}
	lowest := math.Inf(1)
	out := s.leftOut(q.Now)
	for i, server := range s.Servers {
		if q.Versions != nil && !q.Versions(server.Version) || slices.Contains(q.Avoid, server.ID) {
			continue
		}
		if out && server.out(q.Now) {
			continue
		}
		held := cached[server]
		if server == home || server == second {
			held = max(held, int(homeBelief*float64(common)))
		}
		wait := s.wait(server, q.Tokens-held)
		score := wait
		if s.Engine {
			// A part that is read again also yields another from the memory.
			score += readCost * float64(max(common-held, 0)) / s.Costs.PrefillPerMs
		}
		if server.Zone != q.Zone {
			score += s.Costs.OtherZone
		}
		score += float64((q.Draw>>(uint(i)%32))&3) * 0.25
		if score < lowest {
			lowest = score
			best = Choice{Server: server, Wait: wait, Cached: held}
		}
	}
	return best
}

// wait estimates the time to the first answer in milliseconds.
func (s *Service) wait(server *Server, unread int) float64 {
	requests := server.Local.Requests + server.Remote.Requests
	c := &s.Costs
	over := requests + 1 - max(server.Slots, 1)
	queue := 0.0
	if over > 0 {
		queue = float64(over) * c.ServiceTime / float64(max(server.Slots, 1))
	}
	if !s.Engine {
		load := float64(requests) / float64(max(server.Slots, 1))
		return c.BaseLatency + c.ServiceTime + queue + 0.1*c.ServiceTime*load
	}
	ahead := float64(server.Local.Prefill + server.Remote.Prefill)
	step := c.Step + c.StepPerRequest*float64(requests)
	return c.BaseLatency + step + queue + (ahead+float64(max(unread, 0)))/c.PrefillPerMs
}

// shared returns the tokens of all parts but the last, which is the request's own.
func shared(parts []Part) int {
	total := 0
	for i := range len(parts) - 1 {
		total += parts[i].Tokens
	}
	return total
}

// cached returns the tokens of the prompt that servers hold, as far as this daemon has sent them.
func (s *Service) cached(q *Query) map[*Server]int {
	if len(q.Parts) == 0 {
		return nil
	}
	var held map[*Server]int
	total := 0
	for i := range q.Parts {
		total += q.Parts[i].Tokens
		holders := s.warm[key(q.Parts, i)]
		for _, h := range holders {
			if q.Now.Sub(h.at) > warmFor {
				continue
			}
			if held == nil {
				held = make(map[*Server]int, maxHolders)
			}
			held[h.server] = total
		}
	}
	return held
}

// homes returns the two servers on which all daemons gather the requests that share a prompt: those
// with the highest hashes over the prompt's last shared part and the server. The second takes over
// where the first is loaded, so that a popular prompt is read twice instead of everywhere.
func (s *Service) homes(q *Query) (first, second *Server) {
	if len(q.Parts) < 2 {
		return nil, nil
	}
	seed := shareSeed(q.Parts[len(q.Parts)-2].ID)
	var highest, next uint64
	for _, server := range s.Servers {
		if server.out(q.Now) || q.Versions != nil && !q.Versions(server.Version) {
			continue
		}
		mix := (seed ^ server.seed) * 0x9e3779b97f4a7c15
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

func (s *Server) out(now clock.Instant) bool {
	return s.EjectedUntil.After(now) || s.EjectedUntil > 0 && s.Probing
}

// leftOut reports whether servers that fail may be left out: enough others remain.
func (s *Service) leftOut(now clock.Instant) bool {
	out := 0
	for _, server := range s.Servers {
		if server.out(now) {
			out++
		}
	}
	return float64(out) <= maxOutPart*float64(len(s.Servers))
}

// Start records that a request goes to the chosen server.
func (s *Service) Start(now clock.Instant, c Choice, q *Query) *Assignment {
	f := &Assignment{Server: c.Server, Started: now, memory: q.Tokens + q.Output/2}
	f.prefill = max(q.Tokens-c.Cached, 0)
	c.Server.Local.Requests++
	c.Server.Local.Prefill += f.prefill
	c.Server.Local.Memory += f.memory
	if c.Server.EjectedUntil > 0 {
		c.Server.Probing = true
	}
	for i := range q.Parts {
		s.hold(now, key(q.Parts, i), c.Server)
	}
	return f
}

func (s *Service) hold(now clock.Instant, k uint64, server *Server) {
	if s.warm == nil {
		s.warm = make(map[uint64][]holder)
	}
	holders := s.warm[k]
	for i := range holders {
		if holders[i].server == server {
			holders[i].at = now
			return
		}
	}
	if len(holders) >= maxHolders {
		holders = append(holders[:0], holders[1:]...)
	}
	if len(s.warm) > maxPrefixes {
		s.cool(now)
	}
	s.warm[k] = append(holders, holder{server: server, at: now})
}

// cool forgets prompts that were not used lately, or all when that is not enough.
func (s *Service) cool(now clock.Instant) {
	for k, holders := range s.warm {
		holders = slices.DeleteFunc(holders, func(h holder) bool { return now.Sub(h.at) > warmFor/4 })
		if len(holders) == 0 {
			delete(s.warm, k)
		} else {
			s.warm[k] = holders
		}
	}
	if len(s.warm) > maxPrefixes*3/4 {
		clear(s.warm)
	}
}

// FirstResponse records the first answer to a request.
func (s *Service) FirstResponse(f *Assignment) {
	if f.answered {
		return
	}
	f.answered = true
	f.Server.Local.Prefill -= f.prefill
}

// Finish records the end of a request. A failure is evidence against the server.
func (s *Service) Finish(now clock.Instant, f *Assignment, failed bool) {
	s.FirstResponse(f)
	f.Server.Local.Requests--
	f.Server.Local.Memory -= f.memory
	if !failed {
		s.Costs.ServiceTime += averageWeight / 4 * (float64(now.Sub(f.Started)) - s.Costs.ServiceTime)
	}
	f.Server.judge(now, failed)
}

// judge leaves a server out that fails often, and lets it back after a request that went well.
func (s *Server) judge(now clock.Instant, failed bool) {
	observed := 0.0
	if failed {
		observed = 1
	}
	s.FailureRate += averageWeight * (observed - s.FailureRate)
	probed := s.Probing
	s.Probing = false
	switch {
	case !failed && probed:
		s.EjectedUntil, s.outs, s.FailureRate = 0, 0, 0
	case failed && (probed || s.FailureRate > faultLimit):
		s.eject(now)
	}
}

func (s *Server) eject(now clock.Instant) {
	s.EjectedUntil = now.Add(min(outFor<<min(s.outs, 4), maxOutFor))
	s.outs++
}

// Unreachable leaves a server out at once, as no connection to it could be opened.
func (s *Server) Unreachable(now clock.Instant) { s.eject(now) }
