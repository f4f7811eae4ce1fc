// Package edge is the process of an entry daemon. It accepts the requests of callers, forwards them
// to backend servers, and receives rules, rollouts and server records from the core daemons. It
// stores nothing on disk.
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

	"swiftbeam/internal/abort"
	"swiftbeam/internal/conns"
	"swiftbeam/internal/crash"
	"swiftbeam/internal/detour"
	"swiftbeam/internal/enrol"
	"swiftbeam/internal/feed"
	"swiftbeam/internal/intake"
	"swiftbeam/internal/meter"
	"swiftbeam/internal/moves"
	"swiftbeam/internal/notice"
	"swiftbeam/internal/peers"
	"swiftbeam/internal/place"
	"swiftbeam/internal/pool"
	"swiftbeam/internal/proxy"
	"swiftbeam/internal/retry"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/setup"
	"swiftbeam/internal/state"
	"swiftbeam/internal/turns"
	"swiftbeam/internal/valid"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// Timeouts and limits of an entry daemon.
const (
	sweepInterval = 500 * clock.Millisecond
	// rotationDelay is how long a stopping daemon still accepts connections: a load balancer that
	// checks readiness each second removes a daemon after two failed checks, and connections
	// already in transit must still be served.
	rotationDelay = 2800 * clock.Millisecond
	// rulesSettleTime is how long a starting daemon that has rules waits for the other core daemons
	// before it reports ready, so that it does not start with the rules of a core daemon that lags.
	rulesSettleTime = 400 * clock.Millisecond
	// answerTime is the part of the time to stop in which requests that have not ended get their final response.
	answerTime = 300 * clock.Millisecond
	// stopInterval is the interval at which a stopping daemon checks its connections.
	stopInterval = 20 * clock.Millisecond
	// Limits of callers' connections; those of the rules are tighter or equal.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
)

// Options are the replaceable parts of an entry daemon.
type Options struct {
	Log     logr.Logger
	Clock   clock.Clock
	Dialect proxy.Dialect
	Decode  func(text []byte) (*rules.Set, error)
	// Metrics is where the daemon registers its metrics; nil registers none.
	Metrics metrics.Registry
	// Limits bounds what clients use of the process; nil derives it from the settings.
	Limits *intake.Limits
}

// Edge is one entry daemon.
type Edge struct {
	Settings *setup.Node
	Proxy    *proxy.Proxy
	Pool     *pool.Pool
	// PeerPool holds the connections to other entry daemons.
	PeerPool *pool.Pool
	Net      *peers.Net
	Follower *feed.Follower

	options         Options
	log             logr.Logger
	clock           clock.Clock
	boot            string
	startedAt       clock.Instant
	seeds           atomic.Pointer[[]string]
	draining        atomic.Bool
	stopped         atomic.Bool
	firstRulesAt    atomic.Int64
	ready           atomic.Bool
	group           runner.Group
	cancel          context.CancelFunc
	callerServer    *http.Server
	readinessServer *http.Server
	// peerServer takes requests of other entry daemons; nil if the settings name no address for it.
	peerServer *http.Server
	listeners  []net.Listener
	// trackers has the connections of callers and of other entry daemons.
	trackers []*conns.Tracker

	mu    sync.Mutex
	table enrol.Table
	// rejections counts the invalid records that core daemons sent.
	rejections valid.Rejections
	// routedServers contains the servers that may receive requests now, by ID.
	routedServers map[string]*place.Server
	reporter      reporter
}

