// Package roster is the service that tracks backend servers and daemons. It owns the lease table of
// package member and the server pools of package route, and forwards announcements to other daemons by
// gossip.
//
//	r := &roster.Roster{Self: self, Clock: c, Net: net, Directory: directory, Lease: lease}
//	r.Announce(backend)
//	grant, err := r.Acquire(ctx, func() roster.Requirements {
//		return roster.Requirements{Service: "luthier-model", Version: "v1"}
//	})
//	defer grant.Release(outcome)
package roster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"swiftbeam/internal/crash"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/member"
	"swiftbeam/internal/peers"
	"swiftbeam/internal/ring"
	"swiftbeam/internal/route"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/valid"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// Intervals and timeouts.
const (
	// GossipInterval is the time between two rounds of gossip.
	GossipInterval = 250 * clock.Millisecond
	// FullInterval is the time between two rounds in which all records are sent.
	FullInterval  = clock.Second
	gossipTimeout = clock.Second
	acquirePause  = 20 * clock.Millisecond
)

// Directory lists the other daemons.
type Directory interface {
	// Peers returns the daemons to gossip with.
	Peers() []member.Daemon
	// Applied returns the highest log index that this daemon has applied.
	Applied() uint64
}

// RemovalObserver is notified of backend servers that receive no new work. It must not block.
type RemovalObserver interface {
	ServerRemoved(fleet.Backend)
}

// Roster tracks backend servers and daemons. Set the exported fields before Start.
type Roster struct {
	Self            member.Daemon
	Clock           clock.Clock
	Net             *peers.Net
	Directory       Directory
	RemovalObserver RemovalObserver
	Policy          route.Policy
	Log             logr.Logger
	// Lease is how long a backend server or daemon counts as live after the last contact.
	Lease clock.Duration
	// Loads returns the number of running requests of each client account and service at this daemon. They
	// are sent to the other daemons. It may be nil.
	Loads func() []*peerpb.AccountLoad

	mu    sync.Mutex
	table member.Table
	// rejections counts the invalid records in gossip.
	rejections valid.Rejections
	pools      map[poolKey]*route.Pool
	loads      map[string][]*peerpb.AccountLoad
	draining   bool
	// announcedDrain is the value of draining in the last gossip message.
	announcedDrain bool
	// gossipNow triggers a round of gossip before its interval has passed.
	gossipNow *ring.Ring[struct{}]
	// inFlight has the addresses of the daemons that have not replied to the last message yet.
	inFlight   map[string]bool
	nextFullAt clock.Instant
}

type poolKey struct {
	service string
	version string
}

// Start runs gossip and the expiry of leases in the background until ctx ends.
func (r *Roster) Start(ctx context.Context, g *runner.Group) error {
	r.mu.Lock()
	r.ensureInit()
	r.mu.Unlock()
	g.Go(func() { r.run(ctx, g) })
	return nil
}

func (r *Roster) ensureInit() {
	if r.pools == nil {
		r.pools = make(map[poolKey]*route.Pool)
		r.loads = make(map[string][]*peerpb.AccountLoad)
		r.gossipNow = ring.New[struct{}](1)
		r.inFlight = make(map[string]bool)
		r.table.Lease = r.Lease
	}
	if r.Policy == nil {
		r.Policy = route.Score{}
	}
}

// Drain announces to the other daemons that this one is stopping.
func (r *Roster) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	r.gossipNow.Offer(struct{}{})
}

// Announce merges an announcement that this daemon received from a backend server.
func (r *Roster) Announce(b fleet.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ensureInit()
	r.applyChanges(r.table.Announce(r.Clock.Now(), b))
}

// Reclaim handles a notice that the VM at address is reclaimed at the given instant.
func (r *Roster) Reclaim(address string, at clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ensureInit()
	r.applyChanges(r.table.Reclaim(address, at))
}

