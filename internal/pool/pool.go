// Package pool keeps connections to backend servers and carries one request at a time on each:
//
//	c, err := p.Get(ctx, address, limit)       // a kept connection, or a new one
//	wrote, err := c.Send(head, body)           // wrote tells whether a byte may have left
//	answer, err := c.Receive("POST", accepts)  // skips answers to other requests
//	c.Release(keep)
//
// net/http's transport sends requests again by itself and takes the next bytes of a connection
// for the answer to the newest request; here the caller decides on both.
package pool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"swiftbeam/pkg/clock"
)

// Times and sizes of connections.
const (
	// DialTimeout bounds the opening of a connection; a server in reach answers within a few
	// round trips of at most 30 ms each.
	DialTimeout = 800 * clock.Millisecond
	// userTimeout ends a connection whose bytes are not acknowledged, as in a silent partition.
	userTimeout = 1500 * clock.Millisecond
	// keepAliveIdle, keepAliveEvery and keepAliveProbes find a silent connection in 2 s while it
	// only waits for an answer.
	keepAliveIdle   = clock.Second
	keepAliveEvery  = 500 * clock.Millisecond
	keepAliveProbes = 2
	// idleDefault is how long a connection is kept where its server names no time.
	idleDefault = 4 * clock.Second
	// idleMargin is what a connection is given up before its server would close it: a round trip
	// and a timer that fires late.
	idleMargin = 300 * clock.Millisecond
	readBuffer = 2 << 10
	// foreignAnswers is the number of answers to other requests that are skipped.
	foreignAnswers = 2
	// foreignBytes bounds the body of a skipped answer.
	foreignBytes = 1 << 20
	// inlineBody is the size up to which a body is written before the answer is awaited; a larger
	// one is written beside it, as the server may answer before it has read all.
	inlineBody = 8 << 10
)

// Errors of connections.
var (
	ErrFull          = errors.New("all connections to the server are in use")
	ErrOtherResponse = errors.New("the connection carries answers to other requests")
)

// Pool holds the connections of one daemon. The zero value is ready to use.
type Pool struct {
	Clock clock.Clock
	// Opened counts new connections.
	Opened atomic.Int64

	mu      sync.Mutex
	servers map[string]*server
}

type server struct {
	idle  []*Conn // the most recently used last
	total int
}

// Conn is one connection to a backend server.
type Conn struct {
	// Reused tells that the connection carried a request before.
	Reused bool

	pool      *Pool
	address   string
	net       *net.TCPConn
	reader    *bufio.Reader
	expires   clock.Instant
	mustClose bool
	writing   chan error
	ended     bool
}

// Get returns a kept connection to address, or opens one while there are fewer than limit.
func (p *Pool) Get(ctx context.Context, address string, limit int) (*Conn, error) {
	for {
		c, open := p.take(address, limit)
		if c == nil && !open {
			return nil, ErrFull
		}
		if c == nil {
			return p.open(ctx, address)
		}
		if c.alive() {
			return c, nil
		}
		c.close()
	}
}

// take returns an idle connection, or reports whether one may be opened and counts it.
func (p *Pool) take(address string, limit int) (*Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers == nil {
		p.servers = make(map[string]*server)
	}
	s := p.servers[address]
	if s == nil {
		s = &server{}
		p.servers[address] = s
	}
	if n := len(s.idle); n > 0 {
		c := s.idle[n-1]
		s.idle = s.idle[:n-1]
		c.Reused = true
		return c, true
	}
	if limit > 0 && s.total >= limit {
		return nil, false
	}
	s.total++
	return nil, true
}

func (p *Pool) open(ctx context.Context, address string) (*Conn, error) {
	d := net.Dialer{Timeout: DialTimeout.Std(), KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle.Std(), Interval: keepAliveEvery.Std(), Count: keepAliveProbes,
	}, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout))
		})
	}}
	conn, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		p.uncount(address)
		return nil, err
	}
	p.Opened.Add(1)
	return &Conn{pool: p, address: address, net: conn.(*net.TCPConn), reader: bufio.NewReaderSize(conn, readBuffer)}, nil
}

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 18

func (p *Pool) uncount(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[address]; s != nil {
		s.total--
	}
}

// CloseIdle closes the idle connections to a server that is gone.
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

// CloseExpired closes connections that their servers are about to close.
func (p *Pool) CloseExpired() {
	now := p.Clock.Now()
	var old []*Conn
	p.mu.Lock()
	for address, s := range p.servers {
		keep := s.idle[:0]
		for _, c := range s.idle {
			if now.Before(c.expires) {
				keep = append(keep, c)
			} else {
				old = append(old, c)
			}
		}
		s.idle = keep
		if s.total == 0 {
			delete(p.servers, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// alive reports whether an idle connection can carry a request: its time has not come, and
// neither its end nor unexpected bytes have arrived.
func (c *Conn) alive() bool {
	if !c.pool.Clock.Now().Before(c.expires) || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.net.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// SetDeadline bounds all reads and writes from now on. A passed deadline interrupts them.
func (c *Conn) SetDeadline(t time.Time) { _ = c.net.SetDeadline(t) }

// Abort ends the connection at once, so that the server sees the caller leave.
func (c *Conn) Abort() { _ = c.net.Close() }

// Send writes a request. It reports whether any byte may have left.
func (c *Conn) Send(head, body []byte) (bool, error) {
	if len(body) <= inlineBody {
		n, err := c.net.Write(append(head, body...))
		return n > 0, err
	}
	n, err := c.net.Write(head)
	if err != nil {
		return n > 0, err
	}
	c.writing = make(chan error, 1)
	go func() {
		_, err := c.net.Write(body)
		c.writing <- err
	}()
	return true, nil
}

// Receive reads the head of the answer for which accepts is true. Answers to other requests are
// skipped, and the connection is then not used again.
func (c *Conn) Receive(method string, accepts func(http.Header) bool) (*http.Response, error) {
	request := &http.Request{Method: method}
	for range foreignAnswers + 1 {
		answer, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if accepts(answer.Header) {
			c.mustClose = c.mustClose || answer.Close
			c.noteIdle(answer.Header)
			return answer, nil
		}
		c.mustClose = true
		if _, err := io.CopyN(io.Discard, answer.Body, foreignBytes); err != io.EOF {
			return nil, ErrOtherResponse
		}
	}
	return nil, ErrOtherResponse
}

// noteIdle sets how long the connection may stay idle after this answer.
func (c *Conn) noteIdle(h http.Header) {
	idle := idleDefault
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" {
			idle = clock.Duration(seconds) * clock.Second
		}
	}
	c.expires = c.pool.Clock.Now().Add(idle - idleMargin)
}

// Release ends the use of the connection. It is kept when keep is set, the answer was read whole,
// and the server lets it stay.
func (c *Conn) Release(keep bool) {
	if c.ended {
		return
	}
	if c.writing != nil {
		select {
		case err := <-c.writing:
			keep = keep && err == nil
		default:
			keep = false
		}
		c.writing = nil
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
	if c.ended {
		return
	}
	c.ended = true
	_ = c.net.Close()
	c.pool.uncount(c.address)
}