// New returns an entry daemon that is not started yet.
func New(s *setup.Node, o Options) *Edge {
	if o.Clock == nil {
		o.Clock = clock.Start()
	}
	if o.Limits == nil {
		o.Limits = intake.FromMachine(s.MemoryBytes)
		o.Limits.SetRunning(s.RunningRequests)
	}
	e := &Edge{
		Settings: s, options: o, log: o.Log, clock: o.Clock, boot: runner.RandomName(), routedServers: make(map[string]*place.Server),
	}
	e.startedAt = e.clock.Now()
	e.SetSeeds(s.Seeds)
	e.Net = peers.New(peers.Options{Token: s.PeerToken})
	e.Pool = &pool.Pool{Clock: e.clock, MemoryBytes: s.MemoryBytes}
	e.PeerPool = &pool.Pool{Clock: e.clock, MemoryBytes: s.MemoryBytes}
	e.Proxy = &proxy.Proxy{
		Zone: s.Zone, Clock: e.clock, Dialect: o.Dialect, Pool: e.Pool, Log: o.Log, ClusterTime: func() clock.Instant { return e.Follower.ClusterTime() },
		Limits: o.Limits, MemoryBytes: s.MemoryBytes, RequestQuota: e.requestQuota, Exposure: moves.Bound(s.Exposure), ColdBurst: turns.Burst(s.Cold),
		Retries: retry.Budget{Ratio: retryBudgetFraction * s.Retries.Ratio, Slack: retryBudgetFraction * s.Retries.Slack / assumedEntries, Window: s.Retries.Window},
	}
	e.Proxy.ReportCrashes = e.triggerReport
	e.Proxy.Peers = proxy.Peers{Name: s.Name, Token: s.PeerToken, Pool: e.PeerPool, RequestHelpers: e.triggerReport}
	e.Proxy.UpdateHelpers(func(h *detour.Helpers) { h.Zone = s.Zone })
	e.Pool.TimedOut = e.Proxy.ObserveTimeout
	e.Proxy.SetWindows(s.Duties.UsageWindow, s.Quota.Window)
	e.Follower = &feed.Follower{
		Name: s.Name, Zone: s.Zone, Entry: true, Clock: e.clock, WallClock: &feed.WallClock{Clock: e.clock, Log: o.Log}, Log: o.Log, Client: e.Net.FeedClient,
		Seeds: func() []string { return *e.seeds.Load() }, OnEvent: e.receiveEvent,
	}
	e.Proxy.UpdateCrashes(func(_ clock.Instant, watch *crash.Watch) { watch.Daemon = s.Name + "/" + e.boot })
	e.reporter.trigger = make(chan struct{}, 1)
	if o.Metrics != nil {
		e.registerMetrics(o.Metrics)
	}
	return e
}

// registerMetrics registers the counters and gauges of the daemon.
func (e *Edge) registerMetrics(r metrics.Registry) {
	firstResponse := meter.NewHistogram(r, "entry.firstAnswerMs")
	e.Proxy.ObserveFirstResponse = func(took clock.Duration) { firstResponse.Update(int64(took)) }
	c := &e.Proxy.Counts
	for name, counter := range map[string]*atomic.Int64{
		"entry.requests": &c.Requests, "entry.refused": &c.Refused, "entry.failed": &c.Failed, "entry.attempts": &c.Attempts,
		"entry.blocked": &c.Blocked, "entry.detours": &c.Detours, "entry.assisted": &c.Assisted, "entry.cut": &c.Truncated, "entry.abandoned": &c.Abandoned, "entry.events": &c.Events, "entry.connectionsOpened": &e.Pool.Opened,
	} {
		meter.RegisterGauge(r, name, counter.Load)
	}
	meter.RegisterGauge(r, "entry.inFlight", e.Proxy.InFlight)
	meter.RegisterGauge(r, "entry.coldServers", e.Proxy.ColdServers)
	meter.RegisterGauge(r, "entry.rulesVersion", func() int64 {
		if set := e.Proxy.Rules(); set != nil {
			return int64(set.Version)
		}
		return 0
	})
	meter.RegisterGauge(r, "entry.answersEvicted", e.Proxy.AnswersEvicted)
	meter.RegisterGauge(r, "entry.evacuatedZones", func() int64 { return int64(len(e.Proxy.EvacuatedZones())) })
	meter.RegisterGauge(r, "entry.serversRejected", func() int64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.rejections.Count
	})
	meter.RegisterGauge(r, "entry.coresHeard", func() int64 {
		live, _ := e.Follower.CoresHeard()
		return int64(live)
	})
}

const (
	// retryBudgetFraction is the part of the retry budget that the daemons use. The rest is a margin,
	// as the budget must also hold in windows with other boundaries than the daemons' own.
	retryBudgetFraction = 0.7
	// assumedEntries is the number of entry daemons that share the budget's slack until the leader
	// reports the actual number.
	assumedEntries = 16
)

