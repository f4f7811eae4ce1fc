package proxy

import (
	"slices"

	"swiftbeam/internal/place"
	"swiftbeam/internal/state"
)

// SetEvacuation applies a change of the evacuation of an availability zone if it is newer than the last
// one of that zone, and reports whether it was.
func (p *Proxy) SetEvacuation(e state.Evacuation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, known := p.evacuations[e.Zone]; known && old.Revision >= e.Revision {
		return false
	}
	if p.evacuations == nil {
		p.evacuations = make(map[string]state.Evacuation)
	}
	p.evacuations[e.Zone] = e
	if !e.Evacuated {
		p.zoneReturns(e.Zone)
	}
	return true
}

// EvacuatedZones returns the names of the evacuated zones in order.
func (p *Proxy) EvacuatedZones() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var zones []string
	for _, e := range p.evacuations {
		if e.Evacuated {
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// isEvacuated reports whether nothing may be sent to a server because of its zone. The caller holds the lock.
func (p *Proxy) isEvacuated(s *place.Server) bool { return p.evacuations[s.Zone].Evacuated }

// avoids reports whether the request must not be sent to a server because of its zone: this daemon or the one that the
// request came from knows of the evacuation. The caller holds the lock.
func (x *exchange) avoids(s *place.Server) bool {
	return x.proxy.isEvacuated(s) || x.hop != nil && slices.Contains(x.hop.AvoidZones, s.Zone)
}

// allEvacuated reports whether the service has servers, and all are in evacuated zones.
func (x *exchange) allEvacuated() bool {
	p := x.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	servers := p.serviceState(x.service).Servers
	return len(servers) > 0 && !slices.ContainsFunc(servers, func(s *place.Server) bool { return !x.avoids(s) })
}
