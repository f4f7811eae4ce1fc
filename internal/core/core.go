// Package core is the process of a core daemon: it holds the replicated state with the other core
// daemons, takes the announcements of backend servers and the orders of operators, streams both
// to the entry daemons, and makes the calls to the cloud while it leads.
//
//	c, err := core.New(settings, core.Options{Log: log, Decode: platform.DecodeRules})
//	err = c.Start(ctx)
//	err = c.Serve(platform.Control(c))
package core

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"swiftbeam/internal/disk"
	"swiftbeam/internal/duty"
	"swiftbeam/internal/enrol"
	"swiftbeam/internal/feed"
	"swiftbeam/internal/group"
	"swiftbeam/internal/meter"
	"swiftbeam/internal/peers"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/setup"
	"swiftbeam/internal/state"
	"swiftbeam/internal/store"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/internal/wire/peerpb/peerpbconnect"
	"swiftbeam/pkg/clock"
)

// Times of the replication group.
const (
	// ElectionTimeout leaves room for a sync on a slow disk and two round trips.
	ElectionTimeout = 600 * clock.Millisecond
	Heartbeat       = 120 * clock.Millisecond
	// ReplaceAfter is below the time in which the loss of a voter must be made good.
	ReplaceAfter = 2 * clock.Second
	ForgetAfter  = 20 * clock.Second
	batchBytes   = 1 << 20
	// silence is the time without a leader after which a daemon asks to be added again.
	silence = 1500 * clock.Millisecond
	// orderTimeout bounds the commit of an operator's order; callers move on after a second.
	orderTimeout = 900 * clock.Millisecond
	// foundingTime is how long a new group waits for all its voters before it acknowledges.
	foundingTime = 3 * clock.Second
	// announcedEvery is the usual interval of announcements.
	announcedEvery = 1200 * clock.Millisecond
	// snapshotEvery keeps the log short, as it stays in memory.
	snapshotEvery = 256
)

// Options replace parts of a core daemon.
type Options struct {
	Log   logr.Logger
	Clock clock.Clock
	// Decode reads the rules document of an operator.
	Decode func(text []byte) (*rules.Set, error)
	Cloud  Cloud
	// Metrics takes the daemon's counters; nil means none are shown.
	Metrics metrics.Registry
	// OpenDisk replaces disk.Open.
	OpenDisk func(folder string) (*disk.Log, disk.Loaded, error)
}

// Cloud takes the calls of the duties.
type Cloud interface {
	ReportUsage(ctx context.Context, h duty.Holder, u state.Usage) (duty.Answer, error)
	Scale(ctx context.Context, h duty.Holder, o duty.Order) (duty.Answer, error)
}

// Core is one process.
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
	set      atomic.Pointer[rules.Set]
	work     runner.Group
	cancel   context.CancelFunc
	servers  []*http.Server
	commits  metrics.Histogram

	mu    sync.Mutex
	table enrol.Table
	// direct are the servers that announced themselves here last.
	direct map[string]bool
	desk   desk
}

// New composes a core daemon. Its data folder is opened and checked.
func New(s *setup.Node, o Options) (*Core, error) {
	if o.Clock == nil {
		o.Clock = clock.Start()
	}
	c := &Core{Settings: s, options: o, log: o.Log, clock: o.Clock, boot: runner.RandomName(), direct: make(map[string]bool)}
	c.started = c.clock.Now()
	c.desk.tenure.Start(c.started)
	c.SetSeeds(s.Seeds)
	c.Net = peers.New(peers.Options{Token: s.PeerToken})
	c.Store = &store.Store{
		Settings: quorum.Settings{
			ElectionTimeout: ElectionTimeout, Heartbeat: Heartbeat, ReplaceAfter: ReplaceAfter, ForgetAfter: ForgetAfter,
			Voters: 2*s.Losses + 1, BatchBytes: batchBytes, Seed: runner.RandomSeed(),
		},
		Self:   quorum.Member{Name: s.Name, Address: s.Peers, Zone: s.Zone, Region: s.Region},
		Folder: s.DataFolder, Clock: c.clock, Network: c.Net, Log: c.log.WithName("store"), SnapshotEvery: snapshotEvery, OpenDisk: o.OpenDisk,
	}
	if err := c.Store.Open(runner.RandomName()); err != nil {
		return nil, err
	}
	c.Net.Identify(c.Store.Self)
	c.joiner = &group.Joiner{
		Store: c.Store, Net: c.Net, Clock: c.clock, Log: c.log, Silence: silence, Leaving: c.draining.Load,
		First: c.firstVoters, Others: c.otherCores,
	}
	c.joiner.OnCaughtUp = c.refresh
	wall := &feed.WallClock{Clock: c.clock, Log: c.log}
	c.Source = &feed.Source{Clock: c.clock, WallClock: wall, Shared: c.shared}
	c.Follower = &feed.Follower{
		Name: s.Name, Zone: s.Zone, Self: s.Peers, Clock: c.clock, WallClock: wall, Log: c.log, Client: c.Net.FeedClient,
		Seeds: c.otherCores, OnEvent: c.hear,
	}
	if o.Metrics != nil {
		c.measure(o.Metrics)
	}
	return c, nil
}