// SetSeeds replaces the core daemons' addresses that the settings name.
func (e *Edge) SetSeeds(seeds []string) { e.seeds.Store(&seeds) }

// Start follows the core daemons and opens the listeners.
func (e *Edge) Start(ctx context.Context) error {
	ctx, e.cancel = context.WithCancel(ctx)
	if err := e.Net.Start(ctx, &e.group); err != nil {
		return err
	}
	e.group.Go(func() { e.Follower.Run(ctx) })
	e.group.Go(func() { e.runReports(ctx) })
	e.group.Go(func() {
		runner.Every(ctx, sweepInterval, func() {
			e.Proxy.EndCold()
			e.Pool.CloseExpired()
			e.PeerPool.CloseExpired()
		})
	})
	e.group.Go(func() { e.watchProcessor(ctx) })
	e.callerServer = &http.Server{
		Handler: e.Proxy, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: intake.HeadBytes,
	}
	abort.Guard(e.callerServer)
	e.trackers = append(e.trackers, conns.Track(e.callerServer))
	e.readinessServer = &http.Server{Handler: http.HandlerFunc(e.serveReadiness), ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, MaxHeaderBytes: intake.ProbeHeadBytes}
	servers := map[string]*http.Server{e.Settings.Callers: e.callerServer, e.Settings.Readiness: e.readinessServer}
	if e.Settings.Peers != "" {
		e.peerServer = &http.Server{
			Handler: peers.RequireToken(e.Settings.PeerToken, http.HandlerFunc(e.Proxy.ServeHop)), ReadHeaderTimeout: headerTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: intake.HeadBytes,
		}
		e.trackers = append(e.trackers, conns.Track(e.peerServer))
		servers[e.Settings.Peers] = e.peerServer
	}
	for address, server := range servers {
		e.options.Limits.Track(server)
		l, err := e.options.Limits.Listen("tcp", address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", address)
		}
		if server != e.readinessServer {
			e.listeners = append(e.listeners, l)
		}
		if server == e.callerServer {
			l = e.trackers[0].Listener(l)
		}
		go func() { _ = server.Serve(l) }()
	}
	return nil
}

// serveReadiness responds to the readiness checks of the load balancer.
func (e *Edge) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !e.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isReady reports whether the daemon accepts new connections. Once ready, it stays ready even when
// the core daemons are unreachable, and uses the last rules it received.
func (e *Edge) isReady() bool {
	if e.draining.Load() {
		return false
	}
	if e.ready.Load() {
		return true
	}
	first := clock.Instant(e.firstRulesAt.Load())
	if first == 0 {
		return false
	}
	live, known := e.Follower.CoresHeard()
	if live < known && e.clock.Now().Sub(first) < rulesSettleTime {
		return false
	}
	e.ready.Store(true)
	e.log.Info("ready", "rulesVersion", e.Proxy.Rules().Version, "cores", live, "knownCores", known)
	return true
}

// Stop reports the daemon as not ready, lets the requests that can end in time do so, refuses the others, and ends the daemon.
// Shortly before the deadline of ctx, or when it is canceled, it ends the requests that are left.
func (e *Edge) Stop(ctx context.Context) error {
	e.draining.Store(true)
	e.log.Info("draining", "inFlight", e.Proxy.InFlight())
	last := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		last, cancel = context.WithDeadline(last, deadline)
		defer cancel()
		end := deadline.Add(-answerTime.Std())
		ctx, cancel = context.WithDeadline(ctx, end)
		defer cancel()
		e.Proxy.StopBy(e.clock.Now().Add(clock.FromStd(time.Until(end))))
	}
	e.Proxy.Draining.Store(true)
	runner.Pause(ctx, rotationDelay)
	for _, l := range e.listeners {
		_ = l.Close()
	}
	e.Proxy.TakeOnlyCertain()
	e.awaitConnections(ctx, func(t *conns.Tracker) int { return t.CloseIdle(time.Now()) })
	unended := e.Proxy.InFlight()
	if unended > 0 {
		e.log.Info("ending requests that are left", "inFlight", unended)
	}
	e.Proxy.EndRequests()
	last, cancel := context.WithTimeout(last, answerTime.Std())
	defer cancel()
	e.awaitConnections(last, (*conns.Tracker).Active)
	e.Proxy.Wait(last)
	e.Proxy.Close()
	e.stopped.Store(true)
	e.sendReport(last, nil)
	e.cancel()
	for _, s := range []*http.Server{e.callerServer, e.peerServer, e.readinessServer} {
		if s != nil {
			_ = s.Close()
		}
	}
	e.group.Wait()
	if unended > 0 {
		return errors.Newf("%d requests had not ended", unended)
	}
	return nil
}

