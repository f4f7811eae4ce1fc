package core

import (
	"context"
	"slices"

	"swiftbeam/internal/duty"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/scale"
	"swiftbeam/internal/state"
	"swiftbeam/internal/window"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

const (
	// soldOutPause is the pause before spot replicas are ordered again from a zone that had none
	// available.
	soldOutPause = 2 * clock.Second
	// repeatInterval is the interval at which an order is repeated while it has no visible effect.
	repeatInterval = 8 * clock.Second
	// bootTolerance is the time after the boot time for which an ordered replica is still expected.
	bootTolerance = 2 * clock.Second
	// servingTimeout is how long a server that no longer announces itself counts as serving: the time
	// until it is marked silent, plus a partition of a few seconds.
	servingTimeout = 8 * clock.Second
	// longSpan and shortSpan are the spans over which demand is averaged. The service gets the
	// replicas for the long average, or three quarters of those for the short one if that is more.
	longSpan  = 12 * clock.Second
	shortSpan = 3 * clock.Second
	// minReplicas is the number of replicas that a service keeps without any demand.
	minReplicas = 4
	// initialTime is how long a service without any demand keeps the replicas that were present when the
	// leader took over: traffic may only be about to start.
	initialTime = 20 * clock.Second
	// discoveryTime is the time in which all servers have announced themselves to a new leader.
	discoveryTime = 3 * clock.Second
)

// serviceState is the leader's state of the orders and the demand of one service.
type serviceState struct {
	mix          scale.Mix
	ordered      map[replicaKind]acceptedOrder
	soldOutUntil map[string]clock.Instant
	longTokens   [2]window.Sliding
	shortTokens  [2]window.Sliding
	// requests counts the requests within longSpan, sent the attempts that were sent to servers.
	requests window.Sliding
	sent     window.Sliding
	// completed is the number of attempts that servers completed since the service is known.
	completed uint64
	createdAt clock.Instant
	// demandAt is the time of the first demand; zero before any.
	demandAt clock.Instant
	// initialNeed is the largest need that the present replicas stood for within discoveryTime of initialAt, the time at
	// which the leader first decided on the service and found any.
	initialNeed int
	initialAt   clock.Instant
	// needed is the number of replicas that the last decision was made for.
	needed int
}

// replicaKind is an availability zone and a kind of replica, spot or on-demand.
type replicaKind struct {
	zone string
	spot bool
}

// acceptedOrder is the last order that the cloud accepted.
type acceptedOrder struct {
	count int
	// present is the number of replicas that were there when it was sent.
	present int
	at      clock.Instant
}

// starting returns how many of the ordered replicas are still to come, of which present are there. Replicas that were lost
// since do not come back.
func (o acceptedOrder) starting(present int) int {
	return max(o.count-max(present, o.present), 0)
}

// demandCounts are the last cumulative counts that an entry daemon reported for a service.
type demandCounts struct{ prefill, output, requests, sent, completed uint64 }

func (d *dutyState) service(now clock.Instant, service string) *serviceState {
	if d.services == nil {
		d.services = make(map[string]*serviceState)
	}
	m := d.services[service]
	if m == nil {
		m = &serviceState{ordered: make(map[replicaKind]acceptedOrder), soldOutUntil: make(map[string]clock.Instant), createdAt: now}
		m.requests.Span, m.sent.Span = longSpan, longSpan
		for i := range m.longTokens {
			m.longTokens[i].Span, m.shortTokens[i].Span = longSpan, shortSpan
		}
		d.services[service] = m
	}
	return m
}

// receiveDemand adds the growth of an entry daemon's cumulative counts to the demand of each service.
func (d *dutyState) receiveDemand(now clock.Instant, run string, list []*peerpb.ServiceDemand) {
	if d.reportedCounts == nil {
		d.reportedCounts = make(map[string]demandCounts)
	}
	for _, s := range list {
		key := run + "/" + s.GetService()
		last, known := d.reportedCounts[key]
		d.reportedCounts[key] = demandCounts{
			prefill: s.GetPrefill(), output: s.GetOutput(), requests: s.GetRequests(), sent: s.GetSent(), completed: s.GetCompleted(),
		}
		if !known {
			continue
		}
		m := d.service(now, s.GetService())
		tokens := []uint64{growth(s.GetPrefill(), last.prefill), growth(s.GetOutput(), last.output)}
		if m.demandAt == 0 && tokens[0]+tokens[1] > 0 {
			m.demandAt = now
		}
		for i, n := range tokens {
			m.longTokens[i].Add(now, float64(n))
			m.shortTokens[i].Add(now, float64(n))
		}
		m.requests.Add(now, float64(growth(s.GetRequests(), last.requests)))
		m.sent.Add(now, float64(growth(s.GetSent(), last.sent)))
		m.completed += growth(s.GetCompleted(), last.completed)
	}
}

// neededReplicas returns the number of replicas that the last decisions of all services were made for.
func (c *Core) neededReplicas() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	needed := 0
	for _, m := range c.duties.services {
		needed += m.needed
	}
	return int64(needed)
}

