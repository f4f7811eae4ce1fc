// Package pace bounds the rate of the reports that a leader receives from many daemons. The leader counts
// them and tells each daemon how long to pause between two reports:
//
//	pause := pacer.Count(now)  // on the leader, for each report
//
// The pause grows while more than MaxRate reports arrive in a second and shrinks otherwise. The package is
// made for hundreds of daemons that request quota for each of thousands of requests a second: with a
// pause, one report requests quota for all the requests that arrived meanwhile.
package pace

import "swiftbeam/pkg/clock"

const (
	// MaxRate is the number of reports per second up to which daemons need not pause.
	MaxRate = 1600
	// MaxPause bounds the pause, during which requests may wait for quota.
	MaxPause = 200 * clock.Millisecond
	interval = 200 * clock.Millisecond
	// growth and firstPause raise the pause, decay lowers it.
	growth     = 1.5
	firstPause = 5 * clock.Millisecond
	decay      = 0.9
)

// Pacer is the state on the leader. The zero value is ready to use. It is not safe for concurrent use.
type Pacer struct {
	since clock.Instant
	count int
	pause float64
}

// Count counts a report and returns the pause.
func (p *Pacer) Count(now clock.Instant) clock.Duration {
	p.count++
	if elapsed := now.Sub(p.since); elapsed >= interval {
		if float64(p.count)*1000 > MaxRate*float64(elapsed) {
			p.pause = min(p.pause*growth+float64(firstPause), float64(MaxPause))
		} else {
			p.pause *= decay
		}
		p.since, p.count = now, 0
	}
	return clock.Duration(p.pause)
}
