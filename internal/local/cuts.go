package local

import (
	"context"
	"net"
	"sync"
)

// Partition separates daemons of a deployment silently: connections stay open and carry nothing, and
// new ones are never answered. The zero value separates nothing.
type Partition struct {
	mu       sync.Mutex
	isolated map[string]bool
}

// SetIsolated cuts the daemon that listens for peers at address off, or connects it again.
func (p *Partition) SetIsolated(address string, isolated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isolated == nil {
		p.isolated = make(map[string]bool)
	}
	p.isolated[address] = isolated
}

func (p *Partition) between(a, b string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolated[a] != p.isolated[b]
}

// Dial returns the dialer of the daemon that listens for peers at from.
func (p *Partition) Dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if p.between(from, address) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &partitionedConn{Conn: conn, partition: p, from: from, to: address}, nil
	}
}

// partitionedConn is a connection that loses all bytes while its ends are separated.
type partitionedConn struct {
	net.Conn
	partition *Partition
	from, to  string
}

func (l *partitionedConn) Write(p []byte) (int, error) {
	if l.partition.between(l.from, l.to) {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

func (l *partitionedConn) Read(p []byte) (int, error) {
	for {
		n, err := l.Conn.Read(p)
		if err != nil || !l.partition.between(l.from, l.to) {
			return n, err
		}
	}
}
