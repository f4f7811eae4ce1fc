// Package pool is a pool of HTTP/1.1 connections to backend servers. Each connection carries one
// request at a time:
//
//	c, err := p.Get(ctx, address, limit)         // an idle connection, or a new one
//	sent, err := c.Send(head, body)              // sent: a byte of the request may have been sent
//	response, err := c.Receive("POST", accepts)  // skips responses to other requests
//	trusted := c.TrustsRefusal(id)               // whether a refusal can only belong to this request
//	c.Release(keep)                              // keep it for later requests, or close it
//
// The package replaces net/http's Transport, which retries some requests on its own and takes the
// next bytes on a connection for the response to the current request. Here the caller of the
// package decides both.
package pool

import (
	"bufio"
	"context"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/dial"
	"swiftbeam/internal/valid"
	"swiftbeam/pkg/clock"
)

// Timeouts and sizes.
const (
	// DialTimeout bounds the opening of a connection; a reachable server accepts within a few
	// round trips of at most 30 ms each.
	DialTimeout = 800 * clock.Millisecond
	// ackTimeout (TCP_USER_TIMEOUT) ends a connection whose bytes are not acknowledged, as in a
	// network partition that drops packets. A server may be silent for a good second and go on.
	ackTimeout = 2 * clock.Second
	// keepAliveIdle, keepAliveInterval and keepAliveProbes check a connection that waits for a response and
	// sends nothing. It ends when no probe was answered for ackTimeout, which overrides the number of probes.
	keepAliveIdle     = clock.Second
	keepAliveInterval = 500 * clock.Millisecond
	keepAliveProbes   = 2
	// defaultIdleTimeout is how long a connection is kept if the server sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * clock.Second
	// idleMargin is how long before the server's idle timeout a connection is closed. It covers a
	// round trip and a timer that fires late.
	idleMargin      = 300 * clock.Millisecond
	readBufferBytes = 2 << 10
	// turnBytes is what is read of a response at a time while other goroutines are ready to run.
	turnBytes = 64 << 10
	// maxSkippedResponses is the number of responses to other requests that are skipped.
	maxSkippedResponses = 2
	// maxInterimResponses bounds the interim responses to one request.
	maxInterimResponses = 16
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 1 << 20
	// maxHeadBytes bounds the head of a response. It is that of callers' requests in package edge.
	maxHeadBytes = 64 << 10
	// maxInlineBody is the size up to which a body is written before the response is read. A
	// larger one is written concurrently, as the server may respond before it has read it all.
	maxInlineBody = 8 << 10
)

// ErrFull is returned by Get, the others by Receive.
var (
	ErrFull          = errors.New("all connections to the server are in use")
	ErrOtherResponse = errors.New("the connection carries responses to other requests")
	ErrHeadTooLong   = errors.New("the head of the response is too long")
	ErrMergedHeads   = errors.New("the head of the response contains the start of another one")
)

// Pool holds a daemon's connections to backend servers, by address. Set Clock before use.
type Pool struct {
	Clock clock.Clock
	// Dial replaces the DialContext method of a net.Dialer if it is not nil. The connections that it
	// returns must be of type *net.TCPConn. Tests cut a daemon off from its servers with it.
	Dial dial.Func
	// TimedOut is called when the system has ended an idle connection because the server's VM did not respond;
	// it may be nil.
	TimedOut func(address string)
	// MemoryBytes is the memory of the process; zero if unknown.
	MemoryBytes int64
	// Opened counts the connections that were opened.
	Opened atomic.Int64

	mu      sync.Mutex
	servers map[string]*connections
}

type connections struct {
	idle  []*Conn // most recently used last
	total int
}

