package crash

import (
	"maps"
	"slices"

	"swiftbeam/pkg/clock"
)

const (
	// minRestart is the least time from the end of a server to the next start at its address. Until then, a connection
	// that opens shows that the server has not ended.
	minRestart = 1300 * clock.Millisecond
	// observationSpread is the most by which daemons observe the same end at different times.
	observationSpread = 100 * clock.Millisecond
	// checksPerEnd is the number of daemons without recent ends that check an end, and that of daemons with ends of other
	// servers, which may be cut off from this one too.
	checksPerEnd = 4
	// maxOpenChecks bounds the servers that are checked, and those found up, at the same time, maxAsked those that a daemon
	// checks at once.
	maxOpenChecks = 512
	maxAsked      = 16
)

// Check asks a daemon to find out whether a server whose end another one reported accepts connections.
type Check struct {
	Service string
	// Server is the ID of the server with its start time.
	Server string
	// At is the time of the end.
	At clock.Instant
}

// From returns the time from which a connection that opens shows that the server has not ended.
func (c *Check) From() clock.Instant { return c.At.Add(survivalMargin + observationSpread) }

// Until returns the time from which on another server may have started at the address.
func (c *Check) Until() clock.Instant { return c.At.Add(minRestart) }

// Checker has reported ends checked by daemons that did not report them, as one that cannot connect to a server may be
// cut off from it. The zero value is ready to use. It is not safe for concurrent use.
type Checker struct {
	open map[string]*openCheck
	// lastEnds are the times of the last ends that daemons reported.
	lastEnds map[string]clock.Instant
	// seenAt are the last times at which servers accepted connections. Daemons repeat the ends before.
	seenAt map[string]clock.Instant
}

type openCheck struct {
	Check
	// lastAt is the time of the last end, which the check may not cover.
	lastAt    clock.Instant
	reporters []string
	// asked are the daemons that check the end, doubtful the number of those with ends of other servers.
	asked    []string
	doubtful int
}

// Add records the ends in the report of a daemon.
func (c *Checker) Add(now clock.Instant, ends []End) {
	for i := range ends {
		e := &ends[i]
		check := Check{Service: e.Service, Server: e.Server, At: min(e.At, now)}
		if !now.Before(check.Until()) {
			continue
		}
		if c.open == nil {
			c.open, c.lastEnds = make(map[string]*openCheck), make(map[string]clock.Instant)
		}
		c.lastEnds[e.Daemon] = max(c.lastEnds[e.Daemon], check.At)
		o := c.open[e.Server]
		if o == nil {
			c.expire(now)
			if len(c.open) >= maxOpenChecks {
				continue
			}
			o = &openCheck{Check: check}
			c.open[e.Server] = o
		}
		o.lastAt = max(o.lastAt, check.At)
		if !slices.Contains(o.reporters, e.Daemon) {
			o.reporters = append(o.reporters, e.Daemon)
		}
	}
}

// Found records the servers that daemons found to accept connections.
func (c *Checker) Found(now clock.Instant, list []Survivor) {
	c.expire(now)
	if c.seenAt == nil {
		c.seenAt = make(map[string]clock.Instant)
	}
	for _, s := range list {
		if _, known := c.seenAt[s.Server]; known || len(c.seenAt) < maxOpenChecks {
			c.seenAt[s.Server] = max(c.seenAt[s.Server], min(s.SeenAt, now))
		}
	}
}

// Survivors returns the servers that accepted connections, with the last time of each.
func (c *Checker) Survivors() map[string]clock.Instant { return maps.Clone(c.seenAt) }

// Next returns the checks for a daemon, which does not get them again.
func (c *Checker) Next(now clock.Instant, daemon string) []Check {
	if len(c.open) == 0 {
		return nil
	}
	c.expire(now)
	_, doubtful := c.lastEnds[daemon]
	var list []Check
	for _, server := range slices.Sorted(maps.Keys(c.open)) {
		o := c.open[server]
		if o.lastAt.Sub(o.At) > observationSpread && !now.Before(o.From()) {
			o.At, o.asked, o.doubtful = o.lastAt, nil, 0
		}
		if len(list) >= maxAsked || slices.Contains(o.reporters, daemon) || slices.Contains(o.asked, daemon) {
			continue
		}
		if doubtful && o.doubtful >= checksPerEnd || !doubtful && len(o.asked)-o.doubtful >= checksPerEnd {
			continue
		}
		o.asked = append(o.asked, daemon)
		if doubtful {
			o.doubtful++
		}
		list = append(list, o.Check)
	}
	return list
}

func (c *Checker) expire(now clock.Instant) {
	maps.DeleteFunc(c.seenAt, func(_ string, at clock.Instant) bool { return now.Sub(at) >= 2*reportRetention })
	maps.DeleteFunc(c.lastEnds, func(_ string, at clock.Instant) bool { return now.Sub(at) >= minRestart })
	maps.DeleteFunc(c.open, func(_ string, o *openCheck) bool { return !now.Before(o.lastAt.Add(minRestart)) })
}
