// Package core implements a core daemon. It replicates the state together with the other core
// daemons, receives the announcements of backend servers and the requests of operators, and streams
// both to the entry daemons. The leader also makes the calls to the cloud.
//
//	c, err := core.New(settings, core.Options{Log: log, Decode: platform.DecodeRules})
//	err = c.Start(ctx)
//	err = c.Serve(platform.Control(c))
package core

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"swiftbeam/internal/disk"
	"swiftbeam/internal/duty"
	"swiftbeam/internal/enrol"
	"swiftbeam/internal/feed"
	"swiftbeam/internal/group"
	"swiftbeam/internal/guard"
	"swiftbeam/internal/intake"
	"swiftbeam/internal/meter"
	"swiftbeam/internal/peers"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/ring"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/setup"
	"swiftbeam/internal/state"
	"swiftbeam/internal/store"
	"swiftbeam/internal/valid"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/internal/wire/peerpb/peerpbconnect"
	"swiftbeam/pkg/clock"
)

// Settings of the replication group.
const (
	// ElectionTimeout allows for a sync on a slow disk and two round trips.
	ElectionTimeout = 600 * clock.Millisecond
	Heartbeat       = 120 * clock.Millisecond
	// ReplaceAfter is the time without contact after which a voter is replaced. It is below the time
	// in which a lost voter must have been replaced.
	ReplaceAfter       = 2 * clock.Second
	RemoveLearnerAfter = 20 * clock.Second
	batchBytes         = 1 << 20
	// rejoinAfter is the time without contact with the group after which a daemon requests to be
	// added again.
	rejoinAfter = 1500 * clock.Millisecond
	// commitTimeout bounds the commit of a command. Clients try another daemon after 1 s.
	commitTimeout = 900 * clock.Millisecond
	// bootstrapTimeout is how long a new group waits for all its voters before it acknowledges a
	// change.
	bootstrapTimeout = 3 * clock.Second
	// announcementInterval is the usual interval between the announcements of a backend server.
	announcementInterval = 1200 * clock.Millisecond
	// snapshotEntries is the number of log entries between snapshots. The log is kept in memory, so it
	// must stay short.
	snapshotEntries = 256
)

// Options configure a core daemon.
type Options struct {
	Log   logr.Logger
	Clock clock.Clock
	// Decode parses an operator's rules document.
	Decode func(text []byte) (*rules.Set, error)
	Cloud  Cloud
	// Metrics is the registry for the daemon's metrics; nil disables them.
	Metrics metrics.Registry
	// Limits bounds what clients use of the process; nil derives it from the settings.
	Limits *intake.Limits
	// Dial replaces the dial function of the calls to other daemons in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OpenDisk replaces disk.Open in tests.
	OpenDisk func(folder string) (*disk.Log, disk.Loaded, error)
}

// Cloud is the API of the cloud that the leader calls.
type Cloud interface {
	ReportUsage(ctx context.Context, h duty.Holder, u state.Usage) (duty.Answer, error)
	Scale(ctx context.Context, h duty.Holder, o duty.Order) (duty.Answer, error)
}

// Core is a core daemon.
type Core struct {
	Settings *setup.Node
	Store    *store.Store
	Net      *peers.Net
	Source   *feed.Source
	Follower *feed.Follower

	options  Options
	log      logr.Logger
	clock    clock.Clock
	boot     string
	joiner   *group.Joiner
	started  clock.Instant
	draining atomic.Bool
	seeds    atomic.Pointer[[]string]
	ruleSet  atomic.Pointer[rules.Set]
	// unreadableRules is the last version of the rules that could not be decoded.
	unreadableRules atomic.Uint64
	tasks           runner.Group
	cancel          context.CancelFunc
	httpServers     []*http.Server
	commitTimes     metrics.Histogram

	crashes *guard.Recorder

	departures *ring.Ring[departure]
	// departuresRefused counts the departures that could not be recorded.
	departuresRefused atomic.Int64
	calls             callCounts

	mu sync.Mutex
	// notified is the state that followers were last notified of.
	notified feed.SharedState
	table    enrol.Table
	// announcedDirectly contains the IDs of the servers whose last announcement was received by this
	// daemon rather than from another core daemon.
	announcedDirectly map[string]bool
	rejections        valid.Rejections
	// departureRevision is the revision of the last departure of the replicated state that is in the table.
	departureRevision uint64
	// withoutStart is the time of the last announcement without a start time, by server.
	withoutStart map[string]clock.Instant
	duties       dutyState
}

