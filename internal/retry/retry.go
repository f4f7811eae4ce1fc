// Package retry decides what follows an attempt at a backend server: forward its response, make
// another attempt, or send the caller an error response.
//
//	action := retry.Decide(retry.Attempt{Repeatable: true, Result: retry.Incomplete})
//	if action == retry.RetryOrFail && budget.Take(now) { ... }
//
// A refusal tells a caller that the request has not run and will not run, so it is sent only where
// that is certain: no byte of the request was sent, or the server reported it.
package retry

import (
	"swiftbeam/internal/window"
	"swiftbeam/pkg/clock"
)

//go:generate ../../.tools/stringer -type=Result,Action -linecomment -output=enums_string.go

// Result is how an attempt ended.
type Result uint8

// Results of attempts. The trailing comments are the printed names.
const (
	// Complete: the server sent a complete response.
	Complete Result = iota // Whole
	// Failed: the server sent a complete response that reports a server failure.
	Failed
	// NotRun: the server reported that it did not run the request.
	NotRun
	// Moved: another server uses the address now; it did not run the request.
	Moved
	// Unsent: no byte of the request was sent.
	Unsent
	// Incomplete: the connection failed, or the response was not complete.
	Incomplete // Broken
	// TimedOut: there was no complete response by the deadline.
	TimedOut
)

// Action is what to do after an attempt.
type Action uint8

// Actions. The trailing comments are the printed names.
const (
	// Forward passes the server's response to the caller.
	Forward Action = iota // Pass
	// RetryOrRefuse tries another server, or refuses the request when that is not possible.
	RetryOrRefuse // Again
	// RetryOrFail tries another server. When that is not possible, the request is not refused: Final
	// returns Fail, Forward or Truncate.
	RetryOrFail // Resend
	// Refuse reports that the request has not run and will not run.
	Refuse
	// Fail reports that the request may have run.
	Fail
	// Expired reports that the deadline has passed and that the request may have run.
	Expired
	// Truncate closes a stream that has started in such a way that it does not look complete.
	Truncate // Cut
)

// Attempt is the state at the end of an attempt.
type Attempt struct {
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// MayHaveRun is set if an earlier attempt may have run the request.
	MayHaveRun bool
	// ResponseStarted is set if a part of the response was sent to the caller.
	ResponseStarted bool
	Result          Result
}

// Decide returns whether to forward the response of an attempt, try again or report an error.
func Decide(a Attempt) Action {
	if a.Result == Complete {
		return Forward
	}
	if a.ResponseStarted {
		if a.Repeatable && a.Result != TimedOut {
			return RetryOrFail
		}
		return Truncate
	}
	switch a.Result {
	case NotRun, Moved, Unsent:
		if a.MayHaveRun {
			return RetryOrFail
		}
		return RetryOrRefuse
	case Failed:
		if a.Repeatable {
			return RetryOrFail
		}
		return Forward
	case TimedOut:
		return Expired
	}
	if a.Repeatable {
		return RetryOrFail
	}
	return Fail
}

// Final returns the action to take when another attempt is not possible.
func Final(a Attempt) Action {
	switch {
	case a.ResponseStarted:
		return Truncate
	case a.Result == Failed:
		return Forward
	case a.MayHaveRun || a.Result == Incomplete || a.Result == TimedOut || a.Result == Complete:
		return Fail
	}
	return Refuse
}

// Budget limits further attempts at the servers of one service to a part of its requests in a sliding
// window. It is not safe for concurrent use.
type Budget struct {
	// Ratio is the number of further attempts allowed for each request; Slack is a number allowed in
	// each window regardless of requests. Both are the share of one daemon.
	Ratio  float64
	Slack  float64
	Window clock.Duration

	requests window.Sliding
	attempts window.Sliding
}

// CountRequest counts a request from a caller.
func (b *Budget) CountRequest(now clock.Instant) {
	b.requests.Span = b.Window
	b.requests.Add(now, 1)
}

// PerSecond returns the number of requests a second in the window.
func (b *Budget) PerSecond(now clock.Instant) float64 {
	if b.Window == 0 {
		return 0
	}
	return b.requests.Sum(now) / b.Window.Std().Seconds()
}

// Take reports whether a further attempt is allowed, and counts it if so.
func (b *Budget) Take(now clock.Instant) bool {
	b.attempts.Span = b.Window
	if b.attempts.Sum(now)+1 > b.Ratio*b.requests.Sum(now)+b.Slack {
		return false
	}
	b.attempts.Add(now, 1)
	return true
}