// measure registers the counters of the daemon.
func (c *Core) measure(r metrics.Registry) {
	c.commits = meter.NewHistogram(r, "core.commitMs")
	meter.Gauge(r, "core.applied", func() int64 { return int64(c.Store.Status().Applied) })
	meter.Gauge(r, "core.term", func() int64 { return int64(c.Store.Status().Term) })
	meter.Gauge(r, "core.logLength", func() int64 { return int64(c.Store.Status().LogLength) })
	meter.Gauge(r, "core.members", func() int64 { return int64(len(c.Store.Status().Members)) })
	meter.Gauge(r, "core.entries", func() int64 { return int64(c.Source.Entries()) })
	meter.Gauge(r, "core.leads", func() int64 {
		if c.leads() {
			return 1
		}
		return 0
	})
	meter.Gauge(r, "core.servers", func() int64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return int64(len(c.table.ByID))
	})
}

// SetSeeds replaces the addresses that the settings name.
func (c *Core) SetSeeds(seeds []string) { c.seeds.Store(&seeds) }

// firstVoters returns the seeds where this daemon may found a group.
func (c *Core) firstVoters() []string {
	if !c.Settings.Found {
		return nil
	}
	return *c.seeds.Load()
}

// otherCores returns the core daemons of the settings and of the group.
func (c *Core) otherCores() []string {
	all := slices.Clone(*c.seeds.Load())
	for _, m := range c.Store.Status().Members {
		if !slices.Contains(all, m.Address) {
			all = append(all, m.Address)
		}
	}
	return slices.DeleteFunc(all, func(a string) bool { return a == c.Settings.Peers })
}

// Start begins to take part in the group.
func (c *Core) Start(ctx context.Context) error {
	ctx, c.cancel = context.WithCancel(ctx)
	if err := c.Net.Start(ctx, &c.work); err != nil {
		return err
	}
	if err := c.Store.Start(ctx, &c.work); err != nil {
		return err
	}
	c.work.Go(func() { c.joiner.Run(ctx) })
	c.work.Go(func() { c.Follower.Run(ctx) })
	c.work.Go(func() { c.watchState(ctx) })
	c.work.Go(func() { runner.Every(ctx, expireEvery, c.expire) })
	c.work.Go(func() { runner.Every(ctx, dutyEvery, func() { c.attend(ctx) }) })
	c.work.Go(func() { runner.Every(ctx, stepEvery, func() { c.stepRollouts(ctx) }) })
	return nil
}

// Serve opens the listeners of operators and of the other daemons.
func (c *Core) Serve(control http.Handler) error {
	mux := http.NewServeMux()
	server := &peers.Server{Token: c.Settings.PeerToken, Store: c.Store, Net: c.Net}
	mux.Handle(server.Handler())
	path, stream := peerpbconnect.NewFeedHandler(c)
	mux.Handle(path, peers.Authorized(c.Settings.PeerToken, stream))
	for address, handler := range map[string]http.Handler{c.Settings.Peers: mux, c.Settings.Control: control} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", address)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
		c.servers = append(c.servers, server)
		go func() { _ = server.Serve(l) }()
	}
	return nil
}

// Stop hands the lead over and ends the daemon.
func (c *Core) Stop(ctx context.Context) error {
	c.draining.Store(true)
	err := c.Store.Stop(ctx)
	for _, s := range c.servers {
		short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		if shutErr := s.Shutdown(short); shutErr != nil {
			_ = s.Close()
		}
		cancel()
	}
	c.cancel()
	c.work.Wait()
	return err
}

// Kill ends the daemon at once, as a crash would.
func (c *Core) Kill() {
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.cancel()
	c.work.Wait()
}

// watchState passes on each change of the replicated state.
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

// refresh reads rules that became newer and wakes the followers.
func (c *Core) refresh() {
	var newest state.Rules
	c.Store.View(func(s *state.State) { newest = s.Rules })
	old := c.set.Load()
	if newest.Version > 0 && (old == nil || newest.Version > old.Version) {
		set, err := c.options.Decode(newest.Text)
		if err != nil {
			c.log.Error(err, "rules in the log cannot be read", "version", newest.Version)
			return
		}
		c.set.Store(set)
		c.log.Info("rules in force", "version", set.Version, "routes", len(set.Routes), "services", len(set.Services), "accounts", len(set.Accounts))
	}
	c.Source.Wake()
}

// shared returns what followers learn of the replicated state.
func (c *Core) shared() feed.Shared {
	status := c.Store.Status()
	out := feed.Shared{Leader: c.leaderAt()}
	for _, m := range status.Members {
		out.Cores = append(out.Cores, m.Address)
	}
	slices.Sort(out.Cores)
	c.Store.View(func(s *state.State) {
		// Until this daemon has caught up, there may be newer rules.
		if c.joiner.CaughtUp.Load() {
			out.Rules = s.Rules
		}
		for _, r := range s.Rollouts {
			copied := *r
			out.Rollouts = append(out.Rollouts, &copied)
		}
	})
	return out
}

// leads reports whether this daemon leads and was in contact with a majority lately.
func (c *Core) leads() bool {
	status := c.Store.Status()
	return status.Role == quorum.Leader && c.clock.Now().Sub(status.ContactAt) <= ElectionTimeout
}

// leaderAt returns the address of the leader, or an empty text where this daemon does not know it:
// one whose disk hangs or failed goes on to believe what it did before.
func (c *Core) leaderAt() string {
	status := c.Store.Status()
	if status.Failed != "" || c.clock.Now().Sub(status.ContactAt) > ElectionTimeout {
		return ""
	}
	return status.LeaderAt
}

// hear takes an event of another core daemon.
func (c *Core) hear(_ string, e *peerpb.FeedEvent) { c.hearServers(e.GetServers()) }
