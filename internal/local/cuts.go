package local

import (
	"context"
	"net"
	"sync"
)

// Partition simulates a network partition that drops all traffic between two sets of daemons: open
// connections stay open but transfer nothing, and new ones are never established. The zero value isolates
// no daemon.
type Partition struct {
	mu       sync.Mutex
	isolated map[string]bool
}

// SetIsolated sets whether the daemon that listens for peers at address is isolated. Isolated daemons
// reach only one another.
func (p *Partition) SetIsolated(address string, isolated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isolated == nil {
		p.isolated = make(map[string]bool)
	}
	p.isolated[address] = isolated
}

func (p *Partition) separates(a, b string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolated[a] != p.isolated[b]
}

// Dial returns the dial function of the daemon whose address for peers is from. The partition applies to the
// connections that the function opens.
func (p *Partition) Dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if p.separates(from, address) {
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

// partitionedConn is a connection that drops all bytes while the partition separates its two daemons.
type partitionedConn struct {
	net.Conn
	partition *Partition
	from, to  string
}

func (c *partitionedConn) Write(p []byte) (int, error) {
	if c.partition.separates(c.from, c.to) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *partitionedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.partition.separates(c.from, c.to) {
			return n, err
		}
	}
}
