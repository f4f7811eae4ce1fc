package replay

import (
	"fmt"

	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// String formats a result on one line.
func (r Result) String() string {
	comparison := r.Mismatch()
	if comparison == "" {
		comparison = "as stated"
	}
	return fmt.Sprintf("%-16s %-10v %-16v at %6.1f s, new version got %5d of %6d, exposure %5.2f%%, first fault to pause %5.1f s, to last request %6.1f s: %s (%s)",
		r.Case.Name, r.Stage, r.Reason, seconds(r.EndedAt), r.NewRequests, r.All, 100*r.Exposure, seconds(r.Pause), seconds(r.Clearance), comparison, r.Evidence)
}

func seconds(d clock.Duration) float64 { return float64(d) / float64(clock.Second) }

// Summary counts the outcomes of a trace. A case is healthy if it is expected to finish, and regressed
// otherwise.
type Summary struct {
	Healthy             int
	HealthyInTime       int
	Regressed           int
	RegressedRolledBack int
	FalseAlarms         int
	// MaxExposure is the largest exposure of a regressed version before its first faulty response.
	MaxExposure float64
	// ClearedLate counts the regressed versions that received requests for longer than ClearanceTarget
	// after their first faulty response.
	ClearedLate  int
	MaxClearance clock.Duration
	// RegressedRequests counts the requests that regressed versions received.
	RegressedRequests int
}

// Targets for regressed versions: the time from the first faulty response to the last request sent
// to the version, and the fraction of a route's requests that it receives before that response.
const (
	ClearanceTarget = 5 * clock.Second
	ExposureTarget  = 0.02
)

// Summarize counts the outcomes of results.
func Summarize(results []Result) Summary {
	var s Summary
	for _, r := range results {
		if r.Case.Expect == "finished" {
			s.Healthy++
			if r.Mismatch() == "" {
				s.HealthyInTime++
			}
			if r.Stage == state.RolledBack {
				s.FalseAlarms++
			}
			continue
		}
		s.Regressed++
		s.addRegressed(r)
	}
	return s
}

func (s *Summary) addRegressed(r Result) {
	if r.Mismatch() == "" {
		s.RegressedRolledBack++
	}
	s.RegressedRequests += r.NewRequests
	s.MaxExposure = max(s.MaxExposure, r.Exposure)
	s.MaxClearance = max(s.MaxClearance, r.Clearance)
	if r.Clearance > ClearanceTarget {
		s.ClearedLate++
	}
}

// String formats the summary on one line.
func (s Summary) String() string {
	return fmt.Sprintf("good in time %d/%d, bad taken back %d/%d, false alarms %d, largest exposure before the fault showed %.2f%%, over %v s from first fault to none %d/%d (longest %.1f s), requests to bad versions %d",
		s.HealthyInTime, s.Healthy, s.RegressedRolledBack, s.Regressed, s.FalseAlarms, 100*s.MaxExposure,
		seconds(ClearanceTarget), s.ClearedLate, s.Regressed, seconds(s.MaxClearance), s.RegressedRequests)
}
