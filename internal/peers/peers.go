// Package peers implements the protocol between daemons with connect-go. Net is the client side;
// Server, in server.go, is the server side.
//
//	n := peers.New(peers.Options{Self: self, Token: token})
//	err := n.Start(ctx, group)
//	n.Send(member, messages) // does not block, may drop messages
//	response, err := n.Client(address).Fetch(ctx, request)
//
// Every call has a deadline. Calls use HTTP/1.1 connections. A connection is closed when a call on it
// exceeds its deadline, so that the next call does not use an unresponsive connection.
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

	"swiftbeam/internal/dial"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/ring"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/internal/wire/peerpb/peerpbconnect"
	"swiftbeam/pkg/clock"
)

// Limits of the calls between daemons: timeouts, message size and the send queue of each receiver.
const (
	// DeliverTimeout is the timeout of a call that delivers consensus messages.
	DeliverTimeout = 500 * clock.Millisecond
	// ProposeTimeout is the timeout of one attempt to commit a command through the leader.
	ProposeTimeout = 2 * clock.Second
	// MaxMessageBytes is the maximum size of a request or response.
	MaxMessageBytes = 64 << 20
	// CompressMinBytes is the size above which messages are compressed. Below it, compression costs more
	// than it saves: a compressor for each of hundreds of streams, and most of the time of a message.
	CompressMinBytes = 32 << 10

	sendQueueSize     = 256
	maxSendBatch      = 64
	senderIdleTimeout = 5 * clock.Minute
)

// Options configures a Net.
type Options struct {
	// Self is this daemon, as the sender of consensus messages.
	Self quorum.Member
	// Token authenticates this daemon to the others.
	Token string
	// TLS is nil for connections without TLS.
	TLS *tls.Config
	// Dial replaces the DialContext method of a net.Dialer if it is not nil. Tests simulate network
	// partitions with it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Net sends messages and calls to other daemons.
type Net struct {
	options Options
	client  *http.Client
	// Bytes is the number of bytes sent and received on the connections that this daemon opened.
	Bytes atomic.Int64

	mu      sync.Mutex
	senders map[string]*ring.Ring[quorum.Message]
	clients map[string]peerpbconnect.PeersClient
	ctx     context.Context
	group   *runner.Group
}

// New returns a Net. Messages sent before Start are dropped.
func New(o Options) *Net {
	if o.Dial == nil {
		o.Dial = dial.Repeater{Timeout: DeliverTimeout, Dial: (&net.Dialer{}).DialContext}.DialContext
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
	return &countingConn{Conn: c, bytes: &n.Bytes}, nil
}

// countingConn adds the bytes read and written on a connection to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Start enables Send until ctx ends.
func (n *Net) Start(ctx context.Context, g *runner.Group) error {
	n.ctx, n.group = ctx, g
	g.Go(func() {
		<-ctx.Done()
		n.client.CloseIdleConnections()
	})
	return nil
}

// SetSelf sets the member that consensus messages name as their sender. Call it before Start.
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

// FeedClient returns a client for the feed of the core daemon at address.
func (n *Net) FeedClient(address string) peerpbconnect.FeedClient {
	client := &http.Client{Transport: bearerTransport{token: n.options.Token, base: n.client.Transport}}
	return peerpbconnect.NewFeedClient(client, "http://"+address,
		connect.WithReadMaxBytes(MaxMessageBytes), connect.WithSendMaxBytes(MaxMessageBytes))
}

// bearerTransport adds the token to all requests, also to those of streams, which unary interceptors
// do not intercept.
type bearerTransport struct {
	token string
	base  http.RoundTripper
}

// RoundTrip sends a copy of the request with the token in its Authorization header.
func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
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

// Send queues consensus messages for a member. If the queue is full, messages are dropped; the
// consensus core recovers from that.
func (n *Net) Send(to quorum.Member, messages []quorum.Message) {
	queue := n.sendQueue(to.Address)
	if queue == nil {
		return
	}
	for _, m := range messages {
		queue.Offer(m)
	}
}

func (n *Net) sendQueue(address string) *ring.Ring[quorum.Message] {
	n.mu.Lock()
	defer n.mu.Unlock()
	queue := n.senders[address]
	if queue == nil && n.ctx != nil && n.ctx.Err() == nil {
		queue = ring.New[quorum.Message](sendQueueSize)
		n.senders[address] = queue
		n.group.Go(func() { n.runSender(address, queue) })
	}
	return queue
}

// runSender sends queued messages to one daemon in batches, until no message was queued for
// senderIdleTimeout.
func (n *Net) runSender(address string, queue *ring.Ring[quorum.Message]) {
	client := n.Client(address)
	batch := make([]quorum.Message, 0, maxSendBatch)
	for {
		ctx, cancel := context.WithTimeout(n.ctx, senderIdleTimeout.Std())
		first, err := queue.Take(ctx)
		cancel()
		if err != nil {
			n.mu.Lock()
			delete(n.senders, address)
			n.mu.Unlock()
			return
		}
		batch = queue.Drain(append(batch[:0], first), maxSendBatch-1)
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

// Fault converts an error of a call to a typed error. The kind is Unavailable only if the call certainly
// had no effect: the connection could not be opened, or the daemon refused the call.
func Fault(err error) error {
	var dial *net.OpError
	refused := connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeUnavailable
	if refused || errors.As(err, &dial) && dial.Op == "dial" {
		return fault.New(fault.Unavailable, "daemon is unreachable: %v", err).Remedy("retry").WithRetryAfter(1)
	}
	if connect.CodeOf(err) == connect.CodeUnauthenticated {
		return fault.New(fault.Denied, "daemon rejected the peer token").Remedy("give all daemons the same peerToken")
	}
	return fault.New(fault.Unknown, "call between daemons failed: %v", err).Remedy("retry").WithRetryAfter(1)
}
