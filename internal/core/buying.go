package core

import (
	"context"
	"slices"

	"swiftbeam/internal/duty"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/scale"
	"swiftbeam/internal/state"
	"swiftbeam/internal/window"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

const (
	// soldOutFor is the pause before a zone without spot replicas is asked again.
	soldOutFor = 2 * clock.Second
	// assertEvery is how often an order is repeated where its effect does not show.
	assertEvery = 8 * clock.Second
	// bootSlack is the time beyond the boot time in which an ordered replica is still expected.
	bootSlack = 2 * clock.Second
	// silentFor is how long a server that no longer announces itself counts as one that serves: the
	// time after which it counts as silent and a partition of some seconds.
	silentFor = 8 * clock.Second
	// longDemand and shortDemand are the spans over which demand is averaged; the larger counts.
	longDemand  = 12 * clock.Second
	shortDemand = 3 * clock.Second
	// leastNeed is the number of replicas that a service keeps without any demand.
	leastNeed = 4
	// firstPart is the part of the replicas found at the start that counts as the need until the
	// demand has been observed for firstTime.
	firstPart = 0.6
	firstTime = 20 * clock.Second
)

// market is what the leader knows of the replicas and the demand of one service.
type market struct {
	mix     scale.Mix
	ordered map[place]order
	soldOut map[string]clock.Instant
	long    [2]window.Sliding
	short   [2]window.Sliding
	// requests are those of the last longDemand.
	requests window.Sliding
	since    clock.Instant
	// found are the replicas that served when this leader began to buy.
	found   int
	foundAt clock.Instant
}

// place is a kind of replica in an availability zone.
type place struct {
	zone string
	spot bool
}

// order is the last order that the cloud took.
type order struct {
	count int
	at    clock.Instant
}

// counters are the last cumulative counts that an entry daemon reported of a service.
type counters struct{ prefill, output, requests uint64 }

func (d *desk) market(now clock.Instant, service string) *market {
	if d.markets == nil {
		d.markets = make(map[string]*market)
	}
	m := d.markets[service]
	if m == nil {
		m = &market{ordered: make(map[place]order), soldOut: make(map[string]clock.Instant), since: now}
		m.requests.Span = longDemand
		for i := range m.long {
			m.long[i].Span, m.short[i].Span = longDemand, shortDemand
		}
		d.markets[service] = m
	}
	return m
}

// hearDemand adds what an entry daemon reported to the demand of each service.
func (d *desk) hearDemand(now clock.Instant, run string, list []*peerpb.ServiceDemand) {
	if d.demands == nil {
		d.demands = make(map[string]counters)
	}
	for _, s := range list {
		key := run + "/" + s.GetService()
		last, known := d.demands[key]
		d.demands[key] = counters{prefill: s.GetPrefill(), output: s.GetOutput(), requests: s.GetRequests()}
		if !known {
			continue
		}
		m := d.market(now, s.GetService())
		for i, n := range []uint64{s.GetPrefill() - last.prefill, s.GetOutput() - last.output} {
			m.long[i].Add(now, float64(n))
			m.short[i].Add(now, float64(n))
		}
		m.requests.Add(now, float64(s.GetRequests()-last.requests))
	}
}

// need returns the replicas that the demand asks for.
func (m *market) need(now clock.Instant) int {
	rate := func(w *[2]window.Sliding, span clock.Duration) scale.TokenDemand {
		span = max(min(span, now.Sub(m.since)), clock.Second)
		return scale.TokenDemand{Prefill: w[0].Sum(now) * 1000 / float64(span), Output: w[1].Sum(now) * 1000 / float64(span)}
	}
	least := leastNeed
	if now.Sub(m.foundAt) < firstTime {
		least = max(least, int(firstPart*float64(m.found)))
	}
	return max(scale.RequiredReplicas(rate(&m.long, longDemand)), scale.RequiredReplicas(rate(&m.short, shortDemand))*3/4, least)
}

// buy orders replicas for all services that may be scaled.
func (c *Core) buy(ctx context.Context) {
	set := c.set.Load()
	if set == nil || !c.maySend() {
		return
	}
	for i := range set.Services {
		s := &set.Services[i]
		// While a rollout runs, the servers of both sides are there and neither count is to change.
		if r := c.rollout(s.Name); s.Scaling != nil && (r == nil || r.Stage.Ended()) {
			c.buyFor(ctx, s, r)
		}
	}
}

func (c *Core) buyFor(ctx context.Context, s *rules.Service, r *state.Rollout) {
	now := c.clock.Now()
	c.mu.Lock()
	m := c.desk.market(now, s.Name)
	zones := c.zones(s, r, m)
	if m.found == 0 {
		for _, z := range zones {
			m.found += z.OnDemand + z.Spot
		}
		m.foundAt = now
	}
	need := m.need(now)
	bounds := scale.Bounds{Min: s.Scaling.Least, Max: s.Scaling.Most, SpotPrice: s.Scaling.SpotPrice}
	wants := m.mix.Decide(now, need, bounds, zones)
	c.mu.Unlock()
	for i, w := range wants {
		// More comes before less, so that the bounds of a zone hold on the way.
		kinds := []duty.Order{{Service: s.Name, Zone: w.Zone, Replicas: w.Spot, Spot: true}, {Service: s.Name, Zone: w.Zone, Replicas: w.OnDemand}}
		if w.OnDemand > zones[i].OnDemand {
			slices.Reverse(kinds)
		}
		for _, o := range kinds {
			have := zones[i].OnDemand
			if o.Spot {
				have = zones[i].Spot
			}
			c.order(ctx, m, o, have, need)
		}
	}
}

// zones counts the replicas of a service; those of versions that go away with a rollout are left out.
func (c *Core) zones(s *rules.Service, rollout *state.Rollout, m *market) []scale.Zone {
	var zones []scale.Zone
	for name, price := range s.Scaling.ZonePrices {
		zones = append(zones, scale.Zone{Name: name, Price: price, SoldOutUntil: m.soldOut[name]})
	}
	slices.SortFunc(zones, func(a, b scale.Zone) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	now := c.clock.Now()
	for _, r := range c.table.ByID {
		if r.Service != s.Name || !c.table.IsServing(r, now, silentFor) || rollout != nil && !rollout.Keeps(r.Version) {
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
		last := m.ordered[place{zone: zones[i].Name, spot: true}]
		if last.at > 0 && now.Sub(last.at) < s.Scaling.Boot+bootSlack {
			zones[i].SpotStarting = max(last.count-zones[i].Spot, 0)
		}
	}
	return zones
}

// pace keeps the calls to the cloud within their rate.
func (c *Core) pace(ctx context.Context) {
	runner.Pause(ctx, clock.Duration(1000/max(c.Settings.Duties.CallsPerSecond, 1)))
}

// order sends one order where it differs from the last, or where its effect does not show.
func (c *Core) order(ctx context.Context, m *market, o duty.Order, have, need int) {
	now := c.clock.Now()
	at := place{zone: o.Zone, spot: o.Spot}
	last, known := m.ordered[at]
	if !known && have == o.Replicas {
		return
	}
	if known && last.count == o.Replicas && (have == o.Replicas || now.Sub(last.at) < assertEvery) {
		return
	}
	if o.Spot && o.Replicas > have && m.soldOut[o.Zone].After(now) {
		return
	}
	c.pace(ctx)
	if !c.maySend() {
		return
	}
	call, cancel := context.WithTimeout(ctx, cloudTimeout.Std())
	defer cancel()
	c.desk.tenure.Sent(now)
	fence := c.desk.tenure.Fence
	answer, err := c.options.Cloud.Scale(call, duty.Holder{Name: c.Settings.Name, Fence: fence}, o)
	c.log.Info("replicas ordered", "service", o.Service, "zone", o.Zone, "spot", o.Spot, "replicas", o.Replicas, "serving", have,
		"need", need, "fence", fence, "answer", answer.String(), "error", errorText(err))
	switch answer {
	case duty.Accepted:
		m.ordered[at] = order{count: o.Replicas, at: now}
	case duty.SoldOut:
		m.soldOut[o.Zone] = now.Add(soldOutFor)
		delete(m.ordered, at)
	}
}
