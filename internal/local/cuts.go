package local

import (
	"context"
	"net"
	"sync"
)

// Partition separates daemons of a deployment silently: connections stay open and carry nothing, and
// new ones are never answered. The zero value separates nothing.
type Partition struct {
	mu  sync.Mutex
	off map[string]bool
}

// SetIsolated cuts the daemon that listens for peers at address off, or connects it again.
func (c *Partition) SetIsolated(address string, off bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.off == nil {
		c.off = make(map[string]bool)
	}
	c.off[address] = off
}

func (c *Partition) between(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.off[a] != c.off[b]
}

// Dial returns the dialer of the daemon that listens for peers at from.
func (c *Partition) Dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if c.between(from, address) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &link{Conn: conn, cuts: c, from: from, to: address}, nil
	}
}

// link is a connection that loses all bytes while its ends are separated.
type link struct {
	net.Conn
	cuts     *Partition
	from, to string
}

func (l *link) Write(p []byte) (int, error) {
	if l.cuts.between(l.from, l.to) {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

func (l *link) Read(p []byte) (int, error) {
	for {
		n, err := l.Conn.Read(p)
		if err != nil || !l.cuts.between(l.from, l.to) {
			return n, err
		}
	}
}
