package wire

import (
	"math"

	"swiftbeam/internal/detour"
	"swiftbeam/internal/enrol"
	"swiftbeam/internal/loads"
	"swiftbeam/internal/place"
	"swiftbeam/internal/quota"
	"swiftbeam/internal/turns"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// RecordToPB returns the message for a record of a backend server. Its instants become
// durations from now, so that they do not depend on the receiver's clock.
func RecordToPB(now clock.Instant, r *enrol.Record) *peerpb.ServerRecord {
	m := &peerpb.ServerRecord{
		Id: r.ID, Service: r.Service, Address: r.Address, Zone: r.Zone, Version: r.Version, Slots: uint32(max(r.Slots, 0)),
		State: uint32(r.State), Born: int64(r.Born), Sequence: r.Sequence, Spot: r.Spot, ColdFor: int64(r.ColdFor),
	}
	if r.ColdUntil > 0 {
		m.ColdFor = int64(max(r.ColdUntil.Sub(now), 0))
	}
	if r.ReclaimAt > 0 {
		m.ReclaimIn = int64(max(r.ReclaimAt.Sub(now), 1))
	}
	return m
}

// RecordFromPB returns the record of a backend server in a message received now. It returns an error for a record
// that enrol.Record.Check rejects, for instance one with a state of a later build.
func RecordFromPB(now clock.Instant, m *peerpb.ServerRecord) (enrol.Record, error) {
	r := enrol.Record{
		ID: m.GetId(), Service: m.GetService(), Address: m.GetAddress(), Zone: m.GetZone(), Version: m.GetVersion(),
		Slots: int(m.GetSlots()), State: enrol.State(min(m.GetState(), math.MaxUint8)), Born: clock.Instant(m.GetBorn()), Sequence: m.GetSequence(),
		Spot: m.GetSpot(), ColdFor: clock.Duration(m.GetColdFor()), HeardAt: now,
	}
	if m.GetReclaimIn() > 0 {
		r.ReclaimAt = now.Add(min(clock.Duration(m.GetReclaimIn()), clock.MaxDuration))
	}
	if err := r.Check(now); err != nil {
		return r, err
	}
	if r.ColdFor > 0 {
		r.ColdUntil = now.Add(r.ColdFor)
	}
	return r, nil
}

// LoadToPB returns the message for the load on a server.
func LoadToPB(l *loads.Server) *peerpb.ServerLoad {
	return &peerpb.ServerLoad{
		Id: l.ID, Requests: uint32(max(l.Load.Requests, 0)), Prefill: uint64(max(l.Load.Prefill, 0)), Memory: uint64(max(l.Load.Memory, 0)),
	}
}

// LoadFromPB returns the load on a server in a message.
func LoadFromPB(m *peerpb.ServerLoad) loads.Server {
	return loads.Server{ID: m.GetId(), Load: place.Load{
		Requests: countFromPB(uint64(m.GetRequests())), Prefill: countFromPB(m.GetPrefill()), Memory: countFromPB(m.GetMemory()),
	}}
}

// countFromPB returns a number within 32 bits, so that the sums over all daemons do not overflow.
func countFromPB(n uint64) int { return int(min(n, math.MaxInt32)) }

// maxQuantity is above every quantity of a quota and every rate. Integers up to it are exact.
const maxQuantity = 1e15

// quantityFromPB returns a number from 0 to maxQuantity; NaN is 0.
func quantityFromPB(n float64) float64 {
	if math.IsNaN(n) {
		return 0
	}
	return min(max(n, 0), maxQuantity)
}

// HelperToPB returns the message for a helper.
func HelperToPB(h *detour.Helper) *peerpb.Helper {
	return &peerpb.Helper{Name: h.Name, Address: h.Address, Zone: h.Zone, Load: uint32(h.Load)}
}

// HelpersFromPB returns the helpers in messages.
func HelpersFromPB(messages []*peerpb.Helper) []detour.Helper {
	list := make([]detour.Helper, 0, len(messages))
	for _, m := range messages {
		list = append(list, detour.Helper{Name: m.GetName(), Address: m.GetAddress(), Zone: m.GetZone(), Load: int(m.GetLoad())})
	}
	return list
}

// LimitsToPB returns the messages for request limits of backend servers.
func LimitsToPB(list []turns.Limit) []*peerpb.ServerLimit {
	messages := make([]*peerpb.ServerLimit, 0, len(list))
	for _, l := range list {
		messages = append(messages, &peerpb.ServerLimit{
			Id: l.Server, Limited: l.Limited, PerSecond: l.PerSecond, ObservedAt: int64(l.ObservedAt),
			Brittle: l.Brittle, Tolerated: l.Tolerated, RejectedAt: int64(l.RejectedAt),
			Rejections: uint32(l.Rejections), ExceededAt: int64(l.ExceededAt),
		})
	}
	return messages
}

// LimitsFromPB returns the request limits in messages, without those that are no rates.
func LimitsFromPB(messages []*peerpb.ServerLimit) []turns.Limit {
	list := make([]turns.Limit, 0, len(messages))
	for _, m := range messages {
		if m.GetPerSecond() != quantityFromPB(m.GetPerSecond()) || m.GetTolerated() != quantityFromPB(m.GetTolerated()) {
			continue
		}
		list = append(list, turns.Limit{
			Server: m.GetId(), Limited: m.GetLimited(), PerSecond: m.GetPerSecond(), ObservedAt: clock.Instant(m.GetObservedAt()),
			Brittle: m.GetBrittle(), Tolerated: m.GetTolerated(), RejectedAt: clock.Instant(m.GetRejectedAt()),
			Rejections: int(m.GetRejections()), ExceededAt: clock.Instant(m.GetExceededAt()),
		})
	}
	return list
}

// UseToPB returns the message for the use of a quota.
func UseToPB(u *quota.Use) *peerpb.AccountUse {
	return &peerpb.AccountUse{Account: u.Account, Wanted: u.Requested[:], Held: u.Unspent[:], Spent: u.Spent, Total: u.Total, Lease: u.Lease}
}

// UseFromPB returns the use of a quota in a message.
func UseFromPB(m *peerpb.AccountUse) quota.Use {
	return quota.Use{
		Account: m.GetAccount(), Requested: amountsFromPB(m.GetWanted()), Unspent: amountsFromPB(m.GetHeld()), Spent: quantityFromPB(m.GetSpent()),
		Total: quantityFromPB(m.GetTotal()), Lease: quantityFromPB(m.GetLease()),
	}
}

// GrantToPB returns the message for a quota grant.
func GrantToPB(g *quota.Grant) *peerpb.Grant {
	return &peerpb.Grant{Account: g.Account, Quantity: g.Quantity[:], Lease: g.Lease, Scarce: g.Scarce}
}

// GrantFromPB returns the quota grant in a message.
func GrantFromPB(m *peerpb.Grant) quota.Grant {
	return quota.Grant{Account: m.GetAccount(), Quantity: amountsFromPB(m.GetQuantity()), Lease: quantityFromPB(m.GetLease()), Scarce: m.GetScarce()}
}

func amountsFromPB(list []float64) quota.Amounts {
	var out quota.Amounts
	for i, n := range list[:min(len(list), len(out))] {
		out[i] = quantityFromPB(n)
	}
	return out
}