// New returns a core daemon after opening and checking its data folder.
func New(s *setup.Node, o Options) (*Core, error) {
	if o.Clock == nil {
		o.Clock = clock.Start()
	}
	if o.Limits == nil {
		o.Limits = intake.FromMachine(s.MemoryBytes)
	}
	c := &Core{Settings: s, options: o, log: o.Log, clock: o.Clock, boot: runner.RandomName(), announcedDirectly: make(map[string]bool), withoutStart: make(map[string]clock.Instant), departures: ring.New[departure](maxDepartureBatch)}
	c.started = c.clock.Now()
	c.duties.tenure.Start(c.started, c.dutySettings())
	c.SetSeeds(s.Seeds)
	c.Net = peers.New(peers.Options{Token: s.PeerToken, Dial: o.Dial})
	c.Store = &store.Store{
		Settings: quorum.Settings{
			ElectionTimeout: ElectionTimeout, Heartbeat: Heartbeat, ReplaceAfter: ReplaceAfter, RemoveLearnerAfter: RemoveLearnerAfter,
			Voters: 2*s.Losses + 1, BatchBytes: batchBytes, Seed: runner.RandomSeed(),
		},
		Self:   quorum.Member{Name: s.Name, Address: s.Peers, Zone: s.Zone, Region: s.Region},
		Folder: s.DataFolder, Clock: c.clock, Network: c.Net, Log: c.log.WithName("store"), SnapshotEvery: snapshotEntries, OpenDisk: o.OpenDisk,
	}
	if err := c.Store.Open(runner.RandomName()); err != nil {
		return nil, err
	}
	c.Net.SetSelf(c.Store.Self)
	c.joiner = &group.Joiner{
		Store: c.Store, Net: c.Net, Clock: c.clock, Log: c.log, ContactTimeout: rejoinAfter, Stopping: c.draining.Load,
		FirstVoters: c.firstVoters, Peers: c.otherCores,
	}
	c.joiner.OnCaughtUp = c.refresh
	wallClock := &feed.WallClock{Clock: c.clock, Log: c.log}
	c.Source = &feed.Source{Clock: c.clock, WallClock: wallClock, SharedState: c.sharedState, CrashChanges: c.crashChanges}
	c.Follower = &feed.Follower{
		Name: s.Name, Zone: s.Zone, Self: s.Peers, Clock: c.clock, WallClock: wallClock, Log: c.log, Client: c.Net.FeedClient,
		Seeds: c.otherCores, OnEvent: c.receiveEvent,
	}
	c.crashes = &guard.Recorder{
		Log: c.log, Now: c.Follower.ClusterTime, Leads: func() bool { return c.isLeader() && !c.draining.Load() },
		View: c.Store.View, Propose: c.propose, Traffic: c.crashTraffic, AnnouncedAt: c.announcedAt,
	}
	if o.Metrics != nil {
		c.registerMetrics(o.Metrics)
	}
	return c, nil
}

