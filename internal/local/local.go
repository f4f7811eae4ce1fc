// Package local runs a small deployment in one process over loopback: daemons, fakes of backend servers
// and of the cloud API, and clients for operators and callers. The demo, the benchmarks and the failure
// tests use it.
//
//	d, err := local.Start(ctx, local.Options{Daemons: 3, Folder: dir})
//	err = d.Put(ctx, "accounts", local.AccountsSection)
//	answer, err := d.Caller().Stream(ctx, prompt, nil)
package local

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"swiftbeam/internal/daemon"
	"swiftbeam/internal/fakes"
	"swiftbeam/internal/lease"
	"swiftbeam/internal/ports"
	"swiftbeam/internal/setup"
	"swiftbeam/pkg/admin"
	"swiftbeam/pkg/caller"
	"swiftbeam/pkg/clock"
)

// Fixed credentials of the deployment, which listens on loopback only.
const (
	operatorToken = "operator-token-of-the-local-deployment"
	backendToken  = "backend-token-of-the-local-deployment"
	peerToken     = "peer-token-of-the-local-deployment"
	callerKey     = "key-of-the-local-caller"
)

// Zones are the availability zones of the deployment.
var Zones = []string{"porto-a", "porto-b", "braga-a", "guimaraes-a"}

// Options configure a deployment.
type Options struct {
	Daemons int
	Voters  int
	// Folder is the parent of the data folders of the daemons.
	Folder string
	Log    logr.Logger
	// Partition isolates daemons from one another; nil means that all are always connected.
	Partition *Partition
	// BackendPartition isolates daemons from all backend servers; nil means that they are always connected.
	BackendPartition *Partition
	// ReplaceAfter is the time without a reply after which a voter is replaced; zero means the default of
	// package daemon.
	ReplaceAfter clock.Duration
	BalancerLag  clock.Duration
}

// Deployment is a group of running daemons together with a fake cloud API.
type Deployment struct {
	Options Options
	Cloud   *fakes.Cloud

	ctx        context.Context
	mu         sync.Mutex
	daemons    []*daemon.Daemon
	settings   []*setup.Settings
	ports      []*ports.Port
	operations int
	client     *http.Client
}

// Start starts the cloud API and the daemons, and waits until the daemons accept requests.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	if o.Voters == 0 {
		o.Voters = min(o.Daemons, 3)
	}
	d := &Deployment{Options: o, Cloud: &fakes.Cloud{}, ctx: ctx, client: newClient()}
	if err := d.Cloud.Start(ctx); err != nil {
		return nil, err
	}
	if err := d.buildSettings(); err != nil {
		return nil, err
	}
	d.daemons = make([]*daemon.Daemon, o.Daemons)
	for i := range d.daemons {
		if err := d.StartDaemon(i); err != nil {
			return nil, err
		}
	}
	return d, d.WaitReady(ctx)
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// buildSettings chooses ports and creates the settings of all daemons.
func (d *Deployment) buildSettings() error {
	var addresses []string
	for range 3 * d.Options.Daemons {
		p, err := ports.Reserve()
		if err != nil {
			return err
		}
		d.ports = append(d.ports, p)
		addresses = append(addresses, p.Address)
	}
	var voters, all []string
	for i := range d.Options.Daemons {
		all = append(all, addresses[3*i+1])
		if i < d.Options.Voters {
			voters = append(voters, addresses[3*i+1])
		}
	}
	for i := range d.Options.Daemons {
		d.settings = append(d.settings, d.newSettings(i, addresses[3*i:3*i+3], voters, all))
	}
	return nil
}

