// Package turns shares the request limit of a backend server among all entry daemons. Time is divided into
// turns, as many a second as the server takes requests, and the turns belong to the daemons in rotation.
// In its turn, a daemon may send one request to the server:
//
//	limiter := &turns.Limiter{}
//	limiter.Join(now, turns.Member{Rank: 3, Count: 7})
//	limiter.Observe(turns.Limit{Server: "i-7", Limited: true, PerSecond: 1.2, ObservedAt: now})
//	if limiter.Allows(now, "i-7") {
//		limiter.Take(now, "i-7")
//	}
//
// Daemons need no message for a request: they agree on the time, on the limit, and on their ranks. The
// leader passes on limits, with a Registry, and ranks. The sum stays near the limit with six daemons and
// with hundreds, of which each sends a request in minutes: an equal share for each of them, with a burst of
// one request, would be a burst of hundreds at the server.
package turns

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"swiftbeam/internal/window"
	"swiftbeam/pkg/clock"
)

// Limit is what a backend server last said of the requests that it takes.
type Limit struct {
	Server string
	// Limited reports whether there is a limit; PerSecond is the number of requests a second from all
	// daemons together.
	Limited   bool
	PerSecond float64
	// Until is when the limit ends by itself; zero means that it does not.
	Until clock.Instant
	// Carried is the number of turns for which each may be used; zero means the usual one.
	Carried float64
	// Brittle reports whether the server falls over when it has to turn away more than Tolerated requests a
	// second. RejectedAt is when it last turned one away for want of room.
	Brittle    bool
	Tolerated  float64
	RejectedAt clock.Instant
	// Rejections is how many it turned away, at the daemon that reports this, since the report before. ExceededAt is when
	// the leader last counted so many at all daemons together that it may have fallen over.
	Rejections int
	ExceededAt clock.Instant
	// ObservedAt is the time of the answer that contained this, by the clock that the daemons agree on.
	ObservedAt clock.Instant
}

// same reports whether o contains the same, observed at any time.
func (l *Limit) same(o *Limit) bool {
	return l.sameLimit(o) && l.Brittle == o.Brittle && l.Tolerated == o.Tolerated && l.RejectedAt == o.RejectedAt && l.ExceededAt == o.ExceededAt
}

func (l *Limit) sameLimit(o *Limit) bool {
	return l.Limited == o.Limited && l.PerSecond == o.PerSecond && l.Carried == o.Carried
}

// inForce reports whether requests need turns now.
func (l *Limit) inForce(now clock.Instant) bool { return l.Limited && (l.Until == 0 || now < l.Until) }

// empty reports whether the server takes all requests.
func (l *Limit) empty() bool { return !l.Limited && !l.Brittle }

// Member is the position of a daemon among all entry daemons. Without a count, it has no turns.
type Member struct {
	Rank  int
	Count int
}

// Limiter is one daemon's knowledge of limits and its use of turns. The zero value is ready to use. It is
// not safe for concurrent use.
type Limiter struct {
	// Counted reports whether the leader counts the requests that servers turn away.
	Counted bool

	member   Member
	byServer map[string]*limited
}

// limited is the state of one server.
type limited struct {
	Limit
	// usedUntil is the end of the last turn that was used, in milliseconds.
	usedUntil float64
	// unsent is set while the leader has not received the observation; sentAt is its time otherwise.
	unsent bool
	sentAt clock.Instant
}

const (
	// carriedTurns and carriedTime define how long a turn may be used: the time of carriedTurns turns, and
	// carriedTime. Longer would lose fewer turns where requests are rare, but allow larger bursts.
	carriedTurns = 3
	carriedTime  = 400 * clock.Millisecond
	// minPerSecond is assumed for lower limits, so that some request finds out when the limit has ended.
	minPerSecond = 0.1
	// refreshInterval is the interval at which an unchanged limit is passed on.
	refreshInterval = 5 * clock.Second
	// rejectionInterval is the least time between two rejections that are passed on.
	rejectionInterval = 300 * clock.Millisecond
	// liftedRetention is the time for which the end of a limit is remembered, longer than an earlier
	// observation of the limit can take to arrive.
	liftedRetention = 30 * clock.Second
)

