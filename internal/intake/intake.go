// Package intake bounds the memory and the descriptors that clients of an http.Server use up, whatever they send:
//
//	limits := intake.FromMachine(settings.MemoryBytes)
//	limits.Track(server)
//	...
//	body, err := intake.Read(r, maxBytes, deadline) // in a handler
//
// All servers of a process share one Limits. A connection waits from its start, or from the head of a further request
// with a body, until a whole request was read from it. While MaxWaiting connections wait, a further one takes the place
// of the one that has waited longest, which is closed. A connection keeps its place for MinWait, and for MaxWait while
// bytes of its request have arrived that were not read; if all keep theirs, further connections stay in the queues of the
// listeners. Of more than MaxIdle connections between two requests, the one that is idle for longest is closed. A body of
// more than shortBytes takes its memory from BodyBytes as it arrives, until the handler returns. When that is used up, the
// body that has made no progress for longest gives up its memory; if all make progress, the new one fails with ErrFull.
//
// A handler takes a place of MaxRunning for each request that it has read, of which one account leaves some to others:
//
//	if !limits.Enter(account) {
//		... // refuse it
//	}
//	defer limits.Leave(account)
package intake

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"swiftbeam/internal/dial"
	"swiftbeam/internal/meter"
)

const (
	// memoryParts is the part of the memory that bodies may use: as much again is garbage of their growth, and the
	// connections that wait and the process itself need the rest.
	memoryParts = 12
	// descriptorParts is the part of the descriptors that waiting connections may use, and that idle ones may.
	descriptorParts = 4
	// connectionBytes is what a waiting connection uses at most on average: its buffers and stack, a head, and bytes
	// that have arrived and were not read. idleBytes is that of an idle one.
	connectionBytes = 128 << 10
	idleBytes       = 32 << 10
	// requestBytes is what a request that is handled uses on average: its body of up to shortBytes, buffers and stacks.
	requestBytes = 64 << 10
	// openParts is the part of the descriptors that connections leave to files and links.
	openParts = 8
	// connectionParts is the part of the memory that waiting connections may use, and that idle ones may.
	connectionParts = 4
	// defaultMemory is the memory of a process whose settings name none.
	defaultMemory = 256 << 20
	// HeadBytes bounds the heads of requests, ProbeHeadBytes those of checks and of requests for metrics.
	HeadBytes      = 64 << 10
	ProbeHeadBytes = 16 << 10
	// minWait is longer than a client needs to send a request on the connection that it has just opened, and short enough
	// that a crowd of silent clients does not hold up others until they give up. maxWait bounds how long clients that
	// never stop sending can hold places.
	minWait = 100 * time.Millisecond
	maxWait = time.Second
)

// Limits bounds what the clients of all servers of a process use. Set the exported fields before use.
type Limits struct {
	// BodyBytes bounds the memory of all bodies that are longer than shortBytes. One body is always read.
	BodyBytes int64
	// MaxWaiting bounds the connections with an unfinished request or none yet, MaxIdle those between two requests.
	MaxWaiting int
	MaxIdle    int
	// MaxRunning bounds the requests that were read whole and are handled, MaxOpen all connections of clients together with one
	// to a server for each of these requests. Idle connections are closed for others. Zero for no bound of MaxOpen.
	MaxRunning int
	MaxOpen    int
	// MinWait is the time for which a connection keeps its place in any case, MaxWait that for which it does while bytes
	// have arrived on it that were not read.
	MinWait time.Duration
	MaxWait time.Duration
	// ReadBuffer is what the system may hold of the unread bytes of a connection.
	ReadBuffer int
	Log        logr.Logger

	// Refused counts the bodies that found no memory, Closed the connections closed for others, HeldUp those that could
	// not take a place at once.
	Refused atomic.Int64
	Closed  atomic.Int64
	HeldUp  atomic.Int64
	// Busy counts the requests that Enter refused, ServerErrors the errors that only the servers see.
	Busy         atomic.Int64
	ServerErrors atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]*client
	// placeFree is signalled when a connection stops waiting.
	placeFree *sync.Cond
	loggedAt  [lineKinds]time.Time
	// used is the memory of the bodies in reading and of those that are held by their handlers.
	used    int64
	reading map[*client]bool
	// counts has the number of connections in each state.
	counts [running + 1]int
	// entered is the number of requests that are handled, byAccount that of each account.
	entered   int
	byAccount map[string]int
}

// state is what a connection does.
type state uint8

const (
	none state = iota // not counted, as it has no place yet, has ended or is being closed
	waiting
	idle
	running
)

// FromMachine returns limits for a process with the given memory and the descriptors that the system allows it.
func FromMachine(memoryBytes int64) *Limits {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemory
	}
	share := memoryBytes / connectionParts
	l := &Limits{
		BodyBytes: memoryBytes / memoryParts, MaxWaiting: int(share / connectionBytes), MaxIdle: int(share / idleBytes), MaxRunning: int(share / requestBytes),
		MinWait: minWait, MaxWait: maxWait, ReadBuffer: dial.ReadBuffer(memoryBytes),
	}
	var descriptors syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors) == nil {
		most := descriptors.Cur / descriptorParts
		l.MaxWaiting, l.MaxIdle, l.MaxRunning = int(min(uint64(l.MaxWaiting), most)), int(min(uint64(l.MaxIdle), most)), int(min(uint64(l.MaxRunning), most))
		l.MaxOpen = int(min(descriptors.Cur-descriptors.Cur/openParts, math.MaxInt32))
	}
	return l
}