// awaitConnections waits until ctx ends or count returns 0 for the connections of callers and of other daemons.
func (e *Edge) awaitConnections(ctx context.Context, count func(*conns.Tracker) int) {
	for ctx.Err() == nil {
		open := 0
		for _, t := range e.trackers {
			open += count(t)
		}
		if open == 0 {
			return
		}
		runner.Pause(ctx, stopInterval)
	}
}

// watchProcessor observes how late timers are until ctx ends.
func (e *Edge) watchProcessor(ctx context.Context) {
	runner.EveryLag(ctx, e.clock, func(late clock.Duration) {
		if e.Settings.EvacuateWithin > 0 {
			e.Proxy.Tick()
		}
		e.Proxy.Room.ObserveLag(late)
		if late > runner.PauseTime {
			e.Proxy.Resumed()
			e.log.Info("process was paused", "forMs", int64(late))
		}
	})
}

// receiveEvent applies an event from a core daemon.
func (e *Edge) receiveEvent(address string, event *peerpb.FeedEvent) {
	// Before the rules, so that a starting daemon sends nothing to evacuated zones.
	for _, m := range event.GetEvacuations() {
		e.applyEvacuation(address, wire.EvacuationFromPB(m))
	}
	if d := event.GetRules(); d != nil {
		e.applyRules(address, d)
	}
	for _, m := range event.GetRollouts() {
		e.applyRollout(wire.RolloutFromPB(m))
	}
	if c := event.GetCrashes(); c != nil {
		e.applyCrashes(wire.CrashChangesFromPB(c))
	}
	if len(event.GetServers()) > 0 {
		e.mergeServers(address, event.GetServers())
	}
	e.Proxy.Heard(address, clock.Instant(event.GetClock()))
}

// applyEvacuation applies the evacuation or the return of an availability zone.
func (e *Edge) applyEvacuation(address string, v state.Evacuation) {
	if !e.Proxy.SetEvacuation(v) {
		return
	}
	message := "zone returned"
	if v.Evacuated {
		message = "zone evacuated"
	}
	e.log.Info(message, "zone", v.Zone, "revision", v.Revision, "agoMs", int64(e.Follower.ClusterTime().Sub(v.Since)), "by", v.By, "from", address)
}

// applyCrashes applies changes of the traits of requests that crash servers.
func (e *Edge) applyCrashes(c crash.Changes) {
	e.Proxy.UpdateCrashes(func(_ clock.Instant, watch *crash.Watch) {
		changed, removed := watch.Learn(&c)
		for i := range changed {
			r := &changed[i]
			e.log.Info("requests suspected of crashing servers", "service", r.Service, "kind", r.Kind.String(), "name", r.Name, "trait", r.Trait.String(), "blocked", r.Blocked(),
				"trials", r.Trials, "nextTrial", r.NextTrial.String(), "revision", r.Revision)
		}
		for i := range removed {
			e.log.Info("requests cleared of crashing servers", "service", removed[i].Service, "name", removed[i].Name, "trait", removed[i].Trait.String(), "revision", c.Revision)
		}
	})
}

// applyRollout applies a rollout if its revision is newer than the current one.
func (e *Edge) applyRollout(r *state.Rollout) {
	e.Proxy.UpdateService(r.Service, func(svc *proxy.ServiceState) {
		if svc.Rollout != nil && svc.Rollout.Revision >= r.Revision {
			return
		}
		svc.Rollout = r
		e.log.Info("rollout", "service", r.Service, "target", r.To, "stage", r.Stage.String(), "share", r.Share, "revision", r.Revision,
			"reason", r.Reason.String(), "evidence", r.Evidence)
	})
}

