package detour

import (
	"slices"

	"swiftbeam/pkg/clock"
)

// Member is what an entry daemon reports to the leader.
type Member struct {
	Name string
	// Address is where it takes requests of others; empty if it takes none.
	Address string
	Zone    string
	// Load is the number of requests that it has at servers.
	Load int
	// Unreached are the services that it does not reach.
	Unreached []string
	// Stopping is set when it takes no requests any more.
	Stopping   bool
	ReportedAt clock.Instant
}

// Limits of the leader's offers.
const (
	// offered is the number of helpers in an offer, ownZone the number of those from the asking daemon's zone
	// if there are enough.
	offered = 6
	ownZone = 3
	// offerDraws bounds the daemons that are looked at for an offer.
	offerDraws = 48
	// reportTimeout is the time without a report after which a daemon is not offered.
	reportTimeout = clock.Second
	// memberRetention is the time without a report after which a daemon is forgotten.
	memberRetention = 30 * clock.Second
)

// Registry is the leader's record of the entry daemons. The zero value is ready to use. It is not safe for
// concurrent use.
type Registry struct {
	byName map[string]*Member
	zones  map[string][]*Member
	all    []*Member
}

// Register records the address of a daemon.
func (r *Registry) Register(now clock.Instant, name, address, zone string) {
	if m := r.byName[name]; m != nil && m.Zone == zone {
		m.Address = address
		return
	}
	r.remove(name)
	if r.byName == nil {
		r.byName = make(map[string]*Member)
		r.zones = make(map[string][]*Member)
	}
	m := &Member{Name: name, Address: address, Zone: zone, ReportedAt: now}
	r.byName[name] = m
	r.zones[zone] = append(r.zones[zone], m)
	r.all = append(r.all, m)
}

func (r *Registry) remove(name string) {
	m := r.byName[name]
	if m == nil {
		return
	}
	same := func(o *Member) bool { return o == m }
	delete(r.byName, name)
	r.zones[m.Zone] = slices.DeleteFunc(r.zones[m.Zone], same)
	r.all = slices.DeleteFunc(r.all, same)
}

// Report records the state of a daemon that is registered.
func (r *Registry) Report(now clock.Instant, name string, load int, unreached []string, stopping bool) {
	if m := r.byName[name]; m != nil {
		m.ReportedAt, m.Load, m.Unreached, m.Stopping = now, load, unreached, stopping
	}
}

// Offer returns helpers for a daemon that does not reach some services: a random choice, half of it from its
// own zone. Its cost does not grow with the number of daemons.
func (r *Registry) Offer(now clock.Instant, name string, services []string, random func(n int) int) []Helper {
	var list []Helper
	zone := ""
	if m := r.byName[name]; m != nil {
		zone = m.Zone
	}
	draw := func(from []*Member, limit int) {
		for range min(offerDraws, 4*len(from)) {
			if len(list) >= limit {
				return
			}
			m := from[random(len(from))]
			if now.Sub(m.ReportedAt) > memberRetention {
				r.remove(m.Name)
				return
			}
			if m.Name != name && m.helps(now, services) && !slices.ContainsFunc(list, func(h Helper) bool { return h.Name == m.Name }) {
				list = append(list, Helper{Name: m.Name, Address: m.Address, Zone: m.Zone, Load: m.Load})
			}
		}
	}
	draw(r.zones[zone], ownZone)
	draw(r.all, offered)
	return list
}

func (m *Member) helps(now clock.Instant, services []string) bool {
	if m.Address == "" || m.Stopping || now.Sub(m.ReportedAt) > reportTimeout {
		return false
	}
	return !slices.ContainsFunc(m.Unreached, func(s string) bool { return slices.Contains(services, s) })
}
