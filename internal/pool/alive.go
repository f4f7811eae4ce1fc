package pool

import (
	"context"
	"slices"

	"swiftbeam/internal/dial"
	"swiftbeam/internal/runner"
	"swiftbeam/pkg/clock"
)

// IsAlive reports whether the process at address that has just closed a connection runs on: a connection to it that was open before
// a time is open still, or it accepts a new one. Where nothing shows that, it has to be taken for ended.
func (p *Pool) IsAlive(ctx context.Context, address string, before clock.Instant) bool {
	if runner.Pause(ctx, dial.EndPause); ctx.Err() != nil {
		return false
	}
	if c := p.takeOpenedBefore(address, before); c != nil {
		alive := c.usable()
		c.Release(alive)
		if alive {
			return true
		}
	}
	_, err := p.Probe(ctx, address)
	return err == nil
}

// takeOpenedBefore removes an idle connection that was opened before a time, and returns it; nil if there is none.
func (p *Pool) takeOpenedBefore(address string, before clock.Instant) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[address]
	if s == nil {
		return nil
	}
	i := slices.IndexFunc(s.idle, func(c *Conn) bool { return c.OpenedAt <= before })
	if i < 0 {
		return nil
	}
	c := s.idle[i]
	s.idle = slices.Delete(s.idle, i, i+1)
	return c
}
