package intake

import (
	"net"
	"time"

	"swiftbeam/internal/conns"
)

const (
	// unreadPause is the time after which a connection with unread bytes is looked at again.
	unreadPause = 5 * time.Millisecond
)

// admit gives a place to a new connection.
func (l *Limits) admit(conn net.Conn) *client {
	c := &client{limits: l, conn: conn}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = c
	l.takePlace(c)
	return c
}

// admitBody gives a place to the connection of a further request with a body. It reports false if the connection was closed
// for another one.
func (l *Limits) admitBody(c *client) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state == idle {
		l.takePlace(c)
	}
	return !c.closed
}

// takePlace makes a connection wait for a whole request. While all places are kept, it unlocks the limits and blocks.
func (l *Limits) takePlace(c *client) {
	l.set(c, none)
	isHeldUp := false
	for l.counts[waiting] >= max(l.MaxWaiting, 1) {
		oldest, pause := l.oldestWaiting(time.Now())
		if oldest != nil {
			l.closeFor(oldest)
			continue
		}
		if !isHeldUp {
			isHeldUp = true
			l.HeldUp.Add(1)
		}
		timer := time.AfterFunc(pause, l.wake)
		l.placeFree.Wait()
		timer.Stop()
	}
	c.since = time.Now()
	l.set(c, waiting)
}

// wake makes connections without a place look for one again.
func (l *Limits) wake() {
	// With the lock, no connection is between its look and its wait.
	l.mu.Lock()
	defer l.mu.Unlock()
	l.placeFree.Broadcast()
}

// oldestWaiting returns the connection that has waited longest of those that do not keep their places; nil, and the time
// after which to look again, if all keep them.
func (l *Limits) oldestWaiting(now time.Time) (oldest *client, pause time.Duration) {
	pause = max(l.MinWait, unreadPause)
	for _, c := range l.conns {
		if c.state != waiting || oldest != nil && !c.since.Before(oldest.since) {
			continue
		}
		waited := now.Sub(c.since)
		switch {
		case waited < l.MinWait:
			pause = min(pause, l.MinWait-waited)
		case waited < l.MaxWait && c.hasUnread():
			pause = min(pause, unreadPause)
		default:
			oldest = c
		}
	}
	return oldest, pause
}

// rest records that a connection is between two requests.
func (l *Limits) rest(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conns[conn]
	if c == nil || c.closed {
		return
	}
	c.since = time.Now()
	l.set(c, idle)
	l.trimIdle()
}

// closeFor closes a connection for another one. It unlocks the limits meanwhile.
func (l *Limits) closeFor(c *client) {
	was, now := c.state, time.Now()
	c.closed = true
	l.set(c, none)
	closed, isLogged := l.Closed.Add(1), l.mayLog(closedLine)
	l.mu.Unlock()
	defer l.mu.Lock()
	if isLogged {
		l.Log.Info("connection closed for another one", "caller", c.conn.RemoteAddr().String(), "listener", c.conn.LocalAddr().String(),
			"idle", was == idle, "forMs", now.Sub(c.since).Milliseconds(), "closed", closed, "heldUp", l.HeldUp.Load())
	}
	_ = c.conn.Close()
}

// forget drops a connection that has ended.
func (l *Limits) forget(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.conns[conn]; c != nil {
		l.set(c, none)
		delete(l.conns, conn)
	}
}

func (l *Limits) set(c *client, to state) {
	l.counts[c.state]--
	l.counts[to]++
	if c.state == waiting && to != waiting {
		l.placeFree.Broadcast()
	}
	c.state = to
}

// hasUnread reports whether bytes of a request have arrived that were not read.
func (c *client) hasUnread() bool {
	tcp := socket(c.conn)
	return tcp != nil && conns.HasUnread(tcp)
}
