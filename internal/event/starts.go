package event

// minLead is by how many streams one start has to lead before others are taken for too late.
const minLead = 8

// Starts learns the ID with which the streams of a service usually begin: that of more than half of them.
type Starts struct {
	id   int64
	lead int
}

// Add records the ID of the first event of a stream that begins anew, and reports whether events before it are missing. Streams
// that begin with 0 or 1 are always taken for complete.
func (s *Starts) Add(id int64) (late bool) {
	switch {
	case s.lead == 0:
		s.id, s.lead = id, 1
	case s.id == id:
		s.lead = min(s.lead+1, 2*minLead)
	default:
		s.lead--
	}
	return id > 1 && id > s.id && s.lead >= minLead
}
