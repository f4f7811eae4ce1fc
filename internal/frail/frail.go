// Package frail keeps all entry daemons together from overfilling brittle backend servers. A brittle server
// says how many requests a second it may have to turn away for want of room; with more, it falls over:
//
//	gate := &frail.Gate{}
//	if gate.Allows(frail.Query{Now: now, Server: "i-7", Slots: 12, Load: 9, Daemons: 295, Hold: 2000, Draw: draw}) {
//		// send the request
//	}
//	gate.Rejected(now, "i-7")  // the server had no room
//
// Daemons decide apart, by loads that are a report old: each sees the same room, and all of them together
// must not take it twice. Where there are no more daemons than slots, each has its own ones, and more only
// while half of the server is free. Otherwise a daemon takes a part of the free room, as likely as that is to
// suffice if all daemons want the server as often as this one does. Short requests end before they are reported:
// each daemon sends its part of them at even intervals, so that a sudden rise of the load, which no daemon sees at
// once, does not overfill the server. Urgent requests see more room than others, so that the least urgent are
// refused first.
package frail

import (
	"hash/fnv"
	"math"

	"swiftbeam/internal/window"
	"swiftbeam/pkg/clock"
)

const (
	// loadAge is the age of the loads of other daemons: the longest interval between reports, twice, as one brings
	// them to the leader and another one to this daemon.
	loadAge = 700 * clock.Millisecond
	// takenPart is the part of the free room that all daemons take in the time loadAge. With more, the requests that
	// are not reported yet would overfill the server.
	takenPart = 0.6
	// usablePart is the part of the slots that requests of known number may take. New connections and requests that
	// end late take slots as well.
	usablePart = 0.9
	// sharedPart is the part of a server up to which daemons take more than their own slots.
	sharedPart = 0.5
	// deviations is the number of standard deviations between the mean number of short requests, which end before
	// they are reported, and the slots.
	deviations = 2.5
	// shortPart is the part of the room that short requests at even intervals take.
	shortPart = 0.72
	// ahead is the part of the difference in room by which urgent requests come before others in an interval.
	ahead = 0.25
	// leastUrgentPart is the part of the room that the least urgent requests see, leastUrgent their urgency.
	leastUrgentPart = 0.7
	leastUrgent     = 9
	// wantTime is the time over which a daemon counts how often it wants a server, and priorTime the time for which
	// the mean over all servers is added to the count. The mean is taken over the longest of meanTimes, or over a
	// shorter one if it rises.
	wantTime  = 4 * clock.Second
	priorTime = 8 * clock.Second
	// recentTime is the time over which a rise is seen that spaces short requests further apart.
	recentTime = 3 * clock.Second
	// rejectedPart is what remains of the usable room after a rejection, and recoveryTime the time in which all of
	// it returns. Several rejections add up, down to minPart.
	rejectedPart = 0.7
	minPart      = 0.1
	recoveryTime = 8 * clock.Second
	// restTime is the time without requests after a rejection.
	restTime = clock.Second
	// rampTime is the time over which a server that has started is filled.
	rampTime = 4 * clock.Second
)

var meanTimes = [...]clock.Duration{2 * clock.Second, 400 * clock.Millisecond, 100 * clock.Millisecond}

// Gate is one daemon's record of brittle servers. The zero value is ready to use. It is not safe for concurrent
// use.
type Gate struct {
	byServer  map[string]*server
	byService map[string]*service
}

// service counts the requests for the servers of a service.
type service struct {
	wants window.Sliding
	// means counts over each of meanTimes.
	means [len(meanTimes)]window.Sliding
	// recent counts each request once, over recentTime.
	recent window.Sliding
	credit credit
}

type server struct {
	wants  window.Sliding
	credit credit
	// part is the usable part of the room at the time partAt.
	part       float64
	partAt     clock.Instant
	rejectedAt clock.Instant
	downAt     clock.Instant
}

