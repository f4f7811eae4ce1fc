package state

import (
	"maps"

	"swiftbeam/internal/enrol"
	"swiftbeam/pkg/clock"
)

// Departure records that one start of a backend server leaves or has left.
type Departure struct {
	// Server is the last record of the server, without the times at which a daemon received it.
	Server enrol.Record
	// At is the time of the departure, of the clock that the daemons agree on.
	At clock.Instant
	// Revision is the log index of the record.
	Revision uint64
}

// RecordDepartures records that backend servers leave.
type RecordDepartures struct {
	Departures []Departure
}

func (RecordDepartures) command() {}

const (
	// DepartureRetention is how long a departure is kept, longer than a partition can delay an earlier announcement
	// of the server.
	DepartureRetention = 2 * clock.Minute
	// MaxDepartures is the largest number of departures that are kept.
	MaxDepartures = 4096
)

// recordDepartures adds departures, unless a later start of the server has left already. If there is no room for all
// of them, it adds none.
func (s *State) recordDepartures(list []Departure) Result {
	latest := clock.Instant(0)
	for _, d := range list {
		latest = max(latest, d.At)
	}
	maps.DeleteFunc(s.Departures, func(_ string, d Departure) bool { return latest.Sub(d.At) > DepartureRetention })
	added := 0
	for _, d := range list {
		if _, known := s.Departures[d.Server.ID]; !known {
			added++
		}
	}
	if len(s.Departures)+added > MaxDepartures {
		return Result{Code: Full}
	}
	for _, d := range list {
		old, known := s.Departures[d.Server.ID]
		if known && old.Server.Born > d.Server.Born {
			continue
		}
		if known && old.Server.Born == d.Server.Born {
			d.At = max(d.At, old.At)
		}
		d.Revision = s.Applied
		s.Departures[d.Server.ID] = d
		s.DepartureRevision = s.Applied
	}
	return Result{}
}
