// Package buyer carries out the capacity plan as the leader: it orders VMs from the cloud through
// fenced orders of the replicated state, so that of two leaders only one gets an effect.
//
//	b := &buyer.Buyer{Store: store, Roster: roster, Cloud: client, Clock: c}
//	err := b.Start(ctx, group)
//
// Each order is taken in the replicated state first, which gives it a fencing number, then given,
// then ended. A new leader gives orders of its own under higher numbers; what a lost leader had
// taken and not ended stays in the state as it was.
package buyer

import (
	"context"
	"fmt"

	"github.com/go-logr/logr"

	"swiftbeam/internal/cloud"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/roster"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/scale"
	"swiftbeam/internal/state"
	"swiftbeam/internal/store"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// Rhythm of the buyer.
const (
	// Interval is the pause between two decisions.
	Interval = 2 * clock.Second
	// StartTimeout is how long an ordered VM may take to announce itself.
	StartTimeout = 5 * clock.Minute
	orderTimeout = 5 * clock.Second
)

// usableSlots is the part of a server's slots that the plan counts on.
const usableSlots = 0.8

// Buyer is the service. Set the exported fields before Start.
type Buyer struct {
	Self   string
	Clock  clock.Clock
	Store  *store.Store
	Roster *roster.Roster
	Cloud  *cloud.Client
	Log    logr.Logger

	controls map[string]*scale.Controller
	pending  []pending
	sequence int
}

// pending is a replica that was ordered and has not announced itself.
type pending struct {
	service string
	zone    string
	at      clock.Instant
	had     int
}

// Start begins to decide whenever this daemon leads.
func (b *Buyer) Start(ctx context.Context, g *runner.Group) error {
	b.controls = make(map[string]*scale.Controller)
	g.Go(func() { runner.Every(ctx, Interval, func() { b.round(ctx) }) })
	return nil
}

func (b *Buyer) round(ctx context.Context) {
	if b.Store.Status().Role != quorum.Leader {
		clear(b.controls)
		b.pending = nil
		return
	}
	for _, m := range b.markets() {
		b.decide(ctx, m)
	}
}

// market is a service with its market.
type market struct {
	scale.DecideInputs
	service string
	version string
}

// markets returns the services with a floor in the capacity section: those are bought for.
func (b *Buyer) markets() []market {
	var list []market
	b.Store.View(func(s *state.State) {
		for _, f := range s.Document.Capacity.Floors {
			m := market{service: f.Service, version: s.Settled(f.Service)}
			m.Now, m.Floor = b.Clock.Now(), f.Replicas
			for _, p := range s.Document.Capacity.Prices {
				m.Offers = append(m.Offers, scale.Offer{Zone: p.Zone, SpotPrice: p.Reclaimable, OnDemandPrice: p.OnDemand})
			}
			if v := s.Moves[f.Service]; v != nil && !v.Stage.Ended() {
				m.Versions = []string{v.From, v.To}
			}
			list = append(list, m)
		}
	})
	return list
}

func (b *Buyer) decide(ctx context.Context, m market) {
	control := b.controls[m.service]
	if control == nil {
		control = &scale.Controller{}
		b.controls[m.service] = control
	}
	demand, perReplica := b.observe(&m)
	for _, a := range control.Decide(m.DecideInputs, demand, perReplica) {
		if a.Stop != "" {
			b.stop(ctx, a)
			continue
		}
		b.start(ctx, &m, control, a)
	}
}

// defaultSlots is the capacity of a replica before any was seen.
const defaultSlots = 16

// observe fills in the present servers and returns the demand and what a replica carries.
func (b *Buyer) observe(m *market) (demand, perReplica float64) {
	slots := 0
	for _, s := range b.Roster.Backends() {
		if s.Service != m.service || s.State != fleet.Ready {
			continue
		}
		m.Servers = append(m.Servers, s)
		demand += float64(s.Running + s.Waiting)
		slots = max(slots, s.Slots)
	}
	if slots == 0 {
		slots = defaultSlots
	}
	m.Starting = b.starting(m)
	return demand, float64(slots) * usableSlots
}

// starting counts the ordered replicas of each zone that have not announced themselves in time.
func (b *Buyer) starting(m *market) map[string]int {
	have := make(map[string]int)
	for _, s := range m.Servers {
		have[s.Zone]++
	}
	counts := make(map[string]int)
	var rest []pending
	for _, p := range b.pending {
		arrived := p.service == m.service && have[p.zone] > p.had+counts[p.zone]
		if arrived || m.Now.Sub(p.at) > StartTimeout {
			continue
		}
		rest = append(rest, p)
		if p.service == m.service {
			counts[p.zone]++
		}
	}
	b.pending = rest
	return counts
}

func (b *Buyer) start(ctx context.Context, m *market, control *scale.Controller, a scale.Action) {
	had := 0
	for _, s := range m.Servers {
		if s.Zone == a.Zone {
			had++
		}
	}
	err := b.give(ctx, state.StartVM, a.Zone, func(ctx context.Context, operation string, fence uint64) error {
		return b.Cloud.Start(ctx, cloud.StartOrder{
			Operation: operation, Fence: fence, Zone: a.Zone, Reclaimable: true,
			Service: m.service, Version: m.version, Count: a.Start,
		})
	})
	if err != nil {
		control.RecordRefusal(m.Now, a.Zone)
		b.Log.Info("start refused", "service", m.service, "zone", a.Zone, "error", err.Error())
		return
	}
	control.RecordStart(a.Zone)
	b.Log.Info("replicas ordered", "service", m.service, "zone", a.Zone, "count", a.Start)
	for range a.Start {
		b.pending = append(b.pending, pending{service: m.service, zone: a.Zone, at: m.Now, had: had})
	}
}

func (b *Buyer) stop(ctx context.Context, a scale.Action) {
	err := b.give(ctx, state.StopVM, a.Stop, func(ctx context.Context, operation string, fence uint64) error {
		return b.Cloud.Stop(ctx, cloud.StopOrder{Operation: operation, Fence: fence, Address: a.Stop})
	})
	if err == nil {
		b.Log.Info("replica released", "address", a.Stop, "zone", a.Zone)
	}
}

// give takes an order in the replicated state, carries it out under its fencing number, and ends
// it.
func (b *Buyer) give(ctx context.Context, kind state.OrderKind, target string, do func(context.Context, string, uint64) error) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Std())
	defer cancel()
	b.sequence++
	operation := fmt.Sprintf("%s/%d/%d", b.Self, b.Store.Status().Term, b.sequence)
	taken, err := b.Store.Propose(ctx, state.TakeOrder{Operation: operation, Target: target, Kind: kind, Holder: b.Self})
	if err != nil {
		return err
	}
	if taken.Code != state.Done {
		return fault.New(fault.Conflict, "order %s was not granted: %v", operation, taken.Code)
	}
	done := do(ctx, operation, taken.Fence)
	_, err = b.Store.Propose(ctx, state.EndOrder{Operation: operation, Fence: taken.Fence, Done: done == nil})
	if done != nil {
		return done
	}
	return err
}
