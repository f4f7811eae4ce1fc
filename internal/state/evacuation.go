package state

import "swiftbeam/pkg/clock"

// Evacuation is the last change of the evacuation of an availability zone. Records of zones that were
// returned are kept, so that a daemon that has an earlier record learns of the return.
type Evacuation struct {
	Zone      string
	Evacuated bool
	// Revision is the log index of the change, which rises over all zones.
	Revision uint64
	// Since is the time of the change, of the clock that the daemons agree on.
	Since clock.Instant
	// By is who ordered it; empty if that is unknown.
	By string
}

// EvacuateZone requests that nothing more be sent to the backend servers of a zone.
type EvacuateZone struct {
	Zone string
	By   string
	At   clock.Instant
	// Seen is Since of the record that the order replaces, 0 for none. A command that arrives after another one has changed
	// that is Stale. Commands of earlier builds have nil and replace any.
	Seen *clock.Instant
}

// ReturnZone withdraws the evacuation of a zone.
type ReturnZone struct {
	Zone string
	By   string
	At   clock.Instant
	// Seen is as in EvacuateZone.
	Seen *clock.Instant
}

func (EvacuateZone) command() {}
func (ReturnZone) command()   {}

// maxReturnedZones is the number of records of zones that are not evacuated which are kept.
const maxReturnedZones = 256

// setEvacuation changes the record of a zone, if its time is the one that the order has seen. An order that was applied
// before keeps its time and revision.
func (s *State) setEvacuation(e Evacuation, seen *clock.Instant) Result {
	old, known := s.Evacuations[e.Zone]
	if known && old.Evacuated == e.Evacuated || !known && !e.Evacuated {
		return Result{Code: Existing, Version: old.Revision}
	}
	if seen != nil && *seen != old.Since {
		return Result{Code: Stale, Version: old.Revision}
	}
	e.Revision = s.Applied
	s.Evacuations[e.Zone] = e
	s.dropReturned()
	return Result{Version: e.Revision}
}

// dropReturned removes the oldest record of a returned zone while there are too many.
func (s *State) dropReturned() {
	returned, oldest := 0, Evacuation{}
	for _, e := range s.Evacuations {
		if e.Evacuated {
			continue
		}
		returned++
		if oldest.Revision == 0 || e.Revision < oldest.Revision {
			oldest = e
		}
	}
	if returned > maxReturnedZones {
		delete(s.Evacuations, oldest.Zone)
	}
}