// Rejected returns the number of invalid records that other daemons sent.
func (r *Roster) Rejected() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rejections.Count
}

// ReceiveGossip merges a gossip message from another daemon. An invalid record in it is left out.
func (r *Roster) ReceiveGossip(m *peerpb.GossipRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ensureInit()
	now := r.Clock.Now()
	backends := make([]fleet.Backend, 0, len(m.GetBackends()))
	for _, b := range m.GetBackends() {
		server, err := wire.BackendFromPB(now, b)
		if err == nil {
			backends = append(backends, server)
		} else if r.rejections.Add(now, server.Service+" "+server.Address) {
			r.Log.Error(err, "backend server rejected", "service", valid.Quote(server.Service), "address", valid.Quote(server.Address), "from", m.GetFrom().GetName())
		}
	}
	from := daemonFromPB(m)
	r.loads[from.ID] = m.GetLoads()
	r.applyChanges(r.table.MergeGossip(now, from, backends))
}

func daemonFromPB(m *peerpb.GossipRequest) member.Daemon {
	f := m.GetFrom()
	return member.Daemon{
		ID: f.GetId(), Name: f.GetName(), Address: f.GetAddress(), Zone: f.GetZone(), Region: f.GetRegion(),
		Applied: m.GetApplied(), Draining: m.GetDraining(), Boot: m.GetBoot(),
	}
}

// applyChanges applies changes of the lease table to the pools.
func (r *Roster) applyChanges(changes []member.Change) {
	now := r.Clock.Now()
	for _, c := range changes {
		switch c := c.(type) {
		case member.Joined:
			r.Log.Info("backend server joined", "service", c.Backend.Service, "version", c.Backend.Version, "address", c.Backend.Address)
			r.pool(c.Backend).Put(c.Backend)
		case member.Updated:
			if c.Backend.State == fleet.Ready {
				r.pool(c.Backend).Put(c.Backend)
			}
		case member.Removed:
			r.removeServer(now, c.Backend)
		}
	}
}

func (r *Roster) removeServer(now clock.Instant, b *fleet.Backend) {
	r.Log.Info("backend server removed from routing", "service", b.Service, "address", b.Address, "state", b.State.String())
	pool := r.pool(b)
	pool.Remove(member.KeyOf(b))
	if b.State == fleet.Reclaimed {
		pool.MarkReclaiming(now, b.Zone)
	}
	r.gossipNow.Offer(struct{}{})
	if r.RemovalObserver != nil {
		r.RemovalObserver.ServerRemoved(*b)
	}
}

func (r *Roster) pool(b *fleet.Backend) *route.Pool {
	key := poolKey{service: b.Service, version: b.Version}
	p := r.pools[key]
	if p == nil {
		p = &route.Pool{Costs: route.DefaultCosts}
		r.pools[key] = p
	}
	return p
}

// Requirements describes the backend server that a request needs.
type Requirements struct {
	Service string
	Version string
	// Prefixes are the hashes of the prompt's prefixes, the shortest first.
	Prefixes []uint64
	// Avoid is the address of a server to avoid, such as that of the last attempt. It may be chosen if
	// the policy finds no other usable server.
	Avoid string
	// MaxServers limits the choice to the first servers in order of address; zero means all.
	MaxServers int
}

// Grant is the right of one request to use a backend server. Release returns it.
type Grant struct {
	Address string
	Reason  route.Reason
	roster  *Roster
	pool    *route.Pool
	server  *route.Server
	once    sync.Once
}

// TryAcquire chooses a server. It returns nil if none is available.
func (r *Roster) TryAcquire(n Requirements) *Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ensureInit()
	pool := r.pools[poolKey{service: n.Service, version: n.Version}]
	if pool == nil {
		return nil
	}
	now := r.Clock.Now()
	pool.Daemons = r.table.CountLive(now) + 1
	choice := pool.Choose(r.Policy, &route.Query{
		Now: now, Zone: r.Self.Zone, Prefixes: n.Prefixes, Draw: rand.Uint64(), Avoid: n.Avoid, MaxServers: n.MaxServers,
	})
	if choice.Server == nil {
		return nil
	}
	pool.Started(choice.Server, n.Prefixes)
	return &Grant{Address: choice.Server.Key.Address, Reason: choice.Reason, roster: r, pool: pool, server: choice.Server}
}