// growth returns by how much a count has grown. A count that has shrunk was reset or is wrong.
func growth(n, last uint64) uint64 { return n - min(n, last) }

// requiredReplicas returns the number of replicas that the demand requires.
func (m *serviceState) requiredReplicas(now clock.Instant) int {
	rate := func(w *[2]window.Sliding, span clock.Duration) scale.TokenDemand {
		span = max(min(span, now.Sub(m.demandAt)), clock.Second)
		return scale.TokenDemand{Prefill: w[0].Sum(now) * 1000 / float64(span), Output: w[1].Sum(now) * 1000 / float64(span)}
	}
	return max(scale.RequiredReplicas(rate(&m.longTokens, longSpan)), scale.RequiredReplicas(rate(&m.shortTokens, shortSpan))*3/4, minReplicas)
}

// isDemandKnown reports whether the demand was observed for long enough to remove replicas: for shortSpan
// since it began. A service without any demand counts as idle after initialTime.
func (m *serviceState) isDemandKnown(now clock.Instant) bool {
	if m.demandAt > 0 {
		return now.Sub(m.demandAt) >= shortSpan
	}
	return m.initialAt > 0 && now.Sub(m.initialAt) >= initialTime
}

// observeInitial records what the present replicas stand for while servers announce themselves to a new leader.
func (m *serviceState) observeInitial(now clock.Instant, zones []scale.Zone) {
	need := scale.Need(zones)
	if m.initialAt == 0 && need > 0 {
		m.initialAt = now
	}
	if now.Sub(m.initialAt) <= discoveryTime {
		m.initialNeed = max(m.initialNeed, need)
	}
}

// orderReplicas orders replicas for all services that have scaling configured.
func (c *Core) orderReplicas(ctx context.Context) {
	set := c.ruleSet.Load()
	if set == nil || !c.maySend() {
		return
	}
	for i := range set.Services {
		s := &set.Services[i]
		// During a rollout the servers of both versions are present; neither number may change.
		if r := c.rollout(s.Name); s.Scaling != nil && (r == nil || r.Stage.Ended()) {
			c.orderForService(ctx, s, r)
		}
	}
}

