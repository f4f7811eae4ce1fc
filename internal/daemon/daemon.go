// Package daemon assembles the services and listeners of one swiftbeam process.
//
//	d, err := daemon.New(settings, daemon.Options{})
//	err = d.Start(ctx)
//	<-ctx.Done()
//	err = d.Stop(ctx)
package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"swiftbeam/internal/abort"
	"swiftbeam/internal/buyer"
	"swiftbeam/internal/canary"
	"swiftbeam/internal/cloud"
	"swiftbeam/internal/dial"
	"swiftbeam/internal/duty"
	"swiftbeam/internal/engine"
	"swiftbeam/internal/entry"
	"swiftbeam/internal/group"
	"swiftbeam/internal/guard"
	"swiftbeam/internal/intake"
	"swiftbeam/internal/lease"
	"swiftbeam/internal/manage"
	"swiftbeam/internal/member"
	"swiftbeam/internal/once"
	"swiftbeam/internal/peers"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/relay"
	"swiftbeam/internal/roster"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/setup"
	"swiftbeam/internal/store"
	"swiftbeam/internal/tunnel"
	"swiftbeam/pkg/clock"
)

// Timing and batch size of the replication group; quorum.Settings describes each of them.
const (
	ElectionTimeout    = clock.Second
	Heartbeat          = 150 * clock.Millisecond
	LearnerHeartbeat   = clock.Second
	ReplaceAfter       = clock.Minute
	RemoveLearnerAfter = 2 * clock.Minute
	batchBytes         = 4 << 20
)

// Options override parts of a daemon. The zero value is the production configuration.
type Options struct {
	Log   logr.Logger
	Clock clock.Clock
	// Dial overrides how connections to other daemons are opened.
	Dial dial.Func
	// DialBackends overrides how connections to backend servers are opened.
	DialBackends dial.Func
	// Listen overrides how listeners are opened.
	Listen func(network, address string) (net.Listener, error)
	// ReplaceAfter overrides the constant ReplaceAfter, the time without a reply after which a voter
	// is replaced.
	ReplaceAfter clock.Duration
}

// Daemon is one swiftbeam process: its services and its listeners.
type Daemon struct {
	Settings *setup.Settings
	Runner   *runner.Runner
	Store    *store.Store
	Roster   *roster.Roster
	Relay    *relay.Relay
	Once     *once.Executor
	Canary   *canary.Controller
	Guard    *guard.Guard
	Entry    *entry.Entry
	Manage   *manage.Server
	Net      *peers.Net
	Metrics  metrics.Registry

	options  Options
	tls      *tls.Config
	joiner   *group.Joiner
	draining atomic.Bool
	servers  []*http.Server
	// limits bounds what clients use of the process.
	limits *intake.Limits

	tunnels       *tunnel.Dialer
	tunnelHandler *tunnel.Handler
}

// New assembles a daemon. It opens the data folder and checks its files; Start opens the listeners.
func New(s *setup.Settings, o Options) (*Daemon, error) {
	if o.Clock == nil {
		o.Clock = clock.Start()
	}
	if o.Log.GetSink() == nil {
		o.Log = logr.Discard()
	}
	if o.ReplaceAfter == 0 {
		o.ReplaceAfter = ReplaceAfter
	}
	d := &Daemon{Settings: s, Runner: &runner.Runner{}, Metrics: metrics.NewRegistry(), options: o, limits: intake.FromMachine(s.Memory())}
	if o.Listen == nil {
		d.options.Listen = d.limits.Listen
	}
	d.limits.Log = o.Log.WithName("intake")
	d.limits.SetRunning(s.RunningRequests)
	d.limits.FitHeads(s.Limits.HeaderBytes)
	if err := d.loadTLS(); err != nil {
		return nil, err
	}
	if err := d.buildState(); err != nil {
		return nil, err
	}
	d.buildRequestServices()
	d.buildJoiner()
	d.registerServices()
	d.registerMetrics()
	return d, nil
}

func (d *Daemon) loadTLS() error {
	files := d.Settings.TLS
	if files == nil {
		return nil
	}
	config, err := serverTLS(files)
	if err != nil {
		return err
	}
	d.tls = config
	return nil
}

// buildState creates the replicated store and the client for calls to other daemons.
func (d *Daemon) buildState() error {
	s := d.Settings
	d.Net = peers.New(peers.Options{Token: s.PeerToken, Dial: d.options.Dial, TLS: d.clientTLS()})
	d.Store = &store.Store{
		Settings: quorum.Settings{
			ElectionTimeout: ElectionTimeout, Heartbeat: Heartbeat, LearnerHeartbeat: LearnerHeartbeat, ReplaceAfter: d.options.ReplaceAfter,
			RemoveLearnerAfter: RemoveLearnerAfter, Voters: s.Voters, BatchBytes: batchBytes, Seed: runner.RandomSeed(),
		},
		Self:    quorum.Member{Name: s.Name, Address: s.Listen.Peers, Zone: s.Zone, Region: s.Region},
		Folder:  s.DataFolder,
		Clock:   d.options.Clock,
		Network: d.Net,
		Log:     d.options.Log.WithName("store"),
	}
	if err := d.Store.Open(runner.RandomName()); err != nil {
		return err
	}
	d.Net.SetSelf(d.Store.Self)
	return nil
}