// Join sets the daemon's position. Turns from before a change are not used, as they may have belonged to
// another daemon.
func (m *Limiter) Join(now clock.Instant, member Member) {
	if m.member == member {
		return
	}
	m.member = member
	for _, s := range m.byServer {
		s.startAt(now)
	}
}

// Knows reports whether something is known of a server.
func (m *Limiter) Knows(server string) bool { return m.byServer[server] != nil }

// Rank returns the daemon's position among all entry daemons.
func (m *Limiter) Rank() int { return m.member.Rank }

// Observe records what a server said in an answer to this daemon. It reports whether the limit changed.
func (m *Limiter) Observe(l Limit) bool {
	changed := m.merge(l)
	if s := m.byServer[l.Server]; s != nil && s.ObservedAt == l.ObservedAt && (changed || l.ObservedAt.Sub(s.sentAt) >= refreshInterval) {
		s.unsent = true
	}
	return changed
}

// Learn records limits that other daemons observed. It returns the servers that turned requests away meanwhile.
func (m *Limiter) Learn(list []Limit) (rejecting []string) {
	for _, l := range list {
		before := clock.Instant(0)
		if s := m.byServer[l.Server]; s != nil {
			before = s.RejectedAt
		}
		m.merge(l)
		if s := m.byServer[l.Server]; s != nil {
			s.ExceededAt = max(s.ExceededAt, l.ExceededAt)
		}
		if l.Brittle && l.RejectedAt > before {
			rejecting = append(rejecting, l.Server)
		}
	}
	return rejecting
}

// Rejected records that a brittle server turned a request of this daemon away for want of room. Other daemons learn
// of it, once in rejectionInterval.
func (m *Limiter) Rejected(now clock.Instant, server string) {
	s := m.byServer[server]
	if s == nil || !s.Brittle {
		return
	}
	s.Rejections++
	if now.Sub(s.RejectedAt) < rejectionInterval {
		return
	}
	// The rejection said that the server is brittle, so this is also an observation.
	s.RejectedAt, s.ObservedAt = now, now
	s.unsent = true
}

// Exceeded reports whether a server has turned so many requests away since a time that it may have fallen over.
func (m *Limiter) Exceeded(server string, since clock.Instant) bool {
	s := m.byServer[server]
	return s != nil && s.ExceededAt > 0 && !s.ExceededAt.Before(since)
}

// IsBrittle reports whether a server has said that it is brittle.
func (m *Limiter) IsBrittle(server string) bool {
	s := m.byServer[server]
	return s != nil && s.Brittle
}

func (m *Limiter) merge(l Limit) (changed bool) {
	s := m.byServer[l.Server]
	switch {
	case s == nil && l.empty():
		return false
	case s == nil:
		if m.byServer == nil {
			m.byServer = make(map[string]*limited)
		}
		s = &limited{Limit: Limit{Server: l.Server}}
		m.byServer[l.Server] = s
	case !l.ObservedAt.After(s.ObservedAt):
		return false
	}
	l.RejectedAt, l.ExceededAt, l.Rejections = max(l.RejectedAt, s.RejectedAt), max(l.ExceededAt, s.ExceededAt), s.Rejections
	limitChanged := !s.sameLimit(&l)
	changed = limitChanged || s.Brittle != l.Brittle || s.Tolerated != l.Tolerated
	s.Limit = l
	if limitChanged {
		s.startAt(l.ObservedAt)
	}
	return changed
}

// startAt gives up the turns that began before a time. A change of the limit or of the ranks numbers the
// turns anew, and each daemon would otherwise find some of the last ones to be its own.
func (s *limited) startAt(now clock.Instant) { s.usedUntil = max(s.usedUntil, float64(now)) }

// Forget removes a server that receives no more requests.
func (m *Limiter) Forget(server string) { delete(m.byServer, server) }

// Allows reports whether this daemon may send a request to a server now.
func (m *Limiter) Allows(now clock.Instant, server string) bool {
	s := m.byServer[server]
	if s == nil || !s.inForce(now) {
		return true
	}
	_, ok := m.turn(now, s)
	return ok
}

// Take uses up the turn for a request, and returns the time until which the request may be sent; zero if it needs no
// turn. Call it only after Allows.
func (m *Limiter) Take(now clock.Instant, server string) clock.Instant {
	s := m.byServer[server]
	if s == nil || !s.inForce(now) {
		return 0
	}
	turn, ok := m.turn(now, s)
	if !ok {
		return 0
	}
	s.usedUntil = (turn + 1) / s.rate()
	return clock.Instant((turn + s.carried()) / s.rate())
}

