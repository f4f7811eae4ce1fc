package member

import (
	"math"

	"swiftbeam/internal/fault"
	"swiftbeam/internal/valid"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// MaxPrefixes is the largest number of cached prefixes that a server announces.
const MaxPrefixes = 1024

// Check returns an error if a record cannot be one of a backend server. Every record from outside the process
// is checked before it is merged.
func Check(now clock.Instant, b *fleet.Backend) error {
	switch {
	case b.Service == "" || !valid.IsText(b.Service):
		return invalid("service", valid.Quote(b.Service), "write the name of a service")
	case !valid.IsAddress(b.Address):
		return invalid("address", valid.Quote(b.Address), "write an IP number with a port from 1 to 65535")
	case b.Version == "" || !valid.IsText(b.Version):
		return invalid("version", valid.Quote(b.Version), "name the version that runs")
	case !valid.IsText(b.Zone):
		return invalid("zone", valid.Quote(b.Zone), "write at most 256 printable characters")
	case !valid.IsText(b.MachineClass):
		return invalid("machineClass", valid.Quote(b.MachineClass), "write at most 256 printable characters")
	case b.Kind > fleet.Plain:
		return invalid("kind", b.Kind, "announce a known kind")
	case b.State > fleet.Expired:
		return invalid("state", b.State, "announce a known state")
	}
	return checkNumbers(now, b)
}

func checkNumbers(now clock.Instant, b *fleet.Backend) error {
	switch {
	case b.Incarnation == 0 || b.Incarnation > math.MaxInt64:
		return invalid("incarnation", b.Incarnation, "write the start time of the server, so that a restart counts as new")
	case b.Sequence > math.MaxInt64:
		return invalid("sequence", b.Sequence, "count the announcements from 1")
	case !isCount(b.Slots):
		return invalid("slots", b.Slots, "write the number of requests that run at the same time")
	case !isCount(b.Running):
		return invalid("running", b.Running, "write the number of running requests")
	case !isCount(b.Waiting):
		return invalid("waiting", b.Waiting, "write the number of waiting requests")
	case b.ReclaimAt < 0 || b.ReclaimAt.After(now.Add(valid.MaxSpan)):
		return invalid("reclaimInMs", int64(b.ReclaimAt.Sub(now)), "write the milliseconds that remain")
	case len(b.Prefixes) > MaxPrefixes:
		return invalid("prefixes", len(b.Prefixes), "send at most 1024")
	}
	return nil
}

func isCount(n int) bool { return n >= 0 && n <= valid.MaxSlots }

func invalid(field string, value any, remedy string) error {
	return fault.New(fault.Invalid, "field %q has the invalid value %v", field, value).Remedy("%s", remedy)
}