// buildRequestServices creates the services that process requests.
func (d *Daemon) buildRequestServices() {
	s, c, log := d.Settings, d.options.Clock, d.options.Log
	self := member.Daemon{
		ID: string(d.Store.Self.ID), Boot: runner.RandomName(), Name: s.Name, Address: s.Listen.Peers, Zone: s.Zone, Region: s.Region,
	}
	d.buildTunnels()
	d.Roster = &roster.Roster{Self: self, Clock: c, Net: d.Net, Directory: d, Log: log.WithName("roster"), Lease: s.Lease}
	d.Canary = &canary.Controller{
		Self: self.ID, Clock: c, Store: d.Store, Net: d.Net, Roster: d.Roster, Log: log.WithName("pilot"),
		Leased: func() bool { return d.LeaseStatus().AllowsVersionMoves() },
	}
	d.Guard = &guard.Guard{
		Self: self.Holder(), Clock: c, Store: d.Store, Net: d.Net, Log: log.WithName("guard"), Dial: d.tunnels.Direct, AnnouncedAt: d.Roster.AnnouncedAt,
	}
	d.Relay = &relay.Relay{
		Self: self, Clock: c, Net: d.Net, Roster: d.Roster, Engine: &engine.Client{HTTP: d.backendClient()},
		Versions: d.Canary, Guard: d.Guard, Log: log.WithName("relay"), Route: d.routeByName,
	}
	d.Roster.RemovalObserver = d.Relay
	d.Once = &once.Executor{
		Self: self.Holder(), Clock: c, Journal: d.Store, Servers: d.Roster, HTTP: d.backendClient(), Dial: d.tunnels.DialContext, Observe: d.Canary.Observe,
		Guard: d.Guard, OnTrial: d.Canary.OnTrial, MemoryBytes: s.Memory(),
	}
	d.Manage = &manage.Server{
		Clock: c, Settings: s, Runner: d.Runner, Store: d.Store, Roster: d.Roster, Metrics: d.Metrics, Self: self,
	}
	d.Entry = &entry.Entry{
		Self: self.ID, Clock: c, Settings: s, Store: d.Store, Roster: d.Roster, Relay: d.Relay, Once: d.Once,
		Versions: d.Canary, Guard: d.Guard, LeaseStatus: d.LeaseStatus, Limits: d.limits, Announce: d.Manage.AnnounceHandler(),
	}
	d.Roster.Loads = d.Entry.Loads
}

// backendClient returns an HTTP client for backend servers that reaches them through other daemons if this one
// cannot.
func (d *Daemon) backendClient() *http.Client {
	return engine.NewHTTPClient(d.tunnels.DialContext)
}

// buildTunnels creates what opens connections to backend servers, for this daemon and for others.
func (d *Daemon) buildTunnels() {
	s, log := d.Settings, d.options.Log.WithName("tunnel")
	direct := d.options.DialBackends
	if direct == nil {
		direct = (&net.Dialer{}).DialContext
	}
	peer := d.options.Dial
	if peer == nil {
		peer = (&net.Dialer{}).DialContext
	}
	if config := d.clientTLS(); config != nil {
		open := peer
		peer = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := open(ctx, network, address)
			if err != nil {
				return nil, err
			}
			secured := config.Clone()
			secured.ServerName, _, _ = net.SplitHostPort(address)
			return tls.Client(conn, secured), nil
		}
	}
	d.tunnels = &tunnel.Dialer{
		Clock: d.options.Clock, Log: log, Direct: direct, Peer: peer, Token: s.PeerToken, Peers: d.tunnelPeers,
		Service: func(address string) (string, int) { return d.Roster.ServiceOf(address) },
	}
	d.tunnelHandler = &tunnel.Handler{
		Log: log, Direct: direct, Stopping: d.draining.Load,
		Known: func(address string) bool {
			service, _ := d.Roster.ServiceOf(address)
			return service != ""
		},
	}
}

// tunnelPeers returns the other live daemons.
func (d *Daemon) tunnelPeers() []tunnel.Peer {
	var list []tunnel.Peer
	for _, m := range d.Roster.Live() {
		list = append(list, tunnel.Peer{Name: m.Name, Address: m.Address, Zone: m.Zone})
	}
	return list
}

// orderClient returns the client for orders to the cloud at an address.
func orderClient(address string) *http.Client {
	if !strings.HasPrefix(address, "https:") {
		return duty.NewClient()
	}
	client := engine.NewHTTPClient(nil)
	client.Transport = duty.CheckFirst(client.Transport)
	return client
}

