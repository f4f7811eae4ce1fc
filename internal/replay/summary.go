package replay

import (
	"fmt"

	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// String formats a result on one line.
func (r Result) String() string {
	verdict := r.Mismatch()
	if verdict == "" {
		verdict = "as stated"
	}
	return fmt.Sprintf("%-16s %-10v %-16v at %6.1f s, new version got %5d of %6d, exposure %5.2f%%, first fault to pause %5.1f s, to last request %6.1f s: %s (%s)",
		r.Case.Name, r.Stage, r.Reason, seconds(r.EndedAt), r.NewRequests, r.All, 100*r.Exposure, seconds(r.Pause), seconds(r.Clearance), verdict, r.Evidence)
}

func seconds(d clock.Duration) float64 { return float64(d) / float64(clock.Second) }

// Summary counts the outcomes of a trace.
type Summary struct {
	Good         int
	GoodInTime   int
	Bad          int
	BadWithdrawn int
	FalseAlarms  int
	// MaxExposure is the largest exposure of a bad version before its first faulty answer.
	MaxExposure float64
	// Slow counts the bad versions that got requests for longer than ClearanceTarget after their
	// first faulty answer.
	Slow         int
	MaxClearance clock.Duration
	// BadRequests counts the requests that bad versions got.
	BadRequests int
}

// Targets for bad versions.
const (
	ClearanceTarget = 5 * clock.Second
	ExposureTarget  = 0.02
)

// Summarize counts the outcomes of results.
func Summarize(results []Result) Summary {
	var s Summary
	for _, r := range results {
		if r.Case.Expect == "finished" {
			s.Good++
			if r.Mismatch() == "" {
				s.GoodInTime++
			}
			if r.Stage == state.RolledBack {
				s.FalseAlarms++
			}
			continue
		}
		s.Bad++
		s.addBad(r)
	}
	return s
}

func (s *Summary) addBad(r Result) {
	if r.Mismatch() == "" {
		s.BadWithdrawn++
	}
	s.BadRequests += r.NewRequests
	s.MaxExposure = max(s.MaxExposure, r.Exposure)
	s.MaxClearance = max(s.MaxClearance, r.Clearance)
	if r.Clearance > ClearanceTarget {
		s.Slow++
	}
}

// String formats the summary on one line.
func (s Summary) String() string {
	return fmt.Sprintf("good in time %d/%d, bad taken back %d/%d, false alarms %d, largest exposure before the fault showed %.2f%%, over %v s from first fault to none %d/%d (longest %.1f s), requests to bad versions %d",
		s.GoodInTime, s.Good, s.BadWithdrawn, s.Bad, s.FalseAlarms, 100*s.MaxExposure,
		seconds(ClearanceTarget), s.Slow, s.Bad, seconds(s.MaxClearance), s.BadRequests)
}
