package proxy

import (
	"swiftbeam/internal/notice"
	"swiftbeam/internal/place"
	"swiftbeam/internal/turns"
	"swiftbeam/pkg/clock"
)

// noticeServer returns the start of a server as package notice identifies it.
func noticeServer(s *place.Server) notice.Server { return notice.Server{ID: s.ID, Born: s.Born} }

// observeNotices records what the server says of itself. What it asks of the daemon that sent the request does
// not concern this one if that was a helper.
func (a *attempt) observeNotices(server *place.Server, info ResponseInfo) {
	said := notice.Said{Leaving: info.Leaving}
	if a.helper == nil {
		said = notice.Said{
			Answered: info.Signed, Leaving: info.Leaving, Rest: info.RetryAfter, Limited: info.Limited, PerSecond: info.Limit,
			Brittle: info.Brittle, Tolerated: info.Tolerated, NoRoom: info.NotRun,
		}
	}
	p := a.proxy
	p.mu.Lock()
	change := p.notices.Observe(p.Clock.Now(), p.ClusterTime(), noticeServer(server), said)
	p.mu.Unlock()
	if change.Left {
		p.Log.Info("backend server leaves, by its answer", "id", a.request.ID, "server", server.ID, "address", server.Address)
		p.Pool.CloseIdle(server.Address)
	}
	if change.Rests {
		p.Log.Info("backend server wants no requests", "id", a.request.ID, "server", server.ID, "forMs", int64(info.RetryAfter))
	}
	if change.Limits {
		p.Log.Info("backend server limit", "id", a.request.ID, "server", server.ID, "limited", info.Limited, "perSecond", info.Limit,
			"brittle", info.Brittle, "tolerated", info.Tolerated)
	}
}

// UpdateLimits calls change with the time that the daemons agree on and the request limits of servers,
// while the proxy's lock is held.
func (p *Proxy) UpdateLimits(change func(now clock.Instant, limits *turns.Limiter)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p.ClusterTime(), &p.notices.Limits)
}

// LearnLimits records request limits of servers that other daemons observed.
func (p *Proxy) LearnLimits(list []turns.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range p.notices.Limits.Learn(list) {
		p.notices.Gate.RejectedElsewhere(p.Clock.Now(), server)
	}
}

// UpdateNotices calls change with what servers said of themselves while the proxy's lock is held.
func (p *Proxy) UpdateNotices(change func(*notice.Board)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.notices)
}

// SetCold records how long a server of a service is still cold.
func (p *Proxy) SetCold(service string, server notice.Server, remaining clock.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.ClusterTime()
	w := notice.Warming{PerSecond: p.serviceState(service).ColdPerSecond, Burst: p.ColdBurst, Until: now.Add(remaining)}
	if !p.notices.SetCold(now, server, w) {
		return
	}
	if remaining > 0 && w.PerSecond > 0 {
		p.Log.Info("backend server cold", "server", server.ID, "service", service, "perSecond", w.PerSecond, "forMs", int64(remaining))
	} else {
		p.Log.Info("backend server warm", "server", server.ID)
	}
}

// suspectCold records that a server may have started again without this daemon's knowledge: connections to it failed, and
// its next announcement takes time. The caller holds the lock.
func (p *Proxy) suspectCold(service string, s *place.Server) {
	svc, now := p.serviceState(service), p.ClusterTime()
	server, w := noticeServer(s), notice.Warming{PerSecond: svc.ColdPerSecond, Burst: p.ColdBurst, Until: now.Add(svc.ColdStart)}
	if w.PerSecond <= 0 || p.notices.Cold.Ends(s.ID).After(w.Until) || !p.notices.SetCold(now, server, w) {
		return
	}
	p.Log.Info("backend server may be cold", "server", s.ID, "service", service, "perSecond", w.PerSecond, "forMs", int64(svc.ColdStart))
}

// zoneReturns records that servers of an availability zone get requests again. While they got none they may have turned
// cold, and the announcement of that may be on its way. The caller holds the lock.
func (p *Proxy) zoneReturns(zone string) {
	for name, service := range p.services {
		for _, s := range service.Servers {
			if s.Zone == zone && !p.notices.Cold.Knows(s.ID) {
				p.suspectCold(name, s)
			}
		}
	}
}

// EndCold ends the limits of servers that have become warm.
func (p *Proxy) EndCold() {
	p.mu.Lock()
	ended := p.notices.Cold.Expire(p.ClusterTime())
	p.mu.Unlock()
	for _, server := range ended {
		p.Log.Info("backend server warm", "server", server)
	}
}

// ColdServers returns the number of servers that are cold.
func (p *Proxy) ColdServers() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(p.notices.Cold.Len())
}

// UnsentLimits returns up to n request limits of servers that the leader does not have yet.
func (p *Proxy) UnsentLimits(n int) []turns.Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices.Limits.Unsent(p.ClusterTime(), n)
}