func (d *Daemon) registerServices() {
	d.Runner.Add("net", d.Net)
	d.Runner.Add("store", d.Store)
	d.Runner.Add("roster", d.Roster)
	d.Runner.Add("pilot", d.Canary)
	d.Runner.Add("guard", d.Guard)
	d.Runner.Add("once", d.Once)
	d.Runner.Add("relay", d.Relay)
	d.Runner.Add("entry", d.Entry)
	if address := d.Settings.CloudAddress; address != "" {
		client := &cloud.Client{Address: address, HTTP: engine.NewHTTPClient(nil)}
		d.Runner.Add("cloud", &cloud.NoticeWatcher{Client: client, Clock: d.options.Clock, Roster: d.Roster})
		d.Runner.Add("buyer", &buyer.Buyer{
			Self: d.Roster.Self.Holder(), Clock: d.options.Clock, Store: d.Store, Roster: d.Roster,
			Cloud: &cloud.Client{Address: address, HTTP: orderClient(address)}, Log: d.options.Log.WithName("buyer"),
		})
	}
	d.Runner.Add("daemon", joinService{daemon: d})
}

// LeaseStatus returns whether this daemon has a valid lease, or else its state, such as catching up or
// draining.
func (d *Daemon) LeaseStatus() lease.Status {
	status := d.Store.Status()
	return lease.Decide(d.options.Clock.Now(), lease.Inputs{
		CaughtUp: d.joiner.CaughtUp.Load(), Draining: d.draining.Load(),
		ContactAt: status.ContactAt, Lease: d.Settings.Lease,
		Daemons: len(status.Members), Live: d.Roster.CountDaemons(),
	})
}

// Start opens the listeners and starts the services. When it returns, the daemon may still be joining
// the replication group; it accepts requests once its readiness check succeeds.
func (d *Daemon) Start(ctx context.Context) error {
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	if err := d.Runner.Start(ctx); err != nil {
		return err
	}
	handlers := []http.Handler{d.Entry.Handler(), d.peerHandler(), d.Manage.Handler()}
	for i, l := range listeners {
		d.serve(l, handlers[i])
	}
	d.options.Log.Info("started", "name", d.Settings.Name, "id", string(d.Store.Self.ID))
	return nil
}

func (d *Daemon) peerHandler() http.Handler {
	server := &peers.Server{
		Token: d.Settings.PeerToken, Store: d.Store, Net: d.Net, Gossiper: d.Roster, MirrorStore: d.Relay, Collector: d.Canary,
		CrashCollector: d.Guard,
	}
	mux := http.NewServeMux()
	path, messages := server.Handler()
	mux.Handle(path, peers.RequireToken(d.Settings.PeerToken, messages))
	tunnels := peers.RequireToken(d.Settings.PeerToken, d.tunnelHandler)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect {
			tunnels.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (d *Daemon) listen() ([]net.Listener, error) {
	l := d.Settings.Listen
	var listeners []net.Listener
	for _, address := range []string{l.Callers, l.Peers, l.Admin} {
		listener, err := d.options.Listen("tcp", address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		if d.tls != nil {
			listener = tls.NewListener(listener, d.tls)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func (d *Daemon) serve(l net.Listener, h http.Handler) {
	limits := d.Settings.Limits
	server := &http.Server{
		Handler: h, MaxHeaderBytes: limits.HeaderBytes,
		ReadHeaderTimeout: limits.ReadTimeout.Std(), ReadTimeout: limits.ReadTimeout.Std(),
		IdleTimeout: time.Minute,
	}
	abort.Guard(server)
	d.limits.Track(server)
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(l) }()
}

// Stop shuts the daemon down without interrupting a request. It fails the readiness check, waits for
// BalancerLag so that load balancers stop sending requests, and then lets the running requests finish.
func (d *Daemon) Stop(ctx context.Context) error {
	d.draining.Store(true)
	d.Roster.Drain()
	d.options.Log.Info("draining")
	runner.Pause(ctx, d.Settings.BalancerLag)
	err := d.finishRequests(ctx)
	stopErr := d.Runner.Stop(ctx)
	d.closeServers()
	if err == nil {
		err = stopErr
	}
	return err
}

// finishRequests closes the listener for callers, which is the first server, and waits until the
// requests on its connections have finished.
func (d *Daemon) finishRequests(ctx context.Context) error {
	if len(d.servers) == 0 {
		return nil
	}
	return d.servers[0].Shutdown(ctx)
}

// Kill stops the daemon immediately, as a crash would.
func (d *Daemon) Kill() {
	d.closeServers()
	d.Runner.Kill()
}

func (d *Daemon) closeServers() {
	d.tunnelHandler.Close()
	for _, s := range d.servers {
		_ = s.Close()
	}
}