// Acquire chooses a server that meets the requirements n returns. If none is available, it waits for one
// until ctx ends; it calls n again before each attempt.
func (r *Roster) Acquire(ctx context.Context, n func() Requirements) (*Grant, error) {
	for {
		required := n()
		if g := r.TryAcquire(required); g != nil {
			return g, nil
		}
		select {
		case <-time.After(acquirePause.Std()):
		case <-ctx.Done():
			return nil, fault.New(fault.Unavailable, "no backend server of %s is ready", required.Service).
				Remedy("retry; operators: start replicas or check their announcements").WithRetryAfter(1)
		}
	}
}

// Release reports the outcome of the request and ends the use of the server. Only the first call has an
// effect.
func (g *Grant) Release(o route.Outcome) {
	g.once.Do(func() {
		g.roster.mu.Lock()
		defer g.roster.mu.Unlock()
		g.pool.Finished(g.roster.Clock.Now(), g.server, o)
	})
}

// StartID identifies the start of the server.
func (g *Grant) StartID() string {
	return crash.StartID(g.Address, int64(g.server.Incarnation))
}

// AnnouncedAt returns the time up to which announcements of a start of a server, which StartID identifies, have arrived; zero
// if there are none, or if the start is not the last one.
func (r *Roster) AnnouncedAt(service, startID string) clock.Instant {
	address, start := crash.SplitStartID(startID)
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.table.Backends[member.Key{Service: service, Address: address}]
	if b == nil || int64(b.Incarnation) != start || b.State != fleet.Ready {
		return 0
	}
	return b.UpAt
}

// Leaving reports whether the server has announced that it stops or that its VM is reclaimed.
func (g *Grant) Leaving() bool {
	g.roster.mu.Lock()
	defer g.roster.mu.Unlock()
	b := g.roster.table.Backends[g.server.Key]
	return b != nil && b.Incarnation == g.server.Incarnation && (b.State == fleet.Leaving || b.State == fleet.Reclaimed)
}

// CountReady returns the number of servers of a version that may receive new work.
func (r *Roster) CountReady(service, version string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[poolKey{service: service, version: version}]; p != nil {
		return len(p.Servers)
	}
	return 0
}

// Slots returns the number of requests that the ready servers of a service can run at once.
func (r *Roster) Slots(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	slots := 0
	for key, p := range r.pools {
		if key.service != service {
			continue
		}
		for _, s := range p.Servers {
			slots += s.Slots
		}
	}
	return slots
}

// Backends returns the backend servers whose lease has not expired.
func (r *Roster) Backends() []fleet.Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.All()
}

// Addresses returns the addresses of the servers of a service whose lease has not expired, in any state.
func (r *Roster) Addresses(service string) []string {
	var list []string
	for _, b := range r.Backends() {
		if b.Service == service {
			list = append(list, b.Address)
		}
	}
	return list
}

// ServiceOf returns the service of the server at an address, and the number of its servers; an empty name if no
// server is known there.
func (r *Roster) ServiceOf(address string) (string, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, count := "", 0
	for _, b := range r.table.Backends {
		if b.Address == address {
			name = b.Service
		}
	}
	for _, b := range r.table.Backends {
		if name != "" && b.Service == name {
			count++
		}
	}
	return name, count
}

// Alive reports whether the run of another daemon that is identified by holder was contacted within the
// lease.
func (r *Roster) Alive(holder string) bool {
	return slices.ContainsFunc(r.Live(), func(d member.Daemon) bool { return d.Holder() == holder })
}

