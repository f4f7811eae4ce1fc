package detour

import (
	"slices"

	"swiftbeam/pkg/clock"
)

//go:generate ../../.tools/stringer -type=Outcome -output=outcome_string.go

// Helper is an entry daemon that sends requests of others to backend servers.
type Helper struct {
	Name    string
	Address string
	Zone    string
	// Load is the number of requests that it had at servers when it last reported.
	Load int
}

// Outcome is what became of a request at a helper.
type Outcome uint8

const (
	// Answered: the response of a backend server follows.
	Answered Outcome = iota
	// Broken: the helper sent the request, and the server did not respond.
	Broken
	// Unreached: the helper could not connect to a server either. The request was not sent.
	Unreached
	// NoServer: no server takes the request now. It was not sent.
	NoServer
	// NoRoom: the helper does not take the request. It was not sent.
	NoRoom
	// Failed: the helper was not reached, does not respond, or sent no valid response.
	Failed
	// Lost: the connection to the helper ended before its response. The helper may have ended, or only the request.
	Lost
)

const (
	// Rests of a helper after an outcome: a restart of a process, the time between two reports of its load,
	// and the time between two probes of its path.
	failedRest    = 2 * clock.Second
	noRoomRest    = 300 * clock.Millisecond
	unreachedRest = probeInterval
	// otherZoneLoad is the load that is added to a helper in another availability zone.
	otherZoneLoad = 4
	// refreshInterval is the interval at which a daemon that needs helpers asks for new ones.
	refreshInterval = clock.Second
	// silentTime is how long a helper may take to respond to any of the requests sent to it before others are
	// preferred.
	silentTime = clock.Second
)

// Helpers are the helpers that a daemon knows. The zero value is ready to use. It is not safe for concurrent
// use.
type Helpers struct {
	// Zone is the daemon's own availability zone.
	Zone string

	list []*candidate
	// noneAt is when the leader last offered none.
	noneAt clock.Instant
	// askedAt is when the leader was last asked.
	askedAt clock.Instant
}

type candidate struct {
	Helper
	restUntil clock.Instant
	// unreached is set if the last request was not sent because the helper did not reach the servers.
	unreached bool
	// sent is the number of requests in progress at the helper from this daemon, waitingSince the time since
	// which it has responded to none of them.
	sent         int
	waitingSince clock.Instant
}

// Learn replaces the helpers with those that the leader offers. What is known of a helper is kept. If it offers
// none, the present ones stay.
func (h *Helpers) Learn(now clock.Instant, offered []Helper) {
	if len(offered) == 0 {
		h.noneAt = now
		return
	}
	h.noneAt = 0
	list := make([]*candidate, 0, len(offered))
	for _, o := range offered {
		c := h.find(o.Name)
		if c == nil || c.Address != o.Address {
			c = &candidate{}
		}
		c.Helper = o
		list = append(list, c)
	}
	h.list = list
}

func (h *Helpers) find(name string) *candidate {
	for _, c := range h.list {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Known returns the number of known helpers.
func (h *Helpers) Known() int { return len(h.list) }

// Due reports whether to ask the leader for helpers now, for a daemon that needs some.
func (h *Helpers) Due(now clock.Instant) bool {
	if h.askedAt > 0 && len(h.list) > 0 && now.Sub(h.askedAt) < refreshInterval {
		return false
	}
	h.askedAt = now
	return true
}

// Choose returns the better one of two random helpers, without those in avoid. It reports false if there is
// none.
func (h *Helpers) Choose(now clock.Instant, draw uint64, avoid []string) (Helper, bool) {
	var usable []*candidate
	for _, c := range h.list {
		if !c.restUntil.After(now) && !slices.Contains(avoid, c.Name) {
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		return Helper{}, false
	}
	n := uint64(len(usable))
	first := draw % n
	best := usable[first]
	if n > 1 {
		if other := usable[(first+1+(draw>>32)%(n-1))%n]; h.cost(now, other) < h.cost(now, best) {
			best = other
		}
	}
	return best.Helper, true
}

func (h *Helpers) cost(now clock.Instant, c *candidate) int {
	cost := c.Load + c.sent
	if c.Zone != h.Zone {
		cost += otherZoneLoad
	}
	if c.sent > 0 && now.Sub(c.waitingSince) > silentTime {
		cost += 1 << 20
	}
	return cost
}

// Sent records that a request is sent to a helper.
func (h *Helpers) Sent(now clock.Instant, name string) {
	if c := h.find(name); c != nil {
		if c.sent == 0 {
			c.waitingSince = now
		}
		c.sent++
	}
}

// Responded records the first response of a helper to a request.
func (h *Helpers) Responded(now clock.Instant, name string) {
	if c := h.find(name); c != nil {
		c.waitingSince = now
	}
}

// Done records the end of a request that was sent to a helper.
func (h *Helpers) Done(now clock.Instant, name string, o Outcome) {
	c := h.find(name)
	if c == nil {
		return
	}
	c.sent = max(c.sent-1, 0)
	c.unreached = o == Unreached
	switch o {
	case Failed:
		c.restUntil = now.Add(failedRest)
	case NoRoom:
		c.restUntil = now.Add(noRoomRest)
	case Unreached:
		c.restUntil = now.Add(unreachedRest)
	}
}

// NoneReaches reports whether the leader has just offered none, or all known helpers have just said that they do
// not reach the servers.
func (h *Helpers) NoneReaches(now clock.Instant) bool {
	if h.noneAt > 0 && now.Sub(h.noneAt) <= 2*refreshInterval {
		return true
	}
	for _, c := range h.list {
		if !c.unreached || !c.restUntil.After(now) {
			return false
		}
	}
	return len(h.list) > 0
}