// registerMetrics registers the metrics of the daemon.
func (c *Core) registerMetrics(r metrics.Registry) {
	c.commitTimes = meter.NewHistogram(r, "core.commitMs")
	c.calls.register(r)
	meter.RegisterGauge(r, "core.departuresRefused", c.departuresRefused.Load)
	meter.RegisterGauge(r, "core.applied", func() int64 { return int64(c.Store.Status().Applied) })
	meter.RegisterGauge(r, "core.term", func() int64 { return int64(c.Store.Status().Term) })
	meter.RegisterGauge(r, "core.logLength", func() int64 { return int64(c.Store.Status().LogLength) })
	meter.RegisterGauge(r, "core.members", func() int64 { return int64(len(c.Store.Status().Members)) })
	meter.RegisterGauge(r, "core.entries", func() int64 { return int64(c.Source.Entries()) })
	meter.RegisterGauge(r, "core.leads", func() int64 {
		if c.isLeader() {
			return 1
		}
		return 0
	})
	meter.RegisterGauge(r, "core.evacuatedZones", func() int64 { return int64(len(c.evacuated())) })
	meter.RegisterGauge(r, "core.needReplicas", c.neededReplicas)
	meter.RegisterGauge(r, "core.servers", func() int64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return int64(len(c.table.ByID))
	})
	meter.RegisterGauge(r, "core.serversRejected", func() int64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.rejections.Count
	})
}

// SetSeeds replaces the addresses of the seed nodes.
func (c *Core) SetSeeds(seeds []string) { c.seeds.Store(&seeds) }

// firstVoters returns the addresses of the voters of a new group, or nil if the settings do not
// allow this daemon to found one.
func (c *Core) firstVoters() []string {
	if !c.Settings.Found {
		return nil
	}
	return *c.seeds.Load()
}

// otherCores returns the addresses of the seed nodes and of the group's members, without this daemon.
func (c *Core) otherCores() []string {
	all := slices.Clone(*c.seeds.Load())
	for _, m := range c.Store.Status().Members {
		if !slices.Contains(all, m.Address) {
			all = append(all, m.Address)
		}
	}
	return slices.DeleteFunc(all, func(a string) bool { return a == c.Settings.Peers })
}

// Start joins the replication group and starts the background tasks.
func (c *Core) Start(ctx context.Context) error {
	ctx, c.cancel = context.WithCancel(ctx)
	if err := c.Net.Start(ctx, &c.tasks); err != nil {
		return err
	}
	if err := c.Store.Start(ctx, &c.tasks); err != nil {
		return err
	}
	c.tasks.Go(func() { c.joiner.Run(ctx) })
	c.tasks.Go(func() { c.Follower.Run(ctx) })
	c.tasks.Go(func() { c.watchState(ctx) })
	c.tasks.Go(func() { c.commitDepartures(ctx) })
	c.tasks.Go(func() { c.crashes.Run(ctx) })
	c.tasks.Go(func() { runner.Every(ctx, spendingInterval, func() { c.recordSpending(ctx) }) })
	c.tasks.Go(func() { runner.Every(ctx, expireInterval, c.expire) })
	c.tasks.Go(func() { c.watchProcessor(ctx) })
	c.tasks.Go(func() { runner.Every(ctx, dutyInterval, func() { c.performDuties(ctx) }) })
	c.tasks.Go(func() { runner.Every(ctx, stepInterval, func() { c.stepRollouts(ctx) }) })
	return nil
}