// CountDaemons returns the number of live daemons, including this one.
func (r *Roster) CountDaemons() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.CountLive(r.Clock.Now()) + 1
}

// Live returns the other daemons that were contacted within the lease.
func (r *Roster) Live() []member.Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Live(r.Clock.Now())
}

// RemoteRunning returns the number of running requests to a service at the other live daemons, by client
// account.
func (r *Roster) RemoteRunning(service string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := make(map[string]int)
	for _, d := range r.table.Live(r.Clock.Now()) {
		for _, l := range r.loads[d.ID] {
			if l.GetService() == service {
				sum[l.GetAccount()] += int(l.GetRunning())
			}
		}
	}
	return sum
}

// Reachable returns the other daemons that were contacted within the lease. If there are none, as just
// after a start, it returns all other members of the group.
func (r *Roster) Reachable() []member.Daemon {
	if live := r.Live(); len(live) > 0 {
		return live
	}
	return r.Directory.Peers()
}

// Dump is the diagnostic state of a roster.
type Dump struct {
	Backends []fleet.Backend
	Daemons  []member.Daemon
}

// Dump returns the backend servers and the other live daemons.
func (r *Roster) Dump() any { return Dump{Backends: r.Backends(), Daemons: r.Live()} }

func (r *Roster) run(ctx context.Context, g *runner.Group) {
	timer := time.NewTicker(GossipInterval.Std())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-r.gossipNow.Out():
		}
		loads := r.localLoads()
		r.mu.Lock()
		r.applyChanges(r.table.Tick(r.Clock.Now()))
		request := r.gossipMessage(loads)
		r.mu.Unlock()
		if request != nil {
			r.broadcast(ctx, g, request)
		}
	}
}

// localLoads returns the loads of this daemon. It must be called without the roster's lock, because
// admission calls the roster under its own lock.
func (r *Roster) localLoads() []*peerpb.AccountLoad {
	if r.Loads == nil {
		return nil
	}
	return r.Loads()
}

// gossipMessage returns a message with the records that changed since the last round, or with all of them
// if a full round is due. It returns nil if there is nothing to send.
func (r *Roster) gossipMessage(loads []*peerpb.AccountLoad) *peerpb.GossipRequest {
	now := r.Clock.Now()
	backends := r.table.TakeRecent()
	full := !now.Before(r.nextFullAt)
	if !full && len(backends) == 0 && len(loads) == 0 && r.draining == r.announcedDrain {
		return nil
	}
	r.announcedDrain = r.draining
	if full {
		r.nextFullAt = now.Add(FullInterval)
		backends = r.table.All()
	}
	m := &peerpb.GossipRequest{
		From: &peerpb.Member{
			Id: r.Self.ID, Name: r.Self.Name, Address: r.Self.Address, Zone: r.Self.Zone, Region: r.Self.Region,
		},
		Applied: r.Directory.Applied(), Draining: r.draining, Loads: loads, Boot: r.Self.Boot,
	}
	for i := range backends {
		m.Backends = append(m.Backends, wire.BackendToPB(now, &backends[i]))
	}
	return m
}

// broadcast sends a message to all other daemons, except those that have not replied to the last message
// yet. They receive the missed records in the next full round.
func (r *Roster) broadcast(ctx context.Context, g *runner.Group, m *peerpb.GossipRequest) {
	for _, d := range r.Directory.Peers() {
		if !r.beginSend(d.Address) {
			continue
		}
		g.Go(func() {
			defer r.endSend(d.Address)
			ctx, cancel := context.WithTimeout(ctx, gossipTimeout.Std())
			defer cancel()
			_, _ = r.Net.Client(d.Address).Gossip(ctx, connect.NewRequest(m))
		})
	}
}

func (r *Roster) beginSend(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[address] {
		return false
	}
	r.inFlight[address] = true
	return true
}

func (r *Roster) endSend(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, address)
}
