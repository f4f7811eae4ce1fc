package wire

import (
	"swiftbeam/internal/enrol"
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
