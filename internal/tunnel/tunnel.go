// Package tunnel opens connections to backend servers through other daemons, for a daemon that cannot reach
// the servers itself. Package detour decides when:
//
//	d := &tunnel.Dialer{Clock: c, Direct: direct, Peer: peer, Token: token, Peers: roster.Live, Service: serviceOf}
//	client := &http.Client{Transport: &http.Transport{DialContext: d.DialContext}}
//	handler := &tunnel.Handler{Direct: direct, Known: isServer}   // at the other daemon
//
// A tunnel carries bytes and how they end, and nothing else, so that all that is decided about a request stays
// with the daemon that received it. A daemon opens tunnels to known servers only, and never through a third daemon.
package tunnel

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"swiftbeam/internal/detour"
	"swiftbeam/internal/dial"
	"swiftbeam/pkg/clock"
)

const (
	// dialTimeout bounds the opening of a connection, suspectTimeout while other servers do not accept any.
	dialTimeout    = 800 * clock.Millisecond
	suspectTimeout = 300 * clock.Millisecond
	// openTimeout bounds the opening of a tunnel, in which the helper opens a connection.
	openTimeout = 2 * clock.Second
	// maxHelpers is the number of daemons that are asked for one tunnel.
	maxHelpers = 3
	// probePause is the time between two checks whether a probe is due.
	probePause = 100 * clock.Millisecond
	// maxTunnels bounds the tunnels of a helper.
	maxTunnels = 256
)

// errUnreached reports that neither this daemon nor its helpers reach a server.
var errUnreached = errors.New("the backend servers are unreachable from this daemon and its peers")

// Peer is another daemon.
type Peer struct {
	Name    string
	Address string
	Zone    string
}

// Dialer opens connections directly or through tunnels. Set the exported fields before use.
type Dialer struct {
	Clock clock.Clock
	Log   logr.Logger
	// Direct opens connections to servers, Peer to other daemons.
	Direct dial.Func
	Peer   dial.Func
	Token  string
	// Peers returns the other live daemons.
	Peers func() []Peer
	// Service returns the service of a server's address and the number of its servers; zero for unknown ones.
	Service func(address string) (string, int)

	mu      sync.Mutex
	paths   map[string]*detour.Path
	helpers detour.Helpers
}

// path returns the path to a service. The caller holds the lock.
func (d *Dialer) path(service string) *detour.Path {
	p := d.paths[service]
	if p == nil {
		if d.paths == nil {
			d.paths = make(map[string]*detour.Path)
		}
		p = &detour.Path{}
		d.paths[service] = p
	}
	return p
}

// DialContext opens a connection to a server. Its errors prove that nothing was sent.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	service, servers := d.Service(address)
	d.mu.Lock()
	path := d.path(service)
	now := d.Clock.Now()
	way, suspect := path.Choose(now, detour.Request{Draw: rand.Float64()}), path.Suspect(now)
	d.mu.Unlock()
	var err error
	switch way {
	case detour.Direct:
		var conn net.Conn
		if conn, err = d.dialDirect(ctx, network, address, suspect); err == nil {
			d.mu.Lock()
			defer d.mu.Unlock()
			changed := path.Opened(d.Clock.Now())
			if path.Answered(d.Clock.Now(), d.Clock.Now()) || changed {
				d.logState(service, path)
			}
			return conn, nil
		}
		if ctx.Err() != nil || !d.failed(service, servers, detour.Failure{Server: address, StartedAt: now, At: d.Clock.Now(), Silent: dial.IsTimeout(err)}) {
			return nil, err
		}
	case detour.Nowhere:
		return nil, &net.OpError{Op: "dial", Net: network, Err: errUnreached}
	}
	return d.dialAround(ctx, network, address, service)
}

func (d *Dialer) dialDirect(ctx context.Context, network, address string, suspect bool) (net.Conn, error) {
	timeout := dialTimeout
	if suspect {
		timeout = suspectTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Std())
	defer cancel()
	return d.Direct(ctx, network, address)
}

