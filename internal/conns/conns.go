// Package conns closes the connections of an http.Server in a planned stop. Unlike Server.Shutdown, which drops requests
// that it reads from then on without an answer, it leaves them to the handler:
//
//	tracker := conns.Track(server)
//	go server.Serve(tracker.Listener(listener))
//	...
//	_ = listener.Close()
//	for tracker.CloseIdle(time.Now()) > 0 {
//		time.Sleep(interval)
//	}
//	_ = server.Close()
//
// A handler learns from HasNext whether a whole further request has arrived behind the one that it serves, so that the
// connection must not end with its response.
package conns

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// silentTimeout is the time after which a connection without a byte of a request counts as idle.
const silentTimeout = 5 * time.Second

// Tracker knows the connections of a server and whether they carry a request.
type Tracker struct {
	mu    sync.Mutex
	conns map[net.Conn]status
}

type status struct {
	state http.ConnState
	since time.Time
	// closed is set once CloseIdle has closed the connection. Its server may read a request that had arrived.
	closed bool
}

// Track returns a tracker for a server that does not serve yet. It sets the server's ConnState and extends its ConnContext
// and Handler.
func Track(server *http.Server) *Tracker {
	t := &Tracker{conns: make(map[net.Conn]status)}
	server.ConnState = t.observe
	outer, next := server.ConnContext, server.Handler
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if outer != nil {
			ctx = outer(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(net.Conn)
		if !t.begin(conn) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
	return t
}

// begin records that a request on a connection is handled. It reports false if the connection was closed, so that no
// response could be sent.
func (t *Tracker) begin(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.conns[c]
	if s.closed {
		return false
	}
	s.state = http.StateActive
	t.conns[c] = s
	if c, ok := c.(*conn); ok {
		c.handled.Add(1)
	}
	return true
}

func (t *Tracker) observe(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, conn)
	default:
		t.conns[conn] = status{state: state, since: time.Now(), closed: t.conns[conn].closed}
	}
}

// CloseIdle closes the connections that carry no request and returns the number of the others.
func (t *Tracker) CloseIdle(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := 0
	for c, s := range t.conns {
		if s.closed {
			continue
		}
		idle := s.state == http.StateIdle || s.state == http.StateNew && now.Sub(s.since) > silentTimeout
		if counted, ok := c.(*conn); ok && idle {
			idle = !counted.hasInput()
		}
		if !idle {
			open++
			continue
		}
		_ = c.Close()
		s.closed = true
		t.conns[c] = s
	}
	return open
}

// Active returns the number of connections that carry a request.
func (t *Tracker) Active() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	active := 0
	for _, s := range t.conns {
		if s.state == http.StateActive && !s.closed {
			active++
		}
	}
	return active
}