// SetRunning sets MaxRunning, unless requests is zero.
func (l *Limits) SetRunning(requests int) {
	if requests > 0 {
		l.MaxRunning = requests
	}
}

// FitHeads lowers MaxWaiting for servers that take heads of more than HeadBytes.
func (l *Limits) FitHeads(bytes int) {
	if bytes > HeadBytes {
		l.MaxWaiting = max(l.MaxWaiting*HeadBytes/bytes, 1)
	}
}

// client is the connection of a client.
type client struct {
	limits *Limits
	conn   net.Conn
	// Fields below are guarded by limits.mu.
	state state
	since time.Time
	// closed is set when the connection is closed for another one.
	closed bool
	share  int64
	// progress is when the body last took memory.
	progress time.Time
	// evicted is set once the body has lost its memory.
	evicted bool
}

type clientKey struct{}

// Track makes the limits hold for the connections of a server that does not serve yet. It extends the server's
// ConnState, ConnContext and Handler, and sets its ErrorLog.
func (l *Limits) Track(server *http.Server) {
	l.mu.Lock()
	if l.placeFree == nil {
		l.placeFree = sync.NewCond(&l.mu)
		l.conns, l.reading = make(map[net.Conn]*client), make(map[*client]bool)
	}
	l.mu.Unlock()
	server.ErrorLog = l.errorLog()
	outerState, outerContext, next := server.ConnState, server.ConnContext, server.Handler
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		l.observe(conn, state)
		if outerState != nil {
			outerState(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if outerContext != nil {
			ctx = outerContext(ctx, conn)
		}
		l.boundReadBuffer(conn)
		return context.WithValue(ctx, clientKey{}, l.admit(conn))
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := clientOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !l.begin(c, r.ContentLength != 0) {
			panic(http.ErrAbortHandler)
		}
		defer l.release(c)
		next.ServeHTTP(w, r)
	})
}

func clientOf(r *http.Request) *client {
	c, _ := r.Context().Value(clientKey{}).(*client)
	return c
}

// observe records a change of state.
func (l *Limits) observe(conn net.Conn, to http.ConnState) {
	switch to {
	case http.StateIdle:
		l.rest(conn)
	case http.StateClosed, http.StateHijacked:
		l.forget(conn)
	case http.StateNew, http.StateActive:
		// ConnContext has recorded a new connection, begin and Read record whether the request has a body.
	}
}

// boundReadBuffer bounds the memory of bytes that have arrived.
func (l *Limits) boundReadBuffer(conn net.Conn) {
	if tcp := socket(conn); tcp != nil && l.ReadBuffer > 0 {
		_ = tcp.SetReadBuffer(l.ReadBuffer)
	}
}

// socket returns the TCP connection below conn; nil if there is none.
func socket(conn net.Conn) *net.TCPConn {
	for {
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			tcp, _ := conn.(*net.TCPConn)
			return tcp
		}
		conn = outer.NetConn()
	}
}

// Trust marks a request of another daemon, whose body may arrive as a stream without an end, as received.
func Trust(r *http.Request) {
	if c := clientOf(r); c != nil {
		c.limits.received(c)
	}
}

// begin records that the head of a request was read. It reports false if the connection was closed for another one, so
// that no response could be sent.
func (l *Limits) begin(c *client, hasBody bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.closed:
		return false
	case !hasBody:
		l.set(c, running)
	case c.state == idle:
		// Not every handler reads the body, so that the connection remains one of the idle ones until Read.
		c.since = time.Now()
	}
	return true
}

// received records that the whole request was read. It reports false if the connection was closed for another one.
func (l *Limits) received(c *client) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reading, c)
	if !c.closed {
		l.set(c, running)
	}
	return !c.closed
}

// release returns the memory of the client's body.
func (l *Limits) release(c *client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used -= c.share
	c.share, c.evicted = 0, false
	delete(l.reading, c)
}

// Keep keeps the memory of the body of a request beyond its handler, until release is called.
func Keep(r *http.Request) (release func()) {
	c := clientOf(r)
	if c == nil {
		return func() {}
	}
	l := c.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := c.share
	c.share = 0
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.used -= kept
	})
}

// Waiting returns the number of connections that wait.
func (l *Limits) Waiting() int64 { return l.count(waiting) }

// Idle returns the number of connections between two requests.
func (l *Limits) Idle() int64 { return l.count(idle) }

func (l *Limits) count(s state) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.counts[s])
}

// Used returns the memory of the bodies.
func (l *Limits) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// Register registers the gauges of the limits.
func (l *Limits) Register(r metrics.Registry) {
	meter.RegisterGauge(r, "intake.bodyBytes", l.Used)
	meter.RegisterGauge(r, "intake.waiting", l.Waiting)
	meter.RegisterGauge(r, "intake.idle", l.Idle)
	meter.RegisterGauge(r, "intake.running", l.Running)
	meter.RegisterGauge(r, "intake.refused", l.Refused.Load)
	meter.RegisterGauge(r, "intake.busy", l.Busy.Load)
	meter.RegisterGauge(r, "intake.serverErrors", l.ServerErrors.Load)
	meter.RegisterGauge(r, "intake.closed", l.Closed.Load)
	meter.RegisterGauge(r, "intake.heldUp", l.HeldUp.Load)
}