// failed records a failure. It reports whether the path is cut.
func (d *Dialer) failed(service string, servers int, f detour.Failure) bool {
	d.mu.Lock()
	path := d.path(service)
	begun := path.Failed(f, servers)
	cut := path.State == detour.Cut
	d.mu.Unlock()
	if begun {
		d.Log.Info("servers of service are unreachable from this daemon", "service", service, "server", f.Server, "silent", f.Silent)
		go d.probe(service, f.Server)
	}
	return cut
}

// probe tries at intervals to connect to a server, until the path is not cut any more.
func (d *Dialer) probe(service, address string) {
	for {
		time.Sleep(probePause.Std())
		d.mu.Lock()
		path := d.path(service)
		open, due := path.State != detour.Cut, path.ProbeDue(d.Clock.Now())
		d.mu.Unlock()
		if known, _ := d.Service(address); open || known == "" {
			return
		}
		if !due {
			continue
		}
		conn, err := d.dialDirect(context.Background(), "tcp", address, false)
		if err != nil {
			continue
		}
		_ = conn.Close()
		d.mu.Lock()
		if path.Opened(d.Clock.Now()) {
			d.logState(service, path)
		}
		d.mu.Unlock()
	}
}

func (d *Dialer) logState(service string, path *detour.Path) {
	d.Log.Info("servers of service are reachable from this daemon", "service", service, "path", path.State.String())
}

// dialAround opens a tunnel to a server.
func (d *Dialer) dialAround(ctx context.Context, network, address, service string) (net.Conn, error) {
	d.mu.Lock()
	var offered []detour.Helper
	for _, p := range d.Peers() {
		offered = append(offered, detour.Helper{Name: p.Name, Address: p.Address, Zone: p.Zone})
	}
	d.helpers.Learn(d.Clock.Now(), offered)
	d.mu.Unlock()
	var tried []string
	for len(tried) < maxHelpers {
		d.mu.Lock()
		helper, ok := d.helpers.Choose(d.Clock.Now(), rand.Uint64(), tried)
		if ok {
			d.helpers.Sent(d.Clock.Now(), helper.Name)
		}
		d.mu.Unlock()
		if !ok {
			break
		}
		conn, outcome, err := d.openTunnel(ctx, network, helper, address)
		d.mu.Lock()
		d.helpers.Done(d.Clock.Now(), helper.Name, outcome)
		if outcome == detour.Answered {
			d.path(service).Helped(d.Clock.Now())
		}
		d.mu.Unlock()
		if err == nil {
			return conn, nil
		}
		d.Log.Info("no tunnel through daemon", "daemon", helper.Name, "server", address, "outcome", outcome.String(), "error", err.Error())
		if ctx.Err() != nil {
			break
		}
		tried = append(tried, helper.Name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.helpers.NoneReaches(d.Clock.Now()) {
		d.path(service).NobodyReached(d.Clock.Now())
	}
	return nil, &net.OpError{Op: "dial", Net: network, Err: errUnreached}
}

// openTunnel opens a tunnel through a daemon.
func (d *Dialer) openTunnel(ctx context.Context, network string, helper detour.Helper, address string) (net.Conn, detour.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout.Std())
	defer cancel()
	conn, err := d.Peer(ctx, network, helper.Address)
	if err != nil {
		return nil, detour.Failed, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if _, err := io.WriteString(conn, "CONNECT "+address+" HTTP/1.1\r\nHost: "+address+"\r\nAuthorization: Bearer "+d.Token+"\r\n"+framedHeader+": 1\r\n\r\n"); err != nil {
		return nil, detour.Failed, errors.CombineErrors(err, conn.Close())
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, detour.Failed, errors.CombineErrors(err, conn.Close())
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return &helperConn{Conn: conn, reader: reader, framed: response.Header.Get(framedHeader) != ""}, detour.Answered, nil
	case http.StatusBadGateway:
		return nil, detour.Unreached, errors.CombineErrors(errors.New("the daemon does not reach the server"), conn.Close())
	case http.StatusServiceUnavailable:
		return nil, detour.NoRoom, errors.CombineErrors(errors.New("the daemon takes no tunnels"), conn.Close())
	}
	return nil, detour.Failed, errors.CombineErrors(errors.Newf("status %d", response.StatusCode), conn.Close())
}