func (e *Edge) applyRules(address string, d *peerpb.Document) {
	old := e.Proxy.Rules()
	if old != nil && old.Version >= d.GetVersion() {
		return
	}
	set, err := e.options.Decode(d.GetText())
	if err != nil {
		e.log.Error(err, "cannot decode rules", "version", d.GetVersion(), "from", address)
		return
	}
	if e.Proxy.SetRules(set) {
		e.log.Info("rules in force", "version", set.Version, "from", address, "routes", len(set.Routes), "accounts", len(set.Accounts))
		for _, a := range changedQuotas(old, set) {
			e.log.Info("quota in force", "account", a.Name, "rate", a.Rate, "burst", a.Burst, "rulesVersion", set.Version)
		}
		e.firstRulesAt.CompareAndSwap(0, int64(e.clock.Now()))
		e.mu.Lock()
		defer e.mu.Unlock()
		for id := range e.routedServers {
			if r := e.table.ByID[id]; r != nil && r.ColdUntil.After(e.clock.Now()) {
				e.updateCold(r)
			}
		}
	}
}

// updateCold passes on how long a server is still cold.
func (e *Edge) updateCold(r *enrol.Record) {
	e.Proxy.SetCold(r.Service, notice.Server{ID: r.ID, Born: r.Born}, max(r.ColdUntil.Sub(e.clock.Now()), 0))
}

// changedQuotas returns the accounts whose quota is new or differs from that in old, which may be nil.
func changedQuotas(old, set *rules.Set) []rules.Account {
	var changed []rules.Account
	for i := range set.Accounts {
		a := &set.Accounts[i]
		var before *rules.Account
		if old != nil {
			before = old.Account(a.Name)
		}
		if before == nil || before.Rate != a.Rate || before.Burst != a.Burst {
			changed = append(changed, *a)
		}
	}
	return changed
}

// mergeServers merges the records that a core daemon sent. An invalid one is left out.
func (e *Edge) mergeServers(address string, list []*peerpb.ServerRecord) {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := false
	for _, m := range list {
		r, err := wire.RecordFromPB(now, m)
		if err == nil {
			err = e.table.Admit(&r)
		}
		if err != nil {
			if e.rejections.Add(now, r.ID) {
				e.log.Error(err, "backend server rejected", "from", address)
			}
			continue
		}
		if e.table.Merge(r) {
			changed = true
			e.log.Info("backend server", "server", r.ID, "service", r.Service, "address", r.Address, "state", r.State.String(), "sequence", r.Sequence)
			if e.routedServers[r.ID] != nil {
				e.updateCold(e.table.ByID[r.ID])
			}
		}
	}
	if changed {
		e.updateServers()
	}
}

// updateServers adds and removes servers of the proxy's services to match the table.
func (e *Edge) updateServers() {
	usable := make(map[string]*enrol.Record)
	for id, r := range e.table.ByID {
		if e.table.Usable(r) {
			usable[id] = r
		}
	}
	for id, s := range e.routedServers {
		r := e.table.ByID[id]
		if u := usable[id]; u != nil && u.Address == s.Address && u.Born == s.Born {
			continue
		}
		delete(e.routedServers, id)
		service := ""
		if r != nil {
			service = r.Service
		}
		e.Proxy.UpdateService(service, func(svc *proxy.ServiceState) { svc.Remove(id) })
		e.Proxy.UpdateNotices(func(b *notice.Board) {
			start := notice.Server{ID: id, Born: s.Born}
			b.Removed(e.clock.Now(), start)
			// The end of a server that was going to leave proves nothing about its requests.
			if r != nil && r.State >= enrol.Leaving {
				b.Leaves(start)
			}
		})
		e.Pool.CloseIdle(s.Address)
	}
	for id, r := range usable {
		if e.routedServers[id] != nil {
			continue
		}
		s := &place.Server{ID: id, Address: r.Address, Zone: r.Zone, Version: r.Version, Slots: r.Slots, Spot: r.Spot, Born: r.Born}
		e.routedServers[id] = s
		e.Proxy.UpdateNotices(func(b *notice.Board) { b.Routed(notice.Server{ID: id, Born: r.Born}) })
		e.updateCold(r)
		e.Proxy.UpdateService(r.Service, func(svc *proxy.ServiceState) { svc.Add(s) })
	}
}