// Serve opens the listeners for operators and backend servers, and for other daemons.
func (c *Core) Serve(control http.Handler) error {
	mux := http.NewServeMux()
	server := &peers.Server{Token: c.Settings.PeerToken, Store: c.Store, Net: c.Net}
	path, messages := server.Handler()
	mux.Handle(path, peers.RequireToken(c.Settings.PeerToken, messages))
	path, stream := peerpbconnect.NewFeedHandler(c, connect.WithCompressMinBytes(peers.CompressMinBytes))
	mux.Handle(path, peers.RequireToken(c.Settings.PeerToken, stream))
	for address, handler := range map[string]http.Handler{c.Settings.Peers: mux, c.Settings.Control: control} {
		l, err := c.options.Limits.Listen("tcp", address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", address)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: intake.HeadBytes}
		c.options.Limits.Track(server)
		c.httpServers = append(c.httpServers, server)
		go func() { _ = server.Serve(l) }()
	}
	return nil
}

// Stop transfers leadership to another member and shuts the daemon down.
func (c *Core) Stop(ctx context.Context) error {
	c.draining.Store(true)
	err := c.Store.Stop(ctx)
	for _, s := range c.httpServers {
		short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		if shutErr := s.Shutdown(short); shutErr != nil {
			_ = s.Close()
		}
		cancel()
	}
	c.cancel()
	c.tasks.Wait()
	return err
}

// Kill stops the daemon at once, without transferring leadership, as in a crash.
func (c *Core) Kill() {
	for _, s := range c.httpServers {
		_ = s.Close()
	}
	c.cancel()
	c.tasks.Wait()
}

// watchProcessor logs pauses of the process until ctx ends.
func (c *Core) watchProcessor(ctx context.Context) {
	runner.EveryLag(ctx, c.clock, func(late clock.Duration) {
		if late > runner.PauseTime {
			c.log.Info("process was paused", "forMs", int64(late))
		}
	})
}

// watchState calls refresh after each change of the replicated state.
func (c *Core) watchState(ctx context.Context) {
	for ctx.Err() == nil {
		changed := c.Store.Changed()
		c.refresh()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// refresh applies newer rules, if they can be read, and sends the replicated state to the followers.
func (c *Core) refresh() {
	var newest state.Rules
	c.Store.View(func(s *state.State) { newest = s.Rules })
	old := c.ruleSet.Load()
	if newest.Version > 0 && (old == nil || newest.Version > old.Version) {
		set, err := c.options.Decode(newest.Text)
		if err == nil {
			c.ruleSet.Store(set)
			c.log.Info("rules in force", "version", set.Version, "routes", len(set.Routes), "services", len(set.Services), "accounts", len(set.Accounts))
		} else if c.unreadableRules.Swap(newest.Version) != newest.Version {
			c.log.Error(err, "rules in the log cannot be read", "version", newest.Version)
		}
	}
	c.mergeDepartures()
	shared := c.sharedState()
	c.mu.Lock()
	same := shared.Same(&c.notified)
	c.notified = shared
	c.mu.Unlock()
	// Many commits change nothing that followers are sent.
	if !same {
		c.Source.Notify()
	}
}

// sharedState returns the part of the replicated state that is sent to followers.
func (c *Core) sharedState() feed.SharedState {
	status := c.Store.Status()
	out := feed.SharedState{Leader: c.leaderAddress()}
	for _, m := range status.Members {
		out.Cores = append(out.Cores, m.Address)
	}
	slices.Sort(out.Cores)
	c.Store.View(func(s *state.State) {
		// Before this daemon has caught up, the group may have newer rules.
		if c.joiner.CaughtUp.Load() {
			out.Rules = s.Rules
		}
		for _, r := range s.Rollouts {
			copied := *r
			out.Rollouts = append(out.Rollouts, &copied)
		}
		out.Crashes = s.Crashes.Revision
		out.Evacuations = slices.Collect(maps.Values(s.Evacuations))
	})
	return out
}

// isLeader reports whether this daemon is the leader and was in contact with a quorum within the
// election timeout.
func (c *Core) isLeader() bool {
	status := c.Store.Status()
	return status.Role == quorum.Leader && c.clock.Now().Sub(status.ContactAt) <= ElectionTimeout
}

// leaderAddress returns the address of the leader, or an empty string if it is unknown. The status of
// a daemon whose disk hangs or has failed is outdated, so the leader counts as unknown when the disk
// has failed or when the last contact with a quorum is older than the election timeout.
func (c *Core) leaderAddress() string {
	status := c.Store.Status()
	if status.Failed != "" || c.clock.Now().Sub(status.ContactAt) > ElectionTimeout {
		return ""
	}
	return status.LeaderAt
}

// receiveEvent processes an event from another core daemon.
func (c *Core) receiveEvent(address string, e *peerpb.FeedEvent) {
	c.receiveServers(address, e.GetServers())
}
