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
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.handled.Add(1)
		}
		next.ServeHTTP(w, r)
	})
	return t
}

func (t *Tracker) observe(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, conn)
	default:
		t.conns[conn] = status{state: state, since: time.Now()}
	}
}

// CloseIdle closes the connections that carry no request and returns the number of the others.
func (t *Tracker) CloseIdle(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := 0
	for conn, s := range t.conns {
		if s.state == http.StateIdle || s.state == http.StateNew && now.Sub(s.since) > silentTimeout {
			_ = conn.Close()
			delete(t.conns, conn)
			continue
		}
		open++
	}
	return open
}

// Active returns the number of connections that carry a request.
func (t *Tracker) Active() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	active := 0
	for _, s := range t.conns {
		if s.state == http.StateActive {
			active++
		}
	}
	return active
}