// MaySend reports whether a request with a turn that may be used until a time may be sent now. Without such a turn, it
// takes another one.
func (m *Limiter) MaySend(now clock.Instant, server string, until clock.Instant) bool {
	if s := m.byServer[server]; s == nil || !s.inForce(now) || now <= until {
		return true
	}
	if !m.Allows(now, server) {
		return false
	}
	m.Take(now, server)
	return true
}

// Expire drops the limits that have ended by themselves, and returns their servers.
func (m *Limiter) Expire(now clock.Instant) (ended []string) {
	for server, s := range m.byServer {
		if s.Limited && !s.inForce(now) {
			delete(m.byServer, server)
			ended = append(ended, server)
		}
	}
	return ended
}

// Ends returns when the limit of a server ends by itself; zero if none does.
func (m *Limiter) Ends(server string) clock.Instant {
	if s := m.byServer[server]; s != nil {
		return s.Until
	}
	return 0
}

// Len returns the number of servers of which something is known.
func (m *Limiter) Len() int { return len(m.byServer) }

// Wait returns the time until this daemon's next turn at a server; zero if it may send now.
func (m *Limiter) Wait(now clock.Instant, server string) clock.Duration {
	s := m.byServer[server]
	if m.Allows(now, server) {
		return 0
	}
	wait := refreshInterval
	if m.member.Count > 0 {
		next := m.ownedFrom(s, math.Floor(float64(now)*s.rate())+1)
		wait = clock.Duration(next/s.rate() - float64(now))
	}
	if s.Until > 0 {
		wait = min(wait, s.Until.Sub(now))
	}
	return wait
}

// turn returns the first turn of this daemon that may be used now.
func (m *Limiter) turn(now clock.Instant, s *limited) (float64, bool) {
	if m.member.Count == 0 {
		return 0, false
	}
	rate := s.rate()
	current := math.Floor(float64(now) * rate)
	first := max(current-s.carried()+1, math.Ceil(s.usedUntil*rate-rounding))
	turn := m.ownedFrom(s, first)
	return turn, turn <= current
}

// rounding is far above the error of usedUntil in turns.
const rounding = 1e-3

// ownedFrom returns the first turn from a number on that belongs to this daemon.
func (m *Limiter) ownedFrom(s *limited, first float64) float64 {
	count := float64(m.member.Count)
	offset := math.Mod(first+float64(serverOffset(s.Server)), count)
	return first + math.Mod(float64(m.member.Rank)-offset+count, count)
}

// serverOffset makes the turns at different servers belong to different daemons.
func serverOffset(server string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(server))
	return h.Sum32()
}

// rate returns the number of turns in a millisecond.
func (l *Limit) rate() float64 { return max(l.PerSecond, minPerSecond) / float64(clock.Second) }

// carried returns the number of turns for which each may be used.
func (l *Limit) carried() float64 {
	if l.Carried > 0 {
		return math.Floor(l.Carried)
	}
	return math.Floor(carriedTurns + float64(carriedTime)*l.rate())
}

// Burst is how far a rate may be exceeded within a second: to Overrun times the rate and Slack requests.
type Burst struct {
	Overrun float64
	Slack   float64
}

// Carried returns the number of turns for which each may be used, so that half of what a second may have above the rate
// is left for requests that are on their way for different times.
func (b Burst) Carried(perSecond float64) float64 {
	return max(math.Floor((b.Overrun*perSecond+b.Slack-perSecond-1)/2), 1)
}

// Unsent returns up to n limits that the leader does not have yet.
func (m *Limiter) Unsent(now clock.Instant, n int) []Limit {
	var list []Limit
	for server, s := range m.byServer {
		switch {
		case (s.unsent || s.Rejections > 0) && len(list) < n:
			list = append(list, s.Limit)
		case !s.unsent && s.empty() && now.Sub(s.ObservedAt) > liftedRetention:
			delete(m.byServer, server)
		}
	}
	return list
}

