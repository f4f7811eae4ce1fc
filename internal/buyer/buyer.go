// Package buyer starts and stops VMs at the cloud according to the capacity plan of package scale. It
// runs on the leader. Each order has a fencing number from the replicated state, so that when two
// daemons act as the leader at the same time, the orders of only one of them take effect:
//
//	b := &buyer.Buyer{Store: store, Roster: roster, Cloud: client, Clock: c}
//	err := b.Start(ctx, group)
//
// An order is first recorded in the replicated state, which assigns the fencing number, then sent to
// the cloud, unless this daemon has lost contact with a quorum, then recorded as ended. A new leader
// sends its own orders with higher numbers. It does not continue orders that a failed leader recorded but
// did not end; they remain unchanged in the state.
package buyer

import (
	"context"
	"fmt"

	"github.com/go-logr/logr"

	"swiftbeam/internal/cloud"
	"swiftbeam/internal/duty"
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

// Intervals and timeouts of the buyer.
const (
	// DecisionInterval is the time between two decisions.
	DecisionInterval = 2 * clock.Second
	// StartTimeout is how long an ordered VM may take until its server announces itself.
	StartTimeout = 5 * clock.Minute
	orderTimeout = 5 * clock.Second
)

// usableSlotFraction is the fraction of a server's slots that the plan counts on.
const usableSlotFraction = 0.8

// Buyer is a service of the runner that orders VMs. Set the exported fields before Start.
type Buyer struct {
	Self   string
	Clock  clock.Clock
	Store  *store.Store
	Roster *roster.Roster
	// Cloud must use a client that obeys gates of package duty, so that no order is sent late.
	Cloud *cloud.Client
	Log   logr.Logger

	controls map[string]*scale.Controller
	pending  []pendingReplica
	sequence int
}

// pendingReplica is an ordered replica that has not announced itself yet.
type pendingReplica struct {
	service   string
	zone      string
	orderedAt clock.Instant
	// serversBefore is the number of servers in the zone when the replica was ordered.
	serversBefore int
}

// Start starts the periodic decisions. They have an effect only while this daemon is the leader.
func (b *Buyer) Start(ctx context.Context, g *runner.Group) error {
	b.controls = make(map[string]*scale.Controller)
	g.Go(func() { runner.Every(ctx, DecisionInterval, func() { b.decideAll(ctx) }) })
	return nil
}

func (b *Buyer) decideAll(ctx context.Context) {
	if b.Store.Status().Role != quorum.Leader {
		clear(b.controls)
		b.pending = nil
		return
	}
	for _, m := range b.services() {
		b.decide(ctx, m)
	}
}

// serviceInputs are the inputs of the capacity decision for one service.
type serviceInputs struct {
	scale.DecideInputs
	service string
	version string
}

// services returns the services for which VMs are ordered: those with a minimum number of replicas (a
// floor) in the capacity section.
func (b *Buyer) services() []serviceInputs {
	var list []serviceInputs
	b.Store.View(func(s *state.State) {
		for _, f := range s.Document.Capacity.Floors {
			m := serviceInputs{service: f.Service, version: s.SettledVersion(f.Service)}
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

func (b *Buyer) decide(ctx context.Context, m serviceInputs) {
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

// defaultSlots is the assumed number of slots of a replica while the service has no ready server.
const defaultSlots = 16

// observe sets the servers and starting replicas of m. It returns the demand and the number of requests
// that one replica serves at once.
func (b *Buyer) observe(m *serviceInputs) (demand, perReplica float64) {
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
	return demand, float64(slots) * usableSlotFraction
}

// starting counts the ordered replicas of each zone that have not announced themselves yet. Replicas
// that exceed StartTimeout are no longer counted.
func (b *Buyer) starting(m *serviceInputs) map[string]int {
	have := make(map[string]int)
	for _, s := range m.Servers {
		have[s.Zone]++
	}
	counts := make(map[string]int)
	var rest []pendingReplica
	for _, p := range b.pending {
		arrived := p.service == m.service && have[p.zone] > p.serversBefore+counts[p.zone]
		if arrived || m.Now.Sub(p.orderedAt) > StartTimeout {
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

func (b *Buyer) start(ctx context.Context, m *serviceInputs, control *scale.Controller, a scale.Action) {
	present := 0
	for _, s := range m.Servers {
		if s.Zone == a.Zone {
			present++
		}
	}
	err := b.execute(ctx, state.StartVM, a.Zone, func(ctx context.Context, operation string, fence uint64) error {
		return b.Cloud.Start(ctx, cloud.StartOrder{
			Operation: operation, Fence: fence, Zone: a.Zone, Reclaimable: true,
			Service: m.service, Version: m.version, Count: a.Start,
		})
	})
	if err != nil {
		control.RecordRefusal(m.Now, a.Zone)
		b.Log.Info("start of replicas failed", "service", m.service, "zone", a.Zone, "error", err.Error())
		return
	}
	control.RecordStart(a.Zone)
	b.Log.Info("replicas ordered", "service", m.service, "zone", a.Zone, "count", a.Start)
	for range a.Start {
		b.pending = append(b.pending, pendingReplica{service: m.service, zone: a.Zone, orderedAt: m.Now, serversBefore: present})
	}
}

func (b *Buyer) stop(ctx context.Context, a scale.Action) {
	err := b.execute(ctx, state.StopVM, a.Stop, func(ctx context.Context, operation string, fence uint64) error {
		return b.Cloud.Stop(ctx, cloud.StopOrder{Operation: operation, Fence: fence, Address: a.Stop})
	})
	if err == nil {
		b.Log.Info("replica stopped", "address", a.Stop, "zone", a.Zone)
	}
}

// execute records an order in the replicated state, carries it out with its fencing number, and records
// the end.
func (b *Buyer) execute(ctx context.Context, kind state.OrderKind, target string, do func(context.Context, string, uint64) error) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Std())
	defer cancel()
	b.sequence++
	term := b.Store.Status().Term
	operation := fmt.Sprintf("%s/%d/%d", b.Self, term, b.sequence)
	result, err := b.Store.Propose(ctx, state.TakeOrder{Operation: operation, Target: target, Kind: kind, Holder: b.Self})
	if err != nil {
		return err
	}
	if result.Code != state.Done {
		return fault.New(fault.Conflict, "order %s was not recorded: %v", operation, result.Code)
	}
	gate := duty.Gate{Clock: b.Clock, Open: func() (clock.Instant, bool) { return b.maySendUntil(term) }}
	callErr := do(duty.WithGate(ctx, gate), operation, result.Fence)
	_, err = b.Store.Propose(ctx, state.EndOrder{Operation: operation, Fence: result.Fence, Done: callErr == nil})
	if callErr != nil {
		return callErr
	}
	return err
}

// maySendUntil returns the time until which an order that was decided in a term may be sent, and reports whether this daemon still
// leads then.
func (b *Buyer) maySendUntil(term uint64) (clock.Instant, bool) {
	clock.Refresh(b.Clock)
	status := b.Store.Status()
	return status.ContactAt.Add(b.Store.Settings.ElectionTimeout / 2), status.Role == quorum.Leader && status.Term == term
}