// Query describes a request that would go to a brittle server.
type Query struct {
	Now    clock.Instant
	Server string
	// Service is the service of the server, Servers the number of its servers.
	Service string
	Servers int
	// Requests is the number of requests of this daemon's callers for the service in a second.
	Requests float64
	Slots    int
	// Own is the number of requests at the server from this daemon, Load that from all daemons, as far as known.
	Own  int
	Load int
	// Daemons is the number of entry daemons, Rank the position of this one among them.
	Daemons int
	Rank    int
	// Hold is the time for which a request takes a slot.
	Hold clock.Duration
	// Since is the start of the server, zero if unknown.
	Since clock.Instant
	// Urgency is that of the request, from 0 to 9.
	Urgency int
	// Again is set if the request was not allowed at another server before.
	Again bool
	// Draw is a random number from 0 to 1.
	Draw float64
}

// Allows reports whether the request may be sent to the server. Each call counts as a request for it.
func (g *Gate) Allows(q Query) bool {
	s := g.server(q.Now, q.Server)
	wants := s.wants.Sum(q.Now)
	s.wants.Add(q.Now, 1)
	of := g.service(q.Service)
	serviceWants := of.wants.Sum(q.Now)
	mean := of.meanWants(&q)
	if s.rejectedAt > 0 && q.Now.Sub(s.rejectedAt) < restTime {
		return false
	}
	hold := max(q.Hold, clock.Millisecond)
	// known is the part of the load that reports show: of short requests, most are not known or have ended.
	known := float64(hold) / float64(hold+loadAge)
	slots := float64(q.Slots)
	part := s.partNow(q.Now) * q.visiblePart()
	if since := max(q.Since, s.downAt); since > 0 {
		part *= min(float64(q.Now.Sub(since))/float64(rampTime), 1)
	}
	q.Daemons = max(q.Daemons, 1)
	if q.Daemons <= q.Slots {
		if q.Own < q.ownSlots(int(part*slots)) {
			return true
		}
		part *= sharedPart
	}
	empty := known*usablePart*slots + (1-known)*meanFor(slots)
	free := part*empty - known*float64(q.Load)
	if free <= 0 {
		return false
	}
	usable := 1 - known*(1-takenPart)
	if q.Daemons > q.Slots && hold < loadAge {
		own := shortPart * usable * empty / float64(q.Daemons) / hold.Std().Seconds()
		return of.allowsShort(&q, s, perSecond(serviceWants, q.Requests), perSecond(wants, q.Requests/q.servers()), own, free/empty)
	}
	expected := float64(q.Daemons) * perSecond(wants, mean) * min(loadAge, hold).Std().Seconds()
	return q.Draw*expected < usable*free
}

// perSecond returns a rate from the number of requests in wantTime and the rate expected before.
func perSecond(wants, prior float64) float64 {
	return (wants + prior*priorTime.Std().Seconds()) / (wantTime + priorTime).Std().Seconds()
}

// allowsShort spaces the requests of a daemon that wants the service and the server so many times a second. The
// server takes own requests a second from it while it is empty, and a part free of them now.
func (v *service) allowsShort(q *Query, s *server, serviceWants, serverWants, own, free float64) bool {
	recent := v.recent.Sum(q.Now) / recentTime.Std().Seconds()
	s.credit.grow(q.Now, max(q.Since, s.downAt), interval(serverWants, own*free), q.Draw)
	v.credit.grow(q.Now, 0, interval(max(serviceWants, recent), own*q.servers()), q.Draw)
	if need := 1 - ahead*(q.visiblePart()-leastUrgentPart); s.credit.amount < need || v.credit.amount < need {
		return false
	}
	s.credit.amount--
	v.credit.amount--
	return true
}

// interval returns the number of seconds to wait after a request before another one, if allowed of the wanted requests a
// second may be sent. It is shorter while little more than that is wanted, as the wanted number is known roughly only.
func interval(wanted, allowed float64) float64 {
	if wanted <= allowed {
		return 0
	}
	return (1/allowed - 1/wanted) * math.Pow(min(wanted/allowed-1, 1), 3)
}