func (d *Deployment) newSettings(i int, listen, voters, all []string) *setup.Settings {
	lag := d.Options.BalancerLag
	if lag == 0 {
		lag = 200 * clock.Millisecond
	}
	return &setup.Settings{
		Name: fmt.Sprintf("entry-%d", i+1), Zone: Zones[i%len(Zones)], Region: "norte",
		Listen:      setup.Listen{Callers: listen[0], Peers: listen[1], Admin: listen[2]},
		DataFolder:  filepath.Join(d.Options.Folder, fmt.Sprintf("entry-%d", i+1)),
		FirstVoters: voters, Peers: all, Voters: d.Options.Voters, PeerToken: peerToken,
		Operators:    []setup.Principal{{Name: "operator", TokenSHA256: digest(operatorToken), Names: []string{"*"}}},
		Backends:     []setup.Principal{{Name: "backends", TokenSHA256: digest(backendToken), Names: []string{"*"}}},
		BalancerLag:  lag,
		StopTimeout:  20 * clock.Second,
		Lease:        3 * clock.Second,
		CloudAddress: d.Cloud.Address, Limits: setup.DefaultLimits,
	}
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// StartDaemon starts the daemon with the given index, also after Kill or Stop.
func (d *Deployment) StartDaemon(i int) error {
	o := daemon.Options{Log: d.Options.Log.WithName(d.settings[i].Name), ReplaceAfter: d.Options.ReplaceAfter}
	if d.Options.Partition != nil {
		o.Dial = d.Options.Partition.Dial(d.settings[i].Listen.Peers)
	}
	if d.Options.BackendPartition != nil {
		o.DialBackends = d.Options.BackendPartition.Dial(d.settings[i].Listen.Peers)
	}
	instance, err := daemon.New(d.settings[i], o)
	if err != nil {
		return err
	}
	if err := instance.Start(d.ctx); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.daemons[i] = instance
	return nil
}

// Daemon returns the running daemon with the given index, or nil.
func (d *Deployment) Daemon(i int) *daemon.Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.daemons[i]
}

// Settings returns the settings of the daemon with the given index.
func (d *Deployment) Settings(i int) *setup.Settings { return d.settings[i] }

// Kill stops a daemon immediately, as a crash would.
func (d *Deployment) Kill(i int) {
	instance := d.takeDaemon(i)
	if instance != nil {
		instance.Kill()
	}
}

// Stop shuts a daemon down gracefully.
func (d *Deployment) Stop(ctx context.Context, i int) error {
	instance := d.Daemon(i)
	if instance == nil {
		return nil
	}
	err := instance.Stop(ctx)
	d.takeDaemon(i)
	return err
}

func (d *Deployment) takeDaemon(i int) *daemon.Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	instance := d.daemons[i]
	d.daemons[i] = nil
	return instance
}

// Close kills all daemons.
func (d *Deployment) Close() {
	for i := range d.settings {
		d.Kill(i)
	}
	d.client.CloseIdleConnections()
	for _, p := range d.ports {
		p.Release()
	}
}

// WaitReady waits until every running daemon has the status lease.Leased.
func (d *Deployment) WaitReady(ctx context.Context) error {
	return d.WaitUntil(ctx, "daemons accept requests", func() bool {
		for i := range d.settings {
			if instance := d.Daemon(i); instance != nil && instance.LeaseStatus() != lease.Leased {
				return false
			}
		}
		return true
	})
}

