// Package roster is the service that knows the backend servers and daemons: it owns the lease
// table of package member and the pools of package route, and passes on what it hears.
//
//	r := &roster.Roster{Self: self, Clock: c, Net: net}
//	r.Announce(backend)
//	grant, err := r.Acquire(ctx, roster.Need{Service: "luthier-model", Version: "v1"})
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

	"swiftbeam/internal/fault"
	"swiftbeam/internal/member"
	"swiftbeam/internal/peers"
	"swiftbeam/internal/ring"
	"swiftbeam/internal/route"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// Rhythm of gossip.
const (
	// GossipInterval is the pause between two rounds.
	GossipInterval = 250 * clock.Millisecond
	// FullInterval is the pause between two rounds in which all records travel.
	FullInterval  = clock.Second
	gossipTimeout = clock.Second
	acquirePause  = 20 * clock.Millisecond
)

// Directory names the other daemons.
type Directory interface {
	// Peers returns the daemons to gossip with.
	Peers() []member.Daemon
	// Applied is the newest log index that this daemon has applied.
	Applied() uint64
}

// RemovalObserver is told of backend servers that receive no more work. It must not block.
type RemovalObserver interface {
	ServerRemoved(fleet.Backend)
}

// Roster is the service. Set the exported fields before Start.
type Roster struct {
	Self            member.Daemon
	Clock           clock.Clock
	Net             *peers.Net
	Directory       Directory
	RemovalObserver RemovalObserver
	Policy          route.Policy
	Log             logr.Logger
	// Lease is how long a silent backend server or daemon counts as present.
	Lease clock.Duration
	// Loads returns the running requests of each client account, to be passed on.
	Loads func() []*peerpb.AccountLoad

	mu       sync.Mutex
	table    member.Table
	pools    map[poolKey]*route.Pool
	loads    map[string][]*peerpb.AccountLoad
	draining bool
	// toldDrain is the value of draining in the last message.
	toldDrain bool
	urgent    *ring.Ring[struct{}]
	busy      map[string]bool
	fullAt    clock.Instant
}

type poolKey struct {
	service string
	version string
}

// Start begins to gossip and to expire leases.
func (r *Roster) Start(ctx context.Context, g *runner.Group) error {
	r.mu.Lock()
	r.prepare()
	r.mu.Unlock()
	g.Go(func() { r.run(ctx, g) })
	return nil
}

func (r *Roster) prepare() {
	if r.pools == nil {
		r.pools = make(map[poolKey]*route.Pool)
		r.loads = make(map[string][]*peerpb.AccountLoad)
		r.urgent = ring.New[struct{}](1)
		r.busy = make(map[string]bool)
		r.table.Lease = r.Lease
	}
	if r.Policy == nil {
		r.Policy = route.Score{}
	}
}

// Drain tells the other daemons that this one stops.
func (r *Roster) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	r.urgent.Offer(struct{}{})
}

// Announce takes an announcement that a backend server made to this daemon.
func (r *Roster) Announce(b fleet.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prepare()
	r.take(r.table.Announce(r.Clock.Now(), b))
}

// Reclaim takes a notice that the VM at address is taken back.
func (r *Roster) Reclaim(address string, at clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prepare()
	r.take(r.table.Reclaim(address, at))
}

// ReceiveGossip merges what another daemon passed on.
func (r *Roster) ReceiveGossip(m *peerpb.GossipRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prepare()
	now := r.Clock.Now()
	backends := make([]fleet.Backend, 0, len(m.GetBackends()))
	for _, b := range m.GetBackends() {
		backends = append(backends, wire.BackendFromPB(now, b))
	}
	from := daemonFromPB(m)
	r.loads[from.ID] = m.GetLoads()
	r.take(r.table.MergeGossip(now, from, backends))
}

func daemonFromPB(m *peerpb.GossipRequest) member.Daemon {
	f := m.GetFrom()
	return member.Daemon{
		ID: f.GetId(), Name: f.GetName(), Address: f.GetAddress(), Zone: f.GetZone(), Region: f.GetRegion(),
		Applied: m.GetApplied(), Draining: m.GetDraining(), Boot: m.GetBoot(),
	}
}

// take carries changes of the table into the pools.
func (r *Roster) take(changes []member.Change) {
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
			r.leave(now, c.Backend)
		}
	}
}

