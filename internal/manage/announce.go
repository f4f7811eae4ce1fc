package manage

import (
	"net"
	"strconv"

	"swiftbeam/internal/fault"
	"swiftbeam/pkg/admin"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// maxPrefixes is the maximum number of cached prefixes in one announcement.
const maxPrefixes = 1024

// backend validates an announcement and converts it to a fleet.Backend. The time of reclaim in it is
// relative to now.
func backend(now clock.Instant, a admin.Announcement) (fleet.Backend, error) {
	kind, kindOK := kinds[a.Kind]
	state, stateOK := states[a.State]
	host, _, err := net.SplitHostPort(a.Address)
	switch {
	case !kindOK:
		return fleet.Backend{}, invalid("kind", a.Kind, `write "engine" or "plain"`)
	case !stateOK:
		return fleet.Backend{}, invalid("state", a.State, `write "ready", "leaving" or "reclaimed"`)
	case err != nil || net.ParseIP(host) == nil:
		return fleet.Backend{}, invalid("address", a.Address, "write an IP number with a port")
	case a.Version == "":
		return fleet.Backend{}, invalid("version", a.Version, "name the version that runs")
	case a.Incarnation == 0:
		return fleet.Backend{}, invalid("incarnation", "0", "write the start time of the server, so that a restart counts as new")
	case len(a.Prefixes) > maxPrefixes:
		return fleet.Backend{}, invalid("prefixes", strconv.Itoa(len(a.Prefixes)), "send at most 1024")
	}
	b := fleet.Backend{
		Service: a.Service, Version: a.Version, Address: a.Address, Zone: a.Zone, Kind: kind,
		Incarnation: a.Incarnation, Sequence: a.Sequence, State: state,
		Running: max(a.Running, 0), Waiting: max(a.Waiting, 0), Slots: max(a.Slots, 1),
		ChecksFence: a.ChecksFence, MachineClass: a.MachineClass, Reclaimable: a.Reclaimable,
	}
	if state == fleet.Reclaimed {
		b.ReclaimAt = now.Add(clock.Duration(max(a.ReclaimInMs, 0)))
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
	return fault.New(fault.Invalid, "field %q has the invalid value %q", field, value).Remedy("%s", remedy)
}