// Conn is one connection to a backend server.
type Conn struct {
	// Reused reports that the connection has carried a request before.
	Reused bool
	// OpenedAt is when the connection was opened, UsedAt when it last carried a response; zero for never.
	OpenedAt clock.Instant
	UsedAt   clock.Instant

	pool        *Pool
	address     string
	net         *net.TCPConn
	reader      *bufio.Reader
	input       *limitedInput
	expires     clock.Instant
	mustClose   bool
	bodyWritten chan error
	// bodyLost is set once the body could not be written.
	bodyLost atomic.Bool
	// early is a final response that came instead of an interim one.
	early *http.Response
	// skipped is set once a response to another request was received.
	skipped bool
	// refused holds the hashes of the IDs of the requests that were refused on the connection.
	refused []uint64
	closed  bool
}

// Get returns an idle connection to address, or opens one while there are fewer than limit. A limit
// of zero or less means no limit.
func (p *Pool) Get(ctx context.Context, address string, limit int) (*Conn, error) {
	for {
		c, open := p.takeIdle(address, limit)
		if c == nil && !open {
			return nil, ErrFull
		}
		if c == nil {
			return p.open(ctx, address)
		}
		if c.usable() {
			return c, nil
		}
		c.close()
	}
}

// GetIdle returns an idle connection to address that has carried a response since a time, or nil.
func (p *Pool) GetIdle(address string, since clock.Instant) *Conn {
	for {
		p.mu.Lock()
		s := p.servers[address]
		if !s.proven(since) {
			p.mu.Unlock()
			return nil
		}
		c := s.takeLast()
		p.mu.Unlock()
		if c.usable() {
			return c
		}
		c.close()
	}
}

// HasIdle reports whether there is an idle connection to address that has carried a response since a time.
func (p *Pool) HasIdle(address string, since clock.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers[address].proven(since)
}

// proven reports whether the last idle connection has carried a response since a time.
func (s *connections) proven(since clock.Instant) bool {
	if s == nil || len(s.idle) == 0 {
		return false
	}
	usedAt := s.idle[len(s.idle)-1].UsedAt
	return usedAt > 0 && usedAt >= since
}

// takeLast removes the last idle connection and returns it.
func (s *connections) takeLast() *Conn {
	n := len(s.idle)
	c := s.idle[n-1]
	s.idle = s.idle[:n-1]
	c.Reused = true
	return c
}

// takeIdle returns an idle connection. If there is none, it reports whether a new one may be opened,
// and counts that one.
func (p *Pool) takeIdle(address string, limit int) (*Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.connections(address)
	if len(s.idle) > 0 {
		return s.takeLast(), true
	}
	if limit > 0 && s.total >= limit {
		return nil, false
	}
	s.total++
	return nil, true
}

// connections returns the connections to a server. The caller holds the lock.
func (p *Pool) connections(address string) *connections {
	if p.servers == nil {
		p.servers = make(map[string]*connections)
	}
	s := p.servers[address]
	if s == nil {
		s = &connections{}
		p.servers[address] = s
	}
	return s
}

// Probe opens a connection to address and keeps it for later requests. If that fails, it reports whether the
// VM refused the connection, as it does if no process listens there.
func (p *Pool) Probe(ctx context.Context, address string) (refused bool, err error) {
	p.mu.Lock()
	p.connections(address).total++
	p.mu.Unlock()
	c, err := p.open(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), err
	}
	c.expires = p.Clock.Now().Add(defaultIdleTimeout - idleMargin)
	c.Release(true)
	return false, nil
}

func (p *Pool) open(ctx context.Context, address string) (*Conn, error) {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle.Std(), Interval: keepAliveInterval.Std(), Count: keepAliveProbes,
	}, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = dial.SetAckTimeoutOf(fd, ackTimeout)
		})
	}}
	open := p.Dial
	if open == nil {
		open = d.DialContext
	}
	conn, err := dial.Repeater{Timeout: DialTimeout, Dial: open}.DialContext(ctx, "tcp4", address)
	if err != nil {
		p.releaseSlot(address)
		return nil, err
	}
	p.Opened.Add(1)
	tcp := conn.(*net.TCPConn)
	_ = tcp.SetReadBuffer(dial.ReadBuffer(p.MemoryBytes))
	input := &limitedInput{from: conn}
	return &Conn{pool: p, OpenedAt: p.Clock.Now(), address: address, net: tcp, input: input, reader: bufio.NewReaderSize(input, readBufferBytes)}, nil
}