func (r *Roster) leave(now clock.Instant, b *fleet.Backend) {
	r.Log.Info("backend server left", "service", b.Service, "address", b.Address, "state", b.State.String())
	pool := r.pool(b)
	pool.Remove(member.KeyOf(b))
	if b.State == fleet.Reclaimed {
		pool.MarkReclaiming(now, b.Zone)
	}
	r.urgent.Offer(struct{}{})
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

// Requirements describes the backend server that a request wants.
type Requirements struct {
	Service    string
	Version    string
	Prefixes   []uint64
	Avoid      string
	MaxServers int
}

// Grant is the use of a backend server by one request.
type Grant struct {
	Address string
	Reason  route.Reason
	roster  *Roster
	pool    *route.Pool
	server  *route.Server
	once    sync.Once
}

// TryAcquire chooses a server, or returns nil when there is none.
func (r *Roster) TryAcquire(n Requirements) *Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prepare()
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

// Acquire chooses a server, waiting for one until ctx ends.
func (r *Roster) Acquire(ctx context.Context, n func() Requirements) (*Grant, error) {
	for {
		need := n()
		if g := r.TryAcquire(need); g != nil {
			return g, nil
		}
		select {
		case <-time.After(acquirePause.Std()):
		case <-ctx.Done():
			return nil, fault.New(fault.Unavailable, "no backend server of %s is ready", need.Service).
				Remedy("retry; operators: start replicas or check their announcements").After(1)
		}
	}
}

// Release ends the use. Only the first call counts.
func (g *Grant) Release(o route.Outcome) {
	g.once.Do(func() {
		g.roster.mu.Lock()
		defer g.roster.mu.Unlock()
		g.pool.Finished(g.roster.Clock.Now(), g.server, o)
	})
}

// CountReady returns the number of servers of a version that may receive work.
func (r *Roster) CountReady(service, version string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[poolKey{service: service, version: version}]; p != nil {
		return len(p.Servers)
	}
	return 0
}

// Slots returns the number of requests that all ready servers of a service run at once.
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

// Backends returns all backend servers whose lease holds.
func (r *Roster) Backends() []fleet.Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.All()
}

// Addresses returns all servers of a service whose lease holds, whatever their state.
func (r *Roster) Addresses(service string) []string {
	var list []string
	for _, b := range r.Backends() {
		if b.Service == service {
			list = append(list, b.Address)
		}
	}
	return list
}

// Alive reports whether the run of another daemon that holder names was heard within the lease.
func (r *Roster) Alive(holder string) bool {
	return slices.ContainsFunc(r.Live(), func(d member.Daemon) bool { return d.Holder() == holder })
}

// CountDaemons returns the number of daemons that are heard, with this one.
func (r *Roster) CountDaemons() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.CountLive(r.Clock.Now()) + 1
}

// Live returns the other daemons that were heard within the lease.
func (r *Roster) Live() []member.Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Live(r.Clock.Now())
}

// RemoteRunning returns the running requests of each client account of a service at other daemons.
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

// Reachable returns the other daemons that were heard within the lease. A daemon that has just
// started and heard none yet takes all members of the group for reachable.
func (r *Roster) Reachable() []member.Daemon {
	if live := r.Live(); len(live) > 0 {
		return live
	}
	return r.Directory.Peers()
}

// Dump is the shown state of a roster.
type Dump struct {
	Backends []fleet.Backend
	Daemons  []member.Daemon
}

// Dump returns the backend servers and daemons.
func (r *Roster) Dump() any { return Dump{Backends: r.Backends(), Daemons: r.Live()} }

func (r *Roster) run(ctx context.Context, g *runner.Group) {
	timer := time.NewTicker(GossipInterval.Std())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-r.urgent.Out():
		}
		loads := r.loadsHere()
		r.mu.Lock()
		r.take(r.table.Tick(r.Clock.Now()))
		request := r.message(loads)
		r.mu.Unlock()
		if request != nil {
			r.spread(ctx, g, request)
		}
	}
}

// loadsHere asks for the loads of this daemon. The roster must not be locked, because admission
// asks the roster under its own lock.
func (r *Roster) loadsHere() []*peerpb.AccountLoad {
	if r.Loads == nil {
		return nil
	}
	return r.Loads()
}

// message returns what changed since the last round, or all when that is due. It returns nil when
// there is nothing to tell.
func (r *Roster) message(loads []*peerpb.AccountLoad) *peerpb.GossipRequest {
	now := r.Clock.Now()
	backends := r.table.TakeRecent()
	full := !now.Before(r.fullAt)
	if !full && len(backends) == 0 && len(loads) == 0 && r.draining == r.toldDrain {
		return nil
	}
	r.toldDrain = r.draining
	if full {
		r.fullAt = now.Add(FullInterval)
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

// spread sends a message to all other daemons. A daemon that has not answered the last one is
// left out; the next full round reaches it.
func (r *Roster) spread(ctx context.Context, g *runner.Group, m *peerpb.GossipRequest) {
	for _, d := range r.Directory.Peers() {
		if !r.claim(d.Address) {
			continue
		}
		g.Go(func() {
			defer r.unclaim(d.Address)
			ctx, cancel := context.WithTimeout(ctx, gossipTimeout.Std())
			defer cancel()
			_, _ = r.Net.Client(d.Address).Gossip(ctx, connect.NewRequest(m))
		})
	}
}

func (r *Roster) claim(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[address] {
		return false
	}
	r.busy[address] = true
	return true
}

func (r *Roster) unclaim(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, address)
}
