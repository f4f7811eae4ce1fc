package wire

import (
	"swiftbeam/internal/enrol"
	"swiftbeam/internal/quota"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// RecordToPB maps a record of a backend server; instants become spans from now.
func RecordToPB(now clock.Instant, r *enrol.Record) *peerpb.ServerRecord {
	m := &peerpb.ServerRecord{
		Id: r.ID, Service: r.Service, Address: r.Address, Zone: r.Zone, Version: r.Version, Slots: uint32(max(r.Slots, 0)),
		State: uint32(r.State), Born: int64(r.Born), Sequence: r.Sequence, Spot: r.Spot, ColdFor: int64(r.ColdFor),
	}
	if r.ReclaimAt > 0 {
		m.ReclaimIn = int64(max(r.ReclaimAt.Sub(now), 1))
	}
	return m
}

// RecordFromPB maps a message to the record of a backend server.
func RecordFromPB(now clock.Instant, m *peerpb.ServerRecord) enrol.Record {
	r := enrol.Record{
		ID: m.GetId(), Service: m.GetService(), Address: m.GetAddress(), Zone: m.GetZone(), Version: m.GetVersion(),
		Slots: int(m.GetSlots()), State: enrol.State(m.GetState()), Born: clock.Instant(m.GetBorn()), Sequence: m.GetSequence(),
		Spot: m.GetSpot(), ColdFor: clock.Duration(m.GetColdFor()), HeardAt: now,
	}
	if m.GetReclaimIn() > 0 {
		r.ReclaimAt = now.Add(clock.Duration(m.GetReclaimIn()))
	}
	return r
}

// UseToPB maps the use of a quota to its message.
func UseToPB(u *quota.Use) *peerpb.AccountUse {
	return &peerpb.AccountUse{Account: u.Account, Wanted: u.Requested[:], Held: u.Unspent[:], Spent: u.Spent}
}

// UseFromPB maps a message to the use of a quota.
func UseFromPB(m *peerpb.AccountUse) quota.Use {
	return quota.Use{Account: m.GetAccount(), Requested: amounts(m.GetWanted()), Unspent: amounts(m.GetHeld()), Spent: m.GetSpent()}
}

// GrantToPB maps a grant to its message.
func GrantToPB(g *quota.Grant) *peerpb.Grant {
	return &peerpb.Grant{Account: g.Account, Quantity: g.Quantity[:], Lease: g.Lease, Scarce: g.Scarce}
}

// GrantFromPB maps a message to a grant.
func GrantFromPB(m *peerpb.Grant) quota.Grant {
	return quota.Grant{Account: m.GetAccount(), Quantity: amounts(m.GetQuantity()), Lease: m.GetLease(), Scarce: m.GetScarce()}
}

func amounts(list []float64) quota.Amounts {
	var out quota.Amounts
	copy(out[:], list)
	return out
}