// WaitUntil polls until isMet returns true. The description of the condition appears in the error that it
// returns when ctx ends first.
func (d *Deployment) WaitUntil(ctx context.Context, condition string, isMet func() bool) error {
	for !isMet() {
		select {
		case <-ctx.Done():
			return errors.Newf("timed out waiting for: %s", condition)
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// readyAddresses returns an address, chosen by pick, of each daemon to which a load balancer would send
// requests.
func (d *Deployment) readyAddresses(pick func(setup.Listen) string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	for i, instance := range d.daemons {
		if instance != nil && instance.LeaseStatus().Accepts() {
			list = append(list, pick(d.settings[i].Listen))
		}
	}
	return list
}

// Caller returns a caller's client that uses all daemons that accept requests at this time.
func (d *Deployment) Caller() *caller.Client {
	c := &caller.Client{Key: callerKey, HTTP: d.client}
	for _, address := range d.readyAddresses(func(l setup.Listen) string { return l.Callers }) {
		c.Addresses = append(c.Addresses, "http://"+address)
	}
	return c
}

// CallerAt returns a caller's client of the daemon with the given index.
func (d *Deployment) CallerAt(i int) *caller.Client {
	return &caller.Client{Key: callerKey, HTTP: d.client, Addresses: []string{"http://" + d.settings[i].Listen.Callers}}
}

// Operator returns an operator's client of a daemon that accepts requests at this time.
func (d *Deployment) Operator() *admin.Client {
	return &admin.Client{Address: "http://" + d.readyAddresses(func(l setup.Listen) string { return l.Admin })[0], Token: operatorToken, HTTP: d.client}
}

// OperatorAt returns an operator's client of the daemon with the given index.
func (d *Deployment) OperatorAt(i int) *admin.Client {
	return &admin.Client{Address: "http://" + d.settings[i].Listen.Admin, Token: operatorToken, HTTP: d.client}
}

// Put replaces the newest version of a section, or creates the section.
func (d *Deployment) Put(ctx context.Context, section, text string) error {
	c := d.Operator()
	base := uint64(0)
	if old, err := c.Get(ctx, section); err == nil {
		base = old.Version
	}
	d.mu.Lock()
	d.operations++
	operation := fmt.Sprintf("operation-%d", d.operations)
	d.mu.Unlock()
	_, err := c.Put(ctx, section, admin.PutSection{Base: base, Operation: operation, Text: text})
	return err
}

// Announcer returns the announcer for a fake backend server in an availability zone.
func (d *Deployment) Announcer(service, version, zone string) fakes.Announcer {
	var addresses []string
	for _, s := range d.settings {
		addresses = append(addresses, s.Listen.Admin)
	}
	return fakes.Announcer{Service: service, Version: version, Zone: zone, Token: backendToken, Daemons: addresses}
}

// StartEngine starts a fake model engine of the service luthier-model. If change is not nil, it adjusts
// the engine before the start.
func (d *Deployment) StartEngine(version, zone string, change func(*fakes.Engine)) (*fakes.Engine, error) {
	e := &fakes.Engine{
		Announcer: d.Announcer("luthier-model", version, zone),
		Slots:     16, TokenGap: 4 * time.Millisecond, PrefillPerBlock: 2 * time.Millisecond,
	}
	if change != nil {
		change(e)
	}
	return e, e.Start(d.ctx)
}

// StartPaymentServer starts a fake backend server of the service commission-ledger.
func (d *Deployment) StartPaymentServer(log *fakes.RunLog, zone string) (*fakes.PaymentServer, error) {
	l := &fakes.PaymentServer{Announcer: d.Announcer("commission-ledger", "v1", zone), RunLog: log, ProcessingTime: 5 * time.Millisecond}
	return l, l.Start(d.ctx)
}

// AccountsSection defines the client account of Caller.
var AccountsSection = fmt.Sprintf(`{
	"kind": "accounts",
	"accounts": [{"name": "oficina", "keySHA256": %q, "share": 4}],
}`, digest(callerKey))

// LedgerSection defines the service commission-ledger.
const LedgerSection = `{
	"kind": "service", "type": "plain", "version": "v1",
	"routes": [{"name": "deposits", "path": "/deposits", "once": true, "timeout": "5s"}],
}`

// ModelSection returns the section of the service luthier-model. move is empty or a version move such as
// `"move": {"to": "v2", "finishBy": "..."},`.
func ModelSection(version, move string) string {
	return fmt.Sprintf(`{
	"kind": "service", "type": "engine", "version": %q,
	"routes": [
		{"name": "quick", "priority": "urgent", "timeout": "30s"},
		{"name": "dossier", "priority": "bulk", "timeout": "60s"},
	],
	%s
}`, version, move)
}
