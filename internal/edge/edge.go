// Package edge is the process of an entry daemon: it takes the requests of callers, forwards them
// to backend servers, and learns what it needs from the core daemons. It keeps nothing on disk.
//
//	e := edge.New(settings, edge.Options{Log: log, Dialect: platform.Callers{}, Decode: platform.DecodeRules})
//	err := e.Start(ctx)
//	<-stopped
//	err = e.Stop(ctx)
package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"swiftbeam/internal/enrol"
	"swiftbeam/internal/feed"
	"swiftbeam/internal/meter"
	"swiftbeam/internal/peers"
	"swiftbeam/internal/place"
	"swiftbeam/internal/pool"
	"swiftbeam/internal/proxy"
	"swiftbeam/internal/retry"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/setup"
	"swiftbeam/internal/state"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// Times of an entry daemon.
const (
	sweepEvery = 500 * clock.Millisecond
	// leaveRotation is the time in which a balancer that asks each second takes a daemon out
	// after two refusals, and connections on their way arrive.
	leaveRotation = 2800 * clock.Millisecond
	// settleTime is how long a starting daemon waits for the other core daemons once one told it
	// the rules, so that it does not begin with those of one that lags.
	settleTime = 400 * clock.Millisecond
	// Limits of connections of callers; those of the rules are tighter or equal.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	headerBytes   = 64 << 10
)

// Options replace parts of an entry daemon.
type Options struct {
	Log     logr.Logger
	Clock   clock.Clock
	Dialect proxy.Dialect
	Decode  func(text []byte) (*rules.Set, error)
	// Metrics takes the daemon's counters; nil means none are shown.
	Metrics metrics.Registry
}

// Edge is one process.
type Edge struct {
	Settings *setup.Node
	Proxy    *proxy.Proxy
	Pool     *pool.Pool
	Net      *peers.Net
	Follower *feed.Follower

	options  Options
	log      logr.Logger
	clock    clock.Clock
	boot     string
	seeds    atomic.Pointer[[]string]
	draining atomic.Bool
	stopped  atomic.Bool
	rulesAt  atomic.Int64
	ready    atomic.Bool
	work     runner.Group
	cancel   context.CancelFunc
	callers  *http.Server
	check    *http.Server

	mu    sync.Mutex
	table enrol.Table
	// placed are the servers that may receive work now, by ID.
	placed map[string]*place.Server
	tally  tally
}

// New composes an entry daemon.
func New(s *setup.Node, o Options) *Edge {
	if o.Clock == nil {
		o.Clock = clock.Start()
	}
	e := &Edge{
		Settings: s, options: o, log: o.Log, clock: o.Clock, boot: runner.RandomName(), placed: make(map[string]*place.Server),
	}
	e.SetSeeds(s.Seeds)
	e.Net = peers.New(peers.Options{Token: s.PeerToken})
	e.Pool = &pool.Pool{Clock: e.clock}
	e.Proxy = &proxy.Proxy{
		Zone: s.Zone, Clock: e.clock, Dialect: o.Dialect, Pool: e.Pool, Log: o.Log, ClusterTime: func() clock.Instant { return e.Follower.ClusterTime() },
		RequestQuota: e.moreQuota,
		Retries:      retry.Budget{Ratio: retryPart * s.Retries.Ratio, Slack: retryPart * s.Retries.Slack / assumedEntries, Window: s.Retries.Window},
	}
	e.Proxy.SetWindows(s.Duties.UsageWindow, s.Quota.Window)
	e.Follower = &feed.Follower{
		Name: s.Name, Zone: s.Zone, Entry: true, Clock: e.clock, WallClock: &feed.WallClock{Clock: e.clock, Log: o.Log}, Log: o.Log, Client: e.Net.FeedClient,
		Seeds: func() []string { return *e.seeds.Load() }, OnEvent: e.hear,
	}
	e.tally.wake = make(chan struct{}, 1)
	if o.Metrics != nil {
		e.measure(o.Metrics)
	}
	return e
}

// measure registers the counters of the daemon.
func (e *Edge) measure(r metrics.Registry) {
	first := meter.NewHistogram(r, "entry.firstAnswerMs")
	e.Proxy.ObserveFirstResponse = func(took clock.Duration) { first.Update(int64(took)) }
	c := &e.Proxy.Counts
	for name, counter := range map[string]*atomic.Int64{
		"entry.requests": &c.Requests, "entry.refused": &c.Refused, "entry.failed": &c.Failed, "entry.attempts": &c.Attempts,
		"entry.cut": &c.Truncated, "entry.abandoned": &c.Abandoned, "entry.events": &c.Events, "entry.connectionsOpened": &e.Pool.Opened,
	} {
		meter.Gauge(r, name, counter.Load)
	}
	meter.Gauge(r, "entry.inFlight", e.Proxy.InFlight)
	meter.Gauge(r, "entry.rulesVersion", func() int64 {
		if set := e.Proxy.Rules(); set != nil {
			return int64(set.Version)
		}
		return 0
	})
	meter.Gauge(r, "entry.coresHeard", func() int64 {
		heard, _ := e.Follower.CoresHeard()
		return int64(heard)
	})
}

const (
	// retryPart is the part of the retry budget that is used; the rest covers windows of other
	// bounds than the daemon's own.
	retryPart = 0.7
	// assumedEntries divides the slack until the number of entry daemons is known.
	assumedEntries = 16
)

// SetSeeds replaces the addresses that the settings name.
func (e *Edge) SetSeeds(seeds []string) { e.seeds.Store(&seeds) }