// limitedInput reads from a connection, up to a number of bytes while limited is set.
type limitedInput struct {
	from      io.Reader
	limited   bool
	remaining int
	// turn is what was read since the goroutine last let others run.
	turn int
}

// Read returns ErrHeadTooLong when the limit is used up. A response that arrives faster than it is passed on never blocks
// its goroutine, which would keep the processor from short requests until it is preempted.
func (l *limitedInput) Read(b []byte) (int, error) {
	if l.turn >= turnBytes {
		l.turn = 0
		runtime.Gosched()
	}
	n, err := l.read(b)
	l.turn += n
	return n, err
}

func (l *limitedInput) read(b []byte) (int, error) {
	if !l.limited {
		return l.from.Read(b)
	}
	if l.remaining <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := l.from.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}

func (p *Pool) releaseSlot(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[address]; s != nil {
		s.total--
	}
}

// CloseIdle closes the idle connections to a server that was removed.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	var idle []*Conn
	if s := p.servers[address]; s != nil {
		idle, s.idle = s.idle, nil
	}
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// CloseExpired closes the idle connections that their servers are about to close.
func (p *Pool) CloseExpired() {
	now := p.Clock.Now()
	var expired []*Conn
	p.mu.Lock()
	for address, s := range p.servers {
		keep := s.idle[:0]
		for _, c := range s.idle {
			if now.Before(c.expires) {
				keep = append(keep, c)
			} else {
				expired = append(expired, c)
			}
		}
		s.idle = keep
		if s.total == 0 {
			delete(p.servers, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// usable reports whether an idle connection can carry a request: it has not expired, the server has
// not closed it, and no unexpected bytes have arrived.
func (c *Conn) usable() bool {
	if !c.pool.Clock.Now().Before(c.expires) || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.net.SyscallConn()
	if err != nil {
		return false
	}
	noInput, timedOut := false, false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noInput = peekErr == syscall.EAGAIN
		timedOut = peekErr == syscall.ETIMEDOUT
		return true
	})
	if timedOut && c.pool.TimedOut != nil {
		c.pool.TimedOut(c.address)
	}
	return err == nil && noInput
}

// SetDeadline sets the deadline of all reads and writes, also of those in progress.
func (c *Conn) SetDeadline(t time.Time) { _ = c.net.SetDeadline(t) }

// WasReset reports whether the server has reset the connection, which the system reports once, to a read or to the write of
// a long body.
func (c *Conn) WasReset() bool { return c.bodyLost.Load() || dial.WasReset(c.net) }

// Abort closes the connection at once, by which the server notices that the caller disconnected.
func (c *Conn) Abort() { _ = c.net.Close() }

// Send writes a request. It reports whether any byte of it may have been sent.
func (c *Conn) Send(head, body []byte) (bool, error) {
	if len(body) <= maxInlineBody {
		n, err := c.net.Write(append(head, body...))
		return n > 0, err
	}
	n, err := c.net.Write(head)
	if err != nil {
		return n > 0, err
	}
	written := make(chan error, 1)
	c.bodyWritten = written
	go func() {
		_, err := c.net.Write(body)
		c.bodyLost.Store(err != nil)
		written <- err
	}()
	return true, nil
}

// AwaitInterim waits for an interim response, by which the other side shows that it works on the request. After
// timeout it returns an error. A final response that comes instead is kept for Receive.
func (c *Conn) AwaitInterim(method string, timeout clock.Duration) error {
	_ = c.net.SetReadDeadline(time.Now().Add(timeout.Std()))
	response, err := c.readResponse(&http.Request{Method: method})
	_ = c.net.SetReadDeadline(time.Time{})
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusOK {
		c.early = response
		return nil
	}
	return response.Body.Close()
}

// readResponse reads the head of the next response.
func (c *Conn) readResponse(request *http.Request) (*http.Response, error) {
	if response := c.early; response != nil {
		c.early = nil
		return response, nil
	}
	c.input.limited, c.input.remaining = true, maxHeadBytes
	response, err := http.ReadResponse(c.reader, request)
	c.input.limited = false
	if err == nil && isMerged(response) {
		return nil, ErrMergedHeads
	}
	if err == nil && !valid.IsInterim(response.StatusCode) {
		err = valid.CheckStatus(response.StatusCode)
	}
	return response, err
}

// isMerged reports whether the head of a response was cut off within a line, so that the next response
// continues that line and its fields count for both.
func isMerged(r *http.Response) bool {
	if containsStatusLine(r.Status) {
		return true
	}
	for _, values := range r.Header {
		if slices.ContainsFunc(values, containsStatusLine) {
			return true
		}
	}
	return false
}

// containsStatusLine reports whether text contains a protocol version and a status code.
func containsStatusLine(text string) bool {
	const version, code = "HTTP/1.", "0 000"
	for {
		_, rest, found := strings.Cut(text, version)
		if !found {
			return false
		}
		if len(rest) >= len(code) && rest[1] == ' ' && rest[2] >= '1' && rest[2] <= '9' {
			if _, err := strconv.ParseUint(rest[2:len(code)], 10, 16); err == nil {
				return true
			}
		}
		text = rest
	}
}

// Receive reads the head of the response for which accepts returns true. It skips a few responses to
// other requests; after one of those the connection is not reused.
func (c *Conn) Receive(method string, accepts func(http.Header) bool) (*http.Response, error) {
	request := &http.Request{Method: method}
	skipped, interim := 0, 0
	for skipped <= maxSkippedResponses && interim <= maxInterimResponses {
		response, err := c.readResponse(request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			interim++
			continue
		}
		if accepts(response.Header) {
			c.UsedAt = c.pool.Clock.Now()
			c.mustClose = c.mustClose || response.Close
			c.setExpiry(response.Header)
			return response, nil
		}
		skipped++
		c.skipped, c.mustClose = true, true
		if _, err := io.CopyN(io.Discard, response.Body, maxSkippedBytes); err != io.EOF {
			return nil, ErrOtherResponse
		}
	}
	return nil, ErrOtherResponse
}

// maxRefused is the number of refusals after which a connection is closed, which bounds the memory for them.
const maxRefused = 256

// idSeed is the seed of the hashes of request IDs.
var idSeed = maphash.MakeSeed()

// TrustsRefusal reports whether a refusal of the request with the ID cannot be one of another request that the server
// wrote again, and remembers the refusal. The ID tells that, unless it is empty or was refused on the connection before.
// A connection with responses to other requests is not trusted at all.
func (c *Conn) TrustsRefusal(id string) bool {
	if c.skipped || id == "" {
		return false
	}
	hash := maphash.String(idSeed, id)
	if slices.Contains(c.refused, hash) {
		return false
	}
	c.refused = append(c.refused, hash)
	c.mustClose = c.mustClose || len(c.refused) >= maxRefused
	return true
}

// setExpiry sets the time until which the connection may stay idle, from a response's Keep-Alive header.
func (c *Conn) setExpiry(h http.Header) {
	idle := defaultIdleTimeout
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" {
			idle = clock.Duration(seconds) * clock.Second
		}
	}
	c.expires = c.pool.Clock.Now().Add(idle - idleMargin)
}

// Release returns the connection to the pool if keep is set, the request was sent completely, no
// unread bytes remain, and the server keeps the connection open. Otherwise it closes it.
func (c *Conn) Release(keep bool) {
	if c.closed {
		return
	}
	if c.bodyWritten != nil {
		select {
		case err := <-c.bodyWritten:
			keep = keep && err == nil
		default:
			keep = false
		}
		c.bodyWritten = nil
	}
	if !keep || c.mustClose || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	_ = c.net.SetDeadline(time.Time{})
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	s := c.pool.servers[c.address]
	s.idle = append(s.idle, c)
}

func (c *Conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	_ = c.net.Close()
	c.pool.releaseSlot(c.address)
}