func (c *Core) orderForService(ctx context.Context, s *rules.Service, r *state.Rollout) {
	now := c.clock.Now()
	evacuated := c.evacuated()
	c.mu.Lock()
	m := c.duties.service(now, s.Name)
	zones := c.zones(s, r, m)
	for i := range zones {
		zones[i].Evacuated = evacuated[zones[i].Name]
	}
	m.observeInitial(now, zones)
	required := m.requiredReplicas(now)
	bounds := scale.Bounds{Min: s.Scaling.Least, Max: s.Scaling.Most, SpotPrice: s.Scaling.SpotPrice}
	if !m.isDemandKnown(now) {
		required = max(required, m.initialNeed)
	}
	m.needed = required
	targets := m.mix.Decide(now, required, bounds, zones)
	c.mu.Unlock()
	for i, w := range targets {
		if zones[i].Evacuated {
			continue
		}
		// The kind that grows is ordered first, so that the zone does not fall below its minimum in
		// between.
		orders := []zoneOrder{
			{Order: duty.Order{Service: s.Name, Zone: w.Zone, Replicas: w.Spot, Spot: true}, present: zones[i].Spot},
			{Order: duty.Order{Service: s.Name, Zone: w.Zone, Replicas: w.OnDemand}, present: zones[i].OnDemand},
		}
		if w.OnDemand > zones[i].OnDemand {
			slices.Reverse(orders)
		}
		orders = slices.DeleteFunc(orders, func(o zoneOrder) bool { return !c.isDue(m, o) })
		if len(orders) == 0 {
			continue
		}
		c.startCall(s.Name+"/"+w.Zone, func() {
			for _, o := range orders {
				c.sendOrder(ctx, m, o, required)
			}
		})
	}
}

// zoneOrder is an order with the number of replicas that are present.
type zoneOrder struct {
	duty.Order
	present int
}

// zones counts the replicas of a service in each zone, without those of versions that are removed
// when the rollout ends.
func (c *Core) zones(s *rules.Service, rollout *state.Rollout, m *serviceState) []scale.Zone {
	var zones []scale.Zone
	for name, price := range s.Scaling.ZonePrices {
		zones = append(zones, scale.Zone{Name: name, Price: price, SoldOutUntil: m.soldOutUntil[name]})
	}
	slices.SortFunc(zones, func(a, b scale.Zone) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	now := c.clock.Now()
	for _, r := range c.table.ByID {
		if r.Service != s.Name || !c.table.IsServing(r, now, servingTimeout) || rollout != nil && !rollout.Keeps(r.Version) {
			continue
		}
		for i := range zones {
			if zones[i].Name == r.Zone && r.Spot {
				zones[i].Spot++
			} else if zones[i].Name == r.Zone {
				zones[i].OnDemand++
			}
		}
	}
	for i := range zones {
		last := m.ordered[replicaKind{zone: zones[i].Name, spot: true}]
		if last.at > 0 && now.Sub(last.at) < s.Scaling.Boot+bootTolerance {
			zones[i].SpotStarting = last.starting(zones[i].Spot)
		}
	}
	return zones
}

// isDue reports whether an order differs from the last one, or has to be repeated because its effect is
// not visible.
func (c *Core) isDue(m *serviceState, o zoneOrder) bool {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	last, known := m.ordered[replicaKind{zone: o.Zone, spot: o.Spot}]
	if !known && o.present == o.Replicas {
		return false
	}
	if known && last.count == o.Replicas && (o.present == o.Replicas || now.Sub(last.at) < repeatInterval) {
		return false
	}
	return !o.Spot || o.Replicas <= o.present || !m.soldOutUntil[o.Zone].After(now)
}

// sendOrder sends an order.
func (c *Core) sendOrder(ctx context.Context, m *serviceState, o zoneOrder, required int) {
	call := c.callCloud(ctx, func(ctx context.Context, h duty.Holder) (duty.Answer, error) {
		return c.options.Cloud.Scale(ctx, h, o.Order)
	})
	if call == nil {
		return
	}
	c.log.Info("replicas ordered", append(call.fields(), "service", o.Service, "zone", o.Zone, "spot", o.Spot, "replicas", o.Replicas,
		"serving", o.present, "need", required)...)
	c.mu.Lock()
	defer c.mu.Unlock()
	at := replicaKind{zone: o.Zone, spot: o.Spot}
	switch call.answer {
	case duty.Accepted:
		m.ordered[at] = acceptedOrder{count: o.Replicas, present: o.present, at: call.allowedAt}
	case duty.SoldOut:
		m.soldOutUntil[o.Zone] = call.allowedAt.Add(soldOutPause)
		delete(m.ordered, at)
	}
}
