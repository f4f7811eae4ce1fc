package manage

import (
	"strconv"

	"swiftbeam/internal/fault"
	"swiftbeam/internal/member"
	"swiftbeam/internal/valid"
	"swiftbeam/pkg/admin"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// backend validates an announcement and converts it to a fleet.Backend. The time of reclaim in it is
// relative to now.
func backend(now clock.Instant, a admin.Announcement) (fleet.Backend, error) {
	kind, kindOK := kinds[a.Kind]
	state, stateOK := states[a.State]
	switch {
	case !kindOK:
		return fleet.Backend{}, invalid("kind", a.Kind, `write "engine" or "plain"`)
	case !stateOK:
		return fleet.Backend{}, invalid("state", a.State, `write "ready", "leaving" or "reclaimed"`)
	}
	b := fleet.Backend{
		Service: a.Service, Version: a.Version, Address: a.Address, Zone: a.Zone, Kind: kind,
		Incarnation: a.Incarnation, Sequence: a.Sequence, State: state,
		Running: max(a.Running, 0), Waiting: max(a.Waiting, 0), Slots: max(a.Slots, 1),
		ChecksFence: a.ChecksFence, MachineClass: a.MachineClass, Reclaimable: a.Reclaimable,
	}
	if state == fleet.Reclaimed {
		b.ReclaimAt = now.Add(min(clock.Duration(max(a.ReclaimInMs, 0)), clock.MaxDuration))
	}
	if err := member.Check(now, &b); err != nil {
		return b, err
	}
	if len(a.Prefixes) > member.MaxPrefixes {
		return b, invalid("prefixes", strconv.Itoa(len(a.Prefixes)), "send at most 1024")
	}
	for _, text := range a.Prefixes {
		h, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return b, invalid("prefixes", text, "write each as 16 hex digits")
		}
		b.Prefixes = append(b.Prefixes, h)
	}
	return b, nil
}

func invalid(field, value, remedy string) error {
	return fault.New(fault.Invalid, "field %q has the invalid value %s", field, valid.Quote(value)).Remedy("%s", remedy)
}
