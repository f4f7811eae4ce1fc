package proxy

import (
	"math/rand/v2"
	"slices"

	"swiftbeam/internal/frail"
	"swiftbeam/internal/place"
	"swiftbeam/pkg/clock"
)

// returnSpread is the fraction of a waiting time over which callers are spread, so that those that were
// refused together do not return together.
const returnSpread = 0.25

// untilServer returns the time until a server takes requests again. It reports false if there is another
// reason than pauses and limits of the servers for which none was chosen.
func (x *exchange) untilServer() (clock.Duration, bool) {
	p := x.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	now, clusterTime := p.Clock.Now(), p.ClusterTime()
	shortest, found := clock.Duration(0), false
	for _, s := range p.serviceState(x.service).Servers {
		wait, takes := p.notices.Wait(now, clusterTime, noticeServer(s))
		if !takes || x.avoids(s) || x.allowVersion != nil && !x.allowVersion(s.Version) {
			continue
		}
		if wait <= 0 {
			return 0, false
		}
		if !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest, found
}

// maxServersTried is the number of tried servers above which a request gives up, even when none of
// them could be reached.
const maxServersTried = 4

// chooseServer chooses the version and the backend server for the next attempt.
func (x *exchange) chooseServer() place.Choice {
	p := x.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	service := p.serviceState(x.service)
	x.pickVersion(service)
	choice := x.chooseOf(service)
	if choice.Server == nil && x.allowFallback(service.Rollout) {
		choice = x.chooseOf(service)
	}
	return choice
}

// maxBrittleTried is the number of brittle servers without room for a request after which it is refused.
const maxBrittleTried = 4

// chooseOf chooses a server of a service that takes the request now. The caller holds the lock.
func (x *exchange) chooseOf(service *ServiceState) place.Choice {
	p := x.proxy
	x.noRoom = false
	q := x.query()
	for range maxBrittleTried {
		choice := service.Choose(q)
		if choice.Server == nil {
			return choice
		}
		if !p.notices.Limits.IsBrittle(choice.Server.ID) || p.notices.Gate.Allows(x.brittleQuery(service, choice.Server)) {
			p.notices.Limits.Take(p.ClusterTime(), choice.Server.ID)
			x.turnUntil = p.notices.Cold.Take(p.ClusterTime(), choice.Server.ID)
			return choice
		}
		x.noRoom = true
		q.Avoid = append(slices.Clip(q.Avoid), choice.Server.ID)
	}
	return place.Choice{}
}

// brittleQuery describes the request at a brittle server.
func (x *exchange) brittleQuery(service *ServiceState, s *place.Server) frail.Query {
	p := x.proxy
	now := p.Clock.Now()
	q := frail.Query{
		Now: now, Server: s.ID, Service: service.Name, Servers: len(service.Servers), Slots: s.Slots, Own: s.Local.Requests, Load: s.Local.Requests + s.Remote.Requests,
		Daemons: p.limiter.Entries, Rank: p.notices.Limits.Rank(), Requests: service.Budget.PerSecond(now), Hold: clock.Duration(service.Costs.ServiceTime),
		Urgency: x.baseUrgency(), Again: x.noRoom, Draw: rand.Float64(),
	}
	if s.Born > 0 {
		q.Since = now.Add(s.Born.Sub(p.ClusterTime()))
	}
	return q
}

func (x *exchange) query() *place.Query {
	p := x.proxy
	now, clusterTime := p.Clock.Now(), p.ClusterTime()
	return &place.Query{
		Now: now, Zone: p.Zone, Tokens: x.request.Prompt, Output: x.request.Output, Parts: x.request.Parts,
		Avoid: x.tried, Versions: x.allowVersion, Draw: rand.Uint64(),
		Blocked: func(s *place.Server) bool {
			return x.avoids(s) || p.notices.Excludes(now, clusterTime, noticeServer(s)) || x.idleOnly && !p.Pool.HasIdle(s.Address, x.idleSince)
		},
	}
}
