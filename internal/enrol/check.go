package enrol

import (
	"swiftbeam/internal/fault"
	"swiftbeam/internal/valid"
	"swiftbeam/pkg/clock"
)

// Limits of a valid record.
const (
	// maxSequence is the largest integer that every JSON implementation represents exactly.
	maxSequence = 1<<53 - 1
	// maxAhead is how far a start time may lie in the future. The clocks of VMs differ by seconds.
	maxAhead = clock.Day
)

// Check returns an error if the record cannot be one of a backend server. Every record from outside the
// process is checked before it is merged.
func (r *Record) Check(now clock.Instant) error {
	switch {
	case !valid.IsID(r.ID):
		return r.invalid("the ID", valid.Quote(r.ID), "send 1 to 256 printable ASCII characters without a slash")
	case r.State > Gone:
		return r.invalid("the state", r.State, "send a known state")
	case r.Born < 0 || r.Born.After(now.Add(maxAhead)):
		return r.invalid("the start time", int64(r.Born), "send the Unix time in milliseconds, and check the clock")
	case r.Sequence > maxSequence:
		return r.invalid("the sequence", r.Sequence, "count announcements from 1")
	case r.State == Gone && r.Address == "":
		return nil
	case !valid.IsAddress(r.Address):
		return r.invalid("the address", valid.Quote(r.Address), "send an IP number with a port from 1 to 65535")
	case r.Slots < 1 || r.Slots > valid.MaxSlots:
		return r.invalid("the number of slots", r.Slots, "send the number of requests that run at the same time")
	case r.ColdFor < -valid.MaxSpan || r.ColdFor > valid.MaxSpan:
		return r.invalid("the remaining cold time", r.ColdFor, "send milliseconds")
	case r.ReclaimAt < 0 || r.ReclaimAt.After(now.Add(valid.MaxSpan)):
		return r.invalid("the time until the reclaim", r.ReclaimAt.Sub(now), "send milliseconds")
	}
	return r.checkNames()
}

func (r *Record) checkNames() error {
	switch {
	case r.Service == "" || !valid.IsText(r.Service):
		return r.invalid("the service", valid.Quote(r.Service), "send 1 to 256 printable characters")
	case r.Zone == "" || !valid.IsText(r.Zone):
		return r.invalid("the zone", valid.Quote(r.Zone), "send 1 to 256 printable characters")
	case !valid.IsText(r.Version):
		return r.invalid("the version", valid.Quote(r.Version), "send at most 256 printable characters")
	}
	return nil
}

func (r *Record) invalid(field string, value any, remedy string) error {
	return fault.New(fault.Invalid, "the announcement of %s has an invalid value for %s: %v", valid.Quote(r.ID), field, value).Remedy("%s", remedy)
}
