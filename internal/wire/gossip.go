package wire

import (
	"math"

	"swiftbeam/internal/member"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// BackendToPB returns the message for a backend server. Instants are sent as durations before or after
// now, so that the daemons' clocks need not agree.
func BackendToPB(now clock.Instant, b *fleet.Backend) *peerpb.Backend {
	m := &peerpb.Backend{
		Service: b.Service, Version: b.Version, Address: b.Address, Zone: b.Zone, Kind: uint32(b.Kind),
		Incarnation: b.Incarnation, Sequence: b.Sequence, State: uint32(b.State),
		Running: uint32(b.Running), Waiting: uint32(b.Waiting), Slots: uint32(b.Slots),
		Age: int64(now.Sub(b.HeardAt)), Prefixes: b.Prefixes, ChecksFence: b.ChecksFence,
		MachineClass: b.MachineClass, Reclaimable: b.Reclaimable,
	}
	if b.ReclaimAt != 0 {
		m.ReclaimIn = max(int64(b.ReclaimAt.Sub(now)), 1)
	}
	return m
}

// BackendFromPB returns the backend server in a message received now. The state Expired is read as Reclaimed. It
// returns an error for a record that member.Check rejects, for instance one with a state of a later build.
func BackendFromPB(now clock.Instant, m *peerpb.Backend) (fleet.Backend, error) {
	b := fleet.Backend{
		Service: m.GetService(), Version: m.GetVersion(), Address: m.GetAddress(), Zone: m.GetZone(),
		Kind: fleet.BackendKind(min(m.GetKind(), math.MaxUint8)), Incarnation: m.GetIncarnation(), Sequence: m.GetSequence(),
		State:   fleet.BackendState(min(m.GetState(), math.MaxUint8)),
		Running: int(m.GetRunning()), Waiting: int(m.GetWaiting()), Slots: int(m.GetSlots()),
		HeardAt: now.Add(-clock.Duration(max(m.GetAge(), 0))), ChecksFence: m.GetChecksFence(),
		MachineClass: m.GetMachineClass(), Reclaimable: m.GetReclaimable(), Prefixes: m.GetPrefixes(),
	}
	if m.GetReclaimIn() != 0 {
		b.ReclaimAt = now.Add(min(clock.Duration(m.GetReclaimIn()), clock.MaxDuration))
	}
	err := member.Check(now, &b)
	if b.State == fleet.Expired {
		b.State = fleet.Reclaimed
	}
	return b, err
}