// Start opens the listeners and begins to learn.
func (e *Edge) Start(ctx context.Context) error {
	ctx, e.cancel = context.WithCancel(ctx)
	if err := e.Net.Start(ctx, &e.work); err != nil {
		return err
	}
	e.work.Go(func() { e.Follower.Run(ctx) })
	e.work.Go(func() { e.runTally(ctx) })
	e.work.Go(func() { runner.Every(ctx, sweepEvery, e.Pool.CloseExpired) })
	e.callers = &http.Server{
		Handler: e.Proxy, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
	}
	e.check = &http.Server{Handler: http.HandlerFunc(e.readiness), ReadHeaderTimeout: headerTimeout}
	for address, server := range map[string]*http.Server{e.Settings.Callers: e.callers, e.Settings.Readiness: e.check} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", address)
		}
		go func() { _ = server.Serve(l) }()
	}
	return nil
}

// readiness answers the balancer.
func (e *Edge) readiness(w http.ResponseWriter, _ *http.Request) {
	if !e.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isReady reports whether new connections may come. A daemon that knew rules once goes on with
// them when the core is lost.
func (e *Edge) isReady() bool {
	if e.draining.Load() {
		return false
	}
	if e.ready.Load() {
		return true
	}
	first := clock.Instant(e.rulesAt.Load())
	if first == 0 {
		return false
	}
	heard, known := e.Follower.CoresHeard()
	if heard < known && e.clock.Now().Sub(first) < settleTime {
		return false
	}
	e.ready.Store(true)
	e.log.Info("ready", "rulesVersion", e.Proxy.Rules().Version, "cores", heard, "knownCores", known)
	return true
}

// Stop leaves the balancer's rotation, lets all requests finish, and ends the daemon.
func (e *Edge) Stop(ctx context.Context) error {
	e.draining.Store(true)
	e.Proxy.Draining.Store(true)
	e.log.Info("draining", "inFlight", e.Proxy.InFlight())
	runner.Pause(ctx, leaveRotation)
	err := e.callers.Shutdown(ctx)
	e.Proxy.Wait(ctx)
	e.stopped.Store(true)
	e.sendTally(ctx)
	e.cancel()
	_ = e.check.Close()
	e.work.Wait()
	return err
}

// hear takes an event of a core daemon.
func (e *Edge) hear(address string, event *peerpb.FeedEvent) {
	if d := event.GetRules(); d != nil {
		e.takeRules(address, d)
	}
	for _, m := range event.GetRollouts() {
		e.takeRollout(wire.RolloutFromPB(m))
	}
	if len(event.GetServers()) > 0 {
		e.takeServers(event.GetServers())
	}
}

// takeRollout puts a newer revision of a rollout in force.
func (e *Edge) takeRollout(r *state.Rollout) {
	e.Proxy.UpdateService(r.Service, func(g *proxy.ServiceState) {
		if g.Rollout != nil && g.Rollout.Revision >= r.Revision {
			return
		}
		g.Rollout = r
		e.log.Info("rollout", "service", r.Service, "target", r.To, "stage", r.Stage.String(), "share", r.Share, "revision", r.Revision,
			"reason", r.Reason.String(), "evidence", r.Evidence)
	})
}

func (e *Edge) takeRules(address string, d *peerpb.Document) {
	old := e.Proxy.Rules()
	if old != nil && old.Version >= d.GetVersion() {
		return
	}
	set, err := e.options.Decode(d.GetText())
	if err != nil {
		e.log.Error(err, "rules cannot be read", "version", d.GetVersion(), "from", address)
		return
	}
	if e.Proxy.SetRules(set) {
		e.log.Info("rules in force", "version", set.Version, "from", address, "routes", len(set.Routes), "accounts", len(set.Accounts))
		for _, a := range changedQuotas(old, set) {
			e.log.Info("quota in force", "account", a.Name, "rate", a.Rate, "burst", a.Burst, "rulesVersion", set.Version)
		}
		e.rulesAt.CompareAndSwap(0, int64(e.clock.Now()))
	}
}

// changedQuotas returns the accounts whose quota is new or differs from the old rules, which may be nil.
func changedQuotas(old, set *rules.Set) []rules.Account {
	var changed []rules.Account
	for i := range set.Accounts {
		a := &set.Accounts[i]
		var was *rules.Account
		if old != nil {
			was = old.Account(a.Name)
		}
		if was == nil || was.Rate != a.Rate || was.Burst != a.Burst {
			changed = append(changed, *a)
		}
	}
	return changed
}

func (e *Edge) takeServers(list []*peerpb.ServerRecord) {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := false
	for _, m := range list {
		r := wire.RecordFromPB(now, m)
		if e.table.Merge(r) {
			changed = true
			e.log.Info("backend server", "server", r.ID, "service", r.Service, "address", r.Address, "state", r.State.String(), "sequence", r.Sequence)
		}
	}
	if changed {
		e.placeServers()
	}
}

// placeServers brings the services of the proxy in line with the table.
func (e *Edge) placeServers() {
	usable := make(map[string]*enrol.Record)
	for id, r := range e.table.ByID {
		if e.table.Usable(r) {
			usable[id] = r
		}
	}
	for id, s := range e.placed {
		r := e.table.ByID[id]
		if usable[id] != nil && usable[id].Address == s.Address {
			continue
		}
		delete(e.placed, id)
		service := ""
		if r != nil {
			service = r.Service
		}
		e.Proxy.UpdateService(service, func(g *proxy.ServiceState) { g.Remove(id) })
		e.Pool.CloseIdle(s.Address)
	}
	for id, r := range usable {
		if e.placed[id] != nil {
			continue
		}
		s := &place.Server{ID: id, Address: r.Address, Zone: r.Zone, Version: r.Version, Slots: r.Slots, Spot: r.Spot}
		e.placed[id] = s
		e.Proxy.UpdateService(r.Service, func(g *proxy.ServiceState) { g.Add(s) })
	}
}
