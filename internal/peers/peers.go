// Package peers carries the protocol between daemons over connect-go. Net is the sending side;
// Server, in server.go, is the receiving side.
//
//	n := peers.New(peers.Options{Token: token, Clock: c})
//	n.Send(member, messages)          // never blocks, may lose
//	response, err := n.Client(address).Fetch(ctx, request)
//
// Every call has a deadline. Calls use HTTP/1.1 connections that are closed when a call runs
// past its deadline, so that a connection which has gone silent is replaced by the next call.
package peers

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"swiftbeam/internal/fault"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/ring"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/internal/wire/peerpb/peerpbconnect"
	"swiftbeam/pkg/clock"
)

// Bounds of the protocol.
const (
	// DeliverTimeout bounds one delivery of consensus messages.
	DeliverTimeout = 500 * clock.Millisecond
	// ProposeTimeout bounds one attempt to commit a command through the leader.
	ProposeTimeout = 2 * clock.Second
	// MaxMessageBytes bounds one message in either direction.
	MaxMessageBytes = 64 << 20

	senderRing  = 256
	senderBatch = 64
	idleSenders = 5 * clock.Minute
)

// Options configures the sending side.
type Options struct {
	// Self names this daemon to those it sends to.
	Self quorum.Member
	// Token authenticates this daemon to the others.
	Token string
	// TLS is nil for plain connections.
	TLS *tls.Config
	// Dial replaces the dialer; nil means a net.Dialer. Tests cut links with it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Net sends to other daemons.
type Net struct {
	options Options
	client  *http.Client
	// Bytes counts what the connections that this daemon opened carried, in both directions.
	Bytes atomic.Int64

	mu      sync.Mutex
	senders map[string]*ring.Ring[quorum.Message]
	clients map[string]peerpbconnect.PeersClient
	ctx     context.Context
	group   *runner.Group
}

// New returns a Net. Start must be called before Send.
func New(o Options) *Net {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: DeliverTimeout.Std()}).DialContext
	}
	n := &Net{
		options: o,
		senders: make(map[string]*ring.Ring[quorum.Message]),
		clients: make(map[string]peerpbconnect.PeersClient),
	}
	n.client = &http.Client{Transport: &http.Transport{
		DialContext:         n.dial,
		TLSClientConfig:     o.TLS,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     30 * time.Second,
	}}
	return n
}

func (n *Net) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := n.options.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &counted{Conn: c, bytes: &n.Bytes}, nil
}

// counted counts the bytes of a connection.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Start allows sending until ctx ends.
func (n *Net) Start(ctx context.Context, g *runner.Group) error {
	n.ctx, n.group = ctx, g
	g.Go(func() {
		<-ctx.Done()
		n.client.CloseIdleConnections()
	})
	return nil
}

// SetSelf sets the member that messages come from. Call it before Start.
func (n *Net) SetSelf(self quorum.Member) { n.options.Self = self }

// Client returns the client for the daemon at address.
func (n *Net) Client(address string) peerpbconnect.PeersClient {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.clients[address]
	if c == nil {
		scheme := "http://"
		if n.options.TLS != nil {
			scheme = "https://"
		}
		c = peerpbconnect.NewPeersClient(n.client, scheme+address,
			connect.WithInterceptors(n.authorize()),
			connect.WithReadMaxBytes(MaxMessageBytes), connect.WithSendMaxBytes(MaxMessageBytes))
		n.clients[address] = c
	}
	return c
}

// FeedClient returns the client for the feed of the core daemon at address.
func (n *Net) FeedClient(address string) peerpbconnect.FeedClient {
	client := &http.Client{Transport: bearer{token: n.options.Token, base: n.client.Transport}}
	return peerpbconnect.NewFeedClient(client, "http://"+address,
		connect.WithReadMaxBytes(MaxMessageBytes), connect.WithSendMaxBytes(MaxMessageBytes))
}

// bearer adds the token to requests, streams included, which interceptors of unary calls miss.
type bearer struct {
	token string
	base  http.RoundTripper
}

// RoundTrip sends a request with the token.
func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	return b.base.RoundTrip(r)
}

func (n *Net) authorize() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+n.options.Token)
			return next(ctx, r)
		}
	}
}

// Send queues consensus messages for a member. A full queue loses them, which the consensus
// core repairs.
func (n *Net) Send(to quorum.Member, messages []quorum.Message) {
	queue := n.sender(to.Address)
	if queue == nil {
		return
	}
	for _, m := range messages {
		queue.Offer(m)
	}
}

func (n *Net) sender(address string) *ring.Ring[quorum.Message] {
	n.mu.Lock()
	defer n.mu.Unlock()
	queue := n.senders[address]
	if queue == nil && n.ctx != nil && n.ctx.Err() == nil {
		queue = ring.New[quorum.Message](senderRing)
		n.senders[address] = queue
		n.group.Go(func() { n.deliver(address, queue) })
	}
	return queue
}

// deliver sends queued messages to one daemon, a batch at a time, until the queue was idle for
// long.
func (n *Net) deliver(address string, queue *ring.Ring[quorum.Message]) {
	client := n.Client(address)
	batch := make([]quorum.Message, 0, senderBatch)
	for {
		ctx, cancel := context.WithTimeout(n.ctx, idleSenders.Std())
		first, err := queue.Take(ctx)
		cancel()
		if err != nil {
			n.mu.Lock()
			delete(n.senders, address)
			n.mu.Unlock()
			return
		}
		batch = queue.Drain(append(batch[:0], first), senderBatch-1)
		n.deliverBatch(client, batch)
	}
}

func (n *Net) deliverBatch(client peerpbconnect.PeersClient, batch []quorum.Message) {
	request := &peerpb.DeliverRequest{Sender: wire.MemberToPB(n.options.Self)}
	timeout := DeliverTimeout
	for _, m := range batch {
		request.Envelopes = append(request.Envelopes, wire.EnvelopeToPB(m))
		if m.Snapshot != nil {
			timeout = 20 * DeliverTimeout
		}
	}
	ctx, cancel := context.WithTimeout(n.ctx, timeout.Std())
	defer cancel()
	_, _ = client.Deliver(ctx, connect.NewRequest(request))
}

// ProposeAt commits a command through the leader at address.
func (n *Net) ProposeAt(ctx context.Context, address string, command []byte) (uint64, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, ProposeTimeout.Std())
	defer cancel()
	r, err := n.Client(address).Propose(ctx, connect.NewRequest(&peerpb.ProposeRequest{Command: command}))
	if err != nil {
		return 0, nil, Fault(err)
	}
	return r.Msg.GetIndex(), r.Msg.GetResult(), nil
}

// Fault maps an error of a call to a typed error. Only errors that show that the call had no
// effect are of kind Unavailable: the connection could not be opened, or the daemon refused.
func Fault(err error) error {
	var dial *net.OpError
	refused := connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeUnavailable
	if refused || errors.As(err, &dial) && dial.Op == "dial" {
		return fault.New(fault.Unavailable, "daemon cannot be reached: %v", err).Remedy("retry").After(1)
	}
	if connect.CodeOf(err) == connect.CodeUnauthenticated {
		return fault.New(fault.Denied, "daemon refused the peer token").Remedy("give all daemons the same peerToken")
	}
	return fault.New(fault.Unknown, "call between daemons failed: %v", err).Remedy("retry").After(1)
}