// Sent records that the leader received limits.
func (m *Limiter) Sent(list []Limit) {
	for _, l := range list {
		s := m.byServer[l.Server]
		if s == nil {
			continue
		}
		s.Rejections = max(s.Rejections-l.Rejections, 0)
		if s.ObservedAt == l.ObservedAt {
			s.unsent, s.sentAt = false, l.ObservedAt
		}
	}
}

// NewLeader makes the next reports contain all limits, as a new leader knows none.
func (m *Limiter) NewLeader() {
	for _, s := range m.byServer {
		s.unsent = true
	}
}

// Registry is the leader's record of the limits that daemons reported. The zero value is ready to use. It
// is not safe for concurrent use.
type Registry struct {
	byServer map[string]*registered
	// last is the number of the last change.
	last uint64
}

type registered struct {
	Limit
	number   uint64
	passedOn clock.Instant
	rejected window.Sliding
	// countedAt is the time of the last rejection that was counted.
	countedAt clock.Instant
}

// rejectedSpan is the time over which the leader counts the requests that a server turned away: a second, and the time
// between two reports.
const rejectedSpan = 1400 * clock.Millisecond

// knownPart is the part of the tolerated rejections from which on a server may have fallen over: the answers to the last
// ones are lost with it.
const knownPart = 0.5

// count adds the requests that the server turned away according to a report. It reports whether these may have made it
// fall over.
func (r *registered) count(l *Limit) bool {
	n := l.Rejections
	if n == 0 && l.RejectedAt > r.countedAt && l.ObservedAt.Sub(l.RejectedAt) <= rejectedSpan {
		// Daemons of earlier builds report times only. A new leader also learns of old ones.
		n = 1
	}
	r.countedAt = max(r.countedAt, l.RejectedAt)
	if n == 0 || !l.Brittle {
		return false
	}
	at := max(l.ObservedAt, r.ExceededAt)
	r.rejected.Add(at, float64(n))
	if r.rejected.Sum(at) < max(knownPart*l.Tolerated, 1) {
		return false
	}
	r.ExceededAt = at
	return true
}

// Receive records limits. Of two observations of a server, the later one wins.
func (r *Registry) Receive(list []Limit) {
	for _, l := range list {
		s := r.byServer[l.Server]
		if s == nil {
			if r.byServer == nil {
				r.byServer = make(map[string]*registered)
			}
			s = &registered{rejected: window.Sliding{Span: rejectedSpan}}
			r.byServer[l.Server] = s
		}
		if s.count(&l) {
			r.last++
			s.number = r.last
		}
		if !l.ObservedAt.After(s.ObservedAt) {
			continue
		}
		l.RejectedAt, l.ExceededAt, l.Rejections = max(l.RejectedAt, s.RejectedAt), max(l.ExceededAt, s.ExceededAt), 0
		changed := s.number == 0 || !s.same(&l) || l.ObservedAt.Sub(s.passedOn) >= refreshInterval
		s.Limit = l
		if changed {
			r.last++
			s.number, s.passedOn = r.last, l.ObservedAt
		}
	}
}

// Since returns up to n limits that changed after a change number, in order, and the number of the last
// one. Its cost grows with the number of limited servers only when something has changed.
func (r *Registry) Since(number uint64, n int) ([]Limit, uint64) {
	if number >= r.last {
		return nil, r.last
	}
	var changed []*registered
	for _, s := range r.byServer {
		if s.number > number {
			changed = append(changed, s)
		}
	}
	slices.SortFunc(changed, func(a, b *registered) int { return cmp.Compare(a.number, b.number) })
	list := make([]Limit, 0, min(len(changed), n))
	for _, s := range changed[:min(len(changed), n)] {
		list = append(list, s.Limit)
		number = s.number
	}
	return list, number
}

// excuseSpan and excuseDelay are the times before and after the end of a server in which too many rejections are its reason.
// The last ones are reported after it.
const (
	excuseSpan  = 1500 * clock.Millisecond
	excuseDelay = clock.Second
)

// Excuses reports whether a server ended as it had to turn too many requests away.
func (r *Registry) Excuses(server string, endedAt clock.Instant) bool {
	s := r.byServer[server]
	return s != nil && s.ExceededAt > 0 && !s.ExceededAt.Before(endedAt.Add(-excuseSpan)) && !s.ExceededAt.After(endedAt.Add(excuseDelay))
}

// Forget removes a server that has left the deployment.
func (r *Registry) Forget(server string) { delete(r.byServer, server) }