// credit spaces requests. It grows by one in each interval, up to one.
type credit struct {
	amount  float64
	grownAt clock.Instant
}

// grow adds what has grown in an interval of so many seconds. Credit from before a start is replaced by a random
// amount, so that daemons do not send at the same time.
func (c *credit) grow(now, start clock.Instant, interval, draw float64) {
	switch {
	case c.grownAt == 0 || c.grownAt < start:
		c.amount = draw - ahead*(1-leastUrgentPart)
	case interval <= 0:
		c.amount = 1
	default:
		c.amount = min(c.amount+now.Sub(c.grownAt).Std().Seconds()/interval, 1)
	}
	c.grownAt = now
}

func (g *Gate) service(name string) *service {
	v := g.byService[name]
	if v == nil {
		if g.byService == nil {
			g.byService = make(map[string]*service)
		}
		v = &service{wants: window.Sliding{Span: wantTime}, recent: window.Sliding{Span: recentTime}}
		for i := range v.means {
			v.means[i].Span = meanTimes[i]
		}
		g.byService[name] = v
	}
	return v
}

// meanWants counts the request and returns the number of requests a second for an average server of the service.
func (v *service) meanWants(q *Query) float64 {
	v.wants.Add(q.Now, 1)
	if !q.Again {
		v.recent.Add(q.Now, 1)
	}
	mean := q.Requests
	for i := range v.means {
		v.means[i].Add(q.Now, 1)
		n := v.means[i].Sum(q.Now)
		if i > 0 {
			// A few requests in a short time may be chance.
			n -= math.Sqrt(n)
		}
		mean = max(mean, n/meanTimes[i].Std().Seconds())
	}
	return mean / q.servers()
}

// servers returns the number of servers of the service.
func (q *Query) servers() float64 { return float64(max(q.Servers, 1)) }

// visiblePart returns the part of the room that the request sees by its urgency.
func (q *Query) visiblePart() float64 {
	rank := float64(min(max(q.Urgency, 0), leastUrgent)) / leastUrgent
	return 1 - rank*(1-leastUrgentPart)
}

// ownSlots returns the number of slots that belong to this daemon, of those that may be used.
func (q *Query) ownSlots(usable int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(q.Server))
	// The remainder belongs to other daemons at each server.
	position := (q.Rank + int(h.Sum32()%uint32(q.Daemons))) % q.Daemons
	own := usable / q.Daemons
	if position < usable%q.Daemons {
		own++
	}
	return own
}

// meanFor returns the mean number of requests that arrive at random and rarely take more than the slots.
func meanFor(slots float64) float64 {
	root := (math.Sqrt(deviations*deviations+4*slots) - deviations) / 2
	return root * root
}

// Rejected records that a server turned a request away for want of room.
func (g *Gate) Rejected(now clock.Instant, id string) {
	g.RejectedElsewhere(now, id)
	g.byServer[id].rejectedAt = now
}

// RejectedElsewhere records that a server turned away a request of another daemon.
func (g *Gate) RejectedElsewhere(now clock.Instant, id string) {
	s := g.server(now, id)
	s.part, s.partAt = max(s.partNow(now)*rejectedPart, minPart), now
}

// Down records that a server could not be connected to, or broke a connection off. It is filled again as if it had
// started then.
func (g *Gate) Down(now clock.Instant, id string) { g.server(now, id).downAt = now }

// Forget removes a server.
func (g *Gate) Forget(id string) { delete(g.byServer, id) }

func (g *Gate) server(now clock.Instant, id string) *server {
	s := g.byServer[id]
	if s == nil {
		if g.byServer == nil {
			g.byServer = make(map[string]*server)
		}
		s = &server{part: 1, partAt: now}
		s.wants.Span = wantTime
		g.byServer[id] = s
	}
	return s
}

func (s *server) partNow(now clock.Instant) float64 {
	return min(s.part+float64(now.Sub(s.partAt))/float64(recoveryTime), 1)
}
